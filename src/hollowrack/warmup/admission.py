"""Admission of plain requests and streams where their service has cold workers."""

import asyncio
import bisect
import itertools
import math
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.cold_admission import WorkersColdError
from hollowrack.forwarding.types import Route, Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory, any_worker
from hollowrack.results import Problem, ResultCode
from hollowrack.warmup.demand import Demand
from hollowrack.warmup.permits import PermitStore
from hollowrack.warmup.types import GRANT_WINDOW_S

# Longest wait for a permit while all workers of the service are cold: about four answers of the
# leader.
MAX_WAIT_S = 0.4
# Longest wait while warm workers are only busy: one answer of the leader.
MAX_WAIT_BESIDE_WARM_S = 0.1
# Longest wait of a stream that has not started, while all workers of the service are cold.
MAX_STREAM_WAIT_S = 1.5
# Fraction of the time left that a request may wait.
MAX_WAIT_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
# Upper bound of the random factor that spreads retries.
MAX_JITTER_FACTOR = 1.5


@dataclass(eq=False)
class _Waiter:
    """A plain request that waits for a permit.

    Attributes:
        priority: Priority of the request, 0 first.
        number: Sequence number; breaks ties in order of arrival.
        request_id: Identifier of the request.
        service: Name of the service.
        is_eligible: Condition that the worker has to meet.
        cold: Incarnations of the cold workers that met the condition when the wait began.
        turn: Resolved with whether the request may be sent.
    """

    priority: int
    number: int
    request_id: str
    service: str
    is_eligible: Eligible
    cold: frozenset[WorkerIncarnation]
    turn: "asyncio.Future[bool]"

    @property
    def sort_key(self) -> tuple[int, int]:
        """Key by which waiting requests are sorted; the lowest goes first."""
        return (self.priority, self.number)


