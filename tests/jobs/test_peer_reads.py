"""Guards against needless store reads and stale results at nodes that do not own a job."""

import asyncio

from hollowrack.jobs.job_log import AppendOutcome, JobLog
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.peer_jobs import ReadJobRequest
from hollowrack.jobs.types import ItemResult, JobItem
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, check_complete_results, make_job
from tests.jobs.test_job_service import read_all

NUM_NODES = 6


def test_a_running_job_is_read_at_every_node_without_the_store() -> None:
    async def main() -> None:
        fleet = Fleet(NUM_NODES)
        fleet.back_ends.num_events = 200
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(1.0)
        num_reads = fleet.core.num_job_reads
        for node in fleet.nodes.values():
            assert isinstance(await node.jobs.read(job.id, 0, 0.1), ResultPage)
            item = await node.jobs.item(job.id, job.items[0].id)
            assert isinstance(item, JobItem)
            assert item.body == job.items[0].body
        assert fleet.core.num_job_reads == num_reads
        for name in fleet.nodes:
            results = await read_all(fleet, name, job.id, len(job.items))
            check_complete_results(job, results, num_events=200)
        await fleet.stop()

    run_virtual(main())


def test_a_finished_job_is_read_and_ended_without_the_store() -> None:
    async def main() -> None:
        fleet = Fleet(NUM_NODES)
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        expected = await read_all(fleet, "n0", job.id, len(job.items))
        await asyncio.sleep(1.0)
        num_reads = fleet.core.num_job_reads
        for name in fleet.nodes:
            assert await read_all(fleet, name, job.id, len(job.items)) == expected
        assert await fleet.nodes["n3"].jobs.end(job.id) is None
        assert fleet.core.num_job_reads == num_reads
        # Without the last owner the results are read from the store once.
        await fleet.kill("n0")
        await asyncio.sleep(4.0)
        assert await read_all(fleet, "n1", job.id, len(job.items)) == expected
        assert fleet.core.num_job_reads == num_reads + 1
        await fleet.stop()

    run_virtual(main())


def test_a_read_waits_for_a_job_just_accepted_at_another_node() -> None:
    async def main() -> None:
        fleet = Fleet(NUM_NODES)
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        num_reads = fleet.core.num_job_reads
        page = await fleet.nodes["n1"].jobs.read(job.id, 0, 1.0)
        assert isinstance(page, ResultPage)
        assert page.results
        assert fleet.core.num_job_reads == num_reads
        unknown = await fleet.nodes["n1"].jobs.read("none", 0, 1.0)
        assert not isinstance(unknown, ResultPage)
        await fleet.stop()

    run_virtual(main())


def test_an_owner_whose_session_may_have_expired_does_not_answer_for_the_job() -> None:
    async def main() -> None:
        fleet = Fleet(NUM_NODES)
        for worker in ("e0", "e1"):
            fleet.back_ends.behaviours[worker] = WorkerBehaviour(work_s=5.0)
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        fleet.faults["n0"].is_silent = True
        await asyncio.sleep(2.5)
        page = await fleet.nodes["n0"].jobs.answer_peer(ReadJobRequest(job.id, 0, 0.0))
        assert not page.is_owner
        await fleet.stop()

    run_virtual(main())


def test_listed_results_are_read_at_every_node_after_a_takeover() -> None:
    async def main() -> None:
        fleet = Fleet(NUM_NODES)
        for worker in ("e0", "e1"):
            fleet.back_ends.behaviours[worker] = WorkerBehaviour(work_s=2.0)
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        listed = [ItemResult(job.items[0].id, True, "listed")]
        writer = JobLog(fleet.core.make_client(), "n0#1")
        assert await writer.append(job.id, 0, listed, False) is AppendOutcome.APPENDED
        await fleet.kill("n0")
        for _ in range(12):
            await asyncio.sleep(0.5)
            for node in fleet.nodes.values():
                page = await node.jobs.read(job.id, 0, 0.0)
                if isinstance(page, ResultPage):
                    assert page.results[:1] == listed
        await fleet.stop()

    run_virtual(main())
