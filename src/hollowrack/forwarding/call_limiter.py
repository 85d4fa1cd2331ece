"""Limiter of this node's own concurrent calls to workers that also serve callers.

Many items of a job may end together, each followed by a call to a scorer. Without a limit these
calls would occupy all slots of the scorer's workers.
"""

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from math import ceil

from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import Route
from hollowrack.forwarding.workers import Eligible, WorkerDirectory
from hollowrack.regions.allowed_regions import AllowedRegions

# Fraction of a worker's slots that the calls of one node may use. With the calls of two nodes at a
# worker, a third of its slots stays free for callers.
MAX_SLOT_FRACTION = 1.0 / 3.0


@dataclass(frozen=True)
class _Group:
    """Calls that share a limit.

    Attributes:
        services: Services of their routes.
        in_regions: Condition on the regions of their workers.
    """

    services: tuple[str, ...]
    in_regions: Eligible


class CallLimiter:
    """Limits concurrent calls by services and regions; calls wait in order of arrival.

    Calls whose workers serve no other plain requests are not limited.

    Args:
        routes: Current routes.
        workers: Directory of workers, whose capacity determines the limit.
    """

    def __init__(self, routes: RouteTable, workers: WorkerDirectory) -> None:
        self._routes = routes
        self._workers = workers
        self._num_in_use: Counter[_Group] = Counter()
        self._waiting: dict[_Group, deque[asyncio.Future[None]]] = {}
        workers.on_change(self._grant_waiting)

    @property
    def num_waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return sum(len(queue) for queue in self._waiting.values())

    @contextlib.asynccontextmanager
    async def slot(
        self, route: Route, allowed_regions: AllowedRegions = None
    ) -> AsyncIterator[None]:
        """Hold a slot for a call to a route's services; waits until one is free."""
        if not self._routes.shares_workers(route):
            yield
            return
        group = _Group(
            tuple(target.service for target in route.targets),
            self._workers.in_regions(allowed_regions),
        )
        await self._acquire(group)
        try:
            yield
        finally:
            self._release(group)

    async def _acquire(self, group: _Group) -> None:
        if group not in self._waiting and self._has_free_slot(group):
            self._num_in_use[group] += 1
            return
        granted = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(group, deque()).append(granted)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self._release(group)
            raise

    def _release(self, group: _Group) -> None:
        self._num_in_use[group] -= 1
        if self._num_in_use[group] == 0:
            del self._num_in_use[group]
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        for group in list(self._waiting):
            queue = self._waiting[group]
            while queue and (queue[0].cancelled() or self._has_free_slot(group)):
                granted = queue.popleft()
                if not granted.cancelled():
                    self._num_in_use[group] += 1
                    granted.set_result(None)
            if not queue:
                del self._waiting[group]

    def _has_free_slot(self, group: _Group) -> bool:
        num_slots = sum(
            ceil(MAX_SLOT_FRACTION * worker.capacity)
            for service in group.services
            for worker in self._workers.serving(service)
            if group.in_regions(worker)
        )
        # Without workers one call proceeds and fails with the appropriate error.
        return self._num_in_use[group] < max(1, num_slots)
