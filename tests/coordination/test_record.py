import asyncio
from collections.abc import Awaitable, Callable

import pytest

from hollowrack.coordination.record import Record
from hollowrack.coordination.store import Put
from hollowrack.usage.types import DecidedUsage
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults

KEY = "s/record"


class Writer:
    def __init__(self, core: CoordinationStoreCore) -> None:
        self.faults = StoreFaults()
        self.seen: list[int] = []
        self.record = Record(
            core.view(self.faults),
            KEY,
            DecidedUsage,
            lambda value: self.seen.append(value.next_window),
        )


def run_writers(
    scenario: Callable[[CoordinationStoreCore, Writer, Writer], Awaitable[None]],
) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        await scenario(core, Writer(core), Writer(core))

    run_virtual(main())


def test_of_two_writers_that_have_seen_the_same_one_writes_and_the_other_learns() -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        assert await first.record.replace(DecidedUsage(1))
        assert not await second.record.replace(DecidedUsage(2))
        assert second.record.value == DecidedUsage(1)
        assert await second.record.replace(DecidedUsage(2))
        assert not await first.record.replace(DecidedUsage(3))
        assert first.seen == [1, 2]

    run_writers(scenario)


@pytest.mark.parametrize("fault", ["num_lost_answers", "num_late_writes"])
def test_a_write_that_may_have_been_done_is_looked_for_before_the_next(fault: str) -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        setattr(first.faults, fault, 1)
        assert not await first.record.replace(DecidedUsage(1))
        first.faults.refuses = True
        assert not await first.record.ensure_current()
        first.faults.refuses = False
        assert await first.record.ensure_current()
        assert first.record.value == (DecidedUsage(1) if fault == "num_lost_answers" else None)
        await asyncio.sleep(3.0)
        # Whatever comes late has lost its condition, or is what the others have seen.
        await second.record.replace(DecidedUsage(2))
        await second.record.replace(DecidedUsage(2))
        await first.record.replace(DecidedUsage(3))
        assert first.record.value == second.record.value == DecidedUsage(2)

    run_writers(scenario)


def test_a_refused_write_is_known_not_to_be_done() -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        first.faults.refuses = True
        assert not await first.record.replace(DecidedUsage(1))
        assert await first.record.ensure_current()
        assert KEY not in core.items

    run_writers(scenario)


def test_what_cannot_be_read_leaves_the_newest_value_as_it_was() -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        assert await first.record.replace(DecidedUsage(1))
        core.transact([], [Put(KEY, b"nonsense")], [])
        first.record.update(core.items[KEY])
        assert first.record.value == DecidedUsage(1)
        assert not await first.record.replace(DecidedUsage(2))

    run_writers(scenario)


@pytest.mark.parametrize("is_told", [True, False])
def test_a_record_goes_on_once_the_key_that_could_not_be_read_is_removed(is_told: bool) -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        assert await first.record.replace(DecidedUsage(1))
        core.transact([], [Put(KEY, b"\xff")], [])
        first.record.update(core.items[KEY])
        assert not await first.record.replace(DecidedUsage(2))
        core.transact([], [], [KEY])
        if is_told:
            first.record.update(None)
        else:
            assert not await first.record.replace(DecidedUsage(2))
        # What was decided before stays decided.
        assert first.record.value == DecidedUsage(1)
        assert await first.record.replace(DecidedUsage(2))
        assert first.seen == [1, 2]

    run_writers(scenario)
