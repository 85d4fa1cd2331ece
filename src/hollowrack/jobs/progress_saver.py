"""Saves what a job's running items generate, now and then, for whoever owns the job next."""

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
# A store that fails is left alone for this long; every call to it is paid for.
FAILURE_RETRY_INTERVAL_S = 4.0
# Shorter texts are made again as fast as they are read.
MIN_EVENTS_SAVED = 16


@dataclass(frozen=True)
class UnsavedProgress:
    """What is not saved yet.

    Attributes:
        record: The write that saves it.
        items: What it holds.
    """

    record: Put
    items: tuple[ItemProgress, ...]


class ProgressSaver:
    """Saves the progress of one job while it runs here.

    Args:
        job_id: The job.
        log: Where to save it.
        runners: Returns the items that run now.
    """

    def __init__(
        self, job_id: str, log: ProgressLog, runners: Callable[[], Collection[ItemRunner]]
    ) -> None:
        self._job_id = job_id
        self._log = log
        self._runners = runners
        self._num_records = 0
        # Number of events saved, by item and run.
        self._saved: dict[tuple[str, int], int] = {}
        self._saved_s = now_s()

    async def run(self) -> None:
        """Save again and again, until cancelled."""
        while True:
            await asyncio.sleep(max(MIN_SLEEP_S, self._saved_s + SAVE_INTERVAL_S - now_s()))
            if now_s() - self._saved_s < SAVE_INTERVAL_S:
                continue
            if not await self.save():
                await asyncio.sleep(FAILURE_RETRY_INTERVAL_S)

    async def save(self) -> bool:
        """Save what is new of all long items; returns whether nothing is left unsaved."""
        self._saved_s = now_s()
        while (unsaved := self.unsaved()) is not None:
            if not await self._log.save(unsaved.record):
                return False
            self.record_saved(unsaved)
        return True

    def unsaved(self, min_age_s: float = 0.0) -> UnsavedProgress | None:
        """Return what is new of long items, as much as fits one record; ``None`` if nothing is.

        Args:
            min_age_s: Return nothing if something was saved more recently than this.
        """
        if now_s() - self._saved_s < min_age_s:
            return None
        items = self._new_parts()
        if not items:
            return None
        # Each has a key of its own: one that is written late must not replace a newer one.
        record = self._log.make_put(self._job_id, self._num_records, items)
        self._num_records += 1
        return UnsavedProgress(record, tuple(items))

    def record_saved(self, progress: UnsavedProgress) -> None:
        """A record was written."""
        self._saved_s = now_s()
        for part in progress.items:
            key = (part.item_id, part.run)
            end = part.position + len(part.events)
            self._saved[key] = max(end, self._saved.get(key, 0))

    def _new_parts(self) -> list[ItemProgress]:
        parts: list[ItemProgress] = []
        num_bytes = 0
        for runner in self._runners():
            if runner.is_generated or len(runner.events) < MIN_EVENTS_SAVED:
                continue
            position = self._saved.get((runner.item_id, runner.num_restarts), 0)
            events = tuple(to_saved_event(event) for event in runner.events[position:])
            num_bytes += _size(events)
            if parts and num_bytes > MAX_RECORD_BYTES:
                break
            if events:
                parts.append(ItemProgress(runner.item_id, runner.num_restarts, position, events))
        return parts


def _size(events: Collection[SavedEvent]) -> int:
    return sum(len(event.data.encode()) for event in events)
