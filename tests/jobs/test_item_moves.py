"""Guards against migrations that save too little time or lead to older weights."""

import asyncio

import pytest

from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.item_migration_policy import ItemMigrationPolicy
from hollowrack.jobs.length_estimate import LengthEstimate
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_worker

FAST_EVENT_INTERVAL_S = 0.04
SLOW_EVENT_INTERVAL_S = 0.052
MODEL = "m"


def make_model_worker(name: str, version: int = 1) -> Worker:
    return make_worker(name, capacity=2, versions={MODEL: version})


def make_migration_policy(
    directory: WorkerDirectory, expected_tokens: int = 1000
) -> ItemMigrationPolicy:
    lengths = LengthEstimate()
    lengths.record_item(100, 10)
    queue = DispatchQueue(directory)
    return ItemMigrationPolicy(
        directory, queue, lengths, "svc", MODEL, expected_tokens, lambda: DispatchRank(0)
    )


def make_directory_with_latencies(*workers: Worker) -> WorkerDirectory:
    directory = make_directory(*workers)
    for worker in workers:
        for _ in range(8):
            directory.record_latency(
                worker, SLOW_EVENT_INTERVAL_S if worker.id == "slow" else FAST_EVENT_INTERVAL_S
            )
    return directory


@pytest.mark.parametrize(
    ("expected_tokens", "num_events", "expected"),
    [(1000, 10, True), (100, 8, False), (100, 200, True), (100, 40, False)],
    ids=["much left", "little left", "far beyond the estimate", "slightly beyond the estimate"],
)
def test_an_item_moves_only_if_enough_time_is_saved(
    expected_tokens: int, num_events: int, expected: bool
) -> None:
    async def main() -> None:
        directory = make_directory_with_latencies(
            make_model_worker("slow"), make_model_worker("fast")
        )
        policy = make_migration_policy(directory, expected_tokens)
        assert policy.is_worthwhile(make_model_worker("slow"), num_events) is expected
        assert not policy.is_worthwhile(make_model_worker("fast"), num_events)

    run_virtual(main())


def test_an_item_never_moves_to_older_weights() -> None:
    async def main() -> None:
        directory = make_directory_with_latencies(
            make_model_worker("slow", version=2), make_model_worker("fast", version=1)
        )
        policy = make_migration_policy(directory)
        waiting = asyncio.create_task(
            policy.acquire_faster(make_model_worker("slow", version=2), 10)
        )
        await asyncio.sleep(2.0)
        assert not waiting.done()
        directory.update(make_model_worker("fast", version=2))
        assert (await waiting).id == "fast"

    run_virtual(main())
