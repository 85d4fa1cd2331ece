"""Guards against schedules of faults that lead requests or items to forbidden regions.

Two nodes run on virtual time. Each receives changes of the allowed regions on its own, so that one
of them may be behind. Links between regions are cut, and workers die, return in another zone and
break off answers. Each arrival at a worker is checked against the regions that the request entered
with, or, for items, those that its node had in force.
"""

import asyncio
import os
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall, NotRunError, NotRunReason
from hollowrack.forwarding.forwarder import ForwardRequest
from hollowrack.forwarding.stream_forwarder import StreamForwarder, StreamHead
from hollowrack.forwarding.types import Route, RouteKind, RoutingConfiguration, Target, Worker
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.types import Job
from hollowrack.regions.allowed_regions import AllowedRegions, intersection
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import VirtualTimeLoop
from hollowrack_standins.back_ends import AnswerStandin, BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import make_meter
from tests.jobs.helpers import HOST, MODEL, Fleet, configuration, make_job
from tests.regions.helpers import with_regions

# Schedules in the suite; the environment variable is for longer runs by hand.
NUM_SCHEDULES = int(os.environ.get("HOLLOWRACK_REGION_SCHEDULES", "500"))
NUM_STEPS = 14
TOPOLOGY = RegionTopology({"z1": "r1", "z2": "r2", "z3": "r3"}, "z1")
ZONES = ("z1", "z2", "z3", "z9")
TENANT = "ana"
NODES = ("n0", "n1")
SERVICES = {"e": "engines", "s": "scorers"}
WORKER_IDS = tuple(f"{prefix}{index}" for prefix in SERVICES for index in range(3))
ROUTES = ("generate", "score", "stream", "once")
REGION_LISTS = st.none() | st.sets(st.sampled_from(["r1", "r2", "r3"]), min_size=1).map(frozenset)


def base_configuration() -> RoutingConfiguration:
    base = configuration()
    score = base.routes[1]
    target = (Target("engines", 1.0),)
    return replace(
        base,
        routes=(
            *base.routes,
            replace(score, name="once", prefix="/once/", kind=RouteKind.UNSAFE),
            replace(
                score,
                name="stream",
                prefix="/stream/",
                kind=RouteKind.STREAM,
                is_resumable=True,
                targets=target,
            ),
        ),
    )


@dataclass(frozen=True)
class Restrictions:
    """Allowed regions of one version of the configuration.

    Attributes:
        routes: Allowed regions by route.
        tenant: Allowed regions of the tenant.
    """

    routes: dict[str, AllowedRegions]
    tenant: AllowedRegions

    def of(self, *routes: str) -> AllowedRegions:
        """Return the allowed regions of a request of the tenant under all of the routes."""
        return intersection([self.tenant, *(self.routes[route] for route in routes)])


@dataclass
class Arrivals:
    """Workers shared by the nodes, and checks of the requests that arrive there.

    Attributes:
        back_ends: The workers.
        regions_by_request: Allowed regions with which a request entered, by its identifier.
        versions: Restrictions by version of the configuration.
        job_versions: Version under which a job was accepted, by its identifier.
        cut_regions: Regions whose links to the region of the nodes are cut.
        dead: Identifiers of dead workers.
        violations: Descriptions of arrivals at forbidden workers.
        num_checked: Checked arrivals by kind.
    """

    back_ends: BackEndsStandin = field(default_factory=BackEndsStandin)
    regions_by_request: dict[str, AllowedRegions] = field(default_factory=dict)
    versions: dict[int, Restrictions] = field(default_factory=dict)
    job_versions: dict[str, int] = field(default_factory=dict)
    cut_regions: set[str] = field(default_factory=set)
    dead: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    num_checked: Counter[str] = field(default_factory=Counter)

    def record(self, node: EdgeNode, worker: Worker, request_id: str) -> None:
        """Check a request that a node sends to a worker."""
        if request_id in self.regions_by_request:
            allowed = self.regions_by_request[request_id]
            self.num_checked["request"] += 1
        else:
            job_id, _, item = request_id.partition(".")
            version = node.routes.version
            assert version is not None
            if version < self.job_versions[job_id]:
                self.violations.append(f"{request_id} sent under {version}, accepted under later")
            route = "generate" if item.startswith("i") else "score"
            # A scorer call that is retried within a second keeps the regions it was built with.
            allowed = self.versions[version].of("generate", route)
            self.num_checked[route] += 1
        if allowed is not None and TOPOLOGY.region_of(worker.zone) not in allowed:
            self.violations.append(f"{request_id} at {worker.id} in {worker.zone}, not {allowed}")


class NodeBackEnds:
    """Client of one node to the shared workers."""

    def __init__(self, arrivals: Arrivals) -> None:
        self.node: EdgeNode | None = None
        self._arrivals = arrivals

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> AnswerStandin:
        """Check a request, and run it unless its worker cannot be reached."""
        assert self.node is not None
        self._arrivals.record(self.node, worker, call.request_id)
        if worker.id in self._arrivals.dead or (
            TOPOLOGY.region_of(worker.zone) in self._arrivals.cut_regions
        ):
            await asyncio.sleep(0.5)
            raise NotRunError(NotRunReason.UNREACHABLE)
        return await self._arrivals.back_ends.open(
            worker, call, time_left_s, after_event, is_repeatable
        )

    async def has_crashed(self, worker: Worker) -> bool:
        """Whether an incarnation has crashed; a cut link proves nothing."""
        return await self._arrivals.back_ends.has_crashed(worker)