class ColdStartAdmission:
    """Has plain requests wait for permits; implements :class:`ColdWorkerAdmission`.

    Args:
        workers: Directory of workers.
        permits: Permits held by this node.
        is_limited: Whether a service limits the requests to its cold workers.
        is_cold: Whether a worker is cold and its service limits cold workers.
        cold_remaining_s: Returns how much longer a worker is cold, in seconds.
        max_grants: Returns how many permits a leader grants for a worker of a service within
            ``GRANT_WINDOW_S``.
        request_permits: Called when permits are needed.
        run_demands: Returns the demands of waiting runs.
        rng: Source of the jitter of retry times.

    Attributes:
        num_refused: Requests refused because all workers were cold, by service.
    """

    def __init__(
        self,
        workers: WorkerDirectory,
        permits: PermitStore,
        is_limited: Callable[[str], bool],
        is_cold: Callable[[Worker], bool],
        cold_remaining_s: Callable[[Worker], float],
        max_grants: Callable[[str], int],
        request_permits: Callable[[], None],
        run_demands: Callable[[], list[Demand]],
        rng: random.Random,
    ) -> None:
        self.num_refused: Counter[str] = Counter()
        self._workers = workers
        self._permits = permits
        self._is_limited = is_limited
        self._is_cold = is_cold
        self._cold_remaining_s = cold_remaining_s
        self._max_grants = max_grants
        self._request_permits = request_permits
        self._run_demands = run_demands
        self._rng = rng
        self._numbers = itertools.count()
        self._waiters: list[_Waiter] = []
        workers.on_change(self._release_to_warm_workers)

    @property
    def num_waiting(self) -> int:
        """Number of plain requests that wait for a permit."""
        return len(self._waiters)

    def demands(self) -> list[Demand]:
        """Return the demands of the waiting plain requests, in order of rank."""
        return [
            Demand(waiter.priority, index, 1, waiter.service, waiter.is_eligible, _capacity)
            for index, waiter in enumerate(self._waiters)
            if not waiter.turn.done()
        ]

    async def wait_turn(
        self,
        call: BackEndCall,
        route: Route,
        service: str,
        time_left_s: float,
        is_eligible: Eligible = any_worker,
    ) -> Problem | None:
        """Wait until a plain request may be sent; see :class:`ColdWorkerAdmission`."""
        if not self._is_limited(service):
            return None
        allowed = self._workers.allowed(service, is_eligible)
        cold = [worker for worker in allowed if self._is_cold(worker)]
        if not cold or self._has_warm_room(allowed):
            return None
        has_warm = len(cold) < len(allowed)
        max_wait_s = min(
            MAX_WAIT_BESIDE_WARM_S if has_warm else MAX_WAIT_S, MAX_WAIT_FRACTION * time_left_s
        )
        waiter = _Waiter(
            _priority(call, route),
            next(self._numbers),
            call.request_id,
            service,
            is_eligible,
            frozenset(worker.incarnation for worker in cold),
            asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self._waiters, waiter, key=lambda other: other.sort_key)
        self._refuse_surplus(waiter)
        self.assign_permits()
        if not waiter.turn.done():
            self._request_permits()
        try:
            async with asyncio.timeout(max_wait_s):
                may_send = await waiter.turn
        except TimeoutError:
            # The time may end between the assignment of a permit and the end of the wait.
            may_send = not waiter.turn.cancelled() and waiter.turn.result()
        except asyncio.CancelledError:
            self._permits.release(call.request_id)
            self.assign_permits()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return None if may_send else self._refusal(call, service, is_eligible)

    def take_reserved(self, call: BackEndCall) -> Worker | None:
        """Return the cold worker that a request has a permit for; ``None`` if it has none."""
        worker = self._permits.reserved_worker(call.request_id)
        while worker is not None and not self._may_still_run(worker):
            self._permits.release(call.request_id)
            worker = self._permits.reserved_worker(call.request_id)
        return worker

    async def acquire_for_stream(
        self,
        call: BackEndCall,
        service: str,
        acquire: Callable[[], Awaitable[Worker]],
        is_eligible: Eligible = any_worker,
    ) -> Worker:
        """Acquire a slot for a stream; see :class:`ColdWorkerAdmission`."""
        while self._are_all_cold(service, is_eligible):
            try:
                async with asyncio.timeout(MAX_STREAM_WAIT_S):
                    return await acquire()
            except TimeoutError:
                problem = self._refusal(call, service, is_eligible)
                if problem is not None:
                    raise WorkersColdError(problem) from None
        return await acquire()

    def assign_permits(self) -> None:
        """Assign free permits to waiting requests by rank.

        A run of a better priority that waits in the dispatch queue has the first call on a permit.
        """
        if not self._waiters:
            return
        set_aside: Counter[WorkerIncarnation] = Counter()
        plain = [
            (waiter.sort_key, waiter, None) for waiter in self._waiters if not waiter.turn.done()
        ]
        # At equal priority plain requests go before runs, which tolerate delay.
        runs = [((demand.priority, math.inf), None, demand) for demand in self._run_demands()]
        entries: list[tuple[tuple[int, float], _Waiter | None, Demand | None]] = [*plain, *runs]
        for _, waiter, demand in sorted(entries, key=lambda entry: entry[0]):
            if demand is not None:
                self._set_aside(demand, set_aside)
            elif waiter is not None and self._reserve(waiter, set_aside):
                waiter.turn.set_result(True)

    def _set_aside(self, demand: Demand, set_aside: Counter[WorkerIncarnation]) -> None:
        number = demand.number
        for worker in self._workers.allowed(demand.service, demand.is_eligible):
            if number <= 0:
                return
            num_taken = min(number, self._num_unclaimed(worker, set_aside))
            set_aside[worker.incarnation] += num_taken
            number -= num_taken

    def _reserve(self, waiter: _Waiter, set_aside: Counter[WorkerIncarnation]) -> bool:
        return any(
            self._num_unclaimed(worker, set_aside) > 0
            and self._permits.reserve(worker, waiter.request_id)
            for worker in self._workers.allowed(waiter.service, waiter.is_eligible)
        )

    def _may_still_run(self, worker: Worker) -> bool:
        """Whether a worker is still allowed, for instance not evacuated since it was reserved."""
        allowed = self._workers.allowed(worker.service)
        return any(other.incarnation == worker.incarnation for other in allowed)

    def _num_unclaimed(self, worker: Worker, set_aside: Counter[WorkerIncarnation]) -> int:
        return max(0, self._permits.num_free(worker) - set_aside[worker.incarnation])

    def _refuse_surplus(self, newest: _Waiter) -> None:
        """Refuse the last request that waits for the workers of the newest one, or some of them.

        Only if more wait for these workers than can get a permit in time.
        """
        waiters = [
            waiter
            for waiter in self._waiters
            if waiter.service == newest.service and waiter.cold <= newest.cold
        ]
        max_grants = self._max_grants(newest.service)
        # Half of the window's permits may come at once, the others at an even rate.
        per_worker = max(1.0, max_grants / 2 + max_grants * MAX_WAIT_S / GRANT_WINDOW_S)
        if len(waiters) > math.ceil(len(newest.cold) * per_worker) and not waiters[-1].turn.done():
            waiters[-1].turn.set_result(False)

    def _release_to_warm_workers(self) -> None:
        """Release one waiting request for each service where a warm worker has room."""
        released: set[str] = set()
        for waiter in list(self._waiters):
            if waiter.turn.done() or waiter.service in released:
                continue
            if self._has_warm_room(self._workers.allowed(waiter.service, waiter.is_eligible)):
                released.add(waiter.service)
                waiter.turn.set_result(True)

    def _has_warm_room(self, workers: list[Worker]) -> bool:
        return any(
            not self._is_cold(worker) and self._workers.has_room(worker) for worker in workers
        )

    def _are_all_cold(self, service: str, is_eligible: Eligible) -> bool:
        if not self._is_limited(service):
            return False
        workers = self._workers.allowed(service, is_eligible)
        return bool(workers) and all(self._is_cold(worker) for worker in workers)

    def _refusal(self, call: BackEndCall, service: str, is_eligible: Eligible) -> Problem | None:
        """Return the error for the caller; ``None`` if a worker is warm after all."""
        if not self._are_all_cold(service, is_eligible):
            return None
        workers = self._workers.allowed(service, is_eligible)
        self.num_refused[service] += 1
        detail = (
            f"{service}: all {len(workers)} workers are cold, and no permit was granted in time"
        )
        return Problem(
            ResultCode.WORKERS_COLD, detail, call.request_id, self._retry_after_s(service, workers)
        )

    def _retry_after_s(self, service: str, workers: list[Worker]) -> float:
        """Return when a permit is expected, or a worker is warm, in seconds."""
        num_before = sum(waiter.service == service for waiter in self._waiters)
        rate_per_s = len(workers) * self._max_grants(service) / GRANT_WINDOW_S
        delay_s = (num_before + 1) / rate_per_s if rate_per_s > 0.0 else MAX_RETRY_AFTER_S
        warm_in_s = min(self._cold_remaining_s(worker) for worker in workers)
        delay_s = max(MIN_RETRY_AFTER_S, min(delay_s, warm_in_s))
        jitter = self._rng.uniform(1.0, MAX_JITTER_FACTOR)
        return round(min(MAX_RETRY_AFTER_S, delay_s * jitter), 2)


def _capacity(worker: Worker) -> int:
    return max(1, worker.capacity)


def _priority(call: BackEndCall, route: Route) -> int:
    return route.priority if call.priority is None else call.priority
