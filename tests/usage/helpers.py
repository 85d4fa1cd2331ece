"""Simulated edge nodes that report usage, with faults of nodes, store and clocks."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.edge_connections import EdgeConnections, UsageConnections
from hollowrack.edge_node import EdgeNode
from hollowrack.usage.types import PushedCounts
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from hollowrack_standins.duty_service import DutyServiceCore
from tests.jobs.helpers import Fleet as PeerFleet
from tests.jobs.helpers import FleetFeed, NoOrders

WINDOW_S = 5.0
HANDOVER_S = 3.0
EPOCH_S = 1_000_000.0
PUSH_TIMEOUT_S = 0.3


async def _complete_retirement(machine: str) -> bool:
    return bool(machine)


class UsageNode:
    """One incarnation of a node."""

    def __init__(self, name: str, fleet: "UsageFleet") -> None:
        self.faults = StoreFaults()
        self.clock_offset_s = 0.0
        peers = PeerFleet(0)
        connections = EdgeConnections(
            fleet.core.make_client(self.faults),
            BackEndsStandin(),
            NoOrders(),
            lambda _: None,
            _complete_retirement,
            peers,
            fleet.feed,
            peers,
            name,
            usage=UsageConnections(
                WINDOW_S, fleet, fleet.service, lambda: true_time_s() + self.clock_offset_s
            ),
        )
        self.node = EdgeNode(name, "z1", HANDOVER_S, connections, random.Random(name))
        fleet.edges[name] = self.node
        self.node.start()


def true_time_s() -> float:
    return EPOCH_S + asyncio.get_running_loop().time()


class UsageFleet:
    """Edge nodes with one store and one platform service that receives reports.

    Attributes:
        begun: Requests that began, by window and tenant.
        sends_complete_before: Whether nodes say which counts are complete; earlier versions do not.
    """

    def __init__(self, num_nodes: int) -> None:
        self.core = CoordinationStoreCore()
        self.service = DutyServiceCore(HANDOVER_S)
        self.edges: dict[str, EdgeNode] = {}
        self.feed = FleetFeed(self.edges)
        self.nodes: dict[str, UsageNode] = {}
        self.begun: Counter[tuple[int, str]] = Counter()
        self.sends_complete_before = True
        for index in range(num_nodes):
            self.start(f"n{index}")

    def start(self, name: str) -> None:
        self.nodes[name] = UsageNode(name, self)

    async def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        del self.edges[name]
        node.faults.is_silent = True
        await node.node.abandon()

    async def stop(self) -> None:
        for name in list(self.nodes):
            await self.kill(name)

    async def push(self, address: str, pushed: PushedCounts) -> bool:
        node = self.edges.get(address)
        if node is None:
            await asyncio.sleep(PUSH_TIMEOUT_S)
            return False
        await asyncio.sleep(0.001)
        if not self.sends_complete_before:
            counts = tuple(replace(counts, complete_before=0) for counts in pushed.counts)
            pushed = PushedCounts(counts)
        node.receive_usage(pushed)
        return True

    def begin(self, name: str, tenant: str) -> None:
        """Record that a worker begins a request sent through a node."""
        usage = self.nodes[name].node.usage
        usage.record_request(tenant, usage.time_s())
        self.begun[(int(true_time_s() // WINDOW_S), tenant)] += 1

    def leaders(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.node.leadership.is_leader]

    def reported(self) -> Counter[tuple[int, str]]:
        return Counter(
            {
                (window, tenant): count
                for window, counts in self.service.reports.items()
                for tenant, count in counts.items()
            }
        )


__all__ = ["SharedChanges", "UsageFleet", "WatchRequest"]
