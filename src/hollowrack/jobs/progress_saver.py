"""Periodic saving of the events of a job's running items, for its next owner."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.coordination.store import Put
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.progress import (
    MAX_RECORD_BYTES,
    ItemProgress,
    ProgressLog,
    SavedEvent,
    to_saved_event,
)

SAVE_INTERVAL_S = 1.5
MIN_SLEEP_S = 0.05
# Limits the number of calls to a failing store, which are billed.
FAILURE_RETRY_INTERVAL_S = 4.0
# Generating shorter texts again takes no longer than loading them.
MIN_EVENTS_SAVED = 16


@dataclass(frozen=True)
class UnsavedProgress:
    """Events that are not saved yet.

    Attributes:
        record: The write that saves them.
        items: The events by item, as the record contains them.
        has_all: Whether no other event is unsaved; false if the record has reached its limit.
    """

    record: Put
    items: tuple[ItemProgress, ...]
    has_all: bool


class ProgressSaver:
    """Saves the progress of one job while this node owns it.

    Args:
        job_id: Identifier of the job.
        log: Access to the stored progress records.
        runners: Returns the runners of the unfinished items.
    """

    def __init__(
        self, job_id: str, log: ProgressLog, runners: Callable[[], Collection[ItemRunner]]
    ) -> None:
        self._job_id = job_id
        self._log = log
        self._runners = runners
        self._num_records = 0
        # Number of saved events by item and run.
        self._num_saved: dict[tuple[str, int], int] = {}
        self._last_save_s = now_s()

    async def run(self) -> None:
        """Save periodically until cancelled."""
        while True:
            await asyncio.sleep(max(MIN_SLEEP_S, self._last_save_s + SAVE_INTERVAL_S - now_s()))
            # The clock's rounding must not delay a save by another minimum sleep.
            if self._last_save_s + SAVE_INTERVAL_S - now_s() > MIN_SLEEP_S:
                continue
            if not await self.save():
                await asyncio.sleep(FAILURE_RETRY_INTERVAL_S)

    async def save(self) -> bool:
        """Save the new events of all long items; ``False`` if a write failed.

        Events that are generated during the last write are left to the next save: where a write
        takes as long as an event, there are always new ones, and each write is billed.
        """
        self._last_save_s = now_s()
        while (unsaved := self.unsaved()) is not None:
            if not await self._log.save(unsaved.record):
                return False
            self.record_saved(unsaved)
            if unsaved.has_all:
                break
        return True

    def unsaved(self, min_age_s: float = 0.0) -> UnsavedProgress | None:
        """Return the new events of long items that fit one record; ``None`` if there are none.

        Args:
            min_age_s: Return ``None`` if the last save is more recent than this, in seconds.
        """
        if now_s() - self._last_save_s < min_age_s:
            return None
        items, has_all = self._new_parts()
        if not items:
            return None
        # Every record has a key of its own, so that a late write cannot replace a newer record.
        record = self._log.make_put(self._job_id, self._num_records, items)
        self._num_records += 1
        return UnsavedProgress(record, tuple(items), has_all)

    def record_saved(self, progress: UnsavedProgress) -> None:
        """Record that a write has succeeded."""
        self._last_save_s = now_s()
        for part in progress.items:
            key = (part.item_id, part.run)
            end = part.position + len(part.events)
            self._num_saved[key] = max(end, self._num_saved.get(key, 0))

    def _new_parts(self) -> tuple[list[ItemProgress], bool]:
        """Return the unsaved events that fit one record, and whether these are all."""
        parts: list[ItemProgress] = []
        num_bytes = 0
        for runner in self._runners():
            if runner.is_generation_complete or len(runner.events) < MIN_EVENTS_SAVED:
                continue
            position = self._num_saved.get((runner.item_id, runner.num_restarts), 0)
            events = tuple(to_saved_event(event) for event in runner.events[position:])
            num_bytes += _size(events)
            if parts and num_bytes > MAX_RECORD_BYTES:
                return parts, False
            if events:
                parts.append(ItemProgress(runner.item_id, runner.num_restarts, position, events))
        return parts, True


def _size(events: Collection[SavedEvent]) -> int:
    return sum(len(event.data.encode()) for event in events)
