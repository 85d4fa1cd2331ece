"""Placement of suspects: keeps requests one crash short of quarantine on separate workers.

A crash interrupts all requests of the worker, and each of them counts it. The last crash before a
quarantine must not be caused by another suspect at the same worker.
"""

from collections import Counter, defaultdict

from hollowrack.forwarding.types import WorkerLife
from hollowrack.quarantine.register import NUM_ENDS, SuspectRegister

# One more crash quarantines such a request.
NUM_ENDS_KEPT_APART = NUM_ENDS - 1


class SuspectPlaces:
    """Records where this node runs suspects, and decides which workers they may use.

    Args:
        register: Suspects known to this node.
    """

    def __init__(self, register: SuspectRegister) -> None:
        self._registry = register
        self._suspects_at: defaultdict[WorkerLife, Counter[str]] = defaultdict(Counter)

    def allows(self, fingerprint: str, worker: WorkerLife) -> bool:
        """Return whether a request may start at a worker, given the suspects that run there."""
        num_ended = self._registry.num_ended(fingerprint)
        if num_ended == 0 or worker not in self._suspects_at:
            return True
        others = [other for other in self._suspects_at[worker] if other != fingerprint]
        max_other_crashes = max((self._registry.num_ended(other) for other in others), default=0)
        return max_other_crashes == 0 or max(num_ended, max_other_crashes) < NUM_ENDS_KEPT_APART

    def begin(self, fingerprint: str, worker: WorkerLife) -> None:
        """Record the start of a request at a worker."""
        if self._registry.num_ended(fingerprint) > 0:
            self._suspects_at[worker][fingerprint] += 1

    def end(self, fingerprint: str, worker: WorkerLife) -> None:
        """Record the end of a request at a worker."""
        suspects = self._suspects_at.get(worker)
        if suspects is None or fingerprint not in suspects:
            return
        suspects[fingerprint] -= 1
        if suspects[fingerprint] <= 0:
            del suspects[fingerprint]
        if not suspects:
            del self._suspects_at[worker]
