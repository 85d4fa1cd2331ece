"""Guards against jobs outside their allowed regions, or lost, when nodes, links or the store fail.

Random schedules over two regions in virtual time. What a client's own node receives is exempt.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hollowrack.jobs.job_regions import REGIONS_PREFIX, JobRegionsRecord
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack.results import DESCRIPTIONS, Execution
from hollowrack_bench.virtual_time import VirtualTimeLoop
from hollowrack_standins.coordination_store import StoreFaults
from tests.jobs.helpers import check_complete_results, make_job
from tests.jobs.region_fleet import BOTH, NORTH, SOUTH, RegionFleet

Outcome = TypeVar("Outcome")

NAMES = ("n0", "n1", "n2", "s0", "s1", "s2")
# An item takes 3 s, longer than a session lives without its owner.
NUM_EVENTS = 150
MAX_JOBS = 6
GRACE_S = 3.0
# Takeovers, assignments and a store that was not asked for up to 4 s.
RECOVERY_S = 30.0
STEP_S = 0.5

REGIONS = st.sampled_from([NORTH, SOUTH, SOUTH, BOTH, None])
NODES = st.sampled_from(NAMES)
INDICES = st.integers(0, MAX_JOBS - 1)
WAITS_S = st.sampled_from([0.0, 0.01, 0.1, 0.4, 1.0, 3.0])
FAULTS = st.sampled_from(["none", "refuses", "silent", "loses an answer", "writes late"])
# Weighted, as most schedules should contain jobs whose owner fails.
ACTIONS = st.sampled_from(
    [
        "submit",
        "submit",
        "submit again",
        "read",
        "change regions",
        "cut",
        "mend",
        "owner dies",
        "owner dies",
        "node stops",
        "node starts",
        "refuses",
        "loses an answer",
        "writes late",
        "none",
    ]
)
STEPS = st.lists(st.tuples(ACTIONS, NODES, INDICES, WAITS_S), min_size=4, max_size=16)


@dataclass
class _SubmittedJob:
    """A job with what its client knows.

    Attributes:
        tenant: Index of its tenant, whose allowed regions apply to a submission.
        is_accepted: Whether a submission was answered 202.
        is_ended: Whether its client has asked to end it.
    """

    job: Job
    tenant: int
    is_accepted: bool = False
    is_ended: bool = False


@dataclass
class _Call:
    """A client's call in progress at a node."""

    node: str
    task: asyncio.Task[None] = field(repr=False)


