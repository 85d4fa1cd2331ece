"""Guards against incomplete runs, leaked slots and unbounded retries when workers fail."""

import asyncio
import contextlib
import itertools
import random

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall, NotRunReason
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank
from hollowrack.forwarding.first_event_timeout import FirstEventTimeout
from hollowrack.forwarding.migration import MigrationPolicy
from hollowrack.forwarding.resumable_run import (
    MAX_MIGRATIONS,
    ResumableRun,
    RunEndedError,
    RunEndReason,
    RunLimits,
    VersionedEvent,
)
from hollowrack.forwarding.run_retry_policy import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_OTHER_WORKER_BACKOFF_S,
    RunRetryPolicy,
)
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import make_directory, make_worker

ALL_DATA = [f"q1.{number}" for number in range(1, 5)]


def first_rank() -> DispatchRank:
    return DispatchRank(0)


def make_run(
    back_ends: BackEndsStandin,
    directory: WorkerDirectory,
    min_version: int = 0,
    migration_policy: MigrationPolicy | None = None,
    max_workers: int | None = None,
) -> ResumableRun:
    queue = DispatchQueue(directory)

    async def acquire(avoided: frozenset[WorkerIncarnation], may_begin: Eligible | None) -> Worker:
        condition = may_begin or (lambda _: True)
        return await queue.acquire("svc", first_rank, condition, avoided)

    call = BackEndCall("q1", "POST", "/a/x", (), b"")
    return ResumableRun(
        call,
        back_ends,
        directory,
        acquire,
        lambda _: None,
        lambda version: version is None or version >= min_version,
        RunLimits(3, FirstEventTimeout(0.5, 1.0), 0.5, 30.0, max_workers),
        Quarantine(back_ends),
        migration_policy=migration_policy,
    )


async def events_of(run: ResumableRun) -> list[VersionedEvent]:
    return [event async for event in run.events()]


@pytest.mark.parametrize(
    "fault",
    [
        WorkerBehaviour(breaks_after_events=0),
        WorkerBehaviour(breaks_after_events=2),
        WorkerBehaviour(refusal=NotRunReason.BUSY),
        WorkerBehaviour(refusal=NotRunReason.UNREACHABLE),
        WorkerBehaviour(refusal=NotRunReason.REPLACED),
        WorkerBehaviour(num_lost_answers=50),
        WorkerBehaviour(is_silent=True),
        WorkerBehaviour(work_s=5.0),
        WorkerBehaviour(num_errors=2),
        WorkerBehaviour(status=504),
    ],
    ids=lambda fault: str(fault)[16:60],
)
def test_run_completes_at_healthy_worker_after_fault(fault: WorkerBehaviour) -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": fault, "w1": WorkerBehaviour(weight_version=2)})
        directory = make_directory(make_worker("w0"))
        run = asyncio.create_task(events_of(make_run(back_ends, directory)))
        await asyncio.sleep(0.2)
        directory.update(make_worker("w1"))
        events = await run
        assert [event.event.data for event in events] == ALL_DATA
        num_from_first = 2 if fault.breaks_after_events == 2 else 0
        assert [event.weight_version for event in events] == [1] * num_from_first + [2] * (
            4 - num_from_first
        )
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


def test_outdated_weight_version_is_not_used() -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w1": WorkerBehaviour(weight_version=7)})
        directory = make_directory(make_worker("w0"), make_worker("w1"))
        events = await events_of(make_run(back_ends, directory, min_version=5))
        assert {event.weight_version for event in events} == {7}

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "end", "num_runs"),
    [
        (WorkerBehaviour(status=422), RunEndReason.REJECTED, 1),
        (WorkerBehaviour(num_errors=99), RunEndReason.FAILED_TOO_OFTEN, 3),
    ],
)
def test_run_that_cannot_be_completed_ends(
    fault: WorkerBehaviour, end: RunEndReason, num_runs: int
) -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": fault})
        directory = make_directory(make_worker("w0"))
        with pytest.raises(RunEndedError) as raised:
            await events_of(make_run(back_ends, directory))
        assert raised.value.reason is end
        assert back_ends.executions["q1"] == num_runs

    run_virtual(main())


def test_closed_run_releases_its_slot_at_once() -> None:
    async def main() -> None:
        back_ends = BackEndsStandin()
        directory = make_directory(make_worker("w0"))
        run = make_run(back_ends, directory)
        async with contextlib.aclosing(run.events()) as events:
            async for _ in events:
                break
        await asyncio.sleep(0)
        assert back_ends.running["w0"] == 0
        assert directory.num_in_flight(directory.all()[0]) == 0

    run_virtual(main())


