"""The leader's calls to the platform, as far as the deployment has them configured."""

import time
from collections.abc import Callable

from hollowrack.capacity.reconciler import CapacityReconciler
from hollowrack.capacity.types import CapacityClient
from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.store import CoordinationStore, StoredItem
from hollowrack.edge_connections import UsageConnections
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.live_state import CAPACITY_KEY, LEADER_KEY, USAGE_KEY, LiveState
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.replicator import UsageReplicator
from hollowrack.usage.reporter import UsageReporter
from hollowrack.usage.wall_clock import WallClock
from hollowrack.usage.window_schedule import WindowSchedule


def usage_meter(owner: str, usage: UsageConnections | None) -> UsageMeter:
    """Create the meter of the requests sent through a node.

    Args:
        owner: Name of the node's incarnation.
        usage: Usage reporting; ``None`` if usage is not reported.
    """
    if usage is None:
        return UsageMeter(owner, WallClock(time.time, now_s), None)
    clock = WallClock(usage.time_of_day_s, now_s)
    return UsageMeter(owner, clock, usage.window_s, keeps_decided=usage.late_s is not None)


class NodeDuties:
    """Runs usage reporting and capacity orders of one node.

    Args:
        node: Name of the node.
        owner: Name of the node's incarnation.
        store: Holds the records of decided usage and planned capacity.
        leadership: Whether the node may make calls to the platform.
        live: The live processes, as seen by this node.
        routes: Provides the services in force.
        workers: The known workers.
        meter: Counts the requests sent through this node.
        may_lack_changes: Whether the node's view may lack changes that most other nodes know.
        usage: Usage reporting; ``None`` if usage is not reported.
        capacity: Sends capacity orders; ``None`` if capacity is not ordered.

    Attributes:
        reporter: Reports usage while the node leads; ``None`` if usage is not reported.
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
        may_lack_changes: Callable[[], bool],
        usage: UsageConnections | None,
        capacity: CapacityClient | None,
    ) -> None:
        self._owner = owner
        self._leadership = leadership
        self._live = live
        self._may_lack_changes = may_lack_changes
        self._meter = meter
        self._has_usage_bound = usage is not None and usage.late_s is not None
        self._replicator: UsageReplicator | None = None
        self.reporter: UsageReporter | None = None
        self._capacity: CapacityReconciler | None = None
        if usage is not None:
            self._replicator = UsageReplicator(
                owner,
                meter,
                live.leader_and_fallback_addresses,
                live.leader,
                usage.peers,
                self._may_lack_leader if self._has_usage_bound else None,
            )
            self.reporter = UsageReporter(
                node,
                USAGE_KEY,
                store,
                leadership,
                meter,
                WindowSchedule(usage.window_s, usage.late_s),
                usage.client,
                live.other_processes,
                usage.tolerance,
            )
        if capacity is not None:
            self._capacity = CapacityReconciler(
                node, CAPACITY_KEY, store, leadership, routes.services, workers, capacity
            )

    def _may_lack_leader(self) -> bool:
        """Whether there may be a newer leader than this node knows."""
        has_lost_leadership = self._live.leader() == self._owner and not self._leadership.is_leader
        return has_lost_leadership or self._may_lack_changes()

    def start(self) -> None:
        """Start replicating counts, and making calls whenever the node leads."""
        for duty in (self._replicator, self.reporter, self._capacity):
            if duty is not None:
                duty.start()

    async def stop_calls(self) -> None:
        """Stop calls to the platform; counts are still pushed to other nodes."""
        for duty in (self.reporter, self._capacity):
            if duty is not None:
                await duty.stop()

    async def stop(self) -> None:
        """Stop, and push the remaining counts to other nodes."""
        await self.stop_calls()
        if self._replicator is not None:
            await self._replicator.stop()

    async def abandon(self) -> None:
        """Stop at once, as in a crash; for tests."""
        await self.stop_calls()
        if self._replicator is not None:
            await self._replicator.abandon()

    def apply_change(self, key: str, item: StoredItem | None) -> bool:
        """Process a change of a live-state key; returns whether the key belongs to a duty."""
        if key == LEADER_KEY and self._has_usage_bound:
            # Counts are pushed to a new leader at once.
            self._meter.changed.set()
        if key == USAGE_KEY:
            if self.reporter is not None:
                self.reporter.update_decided(item)
            return True
        if key == CAPACITY_KEY:
            if self._capacity is not None:
                self._capacity.update_plan(item)
            return True
        return False
