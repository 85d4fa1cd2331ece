"""Bounds the calls of the system's own that this node has at workers at once.

For this load: dozens of items of a job end together and each calls a scorer, which shares its
workers with callers. Inside the workers those calls would hold every slot and fill the queue.
"""

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import AsyncIterator
from math import ceil

from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import Route
from hollowrack.forwarding.workers import WorkerDirectory

# Share of a worker's slots that one node's calls may take: with two nodes at it, callers still
# find a third of the slots free.
CALL_SHARE = 1.0 / 3.0

_Services = tuple[str, ...]


class CallLimiter:
    """Places for calls, handed out in the order in which they are asked for.

    Calls whose workers serve no other plain requests are not bounded.

    Args:
        routes: The routes in force.
        workers: The workers known, whose slots are shared.
    """

    def __init__(self, routes: RouteTable, workers: WorkerDirectory) -> None:
        self._routes = routes
        self._workers = workers
        self._num_taken: Counter[_Services] = Counter()
        self._waiting: dict[_Services, deque[asyncio.Future[None]]] = {}
        workers.on_change(self._hand_out)

    @property
    def num_waiting(self) -> int:
        """How many calls wait for a place."""
        return sum(len(queue) for queue in self._waiting.values())

    @contextlib.asynccontextmanager
    async def slot(self, route: Route) -> AsyncIterator[None]:
        """Hold a place among the calls to a route's services; waits until there is one."""
        if not self._routes.shares_workers(route):
            yield
            return
        services = tuple(target.service for target in route.targets)
        await self._take(services)
        try:
            yield
        finally:
            self._give_back(services)

    async def _take(self, services: _Services) -> None:
        if services not in self._waiting and self._has_room(services):
            self._num_taken[services] += 1
            return
        handed_out = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(services, deque()).append(handed_out)
        try:
            await handed_out
        except asyncio.CancelledError:
            if handed_out.done() and not handed_out.cancelled():
                self._give_back(services)
            raise

    def _give_back(self, services: _Services) -> None:
        self._num_taken[services] -= 1
        if self._num_taken[services] == 0:
            del self._num_taken[services]
        self._hand_out()

    def _hand_out(self) -> None:
        for services in list(self._waiting):
            queue = self._waiting[services]
            while queue and (queue[0].cancelled() or self._has_room(services)):
                handed_out = queue.popleft()
                if not handed_out.cancelled():
                    self._num_taken[services] += 1
                    handed_out.set_result(None)
            if not queue:
                del self._waiting[services]

    def _has_room(self, services: _Services) -> bool:
        num_places = sum(
            ceil(CALL_SHARE * worker.capacity)
            for service in services
            for worker in self._workers.serving(service)
        )
        # Without workers one call goes on, and learns what its caller is to be told.
        return self._num_taken[services] < max(1, num_places)
