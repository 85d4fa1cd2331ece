"""A crashing request whose workers come back under their identities ends three of their lives."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.jobs.job_service import ResultPage
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import make_job
from tests.quarantine.helpers import (
    CONTACT_S,
    CRASHING,
    DOWN_S,
    MAX_ENDS,
    MAX_LATE_RUNS,
    CrashingFleet,
    is_good,
)

SETTLE_S = 3.0
# Workers that are back before anything else is noticed.
AT_ONCE_S = 0.01


@pytest.mark.parametrize("down_s", [AT_ONCE_S, DOWN_S])
def test_a_look_up_that_ends_one_worker_again_and_again_is_stopped(down_s: float) -> None:
    async def main() -> None:
        fleet = CrashingFleet(3, num_scorers=1, keeps_identities=True, down_s=down_s)
        await asyncio.sleep(SETTLE_S)
        tries = await fleet.send_again_and_again(CRASHING, seconds=40.0, pause_s=1.0)
        assert fleet.num_ends() <= MAX_ENDS + MAX_LATE_RUNS
        assert fleet.num_late_runs(tries) == 0
        assert {end.worker.id for end in fleet.back_ends.ends} == {"s0"}
        for node in fleet.nodes:
            refused = (await fleet.send(node, CRASHING)).outcome
            assert isinstance(refused, Problem)
            assert refused.code is ResultCode.REQUEST_QUARANTINED
            assert is_good((await fleet.send(node, b"sound")).outcome)
        await fleet.stop()

    run_virtual(main())


def test_an_item_that_ends_the_lives_of_its_engines_is_stopped_and_the_others_are_not() -> None:
    async def main() -> None:
        fleet = CrashingFleet(3, num_engines=2, keeps_identities=True, down_s=AT_ONCE_S)
        await asyncio.sleep(SETTLE_S)
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
        assert fleet.num_ends() == MAX_ENDS
        await fleet.stop()

    run_virtual(main())


def test_a_node_that_starts_knows_the_ends_of_lives_from_the_store() -> None:
    async def main() -> None:
        fleet = CrashingFleet(2, num_scorers=1, keeps_identities=True)
        await asyncio.sleep(SETTLE_S)
        await fleet.send_again_and_again(CRASHING, seconds=20.0, pause_s=1.0)
        assert fleet.num_ends() == MAX_ENDS
        fleet.start("late")
        await asyncio.sleep(CONTACT_S)
        refused = (await fleet.send("late", CRASHING)).outcome
        assert isinstance(refused, Problem)
        assert refused.code is ResultCode.REQUEST_QUARANTINED
        await fleet.stop()

    run_virtual(main())
