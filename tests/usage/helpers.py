"""Simulated edge nodes that report usage, with faults of nodes, store and clocks."""

import asyncio
import random
from collections import Counter
from collections.abc import Collection
from dataclasses import replace
from typing import Any

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.coordination.relay import RelayedCall, RelayedOutcome, make_relayed_call
from hollowrack.coordination.store import NotDone, Unknown
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.edge_connections import (
    DEFAULT_MAX_CHANGE_DELAY_S,
    EdgeConnections,
    UsageConnections,
)
from hollowrack.edge_node import EdgeNode
from hollowrack.usage.types import PushedCounts, WindowReport
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from hollowrack_standins.duty_service import LOST_ANSWER_DELAY_S, DutyServiceCore
from tests.jobs.helpers import Fleet as PeerFleet
from tests.jobs.helpers import FleetFeed, NoOrders

WINDOW_S = 5.0
HANDOVER_S = 3.0
EPOCH_S = 1_000_000.0
PUSH_TIMEOUT_S = 0.3


async def _complete_retirement(machine: str) -> bool:
    return bool(machine)


class UsagePeersOfNode:
    """One node's calls to the other nodes and to the platform's service."""

    def __init__(self, name: str, fleet: "UsageFleet") -> None:
        self._name = name
        self._fleet = fleet
        self._feed = FleetFeed(fleet.edges)

    def _reaches(self, address: str) -> bool:
        pair = frozenset((self._name, address))
        return not pair & self._fleet.cut_off and pair not in self._fleet.cut_links

    async def push(self, address: str, pushed: PushedCounts) -> bool:
        self._fleet.pushes.append((self._name, address, pushed.leader))
        if not self._reaches(address):
            await asyncio.sleep(PUSH_TIMEOUT_S)
            return False
        return await self._fleet.push(address, pushed)

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        if not self._reaches(address):
            await asyncio.sleep(PUSH_TIMEOUT_S)
            return None
        changes = await self._feed.watch(address, request)
        return changes if self._reaches(address) else None

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        node = self._fleet.nodes.get(address)
        if not self._fleet.relays or node is None:
            return NotDone("no node")
        if not self._reaches(address):
            await asyncio.sleep(PUSH_TIMEOUT_S)
            return Unknown("no answer")
        await asyncio.sleep(0.001)
        return await make_relayed_call(self._fleet.core.make_client(node.faults), call)

    async def report_usage(self, holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        if self._name in self._fleet.cut_off:
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
            return DutyOutcome.UNKNOWN
        outcome = await self._fleet.service.report_usage(holder, report)
        if report.window in self._fleet.service.reports:
            self._fleet.reported_at_s.setdefault(report.window, true_time_s())
        return outcome


class UsageNode:
    """One incarnation of a node."""

    def __init__(self, name: str, fleet: "UsageFleet") -> None:
        self.faults = StoreFaults()
        self.clock_offset_s = 0.0
        jobs = PeerFleet(0)
        peers = UsagePeersOfNode(name, fleet)
        usage = UsageConnections(
            WINDOW_S,
            peers,
            peers,
            lambda: true_time_s() + self.clock_offset_s,
            **({} if name in fleet.unbounded else fleet.usage_bounds),
        )
        connections = EdgeConnections(
            fleet.core.make_client(self.faults),
            BackEndsStandin(),
            NoOrders(),
            lambda _: None,
            _complete_retirement,
            jobs,
            peers,
            peers,
            name,
            max_change_delay_s=fleet.max_change_delay_s,
            seeds=tuple(fleet.nodes)[:3],
            usage=usage,
        )
        zone = f"z{int(name[1:]) % fleet.num_zones + 1}"
        rng = random.Random(f"{fleet.seed}{name}")
        self.node = EdgeNode(name, zone, HANDOVER_S, connections, rng)
        fleet.edges[name] = self.node
        self.node.start()


def true_time_s() -> float:
    return EPOCH_S + asyncio.get_running_loop().time()


class UsageFleet:
    """Edge nodes with one store and one platform service that receives reports.

    Args:
        num_nodes: Number of nodes that are started.
        relays: Whether nodes make store calls for each other.
        num_zones: Number of zones among which the nodes are distributed.
        max_change_delay_s: Propagation limit of changes; from 3 s on each zone has three hosts.
        seed: Seed of the nodes' random sources; empty for the names alone.
        usage_bounds: Bounds of usage reporting of the nodes.
        unbounded: Nodes without these bounds, like those of the previous version.

    Attributes:
        begun: Requests that began, by window and tenant.
        sends_complete_before: Whether nodes say which counts are complete; earlier versions do not.
        cut_off: Nodes that reach neither other nodes nor the service, and are reached by none.
        pushes: Sender, receiver and named leader of each message with counts.
        cut_links: Pairs of nodes that do not reach each other.
        reported_at_s: True time at which the service received the first report of each window.
    """

    def __init__(
        self,
        num_nodes: int,
        relays: bool = False,
        num_zones: int = 1,
        max_change_delay_s: float = DEFAULT_MAX_CHANGE_DELAY_S,
        seed: str = "",
        usage_bounds: dict[str, Any] | None = None,
        unbounded: Collection[str] = (),
    ) -> None:
        self.core = CoordinationStoreCore()
        self.service = DutyServiceCore(HANDOVER_S)
        self.edges: dict[str, EdgeNode] = {}
        self.nodes: dict[str, UsageNode] = {}
        self.begun: Counter[tuple[int, str]] = Counter()
        self.sends_complete_before = True
        self.relays = relays
        self.num_zones = num_zones
        self.max_change_delay_s = max_change_delay_s
        self.seed = seed
        self.usage_bounds = usage_bounds or {}
        self.unbounded = unbounded
        self.cut_off: set[str] = set()
        self.pushes: list[tuple[str, str, str]] = []
        self.cut_links: set[frozenset[str]] = set()
        self.reported_at_s: dict[int, float] = {}
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
