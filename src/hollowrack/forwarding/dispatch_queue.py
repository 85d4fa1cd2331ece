"""Scheduling queue that assigns slots at workers to waiting runs by rank."""

import asyncio
import bisect
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from hollowrack.clock import now_s
from hollowrack.forwarding.dispatch_rank import DispatchRank, WorkKind
from hollowrack.forwarding.dispatch_statistics import DispatchStatistics, WaitKind
from hollowrack.forwarding.slot_limits import FullCapacityLimits, SlotLimits
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory, any_worker

# Interval of dispatch passes while runs wait: the end of a worker's backoff triggers no event.
DISPATCH_POLL_INTERVAL_S = 0.05

RankOf = Callable[[], DispatchRank]


class WorkersEvacuatedError(Exception):
    """Raised if all workers of a service are in evacuated zones."""


@dataclass(eq=False)
class _Waiter:
    """A run that waits for a slot.

    Attributes:
        rank_of: Returns its current rank.
        rank: Rank when the queue was last sorted.
        number: Sequence number; breaks ties in order of arrival.
        since_s: Start of the wait, on the loop's clock.
        service: Name of the service whose workers are eligible.
        is_eligible: Condition that the worker has to meet.
        avoided: Incarnations that are chosen only if there is no other worker.
        current_condition: Returns the current condition; ``None`` if it does not change.
        slot: Future that is resolved with the worker at which a slot was reserved.
        fails_if_evacuated: Whether the wait ends once all workers are in evacuated zones.
    """

    rank_of: RankOf
    rank: DispatchRank
    number: int
    since_s: float
    service: str
    is_eligible: Eligible
    avoided: frozenset[WorkerIncarnation]
    current_condition: Callable[[], Eligible] | None
    slot: "asyncio.Future[Worker]"
    fails_if_evacuated: bool

    @property
    def sort_key(self) -> tuple[DispatchRank, int]:
        """Key by which the queue is sorted; the lowest goes first."""
        return (self.rank, self.number)


@dataclass(frozen=True)
class WaitingLoad:
    """Runs that wait for workers of one service.

    Attributes:
        num_waiting: Number of waiting runs.
        oldest_wait_s: Time that the longest waiting run has waited, in seconds.
    """

    num_waiting: int
    oldest_wait_s: float


class WaitingGroup(NamedTuple):
    """What waiting runs have in common that may be placed at the same workers.

    Attributes:
        service: Name of the service.
        is_eligible: Condition that the worker has to meet.
        kind: Origin of the runs.
        priority: Priority of their routes, 0 first.
    """

    service: str
    is_eligible: Eligible
    kind: WorkKind
    priority: int


class _PassCache:
    """Caches failed searches for a free slot during one dispatch pass.

    Within a pass slots are reserved but not released, so that a search that failed would fail
    again. Without the cache, the cost of a pass would be the number of waiting runs times that of
    workers.

    Args:
        workers: Directory of workers.
        limits: Limits on this node's requests in flight at each worker.
    """

    def __init__(self, workers: WorkerDirectory, limits: SlotLimits) -> None:
        self._workers = workers
        self._limits = limits
        self._slots_available: dict[tuple[str, Eligible], bool] = {}
        self._failed_searches: set[tuple[str, Eligible, frozenset[WorkerIncarnation]]] = set()
        self._all_evacuated: dict[str, bool] = {}

    def are_all_evacuated(self, waiter: _Waiter) -> bool:
        """Whether all workers of a waiter's service are in evacuated zones."""
        service = waiter.service
        if service not in self._all_evacuated:
            self._all_evacuated[service] = self._workers.are_all_evacuated(service)
        return self._all_evacuated[service]

    def choose(self, waiter: _Waiter) -> Worker | None:
        """Choose a worker with a free slot for a waiter; ``None`` if there is none."""
        if not self._may_have_free_slot(waiter):
            return None
        worker = self._search(waiter, waiter.avoided)
        if worker is None and waiter.avoided:
            worker = self._search(waiter, frozenset())
        if worker is not None:
            self._slots_available.clear()
        return worker

    def _may_have_free_slot(self, waiter: _Waiter) -> bool:
        # The check for any worker comes first because all waiters of a service share its result.
        service = waiter.service
        return self._has_free_slot(service, any_worker) and self._has_free_slot(
            service, waiter.is_eligible
        )

    def _has_free_slot(self, service: str, is_eligible: Eligible) -> bool:
        key = (service, is_eligible)
        if key not in self._slots_available:
            self._slots_available[key] = self._workers.has_free_slot(*key, self._limits.limit)
        return self._slots_available[key]

    def _search(self, waiter: _Waiter, avoided: frozenset[WorkerIncarnation]) -> Worker | None:
        key = (waiter.service, waiter.is_eligible, avoided)
        if key in self._failed_searches:
            return None
        worker = self._workers.choose_for_run(
            waiter.service, avoided, waiter.is_eligible, self._limits.limit
        )
        if worker is None:
            self._failed_searches.add(key)
        return worker


