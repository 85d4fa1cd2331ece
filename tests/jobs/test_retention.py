"""Guards against ended jobs that are removed too early or never, and removal of open jobs."""

import asyncio

import pytest

from hollowrack.edge_connections import DEFAULT_ENDED_JOB_RETENTION_S
from hollowrack.jobs.job_log import ENDS_PREFIX, JOBS_PREFIX, JobLog
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.progress import PROGRESS_PREFIX
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.jobs.helpers import Fleet, make_job

TOLERANCE_S = 30.0


def _stored_keys(core: CoordinationStoreCore) -> list[str]:
    prefixes = (JOBS_PREFIX, ENDS_PREFIX, PROGRESS_PREFIX)
    return [key for key in core.items if key.startswith(prefixes)]


@pytest.mark.parametrize("kills_leader", [False, True])
def test_an_ended_job_is_removed_after_the_retention_period(kills_leader: bool) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(5.0)
        assert await fleet.nodes["n1"].jobs.end(job.id) is None
        await asyncio.sleep(DEFAULT_ENDED_JOB_RETENTION_S - TOLERANCE_S)
        if kills_leader:
            (leader,) = [n for n, node in fleet.nodes.items() if node.leadership.is_leader]
            await fleet.kill(leader)
            await asyncio.sleep(TOLERANCE_S)
        (name, *_) = fleet.nodes
        assert isinstance(await fleet.nodes[name].jobs.read(job.id, 0, 0.0), ResultPage)
        await asyncio.sleep(2 * TOLERANCE_S)
        assert _stored_keys(fleet.core) == []
        answer = await fleet.start("n9").jobs.read(job.id, 0, 0.0)
        assert isinstance(answer, Problem)
        assert answer.code is ResultCode.UNKNOWN_JOB
        await fleet.stop()

    run_virtual(main())


def test_an_open_job_is_never_removed() -> None:
    async def main() -> None:
        fleet = Fleet()
        fleet.back_ends.num_events = 1_000_000
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(3 * DEFAULT_ENDED_JOB_RETENTION_S)
        assert _stored_keys(fleet.core)
        await fleet.stop()

    run_virtual(main())


def test_a_removal_that_failed_halfway_is_retried() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        log = JobLog(core.make_client(), "n0#1")
        faulty_store = core.make_client()
        faulty_store.faults.num_lost_answers = 1
        job = make_job()
        await log.create(job)
        assert await log.end(job.id)
        assert not await JobLog(faulty_store, "n1#1").remove(job.id)
        assert await log.remove(job.id)
        assert _stored_keys(core) == []

    run_virtual(main())
