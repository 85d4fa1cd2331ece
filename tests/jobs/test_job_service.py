"""Guards against jobs lost, run twice, wrongly given up or stuck under faults of nodes or store."""

import asyncio

import pytest

from hollowrack.edge_node import EdgeNode
from hollowrack.jobs.job_log import AppendOutcome, JobLog
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.progress import PROGRESS_PREFIX
from hollowrack.jobs.types import ItemResult
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, check_complete_results, configuration, make_job

SETTLE_TIME_S = 1.0


async def stop(node: EdgeNode, grace_s: float) -> None:
    """Stop a node gracefully."""
    await node.begin_stop(grace_s)
    await node.complete_stop()


async def read_all(fleet: Fleet, name: str, job_id: str, num_items: int) -> list[ItemResult]:
    """Read a job's results page by page, as a trainer does."""
    results: list[ItemResult] = []
    async with asyncio.timeout(60.0):
        while len(results) < num_items:
            page = await fleet.nodes[name].jobs.read(job_id, len(results), 1.0)
            if isinstance(page, ResultPage):
                results.extend(page.results)
            else:
                assert page.code is ResultCode.JOB_UNSURE
                await asyncio.sleep(0.3)
    return results


def test_every_node_reads_the_same_results() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        results_by_node = [
            await read_all(fleet, name, job.id, len(job.items)) for name in fleet.nodes
        ]
        check_complete_results(job, results_by_node[0])
        assert results_by_node[0] == results_by_node[1] == results_by_node[2]
        assert await fleet.nodes["n2"].jobs.submit(job) is None
        await asyncio.sleep(2.0)
        assert max(fleet.back_ends.executions.values()) == 1
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "value"), [("num_lost_answers", 1), ("num_late_writes", 1), ("num_late_writes", 3)]
)
def test_a_job_is_stored_despite_lost_answers_of_the_store(fault: str, value: int) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        setattr(fleet.faults["n0"], fault, value)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        check_complete_results(job, await read_all(fleet, "n1", job.id, len(job.items)))
        await fleet.stop()

    run_virtual(main())


def test_a_job_is_rejected_and_not_run_if_the_store_rejects_writes() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        for faults in fleet.faults.values():
            faults.refuses = True
        problem = await fleet.nodes["n0"].jobs.submit(make_job())
        assert isinstance(problem, Problem)
        assert DESCRIPTIONS[problem.code].execution is Execution.NOT_RUN
        assert problem.retry_after_s is not None
        for faults in fleet.faults.values():
            faults.refuses = False
        await asyncio.sleep(10.0)
        assert not fleet.back_ends.executions
        await fleet.stop()

    run_virtual(main())


def test_the_outcome_is_unknown_if_the_store_never_answers() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.faults["n0"].is_silent = True
        problem = await fleet.nodes["n0"].jobs.submit(make_job())
        assert isinstance(problem, Problem)
        assert DESCRIPTIONS[problem.code].execution is not Execution.NOT_RUN
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.2, 0.5])
def test_a_job_is_completed_after_its_owner_is_killed(delay_s: float) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 40
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(delay_s)
        await fleet.kill("n0")
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events=40)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("second_owner_is_killed", [False, True])
def test_long_items_resume_from_the_progress_that_a_killed_owner_saved(
    second_owner_is_killed: bool,
) -> None:
    async def main() -> None:
        fleet = Fleet(4)
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 600
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(5.0)
        await fleet.kill("n0")
        if second_owner_is_killed:
            await asyncio.sleep(6.0)
            (second,) = fleet.owners_of(job)
            await fleet.kill(second)
        (name, *_) = fleet.nodes
        check_complete_results(
            job, await read_all(fleet, name, job.id, len(job.items)), num_events=600
        )
        for item in job.items:
            # 50 events per second, saved every 1.5 s; events of the last 1.5 s may be lost.
            assert fleet.back_ends.resumed_after_events[item.id][-1] >= 150
        await fleet.stop()

    run_virtual(main())


