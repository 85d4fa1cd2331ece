"""Guards against results listed twice or reordered by concurrent, lost or late writes."""

import asyncio
import random

import pytest

from hollowrack.coordination.store import NotDone, StoredItem, Unknown
from hollowrack.jobs.job_log import (
    OPEN_PREFIX,
    AppendOutcome,
    CreateOutcome,
    JobLog,
    OpenJob,
    StoredJob,
    join_batches,
)
from hollowrack.jobs.types import ItemResult, Job, JobItem, ResultBatch
from hollowrack.messages import codec
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import (
    CoordinationStoreCore,
    StoreFaults,
)


def make_job(num_items: int = 6, body: bytes = b"b") -> Job:
    items = tuple(JobItem(f"i{index}", "/m/x", (), body) for index in range(num_items))
    return Job("job/1 ?", "h.example", "/m/", items)


def make_result(index: int, writer: str) -> ItemResult:
    return ItemResult(f"i{index}", True, f"text of {index} by {writer}")


def test_a_job_is_stored_once_and_read_back_complete() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        log = JobLog(core.make_client(), "n1")
        job = make_job(body=b"x" * 400_000)
        assert await log.load(job.id) is None
        assert await log.create(job) is CreateOutcome.CREATED
        assert await JobLog(core.make_client(), "n2").create(job) is CreateOutcome.EXISTS
        stored = await log.load(job.id)
        assert isinstance(stored, StoredJob)
        assert stored.job == job
        assert await log.owner_of(job.id) == "n1"

    run_virtual(main())


def test_a_job_too_large_for_one_write_is_rejected() -> None:
    async def main() -> None:
        log = JobLog(CoordinationStoreCore().make_client(), "n1")
        assert await log.create(make_job(20, b"x" * 1_000_000)) is CreateOutcome.TOO_LARGE

    run_virtual(main())


@pytest.mark.parametrize(
    ("faults", "outcome", "is_stored"),
    [
        (StoreFaults(refuses=True), CreateOutcome.NOT_DONE, False),
        (StoreFaults(is_silent=True), CreateOutcome.UNKNOWN, False),
        (StoreFaults(num_lost_answers=1), CreateOutcome.UNKNOWN, True),
        (StoreFaults(num_late_writes=1), CreateOutcome.UNKNOWN, True),
    ],
)
def test_the_reported_outcome_of_a_write_is_correct(
    faults: StoreFaults, outcome: CreateOutcome, is_stored: bool
) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        assert await JobLog(core.make_client(faults), "n1").create(make_job()) is outcome
        await asyncio.sleep(5.0)
        stored = await JobLog(core.make_client(), "n2").load(make_job().id)
        assert isinstance(stored, StoredJob) is is_stored

    run_virtual(main())


def test_a_claim_succeeds_only_against_the_owner_entry_it_has_read() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        logs = [JobLog(core.make_client(), f"n{index}") for index in range(3)]
        await logs[0].create(make_job())
        (stored_item,) = [item for key, item in core.items.items() if key.startswith(OPEN_PREFIX)]
        previous = OpenJob(make_job().id, stored_item.value.decode(), stored_item.revision)
        assert await logs[1].claim(previous)
        assert not await logs[2].claim(previous)
        assert await logs[2].owner_of(make_job().id) == "n1"

    run_virtual(main())


class Writer:
    """A node that lists results as owner of the job, under random faults of the store."""

    def __init__(self, core: CoordinationStoreCore, name: str, num_items: int, seed: int) -> None:
        self.faults = StoreFaults()
        self.name = name
        self._log = JobLog(core.make_client(self.faults), name)
        self._rng = random.Random(f"{seed}{name}")
        self._num_items = num_items
        self._listed: list[ItemResult] = []

    async def run(self, job_id: str) -> None:
        while len(self._listed) < self._num_items:
            self._choose_faults()
            listed_ids = {result.item_id for result in self._listed}
            missing = [index for index in range(self._num_items) if f"i{index}" not in listed_ids]
            self._rng.shuffle(missing)
            batch = [make_result(index, self.name) for index in missing[: self._rng.randint(1, 3)]]
            position = len(self._listed)
            is_last = position + len(batch) == self._num_items
            outcome = await self._log.append(job_id, position, batch, is_last)
            if outcome is AppendOutcome.APPENDED:
                self._listed = [*self._listed, *batch]
            else:
                listed = await self._log.read_results(job_id)
                if not isinstance(listed, NotDone | Unknown):
                    self._listed = listed
            await asyncio.sleep(self._rng.uniform(0, 0.2))

    def _choose_faults(self) -> None:
        self.faults.refuses = self._rng.random() < 0.1
        self.faults.num_lost_answers = int(self._rng.random() < 0.2)
        self.faults.num_late_writes = int(self._rng.random() < 0.2)
        self.faults.late_by_s = self._rng.uniform(0.5, 5.0)


@pytest.mark.parametrize("seed", range(40))
def test_concurrent_writers_list_each_item_once_and_change_no_position(seed: int) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        num_items = 12
        job = make_job(num_items)
        reader = JobLog(core.make_client(), "reader")
        await reader.create(job)
        writers = [Writer(core, f"n{index}", num_items, seed) for index in range(3)]
        tasks = [asyncio.create_task(writer.run(job.id)) for writer in writers]
        previous: list[ItemResult] = []
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0.1)
            listed = await reader.read_results(job.id)
            assert not isinstance(listed, NotDone | Unknown)
            assert listed[: len(previous)] == previous
            previous = listed
        await asyncio.gather(*tasks)
        await asyncio.sleep(6.0)
        final = await reader.read_results(job.id)
        assert not isinstance(final, NotDone | Unknown)
        assert final[: len(previous)] == previous
        assert sorted(result.item_id for result in final) == sorted(item.id for item in job.items)
        assert await reader.owner_of(job.id) is None

    run_virtual(main())


def test_a_batch_without_results_ends_the_chain() -> None:
    empty = StoredItem("k/00000000", codec.encode(ResultBatch(())), 1)
    assert join_batches([empty]) == []
