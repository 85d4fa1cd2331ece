"""Records: concurrent or repeated writes overwrite each other, or an unreadable value blocks."""

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
            core.make_client(self.faults),
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


def test_concurrent_replace_succeeds_for_one_writer() -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        assert await first.record.replace(DecidedUsage(1))
        assert not await second.record.replace(DecidedUsage(2))
        assert second.record.value == DecidedUsage(1)
        assert await second.record.replace(DecidedUsage(2))
        assert not await first.record.replace(DecidedUsage(3))
        assert first.seen == [1, 2]

    run_writers(scenario)


@pytest.mark.parametrize("fault", ["num_lost_answers", "num_late_writes"])
def test_unknown_write_is_read_before_next_write(fault: str) -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        setattr(first.faults, fault, 1)
        assert not await first.record.replace(DecidedUsage(1))
        first.faults.refuses = True
        assert not await first.record.ensure_current()
        first.faults.refuses = False
        assert await first.record.ensure_current()
        assert first.record.value == (DecidedUsage(1) if fault == "num_lost_answers" else None)
        await asyncio.sleep(3.0)
        # A late write either fails its condition or was seen by the other writer.
        await second.record.replace(DecidedUsage(2))
        await second.record.replace(DecidedUsage(2))
        await first.record.replace(DecidedUsage(3))
        assert first.record.value == second.record.value == DecidedUsage(2)

    run_writers(scenario)


def test_refused_write_needs_no_read() -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        first.faults.refuses = True
        assert not await first.record.replace(DecidedUsage(1))
        assert await first.record.ensure_current()
        assert KEY not in core.items

    run_writers(scenario)


def test_unreadable_value_keeps_newest_value() -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        assert await first.record.replace(DecidedUsage(1))
        core.transact([], [Put(KEY, b"nonsense")], [])
        first.record.update(core.items[KEY])
        assert first.record.value == DecidedUsage(1)
        assert not await first.record.replace(DecidedUsage(2))

    run_writers(scenario)


@pytest.mark.parametrize("is_notified", [True, False])
def test_record_is_writable_after_unreadable_key_is_removed(is_notified: bool) -> None:
    async def scenario(core: CoordinationStoreCore, first: Writer, second: Writer) -> None:
        assert await first.record.replace(DecidedUsage(1))
        core.transact([], [Put(KEY, b"\xff")], [])
        first.record.update(core.items[KEY])
        assert not await first.record.replace(DecidedUsage(2))
        core.transact([], [], [KEY])
        if is_notified:
            first.record.update(None)
        else:
            assert not await first.record.replace(DecidedUsage(2))
        # Removing the key does not reset the value.
        assert first.record.value == DecidedUsage(1)
        assert await first.record.replace(DecidedUsage(2))
        assert first.seen == [1, 2]

    run_writers(scenario)
