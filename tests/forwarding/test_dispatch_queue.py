"""Guards against slots assigned out of rank order and against a search for each waiter."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.dispatch_queue import DispatchQueue, any_worker
from hollowrack.forwarding.dispatch_rank import DispatchRank, Usefulness, WorkKind
from hollowrack.forwarding.dispatch_statistics import WaitKind
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_worker

NUM_WAITERS = 300
NUM_WORKERS = 44


@dataclass(frozen=True)
class HasVersion:
    """Condition that compares by value, so that waiters share searches."""

    version: int

    def __call__(self, worker: Worker) -> bool:
        return worker.model_versions.get("m", 0) >= self.version


def make_full_directory(num_full: int) -> WorkerDirectory:
    """Create workers of which the first ``num_full`` are full and the others much slower."""
    workers = [
        make_worker(f"w{index}", capacity=1, versions={"m": 1}) for index in range(NUM_WORKERS)
    ]
    directory = make_directory(*workers)
    for index, worker in enumerate(workers):
        for _ in range(8):
            directory.record_latency(worker, 0.02 if index < num_full else 0.2)
    for worker in workers[:num_full]:
        directory.reserve_slot(worker)
    return directory


def record_searches(directory: WorkerDirectory, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record each search among all workers of a service."""
    searches: list[str] = []
    choose_for_run = directory.choose_for_run

    def recording(
        service: str,
        excluded: Collection[WorkerIncarnation],
        is_eligible: Eligible,
        limit: Callable[[Worker], int],
    ) -> Worker | None:
        searches.append(service)
        return choose_for_run(service, excluded, is_eligible, limit)

    monkeypatch.setattr(directory, "choose_for_run", recording)
    return searches


