"""Admission controller: admits live requests up to their pool's capacity.

Requests beyond it are queued if the expected wait is short, and refused at once otherwise.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from hollowrack.admission.fair_queue import FairQueue
from hollowrack.clock import now_s
from hollowrack.results import Problem, ResultCode
from hollowrack.routing.fleet import PoolLoad
from hollowrack.tasks import cancel_all

QUEUE_POLL_INTERVAL_S = 0.02
SERVICE_TIME_SMOOTHING = 0.1
INITIAL_SERVICE_TIME_S = 0.5
# Maximum expected wait as a fraction of the mean service time. Beyond it, a refusal with a
# retry-after time costs the caller less than queueing.
MAX_WAIT_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.2

# Maximum age of the data in load reports: the engines' reporting delay plus the poll interval.
MAX_REPORT_AGE_S = 0.75


class _Waiter:
    """A queued request; compared by identity."""

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.admitted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


@dataclass
class _Pool:
    """Admission state of one pool.

    Attributes:
        queue: Requests that wait for a slot.
        num_running: Admitted requests that are not released yet.
        mean_service_s: Moving average of the time from admission to release, in seconds.
        history: Recent times, in seconds, with the value of ``num_running`` from then on.
    """

    queue: FairQueue[_Waiter] = field(default_factory=FairQueue)
    num_running: int = 0
    mean_service_s: float = INITIAL_SERVICE_TIME_S
    history: deque[tuple[float, int]] = field(default_factory=lambda: deque([(-math.inf, 0)]))

    def change_running(self, change: int) -> None:
        """Change the number of running requests and record it in the history."""
        self.num_running += change
        self.history.append((now_s(), self.num_running))
        self._trim_history()

    def num_added_since_report(self) -> int:
        """Return the net number of requests that this node added since the last load reports."""
        self._trim_history()
        return max(0, self.num_running - self.history[0][1])

    def _trim_history(self) -> None:
        # The oldest entry kept is the state at the time of the last load reports.
        horizon_s = now_s() - MAX_REPORT_AGE_S
        while len(self.history) > 1 and self.history[1][0] <= horizon_s:
            self.history.popleft()


class Ticket:
    """Permit to run one request; must be released."""

    def __init__(self, pool: _Pool, on_release: Callable[[_Pool], None]) -> None:
        self._pool = pool
        self._on_release = on_release
        self._started_s = now_s()
        self._is_released = False

    def release(self) -> None:
        """Release the slot; further calls have no effect."""
        if self._is_released:
            return
        self._is_released = True
        self._pool.change_running(-1)
        service_s = now_s() - self._started_s
        self._pool.mean_service_s += SERVICE_TIME_SMOOTHING * (
            service_s - self._pool.mean_service_s
        )
        self._on_release(self._pool)


class AdmissionController:
    """Admission controller of live requests at one node.

    Args:
        pool_load: Returns the slots of a pool and its live requests by the last load reports.
        num_nodes: Returns the number of nodes that admit requests to the same pools.
        max_requests: Maximum number of concurrent requests, over all pools.
    """

    def __init__(
        self,
        pool_load: Callable[[str], PoolLoad],
        num_nodes: Callable[[], int],
        max_requests: int,
    ) -> None:
        self._pool_load = pool_load
        self._num_nodes = num_nodes
        self._max_requests = max_requests
        self._pools: dict[str, _Pool] = {}
        self._weights: Mapping[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start admitting queued requests as slots become free."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; queued requests are refused with ``STOPPING``."""
        await cancel_all(self._task)
        for pool in self._pools.values():
            while len(pool.queue):
                waiter = pool.queue.pop()
                if not waiter.admitted.done():
                    waiter.admitted.set_result(False)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the tenants' weights for current and future pools."""
        self._weights = weights
        for pool in self._pools.values():
            pool.queue.weights = weights

    @property
    def num_running(self) -> int:
        """Number of requests that are admitted and not yet released."""
        return sum(pool.num_running for pool in self._pools.values())

    async def admit(
        self, pool_name: str, tenant: str, deadline_s: float, may_queue: bool = True
    ) -> Result[Ticket, Problem]:
        """Admit a request, at once or after it has been queued.

        Args:
            pool_name: Model or service pool.
            tenant: Tenant of the request.
            deadline_s: Deadline of its start, in seconds on the monotonic clock.
            may_queue: Whether it may wait for a slot.

        Fails with ``OVERLOADED`` and a retry-after time, or with ``STOPPING``; the request did not
        run.
        """
        pool = self._pools.get(pool_name)
        if pool is None:
            pool = _Pool(FairQueue(self._weights))
            self._pools[pool_name] = pool
        if self._has_free_slot(pool_name, pool) and not len(pool.queue):
            return Success(self._make_ticket(pool))
        expected_wait_s = self._expected_wait_s(pool_name, pool)
        max_wait_s = MAX_WAIT_FRACTION * pool.mean_service_s
        if not may_queue or expected_wait_s > min(max_wait_s, deadline_s - now_s()):
            return Failure(_overloaded(pool_name, max(MIN_RETRY_AFTER_S, expected_wait_s)))
        waiter = _Waiter(min(deadline_s, now_s() + 2 * max_wait_s))
        pool.queue.push(tenant, waiter)
        return await self._wait(pool_name, pool, waiter)

    async def _wait(self, pool_name: str, pool: _Pool, waiter: _Waiter) -> Result[Ticket, Problem]:
        try:
            async with asyncio.timeout(max(0.0, waiter.deadline_s - now_s())):
                is_admitted = await waiter.admitted
        except TimeoutError:
            pool.queue.discard(waiter)
            return Failure(_overloaded(pool_name, pool.mean_service_s))
        except asyncio.CancelledError:
            pool.queue.discard(waiter)
            if waiter.admitted.done() and not waiter.admitted.cancelled():
                pool.change_running(-1)
            raise
        if not is_admitted:
            return Failure(Problem(ResultCode.STOPPING, "the node is stopping", pool_name))
        return Success(Ticket(pool, self._admit_queued_after_release))

    def _make_ticket(self, pool: _Pool) -> Ticket:
        pool.change_running(1)
        return Ticket(pool, self._admit_queued_after_release)

    def _has_free_slot(self, pool_name: str, pool: _Pool) -> bool:
        if self.num_running >= self._max_requests:
            return False
        load = self._pool_load(pool_name)
        if not load.num_slots:
            # No back end of the pool is known; routing refuses the request with a precise reason.
            return True
        return self._estimated_live(pool, load) < load.num_slots

    def _estimated_live(self, pool: _Pool, load: PoolLoad) -> int:
        """Estimate the current number of live requests in a pool.

        The other nodes see the same load reports and are assumed to have added as many requests
        since then as this one. Otherwise all nodes together would overcommit the same slots.
        """
        num_others = max(0, self._num_nodes() - 1)
        added_by_others = pool.num_added_since_report() * num_others
        return max(load.num_live, pool.num_running) + added_by_others

    def _expected_wait_s(self, pool_name: str, pool: _Pool) -> float:
        load = self._pool_load(pool_name)
        num_excess = max(0, load.num_live - load.num_slots)
        num_ahead = (len(pool.queue) + 1) * max(1, self._num_nodes()) + num_excess
        return pool.mean_service_s * num_ahead / max(1, load.num_slots)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(QUEUE_POLL_INTERVAL_S)
            for name, pool in self._pools.items():
                self._admit_queued(name, pool)

    def _admit_queued_after_release(self, released: _Pool) -> None:
        for name, pool in self._pools.items():
            if pool is released:
                self._admit_queued(name, pool)

    def _admit_queued(self, name: str, pool: _Pool) -> None:
        while len(pool.queue) and self._has_free_slot(name, pool):
            waiter = pool.queue.pop()
            if not waiter.admitted.done():
                pool.change_running(1)
                waiter.admitted.set_result(True)


def _overloaded(pool_name: str, retry_after_s: float) -> Problem:
    detail = "the pool has no capacity for the request"
    return Problem(ResultCode.OVERLOADED, detail, pool_name, retry_after_s=retry_after_s)
