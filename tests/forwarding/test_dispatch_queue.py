"""Many waiters before few places: who goes first, and how little looking that takes."""

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
    """A condition that many waiters share by value."""

    version: int

    def __call__(self, worker: Worker) -> bool:
        return worker.model_versions.get("m", 0) >= self.version


def make_full_directory(num_full: int) -> WorkerDirectory:
    """Workers of which the first are full and the others much slower."""
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


def count_looks(directory: WorkerDirectory, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record each look at all workers of a service."""
    looks: list[str] = []
    choose_place = directory.choose_for_run

    def counted(
        service: str,
        excluded: Collection[WorkerIncarnation],
        is_eligible: Eligible,
        limit: Callable[[Worker], int],
    ) -> Worker | None:
        looks.append(service)
        return choose_place(service, excluded, is_eligible, limit)

    monkeypatch.setattr(directory, "choose_for_run", counted)
    return looks


@pytest.mark.parametrize(
    ("num_full", "version", "most_looks_a_pass"),
    [(NUM_WORKERS, 1, 0), (NUM_WORKERS - 4, 2, 0), (NUM_WORKERS - 4, 1, 2)],
    ids=["no room", "room at workers that will not do", "room at much slower workers"],
)
def test_waiters_that_need_the_same_share_one_look(
    num_full: int, version: int, most_looks_a_pass: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        directory = make_full_directory(num_full)
        queue = DispatchQueue(directory)
        looks = count_looks(directory, monkeypatch)
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
        # One pass for those that came, and a change may fall beside a look at a pause that ended.
        assert len(looks) <= most_looks_a_pass * (1 + 2 * num_changes)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert queue.num_waiting == 0

    run_virtual(main())


def test_a_waiter_that_only_a_slow_worker_suits_gets_it_past_those_that_it_does_not_suit() -> None:
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


def test_streams_of_callers_go_before_items_of_the_same_priority_and_not_of_a_higher_one() -> None:
    stream = DispatchRank(1, WorkKind.CALLER_STREAM)
    urgent_item = DispatchRank(0, WorkKind.JOB_ITEM, Usefulness.SURPLUS)
    item = DispatchRank(1, WorkKind.JOB_ITEM, due_s=0.0, minus_tokens_left=-999)
    assert sorted([item, stream, urgent_item]) == [urgent_item, stream, item]


def test_waiters_are_sorted_again_when_their_ranks_have_changed() -> None:
    async def main() -> None:
        worker = make_worker("w0", capacity=1)
        directory = make_directory(worker)
        directory.reserve_slot(worker)
        queue = DispatchQueue(directory)
        places = {"a": 0, "b": 1}
        order: list[str] = []

        async def work(name: str) -> None:
            await queue.acquire(
                "svc", lambda: DispatchRank(0, group_rank=places[name]), HasVersion(0), frozenset()
            )
            order.append(name)
            directory.release_slot(worker)

        tasks = [asyncio.create_task(work(name)) for name in places]
        await asyncio.sleep(0.3)
        load = queue.waiting_by_service()["svc"]
        assert load.num_waiting == 2
        assert load.oldest_wait_s == pytest.approx(0.3)
        places["a"] = 2
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
class Want:
    """What one waiter needs."""

    condition: HasVersion
    avoided: frozenset[str]


NAMES = ["w0", "w1", "w2", "w3"]
WORKERS = st.lists(
    st.tuples(st.integers(1, 2), st.integers(1, 2), st.booleans(), st.booleans()),
    min_size=1,
    max_size=len(NAMES),
)
WANTS = st.lists(
    st.builds(
        Want,
        st.builds(HasVersion, st.integers(1, 2)),
        st.frozensets(st.sampled_from(NAMES), max_size=2),
    ),
    max_size=8,
)


def make_site(workers: list[tuple[int, int, bool, bool]]) -> WorkerDirectory:
    """Workers by capacity, version, whether they are slow and whether they have just refused."""
    directory = make_directory()
    for name, (capacity, version, is_slow, is_paused) in zip(NAMES, workers, strict=False):
        worker = make_worker(name, capacity=capacity, versions={"m": version})
        directory.update(worker)
        for _ in range(8):
            directory.record_latency(worker, 0.2 if is_slow else 0.02)
        if is_paused:
            directory.record_busy(worker)
    return directory


def place_one_by_one(directory: WorkerDirectory, wants: list[Want]) -> list[str | None]:
    """What a look for each waiter by itself finds."""
    places: list[str | None] = []
    for want in wants:
        worker = directory.choose_for_run("svc", want.avoided, want.condition)
        if worker is None:
            worker = directory.choose_for_run("svc", (), want.condition)
        if worker is not None:
            directory.reserve_slot(worker)
        places.append(None if worker is None else worker.id)
    return places


@given(WORKERS, WANTS)
def test_sharing_looks_changes_no_place(
    workers: list[tuple[int, int, bool, bool]], wants: list[Want]
) -> None:
    async def main() -> None:
        queue = DispatchQueue(make_site(workers))
        waiting = [
            asyncio.create_task(
                queue.acquire("svc", lambda: DispatchRank(0), want.condition, want.avoided)
            )
            for want in wants
        ]
        await asyncio.sleep(0.001)
        found = [task.result().id if task.done() else None for task in waiting]
        assert found == place_one_by_one(make_site(workers), wants)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    run_virtual(main())


class NoSlots:
    """A node that has no share of any worker."""

    def limit(self, worker: Worker) -> int:
        return 0

    def notify_waiting(self) -> None:
        return


def test_a_callers_stream_is_bound_by_no_share_of_slots() -> None:
    async def main() -> None:
        queue = DispatchQueue(make_directory(make_worker("w0", capacity=1)))
        queue.limits = NoSlots()
        item = DispatchRank(0, WorkKind.JOB_ITEM)
        waiting = asyncio.create_task(queue.acquire("svc", lambda: item, any_worker, frozenset()))
        stream = DispatchRank(5, WorkKind.CALLER_STREAM)
        place = await queue.acquire("svc", lambda: stream, any_worker, frozenset())
        assert place.id == "w0"
        await asyncio.sleep(1.0)
        assert not waiting.done()
        waiting.cancel()

    run_virtual(main())
