"""Guards against late or needless writes of results, and jobs reordered by a takeover."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.jobs.job_runner import (
    BATCH_DELAY_S,
    PARTIAL_GROUP_BATCH_DELAY_S,
    has_desired_groups,
)
from hollowrack.jobs.progress import PROGRESS_PREFIX
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, make_job


@pytest.mark.parametrize(
    ("done", "expected"),
    [
        ([], False),
        (["i0", "i1", "i2"], False),
        (["i0", "i1", "i2", "i4"], False),
        (["i0", "i1", "i2", "i3"], True),
        (["i0", "i1", "i2", "i3", "i4", "i5"], True),
    ],
)
def test_desired_groups_are_complete_once_enough_groups_have_all_results(
    done: list[str], expected: bool
) -> None:
    job = make_job("j", num_items=6)
    two_of_three = type(job)(**{**vars(job), "num_desired_groups": 2})
    assert has_desired_groups(two_of_three, {f"j.{name}" for name in done}) is expected


def test_the_last_needed_group_is_listed_at_once() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job(num_items=2)
        started_s = asyncio.get_running_loop().time()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        runner = fleet.nodes["n0"].jobs._runners[job.id]
        await runner.results_changed.wait()
        listed_s = asyncio.get_running_loop().time() - started_s
        assert runner.is_fully_listed
        # Five intervals of 0.02 s for generation, two for scoring, and one write.
        assert listed_s < 0.15 + BATCH_DELAY_S / 2
        await fleet.stop()

    run_virtual(main())


def test_results_of_an_incomplete_group_share_one_write() -> None:
    """Items of an incomplete group finish one by one; the trainer can use none of them alone."""

    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 4
        items = tuple(replace(item, group="g") for item in make_job(num_items=6).items)
        job = replace(make_job(), items=items, num_desired_groups=1)
        fleet.back_ends.behaviours["e1"] = WorkerBehaviour(work_s=0.14)
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        revision = fleet.core.revision
        runner = fleet.nodes["n0"].jobs._runners[job.id]
        started_s = now_s()
        while not runner.is_fully_listed:
            await runner.results_changed.wait()
        assert now_s() - started_s < 1.0
        log_keys = [key for key in fleet.core.items if "/log/" in key]
        assert len(log_keys) == 1, (log_keys, revision)
        await fleet.stop()

    run_virtual(main())


def test_results_that_complete_no_group_are_listed_after_a_delay() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.behaviours["e1"] = WorkerBehaviour(work_s=10.0)
        items = tuple(replace(item, group="g") for item in make_job(num_items=6).items)
        job = replace(make_job(), items=items, num_desired_groups=1)
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        runner = fleet.nodes["n0"].jobs._runners[job.id]
        started_s = now_s()
        await runner.results_changed.wait()
        assert len(runner.results) > 0
        assert now_s() - started_s < PARTIAL_GROUP_BATCH_DELAY_S + 0.5
        await fleet.stop()

    run_virtual(main())


def test_progress_is_saved_in_the_writes_that_list_results() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 45
        fleet.back_ends.behaviours["e1"] = WorkerBehaviour(work_s=0.04)
        # Each item is a group, so that each result is listed soon.
        items = tuple(replace(item, group=item.id) for item in make_job(num_items=8).items)
        job = replace(make_job(), items=items, num_desired_groups=8)
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(1.3)
        # Half of the items are listed; progress of the others is saved by those writes only.
        assert len(fleet.nodes["n0"].jobs._runners[job.id].results) == 4
        assert len([key for key in fleet.core.items if key.startswith(PROGRESS_PREFIX)]) == 1
        await fleet.stop()

    run_virtual(main())


def test_jobs_taken_over_together_keep_their_order() -> None:
    async def main() -> None:
        fleet = Fleet(1)
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 200
        names = ["c", "a", "b"]
        for name in names:
            assert await fleet.nodes["n0"].jobs.submit(make_job(name)) is None
        await asyncio.sleep(1.0)
        await fleet.kill("n0")
        node = fleet.start("n0")
        await asyncio.sleep(4.0)
        assert list(node.jobs._runners) == names
        await fleet.stop()

    run_virtual(main())
