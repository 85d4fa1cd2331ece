"""Guards against jobs lost, run twice or delayed when a node is stopped while the store fails."""

import asyncio
import hashlib
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.coordination.store import Committed, Put
from hollowrack.edge_node import EdgeNode
from hollowrack.jobs.handover_schedule import END_FRACTION, HandoverSchedule
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.live_state import OWNERS_PREFIX
from hollowrack.jobs.placement import NodeEntry
from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import check_complete_results, make_job
from tests.jobs.recording_fleet import RecordingFleet
from tests.jobs.test_job_service import read_all, stop

GRACE_S = 8.0
DRAIN_DEADLINE_S = 0.65 * GRACE_S
EVENTS_PER_S = 50
# Digests of the calls that the code before the retries made.
CALLS_DIGESTS = {
    20: "605a369372834c97ef55021dbdbea27c",
    250: "47c4073f897eb11268a9153a88aae84e",
    400: "7bae15eeb9770e2f7619ec729e01bbd4",
}


async def start_job(num_events: int, event_s: float = 0.02) -> tuple[RecordingFleet, Job]:
    """Start three nodes, the first of which owns a job."""
    fleet = RecordingFleet()
    for worker in ("e0", "e1"):
        fleet.back_ends.behaviours[worker] = WorkerBehaviour(work_s=event_s)
    await asyncio.sleep(1.0)
    fleet.back_ends.num_events = num_events
    job = make_job()
    assert await fleet.nodes["n0"].jobs.submit(job) is None
    await asyncio.sleep(0.5)
    return fleet, job


def fail_store(fleet: RecordingFleet, kind: str, has_failed: bool) -> None:
    """Make the store refuse all calls, or leave them unanswered, or answer them again."""
    for faults in fleet.faults.values():
        setattr(faults, kind, has_failed)


async def stop_and_remove(fleet: RecordingFleet, name: str) -> float:
    """Stop a node gracefully; returns how long that took, in seconds."""
    started_s = now_s()
    await stop(fleet.nodes[name], GRACE_S)
    del fleet.nodes[name]
    return now_s() - started_s


@given(
    st.floats(0.5, 120.0),
    st.lists(st.floats(0.0, 2.0), min_size=200, max_size=200),
    st.integers(0, 1000),
)
def test_attempts_end_in_time_whatever_each_of_them_takes(
    grace_s: float, durations_s: list[float], seed: int
) -> None:
    schedule = HandoverSchedule(100.0, grace_s, random.Random(seed))
    now = schedule.drain_deadline_s
    num_attempts = 0
    for duration_s in durations_s:
        timeout_s = schedule.timeout_s(now)
        assert 0.0 < timeout_s <= schedule.attempt_timeout_s
        now += min(duration_s, timeout_s)
        assert now <= 100.0 + END_FRACTION * grace_s + 1e-6
        num_attempts += 1
        start_s = schedule.next_start_s(now)
        if start_s is None:
            break
        assert start_s > now
        now = start_s
    # At most one attempt in 0.35 s after the first three, so that a failing store is not loaded.
    window_s = schedule.end_s - schedule.drain_deadline_s
    assert num_attempts <= 4 + window_s / 0.35


def test_an_attempt_late_in_the_window_is_made_after_each_failure() -> None:
    """An outage that ends shortly before the end of the window must not cost the handover."""
    for seed in range(50):
        schedule = HandoverSchedule(0.0, GRACE_S, random.Random(seed))
        starts_s = [schedule.drain_deadline_s]
        while (start_s := schedule.next_start_s(starts_s[-1] + 0.002)) is not None:
            starts_s.append(start_s)
        assert starts_s[-1] == pytest.approx(0.9 * GRACE_S - 0.15)


@pytest.mark.parametrize("kind", ["refuses", "is_silent"])
@pytest.mark.parametrize("end_s", [5.4, 5.9, 6.1])
def test_a_job_is_handed_over_once_the_store_answers_again(kind: str, end_s: float) -> None:
    """Before, the handover was tried once, and the text since the last save was lost."""

    async def main() -> None:
        fleet, job = await start_job(1000)
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        # Sessions outlive an outage of 1 s.
        await asyncio.sleep(end_s - 1.0)
        fail_store(fleet, kind, True)
        await asyncio.sleep(1.0)
        fail_store(fleet, kind, False)
        assert fleet.owners_of(job) == ["n0"]
        assert await stopping <= 0.9 * GRACE_S + 0.1
        await asyncio.sleep(1.2 if kind == "refuses" else 2.5)
        (owner,) = fleet.owners_of(job)
        results = await read_all(fleet, owner, job.id, len(job.items))
        check_complete_results(job, results, num_events=1000)
        fleet.check_only_owners_list(job.id)
        for item in job.items:
            assert len(fleet.back_ends.resumed_after_events[item.id]) == 2
            # Items ran on until the store was back; only events of the call itself may be missing.
            num_resumed = fleet.back_ends.resumed_after_events[item.id][-1]
            assert num_resumed >= EVENTS_PER_S * (end_s + 0.3)
        await fleet.stop()

    run_virtual(main())