def test_slots_are_assigned_in_order_of_rank() -> None:
    async def main() -> None:
        directory = make_directory(make_worker("w0", capacity=1))
        queue = DispatchQueue(directory)
        order: list[int] = []

        async def work(rank: int) -> None:
            worker = await queue.acquire(
                "svc", lambda: DispatchRank(rank), lambda _: True, frozenset()
            )
            order.append(rank)
            await asyncio.sleep(0.1)
            directory.release_slot(worker)

        tasks = [asyncio.create_task(work(rank)) for rank in (3, 1, 2, 0)]
        await asyncio.sleep(0.05)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert order == [0, 2, 3]
        assert directory.num_in_flight(directory.all()[0]) == 0

    run_virtual(main())


def test_first_event_timeout_follows_longest_recent_latency() -> None:
    timeout = FirstEventTimeout(0.5, 3.0)
    assert timeout.value_s == 3.0
    for _ in range(20):
        timeout.record(0.01)
    assert timeout.value_s == 0.5
    timeout.record(0.4)
    assert timeout.value_s == 1.0
    timeout.record(9.0)
    assert timeout.value_s == 3.0


def test_run_leaves_worker_that_became_slow() -> None:
    async def main() -> None:
        slow = WorkerBehaviour(work_s=0.2)
        back_ends = BackEndsStandin({"w0": slow, "w1": WorkerBehaviour(work_s=0.02)})
        back_ends.num_events = 100
        directory = make_directory(make_worker("w0"))
        run = asyncio.create_task(events_of(make_run(back_ends, directory)))
        await asyncio.sleep(1.0)
        directory.update(make_worker("w1"))
        for _ in range(8):
            directory.record_latency(make_worker("w1"), 0.02)
        events = await run
        assert [event.event.data for event in events] == [f"q1.{n}" for n in range(1, 101)]
        assert back_ends.worker_ids_by_request["q1"] == ["w0", "w1"]
        assert sum(back_ends.running.values()) == 0

    run_virtual(main())


class AlwaysMigrate:
    """Policy that migrates a run to the worker ``fast`` as soon as it has a free slot."""

    def __init__(self, queue: DispatchQueue) -> None:
        self._queue = queue

    def is_worthwhile(self, worker: Worker, num_events: int) -> bool:
        return worker.id != "fast" and num_events > 0

    async def acquire_faster(self, worker: Worker, num_events: int) -> Worker:
        del worker, num_events
        return await self._queue.acquire("svc", first_rank, lambda w: w.id == "fast", frozenset())


@pytest.mark.parametrize("free_after_s", [0.0, 0.5, 30.0])
def test_run_migrates_once_faster_worker_has_free_slot(free_after_s: float) -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(work_s=0.05)})
        back_ends.num_events = 60
        directory = make_directory(make_worker("w0"), make_worker("fast", capacity=1))
        fast = make_worker("fast", capacity=1)
        directory.reserve_slot(fast)
        asyncio.get_running_loop().call_later(free_after_s, directory.release_slot, fast)
        policy = AlwaysMigrate(DispatchQueue(directory))
        run = make_run(back_ends, directory, migration_policy=policy)
        events = await events_of(run)
        assert [event.event.data for event in events] == [f"q1.{n}" for n in range(1, 61)]
        has_migrated = free_after_s < 3.0
        assert back_ends.worker_ids_by_request["q1"] == (["w0", "fast"] if has_migrated else ["w0"])
        await asyncio.sleep(40.0)
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


@pytest.mark.parametrize("after_s", [0.3, 0.52, 0.6])
def test_cancelled_run_releases_its_migration_slot(after_s: float) -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(work_s=0.05)})
        back_ends.num_events = 600
        fast = make_worker("fast", capacity=1)
        directory = make_directory(make_worker("w0"), fast)
        directory.reserve_slot(fast)
        asyncio.get_running_loop().call_later(0.5, directory.release_slot, fast)
        policy = AlwaysMigrate(DispatchQueue(directory))
        run = asyncio.create_task(
            events_of(make_run(back_ends, directory, migration_policy=policy))
        )
        await asyncio.sleep(after_s)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        await asyncio.sleep(1.0)
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


def test_run_leaves_slow_worker_after_maximum_of_migrations() -> None:
    class MigrateToAnother(AlwaysMigrate):
        """Policy that migrates a run at every check."""

        def is_worthwhile(self, worker: Worker, num_events: int) -> bool:
            return True

        async def acquire_faster(self, worker: Worker, num_events: int) -> Worker:
            avoided = frozenset({worker.id})
            return await self._queue.acquire("svc", first_rank, lambda _: True, avoided)

    async def main() -> None:
        behaviours = {name: WorkerBehaviour(work_s=0.02) for name in ("w0", "w1")}
        back_ends = BackEndsStandin(behaviours)
        back_ends.num_events = 200
        directory = make_directory(make_worker("w0"), make_worker("w1"))
        run = make_run(
            back_ends, directory, migration_policy=MigrateToAnother(DispatchQueue(directory))
        )
        events = asyncio.create_task(events_of(run))
        await asyncio.sleep(1.5)
        current = back_ends.worker_ids_by_request["q1"][-1]
        assert len(back_ends.worker_ids_by_request["q1"]) == 1 + MAX_MIGRATIONS
        behaviours[current].work_s = 0.2
        assert len(await events) == 200
        assert back_ends.worker_ids_by_request["q1"][-1] != current

    run_virtual(main())


