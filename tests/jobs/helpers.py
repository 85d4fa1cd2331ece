"""Fleet of edge nodes that share one store and one set of workers, in virtual time."""

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from hollowrack.coordination.mirror_feed import MirrorFeed
from hollowrack.coordination.relay import RelayedCall, RelayedOutcome, make_relayed_call
from hollowrack.coordination.session import node_of_owner
from hollowrack.coordination.shared_store import FeedClient
from hollowrack.coordination.store import CoordinationStore, NotDone
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.edge_connections import DEFAULT_MAX_CHANGE_DELAY_S, EdgeConnections
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import (
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    Target,
    Worker,
)
from hollowrack.jobs.host_role import MIN_CHANGE_BOUND_WITHOUT_SESSION_S
from hollowrack.jobs.job_regions import RegionalJob
from hollowrack.jobs.peer_jobs import JobPage, ReadJobRequest
from hollowrack.jobs.progress import JobRemainder
from hollowrack.jobs.types import ItemResult, Job, JobItem, ScorerCall
from hollowrack.messages import codec
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import Problem, ResultCode
from hollowrack.slots.types import SlotAnswer, SlotReport
from hollowrack.weights.version_reconciler import OrderOutcome, VersionOrder, WorkerReport
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults

HOST = "h.example"
MODEL = "m"


class NoOrders:
    """Workers that report nothing and refuse all orders."""

    async def report(self, worker: Worker) -> WorkerReport | None:
        del worker
        return None

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        del order
        return OrderOutcome.REFUSED


class UnreachableFeed:
    """Feed client that reaches no node."""

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        del address, request
        return None


class FleetFeed:
    """Feed client for the mirrors of the nodes of a fleet; a node's address is its name."""

    def __init__(self, nodes: dict[str, EdgeNode]) -> None:
        self._nodes = nodes

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        await asyncio.sleep(0.001)
        node = self._nodes.get(address)
        if node is None:
            return None
        feed = MirrorFeed(node.shared_mirrors(), node.shared_store.last_answer_s)
        return await feed.watch(request)


class FleetSlots:
    """Slot reports between the nodes of a fleet; a node's address is its name.

    Attributes:
        cut_off: Nodes that reach no other node and are reached by none.
        num_reports: Number of delivered reports.
    """

    def __init__(self, nodes: dict[str, EdgeNode]) -> None:
        self._nodes = nodes
        self.cut_off: set[str] = set()
        self.num_reports = 0

    async def report(self, address: str, report: SlotReport) -> SlotAnswer | None:
        await asyncio.sleep(0.002)
        if {address, node_of_owner(report.owner)} & self.cut_off or address not in self._nodes:
            return None
        self.num_reports += 1
        received = codec.decode(codec.encode(report)).unwrap()
        answer = self._nodes[address].slots.answer(received)
        await asyncio.sleep(0.002)
        return codec.decode(codec.encode(answer)).unwrap()


def configuration(version: int = 1) -> RoutingConfiguration:
    generate = Route(
        "generate",
        HOST,
        "/m/",
        RouteKind.JOB,
        (Target("engines", 1.0),),
        3,
        10.0,
        0.4,
        1,
        queue_ttl_s=30.0,
    )
    score = Route("score", HOST, "/s/", RouteKind.SAFE, (Target("scorers", 1.0),), 3, 2.0, 0.2, 2)
    services = {
        "engines": Service("engines", 100, (MODEL,)),
        "scorers": Service("scorers", 100),
    }
    return RoutingConfiguration(version, (generate, score), services)


