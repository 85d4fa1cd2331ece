"""Requests of this node for permits from the leader."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker
from hollowrack.results import Problem, ResultCode
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.tasks import cancel_all
from hollowrack.warmup.demand import Demand, DemandPlanner, WorkerWant
from hollowrack.warmup.permits import PermitStore, RecentSends
from hollowrack.warmup.types import (
    MAX_WANTS,
    PERMIT_TTL_S,
    PermitAnswer,
    PermitGrant,
    PermitRequest,
    PermitWant,
    validate_grant,
)

# Interval after a request that was refused or not answered.
FAILED_REQUEST_INTERVAL_S = 0.2
LOG_INTERVAL_S = 1.0


class PermitRequester:
    """Asks the leader for the permits that waiting requests need.

    One request is in flight at a time; it names all workers. Nothing is sent while nothing waits.

    Args:
        owner: Name of this process.
        planner: Determines the permits to ask for.
        permits: Receives the granted permits.
        recent_sends: Requests sent without a permit.
        demands: Returns what waits for permits.
        ask: Sends a request to the leader and returns its answer; ``None`` if none came.
        on_granted: Called after permits were added.

    Attributes:
        num_asked: Permits asked for, by service.
        num_rejected: Grants rejected as malformed or from an earlier leader.
    """

    def __init__(
        self,
        owner: str,
        planner: DemandPlanner,
        permits: PermitStore,
        recent_sends: RecentSends,
        demands: Callable[[], list[Demand]],
        ask: Callable[[PermitRequest], Awaitable[PermitAnswer | None]],
        on_granted: Callable[[], None],
    ) -> None:
        self.num_asked: Counter[str] = Counter()
        self.num_rejected = 0
        self._owner = owner
        self._planner = planner
        self._permits = permits
        self._recent_sends = recent_sends
        self._demands = demands
        self._ask = ask
        self._on_granted = on_granted
        self._is_needed = asyncio.Event()
        self._number = 0
        self._highest_token = -1
        self._log_limiter = LogIntervalLimiter(LOG_INTERVAL_S)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending requests whenever permits are needed."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending requests; permits in hand expire."""
        await cancel_all(self._task)

    def request_permits(self) -> None:
        """Send a request as soon as the interval allows."""
        self._is_needed.set()

    async def _run(self) -> None:
        while True:
            await self._is_needed.wait()
            self._is_needed.clear()
            started_s = now_s()
            interval_s = FAILED_REQUEST_INTERVAL_S
            try:
                interval_s = await self._request_once()
            except Exception:
                logging.exception("cold workers: unexpected error while asking, continuing")
            await asyncio.sleep(max(0.0, started_s + interval_s - now_s()))

    async def _request_once(self) -> float:
        """Ask once, if anything waits; returns the time until the next request, in seconds."""
        wants = self._planner.wants(self._demands())[:MAX_WANTS]
        if not wants:
            return 0.0
        # Requests still waiting after the answer are asked for again.
        self._is_needed.set()
        self._number += 1
        request = PermitRequest(
            self._owner,
            self._number,
            tuple(self._message(want) for want in wants),
        )
        # Taken before the send: the leader grants after it.
        sent_s = now_s()
        answer = await self._ask(request)
        if isinstance(answer, PermitGrant) and self._accepts(answer, request):
            self._add([want.worker for want in wants], answer, sent_s + PERMIT_TTL_S)
            return answer.retry_in_s
        if not isinstance(answer, PermitGrant) and self._log_limiter.allow(now_s()):
            reason = "no answer" if answer is None else f"[{answer.code}] {answer.detail}"
            logging.info(
                "cold workers: no permits in answer to request %d: %s", self._number, reason
            )
        return FAILED_REQUEST_INTERVAL_S

    def _message(self, want: WorkerWant) -> PermitWant:
        worker = want.worker
        self.num_asked[worker.service] += want.number
        num_unpermitted = self._recent_sends.take(worker.incarnation)
        return PermitWant(
            worker.service,
            worker.id,
            worker.started_ms,
            want.number,
            want.priority,
            num_unpermitted,
        )

    def _accepts(self, grant: PermitGrant, request: PermitRequest) -> bool:
        problem = validate_grant(grant, request)
        if problem is None and grant.fencing_token < self._highest_token:
            detail = f"fencing token {grant.fencing_token}, {self._highest_token} was seen"
            problem = Problem(ResultCode.ORDER_FENCED, detail, "fencing_token")
        if problem is None:
            self._highest_token = grant.fencing_token
            return True
        self.num_rejected += 1
        if self._log_limiter.allow(now_s()):
            logging.warning(
                "cold workers: grant of %.64s rejected, %d rejected so far: %s",
                grant.arbiter,
                self.num_rejected,
                problem,
            )
        return False

    def _add(self, workers: list[Worker], grant: PermitGrant, expires_s: float) -> None:
        for worker, count in zip(workers, grant.counts, strict=True):
            if count > 0:
                self._permits.add(worker, count, expires_s)
            else:
                self._planner.record_refusal(worker)
        if any(grant.counts):
            self._on_granted()
