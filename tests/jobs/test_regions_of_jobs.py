"""Guards against bodies of jobs at nodes outside their allowed regions, and against lost jobs."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.relay import RelayedList
from hollowrack.coordination.store import NotDone, StoredItem, Unknown
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import Route
from hollowrack.jobs.job_log import OPEN_PREFIX, CreateOutcome, JobLog, StoredJob
from hollowrack.jobs.job_regions import (
    REGIONS_PREFIX,
    JobRegions,
    JobRegionsRecord,
    RegionEvent,
    allowed_regions_of_job,
)
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.types import JobItem
from hollowrack.messages import codec
from hollowrack.regions.allowed_regions import intersection
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import DESCRIPTIONS, Execution, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.jobs.helpers import Fleet, check_complete_results, configuration, make_job
from tests.jobs.region_fleet import BOTH, NORTH, SOUTH, RegionFleet, owner_region
from tests.jobs.test_job_service import read_all

SETTLED_S = 1.0
NUM_SLOW_EVENTS = 300


def _slow(fleet: Fleet) -> None:
    """Make items take 6 s, so that the owner can fail meanwhile."""
    fleet.back_ends.num_events = NUM_SLOW_EVENTS


def _leader(fleet: Fleet) -> str:
    (leader,) = [name for name, node in fleet.nodes.items() if node.leadership.is_leader]
    return leader


def test_regions_are_those_that_all_lists_allow() -> None:
    assert intersection([None, None]) is None
    assert intersection([None, NORTH]) == NORTH
    assert intersection([BOTH, SOUTH, None]) == SOUTH
    assert intersection([NORTH, SOUTH]) == frozenset()


def test_routes_of_items_and_scorer_calls_restrict_a_job() -> None:
    fleet_routes = _routes_with({"generate": BOTH, "score": SOUTH})
    assert allowed_regions_of_job(make_job(), fleet_routes, None) == SOUTH
    assert allowed_regions_of_job(make_job(), fleet_routes, NORTH) == frozenset()
    assert allowed_regions_of_job(make_job(), _routes_with({}), NORTH) == NORTH
    assert allowed_regions_of_job(make_job(), _routes_with({}), None) is None


def _routes_with(allowed: dict[str, frozenset[str]]) -> RouteTable:
    def restricted(route: Route) -> Route:
        return replace(route, allowed_regions=allowed.get(route.name))

    found = configuration()
    table = RouteTable()
    table.apply(replace(found, routes=tuple(restricted(route) for route in found.routes)))
    return table


@pytest.mark.parametrize("allowed", [NORTH, SOUTH])
@pytest.mark.parametrize("client_node", ["n0", "s0"])
def test_a_job_is_owned_in_its_regions_wherever_it_is_submitted(
    allowed: frozenset[str], client_node: str
) -> None:
    async def main() -> None:
        fleet = RegionFleet()
        fleet.back_ends.num_events = 40
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at(client_node, job, allowed) is None
        assert set(owner_region(fleet, job).values()) == allowed
        results = await read_all(fleet, client_node, job.id, len(job.items))
        check_complete_results(job, results, num_events=40)
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    "allowed", [frozenset({"west"}), frozenset()], ids=["no host", "no region"]
)
def test_a_job_without_a_host_in_its_regions_is_refused_at_once(allowed: frozenset[str]) -> None:
    async def main() -> None:
        fleet = RegionFleet()
        await asyncio.sleep(SETTLED_S)
        started_s, job = now_s(), make_job()
        problem = await fleet.submit_at("n0", job, allowed)
        assert now_s() == started_s
        assert problem is not None
        assert problem.code is ResultCode.JOB_REGIONS_UNAVAILABLE
        assert problem.retry_after_s
        assert DESCRIPTIONS[problem.code].execution is Execution.NOT_RUN
        assert fleet.received[job.id] == set()
        assert not any(job.id in key for key in fleet.core.items)
        assert fleet.nodes["n0"].live.regions.num_events[RegionEvent.JOB_REFUSED] == 1
        await fleet.stop()

    run_virtual(main())


def test_nodes_without_a_session_send_jobs_to_hosts_in_their_regions_only() -> None:
    async def main() -> None:
        fleet = RegionFleet(6, 6, shares_changes=True)
        fleet.back_ends.num_events = 40
        await asyncio.sleep(8.0)
        observers = [name for name, node in fleet.nodes.items() if not node.session.is_held]
        assert {fleet.region_of(name) for name in observers} == BOTH
        for number, name in enumerate(observers):
            job = make_job(f"job{number}x", 2)
            allowed = NORTH if number % 2 else SOUTH
            assert await fleet.submit_at(name, job, allowed) is None
            assert set(owner_region(fleet, job).values()) == allowed
            results = await read_all(fleet, name, job.id, len(job.items))
            check_complete_results(job, results, num_events=40)
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_job_whose_regions_are_cut_off_is_refused_as_not_run() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        await asyncio.sleep(SETTLED_S)
        fleet.is_cut = True
        problem = await fleet.submit_at("n0", make_job(), SOUTH)
        assert problem is not None
        assert problem.code is ResultCode.JOB_REGIONS_UNAVAILABLE
        fleet.is_cut = False
        assert await fleet.submit_at("n0", make_job(), SOUTH) is None
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_node_outside_the_regions_refuses_to_store_or_run_a_job() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        await asyncio.sleep(SETTLED_S)
        node, job = fleet.nodes["n0"], make_job()
        problem = await node.jobs.submit_here(job, SOUTH)
        assert problem is not None
        assert problem.code is ResultCode.JOB_REGIONS_UNAVAILABLE
        node.live.regions.note(job.id, JobRegionsRecord(("south",)))
        node.jobs.run_job(job, [])
        assert not node.jobs.owns(job.id)
        await fleet.stop()

    run_virtual(main())


def test_a_node_of_an_unknown_region_passes_on_nothing_with_allowed_regions() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        fleet.zones["x0"] = "z9"
        fleet.start("x0")
        await asyncio.sleep(SETTLED_S)
        problem = await fleet.nodes["x0"].jobs.submit(make_job(), SOUTH)
        assert problem is not None
        assert problem.code is ResultCode.JOB_REGIONS_UNAVAILABLE
        assert await fleet.nodes["x0"].jobs.submit(make_job("j2")) is None
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("leader_is_inside", [False, True])
def test_a_job_of_a_failed_owner_is_continued_inside_without_being_read_outside(
    leader_is_inside: bool,
) -> None:
    async def main() -> None:
        fleet = RegionFleet(3, 3)
        for node in fleet.nodes.values():
            node.jobs.intake.uses_preferred_owner = False
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        leader = _leader(fleet)
        inside = fleet.region_of(leader) == "south"
        allowed = SOUTH if inside == leader_is_inside else NORTH
        job = make_job()
        client_node = next(
            name for name in fleet.nodes if fleet.region_of(name) in allowed and name != leader
        )
        assert await fleet.submit_at(client_node, job, allowed) is None
        (owner,) = fleet.owners_of(job)
        assert owner == client_node
        await fleet.kill(owner)
        await asyncio.sleep(5.0)
        assert set(owner_region(fleet, job).values()) == allowed
        survivor = next(iter(fleet.owners_of(job)))
        results = await read_all(fleet, survivor, job.id, len(job.items))
        check_complete_results(job, results, NUM_SLOW_EVENTS)
        assert not fleet.violations
        if not leader_is_inside:
            counts = fleet.nodes[leader].live.regions.num_events
            assert counts[RegionEvent.JOB_HANDED_OVER] >= 1
        await fleet.stop()

    run_virtual(main())


def test_an_accepted_job_waits_for_a_host_in_its_regions() -> None:
    async def main() -> None:
        fleet = RegionFleet(2, 1)
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at("s0", job, SOUTH) is None
        await fleet.kill("s0")
        await asyncio.sleep(15.0)
        assert not fleet.owners_of(job)
        events = [node.live.regions.num_events for node in fleet.nodes.values()]
        assert sum(event[RegionEvent.JOB_WITHOUT_HOST] for event in events) == 1
        fleet.zones["s1"] = "z2"
        fleet.start("s1")
        await asyncio.sleep(6.0)
        assert fleet.owners_of(job) == ["s1"]
        results = await read_all(fleet, "s1", job.id, len(job.items))
        check_complete_results(job, results, NUM_SLOW_EVENTS)
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_job_is_taken_over_inside_if_the_leader_knows_no_regions() -> None:
    async def main() -> None:
        fleet = RegionFleet(2, 3)
        for node in fleet.nodes.values():
            node.jobs.intake.uses_preferred_owner = False
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        leader = _leader(fleet)
        fleet.nodes[leader].live.regions.topology = RegionTopology()
        job = make_job()
        owner = next(name for name in fleet.nodes if name.startswith("s") and name != leader)
        assert await fleet.submit_at(owner, job, SOUTH) is None
        await fleet.kill(owner)
        await asyncio.sleep(9.0)
        assert set(owner_region(fleet, job).values()) == SOUTH
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_planned_stop_hands_a_job_over_inside_its_regions() -> None:
    async def main() -> None:
        fleet = RegionFleet(3, 2)
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at("s0", job, SOUTH) is None
        (owner,) = fleet.owners_of(job)
        node = fleet.nodes[owner]
        await node.begin_stop(4.0)
        await node.complete_stop()
        del fleet.nodes[owner]
        await asyncio.sleep(3.0)
        assert set(owner_region(fleet, job).values()) == SOUTH
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("has_peer_inside", [False, True])
def test_store_calls_of_a_job_are_relayed_through_its_regions_only(has_peer_inside: bool) -> None:
    async def main() -> None:
        fleet = RegionFleet(3, 2 if has_peer_inside else 1)
        await asyncio.sleep(SETTLED_S)
        fleet.faults["s0"].refuses = True
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        problem = await fleet.submit_at("s0", job, SOUTH)
        assert not fleet.violations
        if has_peer_inside:
            assert problem is None
            results = await read_all(fleet, "s0", job.id, len(job.items))
            check_complete_results(job, results)
        else:
            assert problem is not None
            assert problem.code is ResultCode.JOB_NOT_STORED
            # It may be submitted elsewhere, with other regions.
            assert not fleet.nodes["s0"].live.regions.is_noted(job.id)
            events = fleet.nodes["s0"].live.regions.num_events
            assert events[RegionEvent.RELAY_WITHHELD]
            fleet.faults["s0"].refuses = False
            await asyncio.sleep(SETTLED_S)
            assert await fleet.submit_at("s0", job, SOUTH) is None
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_read_through_relays_outside_is_not_made_for_a_job_that_the_node_has_not_seen() -> None:
    async def main() -> None:
        fleet = RegionFleet(3, 1)
        fleet.checks_relayed_calls = False
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        record = JobRegionsRecord(("south",))
        fleet.allowed[job.id] = SOUTH
        fleet.faults["s0"].refuses = True
        store = fleet.nodes["s0"].store
        await asyncio.sleep(SETTLED_S)
        # The entries do not reach this node.
        await fleet.nodes["s0"]._live_mirror.stop()
        log = JobLog(fleet.core.make_client(), "gone#1")
        assert await log.create(job, record) is CreateOutcome.CREATED
        assert await log.create(make_job("j2")) is CreateOutcome.CREATED
        assert isinstance(await JobLog(store, "s0").load(job.id), NotDone | Unknown)
        assert not fleet.nodes["s0"].live.knows_job(job.id)
        assert fleet.nodes["s0"].live.regions.allowed_regions(job.id) == SOUTH
        assert fleet.received[job.id] == set()
        assert isinstance(await JobLog(store, "s0").load("j2"), StoredJob)
        assert await JobLog(store, "s0").load("none") is None
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_relaying_node_refuses_calls_about_jobs_that_it_must_not_read() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at("s0", job, SOUTH) is None
        await asyncio.sleep(SETTLED_S)
        call = RelayedList(f"hollowrack/jobs/{job.id}/")
        assert not fleet.nodes["n0"].relay_restriction.permits_here(call)
        assert fleet.nodes["s0"].relay_restriction.permits_here(call)
        assert fleet.nodes["n0"].relay_restriction.permits_here(RelayedList("hollowrack/live/"))
        await fleet.stop()

    run_virtual(main())


def test_a_repeated_submission_is_accepted_without_sending_the_job() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at("n0", job, NORTH) is None
        await asyncio.sleep(SETTLED_S)
        # Its regions have changed since it was accepted.
        received = set(fleet.received[job.id])
        (owner,) = fleet.owners_of(job)
        other = "n0" if owner == "n1" else "n1"
        assert await fleet.submit_at(other, job, SOUTH) is None
        assert set(owner_region(fleet, job).values()) == NORTH
        assert fleet.received[job.id] == received
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_items_and_results_are_read_at_the_node_of_the_client() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at("n0", job, NORTH) is None
        await asyncio.sleep(SETTLED_S)
        fleet.clients[job.id].add("s0")
        item = await fleet.nodes["s0"].jobs.item(job.id, job.items[0].id)
        assert isinstance(item, JobItem)
        assert isinstance(await fleet.nodes["s0"].jobs.read(job.id, 0, 0.1), ResultPage)
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_a_remainder_is_not_sent_to_an_owner_outside_the_regions() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        _slow(fleet)
        await asyncio.sleep(SETTLED_S)
        job = make_job()
        assert await fleet.submit_at("n0", job, NORTH) is None
        (owner,) = fleet.owners_of(job)
        await asyncio.sleep(SETTLED_S)
        # A leader of an earlier version claims the job.
        outside = fleet.nodes["s0"].owner
        open_job = fleet.nodes[owner].live.open_jobs[job.id]
        assert await JobLog(fleet.core.make_client(), "x").assign(open_job, outside)
        node = fleet.nodes[owner]
        await asyncio.sleep(0.35)
        assert not node.jobs.remainder(job.id).items
        # The node outside hands the job back to a host inside.
        await asyncio.sleep(5.0)
        assert set(owner_region(fleet, job).values()) == NORTH
        assert not fleet.violations
        await fleet.stop()

    run_virtual(main())


def test_an_ended_job_is_removed_by_a_host_in_its_regions() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        for node in fleet.nodes.values():
            node._retention._retention_s = 1.0
        await asyncio.sleep(SETTLED_S)
        for name, allowed in (("j1", NORTH), ("j2", SOUTH), ("j3", None)):
            job = make_job(name, 2)
            assert await fleet.submit_at("n0", job, allowed) is None
            assert await fleet.nodes["n0"].jobs.end(job.id) is None
        await asyncio.sleep(15.0)
        kept = [key for key in fleet.core.items if any(f"/j{n}" in key for n in (1, 2, 3))]
        assert kept == []
        assert not fleet.violations
        assert all(not node.live.regions.num_jobs for node in fleet.nodes.values())
        await fleet.stop()

    run_virtual(main())


def test_jobs_without_allowed_regions_cause_no_other_call_record_or_message() -> None:
    """The same schedule with and without regions in the settings makes the same store calls."""

    async def play(fleet: Fleet) -> tuple[int, int, list[str]]:
        await asyncio.sleep(SETTLED_S)
        for number in range(4):
            job = make_job(f"j{number}", 2)
            assert await fleet.nodes["n1"].jobs.submit(job) is None
            await read_all(fleet, "n0", job.id, len(job.items))
        fleet.faults["n0"].refuses = True
        await asyncio.sleep(SETTLED_S)
        job = make_job("j9", 2)
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await read_all(fleet, "n0", job.id, len(job.items))
        fleet.faults["n0"].refuses = False
        await asyncio.sleep(2.0)
        assert all(not node.live.regions.num_jobs for node in fleet.nodes.values())
        counts = fleet.core.num_calls, fleet.core.revision
        keys = sorted(key for key in fleet.core.items if "/nodes/" not in key)
        await fleet.stop()
        return *counts, keys

    async def main(fleet: Fleet) -> tuple[int, int, list[str]]:
        fleet.relays = True
        return await play(fleet)

    async def plain() -> tuple[int, int, list[str]]:
        return await main(Fleet(3, uses_preferred_owner=True))

    async def with_regions() -> tuple[int, int, list[str]]:
        regions = {"z1": "north", "z1b": "north"}
        return await main(Fleet(3, uses_preferred_owner=True, zone_regions=regions))

    outcome = run_virtual(plain())
    assert outcome == run_virtual(with_regions())
    assert not any(key.startswith(REGIONS_PREFIX) for key in outcome[2])


def test_an_unreadable_record_allows_no_region() -> None:
    async def main() -> None:
        regions = JobRegions(RegionTopology({"z1": "north"}, "z1"))
        for value in (b"", b"\xff", codec.encode(make_job()), b"north"):
            regions.apply_change(REGIONS_PREFIX + "a%2Fb", StoredItem("k", value, 1))
            assert regions.allowed_regions("a/b") == frozenset()
            assert not regions.allows_here(regions.allowed_regions("a/b"))
        regions.apply_change(REGIONS_PREFIX + "a%2Fb", None)
        assert regions.allowed_regions("a/b") is None

    run_virtual(main())


def test_the_record_is_written_with_the_job_only_if_it_has_allowed_regions() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        log = JobLog(core.make_client(), "n1#1")
        assert await log.create(make_job("j1")) is CreateOutcome.CREATED
        assert not any(key.startswith(REGIONS_PREFIX) for key in core.items)
        record = JobRegionsRecord(("south",), "m")
        assert await log.create(make_job("j2"), record) is CreateOutcome.CREATED
        stored = core.items[REGIONS_PREFIX + "j2"]
        assert codec.decode(stored.value).unwrap() == record
        assert stored.revision == core.items[OPEN_PREFIX + "j2"].revision
        assert core.items[OPEN_PREFIX + "j2"].value == b"n1#1"

    run_virtual(main())
