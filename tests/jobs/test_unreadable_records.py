"""Guards against one unreadable record in the store that stops a node or loses a job."""

import asyncio

import pytest

from hollowrack.coordination.store import Put, Unknown
from hollowrack.jobs.job_log import ENDS_PREFIX, OPEN_PREFIX, JobLog, log_prefix
from hollowrack.jobs.live_state import (
    CAPACITY_KEY,
    LEADER_KEY,
    LIVE_PREFIX,
    OWNERS_PREFIX,
    SUSPECTS_PREFIX,
    USAGE_KEY,
)
from hollowrack.jobs.progress import progress_prefix
from hollowrack.jobs.types import ItemResult
from hollowrack.messages import codec
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import Fleet, check_complete_results, make_job

UNREADABLE = (b"", b"\xff\xfe", b"\x81" * 5000, b"\x83\x01djob.x\x00", codec.encode(make_job()))
KEYS = (
    LEADER_KEY + "-last",
    OPEN_PREFIX + "other",
    OPEN_PREFIX + "%ff%00",
    ENDS_PREFIX + "other",
    OWNERS_PREFIX + "n9#1",
    SUSPECTS_PREFIX + "s",
    USAGE_KEY,
    CAPACITY_KEY,
    LIVE_PREFIX + "unknown",
    progress_prefix("j1") + "w/000001",
    progress_prefix("j1") + "w",
)


async def read_all_results(
    fleet: Fleet, node: str, job_id: str, num_items: int
) -> list[ItemResult]:
    async with asyncio.timeout(60.0):
        while True:
            page = await fleet.nodes[node].jobs.read(job_id, 0, 0.5)
            if not isinstance(page, Problem) and len(page.results) == num_items:
                return page.results
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("value", UNREADABLE, ids=lambda value: value[:4].hex() or "empty")
def test_a_job_is_taken_over_and_completed_despite_unreadable_records(value: bytes) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 40
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        fleet.core.transact([], [Put(key, value) for key in KEYS], [])
        await asyncio.sleep(0.5)
        await fleet.kill("n0")
        check_complete_results(
            job, await read_all_results(fleet, "n1", job.id, len(job.items)), num_events=40
        )
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("owner_survives", [True, False])
def test_a_job_with_an_unreadable_owner_entry_continues(owner_survives: bool) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(5.0)
        fleet.back_ends.num_events = 400
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(0.5)
        fleet.core.transact([], [Put(OPEN_PREFIX + job.id, b"\xff\xfe")], [])
        await asyncio.sleep(2.0)
        assert fleet.owners_of(job) == ["n0"]
        if not owner_survives:
            await fleet.kill("n0")
        check_complete_results(
            job, await read_all_results(fleet, "n1", job.id, len(job.items)), num_events=400
        )
        await fleet.stop()

    run_virtual(main())


def test_no_node_leads_while_the_leader_key_is_unreadable(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(5.0)
        fleet.core.transact([], [Put(LEADER_KEY, b"\xff\xfe")], [])
        await asyncio.sleep(5.0)
        nodes = fleet.nodes.values()
        assert not any(node.leadership.may_act for node in nodes)
        assert all(node.live.leader_address() is None for node in nodes)
        fleet.core.transact([], [], [LEADER_KEY])
        await asyncio.sleep(8.0)
        assert sum(node.leadership.may_act for node in nodes) == 1
        await fleet.stop()

    run_virtual(main())
    assert f"[{int(ResultCode.ENTRY_UNREADABLE)} ENTRY_UNREADABLE] at '{LEADER_KEY}'" in caplog.text


@pytest.mark.parametrize("value", UNREADABLE, ids=lambda value: value[:4].hex() or "empty")
def test_a_job_with_an_unreadable_batch_is_unsure_and_blocks_no_other(
    value: bytes,
) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 40
        damaged, intact = make_job("j0"), make_job("j1")
        for job in (damaged, intact):
            assert await fleet.nodes["n0"].jobs.submit(job) is None
        await fleet.kill("n0")
        puts = [Put(log_prefix("j0") + "00000000", value), Put(log_prefix("j1") + "x", value)]
        fleet.core.transact([], puts, [])
        check_complete_results(intact, await read_all_results(fleet, "n1", "j1", 6), num_events=40)
        assert isinstance(await JobLog(fleet.core.make_client(), "n1").read_results("j0"), Unknown)
        for name in fleet.nodes:
            page = await fleet.nodes[name].jobs.read("j0", 0, 0.0)
            assert isinstance(page, Problem)
            assert page.code is ResultCode.JOB_UNSURE
        # Once the unreadable batch is removed, the job resumes from there.
        fleet.core.transact([], [], [log_prefix("j0") + "00000000"])
        check_complete_results(damaged, await read_all_results(fleet, "n1", "j0", 6), num_events=40)
        await fleet.stop()

    run_virtual(main())
