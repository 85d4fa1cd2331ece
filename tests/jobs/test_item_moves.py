"""When items move to other workers, and to which."""

import asyncio

import pytest

from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.item_moves import ItemMoves
from hollowrack.jobs.lengths import LengthEstimate
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_worker

FAST_S = 0.04
SLOW_S = 0.052
MODEL = "m"


def worker(name: str, version: int = 1) -> Worker:
    return make_worker(name, capacity=2, versions={MODEL: version})


def make_moves(directory: WorkerDirectory, expected_tokens: int = 1000) -> ItemMoves:
    lengths = LengthEstimate()
    lengths.record_item(100, 10)
    queue = DispatchQueue(directory)
    return ItemMoves(
        directory, queue, lengths, "svc", MODEL, expected_tokens, lambda: DispatchRank(0)
    )


def directory_of(*workers: Worker) -> WorkerDirectory:
    directory = make_directory(*workers)
    for one in workers:
        for _ in range(8):
            directory.record_latency(one, SLOW_S if one.id == "slow" else FAST_S)
    return directory


@pytest.mark.parametrize(
    ("expected_tokens", "num_events", "expected"),
    [(1000, 10, True), (100, 8, False), (100, 200, True), (100, 40, False)],
    ids=["much left", "little left", "much longer than expected", "a little longer"],
)
def test_an_item_moves_if_what_is_left_is_worth_it(
    expected_tokens: int, num_events: int, expected: bool
) -> None:
    async def main() -> None:
        directory = directory_of(worker("slow"), worker("fast"))
        moves = make_moves(directory, expected_tokens)
        assert moves.is_worthwhile(worker("slow"), num_events) is expected
        assert not moves.is_worthwhile(worker("fast"), num_events)

    run_virtual(main())


def test_an_item_never_goes_back_to_older_weights() -> None:
    async def main() -> None:
        directory = directory_of(worker("slow", version=2), worker("fast", version=1))
        moves = make_moves(directory)
        waiting = asyncio.create_task(moves.acquire_faster(worker("slow", version=2), 10))
        await asyncio.sleep(2.0)
        assert not waiting.done()
        directory.update(worker("fast", version=2))
        assert (await waiting).id == "fast"

    run_virtual(main())
