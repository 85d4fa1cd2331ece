"""Hands out places at workers to waiting items in the order of their rank."""

import asyncio
import itertools
from dataclasses import dataclass, field

from hollowrack.forwarding.slot_limits import SlotLimits, WholeCapacity
from hollowrack.forwarding.types import Worker, WorkerLife
from hollowrack.forwarding.workers import Eligible, WorkerDirectory

# Pauses of workers end without notice, so that waiting items look again now and then.
LOOK_AGAIN_S = 0.05

Rank = tuple[int, ...]


@dataclass(order=True)
class _Waiter:
    rank: Rank
    number: int
    service: str = field(compare=False)
    is_eligible: Eligible = field(compare=False)
    avoided: frozenset[WorkerLife] = field(compare=False)
    place: "asyncio.Future[Worker]" = field(compare=False)


class DispatchQueue:
    """Waiting items of all jobs of this node.

    Args:
        workers: The workers known.

    Attributes:
        limits: How many requests this node may have in flight at each worker.
    """

    def __init__(self, workers: WorkerDirectory) -> None:
        self.limits: SlotLimits = WholeCapacity()
        self._workers = workers
        # Number of the newest waiter that found no place when it was first looked at.
        self._newest_unplaced = -1
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        workers.on_change(self.look_again)

    @property
    def num_waiting(self) -> int:
        """How many items wait."""
        return len(self._waiters)

    async def acquire(
        self, service: str, rank: Rank, is_eligible: Eligible, avoided: frozenset[WorkerLife]
    ) -> Worker:
        """Wait for a place at a worker; it counts as begun and must be given back.

        Args:
            service: The service.
            rank: Lower ranks go first.
            is_eligible: Which of its workers will do.
            avoided: Lives of workers taken only if there is no other.
        """
        place: asyncio.Future[Worker] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(rank, next(self._numbers), service, is_eligible, avoided, place)
        self._waiters.append(waiter)
        self._waiters.sort()
        self.look_again()
        try:
            return await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self._workers.end(place.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def look_again(self) -> None:
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

    def _grant(self) -> None:
        self._timer = None
        full_services: set[str] = set()
        for waiter in list(self._waiters):
            if waiter.service in full_services:
                continue
            worker = self._choose(waiter)
            if worker is None:
                if not self._workers.has_room(waiter.service, self.limits.limit):
                    full_services.add(waiter.service)
            elif not waiter.place.done():
                self._waiters.remove(waiter)
                self._workers.begin(worker)
                waiter.place.set_result(worker)
        self._note_unplaced()
        self._schedule(LOOK_AGAIN_S)

    def _note_unplaced(self) -> None:
        """Tell once of each waiter that finds no place."""
        newest = max((waiter.number for waiter in self._waiters), default=-1)
        if newest > self._newest_unplaced:
            self._newest_unplaced = newest
            self.limits.note_waiting()

    def _choose(self, waiter: _Waiter) -> Worker | None:
        preferred = self._choose_beside(waiter, waiter.avoided)
        if preferred is not None or not waiter.avoided:
            return preferred
        return self._choose_beside(waiter, frozenset())

    def _choose_beside(self, waiter: _Waiter, avoided: frozenset[WorkerLife]) -> Worker | None:
        return self._workers.choose_place(
            waiter.service, avoided, waiter.is_eligible, self.limits.limit
        )