@pytest.mark.parametrize(
    ("num_full", "version", "max_searches_per_pass"),
    [(NUM_WORKERS, 1, 0), (NUM_WORKERS - 4, 2, 0), (NUM_WORKERS - 4, 1, 2)],
    ids=["no free slot", "free slots at ineligible workers", "free slots at much slower workers"],
)
def test_equal_waiters_share_one_search(
    num_full: int, version: int, max_searches_per_pass: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        directory = make_full_directory(num_full)
        queue = DispatchQueue(directory)
        searches = record_searches(directory, monkeypatch)
        waiting = [
            asyncio.create_task(
                queue.acquire(
                    "svc",
                    lambda: DispatchRank(0),
                    HasVersion(version),
                    frozenset({WorkerIncarnation("w0")}) if index % 3 == 0 else frozenset(),
                )
            )
            for index in range(NUM_WAITERS)
        ]
        await asyncio.sleep(0.01)
        num_changes = 100
        for _ in range(num_changes):
            directory.update(directory.all()[0])
            await asyncio.sleep(0.01)
        assert queue.num_waiting == NUM_WAITERS
        # One pass after the waiters were added; each change may coincide with a periodic pass.
        assert len(searches) <= max_searches_per_pass * (1 + 2 * num_changes)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert queue.num_waiting == 0

    run_virtual(main())


def test_eligible_waiter_gets_slot_past_ineligible_waiters() -> None:
    async def main() -> None:
        old = make_worker("old", capacity=1, versions={"m": 1})
        directory = make_directory(make_worker("new", capacity=1, versions={"m": 2}), old)
        queue = DispatchQueue(directory)
        directory.reserve_slot(make_worker("new"))
        wants_new = asyncio.create_task(
            queue.acquire("svc", lambda: DispatchRank(0), HasVersion(2), frozenset())
        )
        wants_any = asyncio.create_task(
            queue.acquire("svc", lambda: DispatchRank(1), HasVersion(1), frozenset({"old"}))
        )
        await asyncio.sleep(0.2)
        assert not wants_new.done()
        assert wants_any.result() == old
        wants_new.cancel()

    run_virtual(main())


def test_streams_go_before_items_of_same_priority_only() -> None:
    stream = DispatchRank(1, WorkKind.CALLER_STREAM)
    urgent_item = DispatchRank(0, WorkKind.JOB_ITEM, Usefulness.SURPLUS)
    item = DispatchRank(1, WorkKind.JOB_ITEM, due_s=0.0, negated_tokens_left=-999)
    assert sorted([item, stream, urgent_item]) == [urgent_item, stream, item]


def test_waiters_are_sorted_again_after_rank_change() -> None:
    async def main() -> None:
        worker = make_worker("w0", capacity=1)
        directory = make_directory(worker)
        directory.reserve_slot(worker)
        queue = DispatchQueue(directory)
        ranks = {"a": 0, "b": 1}
        order: list[str] = []

        async def work(name: str) -> None:
            await queue.acquire(
                "svc", lambda: DispatchRank(0, group_rank=ranks[name]), HasVersion(0), frozenset()
            )
            order.append(name)
            directory.release_slot(worker)

        tasks = [asyncio.create_task(work(name)) for name in ranks]
        await asyncio.sleep(0.3)
        load = queue.waiting_by_service()["svc"]
        assert load.num_waiting == 2
        assert load.oldest_wait_s == pytest.approx(0.3)
        ranks["a"] = 2
        queue.invalidate_ranks()
        directory.release_slot(worker)
        await asyncio.gather(*tasks)
        assert order == ["b", "a"]
        waits = queue.statistics.waits[WaitKind.NODE_QUEUE]
        assert sum(waits.counts) == 2
        assert waits.sum_s == pytest.approx(0.6)
        assert not queue.waiting_by_service()

    run_virtual(main())


@dataclass(frozen=True)
class Request:
    """Arguments of one waiter."""

    condition: HasVersion
    avoided: frozenset[str]


NAMES = ["w0", "w1", "w2", "w3"]
WORKERS = st.lists(
    st.tuples(st.integers(1, 2), st.integers(1, 2), st.booleans(), st.booleans()),
    min_size=1,
    max_size=len(NAMES),
)
REQUESTS = st.lists(
    st.builds(
        Request,
        st.builds(HasVersion, st.integers(1, 2)),
        st.frozensets(st.sampled_from(NAMES), max_size=2),
    ),
    max_size=8,
)


def make_mixed_directory(workers: list[tuple[int, int, bool, bool]]) -> WorkerDirectory:
    """Create workers from tuples of capacity, version, whether slow and whether backing off."""
    directory = make_directory()
    for name, (capacity, version, is_slow, is_backing_off) in zip(NAMES, workers, strict=False):
        worker = make_worker(name, capacity=capacity, versions={"m": version})
        directory.update(worker)
        for _ in range(8):
            directory.record_latency(worker, 0.2 if is_slow else 0.02)
        if is_backing_off:
            directory.record_busy(worker)
    return directory


def search_one_by_one(directory: WorkerDirectory, requests: list[Request]) -> list[str | None]:
    """Return the worker that a separate search for each waiter finds."""
    workers_found: list[str | None] = []
    for request in requests:
        worker = directory.choose_for_run("svc", request.avoided, request.condition)
        if worker is None:
            worker = directory.choose_for_run("svc", (), request.condition)
        if worker is not None:
            directory.reserve_slot(worker)
        workers_found.append(None if worker is None else worker.id)
    return workers_found


@given(WORKERS, REQUESTS)
def test_shared_searches_assign_the_same_workers(
    workers: list[tuple[int, int, bool, bool]], requests: list[Request]
) -> None:
    async def main() -> None:
        queue = DispatchQueue(make_mixed_directory(workers))
        waiting = [
            asyncio.create_task(
                queue.acquire("svc", lambda: DispatchRank(0), request.condition, request.avoided)
            )
            for request in requests
        ]
        await asyncio.sleep(0.001)
        found = [task.result().id if task.done() else None for task in waiting]
        assert found == search_one_by_one(make_mixed_directory(workers), requests)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    run_virtual(main())


class NoSlots:
    """Limits of a node that has no slots at any worker."""

    def limit(self, worker: Worker) -> int:
        return 0

    def notify_waiting(self) -> None:
        return


def test_slot_limits_do_not_apply_to_streams() -> None:
    async def main() -> None:
        queue = DispatchQueue(make_directory(make_worker("w0", capacity=1)))
        queue.limits = NoSlots()
        item = DispatchRank(0, WorkKind.JOB_ITEM)
        waiting = asyncio.create_task(queue.acquire("svc", lambda: item, any_worker, frozenset()))
        stream = DispatchRank(5, WorkKind.CALLER_STREAM)
        worker = await queue.acquire("svc", lambda: stream, any_worker, frozenset())
        assert worker.id == "w0"
        await asyncio.sleep(1.0)
        assert not waiting.done()
        waiting.cancel()

    run_virtual(main())
