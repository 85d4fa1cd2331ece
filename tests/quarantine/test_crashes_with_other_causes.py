"""Guards against sound requests that are quarantined for worker crashes which they did not cause.

Model workers crashed one after the other for reasons of their own and came back at once. Items that
happened to run at three of them were quarantined on all nodes for an hour, although each worker had
sent events of them before it crashed: "quarantined for 3600 s, workers crashed under it: ..." after
events 5, 17 and 18. Their jobs ran out of time, and so did later jobs that brought the items back.

Requests that crash their workers are sent beside them, as both bounds must hold at once.
"""

import asyncio
import random
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.types import Job
from hollowrack.quarantine.registry import QUARANTINE_CRASH_THRESHOLD, SuspectRegistry
from hollowrack.quarantine.types import CrashTiming, crash_timing
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import make_job
from tests.platform.helpers import until
from tests.quarantine.helpers import (
    CRASHING,
    MAX_CRASHES,
    MAX_LATE_RUNS,
    PROPAGATION_TIMEOUT_S,
    CrashingFleet,
)

FLEET_STARTUP_S = 3.0
WORKER_DOWN_S = 0.4
CRASH_AFTER_S = 0.5
NUM_LONG_EVENTS = 300


def with_crashing_items(job: Job, num_crashing: int) -> Job:
    """Return a job with distinct items, the last of which crash their workers."""
    num_sound = len(job.items) - num_crashing
    items = tuple(
        replace(
            item,
            target=f"/m/{number}",
            body=f"prompt {number}".encode() if number < num_sound else CRASHING,
        )
        for number, item in enumerate(job.items)
    )
    return replace(job, items=items)


async def crash_workers_of(fleet: CrashingFleet, item_id: str, num_crashes: int) -> None:
    """Crash the worker that runs an item a while after each start, so many times."""
    runs = fleet.back_ends.worker_ids_by_request
    for number in range(num_crashes):
        await until(lambda seen=number: len(runs.get(item_id, ())) > seen)  # type: ignore[misc]
        await asyncio.sleep(CRASH_AFTER_S)
        worker = fleet.present.get(runs[item_id][-1])
        if worker is not None:
            fleet.back_ends.crash(worker)


async def completed_items(fleet: CrashingFleet, job: Job) -> set[str]:
    """Return the complete items of a job, as any node lists them."""
    node = next(iter(fleet.nodes.values()))
    page = await node.jobs.read(job.id, 0, 0.0)
    assert isinstance(page, ResultPage)
    return {result.item_id for result in page.results if result.is_complete}


def num_late_crashes(fleet: CrashingFleet) -> int:
    """Return the crashes under the crashing request when all nodes must know of the third."""
    late_from_s = fleet.third_crash_s() + PROPAGATION_TIMEOUT_S
    return sum(
        crash.body == CRASHING and crash.at_s > late_from_s for crash in fleet.back_ends.crashes
    )


