"""Request counts of all processes, as a grow-only counter that merges by maximum.

Counts may arrive repeatedly, in any order and through any node without being counted twice. A count
is not lost with the process that made it, as long as any live node has received it.
"""

from collections import Counter

from hollowrack.usage.types import ProcessCounts, TenantCounts

# Processes whose statements are older have ended, or will be heard again.
MAX_COMPLETE_LAG_WINDOWS = 10


class UsageCounts:
    """Number of requests by process, window and tenant."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, TenantCounts]] = {}
        self._complete_before: dict[str, int] = {}
        self._first_window = 0

    def add(self, process: str, window: int, tenant: str) -> None:
        """Count one request, unless its window has been decided."""
        if window < self._first_window:
            return
        tenants = self._counts.setdefault(process, {}).setdefault(window, {})
        tenants[tenant] = tenants.get(tenant, 0) + 1

    def merge(self, other: ProcessCounts) -> None:
        """Merge the counts of one process, received from it or from another process."""
        for window, tenants in other.windows.items():
            if window < self._first_window:
                continue
            known = self._counts.setdefault(other.process, {}).setdefault(window, {})
            for tenant, count in tenants.items():
                known[tenant] = max(count, known.get(tenant, 0))
        if other.complete_before:
            self.record_complete(other.process, other.complete_before)

    def record_complete(self, process: str, before_window: int) -> None:
        """Record that a process has counted all its requests of the windows before one."""
        known = self._complete_before.get(process, 0)
        self._complete_before[process] = max(before_window, known)

    def may_lack(self, process: str, window: int) -> bool:
        """Whether a live process may have counted requests of a window that are not known here."""
        # A process with counts but without this statement runs an earlier version.
        if process not in self._complete_before:
            return process not in self._counts
        return self._complete_before[process] <= window

    def of(self, process: str) -> ProcessCounts:
        """Return the known counts of one process."""
        complete_before = self._complete_before.get(process, 0)
        return ProcessCounts(process, self._counts.get(process, {}), complete_before)

    def all(self) -> tuple[ProcessCounts, ...]:
        """Return the known counts of all processes."""
        return tuple(self.of(process) for process in sorted(self._counts))

    def totals(self, window: int) -> TenantCounts:
        """Return the requests of a window by tenant, over all processes."""
        total: Counter[str] = Counter()
        for windows in self._counts.values():
            total.update(windows.get(window, {}))
        return dict(sorted(total.items()))

    def first_counted(self) -> int | None:
        """Return the first window with a count; ``None`` if there is none."""
        return min((min(windows) for windows in self._counts.values() if windows), default=None)

    def remove_before(self, window: int) -> None:
        """Remove the counts of decided windows; later counts for them are ignored."""
        self._first_window = max(window, self._first_window)
        self._complete_before = {
            process: before
            for process, before in self._complete_before.items()
            if before >= window - MAX_COMPLETE_LAG_WINDOWS
        }
        for process, windows in list(self._counts.items()):
            undecided = {number: counts for number, counts in windows.items() if number >= window}
            if undecided:
                self._counts[process] = undecided
            else:
                del self._counts[process]
