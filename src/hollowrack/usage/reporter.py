"""Decides each window's report once and delivers it, while this node leads.

A report is written to the coordination store on the condition that nobody has decided its window,
and only what is written there is delivered. So two leaders cannot deliver two different reports of
one window, and a new leader delivers again what the one before it may not have delivered.
"""

import asyncio
from collections.abc import Callable

from absl import logging
from returns.result import Failure

from hollowrack.clock import now_s
from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.store import (
    ABSENT_REVISION,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    NotDone,
    Put,
    StoredItem,
    Unknown,
)
from hollowrack.messages import codec
from hollowrack.tasks import cancel_all
from hollowrack.usage.counts import UsageCounts
from hollowrack.usage.types import FixedUsage, UsageClient, WindowReport

LOOK_S = 0.25
# What a process counts is at the leader within a second; a node that was cut off needs longer.
SETTLE_S = 2.5
# Nodes see a new leader within two looks at the feed, and hand it what they hold.
NEW_LEADER_WAIT_S = 1.5
RETRY_PAUSE_S = 0.5
# Reports that are this much older than the newest one are of no use to anybody.
MAX_KEPT_REPORTS = 8


class UsageReporter:
    """Reports usage for all nodes.

    Args:
        node: This node's name.
        key: Key of the decided windows in the coordination store.
        store: The coordination store.
        leadership: Whether this node may report.
        counts: All counts that this node holds.
        time_s: Returns the time of day, in seconds since 1970.
        window_s: Length of a window, in seconds.
        client: Delivers reports.
    """

    def __init__(
        self,
        node: str,
        key: str,
        store: CoordinationStore,
        leadership: Leadership,
        counts: UsageCounts,
        time_s: Callable[[], float],
        window_s: float,
        client: UsageClient,
    ) -> None:
        self._node = node
        self._key = key
        self._store = store
        self._leadership = leadership
        self._counts = counts
        self._time_s = time_s
        self._window_s = window_s
        self._client = client
        self._fixed: FixedUsage | None = None
        self._revision = ABSENT_REVISION
        # Whether a write of this node may have been done without its knowledge.
        self._is_unsure = False
        self._delivered: set[int] = set()
        self._led_token: int | None = None
        self._leads_since_s = 0.0
        # The window in which this node began to lead.
        self._led_from_window = 0
        self._retry_from_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reporting whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reporting."""
        await cancel_all(self._task)

    def take(self, item: StoredItem | None) -> None:
        """Take in what the store holds, as a mirror or a failed write shows it."""
        if item is None or item.revision <= self._revision:
            return
        decoded = codec.decode(item.value)
        if isinstance(decoded, Failure) or not isinstance(decoded.unwrap(), FixedUsage):
            logging.error("usage: the decided windows cannot be read: %s", decoded)
            return
        self._revision = item.revision
        self._fixed = decoded.unwrap()
        self._counts.forget_before(self._fixed.next_window)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            if self._leadership.may_act:
                self._note_leading()
                await self._decide_next()
                await self._deliver()

    def _note_leading(self) -> None:
        if self._led_token != self._leadership.fencing_token:
            self._led_token = self._leadership.fencing_token
            self._leads_since_s = now_s()
            self._led_from_window = int(self._time_s() // self._window_s)
            self._delivered.clear()

    async def _decide_next(self) -> None:
        """Decide the oldest window that is open, if it has ended long enough ago."""
        if now_s() < self._leads_since_s + NEW_LEADER_WAIT_S:
            return
        if self._is_unsure and not await self._look():
            return
        window = self._first_window() if self._fixed is None else self._fixed.next_window
        if self._time_s() < (window + 1) * self._window_s + SETTLE_S:
            return
        report = WindowReport(window, self._counts.totals(window))
        open_reports = () if self._fixed is None else self._fixed.reports
        kept = [one for one in open_reports if one.window not in self._delivered]
        decided = FixedUsage(window + 1, (*kept[1 - MAX_KEPT_REPORTS :], report))
        outcome = await self._store.transact(
            [Condition(self._key, self._revision)], [Put(self._key, codec.encode(decided))]
        )
        if isinstance(outcome, Committed):
            logging.info("usage of window %d: %d requests", window, sum(report.counts.values()))
            self.take(StoredItem(self._key, codec.encode(decided), outcome.revision))
        elif isinstance(outcome, Conflict):
            self.take(next(iter(outcome.current), None))
        else:
            # The write may be done, or be done later: what it decided is read before another one.
            self._is_unsure = True
            logging.warning("usage of window %d: not decided, %s", window, outcome)

    def _first_window(self) -> int:
        """The window from which on there are reports: nobody has decided any."""
        counted = self._counts.first_counted()
        led_from = self._led_from_window
        return led_from if counted is None else min(led_from, counted)

    async def _look(self) -> bool:
        """Read what the store holds; returns whether it answered."""
        item = await self._store.get(self._key)
        if isinstance(item, NotDone | Unknown):
            return False
        self.take(item)
        self._is_unsure = False
        return True

    async def _deliver(self) -> None:
        """Deliver decided reports, oldest first."""
        if self._fixed is None or now_s() < self._retry_from_s:
            return
        for report in self._fixed.reports:
            token = self._leadership.fencing_token
            if report.window in self._delivered:
                continue
            if token is None or not self._leadership.may_act:
                return
            outcome = await self._client.report_usage(DutyHolder(self._node, token), report)
            logging.info("usage of window %d: %s", report.window, outcome.value)
            if outcome is not DutyOutcome.ACCEPTED:
                self._retry_from_s = now_s() + RETRY_PAUSE_S
                return
            self._delivered.add(report.window)