def make_uneven(fleet: RecordingFleet, job: Job, shortest: int, longest: int) -> None:
    """Give the items of a job different lengths, so that results are listed all the time."""
    step = (longest - shortest) // len(job.items)
    for index, item in enumerate(job.items):
        fleet.back_ends.num_events_of[item.id] = shortest + index * step


@pytest.mark.parametrize("late_by_s", [0.1, 0.7, 1.4])
@pytest.mark.parametrize("num_writes", [1, 2, 3])
@pytest.mark.parametrize("fault", ["num_lost_answers", "num_late_writes"])
def test_one_owner_lists_after_a_handover_with_an_unknown_outcome(
    fault: str, num_writes: int, late_by_s: float
) -> None:
    """Any of the writes around the handover may be applied late, or applied without an answer."""

    async def main() -> None:
        for start_s in (DRAIN_DEADLINE_S - 0.5, DRAIN_DEADLINE_S - 0.001):
            fleet = RecordingFleet()
            await asyncio.sleep(1.0)
            job = make_job(num_items=12)
            make_uneven(fleet, job, 240, 480)
            assert await fleet.nodes["n0"].jobs.submit(job) is None
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
            await asyncio.sleep(start_s)
            fleet.faults["n0"].late_by_s = late_by_s
            setattr(fleet.faults["n0"], fault, num_writes)
            assert await stopping <= 0.95 * GRACE_S
            results = await read_all(fleet, "n1", job.id, len(job.items))
            fleet.check_only_owners_list(job.id)
            assert len({result.item_id for result in results}) == len(job.items)
            assert all(result.is_complete for result in results)
            await asyncio.sleep(5.0)
            assert not any(node.jobs.num_running for node in fleet.nodes.values())
            await fleet.stop()

    run_virtual(main())


def test_a_job_that_was_handed_over_without_an_answer_is_stopped_at_once() -> None:
    async def main() -> None:
        # With so few events there is no progress to be saved: the first write is the handover.
        fleet, job = await start_job(1000, event_s=0.5)
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        await asyncio.sleep(DRAIN_DEADLINE_S - 0.01)
        fleet.faults["n0"].num_lost_answers = 1
        await asyncio.sleep(0.4)
        assert "n0" not in fleet.owners_of(job)
        await stopping
        await asyncio.sleep(1.0)
        assert len(fleet.owners_of(job)) == 1
        fleet.check_only_owners_list(job.id)
        await fleet.stop()

    run_virtual(main())


def test_results_finished_during_an_outage_are_listed_before_the_handover() -> None:
    """Otherwise the next owner generates them again."""

    async def main() -> None:
        fleet = RecordingFleet()
        await asyncio.sleep(1.0)
        job = make_job()
        finished = {item.id for item in job.items[:3]}
        for item in job.items:
            fleet.back_ends.num_events_of[item.id] = 270 if item.id in finished else 1000
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        await asyncio.sleep(5.0)
        fail_store(fleet, "refuses", True)
        await asyncio.sleep(1.0)
        fail_store(fleet, "refuses", False)
        await stopping
        await asyncio.sleep(1.3)
        (owner,) = fleet.owners_of(job)
        assert len(await read_all(fleet, owner, job.id, len(job.items))) == len(job.items)
        assert all(fleet.back_ends.executions[item_id] == 1 for item_id in finished)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("kind", ["refuses", "is_silent"])
