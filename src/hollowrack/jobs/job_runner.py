"""Execution of one job on its owner: all items, and the listing of their results.

A result is listed once it is stored at its position in the job's results.
"""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Mapping, Sequence

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import NotDone, Unknown
from hollowrack.forwarding.dispatch_statistics import WaitKind
from hollowrack.jobs.cached_item_order import CachedItemOrder
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_log import AppendOutcome, JobLog
from hollowrack.jobs.job_schedule import JobSchedule
from hollowrack.jobs.open_work import open_work_of
from hollowrack.jobs.progress import (
    ItemProgress,
    JobRemainder,
    ProgressLog,
    SavedEvents,
    to_saved_event,
)
from hollowrack.jobs.progress_saver import ProgressSaver
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.slots.types import OpenWork
from hollowrack.tasks import cancel_all

# Results that finish close together share a write. Trainers use complete groups only, so results
# that complete none may wait longer.
BATCH_DELAY_S = 0.2
PARTIAL_GROUP_BATCH_DELAY_S = 0.8
# Progress is saved in the writes that list results, but not more often than this.
MIN_SAVE_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.25
MAX_BATCH_BYTES = 500_000
# Writes of a former owner may be applied up to this long after the takeover.
LATE_WRITE_WINDOW_S = 8.0
LATE_WRITE_POLL_INTERVAL_S = 0.6


