"""Service that receives usage reports and capacity orders, and records protocol violations.

The core implements the typed clients, for tests on virtual time; the stand-in serves it over HTTP.
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
    """Faults of the service.

    Attributes:
        outcome: Outcome with which every call is answered without effect; ``None`` to handle calls.
        num_lost_answers: Number of next calls that take effect and get no answer.
        is_slow: Whether every call takes effect and gets no answer.
    """

    outcome: DutyOutcome | None = None
    num_lost_answers: int = 0
    is_slow: bool = False


@dataclass
class _CallHistory:
    """Calls received for one duty.

    Attributes:
        calls: Node, fencing token and time in seconds of each call.
        holder_of_token: Node that first used each fencing token.
    """

    calls: list[tuple[str, int, float]] = field(default_factory=list)
    holder_of_token: dict[int, str] = field(default_factory=dict)
    highest_token: int = NO_FENCING_TOKEN


class DutyServiceCore:
    """Handles calls and checks that each duty has one holder at a time.

    Args:
        lease_s: Time in which a duty may not return to an earlier holder, in seconds.

    Attributes:
        reports: Counts of the first report accepted, by window.
        orders: Number of workers last ordered, by service, zone and whether they are spot workers.
        violations: Descriptions of the violations found.
    """

    def __init__(self, lease_s: float = 3.0) -> None:
        self.faults = DutyFaults()
        self.reports: dict[int, TenantCounts] = {}
        self.orders: dict[tuple[str, str, bool], int] = {}
        self.num_calls = 0
        self.violations: list[str] = []
        self._lease_s = lease_s
        self._histories: dict[str, _CallHistory] = {}

    async def report_usage(self, holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        """Receive a usage report; see :class:`UsageClient`."""
        return await self._handle_call(holder, "usage", report)

    async def order_capacity(self, holder: DutyHolder, order: CapacityOrder) -> DutyOutcome:
        """Receive a capacity order; see :class:`CapacityClient`."""
        return await self._handle_call(holder, f"{order.service}/{order.zone}", order)

    async def _handle_call(
        self, holder: DutyHolder, duty: str, content: WindowReport | CapacityOrder
    ) -> DutyOutcome:
        await asyncio.sleep(LATENCY_S)
        self.num_calls += 1
        self._check_holder(duty, holder)
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
            order_key = (content.service, content.zone, content.is_spot)
            self.orders[order_key] = content.num_workers
            return
        first_counts = self.reports.setdefault(content.window, dict(content.counts))
        if first_counts != content.counts:
            self.violations.append(
                f"usage window {content.window}: reported {first_counts}, then {content.counts}"
            )

    def _check_holder(self, duty: str, holder: DutyHolder) -> None:
        history = self._histories.setdefault(duty, _CallHistory())
        now_s = asyncio.get_running_loop().time()
        if holder.fencing_token < history.highest_token:
            self.violations.append(
                f"{duty}: fencing token {holder.fencing_token} used after a higher one"
            )
        history.highest_token = max(history.highest_token, holder.fencing_token)
        first_holder = history.holder_of_token.setdefault(holder.fencing_token, holder.node)
        if first_holder != holder.node:
            self.violations.append(
                f"{duty}: {first_holder} and {holder.node} used the same fencing token"
            )
        recent_holders = [node for node, _, at_s in history.calls if now_s - at_s <= self._lease_s]
        if holder.node in recent_holders and any(
            node != holder.node for node in recent_holders[recent_holders.index(holder.node) :]
        ):
            self.violations.append(
                f"{duty}: {holder.node} called again after another holder within the lease time"
            )
        history.calls.append((holder.node, holder.fencing_token, now_s))


_STATUSES = {
    DutyOutcome.ACCEPTED: 200,
    DutyOutcome.UNAVAILABLE: 409,
    DutyOutcome.THROTTLED: 429,
    DutyOutcome.REFUSED: 400,
}


class DutyServiceStandin:
    """Serves :class:`DutyServiceCore` over HTTP."""

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
        raise ConnectionResetError("fault: connection reset before the answer was sent")
    return JSONResponse({}, status_code=_STATUSES[outcome])