def test_a_read_that_waits_at_a_stopping_owner_is_answered_during_an_outage(kind: str) -> None:
    """The front end cancels requests that are open 7.5 s after the signal."""

    async def main() -> None:
        fleet, job = await start_job(1000)
        node = fleet.nodes["n0"]
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        await asyncio.sleep(3.4)
        fail_store(fleet, kind, True)
        page = await node.jobs.read(job.id, 0, 30.0)
        assert isinstance(page, ResultPage)
        assert now_s() - 1.5 <= DRAIN_DEADLINE_S + 0.7
        await stopping
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("grace_s", [1.0, 4.0, 8.0, 60.0])
@pytest.mark.parametrize(
    "cause_fault",
    [
        lambda faults: setattr(faults, "is_silent", True),
        lambda faults: setattr(faults, "refuses", True),
        lambda faults: setattr(faults, "delay_s", 0.55),
        lambda faults: setattr(faults, "num_lost_answers", 1000),
        lambda faults: setattr(faults, "num_late_writes", 1000),
    ],
    ids=["silent", "refuses", "slow", "loses answers", "applies late"],
)
@pytest.mark.parametrize("leads", [False, True])
def test_a_stop_ends_in_time_whatever_the_store_does(
    grace_s: float, cause_fault: Callable[[object], None], leads: bool
) -> None:
    async def main() -> None:
        fleet = RecordingFleet()
        await asyncio.sleep(5.0)
        fleet.back_ends.num_events = 10_000
        (leader,) = [name for name, node in fleet.nodes.items() if node.leadership.is_leader]
        other = next(name for name in fleet.nodes if name != leader)
        name = leader if leads else other
        for index in range(3):
            assert await fleet.nodes[name].jobs.submit(make_job(f"j{index}")) is None
        cause_fault(fleet.faults[name])
        started_s = now_s()
        node: EdgeNode = fleet.nodes.pop(name)
        await node.begin_stop(grace_s)
        assert now_s() - started_s <= 0.5 * grace_s + 0.001
        await node.complete_stop()
        assert now_s() - started_s <= 0.95 * grace_s + 0.001
        await fleet.stop()

    run_virtual(main())


def test_a_failing_store_receives_few_calls_for_many_jobs() -> None:
    async def main() -> None:
        fleet = RecordingFleet()
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 10_000
        for index in range(12):
            assert await fleet.nodes["n0"].jobs.submit(make_job(f"j{index}", 2)) is None
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        await asyncio.sleep(DRAIN_DEADLINE_S + 0.1)
        fail_store(fleet, "refuses", True)
        fleet.calls.clear()
        await stopping
        calls = [call for call in fleet.calls if " n0 write " in call]
        assert len(calls) <= 12
        await fleet.stop()

    run_virtual(main())


def test_a_job_is_not_handed_over_to_a_process_that_has_just_announced_its_stop() -> None:
    """Such a process takes no jobs, so the job would wait until that process has ended."""

    async def main() -> None:
        fleet, job = await start_job(1000)
        node = fleet.nodes["n0"]
        successor = node.live.successor(job)
        assert successor is not None
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        await asyncio.sleep(DRAIN_DEADLINE_S - 0.005)
        name = successor.partition("#")[0]
        session = fleet.nodes[name].session
        assert session.lease is not None
        entry = codec.encode(NodeEntry(name, 0.0, "z1"))
        put = Put(OWNERS_PREFIX + successor, entry, session.lease)
        assert isinstance(fleet.core.transact([], [put], []), Committed)
        await stopping
        await asyncio.sleep(1.3)
        (owner,) = fleet.owners_of(job)
        assert owner != name
        await fleet.stop()

    run_virtual(main())


def test_a_stop_is_announced_once_the_store_answers_again() -> None:
    """Otherwise other nodes choose the stopping process for jobs that it does not run."""

    async def main() -> None:
        fleet, _ = await start_job(1000)
        stopping = asyncio.create_task(stop_and_remove(fleet, "n0"))
        fleet.faults["n0"].refuses = True
        await asyncio.sleep(1.2)
        fleet.faults["n0"].refuses = False
        await asyncio.sleep(2.0)
        owner = fleet.nodes["n0"].owner
        assert fleet.nodes["n1"].live.nodes[owner].num_cores == 0.0
        await stopping
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_events", sorted(CALLS_DIGESTS))
def test_calls_and_times_are_as_before_while_the_store_answers(num_events: int) -> None:
    """The digests were taken from the code without retries."""

    async def main() -> str:
        fleet, job = await start_job(num_events)
        await fleet.nodes["n0"].jobs.submit(make_job("j2", 4))
        duration_s = await stop_and_remove(fleet, "n0")
        await asyncio.sleep(1.95)
        # Calls of one point in time are in no particular order.
        state = (sorted(fleet.calls), round(duration_s, 6), fleet.owners_of(job))
        results = await read_all(fleet, "n1", job.id, len(job.items))
        check_complete_results(job, results, num_events)
        await fleet.stop()
        return hashlib.blake2b(repr(state).encode(), digest_size=16).hexdigest()

    assert run_virtual(main()) == CALLS_DIGESTS[num_events]
