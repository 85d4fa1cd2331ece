"""A whole fleet in one process over loopback sockets: stand-ins, nodes and a bundle in force."""

import asyncio
import itertools
import secrets
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowrack.bundle.schema import Bundle
from hollowrack.bundle.signing import generate_key, public_key_hex, sign_bundle
from hollowrack.node import Node
from hollowrack.results import value_or_raise
from hollowrack.settings.load import CLUSTER_KEY_BYTES, build_settings
from hollowrack.settings.model import NodeSettings
from hollowrack_standins.config_store import ConfigStoreStandin
from hollowrack_standins.engine import EngineStandin
from hollowrack_standins.engine_core import EngineConfig
from hollowrack_standins.machine_list import ListedMachine, MachineListStandin
from hollowrack_standins.service_worker import ServiceWorkerStandin
from hollowrack_standins.weight_store import WeightStoreStandin

SIGNER = "demo"
ANY_ADDRESS = "127.0.0.1:0"
READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.05
MODEL = "quote"
SERVICE_POOL = "portal"


@dataclass(frozen=True)
class FleetConfig:
    """Shape of a local fleet.

    Attributes:
        zones: Names of the zones.
        num_nodes_per_zone: Nodes in each zone.
        num_engines: Engines, dealt to the zones in turn.
        num_workers: Service workers, dealt to the zones in turn.
        engine: Shape of each engine.
        training_room: Share of the engines that training may take.
        machine_list_lag_s: Lag of the machine list, in seconds.
        uses_data_dirs: Whether nodes keep journals on disk.
        seed: Seed of the nodes.
    """

    zones: tuple[str, ...] = ("talcahuano", "san-pedro", "chiguayante")
    num_nodes_per_zone: int = 2
    num_engines: int = 4
    num_workers: int = 3
    engine: EngineConfig = field(default_factory=EngineConfig)
    training_room: float = 0.75
    machine_list_lag_s: float = 0.5
    uses_data_dirs: bool = False
    seed: int = 1


