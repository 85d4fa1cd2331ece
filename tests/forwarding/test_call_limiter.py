"""Guards against internal calls that use too many shared slots or overtake each other."""

import asyncio

from hollowrack.forwarding.call_limiter import CallLimiter
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_route, make_table, make_worker

ROUTE = make_route(prefix="/score/")
SHARED = make_table(ROUTE, make_route(prefix="/lookup/"))


class Calls:
    """Calls that each hold a slot until they are ended."""

    def __init__(self, directory: WorkerDirectory, table: RouteTable) -> None:
        self.limiter = CallLimiter(table, directory)
        self.started: list[int] = []
        self._ends: dict[int, asyncio.Event] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}

    async def start(self, *numbers: int) -> None:
        for number in numbers:
            self._ends[number] = asyncio.Event()
            self._tasks[number] = asyncio.create_task(self._call(number))
        await asyncio.sleep(0.01)

    async def _call(self, number: int) -> None:
        async with self.limiter.slot(ROUTE):
            self.started.append(number)
            await self._ends[number].wait()

    async def end(self, number: int) -> None:
        self._ends[number].set()
        await asyncio.sleep(0.01)

    async def cancel(self, number: int) -> None:
        self._tasks[number].cancel()
        await asyncio.sleep(0.01)

    async def cancel_together(self, ending: int, cancelled: int) -> None:
        """End one call, and cancel the call that receives its slot before it resumes."""
        self._ends[ending].set()
        await asyncio.sleep(0)
        assert self.limiter.num_waiting == 0
        await self.cancel(cancelled)


def make_calls(num_workers: int = 2, table: RouteTable = SHARED) -> tuple[Calls, WorkerDirectory]:
    workers = [make_worker(f"w{index}", capacity=6) for index in range(num_workers)]
    directory = make_directory(*workers)
    return Calls(directory, table), directory


def test_burst_uses_third_of_slots_and_rest_waits_in_order() -> None:
    async def main() -> None:
        calls, _ = make_calls()
        await calls.start(*range(64))
        assert calls.started == [0, 1, 2, 3]
        assert calls.limiter.num_waiting == 60
        for number in range(64):
            await calls.end(number)
        assert calls.started == list(range(64))
        assert calls.limiter.num_waiting == 0

    run_virtual(main())


def test_new_call_does_not_overtake_waiting_calls() -> None:
    async def main() -> None:
        calls, directory = make_calls()
        await calls.start(*range(6))
        await calls.start(6)
        directory.update(make_worker("w2", capacity=6))
        await asyncio.sleep(0.01)
        assert calls.started == [0, 1, 2, 3, 4, 5]

    run_virtual(main())


def test_removed_worker_lowers_limit() -> None:
    async def main() -> None:
        calls, directory = make_calls()
        await calls.start(*range(6))
        directory.remove("w1")
        await calls.end(0)
        await calls.end(1)
        assert calls.started == [0, 1, 2, 3]
        await calls.end(2)
        assert calls.started == [0, 1, 2, 3, 4]

    run_virtual(main())


def test_cancelled_call_passes_its_slot_on() -> None:
    async def main() -> None:
        calls, _ = make_calls()
        await calls.start(*range(7))
        await calls.cancel(4)
        await calls.end(0)
        assert calls.started == [0, 1, 2, 3, 5]
        await calls.cancel_together(1, 6)
        await calls.start(7)
        assert calls.started == [0, 1, 2, 3, 5, 7]

    run_virtual(main())


def test_without_workers_calls_proceed_one_at_a_time() -> None:
    async def main() -> None:
        calls, _ = make_calls(num_workers=0)
        await calls.start(0, 1)
        assert calls.started == [0]
        await calls.end(0)
        assert calls.started == [0, 1]

    run_virtual(main())


def test_calls_to_unshared_workers_are_not_limited() -> None:
    async def main() -> None:
        calls, _ = make_calls(table=make_table(ROUTE))
        await calls.start(*range(64))
        assert len(calls.started) == 64

    run_virtual(main())