def test_slow_worker_is_avoided_and_tried_again_later() -> None:
    async def main() -> None:
        directory = make_directory(make_worker("w0"), make_worker("w1"))
        for _ in range(20):
            directory.record_latency(make_worker("w0"), 0.2)
            directory.record_latency(make_worker("w1"), 0.02)
        chosen = {getattr(directory.choose("svc"), "id", None) for _ in range(20)}
        assert chosen == {"w1"}
        await asyncio.sleep(60.0)
        chosen = {getattr(directory.choose("svc"), "id", None) for _ in range(50)}
        assert chosen == {"w0", "w1"}

    run_virtual(main())


@pytest.mark.parametrize(("num_workers", "max_attempts"), [(1, 22), (4, 22), (40, 22)])
def test_run_that_every_worker_fails_is_retried_with_backoff(
    num_workers: int, max_attempts: int
) -> None:
    async def main() -> None:
        names = [f"w{index}" for index in range(num_workers)]
        behaviours = {name: WorkerBehaviour(breaks_after_events=0) for name in names}
        back_ends = BackEndsStandin(behaviours)
        directory = make_directory(*(make_worker(name) for name in names))
        run = asyncio.create_task(events_of(make_run(back_ends, directory)))
        await asyncio.sleep(30.0)
        assert 10 <= back_ends.executions["q1"] <= max_attempts
        for behaviour in behaviours.values():
            behaviour.breaks_after_events = None
        async with asyncio.timeout(MAX_BACKOFF_S + 1.0 + num_workers * 0.1):
            events = await run
        assert [event.event.data for event in events] == ALL_DATA
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


def test_failing_worker_does_not_delay_retry_at_healthy_worker() -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(breaks_after_events=0)})
        directory = make_directory(make_worker("w0"))
        run = asyncio.create_task(events_of(make_run(back_ends, directory)))
        await asyncio.sleep(20.0)
        directory.update(make_worker("w1"))
        async with asyncio.timeout(0.6):
            assert len(await run) == len(ALL_DATA)

    run_virtual(main())


def test_event_resets_backoff() -> None:
    async def backoff_of(policy: RunRetryPolicy, worker: Worker) -> float:
        policy.record_no_progress(worker)
        started_s = now_s()
        while not policy.may_begin(worker):  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.005)
        return now_s() - started_s

    async def main() -> None:
        worker, other = make_worker("w0"), make_worker("w1")
        policy = RunRetryPolicy(3, None, lambda _: True, random.Random(1))
        backoffs_s = [await backoff_of(policy, worker) for _ in range(9)]
        assert backoffs_s[0] < INITIAL_BACKOFF_S + 0.01
        assert all(later > earlier for earlier, later in itertools.pairwise(backoffs_s[:6]))
        assert max(backoffs_s) < MAX_BACKOFF_S + 0.01
        policy.record_no_progress(worker)
        await asyncio.sleep(MAX_OTHER_WORKER_BACKOFF_S)
        assert policy.may_begin(other)
        assert not policy.may_begin(worker)
        policy.record_progress()
        assert await backoff_of(policy, worker) < INITIAL_BACKOFF_S + 0.01

    run_virtual(main())


def test_route_limits_number_of_workers_of_stream() -> None:
    async def main() -> None:
        names = [f"w{index}" for index in range(8)]
        behaviours = {name: WorkerBehaviour(breaks_after_events=0) for name in names}
        back_ends = BackEndsStandin(behaviours)
        directory = make_directory(*(make_worker(name) for name in names))
        run = make_run(back_ends, directory, max_workers=3)
        events = asyncio.create_task(events_of(run))
        await asyncio.sleep(10.0)
        tried = set(back_ends.worker_ids_by_request["q1"])
        assert len(tried) == 3
        # Removed and unreachable workers do not count towards the limit.
        removed, unreachable, _ = sorted(tried)
        directory.remove(removed)
        back_ends.crash(make_worker(unreachable))
        await asyncio.sleep(20.0)
        assert len(set(back_ends.worker_ids_by_request["q1"])) == 5
        events.cancel()
        await asyncio.gather(events, return_exceptions=True)
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


@pytest.mark.parametrize(("max_workers", "num_runs"), [(1, 1), (2, 2)])
def test_stream_stays_at_slow_worker_if_no_other_is_allowed(
    max_workers: int, num_runs: int
) -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(work_s=0.2)})
        back_ends.num_events = 60
        directory = make_directory(make_worker("w0"))
        run = make_run(back_ends, directory, max_workers=max_workers)
        events = asyncio.create_task(events_of(run))
        await asyncio.sleep(1.0)
        directory.update(make_worker("w1"))
        for _ in range(8):
            directory.record_latency(make_worker("w1"), 0.02)
        assert len(await events) == 60
        assert back_ends.executions["q1"] == num_runs

    run_virtual(main())
