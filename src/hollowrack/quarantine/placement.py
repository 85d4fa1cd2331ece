"""Keeps suspects apart, so that one which ends a worker does not condemn the others.

All that a worker runs is broken off when it ends, and whatever is caught in three such ends looks
just like the one request that caused them. So a request that has been caught twice shares no worker
with another suspect: its third end is its own.
"""

from collections import Counter, defaultdict

from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.quarantine.registry import QUARANTINE_CRASH_THRESHOLD, SuspectRegistry

# One end more condemns such a request.
ISOLATION_CRASH_THRESHOLD = QUARANTINE_CRASH_THRESHOLD - 1


class SuspectPlacement:
    """Where this node runs suspects.

    Args:
        register: How many workers have ended under each request.
    """

    def __init__(self, register: SuspectRegistry) -> None:
        self._register = register
        self._suspects_at: defaultdict[WorkerIncarnation, Counter[str]] = defaultdict(Counter)

    def allows(self, fingerprint: str, worker: WorkerIncarnation) -> bool:
        """Whether a request may begin at a worker beside those that are there."""
        num_ended = self._register.num_crashes(fingerprint)
        if num_ended == 0 or worker not in self._suspects_at:
            return True
        others = [other for other in self._suspects_at[worker] if other != fingerprint]
        most_ended = max((self._register.num_crashes(other) for other in others), default=0)
        return most_ended == 0 or max(num_ended, most_ended) < ISOLATION_CRASH_THRESHOLD

    def begin(self, fingerprint: str, worker: WorkerIncarnation) -> None:
        """A request begins at a worker."""
        if self._register.num_crashes(fingerprint) > 0:
            self._suspects_at[worker][fingerprint] += 1

    def end(self, fingerprint: str, worker: WorkerIncarnation) -> None:
        """A request is over at a worker."""
        suspects = self._suspects_at.get(worker)
        if suspects is None or fingerprint not in suspects:
            return
        suspects[fingerprint] -= 1
        if suspects[fingerprint] <= 0:
            del suspects[fingerprint]
        if not suspects:
            del self._suspects_at[worker]
