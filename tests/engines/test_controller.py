"""Guards against engines without orders, and groups created too early or left without a leader."""

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


class FakeGroupHost:
    """Fake group host of a node that leads the given groups."""

    def __init__(self, *led_groups: str) -> None:
        replica = SimpleNamespace(promised=SimpleNamespace(fencing_token=7))
        self.groups = {group: SimpleNamespace(replica=replica) for group in led_groups}

    def leads(self, group: str) -> bool:
        return group in self.groups


class FakeGroupClient:
    """Fake group client; records the number of known nodes at each call of ``find_or_create``."""

    def __init__(self, num_nodes: "NodeCount") -> None:
        self.num_nodes_at_calls: list[int] = []
        self.leader_exists = True
        self.num_new_epochs = 0
        self._num_nodes = num_nodes

    async def has_leader(self, group: str) -> bool:
        return self.leader_exists

    async def force_new_epoch(self, group: str) -> Result[None, None]:
        self.num_new_epochs += 1
        self.leader_exists = True
        return Success(None)

    async def find_or_create(self, group: str) -> Result[None, None]:
        self.num_nodes_at_calls.append(self._num_nodes())
        return Success(None)


class NodeCount:
    """Number of known nodes, adjustable by the test."""

    def __init__(self, value: int) -> None:
        self.value = value

    def __call__(self) -> int:
        return self.value


class FakeEngine:
    """Fake engine that executes every order immediately."""

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
    return EngineState("incarnation-1", "serving", MODEL, version, 8, 0)


def _controller(
    group_host: FakeGroupHost, client: FakeGroupClient, engine: FakeEngine, num_nodes: NodeCount
) -> EngineController:
    fleet = FleetView()
    machine = Machine(ENGINE, "engine", MODEL, OTHER_ZONE, is_leaving=False)
    fleet.records[ENGINE] = BackEndRecord(machine, engine=_state(0))
    fakes: Any = (group_host, client, fleet, lambda address: engine)
    host, group_client, view, make_client = fakes
    return EngineController(
        OWN_ZONE,
        host,
        group_client,
        view,
        make_client,
        lambda model: TARGET_VERSION,
        DecisionLog(),
        num_nodes,
    )


def test_group_leader_in_another_zone_orders_engines() -> None:
    async def run() -> None:
        engine, num_nodes = FakeEngine(), NodeCount(6)
        group_host = FakeGroupHost(engine_group(OTHER_ZONE))
        controller = _controller(group_host, FakeGroupClient(num_nodes), engine, num_nodes)
        controller.start()
        await asyncio.sleep(1.0)
        await controller.stop()
        assert engine.version == TARGET_VERSION

    run_virtual(run())


def test_node_without_led_group_sends_no_orders() -> None:
    async def run() -> None:
        engine, num_nodes = FakeEngine(), NodeCount(6)
        controller = _controller(FakeGroupHost(), FakeGroupClient(num_nodes), engine, num_nodes)
        controller.start()
        await asyncio.sleep(1.0)
        await controller.stop()
        assert engine.version == 0

    run_virtual(run())


def test_group_is_not_created_during_discovery() -> None:
    async def run() -> None:
        num_nodes = NodeCount(1)
        client = FakeGroupClient(num_nodes)
        controller = _controller(FakeGroupHost(), client, FakeEngine(), num_nodes)
        controller.start()
        for number in (2, 3, 6):
            await asyncio.sleep(0.4)
            num_nodes.value = number
        await asyncio.sleep(1.0)
        await controller.stop()
        assert client.num_nodes_at_calls
        assert min(client.num_nodes_at_calls) == 6

    run_virtual(run())


def test_single_node_creates_its_group() -> None:
    async def run() -> None:
        num_nodes = NodeCount(1)
        client = FakeGroupClient(num_nodes)
        controller = _controller(FakeGroupHost(), client, FakeEngine(), num_nodes)
        controller.start()
        await asyncio.sleep(10.0)
        await controller.stop()
        assert client.num_nodes_at_calls

    run_virtual(run())


def test_only_group_without_leader_gets_new_epoch() -> None:
    async def run() -> None:
        num_nodes = NodeCount(6)
        client = FakeGroupClient(num_nodes)
        controller = _controller(FakeGroupHost(), client, FakeEngine(), num_nodes)
        controller.start()
        await asyncio.sleep(30.0)
        assert client.num_new_epochs == 0
        client.leader_exists = False
        await asyncio.sleep(10.0)
        assert client.num_new_epochs == 1
        await controller.stop()

    run_virtual(run())