class RegionsUnderFaults(RuleBasedStateMachine):
    """Nodes in two regions, and clients of three tenants whose allowed regions change."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.tenants: list[frozenset[str] | None] = [NORTH, SOUTH, None]
        self.jobs: list[_SubmittedJob] = []
        self.calls: list[_Call] = []
        self.problems: list[str] = []
        self.fleet = self._run(self._make_fleet())

    async def _make_fleet(self) -> RegionFleet:
        fleet = RegionFleet(3, 3)
        fleet.back_ends.num_events = NUM_EVENTS
        # The calling node alone must choose the right relays.
        fleet.checks_relayed_calls = False
        await asyncio.sleep(1.0)
        return fleet

    def _run(self, coroutine: Coroutine[Any, Any, Outcome]) -> Outcome:
        return self.loop.run_until_complete(coroutine)

    def _job_at(self, index: int) -> _SubmittedJob:
        return self.jobs[index % len(self.jobs)]

    @initialize(nodes=st.tuples(NODES, NODES, NODES))
    def first_jobs(self, nodes: tuple[str, str, str]) -> None:
        for tenant, node in enumerate(nodes):
            self.submit(node=node, tenant=tenant, wait_s=0.1)

    # -- clients ----------------------------------------------------------------------------

    async def _start_call(self, node: str, call: Coroutine[Any, Any, None]) -> None:
        self.calls.append(_Call(node, asyncio.create_task(call)))

    async def _submit(self, node: str, submitted: _SubmittedJob) -> None:
        allowed_regions = self.tenants[submitted.tenant]
        problem = await self.fleet.submit_at(node, submitted.job, allowed_regions)
        if problem is None:
            submitted.is_accepted = True
        elif DESCRIPTIONS[problem.code].execution is Execution.RAN:
            self.problems.append(f"{submitted.job.id} refused with {problem}")

    async def _read(self, node: str, job_id: str) -> None:
        page = await self.fleet.nodes[node].jobs.read(job_id, 0, 0.3)
        item = await self.fleet.nodes[node].jobs.item(job_id, f"{job_id}.i0")
        del page, item

    def _submit_at(self, node: str, submitted: _SubmittedJob) -> None:
        if node in self.fleet.nodes and not submitted.is_ended:
            self._run(self._start_call(node, self._submit(node, submitted)))

    @rule(node=NODES, tenant=st.integers(0, 2), wait_s=WAITS_S)
    def submit(self, node: str, tenant: int, wait_s: float) -> None:
        if len(self.jobs) < MAX_JOBS:
            job = make_job(f"job{len(self.jobs)}", 2)
            self.jobs.append(_SubmittedJob(job, tenant))
            self._submit_at(node, self.jobs[-1])
        self.time_passes(wait_s)

    @rule(node=NODES, index=INDICES)
    def submit_again(self, node: str, index: int) -> None:
        if self.jobs:
            self._submit_at(node, self._job_at(index))

    @rule(node=NODES, index=INDICES)
    def read(self, node: str, index: int) -> None:
        if self.jobs and node in self.fleet.nodes:
            job_id = self._job_at(index).job.id
            self.fleet.clients[job_id].add(node)
            self._run(self._start_call(node, self._read(node, job_id)))

    @rule(node=NODES, index=INDICES)
    def end(self, node: str, index: int) -> None:
        if not self.jobs or node not in self.fleet.nodes:
            return
        submitted = self._job_at(index)
        if submitted.is_accepted:
            submitted.is_ended = True
            job_id = submitted.job.id
            self.fleet.clients[job_id].add(node)
            self._run(self._start_call(node, self._end(node, job_id)))

    async def _end(self, node: str, job_id: str) -> None:
        await self.fleet.nodes[node].jobs.end(job_id)

    @rule(tenant=st.integers(0, 2), allowed_regions=REGIONS)
    def regions_change(self, tenant: int, allowed_regions: frozenset[str] | None) -> None:
        self.tenants[tenant] = allowed_regions

    @rule(steps=STEPS)
    def several(self, steps: list[tuple[str, str, int, float]]) -> None:
        """Play a random sequence; single rules alone seldom combine jobs with several faults."""
        for action, node, index, wait_s in steps:
            match action:
                case "submit":
                    self.submit(node=node, tenant=index % 3, wait_s=0.0)
                case "submit again":
                    self.submit_again(node=node, index=index)
                case "read":
                    self.read(node=node, index=index)
                case "change regions":
                    self.regions_change(
                        tenant=index % 3, allowed_regions=[NORTH, SOUTH, None][index // 2]
                    )
                case "cut" | "mend":
                    self.link_changes(is_cut=action == "cut")
                case "owner dies":
                    self.owner_dies(index=index)
                case "node stops":
                    self.node_stops(node=node)
                case "node starts":
                    self.node_starts(node=node)
                case fault:
                    self.store_access_changes(node=node, fault=fault)
            self.time_passes(wait_s=wait_s)
            self.no_job_is_outside_its_regions()
            self.no_job_is_run_outside_the_regions_of_its_record()

    # -- faults -----------------------------------------------------------------------------

    @rule(wait_s=WAITS_S)
    def time_passes(self, wait_s: float) -> None:
        self._run(asyncio.sleep(wait_s))

    @rule(is_cut=st.booleans())
    def link_changes(self, is_cut: bool) -> None:
        self.fleet.is_cut = is_cut

    @rule(node=NODES, fault=FAULTS)
    def store_access_changes(self, node: str, fault: str) -> None:
        if node in self.fleet.nodes:
            faults = self.fleet.faults[node]
            faults.refuses = fault == "refuses"
            faults.is_silent = fault == "silent"
            faults.num_lost_answers = 2 if fault == "loses an answer" else 0
            faults.num_late_writes = 1 if fault == "writes late" else 0

    @rule(region=st.sampled_from("ns"), refuses=st.booleans())
    def store_access_of_a_region_changes(self, region: str, refuses: bool) -> None:
        for node in NAMES:
            if node.startswith(region) and node in self.fleet.nodes:
                self.fleet.faults[node].refuses = refuses

    @rule(node=NODES)
    def node_dies(self, node: str) -> None:
        if node in self.fleet.nodes:
            self._abandon_calls(node)
            self._run(self.fleet.kill(node))

    @rule(index=INDICES)
    def owner_dies(self, index: int) -> None:
        if self.jobs:
            for owner in self.fleet.owners_of(self._job_at(index).job):
                self.node_dies(owner)

    @rule(node=NODES)
    def node_stops(self, node: str) -> None:
        if node in self.fleet.nodes:
            self._run(self._stop(node))

    async def _stop(self, name: str) -> None:
        node = self.fleet.nodes[name]
        await node.begin_stop(GRACE_S)
        self._abandon_calls(name)
        await node.complete_stop()
        del self.fleet.nodes[name]

    @rule(node=NODES)
    def node_starts(self, node: str) -> None:
        if node not in self.fleet.nodes:
            self._run(self._start(node))

    async def _start(self, node: str) -> None:
        self.fleet.start(node, StoreFaults())

    def _abandon_calls(self, node: str) -> None:
        for call in self.calls:
            if call.node == node:
                call.task.cancel()

    # -- checks -----------------------------------------------------------------------------

    @invariant()
    def no_job_is_outside_its_regions(self) -> None:
        assert not self.fleet.violations
        assert not self.problems

    @invariant()
    def no_job_is_run_outside_the_regions_of_its_record(self) -> None:
        for submitted in self.jobs:
            item = self.fleet.core.items.get(REGIONS_PREFIX + submitted.job.id)
            if item is None:
                continue
            record = codec.decode(item.value).unwrap()
            assert isinstance(record, JobRegionsRecord)
            for owner in self.fleet.owners_of(submitted.job):
                assert self.fleet.region_of(owner) in record.allowed_regions

    def teardown(self) -> None:
        try:
            self._run(self._check_recovery())
        finally:
            self._run(self._close())
            self.loop.close()

    async def _check_recovery(self) -> None:
        """Check that all accepted jobs complete once nodes and store work; the link may be down."""
        for name in NAMES:
            if name not in self.fleet.nodes:
                await self._start(name)
            else:
                faults = self.fleet.faults[name]
                faults.refuses = faults.is_silent = False
        accepted = [entry.job for entry in self.jobs if entry.is_accepted and not entry.is_ended]
        waited_s = 0.0
        while accepted and waited_s < RECOVERY_S:
            await asyncio.sleep(STEP_S)
            waited_s += STEP_S
            accepted = [job for job in accepted if not await self._is_complete(job)]
        assert not accepted, [job.id for job in accepted]
        assert not self.fleet.violations

    async def _is_complete(self, job: Job) -> bool:
        allowed = self.fleet.allowed[job.id]
        node = next(n for n in NAMES if allowed is None or self.fleet.region_of(n) in allowed)
        self.fleet.clients[job.id].add(node)
        page = await self.fleet.nodes[node].jobs.read(job.id, 0, 0.0)
        if not isinstance(page, ResultPage) or len(page.results) < len(job.items):
            return False
        check_complete_results(job, page.results, NUM_EVENTS)
        return True

    async def _close(self) -> None:
        for call in self.calls:
            call.task.cancel()
        await asyncio.gather(*(call.task for call in self.calls), return_exceptions=True)
        await self.fleet.stop()


TestRegionsUnderFaults = RegionsUnderFaults.TestCase
TestRegionsUnderFaults.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
