"""Guards against items and scorer calls that reach workers outside of the allowed regions."""

import asyncio
import logging
import random
from dataclasses import replace
from typing import Any

import pytest

from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.call_limiter import CallLimiter
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank
from hollowrack.forwarding.types import RoutingConfiguration, Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.item_eligibility import ItemEligibility
from hollowrack.jobs.item_migration_policy import ItemMigrationPolicy
from hollowrack.jobs.item_regions import ItemRegions
from hollowrack.jobs.item_services import GiveUpReason
from hollowrack.jobs.length_estimate import LengthEstimate
from hollowrack.jobs.open_work import _eligible_positions
from hollowrack.jobs.types import Job
from hollowrack.regions.allowed_regions import AllowedRegions
from hollowrack.regions.conditions import RegionCondition
from hollowrack.results import Problem
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.forwarding.helpers import make_route, make_table
from tests.jobs.helpers import MODEL, Fleet, check_complete_results, configuration, make_job
from tests.jobs.test_job_service import read_all
from tests.regions.helpers import BOTH, NONE, R1, R2, TOPOLOGY, RecordingBackEnds, with_regions

ANY: dict[str, AllowedRegions] = {}


async def make_fleet(
    configured: RoutingConfiguration, num_nodes: int = 1
) -> tuple[Fleet, RecordingBackEnds]:
    """Start nodes in region r1 whose workers e0 and s0 are in r1, and e1 and s1 in r2."""
    fleet = Fleet(num_nodes=0, topology=TOPOLOGY, worker_zones=("z1", "z2"))
    fleet.back_ends = back_ends = RecordingBackEnds()
    for index in range(num_nodes):
        fleet.start(f"n{index}", is_configured=False).configuration_changed(configured)
    await asyncio.sleep(1.0)
    return fleet, back_ends


async def own(node: EdgeNode, job: Job) -> Problem | None:
    """Make a node the owner of a job, whatever regions may hold the job's body."""
    version = node.routes.version or 0
    return await node.jobs.intake.submit(replace(job, configuration_version=version))


@pytest.mark.parametrize(
    ("routes", "tenant_regions", "item_zones", "scorer_zones"),
    [
        (ANY, None, {"z1", "z2"}, {"z1", "z2"}),
        ({"generate": R2, "score": R2}, None, {"z2"}, {"z2"}),
        ({"score": R1}, None, {"z1", "z2"}, {"z1"}),
        # The scorer call carries a part of the job's body.
        ({"generate": R2}, None, {"z2"}, {"z2"}),
        (ANY, R2, {"z2"}, {"z2"}),
        ({"generate": BOTH, "score": BOTH}, R1, {"z1"}, {"z1"}),
        ({"generate": R1}, BOTH, {"z1"}, {"z1"}),
    ],
)
def test_items_and_scorer_calls_reach_allowed_regions_only(
    routes: dict[str, AllowedRegions],
    tenant_regions: AllowedRegions,
    item_zones: set[str],
    scorer_zones: set[str],
) -> None:
    async def main() -> None:
        fleet, back_ends = await make_fleet(with_regions(2, routes, {"ana": tenant_regions}))
        job = replace(make_job(num_items=16), tenant="ana")
        assert await own(fleet.nodes["n0"], job) is None
        check_complete_results(job, await read_all(fleet, "n0", job.id, len(job.items)))
        assert back_ends.zones(".i") == item_zones
        # Without a restriction the zone of the node is preferred, and others may be unused.
        assert back_ends.zones(".s")
        assert back_ends.zones(".s") <= scorer_zones
        await fleet.stop()

    run_virtual(main())


