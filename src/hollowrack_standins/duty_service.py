"""The platform's service for calls that one node makes for all, with a record of broken promises.

The core serves tests on virtual time as the typed client; the stand-in puts it on a socket.
"""

import asyncio
from dataclasses import dataclass, field

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from hollowrack.capacity.types import CapacityOrder
from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.platform import names
from hollowrack.usage.types import TenantCounts, WindowReport
from hollowrack_standins.server import StandinServer

LATENCY_S = 0.002
LOST_ANSWER_DELAY_S = 0.8
NO_FENCING_TOKEN = -1


@dataclass
class DutyFaults:
    """Switches of the service.

    Attributes:
        outcome: Every call is answered with this and nothing is done; ``None`` for none.
        num_lost_answers: The next calls are done and get no answer.
        is_slow: Answers come so late that the caller has given up.
    """

    outcome: DutyOutcome | None = None
    num_lost_answers: int = 0
    is_slow: bool = False


@dataclass
class _Subject:
    """What one duty has seen: calls as (holder, fencing token, time)."""

    calls: list[tuple[str, int, float]] = field(default_factory=list)
    holder_of_token: dict[int, str] = field(default_factory=dict)
    highest_token: int = NO_FENCING_TOKEN


class DutyServiceCore:
    """Takes calls and checks them.

    Args:
        lease_s: Within this time holders may not take turns, in seconds.

    Attributes:
        reports: The accepted report of each window.
        orders: The last accepted order of each service, zone and kind.
        num_calls: How many calls came.
        violations: What was wrong with calls.
    """

    def __init__(self, lease_s: float = 3.0) -> None:
        self.faults = DutyFaults()
        self.reports: dict[int, TenantCounts] = {}
        self.orders: dict[tuple[str, str, bool], int] = {}
        self.num_calls = 0
        self.violations: list[str] = []
        self._lease_s = lease_s
        self._subjects: dict[str, _Subject] = {}

    async def report_usage(self, holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        """Take a report; see :class:`UsageClient`."""
        return await self._answer(holder, "usage", report)

    async def order_capacity(self, holder: DutyHolder, order: CapacityOrder) -> DutyOutcome:
        """Take an order; see :class:`CapacityClient`."""
        return await self._answer(holder, f"{order.service}/{order.zone}", order)

    async def _answer(
        self, holder: DutyHolder, subject: str, content: WindowReport | CapacityOrder
    ) -> DutyOutcome:
        await asyncio.sleep(LATENCY_S)
        self.num_calls += 1
        self._check(subject, holder)
        if self.faults.outcome is not None:
            return self.faults.outcome
        self._apply(content)
        if self.faults.num_lost_answers or self.faults.is_slow:
            self.faults.num_lost_answers = max(0, self.faults.num_lost_answers - 1)
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
            return DutyOutcome.UNKNOWN
        return DutyOutcome.ACCEPTED

    def _apply(self, content: WindowReport | CapacityOrder) -> None:
        if isinstance(content, CapacityOrder):
            kind = (content.service, content.zone, content.is_spot)
            self.orders[kind] = content.num_workers
            return
        known = self.reports.setdefault(content.window, dict(content.counts))
        if known != content.counts:
            self.violations.append(f"window {content.window}: {known}, then {content.counts}")

    def _check(self, name: str, holder: DutyHolder) -> None:
        subject = self._subjects.setdefault(name, _Subject())
        now = asyncio.get_running_loop().time()
        if holder.fencing_token < subject.highest_token:
            self.violations.append(f"{name}: token {holder.fencing_token} after a higher one")
        subject.highest_token = max(subject.highest_token, holder.fencing_token)
        owner = subject.holder_of_token.setdefault(holder.fencing_token, holder.node)
        if owner != holder.node:
            self.violations.append(f"{name}: {owner} and {holder.node} share a token")
        recent = [node for node, _, at_s in subject.calls if now - at_s <= self._lease_s]
        if holder.node in recent and any(
            node != holder.node for node in recent[recent.index(holder.node) :]
        ):
            self.violations.append(f"{name}: {holder.node} acts again after another holder")
        subject.calls.append((holder.node, holder.fencing_token, now))


_STATUSES = {
    DutyOutcome.ACCEPTED: 200,
    DutyOutcome.UNAVAILABLE: 409,
    DutyOutcome.THROTTLED: 429,
    DutyOutcome.REFUSED: 400,
}


class DutyServiceStandin:
    """The service on a socket."""

    def __init__(self) -> None:
        self.core = DutyServiceCore()
        self.server = StandinServer(
            [
                Route(names.USAGE_PATH, self._usage, methods=["POST"]),
                Route(names.SCALE_PATH, self._scale, methods=["POST"]),
            ]
        )

    async def _usage(self, request: Request) -> Response:
        body = await request.json()
        report = WindowReport(body["window"], body["counts"])
        return _response(await self.core.report_usage(_holder(request), report))

    async def _scale(self, request: Request) -> Response:
        body = await request.json()
        order = CapacityOrder(
            body["service"], body["zone"], body["desired"], bool(body.get("spot"))
        )
        return _response(await self.core.order_capacity(_holder(request), order))


def _holder(request: Request) -> DutyHolder:
    return DutyHolder(request.headers[names.DUTY_HOLDER], int(request.headers[names.FENCING_TOKEN]))


def _response(outcome: DutyOutcome) -> Response:
    if outcome is DutyOutcome.UNKNOWN:
        raise ConnectionResetError("the answer is lost")
    return JSONResponse({}, status_code=_STATUSES[outcome])