class RegionSchedules(RuleBasedStateMachine):
    """Schedules of requests, items, changes of regions and faults."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.arrivals = Arrivals()
        self.version = 0
        self.num_requests = 0
        self.requests: list[tuple[str, asyncio.Task[Any]]] = []
        self.jobs: list[Job] = []
        self.workers: dict[str, Worker] = {}
        self.started_ms = 0

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return self.runner.run(coroutine)

    @initialize(
        routes=st.fixed_dictionaries(dict.fromkeys(ROUTES, REGION_LISTS)), tenant=REGION_LISTS
    )
    def start(self, routes: dict[str, AllowedRegions], tenant: AllowedRegions) -> None:
        self.run(self._start(Restrictions(routes, tenant)))

    async def _start(self, restrictions: Restrictions) -> None:
        self.fleet = Fleet(num_nodes=0, topology=TOPOLOGY, worker_zones=("z1", "z2"))
        self.streams: dict[str, StreamForwarder] = {}
        for name in NODES:
            client = NodeBackEnds(self.arrivals)
            self.fleet.back_ends = client  # type: ignore[assignment]
            node = client.node = self.fleet.start(name, is_configured=False)
            self.streams[name] = StreamForwarder(
                node.routes,
                node.workers,
                node.back_ends,
                node.queue,
                lambda _: None,
                make_meter(),
                node.quarantine,
            )
        for index, worker_id in enumerate(WORKER_IDS):
            self._register(worker_id, ZONES[index % 3])
        self._configure(restrictions, NODES)
        await asyncio.sleep(1.0)

    def _register(self, worker_id: str, zone: str) -> None:
        self.started_ms += 1
        worker = Worker(
            worker_id,
            SERVICES[worker_id[0]],
            "127.0.0.1:1",
            zone,
            2,
            False,
            {MODEL: 1},
            self.started_ms,
        )
        self.workers[worker_id] = worker
        self.arrivals.dead.discard(worker_id)
        self.arrivals.back_ends.behaviours[worker_id] = WorkerBehaviour()
        self.arrivals.back_ends.restart(worker)
        for node in self.fleet.nodes.values():
            node.worker_changed(worker)

    def _configure(self, restrictions: Restrictions, names: tuple[str, ...]) -> None:
        self.version += 1
        self.arrivals.versions[self.version] = restrictions
        self.latest = with_regions(
            self.version, restrictions.routes, {TENANT: restrictions.tenant}, base_configuration()
        )
        self._deliver(names)

    def _deliver(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.fleet.nodes[name].configuration_changed(self.latest)

    @rule(
        routes=st.fixed_dictionaries(dict.fromkeys(ROUTES, REGION_LISTS)),
        tenant=REGION_LISTS,
        names=st.sampled_from([("n0",), ("n1",), NODES]),
    )
    def change_regions(
        self, routes: dict[str, AllowedRegions], tenant: AllowedRegions, names: tuple[str, ...]
    ) -> None:
        self._in_loop(lambda: self._configure(Restrictions(routes, tenant), names))

    @rule(name=st.sampled_from(NODES))
    def deliver_configuration(self, name: str) -> None:
        self._in_loop(lambda: self._deliver((name,)))

    @rule(region=st.sampled_from(["r1", "r2", "r3"]))
    def cut_link(self, region: str) -> None:
        self.arrivals.cut_regions.add(region)

    @precondition(lambda self: self.arrivals.cut_regions)
    @rule()
    def restore_links(self) -> None:
        self.arrivals.cut_regions.clear()

    @rule(worker_id=st.sampled_from(WORKER_IDS), is_noticed=st.booleans())
    def kill_worker(self, worker_id: str, is_noticed: bool) -> None:
        def kill() -> None:
            self.arrivals.dead.add(worker_id)
            self.arrivals.back_ends.crash(self.workers[worker_id])
            if is_noticed:
                for node in self.fleet.nodes.values():
                    node.worker_removed(worker_id)

        self._in_loop(kill)

    @rule(worker_id=st.sampled_from(WORKER_IDS), zone=st.sampled_from(ZONES))
    def start_worker(self, worker_id: str, zone: str) -> None:
        self._in_loop(lambda: self._register(worker_id, zone))

    @rule(
        worker_id=st.sampled_from(WORKER_IDS),
        fault=st.sampled_from(
            [
                {"refusal": NotRunReason.BUSY},
                {"num_lost_answers": 3},
                {"num_errors": 2},
                {"breaks_after_events": 1},
                {"work_s": 0.5},
                {"is_silent": True},
                {},
            ]
        ),
    )
    def change_worker(self, worker_id: str, fault: dict[str, Any]) -> None:
        self.arrivals.back_ends.behaviours[worker_id] = WorkerBehaviour(**fault)

    @rule(
        name=st.sampled_from(NODES),
        route_name=st.sampled_from(["score", "once", "stream"]),
        num=st.integers(1, 3),
    )
    def send_requests(self, name: str, route_name: str, num: int) -> None:
        self.run(self._send_requests(name, route_name, num))

    async def _send_requests(self, name: str, route_name: str, num: int) -> None:
        node = self.fleet.nodes[name]
        version = node.routes.version
        assert version is not None
        route = node.routes.lookup(HOST, f"/{'s' if route_name == 'score' else route_name}/x")
        assert route is not None
        allowed = self.arrivals.versions[version].of(route_name)
        for _ in range(num):
            self.num_requests += 1
            request_id = f"q{self.num_requests}"
            self.arrivals.regions_by_request[request_id] = allowed
            call = BackEndCall(
                request_id,
                "POST",
                f"{route.prefix}x",
                (("Host", HOST),),
                request_id.encode(),
                tenant=TENANT,
                allowed_regions=intersection(
                    [
                        route.allowed_regions,
                        node.routes.tenants.allowed_regions_of(TENANT),
                    ]
                ),
            )
            request = ForwardRequest(call, route, now_s() + 3.0)
            task = asyncio.create_task(self._send(name, request))
            self.requests.append((request_id, task))
            if allowed is not None and not self._is_any_known(node, route, allowed):
                started_s = now_s()
                outcome = await task
                assert now_s() == started_s
                assert isinstance(outcome, Problem)
                assert outcome.code is ResultCode.NO_WORKER_IN_REGIONS

    def _is_any_known(self, node: EdgeNode, route: Route, allowed: frozenset[str]) -> bool:
        return any(
            TOPOLOGY.region_of(worker.zone) in allowed
            for worker in node.workers.serving(route.targets[0].service)
        )

    async def _send(self, name: str, request: ForwardRequest) -> object:
        if request.route.kind is not RouteKind.STREAM:
            return await self.fleet.nodes[name].forwarder.forward(request)
        parts = [part async for part in self.streams[name].forward(request, None)]
        return parts[-1] if isinstance(parts[0], StreamHead) else parts[0]

    @precondition(lambda self: len(self.jobs) < 3)
    @rule(name=st.sampled_from(NODES), owner=st.sampled_from(NODES), num_items=st.integers(1, 6))
    def submit_job(self, name: str, owner: str, num_items: int) -> None:
        """Submit a job to one node; another one, which may be behind, may become its owner."""
        self.run(self._submit_job(name, owner, num_items))

    async def _submit_job(self, name: str, owner: str, num_items: int) -> None:
        version = self.fleet.nodes[name].routes.version
        assert version is not None
        job = make_job(f"j{len(self.jobs)}", num_items)
        job = replace(job, tenant=TENANT, configuration_version=version, num_desired_groups=0)
        self.arrivals.job_versions[job.id] = version
        assert await self.fleet.nodes[owner].jobs.submit_here(job) is None
        self.jobs.append(job)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2, 1.0]))
    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def _in_loop(self, action: Any) -> None:
        async def act() -> None:
            action()

        self.run(act())

    @invariant()
    def no_request_reaches_a_forbidden_region(self) -> None:
        assert not self.arrivals.violations, self.arrivals.violations

    def teardown(self) -> None:
        try:
            if self.version:
                self.run(self._finish())
                self.no_request_reaches_a_forbidden_region()
        finally:
            self.runner.close()

    async def _finish(self) -> None:
        """Mend everything, and check that every request and item has an outcome."""
        self.arrivals.cut_regions.clear()
        for index, worker_id in enumerate(WORKER_IDS):
            self._register(worker_id, ZONES[index % 3])
        self._configure(Restrictions(dict.fromkeys(ROUTES), None), NODES)
        async with asyncio.timeout(120.0):
            outcomes = await asyncio.gather(
                *(task for _, task in self.requests), return_exceptions=True
            )
            for (request_id, _), outcome in zip(self.requests, outcomes, strict=True):
                is_not_run = isinstance(outcome, Problem) and (
                    DESCRIPTIONS[outcome.code].execution is Execution.NOT_RUN
                )
                if is_not_run:
                    assert self.arrivals.back_ends.executions[request_id] == 0, outcome
            for job in self.jobs:
                while True:
                    page = await self.fleet.nodes["n0"].jobs.read(job.id, 0, 1.0)
                    if isinstance(page, ResultPage) and len(page.results) == len(job.items):
                        break
                    await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)
        for node in self.fleet.nodes.values():
            assert node.queue.num_waiting == 0
            assert not any(node.workers.num_in_flight(worker) for worker in node.workers.all())
        await self.fleet.stop()


TestRegionSchedules = RegionSchedules.TestCase
TestRegionSchedules.settings = settings(
    max_examples=NUM_SCHEDULES,
    stateful_step_count=NUM_STEPS,
    deadline=None,
    derandomize="HOLLOWRACK_REGION_SCHEDULES" not in os.environ,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
