"""Hands out places at workers to waiting items in the order of their rank."""

import asyncio
import bisect
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.dispatch_rank import DispatchRank, WorkKind
from hollowrack.forwarding.dispatch_statistics import DispatchStatistics, WaitKind
from hollowrack.forwarding.slot_limits import FullCapacityLimits, SlotLimits
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory

# Pauses of workers end without notice, so that waiting items look again now and then.
DISPATCH_POLL_INTERVAL_S = 0.05

RankOf = Callable[[], DispatchRank]


def any_worker(worker: Worker) -> bool:
    """The condition of a run that every worker of its service suits."""
    del worker
    return True


@dataclass(eq=False)
class _Waiter:
    """One wait for a place.

    Attributes:
        rank_of: Returns its rank as it is now.
        rank: Its rank when the queue was last sorted.
        number: Breaks ties in the order of arrival.
        since_s: When it began to wait, on the loop's clock.
    """

    rank_of: RankOf
    rank: DispatchRank
    number: int
    since_s: float
    service: str
    is_eligible: Eligible
    avoided: frozenset[WorkerIncarnation]
    place: "asyncio.Future[Worker]"

    @property
    def sort_key(self) -> tuple[DispatchRank, int]:
        """Lower keys go first."""
        return (self.rank, self.number)


@dataclass(frozen=True)
class WaitingLoad:
    """What waits for the workers of one service.

    Attributes:
        num_waiting: How many runs wait.
        oldest_wait_s: How long the one that came first has waited, in seconds.
    """

    num_waiting: int
    oldest_wait_s: float


class _PassMemory:
    """What one pass over the waiters has found; room only becomes less while it lasts.

    With hundreds of waiters and no room, a look for each of them at each change would take a whole
    processor: 300 waiters before 44 full workers took 15 s of one for each second.

    Args:
        workers: The workers known.
        limits: How many requests this node may have in flight at each worker.
    """

    def __init__(self, workers: WorkerDirectory, limits: SlotLimits) -> None:
        self._workers = workers
        self._limits = limits
        self._has_room: dict[tuple[str, Eligible], bool] = {}
        self._without_place: set[tuple[str, Eligible, frozenset[WorkerIncarnation]]] = set()

    def choose(self, waiter: _Waiter) -> Worker | None:
        """Choose a place for a waiter, without a look if there can be none."""
        if not self._may_have_room(waiter):
            return None
        worker = self._look(waiter, waiter.avoided)
        if worker is None and waiter.avoided:
            worker = self._look(waiter, frozenset())
        if worker is not None:
            self._has_room.clear()
        return worker

    def _may_have_room(self, waiter: _Waiter) -> bool:
        # Asked for any worker first, as that is the same for all waiters of a service.
        service = waiter.service
        return self._has_room_for(service, any_worker) and self._has_room_for(
            service, waiter.is_eligible
        )

    def _has_room_for(self, service: str, is_eligible: Eligible) -> bool:
        need = (service, is_eligible)
        if need not in self._has_room:
            self._has_room[need] = self._workers.has_room(*need, self._limits.limit)
        return self._has_room[need]

    def _look(self, waiter: _Waiter, avoided: frozenset[WorkerIncarnation]) -> Worker | None:
        wish = (waiter.service, waiter.is_eligible, avoided)
        if wish in self._without_place:
            return None
        worker = self._workers.choose_for_run(
            waiter.service, avoided, waiter.is_eligible, self._limits.limit
        )
        if worker is None:
            self._without_place.add(wish)
        return worker


class DispatchQueue:
    """Waiting items of all jobs of this node.

    Args:
        workers: The workers known.

    Attributes:
        limits: How many requests this node may have in flight at each worker before an item of a
            job is placed there.
        statistics: What is counted of the runs that go through the queue.
    """

    def __init__(self, workers: WorkerDirectory) -> None:
        self.limits: SlotLimits = FullCapacityLimits()
        self.statistics = DispatchStatistics()
        self._workers = workers
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._is_order_old = False
        # Number of the newest waiter that found no place when it was first looked at.
        self._newest_unplaced = -1
        workers.on_change(self.schedule_dispatch)

    @property
    def num_waiting(self) -> int:
        """How many items wait."""
        return len(self._waiters)

    def num_free_slots(self, service: str, is_eligible: Eligible) -> int:
        """Return how many places this node may still give at the workers that will do."""
        return sum(
            max(0, self.limits.limit(worker) - self._workers.num_in_flight(worker))
            for worker in self._workers.available_for_runs(service)
            if is_eligible(worker)
        )

    def waiting_by_service(self) -> dict[str, WaitingLoad]:
        """Return what waits, by service."""
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
    ) -> Worker:
        """Wait for a place at a worker; it counts as begun and must be given back.

        Args:
            service: The service.
            rank_of: Returns the rank; lower ranks go first. It is asked again after
                :meth:`note_reordered`.
            is_eligible: Which of its workers will do. Waiters whose conditions compare equal share
                one look at the workers.
            avoided: Lives of workers taken only if there is no other.
        """
        place: asyncio.Future[Worker] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            rank_of,
            rank_of(),
            next(self._numbers),
            now_s(),
            service,
            is_eligible,
            avoided,
            place,
        )
        bisect.insort(self._waiters, waiter, key=lambda other: other.sort_key)
        self.schedule_dispatch()
        try:
            return await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self._workers.release_slot(place.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def invalidate_ranks(self) -> None:
        """Ranks of waiters may have changed: sort them before places are handed out again."""
        self._is_order_old = True

    def schedule_dispatch(self) -> None:
        """Look for places at once: there may be new ones."""
        self._schedule(0.0)

    def _schedule(self, delay_s: float) -> None:
        if not self._waiters:
            return
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay_s:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._grant)

    def _sort_again(self) -> None:
        self._is_order_old = False
        for waiter in self._waiters:
            waiter.rank = waiter.rank_of()
        self._waiters.sort(key=lambda waiter: waiter.sort_key)

    def _grant(self) -> None:
        self._timer = None
        if self._is_order_old:
            self._sort_again()
        # Nodes share slots for the items of their jobs. A caller's stream is bound by no share: its
        # node may have none, as it may own no job.
        memories = {
            WorkKind.CALLER_STREAM: _PassMemory(self._workers, FullCapacityLimits()),
            WorkKind.JOB_ITEM: _PassMemory(self._workers, self.limits),
        }
        left: list[_Waiter] = []
        for waiter in self._waiters:
            if waiter.place.done():
                continue
            worker = memories[waiter.rank.kind].choose(waiter)
            if worker is None:
                left.append(waiter)
            else:
                self._give(waiter, worker)
        self._waiters = left
        self._note_unplaced()
        self._schedule(DISPATCH_POLL_INTERVAL_S)

    def _note_unplaced(self) -> None:
        """Tell once of each waiter that finds no place."""
        newest = max((waiter.number for waiter in self._waiters), default=-1)
        if newest > self._newest_unplaced:
            self._newest_unplaced = newest
            self.limits.notify_waiting()

    def _give(self, waiter: _Waiter, worker: Worker) -> None:
        self._workers.reserve_slot(worker)
        self.statistics.record_wait(WaitKind.NODE_QUEUE, now_s() - waiter.since_s)
        waiter.place.set_result(worker)
