"""Who orders a zone's engines, and when their group is founded."""

import asyncio
from types import SimpleNamespace
from typing import Any

from returns.result import Result, Success

from hollowrack.clients.engine import EngineState
from hollowrack.clients.machine_list import Machine
from hollowrack.engines.controller import EngineController, engine_group
from hollowrack.observability.decisions import DecisionLog
from hollowrack.routing.fleet import BackEndRecord, FleetView
from hollowrack_bench.virtual_time import run_virtual

MODEL = "quote"
ENGINE = "127.0.0.1:1"
OWN_ZONE = "buc-a"
OTHER_ZONE = "buc-b"
TARGET_VERSION = 3


class LedGroups:
    """Stands in for the host of groups: this node leads some of them."""

    def __init__(self, *led: str) -> None:
        replica = SimpleNamespace(promised=SimpleNamespace(fencing_token=7))
        self.groups = {group: SimpleNamespace(replica=replica) for group in led}

    def leads(self, group: str) -> bool:
        return group in self.groups


class FoundingClient:
    """Stands in for the client of groups: remembers how many nodes were known at each founding."""

    def __init__(self, num_nodes: "NodeCount") -> None:
        self.founded_with: list[int] = []
        self.is_led = True
        self.num_refounded = 0
        self._num_nodes = num_nodes

    async def has_leader(self, group: str) -> bool:
        return self.is_led

    async def force_new_epoch(self, group: str) -> Result[None, None]:
        self.num_refounded += 1
        self.is_led = True
        return Success(None)

    async def find_or_create(self, group: str) -> Result[None, None]:
        self.founded_with.append(self._num_nodes())
        return Success(None)


class NodeCount:
    """How many nodes are known."""

    def __init__(self, value: int) -> None:
        self.value = value

    def __call__(self) -> int:
        return self.value


class OrderedEngine:
    """An engine that carries out every order at once."""

    def __init__(self) -> None:
        self.version = 0

    async def order_version(
        self, model: str, version: int, token: int, incarnation: str
    ) -> Result[None, None]:
        self.version = version
        return Success(None)

    async def read_state(self) -> Result[EngineState, None]:
        return Success(_state(self.version))


def _state(version: int) -> EngineState:
    return EngineState("life-1", "serving", MODEL, version, 8, 0)


def _controller(
    groups: LedGroups, founding: FoundingClient, engine: OrderedEngine, num_nodes: NodeCount
) -> EngineController:
    fleet = FleetView()
    machine = Machine(ENGINE, "engine", MODEL, OTHER_ZONE, is_leaving=False)
    fleet.records[ENGINE] = BackEndRecord(machine, engine=_state(0))
    unchecked: Any = (groups, founding, fleet, lambda address: engine)
    host, client, view, make_client = unchecked
    return EngineController(
        OWN_ZONE,
        host,
        client,
        view,
        make_client,
        lambda model: TARGET_VERSION,
        DecisionLog(),
        num_nodes,
    )


def test_the_leader_of_a_group_orders_its_engines_from_any_zone() -> None:
    async def run() -> None:
        engine, num_nodes = OrderedEngine(), NodeCount(6)
        groups = LedGroups(engine_group(OTHER_ZONE))
        controller = _controller(groups, FoundingClient(num_nodes), engine, num_nodes)
        controller.start()
        await asyncio.sleep(1.0)
        await controller.stop()
        assert engine.version == TARGET_VERSION

    run_virtual(run())


def test_a_node_that_leads_no_group_gives_no_orders() -> None:
    async def run() -> None:
        engine, num_nodes = OrderedEngine(), NodeCount(6)
        controller = _controller(LedGroups(), FoundingClient(num_nodes), engine, num_nodes)
        controller.start()
        await asyncio.sleep(1.0)
        await controller.stop()
        assert engine.version == 0

    run_virtual(run())


def test_a_group_is_not_founded_while_nodes_are_still_being_discovered() -> None:
    async def run() -> None:
        num_nodes = NodeCount(1)
        founding = FoundingClient(num_nodes)
        controller = _controller(LedGroups(), founding, OrderedEngine(), num_nodes)
        controller.start()
        for number in (2, 3, 6):
            await asyncio.sleep(0.4)
            num_nodes.value = number
        await asyncio.sleep(1.0)
        await controller.stop()
        assert founding.founded_with
        assert min(founding.founded_with) == 6

    run_virtual(run())


def test_a_node_that_stays_alone_founds_its_group_all_the_same() -> None:
    async def run() -> None:
        num_nodes = NodeCount(1)
        founding = FoundingClient(num_nodes)
        controller = _controller(LedGroups(), founding, OrderedEngine(), num_nodes)
        controller.start()
        await asyncio.sleep(10.0)
        await controller.stop()
        assert founding.founded_with

    run_virtual(run())


def test_a_group_that_lost_its_majority_is_founded_again_and_one_that_is_led_is_not() -> None:
    async def run() -> None:
        num_nodes = NodeCount(6)
        founding = FoundingClient(num_nodes)
        controller = _controller(LedGroups(), founding, OrderedEngine(), num_nodes)
        controller.start()
        await asyncio.sleep(30.0)
        assert founding.num_refounded == 0
        founding.is_led = False
        await asyncio.sleep(10.0)
        assert founding.num_refounded == 1
        await controller.stop()

    run_virtual(run())