def test_items_restart_from_the_beginning_without_saved_progress() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 300
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(2.0)
        keys = [key for key in fleet.core.items if key.startswith(PROGRESS_PREFIX)]
        assert keys
        await fleet.core.make_client().transact([], [], keys)
        await fleet.kill("n0")
        check_complete_results(
            job, await read_all(fleet, "n1", job.id, len(job.items)), num_events=300
        )
        assert {offsets[-1] for offsets in fleet.back_ends.resumed_after_events.values()} == {0}
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_late", [1, 6])
def test_a_new_owner_loads_results_of_late_writes_of_the_former_owner(num_late: int) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        for worker in ("e0", "e1"):
            fleet.back_ends.behaviours[worker] = WorkerBehaviour(work_s=1.2)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await fleet.kill("n0")
        await asyncio.sleep(4.0)
        (owner,) = [node for node in fleet.nodes.values() if node.jobs.owns(job.id)]
        late_results = [ItemResult(item.id, True, "late") for item in job.items[:num_late]]
        late_writer = JobLog(fleet.core.make_client(), "n0#former")
        is_last = num_late == len(job.items)
        assert await late_writer.append(job.id, 0, late_results, is_last) is AppendOutcome.APPENDED
        await asyncio.sleep(SETTLE_TIME_S)
        page = await owner.jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert page.results[:num_late] == late_results
        results = await read_all(fleet, "n1", job.id, len(job.items))
        assert results[:num_late] == late_results
        assert len({result.item_id for result in results}) == len(job.items)
        await fleet.stop()

    run_virtual(main())


def test_a_replaced_owner_stops_the_job_and_reads_results_of_the_new_owner() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        for worker in ("e0", "e1"):
            fleet.back_ends.behaviours[worker] = WorkerBehaviour(work_s=100.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        fleet.faults["n0"].is_silent = True
        await asyncio.sleep(5.5)
        (owner,) = [name for name in ("n1", "n2") if fleet.nodes[name].jobs.owns(job.id)]
        log = JobLog(fleet.core.make_client(), fleet.nodes[owner].owner)
        listed = [ItemResult(job.items[0].id, True, "listed")]
        assert await log.append(job.id, 0, listed, False) is AppendOutcome.APPENDED
        fleet.faults["n0"].is_silent = False
        await asyncio.sleep(7.0)
        assert fleet.owners_of(job) == [owner]
        page = await fleet.nodes["n0"].jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert page.results == listed
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_nodes", [3, 9])
@pytest.mark.parametrize("outage_s", [2.2, 2.6, 3.0, 3.4, 6.0, 9.0])
def test_owners_keep_their_jobs_through_an_outage_of_the_store(
    num_nodes: int, outage_s: float
) -> None:
    async def main() -> None:
        fleet = Fleet(num_nodes)
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 1000
        jobs = {name: make_job(f"j-{name}", num_items=1) for name in fleet.nodes}
        for name, job in jobs.items():
            assert await fleet.nodes[name].jobs.submit(job) is None
        for faults in fleet.faults.values():
            faults.refuses = True
        await asyncio.sleep(outage_s)
        for faults in fleet.faults.values():
            faults.refuses = False
        await asyncio.sleep(8.0)
        for name, job in jobs.items():
            assert fleet.owners_of(job) == [name]
        assert max(fleet.back_ends.executions.values()) == 1
        await fleet.stop()

    run_virtual(main())


def test_a_job_is_completed_after_all_nodes_are_restarted() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 40
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        for name in list(fleet.nodes):
            await fleet.kill(name)
        await asyncio.sleep(0.5)
        for name in ("n0", "n1", "n2"):
            fleet.start(name)
        check_complete_results(
            job, await read_all(fleet, "n1", job.id, len(job.items)), num_events=40
        )
        await fleet.stop()

    run_virtual(main())


def test_a_restarted_node_takes_over_its_jobs_before_its_session_expires() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 40
        job = make_job()
        assert await fleet.nodes["n1"].jobs.submit(job) is None
        await fleet.kill("n1")
        node = fleet.start("n1")
        await asyncio.sleep(0.2)
        assert node.jobs.owns(job.id)
        check_complete_results(
            job, await read_all(fleet, "n2", job.id, len(job.items)), num_events=40
        )
        await fleet.stop()

    run_virtual(main())


def test_jobs_taken_over_before_the_configuration_is_read_give_up_no_item() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 40
        job = make_job()
        assert await fleet.nodes["n1"].jobs.submit(job) is None
        await fleet.kill("n1")
        node = fleet.start("n1", is_configured=False)
        await asyncio.sleep(1.0)
        assert node.jobs.owns(job.id)
        node.configuration_changed(configuration())
        check_complete_results(
            job, await read_all(fleet, "n2", job.id, len(job.items)), num_events=40
        )
        await fleet.stop()

    run_virtual(main())


def test_an_owner_that_lost_its_session_and_a_new_owner_agree_on_results() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 300
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        fleet.faults["n0"].is_silent = True
        await asyncio.sleep(5.5)
        fleet.faults["n0"].is_silent = False
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events=300)
        assert await read_all(fleet, "n0", job.id, len(job.items)) == results
        await asyncio.sleep(3.0)
        assert all(node.jobs.num_running == 0 for node in fleet.nodes.values())
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("ending_node", ["n0", "n1"])
def test_an_ended_job_stops_running_within_a_second(ending_node: str) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 1000
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(1.0)
        assert sum(fleet.back_ends.running.values()) > 0
        assert await fleet.nodes[ending_node].jobs.end(job.id) is None
        assert await fleet.nodes["n2"].jobs.end(job.id) is None
        await asyncio.sleep(1.0)
        assert sum(fleet.back_ends.running.values()) == 0
        assert fleet.nodes["n0"].jobs.num_running == 0
        page = await fleet.nodes["n1"].jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        await fleet.stop()

    run_virtual(main())


