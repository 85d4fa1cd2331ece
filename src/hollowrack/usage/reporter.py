"""Reporter of usage, active on the leader: decides each window's report once and delivers it.

A report is written to the coordination store on condition that its window is undecided, and only
stored reports are delivered. Two leaders therefore cannot deliver different reports of one window,
and a new leader delivers again what its predecessor may not have delivered.
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
from hollowrack.usage.meter import WINDOW_GRACE_S, UsageMeter
from hollowrack.usage.types import DecidedUsage, UsageClient, WindowReport

POLL_INTERVAL_S = 0.25
# Time for live processes to push counts that are missing. After a store outage a process may take
# this long to see a new leader.
MISSING_COUNTS_TIMEOUT_S = 5.0
# Time for nodes to see a new leader and push their counts to it.
NEW_LEADER_WAIT_S = 1.5
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
        window_s: Length of a window, in seconds.
        client: Delivers reports to the platform.
        live_processes: Returns the other processes that have a session with the store.
    """

    def __init__(
        self,
        node: str,
        key: str,
        store: CoordinationStore,
        leadership: Leadership,
        meter: UsageMeter,
        window_s: float,
        client: UsageClient,
        live_processes: Callable[[], Collection[str]],
    ) -> None:
        self._node = node
        self._live_processes = live_processes
        self._leadership = leadership
        self._counts = meter.counts
        self._time_s = meter.time_s
        self._window_s = window_s
        self._client = client
        self._record = Record(store, key, DecidedUsage, self._discard_decided)
        self._term = LeadershipTerm(leadership)
        # The window in which this node became the leader.
        self._term_start_window = 0
        self._delivered: set[int] = set()
        self._retry_from_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reporting whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reporting."""
        await cancel_all(self._task)

    def update_decided(self, item: StoredItem | None) -> None:
        """Update the decided windows from the mirrored item."""
        self._record.update(item)

    def _discard_decided(self, decided: DecidedUsage) -> None:
        self._counts.remove_before(decided.next_window)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._leadership.may_act:
                continue
            if self._term.update():
                self._term_start_window = int(self._time_s() // self._window_s)
                self._delivered.clear()
            if self._term.age_s >= NEW_LEADER_WAIT_S:
                await self._decide_next()
            await self._deliver()

    async def _decide_next(self) -> None:
        """Decide the oldest undecided window, if it ended at least ``WINDOW_GRACE_S`` ago."""
        if not await self._record.ensure_current():
            return
        decided = self._record.value or DecidedUsage(self._first_window())
        window = decided.next_window
        overdue_s = self._time_s() - (window + 1) * self._window_s - WINDOW_GRACE_S
        if overdue_s < 0.0 or self._must_wait_for_counts(window, overdue_s):
            return
        report = WindowReport(window, self._counts.totals(window))
        undelivered = [entry for entry in decided.reports if entry.window not in self._delivered]
        updated = DecidedUsage(window + 1, (*undelivered[1 - MAX_PENDING_REPORTS :], report))
        is_decided = await self._record.replace(updated)
        logging.info(
            "usage of window %d: %d requests, %s",
            window,
            sum(report.counts.values()),
            "decided" if is_decided else "not decided",
        )

    def _must_wait_for_counts(self, window: int, overdue_s: float) -> bool:
        """Whether counts of a window may be missing that a live process will push soon."""
        missing = [
            process for process in self._live_processes() if self._counts.may_lack(process, window)
        ]
        if not missing:
            return False
        # A process that did not see this leader yet is given the same time as a late one.
        if min(overdue_s, self._term.age_s) < MISSING_COUNTS_TIMEOUT_S:
            return True
        logging.warning(
            "usage of window %d: decided without the last counts of %d processes, among them %s",
            window,
            len(missing),
            missing[0],
        )
        return False

    def _first_window(self) -> int:
        """The first window to report if none has been decided yet."""
        counted = self._counts.first_counted()
        term_start = self._term_start_window
        return term_start if counted is None else min(term_start, counted)

    async def _deliver(self) -> None:
        """Deliver decided reports, oldest first."""
        decided = self._record.value
        if decided is None or now_s() < self._retry_from_s:
            return
        for report in decided.reports:
            token = self._leadership.fencing_token
            if report.window in self._delivered:
                continue
            if token is None or not self._leadership.may_act:
                return
            outcome = await self._client.report_usage(DutyHolder(self._node, token), report)
            logging.info("usage of window %d: %s", report.window, outcome.value)
            if outcome is not DutyOutcome.ACCEPTED:
                self._retry_from_s = now_s() + RETRY_INTERVAL_S
                return
            self._delivered.add(report.window)
