"""The calls that one node makes for all, as far as a deployment asks for them."""

import time

from hollowrack.capacity.reconciler import CapacityReconciler
from hollowrack.capacity.types import CapacityClient
from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.store import CoordinationStore, StoredItem
from hollowrack.edge_connections import UsageConnections
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.live_state import CAPACITY_KEY, USAGE_KEY, LiveState
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.replicator import UsageReplicator
from hollowrack.usage.reporter import UsageReporter
from hollowrack.usage.wall_clock import WallClock


def usage_meter(owner: str, usage: UsageConnections | None) -> UsageMeter:
    """Return what counts the requests that go by way of a node.

    Args:
        owner: Name of the node's process.
        usage: What reporting usage takes; ``None`` where it is not reported.
    """
    if usage is None:
        return UsageMeter(owner, WallClock(time.time, now_s), None)
    return UsageMeter(owner, WallClock(usage.time_of_day_s, now_s), usage.window_s)


class NodeDuties:
    """Reports of usage and orders of capacity of one node, while it leads.

    Args:
        node: Name of the node.
        owner: Name of its process.
        store: The coordination store.
        leadership: Whether the node may make such calls.
        live: The live processes, as this node sees them.
        routes: The routes in force.
        workers: The workers known.
        meter: Counts the requests that go by way of this node.
        usage: What reporting usage takes; ``None`` where it is not reported.
        capacity: Gives orders of capacity; ``None`` where none are given.
    """

    def __init__(
        self,
        node: str,
        owner: str,
        store: CoordinationStore,
        leadership: Leadership,
        live: LiveState,
        routes: RouteTable,
        workers: WorkerDirectory,
        meter: UsageMeter,
        usage: UsageConnections | None,
        capacity: CapacityClient | None,
    ) -> None:
        self._spreader: UsageReplicator | None = None
        self._reporter: UsageReporter | None = None
        self._capacity: CapacityReconciler | None = None
        if usage is not None:
            self._spreader = UsageReplicator(
                owner, meter, live.leader_and_fallback_addresses, live.leader, usage.peers
            )
            self._reporter = UsageReporter(
                node,
                USAGE_KEY,
                store,
                leadership,
                meter,
                usage.window_s,
                usage.client,
            )
        if capacity is not None:
            self._capacity = CapacityReconciler(
                node, CAPACITY_KEY, store, leadership, routes.services, workers, capacity
            )

    def start(self) -> None:
        """Start making calls whenever the node leads."""
        for duty in (self._spreader, self._reporter, self._capacity):
            if duty is not None:
                duty.start()

    async def stop_calls(self) -> None:
        """Make no further calls; counts still go to the other nodes."""
        for duty in (self._reporter, self._capacity):
            if duty is not None:
                await duty.stop()

    async def stop(self) -> None:
        """Stop, and hand over what has been counted."""
        await self.stop_calls()
        if self._spreader is not None:
            await self._spreader.stop()

    async def abandon(self) -> None:
        """Stop at once, as a crash would; for tests."""
        await self.stop_calls()
        if self._spreader is not None:
            await self._spreader.abandon()

    def apply_change(self, key: str, item: StoredItem | None) -> bool:
        """Take in a key of the live state; returns whether it is one of the duties'."""
        if key == USAGE_KEY:
            if self._reporter is not None:
                self._reporter.update_decided(item)
            return True
        if key == CAPACITY_KEY:
            if self._capacity is not None:
                self._capacity.update_plan(item)
            return True
        return False