class JobRunner:
    """Runs one unfinished job on its owner; starts when it is constructed.

    Args:
        job: The job.
        results: Results listed so far.
        log: Durable state of jobs.
        progress: Access to the stored events of unfinished items.
        services: Components shared by all item runners of the node.
        sequence: Number of the job on this node; earlier jobs have lower ones.
        on_done: Called when the job ends on this node, for whatever reason.
        is_taken_over: Whether another process owned the job before.
        saved_events: Stored events of its unfinished items.
        unlisted: Results of an earlier owner that may not be listed yet.

    Attributes:
        results: Results listed so far, in order.
        results_changed: Set, and replaced by a new event, when results are listed or the job stops.
        task: Completes when the job ends on this node.
    """

    def __init__(
        self,
        job: Job,
        results: list[ItemResult],
        log: JobLog,
        progress: ProgressLog,
        services: ItemServices,
        sequence: int,
        on_done: Callable[["JobRunner"], None],
        is_taken_over: bool = False,
        saved_events: SavedEvents | None = None,
        unlisted: Sequence[ItemResult] = (),
    ) -> None:
        self.job = job
        self.results = results
        self.results_changed = asyncio.Event()
        self._log = log
        self._services = services
        self._schedule = JobSchedule(sequence, now_s())
        self._on_done = on_done
        listed = {result.item_id for result in results}
        self._finished = [result for result in unlisted if result.item_id not in listed]
        self._listing_due = asyncio.Event()
        self._item_finished = asyncio.Event()
        if self._finished:
            self._listing_due.set()
        self._saved_events = saved_events or {}
        self._item_tasks: dict[str, asyncio.Task[None]] = {}
        self._item_runners: dict[str, ItemRunner] = {}
        self._order = CachedItemOrder(job, services, self._schedule, self._open_runners)
        self._item_end_s: dict[str, float] = {}
        self._saver = ProgressSaver(job.id, progress, self._item_runners.values)
        self._listing_lock = asyncio.Lock()
        self._late_writes_task: asyncio.Task[None] | None = None
        if is_taken_over:
            self._late_writes_task = asyncio.create_task(self._poll_late_writes())
        # Revision that the job's owner entry must have when results are listed; ``None`` for any.
        self._owner_revision: int | None = None
        self._saver_task = asyncio.create_task(self._saver.run())
        self.task = asyncio.create_task(self._run())

    @property
    def is_fully_listed(self) -> bool:
        """Whether every item has a listed result."""
        return len(self.results) >= len(self.job.items)

    async def stop(self) -> None:
        """Cancel all tasks of the job; nothing more is listed."""
        await cancel_all(
            self.task, self._saver_task, self._late_writes_task, *self._item_tasks.values()
        )
        self._notify_changed()

    def require_owner_revision(self, revision: int) -> None:
        """List further results only while the job's owner entry has this revision.

        Called before another owner is written, as the outcome of that write may be unknown.
        """
        self._owner_revision = revision

    def release_readers(self) -> None:
        """Answer the reads that wait for results, although there may be no new ones."""
        self._notify_changed()

    async def _run(self) -> None:
        try:
            self._start_items()
            while not self.is_fully_listed:
                await self._listing_due.wait()
                await self._wait_for_batch()
                async with self._listing_lock:
                    if not self._finished:
                        self._listing_due.clear()
                    elif not await self._list_finished():
                        return
        except Exception:
            logging.exception("job %s: stopped on this node by an unexpected error", self.job.id)
        finally:
            self._saver_task.cancel()
            for task in self._item_tasks.values():
                task.cancel()
            if self._late_writes_task is not None:
                self._late_writes_task.cancel()
            self._on_done(self)

    async def _wait_for_batch(self) -> None:
        """Wait for more results to share the write, unless the trainer needs no more groups."""
        end_s = now_s() + PARTIAL_GROUP_BATCH_DELAY_S
        while not self._completes_a_group():
            if now_s() >= end_s or not self._finished:
                return
            self._item_finished.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    await self._item_finished.wait()
        done = {result.item_id for result in [*self.results, *self._finished]}
        if not has_desired_groups(self.job, done):
            await asyncio.sleep(BATCH_DELAY_S)

    def _completes_a_group(self) -> bool:
        """Return whether unlisted results complete a group."""
        unlisted = {result.item_id for result in self._finished}
        done = unlisted | {result.item_id for result in self.results}
        open_groups = {item.group for item in self.job.items if item.id not in done}
        return any(item.group not in open_groups for item in self.job.items if item.id in unlisted)

    async def _poll_late_writes(self) -> None:
        """Load results that late writes of a former owner have listed since the job was loaded.

        Other nodes read such results from the store, and this node must not serve fewer.
        """
        end_s = now_s() + LATE_WRITE_WINDOW_S
        while now_s() < end_s:
            await asyncio.sleep(LATE_WRITE_POLL_INTERVAL_S)
            listed = await self._log.read_results(self.job.id)
            if isinstance(listed, list) and len(listed) > len(self.results):
                async with self._listing_lock:
                    await self._catch_up()
                # The job may be complete now although no item has finished here.
                self._listing_due.set()

    async def save_progress(self) -> bool:
        """Save the events of running items for the job's next owner; ``False`` if that failed."""
        return await self._saver.save()

    async def list_finished(self) -> None:
        """List the results that wait for others to share a write; one attempt."""
        async with self._listing_lock:
            if self._finished:
                await self._list_finished()
        if self.is_fully_listed:
            self._listing_due.set()

    def has_waiting(self, service: str) -> bool:
        """Return whether any item waits for a slot at a service."""
        runners = self._item_runners.values()
        return any(
            runner.is_waiting_for_slot and runner.active_service == service for runner in runners
        )

    def open_work(self, service: str, incarnation_positions: Mapping[str, int]) -> OpenWork | None:
        """Return the open work at a service; ``None`` if there is none.

        Args:
            service: Name of the service.
            incarnation_positions: Position of each worker incarnation in the slot report, by its
                text form.
        """
        runners = list(self._item_runners.values())
        workers = self._services.workers
        return open_work_of(
            self.job, self._schedule, runners, service, incarnation_positions, workers
        )

    def remainder(self) -> JobRemainder:
        """Return the events and results that may be missing from the store."""
        items = [
            ItemProgress(item_id, 0, 0, tuple(to_saved_event(event) for event in runner.events))
            for item_id, runner in self._item_runners.items()
            if runner.events and not runner.is_generation_complete
        ]
        return JobRemainder(tuple(items), tuple(self._finished))

    def _start_items(self) -> None:
        listed = {result.item_id for result in [*self.results, *self._finished]}
        version = self.job.configuration_version
        if not self._services.routes.is_at_least(version):
            logging.warning(
                "job %s: accepted under configuration %d, which this node has not received (%s)",
                self.job.id,
                version,
                self._services.routes.describe(),
            )
        for item in self.job.items:
            if item.id in listed:
                continue
            saved_events = self._saved_events.get(item.id, ())
            runner = ItemRunner(
                self._services,
                self.job,
                item,
                self._schedule,
                self._order.rank_of,
                self._order.invalidate,
                saved_events,
            )
            self._item_runners[item.id] = runner
            self._item_tasks[item.id] = asyncio.create_task(self._run_item(runner))

    def _open_runners(self) -> dict[str, ItemRunner]:
        """Return the runners of items without a listed result, by item identifier."""
        listed = {result.item_id for result in self.results}
        return {
            item_id: runner
            for item_id, runner in self._item_runners.items()
            if item_id not in listed
        }

    async def _run_item(self, runner: ItemRunner) -> None:
        result = await runner.run()
        self._item_runners.pop(runner.item_id, None)
        self._finished.append(result)
        self._item_end_s[result.item_id] = now_s()
        self._listing_due.set()
        self._item_finished.set()
        self._order.invalidate()

    async def _list_finished(self) -> bool:
        """List finished results; ``False`` if another process owns the job now."""
        batch = _first_batch(self._finished)
        position = len(self.results)
        is_last = position + len(batch) == len(self.job.items)
        unsaved_progress = None if is_last else self._saver.unsaved(MIN_SAVE_INTERVAL_S)
        extra_puts = [] if unsaved_progress is None else [unsaved_progress.record]
        outcome = await self._log.append(
            self.job.id, position, batch, is_last, extra_puts, self._owner_revision
        )
        if outcome is AppendOutcome.APPENDED:
            if unsaved_progress is not None:
                self._saver.record_saved(unsaved_progress)
            self._finished = self._finished[len(batch) :]
            self._update_results([*self.results, *batch])
            return True
        if outcome is AppendOutcome.CONFLICT:
            return await self._catch_up()
        await asyncio.sleep(RETRY_INTERVAL_S)
        return True

    def _record_listing_latency(self, results: Sequence[ItemResult]) -> None:
        """Record the time between the end and the listing of results of this node."""
        for result in results:
            ended_s = self._item_end_s.pop(result.item_id, None)
            if ended_s is not None:
                statistics = self._services.queue.statistics
                statistics.record_wait(WaitKind.LISTING, now_s() - ended_s)

    async def _catch_up(self) -> bool:
        """Load results listed by another writer, or by an own write whose answer was lost.

        Returns:
            ``False`` if another process owns the job now.
        """
        listed = await self._log.read_results(self.job.id)
        entry = await self._log.open_entry(self.job.id)
        if isinstance(listed, NotDone | Unknown) or isinstance(entry, NotDone | Unknown):
            await asyncio.sleep(RETRY_INTERVAL_S)
            return True
        listed_ids = {result.item_id for result in listed}
        self._finished = [result for result in self._finished if result.item_id not in listed_ids]
        for item_id in listed_ids & self._item_tasks.keys():
            self._item_tasks[item_id].cancel()
        self._update_results(listed)
        if entry is not None and entry.owner != self._log.owner:
            logging.warning(
                "job %s: now owned by %s, stopped on this node", self.job.id, entry.owner
            )
            return False
        if self._owner_revision is not None:
            # Without an entry the job is finished or ended, so that nothing more may be listed.
            if entry is None:
                return False
            self._owner_revision = entry.revision
        return True

    def _update_results(self, results: list[ItemResult]) -> None:
        self._record_listing_latency(results[len(self.results) :])
        self.results = results
        if not self._finished:
            self._listing_due.clear()
        self._notify_changed()

    def _notify_changed(self) -> None:
        self.results_changed.set()
        self.results_changed = asyncio.Event()


def has_desired_groups(job: Job, done: Collection[str]) -> bool:
    """Return whether as many groups are complete as the job's trainer waits for.

    Args:
        job: The job.
        done: Identifiers of the items that have results.
    """
    groups = {item.group for item in job.items}
    open_groups = {item.group for item in job.items if item.id not in done}
    num_desired = job.num_desired_groups or len(groups)
    return len(groups) - len(open_groups) >= num_desired


def _first_batch(finished: list[ItemResult]) -> list[ItemResult]:
    """Return the first results that fit one write, at least one."""
    size = 0
    for index, result in enumerate(finished):
        size += len(result.text.encode())
        if index and size > MAX_BATCH_BYTES:
            return finished[:index]
    return list(finished)
