"""Request counts of all processes, as a grow-only counter that merges by maximum.

Counts may arrive repeatedly, in any order and through any node without being counted twice. A count
is not lost with the process that made it, as long as any live node has received it.
"""

from collections import Counter

from hollowrack.usage.types import ProcessCounts, TenantCounts

# Decided windows of which counts are kept, to tell how many requests were not reported. Requests
# that end more than four windows after their start are few.
NUM_DECIDED_WINDOWS_KEPT = 4
# Processes whose statements are older have ended, or will be heard again.
MAX_COMPLETE_LAG_WINDOWS = 10


class UsageCounts:
    """Number of requests by process, window and tenant.

    Args:
        keeps_decided: Whether counts of decided windows are kept for some time; they are never
            reported.
    """

    def __init__(self, keeps_decided: bool = False) -> None:
        self._counts: dict[str, dict[int, TenantCounts]] = {}
        self._keeps_decided = keeps_decided
        self._decided: dict[int, dict[str, TenantCounts]] = {}
        # Processes and decided windows for which this node counted requests after it had learnt of
        # the decision.
        self._late: set[tuple[str, int]] = set()
        self._complete_before: dict[str, int] = {}
        self._first_window = 0

    def add(self, process: str, window: int, tenant: str) -> None:
        """Count one request, unless its window has been decided."""
        tenants = self._known(process, window)
        if tenants is not None:
            tenants[tenant] = tenants.get(tenant, 0) + 1
            if window < self._first_window:
                self._late.add((process, window))

    def _known(self, process: str, window: int) -> TenantCounts | None:
        """Return the counts to update; ``None`` if the window was decided long ago."""
        if window >= self._first_window:
            return self._counts.setdefault(process, {}).setdefault(window, {})
        decided = self._decided.get(window)
        return None if decided is None else decided.setdefault(process, {})

    def merge(self, other: ProcessCounts) -> None:
        """Merge the counts of one process, received from it or from another process."""
        for window, tenants in other.windows.items():
            known = self._known(other.process, window)
            if known is None:
                continue
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
        """Return the known counts of one process.

        Decided windows are included if the process counted requests after the decision, so that
        the leader learns their number.
        """
        complete_before = self._complete_before.get(process, 0)
        windows = self._counts.get(process, {})
        late = {
            window: self._decided[window][process]
            for counting_process, window in self._late
            if counting_process == process
        }
        return ProcessCounts(process, {**windows, **late} if late else windows, complete_before)

    def all(self) -> tuple[ProcessCounts, ...]:
        """Return the known counts of all processes."""
        return tuple(self.of(process) for process in sorted(self._counts))

    def totals(self, window: int) -> TenantCounts:
        """Return the requests of a window by tenant, over all processes."""
        total: Counter[str] = Counter()
        for windows in self._counts.values():
            total.update(windows.get(window, {}))
        return dict(sorted(total.items()))

    def num_decided(self, window: int) -> int:
        """Return the known requests of a decided window, including those that arrived later."""
        by_process = self._decided.get(window, {})
        return sum(sum(tenants.values()) for tenants in by_process.values())

    def first_counted(self) -> int | None:
        """Return the first window with a count; ``None`` if there is none."""
        return min((min(windows) for windows in self._counts.values() if windows), default=None)

    def remove_before(self, window: int) -> None:
        """Remove the counts of decided windows; later counts for them are not reported."""
        if self._keeps_decided and window > self._first_window:
            self._keep_decided(window)
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

    def _keep_decided(self, before_window: int) -> None:
        first_kept = before_window - NUM_DECIDED_WINDOWS_KEPT
        for window in range(max(first_kept, self._first_window), before_window):
            self._decided[window] = {
                process: windows[window]
                for process, windows in self._counts.items()
                if window in windows
            }
        self._decided = {
            window: counts for window, counts in self._decided.items() if window >= first_kept
        }
        self._late = {entry for entry in self._late if entry[1] >= first_kept}
