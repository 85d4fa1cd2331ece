"""Schedule of usage reports: when a window is decided, and which report is delivered next.

Without a bound on the delay of reports, a window is decided once nothing is missing, or when the
wait for missing counts ends, and reports are delivered in the order of their windows. With a bound,
a window is also decided when just enough time is left to deliver its report, whatever is missing,
and reports that can still be in time are delivered first.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from hollowrack.usage.meter import WINDOW_GRACE_S
from hollowrack.usage.types import WindowReport

# Time for live processes to push counts that are missing. After a store outage a process may take
# this long to see a new leader.
MISSING_COUNTS_TIMEOUT_S = 5.0
# Time for nodes to see a new leader and push their counts to it.
NEW_LEADER_WAIT_S = 1.5
# Time reserved for the write of a decision: one store call without an answer takes 1.2 s and is
# followed by a read.
DECISION_RESERVE_S = 1.5
# Time reserved for the delivery: one call without an answer takes 0.8 s, and the next one is made
# 0.5 s later.
DELIVERY_RESERVE_S = 1.5
# The reserves take at most this part of the bound, so that a short bound leaves time to count.
MAX_RESERVED_FRACTION = 0.5


@dataclass(frozen=True)
class LeaderState:
    """What a decision depends on, besides the counts.

    Attributes:
        time_s: Time of day, in seconds since 1970.
        term_age_s: Time since the leadership term began, in seconds.
        acts_in_s: Time until this node may deliver reports, in seconds.
    """

    time_s: float
    term_age_s: float
    acts_in_s: float = 0.0


class WindowSchedule:
    """Decides when windows are decided and in which order reports are delivered.

    Args:
        window_s: Length of a window, in seconds.
        late_s: Time after the end of a window until which its report must be delivered, in seconds;
            ``None`` if there is no bound.
    """

    def __init__(self, window_s: float, late_s: float | None = None) -> None:
        self._window_s = window_s
        self.late_s = late_s
        if late_s is None:
            self._last_decision_s = float("inf")
        else:
            reserve_s = DECISION_RESERVE_S + DELIVERY_RESERVE_S
            self._last_decision_s = late_s - min(reserve_s, MAX_RESERVED_FRACTION * late_s)

    def window_at(self, time_s: float) -> int:
        """Return the window that contains a time."""
        return int(time_s // self._window_s)

    def age_s(self, window: int, time_s: float) -> float:
        """Return the time since the end of a window, in seconds; negative before its end."""
        return time_s - (window + 1) * self._window_s

    def is_late(self, window: int, time_s: float) -> bool:
        """Whether a report of a window would be late now."""
        return self.late_s is not None and self.age_s(window, time_s) > self.late_s

    def may_displace_report(self, window: int, state: LeaderState) -> bool:
        """Whether a window is decided although the oldest undelivered report is dropped for it.

        With a bound on the delay, only a report that can still be in time is worth that. A leader
        that may not deliver yet, and one that catches up after an outage, deliver first.
        """
        if self.late_s is None:
            return True
        return state.acts_in_s <= 0.0 and not self.is_late(window, state.time_s)

    def num_to_decide(
        self,
        first_window: int,
        state: LeaderState,
        is_missing: Callable[[int], bool],
        max_windows: int,
    ) -> int:
        """Return how many windows to decide now, beginning with the first undecided one.

        Windows are decided in their order, so a window that must be decided now takes along those
        before it.

        Args:
            first_window: The first undecided window.
            state: Time and leadership.
            is_missing: Whether counts of a window may be missing that a live process will push.
            max_windows: Largest number of windows to decide at once.
        """
        if self.late_s is None:
            return int(self._is_due(first_window, state, is_missing))
        # Until shortly before a report can be delivered, waiting for counts delays nothing.
        if state.acts_in_s > DECISION_RESERVE_S:
            return 0
        num_windows = 0
        while num_windows < max_windows and self._is_due(
            first_window + num_windows, state, is_missing
        ):
            num_windows += 1
        newest = self.window_at(state.time_s - self._last_decision_s) - 1
        if self._is_last_moment(newest, state):
            num_windows = max(num_windows, newest - first_window + 1)
        return min(num_windows, max_windows)

    def _is_due(self, window: int, state: LeaderState, is_missing: Callable[[int], bool]) -> bool:
        """Whether nothing is missing, or the wait for missing counts has ended."""
        overdue_s = self.age_s(window, state.time_s) - WINDOW_GRACE_S
        if overdue_s < 0.0 or state.term_age_s < NEW_LEADER_WAIT_S:
            return False
        # A process that did not see this leader yet is given the same time as a late one.
        waited_s = min(overdue_s, state.term_age_s)
        return waited_s >= MISSING_COUNTS_TIMEOUT_S or not is_missing(window)

    def _is_last_moment(self, window: int, state: LeaderState) -> bool:
        """Whether a report can be in time only if its window is decided now."""
        return self.age_s(window, state.time_s) >= self._last_decision_s and not self.is_late(
            window, state.time_s + state.acts_in_s
        )

    def next_delivery(
        self,
        reports: Sequence[WindowReport],
        delivered: Collection[int],
        retry_from_s: Mapping[int, float],
        time_s: float,
        now_s: float,
    ) -> WindowReport | None:
        """Return the report to deliver next; ``None`` if there is none now.

        With a bound, reports that can still be in time come first, then those that are late, each
        in the order of their windows. A report that was refused does not hold up the others.

        Args:
            reports: Decided reports, oldest first.
            delivered: Windows whose reports have been delivered.
            retry_from_s: Time from which a refused report is sent again, by window, on the clock of
                ``now_s``.
            time_s: Time of day, in seconds since 1970.
            now_s: Time on the steady clock, in seconds.
        """
        waiting = [report for report in reports if report.window not in delivered]
        if self.late_s is not None:
            waiting = [
                report for report in waiting if now_s >= retry_from_s.get(report.window, now_s)
            ]
            waiting.sort(key=lambda report: (self.is_late(report.window, time_s), report.window))
        return waiting[0] if waiting else None