class DispatchQueue:
    """Queue of this node's runs that wait for slots at workers.

    Args:
        workers: Directory of workers.

    Attributes:
        limits: Limits on this node's requests in flight at each worker, applied to items of jobs.
        statistics: Statistics of the runs that use the queue.
    """

    def __init__(self, workers: WorkerDirectory) -> None:
        self.limits: SlotLimits = FullCapacityLimits()
        self.statistics = DispatchStatistics()
        self._workers = workers
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._is_sort_outdated = False
        self._assign_listeners: list[Callable[[Worker], None]] = []
        self._unassigned_listeners: list[Callable[[], None]] = []
        # Highest number of a waiter that has been left without a slot after a pass.
        self._newest_unassigned = -1
        workers.on_change(self.schedule_dispatch)

    def on_assigned(self, listener: Callable[[Worker], None]) -> None:
        """Register a listener that is called with the worker of each slot that is assigned."""
        self._assign_listeners.append(listener)

    def on_unassigned(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each dispatch pass that left runs waiting."""
        self._unassigned_listeners.append(listener)

    def waiting_groups(self) -> Counter[WaitingGroup]:
        """Return the number of waiting runs by service, condition, kind and priority."""
        return Counter(
            WaitingGroup(waiter.service, waiter.is_eligible, waiter.rank.kind, waiter.rank.priority)
            for waiter in self._waiters
            if not waiter.slot.done()
        )

    @property
    def num_waiting(self) -> int:
        """Number of waiting runs."""
        return len(self._waiters)

    def num_free_slots(self, service: str, is_eligible: Eligible) -> int:
        """Return the number of slots that this node may still use at eligible workers."""
        return sum(
            max(0, self.limits.limit(worker) - self._workers.num_in_flight(worker))
            for worker in self._workers.available_for_runs(service)
            if is_eligible(worker)
        )

    def waiting_by_service(self) -> dict[str, WaitingLoad]:
        """Return the waiting runs by service."""
        now = now_s()
        loads: dict[str, WaitingLoad] = {}
        for waiter in self._waiters:
            load = loads.get(waiter.service, WaitingLoad(0, 0.0))
            oldest_wait_s = max(load.oldest_wait_s, now - waiter.since_s)
            loads[waiter.service] = WaitingLoad(load.num_waiting + 1, oldest_wait_s)
        return loads

    async def acquire(
        self,
        service: str,
        rank_of: RankOf,
        is_eligible: Eligible,
        avoided: frozenset[WorkerIncarnation],
        current_condition: Callable[[], Eligible] | None = None,
        fails_if_evacuated: bool = False,
    ) -> Worker:
        """Wait for a slot at a worker and reserve it; the caller has to release it.

        Args:
            service: Name of the service.
            rank_of: Returns the rank; lower ranks go first. It is called again after
                :meth:`invalidate_ranks`.
            is_eligible: Condition that the worker has to meet. Waiters whose conditions compare
                equal share the search of a dispatch pass.
            avoided: Incarnations that are chosen only if there is no other worker.
            current_condition: Returns the condition that replaces ``is_eligible`` at each
                :meth:`refresh_conditions`; ``None`` if it does not change.
            fails_if_evacuated: Whether to end the wait once all workers of the service are in
                evacuated zones.

        Raises:
            WorkersEvacuatedError: If the wait has ended for that reason.
        """
        slot: asyncio.Future[Worker] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            rank_of,
            rank_of(),
            next(self._numbers),
            now_s(),
            service,
            is_eligible,
            avoided,
            current_condition,
            slot,
            fails_if_evacuated,
        )
        bisect.insort(self._waiters, waiter, key=lambda other: other.sort_key)
        self.schedule_dispatch()
        try:
            return await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled() and slot.exception() is None:
                self._workers.release_slot(slot.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def invalidate_ranks(self) -> None:
        """Sort the waiters by their current ranks before the next dispatch pass."""
        self._is_sort_outdated = True

    def refresh_conditions(self) -> None:
        """Replace the conditions of waiters, after the configuration has changed."""
        for waiter in self._waiters:
            if waiter.current_condition is not None:
                waiter.is_eligible = waiter.current_condition()
        self.schedule_dispatch()

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch pass at once, after slots may have become free."""
        self._schedule(0.0)

    def _schedule(self, delay_s: float) -> None:
        if not self._waiters:
            return
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay_s:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._dispatch)

    def _sort_again(self) -> None:
        self._is_sort_outdated = False
        for waiter in self._waiters:
            waiter.rank = waiter.rank_of()
        self._waiters.sort(key=lambda waiter: waiter.sort_key)

    def _dispatch(self) -> None:
        self._timer = None
        if self._is_sort_outdated:
            self._sort_again()
        # The limits divide slots among nodes for the items of their jobs. They do not apply to
        # callers' streams, whose node may own no job and therefore have no slots.
        caches = {
            WorkKind.CALLER_STREAM: _PassCache(self._workers, FullCapacityLimits()),
            WorkKind.JOB_ITEM: _PassCache(self._workers, self.limits),
        }
        remaining: list[_Waiter] = []
        for waiter in self._waiters:
            if waiter.slot.done():
                continue
            if waiter.fails_if_evacuated and caches[waiter.rank.kind].are_all_evacuated(waiter):
                waiter.slot.set_exception(WorkersEvacuatedError(waiter.service))
                continue
            worker = caches[waiter.rank.kind].choose(waiter)
            if worker is None:
                remaining.append(waiter)
            else:
                self._assign(waiter, worker)
        self._waiters = remaining
        self._report_unassigned()
        if remaining:
            for listener in self._unassigned_listeners:
                listener()
        self._schedule(DISPATCH_POLL_INTERVAL_S)

    def _report_unassigned(self) -> None:
        """Report waiting work to the limits, once for each waiter left without a slot."""
        newest = max((waiter.number for waiter in self._waiters), default=-1)
        if newest > self._newest_unassigned:
            self._newest_unassigned = newest
            self.limits.notify_waiting()

    def _assign(self, waiter: _Waiter, worker: Worker) -> None:
        self._workers.reserve_slot(worker)
        for listener in self._assign_listeners:
            listener(worker)
        self.statistics.record_wait(WaitKind.NODE_QUEUE, now_s() - waiter.since_s)
        waiter.slot.set_result(worker)