class LocalFleet:
    """Starts and stops everything.

    Args:
        config: Its shape.
        folder: Where keys and data folders go.
    """

    def __init__(self, config: FleetConfig, folder: Path) -> None:
        self.config = config
        self.store = ConfigStoreStandin()
        self.machine_list = MachineListStandin(lag_s=config.machine_list_lag_s)
        self.weight_store = WeightStoreStandin()
        self.executions: Counter[str] = Counter()
        self.engines: list[EngineStandin] = []
        self.workers: list[ServiceWorkerStandin] = []
        self.nodes: dict[str, Node] = {}
        self._folder = folder
        self._signing_key = generate_key()
        self._revisions = itertools.count(1)
        self._platform: dict[str, Any] = {}

    async def start(self) -> None:
        """Start everything and wait until the fleet serves."""
        await self._start_platform()
        (self._folder / "cluster.key").write_text(secrets.token_hex(CLUSTER_KEY_BYTES))
        for index in range(self.config.num_nodes_per_zone):
            for zone in self.config.zones:
                await self.start_node(f"{zone}-{index + 1}", zone)
        await self.accept_bundle()
        await self.wait_until(self._is_ready, "the fleet did not become ready")

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(node.kill() for node in self.nodes.values()))
        self.nodes = {}
        await asyncio.gather(*(engine.stop() for engine in self.engines))
        await asyncio.gather(*(worker.stop() for worker in self.workers))
        await self.weight_store.stop()
        await self.machine_list.stop()
        await self.store.stop()

    async def start_node(
        self,
        name: str,
        zone: str,
        callers_address: str = ANY_ADDRESS,
        node_address: str = ANY_ADDRESS,
    ) -> Node:
        """Start a node that knows the nodes started so far; by default on free ports."""
        settings = self.node_settings(name, zone, callers_address, node_address)
        node = Node(settings, seed=self.config.seed + len(self.nodes))
        await node.start()
        self.nodes[name] = node
        return node

    def node_settings(
        self, name: str, zone: str, callers_address: str, node_address: str
    ) -> NodeSettings:
        """Return the settings of a node."""
        values: dict[str, Any] = {
            "node": name,
            "zone": zone,
            "cluster_key_file": str(self._folder / "cluster.key"),
            "listeners": {
                "callers": callers_address,
                "operators": ANY_ADDRESS,
                "nodes": node_address,
            },
            "platform": self._platform,
            "trusted_signers": {SIGNER: public_key_hex(self._signing_key)},
            "peers": [
                {"node": other, "zone": node.settings.zone, "address": node.core.address}
                for other, node in self.nodes.items()
            ],
        }
        if self.config.uses_data_dirs:
            data_dir = self._folder / name
            data_dir.mkdir(exist_ok=True)
            values["data_dir"] = str(data_dir)
        return value_or_raise(build_settings(values))

    async def stop_node(self, name: str) -> None:
        """Stop a node as planned."""
        await self.nodes.pop(name).stop()

    async def kill_node(self, name: str) -> None:
        """Stop a node as a crash would."""
        await self.nodes.pop(name).kill()

    async def accept_bundle(self, **changes: Any) -> Bundle:
        """Sign and accept the next revision of the fleet's bundle."""
        values: dict[str, Any] = {
            "revision": next(self._revisions),
            "models": {MODEL: {"training_room": self.config.training_room}},
            "pools": {SERVICE_POOL: {"timeout_s": 5.0}},
        }
        bundle = Bundle.model_validate(values | changes)
        signed = sign_bundle(bundle, SIGNER, self._signing_key)
        node = next(iter(self.nodes.values()))
        value_or_raise(await node.core.bundle_store.accept(bundle.revision, signed))
        return bundle

    def urls(self) -> list[str]:
        """Base URLs of the running nodes' callers' listeners."""
        return [f"http://{node.callers_server.address}" for node in self.nodes.values()]

    async def publish_weights(self, version: int) -> None:
        """Publish a weight version."""
        self.weight_store.publish(MODEL, version)

    async def wait_until(
        self, condition: Callable[[], bool], failure: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait for a condition.

        Raises:
            TimeoutError: With ``failure`` if it does not come about.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(failure)
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    # -- inside -----------------------------------------------------------------------------

    async def _start_platform(self) -> None:
        store = await self.store.start()
        machine_list = await self.machine_list.start()
        weight_store = await self.weight_store.start()
        self._platform = {
            "config_store": [f"http://{store}"],
            "machine_list": f"http://{machine_list}/targets",
            "weight_store": f"http://{weight_store}",
        }
        self.weight_store.publish(MODEL, 0)
        zones = itertools.cycle(self.config.zones)
        for _ in range(self.config.num_engines):
            await self.add_engine(next(zones))
        for index in range(self.config.num_workers):
            await self.add_worker(f"worker-{index + 1}", next(zones))

    async def add_engine(self, zone: str) -> EngineStandin:
        """Start an engine and list it."""
        engine = EngineStandin(self.config.engine, self._platform["weight_store"])
        address = await engine.start()
        self.engines.append(engine)
        self.machine_list.set_machine(ListedMachine(address, "engine", MODEL, zone))
        return engine

    async def add_worker(self, name: str, zone: str) -> ServiceWorkerStandin:
        """Start a service worker and list it."""
        worker = ServiceWorkerStandin(name, executions=self.executions)
        address = await worker.start()
        self.workers.append(worker)
        self.machine_list.set_machine(ListedMachine(address, "service", SERVICE_POOL, zone))
        return worker

    def _is_ready(self) -> bool:
        return all(self._is_node_ready(node) for node in self.nodes.values())

    def _is_node_ready(self, node: Node) -> bool:
        num_engine_slots = node.core.fleet.pool_load(MODEL).num_slots
        num_worker_slots = node.core.fleet.pool_load(SERVICE_POOL).num_slots
        known = [
            member for member in node.core.membership.swim.members.values() if member.incarnation
        ]
        return (
            node.core.bundles.revision >= 1
            and num_engine_slots == len(self.engines) * self.config.engine.num_slots
            and num_worker_slots > 0
            and len(known) == len(self.nodes)
        )
