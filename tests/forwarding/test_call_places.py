"""Calls of the system's own wait at the node: in order, a third of the slots at a time."""

import asyncio

from hollowrack.forwarding.call_limiter import CallLimiter
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_route, make_table, make_worker

ROUTE = make_route(prefix="/score/")
SHARED = make_table(ROUTE, make_route(prefix="/lookup/"))


class Calls:
    """Calls that each hold a place until they are ended."""

    def __init__(self, directory: WorkerDirectory, table: RouteTable) -> None:
        self.places = CallLimiter(table, directory)
        self.begun: list[int] = []
        self._ends: dict[int, asyncio.Event] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}

    async def ask(self, *numbers: int) -> None:
        for number in numbers:
            self._ends[number] = asyncio.Event()
            self._tasks[number] = asyncio.create_task(self._call(number))
        await asyncio.sleep(0.01)

    async def _call(self, number: int) -> None:
        async with self.places.slot(ROUTE):
            self.begun.append(number)
            await self._ends[number].wait()

    async def end(self, number: int) -> None:
        self._ends[number].set()
        await asyncio.sleep(0.01)

    async def cancel(self, number: int) -> None:
        self._tasks[number].cancel()
        await asyncio.sleep(0.01)

    async def cancel_together(self, ending: int, cancelled: int) -> None:
        """End one call, and cancel the one that gets its place before it has seen that."""
        self._ends[ending].set()
        await asyncio.sleep(0)
        assert self.places.num_waiting == 0
        await self.cancel(cancelled)


def make_calls(num_workers: int = 2, table: RouteTable = SHARED) -> tuple[Calls, WorkerDirectory]:
    workers = [make_worker(f"w{index}", capacity=6) for index in range(num_workers)]
    directory = make_directory(*workers)
    return Calls(directory, table), directory


def test_a_burst_takes_a_third_of_the_slots_and_the_rest_waits_in_order() -> None:
    async def main() -> None:
        calls, _ = make_calls()
        await calls.ask(*range(64))
        assert calls.begun == [0, 1, 2, 3]
        assert calls.places.num_waiting == 60
        for number in range(64):
            await calls.end(number)
        assert calls.begun == list(range(64))
        assert calls.places.num_waiting == 0

    run_virtual(main())


def test_a_new_call_does_not_pass_those_that_wait() -> None:
    async def main() -> None:
        calls, directory = make_calls()
        await calls.ask(*range(6))
        await calls.ask(6)
        directory.update(make_worker("w2", capacity=6))
        await asyncio.sleep(0.01)
        assert calls.begun == [0, 1, 2, 3, 4, 5]

    run_virtual(main())


def test_fewer_workers_leave_fewer_places() -> None:
    async def main() -> None:
        calls, directory = make_calls()
        await calls.ask(*range(6))
        directory.remove("w1")
        await calls.end(0)
        await calls.end(1)
        assert calls.begun == [0, 1, 2, 3]
        await calls.end(2)
        assert calls.begun == [0, 1, 2, 3, 4]

    run_virtual(main())


def test_a_call_that_is_cancelled_gives_its_turn_on() -> None:
    async def main() -> None:
        calls, _ = make_calls()
        await calls.ask(*range(7))
        await calls.cancel(4)
        await calls.end(0)
        assert calls.begun == [0, 1, 2, 3, 5]
        await calls.cancel_together(1, 6)
        await calls.ask(7)
        assert calls.begun == [0, 1, 2, 3, 5, 7]

    run_virtual(main())


def test_without_workers_calls_go_on_one_by_one() -> None:
    async def main() -> None:
        calls, _ = make_calls(num_workers=0)
        await calls.ask(0, 1)
        assert calls.begun == [0]
        await calls.end(0)
        assert calls.begun == [0, 1]

    run_virtual(main())


def test_calls_whose_workers_serve_nobody_else_are_not_bounded() -> None:
    async def main() -> None:
        calls, _ = make_calls(table=make_table(ROUTE))
        await calls.ask(*range(64))
        assert len(calls.begun) == 64

    run_virtual(main())