def test_an_unknown_job_and_an_unavailable_store_give_different_codes() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        jobs = fleet.nodes["n0"].jobs
        expected = {False: ResultCode.UNKNOWN_JOB, True: ResultCode.JOB_UNSURE}
        for refuses, code in expected.items():
            fleet.faults["n0"].refuses = refuses
            for outcome in (
                await jobs.read("none", 0, 0.0),
                await jobs.item("none", "i"),
                await jobs.end("none"),
            ):
                assert isinstance(outcome, Problem)
                assert outcome.code is code
        await fleet.stop()

    run_virtual(main())


def test_every_node_returns_item_bodies_before_and_after_listing() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job()
        await fleet.nodes["n0"].jobs.submit(job)
        for wait_s in (0.0, 5.0):
            await asyncio.sleep(wait_s)
            for node in fleet.nodes.values():
                assert await node.jobs.item(job.id, "j1.i3") == job.items[3]
                unknown = await node.jobs.item(job.id, "j1.i99")
                assert isinstance(unknown, Problem)
        await fleet.stop()

    run_virtual(main())


def test_items_rejected_by_workers_are_listed_as_given_up() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.behaviours["e0"] = WorkerBehaviour(status=422)
        fleet.back_ends.behaviours["e1"] = WorkerBehaviour(status=422)
        job = make_job()
        await fleet.nodes["n0"].jobs.submit(job)
        results = await read_all(fleet, "n1", job.id, len(job.items))
        assert not any(result.is_complete for result in results)
        assert max(fleet.back_ends.executions.values()) == 1
        await fleet.stop()

    run_virtual(main())


def test_a_failing_scorer_is_tried_as_often_as_its_route_allows() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.behaviours["s0"] = WorkerBehaviour(num_errors=10_000)
        fleet.back_ends.behaviours["s1"] = WorkerBehaviour(num_errors=10_000)
        job = make_job(num_items=2)
        await fleet.nodes["n0"].jobs.submit(job)
        results = await read_all(fleet, "n1", job.id, len(job.items))
        assert not any(result.is_complete for result in results)
        assert fleet.back_ends.executions["j1.s0"] == 3
        await fleet.stop()

    run_virtual(main())


