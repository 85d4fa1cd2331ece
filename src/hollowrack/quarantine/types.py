"""Suspect records in the coordination store, and changes of them."""

from dataclasses import dataclass

from hollowrack.messages.codec import message


@message("quarantine.suspect")
@dataclass(frozen=True)
class SuspectRecord:
    """Record of the workers that crashed while they ran one request.

    Attributes:
        ended_workers: Texts of the crashed incarnations; see
            :class:`hollowrack.forwarding.types.WorkerIncarnation`.
    """

    ended_workers: tuple[str, ...]


@dataclass(frozen=True)
class QuarantineState:
    """State of a quarantined request.

    Attributes:
        num_crashes: Number of worker incarnations that crashed under it.
        remaining_s: Time until the quarantine ends on this node, in seconds.
    """

    num_crashes: int
    remaining_s: float


@dataclass(frozen=True)
class SuspectChange:
    """Pending change of the store's record of one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        ended_workers: Texts of the incarnations that crashed under it; empty to remove the record.
        revision: Last revision of the record known to this node.
    """

    fingerprint: str
    ended_workers: frozenset[str]
    revision: int
