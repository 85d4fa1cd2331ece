"""Guards leadership, jobs and slots against a zone that is lost or partitioned, and returns."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from hollowrack.forwarding.types import Service
from hollowrack.jobs.types import Job
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import MODEL, check_complete_results, configuration, make_job
from tests.jobs.test_job_service import read_all
from tests.jobs.zone_fleet import SETTLE_S, ZONES, ZoneFleet

FAILURES = ("lost", "is_silent", "refuses")
SAMPLE_INTERVAL_S = 0.02
# Items take 2 s, so that a job of 24 items outlasts the loss of its owner.
NUM_EVENTS = 100
RECOVERY_S = 12.0
MODELS = (MODEL, "m2", "m3")


class Samples:
    """Properties of a fleet that must hold at any time, sampled until it is stopped."""

    def __init__(self, fleet: ZoneFleet) -> None:
        self.max_leaders = 0
        self.num_without_leader = 0
        self.excess_grants: list[str] = []
        self._fleet = fleet
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            num_leaders = len(self._fleet.acting_leaders())
            self.max_leaders = max(self.max_leaders, num_leaders)
            self.num_without_leader += num_leaders == 0
            self._check_grants()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _check_grants(self) -> None:
        for zone in ZONES:
            for worker in self._fleet.workers_in(zone):
                if worker.service != "engines":
                    continue
                limits = [
                    node.slots.holder.granted_limit(worker) for node in self._fleet.nodes.values()
                ]
                granted = sum(limit for limit in limits if limit is not None)
                if granted > worker.capacity:
                    self.excess_grants.append(f"{worker.id}: {granted} of {worker.capacity}")

    def stop(self) -> None:
        self._task.cancel()


def run(
    scenario: Callable[[ZoneFleet], Awaitable[None]],
    num_per_zone: int = 2,
    shares_changes: bool = False,
) -> Samples:
    async def main() -> Samples:
        fleet = ZoneFleet(num_per_zone, shares_changes)
        fleet.back_ends.num_events = NUM_EVENTS
        await asyncio.sleep(SETTLE_S)
        assert len(fleet.acting_leaders()) == 1
        samples = Samples(fleet)
        await scenario(fleet)
        samples.stop()
        await fleet.stop()
        return samples

    return run_virtual(main())


def leader_zone(fleet: ZoneFleet) -> str:
    (leader,) = fleet.acting_leaders()
    return fleet.zones[leader]


async def check_completed(fleet: ZoneFleet, job: Job) -> None:
    """Check that all nodes list the same complete results of a job."""
    results = [await read_all(fleet, name, job.id, len(job.items)) for name in fleet.nodes]
    check_complete_results(job, results[0], NUM_EVENTS)
    assert all(other == results[0] for other in results)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("shares_changes", [False, True])
def test_one_leader_acts_when_the_zone_of_the_leader_fails(
    failure: str, shares_changes: bool
) -> None:
    async def scenario(fleet: ZoneFleet) -> None:
        await fleet.fail_zone(leader_zone(fleet), failure)
        await asyncio.sleep(RECOVERY_S)
        (leader,) = fleet.acting_leaders()
        owner = fleet.nodes[leader].owner
        assert {node.live.leader() for node in fleet.nodes.values()} == {owner}

    samples = run(scenario, 4 if shares_changes else 2, shares_changes)
    assert samples.max_leaders == 1


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("is_leader_zone", [False, True])
def test_jobs_are_completed_once_when_the_zone_of_their_owner_fails(
    failure: str, is_leader_zone: bool
) -> None:
    async def scenario(fleet: ZoneFleet) -> None:
        zone = next(zone for zone in ZONES if (zone == leader_zone(fleet)) == is_leader_zone)
        jobs = [make_job(f"j{index}", 24) for index in range(2)]
        for name, job in zip(fleet.names_in(zone), jobs, strict=True):
            assert await fleet.nodes[name].jobs.submit(job) is None
            assert fleet.owners_of(job) == [name]
        await asyncio.sleep(1.0)
        await fleet.fail_zone(zone, failure)
        await asyncio.sleep(3.0)
        for job in jobs:
            assert len(fleet.owners_of(job)) <= 1
            await check_completed(fleet, job)

    assert run(scenario).max_leaders == 1


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("is_leader_zone", [False, True])
def test_no_slot_is_granted_twice_when_a_zone_of_holders_fails(
    failure: str, is_leader_zone: bool
) -> None:
    async def scenario(fleet: ZoneFleet) -> None:
        base = configuration(2)
        services = {**base.services, "engines": Service("engines", 100, MODELS)}
        for node in fleet.nodes.values():
            node.configuration_changed(replace(base, services=services))
            for worker in node.workers.all():
                if worker.service == "engines":
                    versions = dict.fromkeys(MODELS, 1)
                    node.worker_changed(replace(worker, model_versions=versions))
        jobs = [
            replace(make_job(f"j{zone}", 24), model=model)
            for zone, model in zip(ZONES, MODELS, strict=True)
        ]
        for zone, job in zip(ZONES, jobs, strict=True):
            assert await fleet.nodes[fleet.names_in(zone)[0]].jobs.submit(job) is None
        await asyncio.sleep(2.0)
        granted = [node.slots.holder.usage("engines") for node in fleet.nodes.values()]
        assert sum(usage.grant_age_s is not None for usage in granted) == len(ZONES)
        zone = next(zone for zone in ZONES if (zone == leader_zone(fleet)) == is_leader_zone)
        await fleet.fail_zone(zone, failure)
        await asyncio.sleep(3.0)
        for job in jobs:
            await check_completed(fleet, job)

    samples = run(scenario)
    assert samples.excess_grants == []
    assert samples.max_leaders == 1
