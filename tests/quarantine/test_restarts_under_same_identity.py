"""Guards against crashing requests whose workers restart under the same identity."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.jobs.job_service import ResultPage
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import make_job
from tests.quarantine.helpers import (
    CRASHING,
    MAX_CRASHES,
    MAX_LATE_RUNS,
    PROPAGATION_TIMEOUT_S,
    RESTART_DELAY_S,
    CrashingFleet,
    is_success,
)

FLEET_STARTUP_S = 3.0
# A restart before nodes notice the crash.
IMMEDIATE_RESTART_S = 0.01


@pytest.mark.parametrize("restart_delay_s", [IMMEDIATE_RESTART_S, RESTART_DELAY_S])
def test_request_that_crashes_one_worker_repeatedly_is_stopped(restart_delay_s: float) -> None:
    async def main() -> None:
        fleet = CrashingFleet(
            3, num_scorers=1, keeps_identities=True, restart_delay_s=restart_delay_s
        )
        await asyncio.sleep(FLEET_STARTUP_S)
        attempts = await fleet.send_repeatedly(CRASHING, seconds=40.0, interval_s=1.0)
        assert fleet.num_crashes() <= MAX_CRASHES + MAX_LATE_RUNS
        assert fleet.num_late_runs(attempts) == 0
        assert {crash.worker.id for crash in fleet.back_ends.crashes} == {"s0"}
        for node in fleet.nodes:
            refused = (await fleet.send(node, CRASHING)).outcome
            assert isinstance(refused, Problem)
            assert refused.code is ResultCode.REQUEST_QUARANTINED
            assert is_success((await fleet.send(node, b"harmless")).outcome)
        await fleet.stop()

    run_virtual(main())


def test_item_that_crashes_restarting_engines_is_stopped_and_others_complete() -> None:
    async def main() -> None:
        fleet = CrashingFleet(
            3, num_engines=2, keeps_identities=True, restart_delay_s=IMMEDIATE_RESTART_S
        )
        await asyncio.sleep(FLEET_STARTUP_S)
        job = make_job(num_items=12)
        items = (replace(job.items[0], body=CRASHING), *job.items[1:])
        job = replace(job, items=items)
        node = fleet.nodes["n0"]
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(20.0)
        page = await node.jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert {result.item_id for result in page.results} == {item.id for item in items[1:]}
        assert all(result.is_complete for result in page.results)
        assert fleet.num_crashes() == MAX_CRASHES
        await fleet.stop()

    run_virtual(main())


def test_new_node_knows_crashes_of_incarnations_from_the_store() -> None:
    async def main() -> None:
        fleet = CrashingFleet(2, num_scorers=1, keeps_identities=True)
        await asyncio.sleep(FLEET_STARTUP_S)
        await fleet.send_repeatedly(CRASHING, seconds=20.0, interval_s=1.0)
        assert fleet.num_crashes() == MAX_CRASHES
        fleet.start("late")
        await asyncio.sleep(PROPAGATION_TIMEOUT_S)
        refused = (await fleet.send("late", CRASHING)).outcome
        assert isinstance(refused, Problem)
        assert refused.code is ResultCode.REQUEST_QUARANTINED
        await fleet.stop()

    run_virtual(main())
