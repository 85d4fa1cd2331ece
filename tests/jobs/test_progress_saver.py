"""Guards against lost or overwritten progress when saves overlap or the store fails."""

import asyncio
from types import SimpleNamespace
from typing import Any

from hollowrack.coordination.store import Put
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.resumable_run import VersionedEvent
from hollowrack.jobs.progress import MAX_RECORD_BYTES, ProgressLog, longest_runs
from hollowrack.jobs.progress_saver import FAILURE_RETRY_INTERVAL_S, SAVE_INTERVAL_S, ProgressSaver
from hollowrack.tasks import cancel_all
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults


def make_running_item(name: str, num_events: int) -> Any:
    item = SimpleNamespace(item_id=name, events=[], num_restarts=0, is_generation_complete=False)
    add_events(item, num_events)
    return item


def add_events(item: Any, num_events: int) -> None:
    first = len(item.events) + 1
    for number in range(first, first + num_events):
        event = StreamEvent(number, f"{item.item_id}.{number}", {}, b"")
        item.events.append(VersionedEvent(event, 1))


async def num_saved_by_item(log: ProgressLog) -> dict[str, int]:
    saved = longest_runs(await log.load("j"))
    return {name: len(events) for name, events in saved.items()}


def test_only_long_unfinished_items_are_saved() -> None:
    async def main() -> None:
        log = ProgressLog(CoordinationStoreCore().make_client(), "n0#1")
        items = [
            make_running_item("short", 15),
            make_running_item("long", 16),
            make_running_item("complete", 90),
        ]
        items[2].is_generation_complete = True
        assert await ProgressSaver("j", log, lambda: items).save()
        assert await num_saved_by_item(log) == {"long": 16}

    run_virtual(main())


def test_concurrent_saves_lose_no_events() -> None:
    async def main() -> None:
        log = ProgressLog(CoordinationStoreCore().make_client(), "n0#1")
        item = make_running_item("i", 20)
        saver = ProgressSaver("j", log, lambda: [item])
        older = saver.unsaved()
        add_events(item, 20)
        newer = saver.unsaved()
        assert older is not None and newer is not None
        assert older.record.key != newer.record.key
        for progress in (newer, older):
            assert await log.save(progress.record)
            saver.record_saved(progress)
        add_events(item, 5)
        assert await saver.save()
        assert await num_saved_by_item(log) == {"i": 45}
        assert saver.unsaved() is None

    run_virtual(main())


def test_events_are_saved_after_the_store_recovers() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = StoreFaults()
        log = ProgressLog(core.make_client(faults), "n0#1")
        item = make_running_item("i", 20)
        task = asyncio.create_task(ProgressSaver("j", log, lambda: [item]).run())
        faults.refuses = True
        await asyncio.sleep(2 * SAVE_INTERVAL_S)
        faults.refuses = False
        add_events(item, 20)
        assert await num_saved_by_item(log) == {}
        await asyncio.sleep(FAILURE_RETRY_INTERVAL_S + SAVE_INTERVAL_S)
        assert await num_saved_by_item(log) == {"i": 40}
        task.cancel()

    run_virtual(main())


def test_items_that_generate_events_during_each_write_are_saved_once_per_interval() -> None:
    """Guards against a save that never ends where a write takes longer than an event."""
    write_s, event_interval_s, duration_s = 0.05, 0.047, 6.0

    class SlowLog(ProgressLog):
        num_writes = 0

        async def save(self, record: Put) -> bool:
            self.num_writes += 1
            await asyncio.sleep(write_s)
            return await super().save(record)

    async def generate(item: Any) -> None:
        while True:
            await asyncio.sleep(event_interval_s)
            add_events(item, 1)

    async def main() -> None:
        log = SlowLog(CoordinationStoreCore().make_client(), "n0#1")
        item = make_running_item("i", 20)
        tasks = [
            asyncio.create_task(ProgressSaver("j", log, lambda: [item]).run()),
            asyncio.create_task(generate(item)),
        ]
        await asyncio.sleep(duration_s)
        num_unsaved = len(item.events) - (await num_saved_by_item(log))["i"]
        await cancel_all(*tasks)
        assert log.num_writes <= duration_s / SAVE_INTERVAL_S
        assert num_unsaved <= (SAVE_INTERVAL_S + 2 * write_s) / event_interval_s

    run_virtual(main())


def test_events_beyond_the_limit_of_a_record_are_saved_by_the_same_save() -> None:
    """Guards against a save that ends after its first record although events are left."""

    async def main() -> None:
        log = ProgressLog(CoordinationStoreCore().make_client(), "n0#1")
        items = [make_running_item(f"i{index}", 20) for index in range(3)]
        for item in items:
            event = StreamEvent(21, "x" * (MAX_RECORD_BYTES // 2), {}, b"")
            item.events.append(VersionedEvent(event, 1))
        assert await ProgressSaver("j", log, lambda: items).save()
        assert await num_saved_by_item(log) == {"i0": 21, "i1": 21, "i2": 21}

    run_virtual(main())
