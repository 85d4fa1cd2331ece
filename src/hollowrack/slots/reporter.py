"""Reports to the arbiter as often as slots move."""

import asyncio
import contextlib
from collections.abc import Callable

from absl import logging

from hollowrack.clock import now_s
from hollowrack.results import ResultCode
from hollowrack.slots.arbiter import SlotArbiter
from hollowrack.slots.holder import SlotHolder
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.slots.types import SlotAnswer, SlotGrant, SlotPeers, SlotRefusal, SlotReport
from hollowrack.tasks import cancel_all

# A slot that another owner has freed stands idle until the next report of the one it is meant for.
OWED_REPORT_INTERVAL_S = 0.1
# Slots that one owner does not need reach one whose work has just come within two reports.
ACTIVE_REPORT_INTERVAL_S = 0.2
# Otherwise a report only renews the grant, which lasts three times as long.
IDLE_REPORT_INTERVAL_S = 1.0
# Items of a job come one by one: those that come together are reported together.
MIN_REPORT_INTERVAL_S = 0.05
# A tick this much early, in seconds, counts as on time: the loop wakes at ticks, not at due times.
TICK_TOLERANCE_S = 0.02
# An outage fails every report; one line a second, in seconds, tells how long it lasts.
FAILURE_LOG_INTERVAL_S = 1.0


class SlotReporter:
    """Keeps the grants of one node fresh.

    Args:
        holder: Holds them.
        arbiter: Answers if this node leads.
        services: Returns the services whose slots are shared.
        leader: Returns the process that leads, if that is known.
        owner: Name of this process.
        address_of: Returns where a process is reached, if that is known.
        peers: Reports to other nodes.
    """

    def __init__(
        self,
        holder: SlotHolder,
        arbiter: SlotArbiter,
        services: Callable[[], list[str]],
        leader: Callable[[], str | None],
        owner: str,
        address_of: Callable[[], str | None],
        peers: SlotPeers,
    ) -> None:
        self._holder = holder
        self._arbiter = arbiter
        self._services = services
        self._leader = leader
        self._owner = owner
        self._address_of = address_of
        self._peers = peers
        self._is_urgent = asyncio.Event()
        self._last_s: dict[str, float] = {}
        self._failures_logged = LogIntervalLimiter(FAILURE_LOG_INTERVAL_S)
        self._task: asyncio.Task[None] | None = None
        holder.on_urgent(self._is_urgent.set)

    def start(self) -> None:
        """Start reporting."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reporting, and give up what is granted if the arbiter hears of it at once."""
        await cancel_all(self._task)
        reports = [self._holder.leave(service) for service in self._holder.held_services()]
        await asyncio.gather(*(self._ask(report) for report in reports if report is not None))

    async def abandon(self) -> None:
        """Stop at once, as a crash would; for tests."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            is_urgent = self._is_urgent.is_set()
            self._is_urgent.clear()
            try:
                self._arbiter.update_leadership(now_s())
                await self._report_all(is_urgent)
            except Exception:
                logging.exception("slots: a fault of the program, goes on")
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(OWED_REPORT_INTERVAL_S - MIN_REPORT_INTERVAL_S):
                    await self._is_urgent.wait()

    async def _report_all(self, is_urgent: bool) -> None:
        reports = [
            report
            for service in {*self._services(), *self._holder.held_services()}
            if (report := self._due_report(service, is_urgent)) is not None
        ]
        await asyncio.gather(*(self._send(report) for report in reports))

    def _due_report(self, service: str, is_urgent: bool) -> SlotReport | None:
        if not self._holder.shares_slots_of(service):
            self._last_s.pop(service, None)
            return self._holder.leave(service)
        due_s = self._last_s.get(service, -float("inf")) + self._interval_s(service)
        # Ticks are not exact: one that comes a little early stands for its interval.
        if not is_urgent and now_s() < due_s - TICK_TOLERANCE_S:
            return None
        self._last_s[service] = now_s()
        return self._holder.report(service)

    def _interval_s(self, service: str) -> float:
        """How long after a report the next one is due, in seconds."""
        if self._holder.is_owed_slots(service):
            return OWED_REPORT_INTERVAL_S
        if self._holder.may_move_slots(service):
            return ACTIVE_REPORT_INTERVAL_S
        return IDLE_REPORT_INTERVAL_S

    async def _send(self, report: SlotReport) -> None:
        answer = await self._ask(report)
        if report.is_leaving:
            return
        if self._leader() is None or _is_without_arbiter(answer):
            self._holder.record_no_arbiter(report.service)
        if isinstance(answer, SlotGrant):
            self._holder.accept(answer)
        elif self._failures_logged.allow(now_s()):
            reason = "no answer" if answer is None else f"[{answer.code}] {answer.detail}"
            logging.info(
                "slots of %s: report %d to %s brought no grant: %s",
                report.service,
                report.number,
                self._leader(),
                reason,
            )

    async def _ask(self, report: SlotReport) -> SlotAnswer | None:
        if self._leader() == self._owner:
            return self._arbiter.answer(report, now_s())
        address = self._address_of()
        return None if address is None else await self._peers.report(address, report)


def _is_without_arbiter(answer: SlotAnswer | None) -> bool:
    """Whether the node asked says that it may not grant."""
    return isinstance(answer, SlotRefusal) and answer.code == ResultCode.NOT_LEADER
