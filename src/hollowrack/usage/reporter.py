"""Reporter of usage, active on the leader: decides each window's report once and delivers it.

A report is written to the coordination store on condition that its window is undecided, and only
stored reports are delivered. Two leaders therefore cannot deliver different reports of one window,
and a new leader delivers again what its predecessor may not have delivered.

If the delay of reports is bounded, decisions and deliveries run independently, so that a store that
does not answer holds up no delivery, and a new leader decides before it may deliver.
"""

import asyncio
from collections.abc import Callable, Collection

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.leadership_term import LeadershipTerm
from hollowrack.coordination.record import Record
from hollowrack.coordination.store import CoordinationStore, StoredItem
from hollowrack.tasks import cancel_all
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.types import DecidedUsage, UsageClient, WindowReport
from hollowrack.usage.window_schedule import NEW_LEADER_WAIT_S, LeaderState, WindowSchedule

POLL_INTERVAL_S = 0.25
RETRY_INTERVAL_S = 0.5
# Older undelivered reports are dropped.
MAX_PENDING_REPORTS = 8


class UsageReporter:
    """Reports the usage of all nodes while this node leads.

    Args:
        node: This node's name.
        key: Key of the decided windows in the coordination store.
        store: Holds the decided windows.
        leadership: Whether this node may report.
        meter: Provides the counts and the time of day.
        schedule: Decides when windows are decided and in which order reports are delivered.
        client: Delivers reports to the platform.
        live_processes: Returns the other processes that have a session with the store.
        tolerance: Largest allowed difference between reported and true counts, as a fraction of the
            true ones; ``None`` if there is no bound.

    Attributes:
        num_delivered: Number of reports delivered by this node: ``in_time``, ``late``, or
            ``inherited`` from an earlier leader, which may have delivered them in time.
        num_unreported: Number of requests that this node left out of windows that it decided, as
            far as it learnt of them.
        has_bound: Whether the delay of reports is bounded.
    """

    def __init__(
        self,
        node: str,
        key: str,
        store: CoordinationStore,
        leadership: Leadership,
        meter: UsageMeter,
        schedule: WindowSchedule,
        client: UsageClient,
        live_processes: Callable[[], Collection[str]],
        tolerance: float | None = None,
    ) -> None:
        self._node = node
        self._live_processes = live_processes
        self._leadership = leadership
        self._counts = meter.counts
        self._time_s = meter.time_s
        self._schedule = schedule
        self._client = client
        self._record = Record(store, key, DecidedUsage, self._discard_decided)
        self._term = LeadershipTerm(leadership)
        # The window in which this node became the leader.
        self._term_start_window = 0
        self._delivered: set[int] = set()
        self.num_delivered = {"in_time": 0, "late": 0, "inherited": 0}
        self.num_unreported = 0
        self.has_bound = schedule.late_s is not None
        self._tolerance = tolerance
        # Requests reported and requests logged as not reported, by window decided in this term.
        self._num_reported: dict[int, int] = {}
        self._num_unreported_in: dict[int, int] = {}
        self._retry_from_s = 0.0
        # Time from which a refused report is sent again, by window.
        self._retry_report_from_s: dict[int, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start reporting whenever this node leads."""
        if self._schedule.late_s is None:
            self._tasks = [asyncio.create_task(self._run())]
        else:
            self._tasks = [
                asyncio.create_task(self._run_decisions()),
                asyncio.create_task(self._run_deliveries()),
            ]

    async def stop(self) -> None:
        """Stop reporting."""
        await cancel_all(*self._tasks)

    def update_decided(self, item: StoredItem | None) -> None:
        """Update the decided windows from the mirrored item."""
        self._record.update(item)

    def _discard_decided(self, decided: DecidedUsage) -> None:
        self._counts.remove_before(decided.next_window)

    async def _run(self) -> None:
        """Decide and deliver, without a bound on the delay of reports."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._leadership.may_act:
                continue
            self._update_term()
            if self._term.age_s >= NEW_LEADER_WAIT_S:
                await self._decide_next()
            await self._deliver()

    async def _run_decisions(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            # A decision is a conditional write, so a new leader need not wait for the handover.
            if self._leadership.is_leader:
                self._update_term()
                await self._decide_next()
                self._log_unreported()

    async def _run_deliveries(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._leadership.may_act:
                self._update_term()
                await self._deliver()

    def _update_term(self) -> None:
        if self._term.update():
            self._term_start_window = self._schedule.window_at(self._time_s())
            self._delivered.clear()
            self._retry_report_from_s.clear()
            self._num_reported.clear()
            self._num_unreported_in.clear()

    async def _decide_next(self) -> None:
        """Decide the oldest undecided windows, as far as they are to be decided now."""
        if not await self._record.ensure_current():
            return
        decided = self._record.value or DecidedUsage(self._first_window())
        first_window = decided.next_window
        undelivered = [entry for entry in decided.reports if entry.window not in self._delivered]
        state = LeaderState(self._time_s(), self._term.age_s, self._leadership.acts_in_s)
        room = MAX_PENDING_REPORTS - len(undelivered)
        if room <= 0 and not self._schedule.may_displace_report(first_window, state):
            return
        num_windows = self._schedule.num_to_decide(
            first_window,
            state,
            lambda window: bool(self._missing_processes(window)),
            max(1, room),
        )
        if not num_windows:
            return
        windows = range(first_window, first_window + num_windows)
        for window in windows:
            self._log_missing(window)
        reports = [WindowReport(window, self._counts.totals(window)) for window in windows]
        pending = (*undelivered, *reports)[-MAX_PENDING_REPORTS:]
        if room < num_windows:
            logging.warning(
                "usage of window %d: dropped, %d later reports are undelivered",
                undelivered[0].window,
                len(undelivered) - 1,
            )
        updated = DecidedUsage(windows.stop, pending)
        is_decided = await self._record.replace(updated)
        for report in reports:
            num_requests = sum(report.counts.values())
            if is_decided:
                self._num_reported[report.window] = num_requests
            logging.info(
                "usage of window %d: %d requests, %s",
                report.window,
                num_requests,
                "decided" if is_decided else "not decided",
            )

    def _missing_processes(self, window: int) -> list[str]:
        """Return the live processes that may have counts of a window that are not known here."""
        return [
            process for process in self._live_processes() if self._counts.may_lack(process, window)
        ]

    def _log_missing(self, window: int) -> None:
        missing = self._missing_processes(window)
        if missing:
            logging.warning(
                "usage of window %d: decided without the last counts of %d processes, among them "
                "%s",
                window,
                len(missing),
                missing[0],
            )

    def _log_unreported(self) -> None:
        """Log how many requests arrived too late for the windows decided in this term."""
        first_kept = max(self._num_reported, default=0) - MAX_PENDING_REPORTS
        for window, num_reported in list(self._num_reported.items()):
            if window <= first_kept:
                del self._num_reported[window]
                self._num_unreported_in.pop(window, None)
                continue
            num_counted = self._counts.num_decided(window)
            num_unreported = num_counted - num_reported
            num_new = num_unreported - self._num_unreported_in.get(window, 0)
            if num_new <= 0:
                continue
            self.num_unreported += num_new
            self._num_unreported_in[window] = num_unreported
            fraction = num_unreported / num_counted
            is_allowed = self._tolerance is None or fraction <= self._tolerance
            logging.log(
                logging.INFO if is_allowed else logging.WARNING,
                "usage of window %d: %d requests counted after the decision are not reported, "
                "%.1f%% of all",
                window,
                num_unreported,
                100.0 * fraction,
            )

    def _first_window(self) -> int:
        """The first window to report if none has been decided yet."""
        counted = self._counts.first_counted()
        term_start = self._term_start_window
        return term_start if counted is None else min(term_start, counted)

    async def _deliver(self) -> None:
        """Deliver decided reports until there is none left or a delivery fails."""
        decided = self._record.value
        if decided is None:
            return
        while now_s() >= self._retry_from_s:
            token = self._leadership.fencing_token
            report = self._schedule.next_delivery(
                decided.reports, self._delivered, self._retry_report_from_s, self._time_s(), now_s()
            )
            if report is None or token is None or not self._leadership.may_act:
                return
            outcome = await self._client.report_usage(DutyHolder(self._node, token), report)
            logging.info("usage of window %d: %s", report.window, outcome.value)
            if outcome is DutyOutcome.ACCEPTED:
                self._delivered.add(report.window)
                self._record_delivery(report.window)
            elif outcome is DutyOutcome.REFUSED and self._schedule.late_s is not None:
                self._retry_report_from_s[report.window] = now_s() + RETRY_INTERVAL_S
            else:
                self._retry_from_s = now_s() + RETRY_INTERVAL_S

    def _record_delivery(self, window: int) -> None:
        """Count a delivered report, and log it if it was decided in this term and is late."""
        time_s = self._time_s()
        if window not in self._num_reported:
            self.num_delivered["inherited"] += 1
        elif not self._schedule.is_late(window, time_s):
            self.num_delivered["in_time"] += 1
        else:
            self.num_delivered["late"] += 1
            logging.warning(
                "usage of window %d: reported %.1f s after its end, %.1f s allowed",
                window,
                self._schedule.age_s(window, time_s),
                self._schedule.late_s,
            )