def test_workers_with_older_weights_receive_no_items() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job(min_version=2)
        await fleet.nodes["n0"].jobs.submit(job)
        await asyncio.sleep(5.0)
        assert not fleet.back_ends.executions
        await fleet.stop()

    run_virtual(main())


def test_a_graceful_stop_hands_over_its_jobs() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 400
        job = make_job()
        await fleet.nodes["n0"].jobs.submit(job)
        node = fleet.nodes.pop("n0")
        await stop(node, 8.0)
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events=400)
        await fleet.stop()

    run_virtual(main())


def test_a_graceful_stop_hands_over_the_progress_of_long_items() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 600
        job = make_job()
        await fleet.nodes["n0"].jobs.submit(job)
        await stop(fleet.nodes.pop("n0"), 8.0)
        await asyncio.sleep(1.0)
        assert len(fleet.owners_of(job)) == 1
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events=600)
        for item in job.items[:4]:
            assert fleet.back_ends.resumed_after_events[item.id][-1] >= 200
        await fleet.stop()

    run_virtual(main())


def test_a_stopping_node_is_not_a_preferred_owner() -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=True)
        await asyncio.sleep(1.0)
        job = make_job()
        preferred = fleet.nodes["n0"].live.preferred_owner_address(job) or "n0"
        stopping = asyncio.create_task(stop(fleet.nodes[preferred], 8.0))
        await asyncio.sleep(0.8)
        for node in fleet.nodes.values():
            assert node.live.preferred_owner_address(job) != preferred
        await stopping
        del fleet.nodes[preferred]
        await fleet.stop()

    run_virtual(main())


def test_a_new_owner_resumes_from_progress_that_the_former_owner_cannot_save() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 600
        job = make_job(num_items=4)
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(1.0)
        # Only the owner's connection to the store is cut, so it cannot save its progress.
        fleet.faults["n0"].is_silent = True
        await asyncio.sleep(4.0)
        assert "n0" not in fleet.owners_of(job) or len(fleet.owners_of(job)) == 2
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events=600)
        for item in job.items:
            assert fleet.back_ends.resumed_after_events[item.id][-1] >= 100
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("cause", ["rejected by the store", "stopping"])
def test_a_node_that_cannot_store_a_job_submits_it_to_another(cause: str) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        node = fleet.nodes["n0"]
        if cause == "stopping":
            stopping = asyncio.create_task(stop(node, 8.0))
            await asyncio.sleep(0.1)
        else:
            fleet.faults["n0"].refuses = True
        job = make_job()
        assert await node.jobs.submit(job) is None
        check_complete_results(job, await read_all(fleet, "n1", job.id, len(job.items)))
        if cause == "stopping":
            await stopping
            del fleet.nodes["n0"]
        await fleet.stop()

    run_virtual(main())


def test_a_graceful_stop_finishes_items_that_take_several_seconds() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 230
        job = make_job()
        await fleet.nodes["n0"].jobs.submit(job)
        await asyncio.sleep(0.1)
        await stop(fleet.nodes.pop("n0"), 8.0)
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events=230)
        assert max(fleet.back_ends.executions.values()) == 1
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("store_is_silent", [False, True])
@pytest.mark.parametrize("grace_s", [1.0, 8.0, 60.0])
def test_a_graceful_stop_ends_within_its_grace_period(
    grace_s: float, store_is_silent: bool
) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 10_000
        await fleet.nodes["n0"].jobs.submit(make_job())
        fleet.faults["n0"].is_silent = store_is_silent
        started_s = asyncio.get_running_loop().time()
        node = fleet.nodes.pop("n0")
        await node.begin_stop(grace_s)
        assert asyncio.get_running_loop().time() - started_s <= 0.5 * grace_s
        await node.complete_stop()
        limit = 0.9 if store_is_silent else 0.7
        assert asyncio.get_running_loop().time() - started_s <= limit * grace_s
        await fleet.stop()

    run_virtual(main())
