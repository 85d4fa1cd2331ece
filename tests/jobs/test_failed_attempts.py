"""Guards against items that keep failing and are run without bound when their owners fail."""

import asyncio

from hollowrack.jobs.job_service import ResultPage
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, make_job
from tests.platform.helpers import until

STARTUP_S = 1.0
# Limit of the route of jobs in the configuration of the fleet.
MAX_ATTEMPTS = 3
MAX_FAILED_RUNS = 3 * MAX_ATTEMPTS
NUM_OWNER_FAILURES = 4
RUN_S = 0.3


def test_failed_runs_of_an_item_are_bounded_although_its_owners_fail() -> None:
    """Each owner fails after two failed runs, before it can list the item as given up."""

    async def main() -> None:
        fleet = Fleet(NUM_OWNER_FAILURES + 2)
        await asyncio.sleep(STARTUP_S)
        for worker in ("e0", "e1"):
            fleet.back_ends.behaviours[worker] = WorkerBehaviour(work_s=RUN_S, num_errors=10**6)
        job = make_job(num_items=1)
        (item,) = job.items
        executions = fleet.back_ends.executions
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        for _ in range(NUM_OWNER_FAILURES):
            num_before = executions[item.id]
            await until(lambda seen=num_before: executions[item.id] >= seen + MAX_ATTEMPTS)  # type: ignore[misc]
            (owner,) = fleet.owners_of(job)
            await fleet.kill(owner)
        await asyncio.sleep(20.0)
        page = await next(iter(fleet.nodes.values())).jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert [result.is_complete for result in page.results] == [False]
        assert executions[item.id] <= MAX_FAILED_RUNS
        await fleet.stop()

    run_virtual(main())
