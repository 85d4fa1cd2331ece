"""Placement of suspects: keeps requests one crash short of quarantine on separate workers.

A crash interrupts all requests of the worker, and each of them counts it. The last crash before a
quarantine must not be caused by another suspect at the same worker.
"""

from collections import Counter, defaultdict

from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.quarantine.registry import QUARANTINE_CRASH_THRESHOLD, SuspectRegistry

# One more crash quarantines such a request.
ISOLATION_CRASH_THRESHOLD = QUARANTINE_CRASH_THRESHOLD - 1


class SuspectPlacement:
    """Records where this node runs suspects, and decides which workers they may use.

    Args:
        registry: Suspects known to this node.
    """

    def __init__(self, registry: SuspectRegistry) -> None:
        self._registry = registry
        self._suspects_at: defaultdict[WorkerIncarnation, Counter[str]] = defaultdict(Counter)

    def allows(self, fingerprint: str, worker: WorkerIncarnation) -> bool:
        """Return whether a request may start at a worker, given the suspects that run there."""
        weight = self._registry.crash_weight(fingerprint)
        if weight == 0.0 or worker not in self._suspects_at:
            return True
        others = [other for other in self._suspects_at[worker] if other != fingerprint]
        max_other_weight = max(map(self._registry.crash_weight, others), default=0.0)
        return max_other_weight == 0.0 or max(weight, max_other_weight) < ISOLATION_CRASH_THRESHOLD

    def begin(self, fingerprint: str, worker: WorkerIncarnation) -> None:
        """Record the start of a request at a worker."""
        if self._registry.num_crashes(fingerprint) > 0:
            self._suspects_at[worker][fingerprint] += 1

    def end(self, fingerprint: str, worker: WorkerIncarnation) -> None:
        """Record the end of a request at a worker."""
        suspects = self._suspects_at.get(worker)
        if suspects is None or fingerprint not in suspects:
            return
        suspects[fingerprint] -= 1
        if suspects[fingerprint] <= 0:
            del suspects[fingerprint]
        if not suspects:
            del self._suspects_at[worker]
