"""Guards against workers overloaded by several owners, from job submission to completion."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Service, Worker
from hollowrack.jobs.types import ItemResult, Job
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, configuration, make_job
from tests.jobs.test_job_service import read_all

MODELS = ("m1", "m2", "m3")
WORKERS = [
    Worker(f"e{index}", "engines", "127.0.0.1:1", "z1", 4, False, dict.fromkeys(MODELS, 1))
    for index in range(3)
]
CAPACITY = sum(worker.capacity for worker in WORKERS)
ITEM_S = 0.5
SPEED_STEP = 0.07
NUM_EVENTS = 10
LEADER_ELECTED_S = 6.0
SAMPLE_INTERVAL_S = 0.01


def model_job(name: str, model: str, num_items: int = 24) -> Job:
    job = make_job(name, num_items)
    items = tuple(replace(item, scorer=None) for item in job.items)
    return replace(job, model=model, items=items)


class SlotFleet(Fleet):
    """Nodes in front of workers that serve several models; records the peak load of workers.

    Attributes:
        peak_load: Maximum number of concurrent requests at any worker.
    """

    def __init__(self, shares_slots: bool, num_nodes: int = 3) -> None:
        super().__init__(num_nodes, shares_slots=shares_slots)
        self.peak_load = 0
        self.back_ends.num_events = NUM_EVENTS
        self.configure()

    def configure(self) -> None:
        base = configuration(2)
        services = {**base.services, "engines": Service("engines", 100, MODELS)}
        for node in self.nodes.values():
            node.configuration_changed(replace(base, services=services))
            for worker in WORKERS:
                node.worker_changed(worker)
        for index, worker in enumerate(WORKERS):
            # Workers of different speed, so that slots become free one at a time.
            work_s = ITEM_S / NUM_EVENTS * (1.0 + index * SPEED_STEP)
            self.back_ends.behaviours[worker.id] = WorkerBehaviour(work_s=work_s)

    async def record_peak_load(self) -> None:
        """Record the peak load until cancelled."""
        while True:
            self.peak_load = max([self.peak_load, *self.back_ends.running.values()])
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def running(self) -> int:
        """Return the number of running items at all workers."""
        return sum(self.back_ends.running[worker.id] for worker in WORKERS)


def run_fleet(
    scenario: Callable[[SlotFleet], Awaitable[None]], shares_slots: bool = True
) -> SlotFleet:
    async def main() -> SlotFleet:
        fleet = SlotFleet(shares_slots)
        recorder = asyncio.create_task(fleet.record_peak_load())
        await asyncio.sleep(LEADER_ELECTED_S)
        await scenario(fleet)
        recorder.cancel()
        await fleet.stop()
        return fleet

    return run_virtual(main())


async def submit_one_per_node(fleet: SlotFleet) -> list[Job]:
    jobs = [model_job(f"j{index}", model) for index, model in enumerate(MODELS)]
    for name, job in zip(fleet.nodes, jobs, strict=True):
        assert await fleet.nodes[name].jobs.submit(job) is None
    return jobs


async def run_three_jobs(fleet: SlotFleet) -> None:
    jobs = await submit_one_per_node(fleet)
    start_s = now_s()
    for job in jobs:
        check_complete(job, await read_all(fleet, "n0", job.id, len(job.items)))
    # Six rounds of the twelve slots, and two rounds of slack for the start and unequal speeds.
    assert now_s() - start_s < 8 * ITEM_S * (1.0 + SPEED_STEP)


def check_complete(job: Job, results: list[ItemResult]) -> None:
    assert sorted(result.item_id for result in results) == sorted(item.id for item in job.items)
    assert all(result.is_complete for result in results)


@pytest.mark.parametrize(("shares_slots", "peak_load"), [(True, 4), (False, 12)])
def test_workers_are_filled_to_capacity_and_not_beyond(shares_slots: bool, peak_load: int) -> None:
    """Without sharing, each of three owners fills all slots of each worker."""
    assert run_fleet(run_three_jobs, shares_slots).peak_load == peak_load


LONG_JOB_ITEMS = 60


async def run_long_jobs(fleet: SlotFleet, fault: Callable[[], Awaitable[None]]) -> None:
    """Run one job per node to completion, with a fault injected after two seconds."""
    jobs = [model_job(f"j{index}", model, LONG_JOB_ITEMS) for index, model in enumerate(MODELS)]
    for name, job in zip(fleet.nodes, jobs, strict=True):
        assert await fleet.nodes[name].jobs.submit(job) is None
    await asyncio.sleep(2.0)
    await fault()
    reader = next(iter(fleet.nodes))
    for job in jobs:
        check_complete(job, await read_all(fleet, reader, job.id, len(job.items)))


def leader_of(fleet: SlotFleet) -> str:
    (leader,) = (name for name, node in fleet.nodes.items() if node.leadership.may_act)
    return leader


def test_workers_are_not_overloaded_when_the_leader_crashes() -> None:
    async def scenario(fleet: SlotFleet) -> None:
        async def fault() -> None:
            await fleet.kill(leader_of(fleet))

        await run_long_jobs(fleet, fault)

    assert run_fleet(scenario).peak_load <= 4


def test_disconnected_owner_continues_with_its_equal_share() -> None:
    async def scenario(fleet: SlotFleet) -> None:
        assert fleet.slots is not None
        cut_off = next(name for name in fleet.nodes if name != leader_of(fleet))

        async def fault() -> None:
            assert fleet.slots is not None
            fleet.slots.cut_off.add(cut_off)

        await run_long_jobs(fleet, fault)

    # Four slots, plus the equal share that the disconnected owner uses.
    assert run_fleet(scenario).peak_load <= 4 + 2


def test_workers_are_not_overloaded_when_half_of_them_are_replaced() -> None:
    async def scenario(fleet: SlotFleet) -> None:
        async def fault() -> None:
            lost = WORKERS[:2]
            for worker in lost:
                fleet.back_ends.crash(worker)
                for node in fleet.nodes.values():
                    node.worker_removed(worker.id)
            await asyncio.sleep(1.0)
            for worker in lost:
                for node in fleet.nodes.values():
                    node.worker_changed(replace(worker, id=f"{worker.id}.1"))

        await run_long_jobs(fleet, fault)

    assert run_fleet(scenario).peak_load <= 4
