"""Guards against capacity lost when leaders, the store or the platform fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from hollowrack.coordination.duty import DutyOutcome
from hollowrack.edge_connections import EdgeConnections
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import RoutingConfiguration
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from hollowrack_standins.duty_service import DutyServiceCore
from tests.capacity.test_planner import SCALED, workers
from tests.jobs.helpers import Fleet as PeerFleet
from tests.jobs.helpers import FleetFeed, NoOrders

HANDOVER_S = 3.0
ELECTION_S = 8.0
PLANNED = {("llm", "z1", False): 2, ("llm", "z2", False): 3}


async def _complete_retirement(machine: str) -> bool:
    return bool(machine)


class CapacityFleet:
    """Edge nodes with one store and one platform service that accepts orders."""

    def __init__(self) -> None:
        self.core = CoordinationStoreCore()
        self.service = DutyServiceCore(HANDOVER_S)
        self.edges: dict[str, EdgeNode] = {}
        self.faults: dict[str, StoreFaults] = {}
        for index in range(3):
            self.start(f"n{index}")

    def start(self, name: str) -> None:
        self.faults[name] = StoreFaults()
        peers = PeerFleet(0)
        connections = EdgeConnections(
            self.core.make_client(self.faults[name]),
            BackEndsStandin(),
            NoOrders(),
            lambda _: None,
            _complete_retirement,
            peers,
            FleetFeed(self.edges),
            peers,
            name,
            capacity=self.service,
        )
        node = EdgeNode(name, "z1", HANDOVER_S, connections, random.Random(name))
        self.edges[name] = node
        node.start()
        node.configuration_changed(RoutingConfiguration(1, (), {"llm": SCALED}))
        for worker in [*workers("llm", "z1", 2), *workers("llm", "z2", 3)]:
            node.worker_changed(worker)

    def leader(self) -> str:
        (leader,) = [name for name, node in self.edges.items() if node.leadership.is_leader]
        return leader

    async def kill(self, name: str) -> None:
        self.faults[name].is_silent = True
        await self.edges.pop(name).abandon()


def run_fleet(scenario: Callable[[CapacityFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = CapacityFleet()
        await scenario(fleet)
        assert fleet.service.violations == []
        for name in list(fleet.edges):
            await fleet.kill(name)

    run_virtual(main())


def test_current_capacity_is_ordered_repeatedly() -> None:
    async def scenario(fleet: CapacityFleet) -> None:
        await asyncio.sleep(ELECTION_S)
        assert fleet.service.orders == PLANNED
        num_calls = fleet.service.num_calls
        await asyncio.sleep(31.0)
        # Three repeats of each of the two orders.
        assert fleet.service.num_calls == num_calls + 6

    run_fleet(scenario)


def test_new_leader_orders_stored_plan_although_workers_are_missing() -> None:
    async def scenario(fleet: CapacityFleet) -> None:
        await asyncio.sleep(ELECTION_S)
        await fleet.kill(fleet.leader())
        for node in fleet.edges.values():
            node.worker_removed("llm-z1-0")
            node.worker_removed("llm-z2-0")
        fleet.service.orders.clear()
        await asyncio.sleep(10.0)
        assert fleet.service.orders == PLANNED

    run_fleet(scenario)


def test_no_plan_is_decided_before_workers_return_after_outage() -> None:
    async def scenario(fleet: CapacityFleet) -> None:
        for node in fleet.edges.values():
            node.worker_removed("llm-z1-0")
        # The outage ends when the first leader could decide a plan.
        await asyncio.sleep(4.0)
        for faults in fleet.faults.values():
            faults.refuses = True
        await asyncio.sleep(3.0)
        for faults in fleet.faults.values():
            faults.refuses = False
        # Workers write their entries again within two seconds after the outage.
        await asyncio.sleep(2.0)
        assert not fleet.service.orders
        for node in fleet.edges.values():
            node.worker_changed(workers("llm", "z1", 2)[0])
        await asyncio.sleep(12.0)
        assert fleet.service.orders == PLANNED

    run_fleet(scenario)


@pytest.mark.parametrize(
    "outcome",
    [DutyOutcome.UNAVAILABLE, DutyOutcome.THROTTLED, DutyOutcome.REFUSED],
)
def test_refused_order_is_repeated_at_retry_interval(outcome: DutyOutcome) -> None:
    async def scenario(fleet: CapacityFleet) -> None:
        fleet.service.faults.outcome = outcome
        await asyncio.sleep(ELECTION_S + 10.0)
        assert fleet.service.orders == {}
        assert 10 <= fleet.service.num_calls <= 26
        fleet.service.faults.outcome = None
        await asyncio.sleep(2.0)
        assert fleet.service.orders == PLANNED

    run_fleet(scenario)


@pytest.mark.parametrize("fault", ["num_lost_answers", "num_late_writes"])
def test_plan_with_unknown_write_is_decided_once(fault: str) -> None:
    async def scenario(fleet: CapacityFleet) -> None:
        await asyncio.sleep(5.0)
        setattr(fleet.faults[fleet.leader()], fault, 1)
        await asyncio.sleep(8.0)
        assert fleet.service.orders == PLANNED

    run_fleet(scenario)
