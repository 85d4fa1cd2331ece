"""Guards against requests that crash worker after worker, across attempts, nodes and restarts.

Also guards against quarantining harmless requests that were interrupted by such crashes.
"""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.live_state import SUSPECTS_PREFIX
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import make_job
from tests.quarantine.helpers import (
    CRASHING,
    MAX_LATE_RUNS,
    PROPAGATION_TIMEOUT_S,
    RESTART_DELAY_S,
    CrashingFleet,
    is_success,
)

FLEET_STARTUP_S = 3.0


def test_crashing_request_is_stopped_at_all_nodes() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=12)
        await asyncio.sleep(FLEET_STARTUP_S)
        attempts = await fleet.send_repeatedly(CRASHING, seconds=60.0, interval_s=1.0)
        assert fleet.num_late_runs(attempts) <= MAX_LATE_RUNS
        harmless = [await fleet.send(node, b"harmless") for node in fleet.nodes]
        assert all(is_success(attempt.outcome) for attempt in harmless)
        await fleet.stop()

    run_virtual(main())


def test_crashing_item_is_stopped_and_other_items_complete() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(FLEET_STARTUP_S)
        job = make_job(num_items=12)
        items = (replace(job.items[0], body=CRASHING), *job.items[1:])
        job = replace(job, items=items)
        node = fleet.nodes["n0"]
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(24.0)
        page = await node.jobs.read(job.id, 0, 0.0)
        assert not hasattr(page, "code")
        # The item's deadline has not passed, so that it is pending; the others are complete.
        assert {result.item_id for result in page.results} == {item.id for item in items[1:]}
        assert all(result.is_complete for result in page.results)
        late_crashes = [
            crash
            for crash in fleet.back_ends.crashes
            if crash.at_s > fleet.third_crash_s() + PROPAGATION_TIMEOUT_S
        ]
        assert len(late_crashes) <= MAX_LATE_RUNS
        await fleet.stop()

    run_virtual(main())


def test_crashes_of_attempts_at_two_nodes_add_up() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=2)
        await asyncio.sleep(FLEET_STARTUP_S)
        await fleet.send("n0", CRASHING)
        await fleet.send("n1", CRASHING)
        assert fleet.num_crashes() == 3
        await asyncio.sleep(PROPAGATION_TIMEOUT_S)
        for node in fleet.nodes:
            refused = (await fleet.send(node, CRASHING)).outcome
            assert isinstance(refused, Problem)
            assert refused.code is ResultCode.REQUEST_QUARANTINED
            assert DESCRIPTIONS[refused.code].execution is Execution.NOT_RUN
            assert refused.retry_after_s is not None
            assert refused.retry_after_s > 60.0
        assert fleet.num_crashes() == 3
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("is_killed", [False, True])
def test_third_crash_is_the_last_one_even_if_the_first_node_is_killed(is_killed: bool) -> None:
    """Guards against crashes known only to a killed node, and retries before a crash is proved."""

    async def main() -> None:
        fleet = CrashingFleet(num_nodes=2)
        await asyncio.sleep(FLEET_STARTUP_S)
        await fleet.send("n0", CRASHING)
        await asyncio.sleep(0.05)
        if is_killed:
            await fleet.kill("n0")
            fleet.start("n0")
        await asyncio.sleep(RESTART_DELAY_S + 0.5)
        await fleet.send("n1", CRASHING)
        assert fleet.num_crashes() == 3
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("fault", ["disconnected", "restarted", "all restarted"])
def test_number_of_crashes_is_bounded_despite_node_faults(fault: str) -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=6)
        await asyncio.sleep(FLEET_STARTUP_S)
        caller = asyncio.create_task(fleet.send_repeatedly(CRASHING, 40.0, 1.0))
        await asyncio.sleep(0.3)
        affected = ["n0", "n1"] if fault != "all restarted" else list(fleet.nodes)
        if fault == "disconnected":
            for name in affected:
                fleet.faults[name].is_silent = True
            await asyncio.sleep(12.0)
            for name in affected:
                fleet.faults[name].is_silent = False
        else:
            await asyncio.sleep(4.0)
            for name in affected:
                await fleet.kill(name)
                fleet.start(name)
        recovered_s = now_s() + PROPAGATION_TIMEOUT_S
        attempts = await caller
        # Disconnected nodes count only the crashes that they observe themselves.
        others = [
            attempt
            for attempt in attempts
            if attempt.node not in affected or attempt.sent_s > recovered_s
        ]
        assert fleet.num_late_runs(others) <= MAX_LATE_RUNS
        assert fleet.num_crashes() <= 3 + 3 * len(affected)
        await fleet.stop()

    run_virtual(main())