def make_job(name: str = "j1", num_items: int = 6, min_version: int = 0) -> Job:
    items = tuple(
        JobItem(
            f"{name}.i{index}",
            "/m/x",
            (),
            b"prompt",
            f"g{index // 2}",
            ScorerCall(f"{name}.s{index}", HOST, "/s/x", b"score"),
        )
        for index in range(num_items)
    )
    return Job(name, HOST, "/m/", items, MODEL, min_version, num_items // 2)


class Fleet:
    """Edge nodes that share one store and one set of workers.

    Args:
        num_nodes: Number of nodes that are started.
        uses_preferred_owner: Whether jobs are submitted to their preferred owner first;
            otherwise the node that receives a job owns it.
        shares_changes: Whether nodes serve changes to each other and only some hold a session.
        shares_slots: Whether nodes that own jobs share the slots of workers.
        zone_regions: Region by zone; each zone has one worker of each service.
        zones: Zone by node; ``z1`` for the others.
        topology: Regions of the zones of all nodes; ``None`` for those of ``zone_regions``.
        worker_zones: Zones of the two workers of each service without ``zone_regions``.

    Attributes:
        unreachable: Nodes to which no other node can submit a job.
        seeds: Addresses that nodes know when they start.
        relays: Whether nodes make store calls for each other.
        num_lost_submit_answers: Number of next submissions between nodes whose answer is lost.
        num_peer_reads: Number of reads of jobs between nodes.
        core_sizes: CPU cores by node; 1 for the others.
    """

    def __init__(
        self,
        num_nodes: int = 3,
        uses_preferred_owner: bool = False,
        shares_changes: bool = False,
        shares_slots: bool = False,
        zone_regions: Mapping[str, str] | None = None,
        zones: Mapping[str, str] | None = None,
        topology: RegionTopology | None = None,
        worker_zones: tuple[str, str] = ("z1", "z1"),
    ) -> None:
        self.topology = topology
        self.worker_zones = worker_zones
        self.uses_preferred_owner = uses_preferred_owner
        self.unreachable: set[str] = set()
        self.relays = False
        self.seeds: tuple[str, ...] = ()
        self.change_bound_s = (
            MIN_CHANGE_BOUND_WITHOUT_SESSION_S if shares_changes else DEFAULT_MAX_CHANGE_DELAY_S
        )
        self.num_lost_submit_answers = 0
        self.num_peer_reads = 0
        self.zone_regions = dict(zone_regions or {})
        self.zones = dict(zones or {})
        self.core_sizes: dict[str, float] = {}
        self.core = CoordinationStoreCore()
        self.back_ends = BackEndsStandin()
        self.faults: dict[str, StoreFaults] = {}
        self.nodes: dict[str, EdgeNode] = {}
        self.feed: FeedClient = FleetFeed(self.nodes) if shares_changes else UnreachableFeed()
        self.slots = FleetSlots(self.nodes) if shares_slots else None
        for index in range(num_nodes):
            self.start(f"n{index}")

    def start(
        self, name: str, faults: StoreFaults | None = None, is_configured: bool = True
    ) -> EdgeNode:
        """Start or restart a node, with faults of its access to the store."""
        faults = self.faults[name] = faults or StoreFaults()
        zone = self.zones.get(name, "z1")
        connections = EdgeConnections(
            self.make_store(name, faults),
            self.back_ends,
            NoOrders(),
            lambda _: None,
            self._complete_retirement,
            self.make_peers(name),
            self.feed,
            self.make_peers(name),
            name,
            self.core_sizes.get(name, 1.0),
            max_change_delay_s=self.change_bound_s,
            seeds=self.seeds,
            slots=self.slots,
            topology=self.topology or RegionTopology(self.zone_regions, zone),
        )
        connections = self.connect(name, connections)
        node = EdgeNode(name, zone, 3.0, connections, random.Random(f"{name}{len(self.faults)}"))
        node.jobs.intake.uses_preferred_owner = self.uses_preferred_owner
        if is_configured:
            node.configuration_changed(configuration())
        for index, worker_zone in enumerate(sorted(self.zone_regions) or self.worker_zones):
            address = "127.0.0.1:1"
            worker = Worker(f"e{index}", "engines", address, worker_zone, 4, False, {MODEL: 1})
            node.worker_changed(worker)
            node.worker_changed(Worker(f"s{index}", "scorers", address, worker_zone, 4))
        node.start()
        self.nodes[name] = node
        return node

    def connect(self, name: str, connections: EdgeConnections) -> EdgeConnections:
        """Return the connections of a node, which subclasses may change."""
        del name
        return connections

    def make_store(self, name: str, faults: StoreFaults) -> CoordinationStore:
        """Return a node's client of the store."""
        del name
        return self.core.make_client(faults)

    def make_peers(self, name: str) -> Any:
        """Return a node's client of the other nodes."""
        del name
        return self

    async def submit_in_regions(
        self, address: str, job: RegionalJob, timeout_s: float
    ) -> Problem | None:
        """Submit a job with allowed regions to another node, whose address is its name."""
        del timeout_s
        if address not in self.nodes or address in self.unreachable:
            return Problem(ResultCode.JOB_NOT_STORED, "no node", address)
        return await self.nodes[address].jobs.submit_here(job.job, frozenset(job.allowed_regions))

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        """Submit a job to another node, whose address is its name."""
        if address not in self.nodes or address in self.unreachable:
            return Problem(ResultCode.JOB_NOT_STORED, "no node", address)
        problem = await self.nodes[address].jobs.submit_here(job)
        if self.num_lost_submit_answers:
            self.num_lost_submit_answers -= 1
            await asyncio.sleep(timeout_s)
            return Problem(ResultCode.OUTCOME_UNKNOWN, "no answer", address)
        return problem

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Make a store call through another node if ``relays`` is set."""
        if not self.relays or address not in self.nodes:
            return NotDone("no node")
        await asyncio.sleep(0.001)
        return await make_relayed_call(self.core.make_client(self.faults[address]), call)

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
        """Read a job at another node, whose address is its name."""
        if address not in self.nodes:
            return None
        self.num_peer_reads += 1
        page = await self.nodes[address].jobs.answer_peer(request)
        return page if page.is_owner else None

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Request a job's remainder from another node if it is running."""
        node = self.nodes.get(address)
        return JobRemainder() if node is None else node.jobs.remainder(job_id)

    def owners_of(self, job: Job) -> list[str]:
        """Return the nodes that run a job."""
        return [name for name, node in self.nodes.items() if node.jobs.owns(job.id)]

    async def kill(self, name: str) -> None:
        """Kill a node: nothing more of it reaches the store."""
        self.faults[name].is_silent = True
        node = self.nodes.pop(name)
        await node.abandon()

    async def stop(self) -> None:
        """Kill all nodes."""
        for name in list(self.nodes):
            await self.kill(name)

    async def _complete_retirement(self, machine: str) -> bool:
        del machine
        return True


def check_complete_results(job: Job, results: list[ItemResult], num_events: int = 4) -> None:
    """Check that every item is listed once, complete, scored and with all its events."""
    assert sorted(result.item_id for result in results) == sorted(item.id for item in job.items)
    for result in results:
        assert result.is_complete
        assert result.text == "\n".join(
            f"{result.item_id}.{number}" for number in range(1, num_events + 1)
        )
        assert result.versions
        assert result.score is not None
        assert result.score.endswith(result.item_id.replace(".i", ".s"))
