"""Simulated fleet: node cores, platform and bundle in one process on virtual time."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hollowrack.bundle.schema import Bundle
from hollowrack.bundle.signing import generate_key, public_key_hex, sign_bundle
from hollowrack.clients.engine import EngineClient
from hollowrack.clients.machine_list import Machine
from hollowrack.membership.types import Member
from hollowrack.node_core import NodeCore
from hollowrack.node_dependencies import NodeDependencies, NodeIdentity
from hollowrack.results import value_or_raise
from hollowrack.routing.choice import Chooser, choose
from hollowrack.settings.model import Limits
from hollowrack_bench.simulation.network import SimulatedNetwork, SimulationState
from hollowrack_bench.simulation.platform import (
    SimulatedEngine,
    SimulatedEngineClient,
    SimulatedMachineList,
    SimulatedServiceClient,
    SimulatedStore,
    SimulatedWorker,
)
from hollowrack_standins.engine_core import EngineConfig

MODEL = "quote"
POOL = "portal"
SIGNER = "bench"
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class SimulatedFleetConfig:
    """Shape of a simulated fleet.

    Attributes:
        zones: Names of the zones.
        num_nodes_per_zone: Number of nodes in each zone.
        num_engines: Number of engines, assigned to the zones in turn.
        num_workers: Number of service workers, assigned to the zones in turn.
        engine: Configuration of each engine.
        service_s: Duration of a service request, in seconds.
        zone_latency_s: One-way latency between different zones, in seconds.
        training_room: Fraction of an engine's slots that training may use.
        load_lag_s: Age of the engines' load reports, in seconds.
        chooser: Routing algorithm.
        max_requests: Maximum number of concurrent requests of a node.
        seed: Seed of all random sources.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    num_nodes_per_zone: int = 2
    num_engines: int = 4
    num_workers: int = 3
    engine: EngineConfig = field(default_factory=EngineConfig)
    service_s: float = 0.01
    zone_latency_s: float = 0.0005
    training_room: float = 0.75
    load_lag_s: float = 0.5
    chooser: Chooser = field(default=choose)
    max_requests: int = 4096
    seed: int = 1


class SimulatedFleet:
    """Runs the nodes and the platform of a simulated fleet.

    Args:
        config: Shape of the fleet.
    """

    def __init__(self, config: SimulatedFleetConfig) -> None:
        self.config = config
        self.rng = random.Random(config.seed)
        self.simulation_state = SimulationState(
            random.Random(self.rng.random()), zone_latency_s=config.zone_latency_s
        )
        self.store = SimulatedStore(random.Random(self.rng.random()))
        self.machine_list = SimulatedMachineList()
        self.executions: Counter[str] = Counter()
        self.engines: dict[str, SimulatedEngine] = {}
        self.workers: dict[str, SimulatedWorker] = {}
        self.nodes: dict[str, NodeCore] = {}
        self.networks: dict[str, SimulatedNetwork] = {}
        self._signing_key = generate_key()
        self._revisions = itertools.count(1)
        self._num_incarnations: Counter[str] = Counter()
        self._zone_of: dict[str, str] = {}

    # -- lifecycle --------------------------------------------------------------------------

    async def start(self) -> None:
        """Start platform and nodes, and wait until all nodes are ready."""
        zones = itertools.cycle(self.config.zones)
        for index in range(self.config.num_engines):
            self.add_engine(f"engine-{index}", next(zones))
        for index in range(self.config.num_workers):
            self.add_worker(f"worker-{index}", next(zones))
        for index in range(self.config.num_nodes_per_zone):
            for zone in self.config.zones:
                await self.start_node(f"{zone}-{index}", zone)
        await self.accept_bundle()
        await self.wait_until(self._is_ready)

    async def stop(self) -> None:
        """Stop all nodes and engines."""
        await asyncio.gather(*(node.close() for node in self.nodes.values()))
        await asyncio.gather(*(engine.stop() for engine in self.engines.values()))

    def add_engine(self, address: str, zone: str) -> SimulatedEngine:
        """Start an engine and add it to the machine list."""
        engine = SimulatedEngine(address, zone, self.config.engine)
        engine.core.faults.load_lag_s = self.config.load_lag_s
        engine.start()
        self.engines[address] = engine
        self.machine_list.set_machine(Machine(address, "engine", MODEL, zone, False))
        return engine

    def add_worker(self, address: str, zone: str) -> SimulatedWorker:
        """Start a service worker and add it to the machine list."""
        worker = SimulatedWorker(address, zone, self.config.service_s, self.executions)
        self.workers[address] = worker
        self.machine_list.set_machine(Machine(address, "service", POOL, zone, False))
        return worker

    async def start_node(self, name: str, zone: str | None = None) -> NodeCore:
        """Start a node, or restart it without its earlier state.

        Args:
            name: Name of the node.
            zone: Zone of the node; ``None`` for that of its last start.
        """
        zone = zone or self._zone_of[name]
        self._zone_of[name] = zone
        self._num_incarnations[name] += 1
        seeds = tuple(
            Member(node.identity.node, node.identity.zone, node.address, "", generation=-1)
            for node in itertools.islice(self.nodes.values(), 5)
        )
        identity = NodeIdentity(
            name, zone, str(self._num_incarnations[name]), seeds, seed=self.rng.getrandbits(32)
        )
        network = SimulatedNetwork(self.simulation_state, name, zone)
        dependencies = NodeDependencies(
            network=network,
            store_call=self.store,
            read_machines=self.machine_list.read,
            make_engine_client=lambda address: self._engine_client(zone, address),
            services=SimulatedServiceClient(self.simulation_state, zone, self.workers),
            chooser=self.config.chooser,
        )
        limits = Limits(max_requests=self.config.max_requests)
        node = NodeCore(identity, dependencies, {SIGNER: public_key_hex(self._signing_key)}, limits)
        await node.start()
        self.nodes[name] = node
        self.networks[name] = network
        return node

    async def kill_node(self, name: str) -> None:
        """Stop a node abruptly, as in a crash."""
        node = self.nodes.pop(name)
        self.networks.pop(name)
        node.host.abandon()
        await node.close()

    async def drain_node(self, name: str) -> None:
        """Drain a node, then stop it."""
        node = self.nodes[name]
        await node.drain()
        await node.close()
        self.nodes.pop(name, None)
        self.networks.pop(name, None)

    async def accept_bundle(self, **changes: Any) -> Bundle:
        """Sign and accept the next revision of the bundle."""
        values: dict[str, Any] = {
            "revision": next(self._revisions),
            "models": {MODEL: {"training_room": self.config.training_room}},
            "pools": {POOL: {"timeout_s": 10.0}},
        }
        bundle = Bundle.model_validate(values | changes)
        signed = sign_bundle(bundle, SIGNER, self._signing_key)
        node = next(iter(self.nodes.values()))
        value_or_raise(await node.bundle_store.accept(bundle.revision, signed))
        return bundle

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition.

        Raises:
            TimeoutError: If it is not met within :data:`READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 (virtual time: polling costs nothing)
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _engine_client(self, zone: str, address: str) -> EngineClient:
        return SimulatedEngineClient(self.simulation_state, zone, self.engines.get(address))

    def _is_ready(self) -> bool:
        num_slots = len(self.engines) * self.config.engine.num_slots
        return all(
            node.bundles.revision >= 1
            and node.fleet.pool_load(MODEL).num_slots == num_slots
            and len(node.membership.swim.members) == len(self.nodes)
            for node in self.nodes.values()
        )
