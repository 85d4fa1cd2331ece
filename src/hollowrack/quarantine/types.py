"""Suspect records in the coordination store, and changes of them."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import Field

from hollowrack.messages.codec import message


class CrashTiming(Enum):
    """When a worker crashed, relative to a request that it ran; values are for the log."""

    AT_START = "before any output"
    LATER = "after it had begun"


# A request that crashes the workers that start it does so soon after it is sent.
START_DURATION_S = 1.0


def crash_timing(has_output: bool, duration_s: float) -> CrashTiming:
    """Return when a worker crashed, relative to a request that it ran.

    Args:
        has_output: Whether a part of the answer's body had been received, from any worker.
        duration_s: Time from sending the request to the crash, in seconds.
    """
    if has_output or duration_s >= START_DURATION_S:
        return CrashTiming.LATER
    return CrashTiming.AT_START


@message("quarantine.suspect")
@dataclass(frozen=True)
class SuspectRecord:
    """Record of the workers that crashed while they ran one request.

    Both fields have texts of incarnations; see
    :class:`hollowrack.forwarding.types.WorkerIncarnation`.

    Attributes:
        ended_workers: Workers that crashed at its start.
        ended_later: Workers that crashed later. Earlier versions do not know this field.
    """

    ended_workers: tuple[str, ...]
    ended_later: Annotated[tuple[str, ...], Field(exclude_if=lambda workers: not workers)] = ()

    def crashes(self) -> dict[str, CrashTiming]:
        """Return the timing of each crash, by the text of its incarnation."""
        later = dict.fromkeys(self.ended_later, CrashTiming.LATER)
        return later | dict.fromkeys(self.ended_workers, CrashTiming.AT_START)


def make_record(crashes: Mapping[str, CrashTiming]) -> SuspectRecord:
    """Return the record of crashes with their timing, by the text of the incarnation."""

    def workers(timing: CrashTiming) -> tuple[str, ...]:
        return tuple(sorted(worker for worker, when in crashes.items() if when is timing))

    return SuspectRecord(workers(CrashTiming.AT_START), workers(CrashTiming.LATER))


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
        crashes: Timing of the crashes under it, by the text of the incarnation; empty to remove
            the record.
        revision: Last revision of the record known to this node.
    """

    fingerprint: str
    crashes: Mapping[str, CrashTiming]
    revision: int
