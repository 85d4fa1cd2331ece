"""Counts of all processes that a node has heard of: they only grow and merge by maximum.

So it does not matter how often, in what order and by way of whom counts arrive: nothing is counted
twice, and a count that one live node holds is not lost with the process that made it.
"""

from collections import Counter

from hollowrack.usage.types import ProcessCounts, TenantCounts


class UsageCounts:
    """Requests by process, window and tenant."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, TenantCounts]] = {}
        self._first_window = 0

    def add(self, process: str, window: int, tenant: str) -> None:
        """Count one request; none is counted in a window that is decided."""
        if window < self._first_window:
            return
        tenants = self._counts.setdefault(process, {}).setdefault(window, {})
        tenants[tenant] = tenants.get(tenant, 0) + 1

    def merge(self, other: ProcessCounts) -> None:
        """Take in what a process has counted, as that process or another one tells it."""
        for window, tenants in other.windows.items():
            if window < self._first_window:
                continue
            known = self._counts.setdefault(other.process, {}).setdefault(window, {})
            for tenant, count in tenants.items():
                known[tenant] = max(count, known.get(tenant, 0))

    def of(self, process: str) -> ProcessCounts:
        """Return what is known of one process."""
        return ProcessCounts(process, self._counts.get(process, {}))

    def all(self) -> tuple[ProcessCounts, ...]:
        """Return what is known of all processes."""
        return tuple(self.of(process) for process in sorted(self._counts))

    def totals(self, window: int) -> TenantCounts:
        """Return the requests of a window by tenant, over all processes."""
        total: Counter[str] = Counter()
        for windows in self._counts.values():
            total.update(windows.get(window, {}))
        return dict(sorted(total.items()))

    def first_counted(self) -> int | None:
        """Return the first window in which anything is counted; ``None`` if there is none."""
        return min((min(windows) for windows in self._counts.values() if windows), default=None)

    def forget_before(self, window: int) -> None:
        """Forget windows that are decided."""
        self._first_window = max(window, self._first_window)
        for process, windows in list(self._counts.items()):
            kept = {number: counts for number, counts in windows.items() if number >= window}
            if kept:
                self._counts[process] = kept
            else:
                del self._counts[process]
