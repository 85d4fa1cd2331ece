"""What nodes keep in the coordination store about requests that ended workers."""

from dataclasses import dataclass

from hollowrack.messages.codec import message


@message("quarantine.suspect")
@dataclass(frozen=True)
class SuspectRecord:
    """The workers that ended while they ran one request.

    Attributes:
        ended_workers: Their lives as texts; see
            :class:`hollowrack.forwarding.types.WorkerIncarnation`.
    """

    ended_workers: tuple[str, ...]


@dataclass(frozen=True)
class QuarantineState:
    """Why a request is not sent to workers.

    Attributes:
        num_crashes: How many workers ended under it.
        remaining_s: How long it stays so on this node, in seconds.
    """

    num_crashes: int
    remaining_s: float


@dataclass(frozen=True)
class SuspectChange:
    """What the store does not hold yet of one request.

    Attributes:
        fingerprint: The request's.
        ended_workers: Lives of workers known to have ended under it; empty to remove its record.
        revision: Revision of its record as this node has seen it last.
    """

    fingerprint: str
    ended_workers: frozenset[str]
    revision: int