def test_restriction_of_the_route_of_the_job_applies_to_items_of_other_routes() -> None:
    async def main() -> None:
        base = configuration()
        generate = base.routes[0]
        other = replace(generate, name="other", prefix="/other/")
        base = replace(base, routes=(*base.routes, other))
        fleet, back_ends = await make_fleet(with_regions(2, {"generate": R2}, base=base))
        job = make_job(num_items=8)
        items = tuple(replace(item, target="/other/x") for item in job.items)
        assert await own(fleet.nodes["n0"], replace(job, items=items)) is None
        await read_all(fleet, "n0", job.id, 8)
        assert back_ends.zones() == {"z2"}
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("regions", [R2, NONE], ids=["workers gone", "disjoint"])
def test_items_without_a_worker_in_their_regions_wait_until_their_time_is_up(
    regions: frozenset[str], caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        fleet, back_ends = await make_fleet(with_regions(2, {"generate": regions}))
        node = fleet.nodes["n0"]
        node.worker_removed("e1")
        job = make_job(num_items=4)
        submitted_s = now_s()
        assert await own(node, job) is None
        results = await read_all(fleet, "n0", job.id, 4)
        assert now_s() - submitted_s >= 30.0
        assert not any(result.is_complete for result in results)
        assert node.services.num_given_up == {GiveUpReason.TIME_IS_UP: 4}
        assert back_ends.arrivals == []
        await fleet.stop()

    with caplog.at_level(logging.INFO):
        run_virtual(main())
    # Once for each item, not at each dispatch pass.
    assert caplog.text.count("waits for a worker of service engines in the allowed regions") == 4


def test_waiting_items_follow_a_change_of_their_regions() -> None:
    """Items that wait under the old regions would wait for a worker that never comes."""

    async def main() -> None:
        fleet, back_ends = await make_fleet(with_regions(2, {"generate": R2}))
        node = fleet.nodes["n0"]
        node.worker_removed("e1")
        job = make_job()
        assert await own(node, job) is None
        await asyncio.sleep(5.0)
        assert back_ends.arrivals == []
        node.configuration_changed(with_regions(3, {"generate": R1}))
        check_complete_results(job, await read_all(fleet, "n0", job.id, len(job.items)))
        assert back_ends.zones() == {"z1"}
        await fleet.stop()

    run_virtual(main())


def test_item_whose_slot_was_granted_under_the_old_regions_is_not_sent() -> None:
    """A change between the grant of the slot and the send is only seen by the send guard."""

    async def main() -> None:
        fleet, back_ends = await make_fleet(with_regions(2, {"generate": R2}))
        node = fleet.nodes["n0"]
        worker = node.workers.get("e1")
        assert worker is not None
        for _ in range(worker.capacity):
            node.workers.reserve_slot(worker)
        job = make_job(num_items=1)
        assert await own(node, job) is None
        await asyncio.sleep(1.0)
        node.workers.release_slot(worker)
        node.queue._dispatch()
        assert node.queue.num_waiting == 0
        node.configuration_changed(with_regions(3, {"generate": R1}))
        check_complete_results(job, await read_all(fleet, "n0", job.id, 1))
        assert back_ends.zones() == {"z1"}
        assert node.back_ends.num_stopped == {"RegionSendCondition": 1}
        await fleet.stop()

    run_virtual(main())


def test_resumed_items_use_the_regions_in_force() -> None:
    """A run keeps its events, but its next attempt follows the change."""

    async def main() -> None:
        fleet, back_ends = await make_fleet(with_regions(2, {"generate": R1}))
        node = fleet.nodes["n0"]
        back_ends.num_events = 20
        job = make_job(num_items=4)
        assert await own(node, job) is None
        await asyncio.sleep(0.1)
        node.configuration_changed(with_regions(3, {"generate": R2}))
        back_ends.behaviours["e0"] = WorkerBehaviour(breaks_after_events=2)
        back_ends.crash(Worker("e0", "engines", "127.0.0.1:1", "z1", 4, False, {MODEL: 1}))
        changed = len(back_ends.arrivals)
        results = await read_all(fleet, "n0", job.id, 4)
        check_complete_results(job, results, num_events=20)
        assert {zone for _, zone in back_ends.arrivals[:changed]} == {"z1"}
        assert {zone for _, zone in back_ends.arrivals[changed:]} == {"z2"}
        assert all(max(back_ends.resumed_after_events[item.id]) > 0 for item in job.items)
        await fleet.stop()

    run_virtual(main())


def test_item_waits_for_the_configuration_of_its_acceptance() -> None:
    """An owner with an older configuration does not know the restrictions of the job."""

    async def main() -> None:
        fleet, back_ends = await make_fleet(configuration(1))
        node = fleet.nodes["n0"]
        job = replace(make_job(num_items=4), configuration_version=3)
        assert await node.jobs.submit_here(job) is None
        await asyncio.sleep(3.0)
        node.configuration_changed(configuration(2))
        await asyncio.sleep(3.0)
        assert back_ends.arrivals == []
        node.configuration_changed(with_regions(3, {"generate": R2, "score": R2}))
        check_complete_results(job, await read_all(fleet, "n0", job.id, 4))
        assert back_ends.zones() == {"z2"}
        await fleet.stop()

    run_virtual(main())


def test_item_does_not_wait_for_a_configuration_without_regions_in_the_settings() -> None:
    async def main() -> None:
        fleet = Fleet(1)
        await asyncio.sleep(1.0)
        job = replace(make_job(num_items=4), configuration_version=3)
        assert await fleet.nodes["n0"].jobs.submit_here(job) is None
        check_complete_results(job, await read_all(fleet, "n0", job.id, 4))
        await fleet.stop()

    run_virtual(main())


def item_regions(configured: RoutingConfiguration, job: Job) -> tuple[Any, ItemRegions]:
    table = make_table()
    table.apply(configured)
    return table, ItemRegions(table, job, job.items[0])


def test_removed_tenant_and_route_keep_their_regions() -> None:
    """Items go on after the removal, and their restrictions must not end with it."""
    job = replace(make_job(), tenant="ana")
    items = tuple(replace(item, target="/s/x") for item in job.items)
    job = replace(job, items=items)
    table, regions = item_regions(with_regions(2, {"generate": BOTH}, {"ana": R2}), job)
    assert regions.of_generation() == R2
    table.apply(with_regions(3, {"generate": R1}, {}))
    assert regions.of_generation() == NONE
    base = configuration()
    table.apply(with_regions(4, {}, {}, replace(base, routes=base.routes[1:])))
    assert regions.of_generation() == NONE
    table.apply(with_regions(5, {}, {"ana": None}))
    assert regions.of_generation() is None
    assert regions.of_scorer_call() is None
    table.apply(with_regions(6, {"score": R1}, {"ana": None}))
    assert regions.of_scorer_call() == R1


def test_item_conditions_are_equal_for_equal_regions() -> None:
    def condition(allowed_regions: frozenset[str]) -> ItemEligibility:
        return ItemEligibility("m", 1, None, None, RegionCondition(TOPOLOGY, allowed_regions))

    assert condition(R1) == condition(frozenset({"r1"}))
    assert hash(condition(R1)) == hash(condition(frozenset({"r1"})))
    assert condition(R1) != condition(R2)
    assert condition(R1) != ItemEligibility("m", 1, None, None)
    assert condition(R1)(Worker("e0", "svc", "127.0.0.1:1", "z1", 4, False, {"m": 1}))
    assert not condition(R2)(Worker("e0", "svc", "127.0.0.1:1", "z1", 4, False, {"m": 1}))


def make_directory(*workers: Worker) -> WorkerDirectory:
    directory = WorkerDirectory("z1", random.Random(1), TOPOLOGY)
    for worker in workers:
        directory.update(worker)
    return directory


def model_worker(name: str, zone: str, service: str = "svc") -> Worker:
    return Worker(name, service, "127.0.0.1:1", zone, 6, False, {MODEL: 1})


def test_items_migrate_to_allowed_regions_only() -> None:
    """A request for a slot that no allowed worker can give would wait as long as the run."""

    async def main() -> None:
        slow, fast = model_worker("slow", "z2"), model_worker("fast", "z1")
        directory = make_directory(slow, fast)
        for worker, interval_s in ((slow, 0.08), (fast, 0.04)):
            for _ in range(8):
                directory.record_latency(worker, interval_s)
        lengths = LengthEstimate()
        lengths.record_item(100, 10)
        queue = DispatchQueue(directory)

        def policy(allowed_regions: AllowedRegions) -> ItemMigrationPolicy:
            return ItemMigrationPolicy(
                directory,
                queue,
                lengths,
                "svc",
                MODEL,
                1000,
                lambda: DispatchRank(0),
                lambda: directory.in_regions(allowed_regions),
            )

        assert policy(None).is_worthwhile(slow, 10)
        assert policy(BOTH).is_worthwhile(slow, 10)
        assert not policy(R2).is_worthwhile(slow, 10)
        assert (await policy(BOTH).acquire_faster(slow, 10)).id == "fast"
        waiting = asyncio.create_task(policy(R2).acquire_faster(slow, 10))
        await asyncio.sleep(2.0)
        assert not waiting.done()
        waiting.cancel()

    run_virtual(main())


def test_slot_report_names_workers_in_allowed_regions_only() -> None:
    """Slots granted at forbidden workers are lost to the jobs of other nodes."""
    workers = [model_worker("a", "z1"), model_worker("b", "z2"), model_worker("c", "z9")]
    positions = {str(worker.incarnation): index for index, worker in enumerate(workers)}
    directory = make_directory(*workers)

    def eligible(*conditions: AllowedRegions) -> tuple[int, ...]:
        in_regions = {directory.in_regions(condition) for condition in conditions}
        return _eligible_positions(make_job(), workers, positions, in_regions)

    assert eligible(None) == (0, 1, 2)
    assert eligible(R2) == (1,)
    assert eligible(R1, R2) == (0, 1)
    assert eligible(R1, None) == (0, 1, 2)
    assert eligible(NONE) == ()


def test_scorer_calls_are_limited_by_the_workers_in_their_regions() -> None:
    """By the slots of all regions, the calls would take every slot of the allowed ones."""

    async def main() -> None:
        directory = make_directory(
            model_worker("a", "z1"), model_worker("b", "z2"), model_worker("c", "z2")
        )
        routes = (make_route(), make_route(prefix="/b/"))
        limiter = CallLimiter(make_table(*routes), directory)
        held: list[str] = []

        async def hold(name: str, allowed_regions: AllowedRegions) -> None:
            async with limiter.slot(routes[0], allowed_regions):
                held.append(name)
                await asyncio.sleep(10.0)

        tasks = [asyncio.create_task(hold("r1", R1)) for _ in range(9)]
        tasks += [asyncio.create_task(hold("r2", R2)) for _ in range(9)]
        await asyncio.sleep(1.0)
        assert sorted(held) == ["r1"] * 2 + ["r2"] * 4
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert limiter.num_waiting == 0

    run_virtual(main())