def test_twenty_concurrent_crashing_requests_are_all_stopped() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=4)
        bodies = [f"crashing {number}".encode() for number in range(20)]
        fleet.back_ends.crashing_bodies.update(bodies)
        await asyncio.sleep(FLEET_STARTUP_S)
        await asyncio.gather(*(fleet.send_repeatedly(body, 120.0, 2.0) for body in bodies))
        assert all(fleet.num_crashes(body) <= 3 + MAX_LATE_RUNS for body in bodies)
        await asyncio.sleep(10.0)
        harmless = [await fleet.send(node, b"harmless") for node in fleet.nodes]
        assert all(is_success(attempt.outcome) for attempt in harmless)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_crashing", [1, 4])
@pytest.mark.parametrize("seed", range(4))
def test_items_next_to_crashing_ones_are_not_quarantined(num_crashing: int, seed: int) -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        fleet.back_ends.num_events = 18
        await asyncio.sleep(FLEET_STARTUP_S + 0.01 * seed)
        job = make_job(num_items=52)
        items = tuple(
            replace(
                item,
                target=f"/m/{number}",
                body=CRASHING if number < num_crashing else f"prompt {number}".encode(),
            )
            for number, item in enumerate(job.items)
        )
        job = replace(job, items=items)
        node = fleet.nodes["n0"]
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(20.0)
        page = await node.jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert {result.item_id for result in page.results} == {
            item.id for item in items[num_crashing:]
        }
        assert fleet.num_crashes() <= 3 * num_crashing
        await fleet.stop()

    run_virtual(main())


def test_item_stays_quarantined_when_its_job_changes_owner_twice() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(FLEET_STARTUP_S)
        job = make_job(num_items=4)
        job = replace(job, items=(replace(job.items[0], body=CRASHING), *job.items[1:]))
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(0.2)
        for _ in range(2):
            (owner,) = fleet.owners_of(job)
            await fleet.kill(owner)
            await asyncio.sleep(8.0)
        late_crashes = [
            crash
            for crash in fleet.back_ends.crashes
            if crash.at_s > fleet.third_crash_s() + PROPAGATION_TIMEOUT_S
        ]
        assert len(late_crashes) <= MAX_LATE_RUNS
        await fleet.stop()

    run_virtual(main())


def test_crashing_scorer_call_is_stopped() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(FLEET_STARTUP_S)
        job = make_job(num_items=4)
        scorer = job.items[0].scorer
        assert scorer is not None
        crashing = replace(job.items[0], scorer=replace(scorer, body=CRASHING))
        job = replace(job, items=(crashing, *job.items[1:]))
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(20.0)
        assert fleet.num_crashes() <= 3 + MAX_LATE_RUNS
        page = await fleet.nodes["n0"].jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert len(page.results) == 3
        await fleet.stop()

    run_virtual(main())


def test_popular_request_is_not_quarantined_when_its_workers_are_lost_together() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=6)
        await asyncio.sleep(FLEET_STARTUP_S)
        callers = [
            asyncio.create_task(fleet.send_repeatedly(b"popular", 14.0, 0.01)) for _ in range(12)
        ]
        for _ in range(2):
            await asyncio.sleep(5.0)
            for worker in list(fleet.present.values()):
                if worker.service == "scorers":
                    fleet.back_ends.crash(worker)
        await asyncio.gather(*callers)
        refused = [
            attempt
            for attempts in callers
            for attempt in attempts.result()
            if isinstance(attempt.outcome, Problem)
            and attempt.outcome.code is ResultCode.REQUEST_QUARANTINED
        ]
        assert refused == []
        last = [await fleet.send(node, b"popular") for node in fleet.nodes]
        assert all(is_success(attempt.outcome) for attempt in last)
        await fleet.stop()

    run_virtual(main())


def test_successful_traffic_causes_no_store_call() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(FLEET_STARTUP_S)
        (worker, *_) = (worker for worker in fleet.present.values() if worker.service == "scorers")
        callers = [
            fleet.send_repeatedly(f"harmless {number}".encode(), 6.0, 0.1) for number in range(8)
        ]
        asyncio.get_running_loop().call_later(2.0, fleet.back_ends.crash, worker)
        await asyncio.gather(*callers)
        assert not [key for key in fleet.core.items if key.startswith(SUSPECTS_PREFIX)]
        await fleet.stop()

    run_virtual(main())