@pytest.mark.parametrize("num_crashes", [3, 4, 5])
def test_item_completes_after_crashes_of_other_cause(num_crashes: int) -> None:
    """Guards against an item that waits in quarantine, also in the next job that brings it back."""

    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3, restart_delay_s=WORKER_DOWN_S)
        await asyncio.sleep(FLEET_STARTUP_S)
        job = with_crashing_items(make_job(num_items=6), 0)
        long_item = job.items[0].id
        fleet.back_ends.num_events_of[long_item] = NUM_LONG_EVENTS
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await crash_workers_of(fleet, long_item, num_crashes)
        await asyncio.sleep(NUM_LONG_EVENTS * 0.02 + 1.0)
        assert await completed_items(fleet, job) == {item.id for item in job.items}
        again = replace(job, id="j2")
        assert await fleet.nodes["n1"].jobs.submit(again) is None
        await asyncio.sleep(NUM_LONG_EVENTS * 0.02 + 1.0)
        assert await completed_items(fleet, again) == {item.id for item in job.items}
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_crashing", [1, 3])
@pytest.mark.parametrize("num_crashes", [3, 4])
def test_sound_and_crashing_items_of_one_job_keep_both_bounds(
    num_crashing: int, num_crashes: int
) -> None:
    """Guards against a bound on crashing items that stops sound ones, and against the reverse."""

    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3, restart_delay_s=WORKER_DOWN_S)
        await asyncio.sleep(FLEET_STARTUP_S)
        job = with_crashing_items(make_job(num_items=12), num_crashing)
        long_item = job.items[0].id
        fleet.back_ends.num_events_of[long_item] = NUM_LONG_EVENTS
        callers = [
            asyncio.create_task(fleet.send_repeatedly(CRASHING, seconds=12.0, interval_s=1.0))
            for _ in range(2)
        ]
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await crash_workers_of(fleet, long_item, num_crashes)
        await asyncio.sleep(NUM_LONG_EVENTS * 0.02 + 6.0)
        sound = {item.id for item in job.items if item.body != CRASHING}
        assert await completed_items(fleet, job) == sound
        attempts = [attempt for sent in await asyncio.gather(*callers) for attempt in sent]
        assert fleet.num_late_runs(attempts) <= MAX_LATE_RUNS
        engine_crashes = [
            crash
            for crash in fleet.back_ends.crashes
            if crash.body == CRASHING and crash.worker.service == "engines"
        ]
        assert len(engine_crashes) <= MAX_CRASHES * num_crashing
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_events", [1, 10, 60])
def test_item_that_crashes_workers_after_output_is_stopped(num_events: int) -> None:
    """Guards against progress that clears a request which crashes each of its workers."""

    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3, restart_delay_s=WORKER_DOWN_S)
        await asyncio.sleep(FLEET_STARTUP_S)
        fleet.back_ends.crashing_bodies.clear()
        fleet.back_ends.crashing_after_events[CRASHING] = num_events
        job = with_crashing_items(make_job(num_items=8), 1)
        fleet.back_ends.num_events_of[job.items[-1].id] = 20 * num_events
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(28.0)
        assert fleet.num_crashes() <= MAX_CRASHES + MAX_LATE_RUNS
        assert await completed_items(fleet, job) == {item.id for item in job.items[:-1]}
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(8))
def test_drawn_crashes_beside_crashing_items(seed: int) -> None:
    """Guards both bounds while workers crash in series and the owner of the job changes."""

    async def main() -> None:
        rng = random.Random(seed)
        fleet = CrashingFleet(num_nodes=3, restart_delay_s=rng.uniform(0.2, 0.8))
        await asyncio.sleep(FLEET_STARTUP_S)
        job = with_crashing_items(make_job(num_items=24), rng.randint(0, 2))
        for item in job.items:
            fleet.back_ends.num_events_of[item.id] = rng.randint(10, 80)
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        end_s = now_s() + 4.0
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            (owner,) = fleet.owners_of(job)
            await fleet.kill(owner)
        while now_s() < end_s:
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            engines = [w for w in fleet.present.values() if w.service == "engines"]
            fleet.back_ends.crash(rng.choice(engines))
        await asyncio.sleep(20.0)
        sound = {item.id for item in job.items if item.body != CRASHING}
        assert await completed_items(fleet, job) >= sound
        assert num_late_crashes(fleet) <= MAX_LATE_RUNS
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    ("timings", "is_quarantined"),
    [
        ([CrashTiming.AT_START] * 2, False),
        ([CrashTiming.AT_START] * 3, True),
        ([CrashTiming.LATER] * 5, False),
        ([CrashTiming.LATER] * 6, True),
        ([CrashTiming.AT_START] * 2 + [CrashTiming.LATER], False),
        ([CrashTiming.AT_START] * 2 + [CrashTiming.LATER] * 2, True),
    ],
)
def test_late_retries_are_bounded_for_every_mix_of_crashes(
    timings: list[CrashTiming], is_quarantined: bool
) -> None:
    """Guards against more than three retries after the third crash, whatever its evidence."""

    async def main() -> None:
        registry = SuspectRegistry()
        for number, timing in enumerate(timings):
            registry.record_crash("f", WorkerIncarnation(f"w{number}"), False, timing)
        assert (registry.quarantine_state("f") is not None) is is_quarantined
        assert len(timings) <= QUARANTINE_CRASH_THRESHOLD + MAX_LATE_RUNS

    run_virtual(main())


@pytest.mark.parametrize(
    ("has_output", "duration_s", "timing"),
    [
        (False, 0.06, CrashTiming.AT_START),
        (True, 0.06, CrashTiming.LATER),
        (False, 2.0, CrashTiming.LATER),
    ],
)
def test_timing_of_a_crash(has_output: bool, duration_s: float, timing: CrashTiming) -> None:
    """Guards against crashes under long plain requests that count as caused by their start."""
    assert crash_timing(has_output, duration_s) is timing


def test_long_plain_request_is_not_quarantined_for_crashes_of_other_cause() -> None:
    """Guards plain requests, which have no output before they are complete."""

    async def main() -> None:
        fleet = CrashingFleet(num_nodes=2, restart_delay_s=WORKER_DOWN_S)
        await asyncio.sleep(FLEET_STARTUP_S)
        fleet.back_ends.work_time_factors[b"long"] = 70.0
        for node in ("n0", "n1", "n0"):
            sent = asyncio.create_task(fleet.send(node, b"long"))
            await asyncio.sleep(0.05)
            (first,) = (w for w in fleet.present.values() if fleet.back_ends.running[w.id])
            await asyncio.sleep(1.2)
            fleet.back_ends.crash(first)
            await sent
            await asyncio.sleep(WORKER_DOWN_S + 0.1)
        assert len(fleet.back_ends.crashes) == MAX_CRASHES
        assert all(node.quarantine.registry.num_quarantined == 0 for node in fleet.nodes.values())
        await fleet.stop()

    run_virtual(main())
