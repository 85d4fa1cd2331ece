"""Periodic slot reports of this node to the arbiter."""

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

# A slot released by another owner stays idle until the next report of the owner it is planned for.
OWED_REPORT_INTERVAL_S = 0.1
# Unused slots are reassigned within two reports.
ACTIVE_REPORT_INTERVAL_S = 0.2
# Interval of reports that only renew the grant: a third of GRANT_TTL_S.
IDLE_REPORT_INTERVAL_S = 1.0
# Combines changes that follow each other closely into one report.
MIN_REPORT_INTERVAL_S = 0.05
# A report may be sent this much before it is due, as the loop wakes up at ticks, not at due times.
TICK_TOLERANCE_S = 0.02
# During an outage every report fails; one line per second shows how long the outage lasts.
FAILURE_LOG_INTERVAL_S = 1.0


class SlotReporter:
    """Sends this node's reports to the arbiter and passes the answers to the holder.

    Args:
        holder: Grants held by this node.
        arbiter: Arbiter of this node, used while this node is the leader.
        services: Returns the names of the services whose slots are shared.
        leader: Returns the name of the leader's process; ``None`` if unknown.
        owner: Name of this process.
        leader_address: Returns the leader's address; ``None`` if unknown.
        peers: Transport of reports to other nodes.
    """

    def __init__(
        self,
        holder: SlotHolder,
        arbiter: SlotArbiter,
        services: Callable[[], list[str]],
        leader: Callable[[], str | None],
        owner: str,
        leader_address: Callable[[], str | None],
        peers: SlotPeers,
    ) -> None:
        self._holder = holder
        self._arbiter = arbiter
        self._services = services
        self._leader = leader
        self._owner = owner
        self._leader_address = leader_address
        self._peers = peers
        self._is_urgent = asyncio.Event()
        self._last_report_s: dict[str, float] = {}
        self._failure_log_limiter = LogIntervalLimiter(FAILURE_LOG_INTERVAL_S)
        self._task: asyncio.Task[None] | None = None
        holder.on_urgent(self._is_urgent.set)

    def start(self) -> None:
        """Start sending reports."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending reports and release all slots; the release is sent once, without a retry."""
        await cancel_all(self._task)
        reports = [self._holder.leave(service) for service in self._holder.held_services()]
        await asyncio.gather(*(self._exchange(report) for report in reports if report is not None))

    async def abandon(self) -> None:
        """Stop without releasing slots, as a crash would; for tests."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            is_urgent = self._is_urgent.is_set()
            self._is_urgent.clear()
            try:
                self._arbiter.update_leadership(now_s())
                await self._report_all(is_urgent)
            except Exception:
                logging.exception("slots: unexpected error while reporting, continuing")
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
            self._last_report_s.pop(service, None)
            return self._holder.leave(service)
        due_s = self._last_report_s.get(service, -float("inf")) + self._interval_s(service)
        if not is_urgent and now_s() < due_s - TICK_TOLERANCE_S:
            return None
        self._last_report_s[service] = now_s()
        return self._holder.report(service)

    def _interval_s(self, service: str) -> float:
        """Time between two reports of a service, in seconds."""
        if self._holder.is_owed_slots(service):
            return OWED_REPORT_INTERVAL_S
        if self._holder.may_reassign_slots(service):
            return ACTIVE_REPORT_INTERVAL_S
        return IDLE_REPORT_INTERVAL_S

    async def _send(self, report: SlotReport) -> None:
        answer = await self._exchange(report)
        if report.is_leaving:
            return
        if self._leader() is None or _is_not_leader(answer):
            self._holder.record_no_arbiter(report.service)
        if isinstance(answer, SlotGrant):
            self._holder.accept(answer)
        elif self._failure_log_limiter.allow(now_s()):
            reason = "no answer" if answer is None else f"[{answer.code}] {answer.detail}"
            logging.info(
                "slots of %s: no grant in answer to report %d to leader %s: %s",
                report.service,
                report.number,
                self._leader(),
                reason,
            )

    async def _exchange(self, report: SlotReport) -> SlotAnswer | None:
        if self._leader() == self._owner:
            return self._arbiter.answer(report, now_s())
        address = self._leader_address()
        return None if address is None else await self._peers.report(address, report)


def _is_not_leader(answer: SlotAnswer | None) -> bool:
    """Whether the answer says that the node asked may not grant slots."""
    return isinstance(answer, SlotRefusal) and answer.code == ResultCode.NOT_LEADER
