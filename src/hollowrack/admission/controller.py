"""Lets live requests in up to their pool's capacity, queues a few and refuses the rest early."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from hollowrack.admission.fair_queue import FairQueue
from hollowrack.clock import now_s
from hollowrack.results import Problem, ResultCode

PUMP_INTERVAL_S = 0.02
SERVICE_TIME_SMOOTHING = 0.1
INITIAL_SERVICE_TIME_S = 0.5
# A queue longer than this share of the mean service time would cost the callers in it more than a
# refusal with a time to come back.
MAX_QUEUE_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.2

Capacity = Callable[[str], tuple[int, int]]


class _Waiter:
    """A request waiting for a slot; compared by identity."""

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.admitted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


@dataclass
class _Pool:
    queue: FairQueue[_Waiter] = field(default_factory=FairQueue)
    num_running: int = 0
    mean_service_s: float = INITIAL_SERVICE_TIME_S


class Ticket:
    """Permission to run one request; must be released."""

    def __init__(self, pool: _Pool, on_release: Callable[[_Pool], None]) -> None:
        self._pool = pool
        self._on_release = on_release
        self._started_s = now_s()
        self._is_released = False

    def release(self) -> None:
        """Give the slot back; further calls do nothing."""
        if self._is_released:
            return
        self._is_released = True
        self._pool.num_running -= 1
        service_s = now_s() - self._started_s
        self._pool.mean_service_s += SERVICE_TIME_SMOOTHING * (
            service_s - self._pool.mean_service_s
        )
        self._on_release(self._pool)


class AdmissionController:
    """Admission of live requests at one node.

    Args:
        capacity: Returns the slots of a pool and the live requests on them, as this node sees it.
        max_requests: Most requests of this node at once, over all pools.
    """

    def __init__(self, capacity: Capacity, max_requests: int) -> None:
        self._capacity = capacity
        self._max_requests = max_requests
        self._pools: dict[str, _Pool] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start admitting queued requests as reports come in."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; queued requests are refused as not run."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for pool in self._pools.values():
            while len(pool.queue):
                waiter = pool.queue.pop()
                if not waiter.admitted.done():
                    waiter.admitted.set_result(False)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the tenants' shares."""
        for pool in self._pools.values():
            pool.queue.weights = weights

    @property
    def num_running(self) -> int:
        """Requests let in and not yet released."""
        return sum(pool.num_running for pool in self._pools.values())

    async def admit(
        self, pool_name: str, tenant: str, deadline_s: float
    ) -> Result[Ticket, Problem]:
        """Let a request in, now or from the queue.

        Args:
            pool_name: Model or service pool.
            tenant: Whose request it is.
            deadline_s: Time on the monotonic clock after which it need not run.

        Fails with ``OVERLOADED`` and a time to come back, or ``DEADLINE_EXPIRED``; neither ran.
        """
        pool = self._pools.setdefault(pool_name, _Pool())
        if self._has_room(pool_name, pool) and not len(pool.queue):
            return Success(self._ticket(pool))
        expected_wait_s = self._expected_wait_s(pool_name, pool)
        max_wait_s = MAX_QUEUE_SHARE * pool.mean_service_s
        if expected_wait_s > min(max_wait_s, deadline_s - now_s()):
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
                pool.num_running -= 1
            raise
        if not is_admitted:
            return Failure(Problem(ResultCode.STOPPING, "the node is stopping", pool_name))
        return Success(Ticket(pool, self._pump_released))

    def _ticket(self, pool: _Pool) -> Ticket:
        pool.num_running += 1
        return Ticket(pool, self._pump_released)

    def _has_room(self, pool_name: str, pool: _Pool) -> bool:
        if self.num_running >= self._max_requests:
            return False
        num_slots, num_live = self._capacity(pool_name)
        if not num_slots:
            # Nothing is known of the pool; routing will say so with a better reason.
            return True
        return max(num_live, pool.num_running) < num_slots

    def _expected_wait_s(self, pool_name: str, pool: _Pool) -> float:
        num_slots, num_live = self._capacity(pool_name)
        num_ahead = len(pool.queue) + 1 + max(0, num_live - num_slots)
        return pool.mean_service_s * num_ahead / max(1, num_slots)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PUMP_INTERVAL_S)
            for name, pool in self._pools.items():
                self._pump(name, pool)

    def _pump_released(self, released: _Pool) -> None:
        for name, pool in self._pools.items():
            if pool is released:
                self._pump(name, pool)

    def _pump(self, name: str, pool: _Pool) -> None:
        while len(pool.queue) and self._has_room(name, pool):
            waiter = pool.queue.pop()
            if not waiter.admitted.done():
                pool.num_running += 1
                waiter.admitted.set_result(True)


def _overloaded(pool_name: str, retry_after_s: float) -> Problem:
    detail = "the pool has no room for the request"
    return Problem(ResultCode.OVERLOADED, detail, pool_name, retry_after_s=retry_after_s)
