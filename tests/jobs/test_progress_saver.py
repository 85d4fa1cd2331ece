"""Guards against lost or overwritten progress when saves overlap or the store fails."""

import asyncio
from types import SimpleNamespace
from typing import Any

from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.resumable_run import VersionedEvent
from hollowrack.jobs.progress import ProgressLog, longest_runs
from hollowrack.jobs.progress_saver import FAILURE_RETRY_INTERVAL_S, SAVE_INTERVAL_S, ProgressSaver
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
