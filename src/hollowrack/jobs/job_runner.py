"""Runs one job on its owner: all items, and the listing of their results."""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Mapping, Sequence

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import NotDone, Unknown
from hollowrack.forwarding.dispatch_statistics import WaitKind
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_log import AppendOutcome, JobLog
from hollowrack.jobs.job_order import JobOrder
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

# Results that finish close together are listed by one write. A trainer uses whole groups, so those
# that complete none may wait longer.
BATCH_DELAY_S = 0.2
PARTIAL_GROUP_BATCH_DELAY_S = 0.8
# What items generate is saved with the results that are listed, but not more often than this.
MIN_SAVE_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.25
MAX_BATCH_BYTES = 500_000
# Writes of an earlier owner may be done as late as this after the job was taken over.
LATE_WRITE_WINDOW_S = 8.0
LATE_WRITE_POLL_INTERVAL_S = 0.6


class JobRunner:
    """Owns one unfinished job, and runs it from its construction on.

    Args:
        job: The job.
        results: Results listed already.
        log: Its durable state.
        progress: Keeps what its items generate.
        services: What running items takes.
        sequence: Number of the job on this node; earlier jobs go first.
        on_done: Called once the job needs nothing more from this node.
        is_taken_over: Whether another process owned the job before.
        kept: What is kept of its unfinished items.
        unlisted: Results of an earlier owner that may not be listed yet.
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
        kept: SavedEvents | None = None,
        unlisted: Sequence[ItemResult] = (),
    ) -> None:
        self.job = job
        self.results = results
        self.results_changed = asyncio.Event()
        self._log = log
        self._services = services
        self._standing = JobSchedule(sequence, now_s())
        self._on_done = on_done
        listed = {result.item_id for result in results}
        self._finished = [result for result in unlisted if result.item_id not in listed]
        self._has_finished = asyncio.Event()
        self._finished_another = asyncio.Event()
        if self._finished:
            self._has_finished.set()
        self._kept = kept or {}
        self._item_tasks: dict[str, asyncio.Task[None]] = {}
        self._item_runners: dict[str, ItemRunner] = {}
        self._order = JobOrder(job, services, self._standing, self._open_runners)
        self._ended_s: dict[str, float] = {}
        self._saver = ProgressSaver(job.id, progress, self._item_runners.values)
        self._listing = asyncio.Lock()
        self._follow_task: asyncio.Task[None] | None = None
        if is_taken_over:
            self._follow_task = asyncio.create_task(self._follow_late_writes())
        self._saver_task = asyncio.create_task(self._saver.run())
        self.task = asyncio.create_task(self._run())

    @property
    def is_fully_listed(self) -> bool:
        """Whether every item has a listed result."""
        return len(self.results) >= len(self.job.items)

    async def stop(self) -> None:
        """Cancel whatever still runs; nothing more is listed."""
        await cancel_all(self.task, self._saver_task, self._follow_task, *self._item_tasks.values())
        self._notify()

    async def _run(self) -> None:
        try:
            self._start_items()
            while not self.is_fully_listed:
                await self._has_finished.wait()
                await self._gather()
                async with self._listing:
                    if not self._finished:
                        self._has_finished.clear()
                    elif not await self._list_finished():
                        return
        except Exception:
            logging.exception("job %s stopped by a fault of the program", self.job.id)
        finally:
            self._saver_task.cancel()
            for task in self._item_tasks.values():
                task.cancel()
            if self._follow_task is not None:
                self._follow_task.cancel()
            self._on_done(self)

    async def _gather(self) -> None:
        """Wait for more results; not at all once the trainer has what it waits for."""
        end_s = now_s() + PARTIAL_GROUP_BATCH_DELAY_S
        while not self._has_whole_unlisted_group():
            if now_s() >= end_s or not self._finished:
                return
            self._finished_another.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    await self._finished_another.wait()
        done = {result.item_id for result in [*self.results, *self._finished]}
        if not has_desired_groups(self.job, done):
            await asyncio.sleep(BATCH_DELAY_S)

    def _has_whole_unlisted_group(self) -> bool:
        """Whether results that are not listed yet complete a group."""
        unlisted = {result.item_id for result in self._finished}
        done = unlisted | {result.item_id for result in self.results}
        open_groups = {item.group for item in self.job.items if item.id not in done}
        return any(item.group not in open_groups for item in self.job.items if item.id in unlisted)

    async def _follow_late_writes(self) -> None:
        """List what an earlier owner's last writes have listed since the job was read.

        Other nodes read such results from the store; this one must not know fewer.
        """
        end_s = now_s() + LATE_WRITE_WINDOW_S
        while now_s() < end_s:
            await asyncio.sleep(LATE_WRITE_POLL_INTERVAL_S)
            listed = await self._log.read_results(self.job.id)
            if isinstance(listed, list) and len(listed) > len(self.results):
                async with self._listing:
                    await self._catch_up()
                # The job may be whole now, though no item has finished here.
                self._has_finished.set()

    async def save_progress(self) -> None:
        """Save what running items have generated, for the job's next owner."""
        await self._saver.save()

    def has_waiting(self, service: str) -> bool:
        """Whether any item waits for a slot at a service."""
        runners = self._item_runners.values()
        return any(
            runner.is_waiting_for_slot and runner.active_service == service for runner in runners
        )

    def open_work(self, service: str, incarnation_positions: Mapping[str, int]) -> OpenWork | None:
        """Return what is left to generate at a service; ``None`` if nothing is.

        Args:
            service: The service.
            incarnation_positions: Position of each life of a worker by its text.
        """
        runners = list(self._item_runners.values())
        workers = self._services.workers
        return open_work_of(
            self.job, self._standing, runners, service, incarnation_positions, workers
        )

    def remainder(self) -> JobRemainder:
        """Return what this owner holds that may not be in the store."""
        items = [
            ItemProgress(item_id, 0, 0, tuple(to_saved_event(event) for event in runner.events))
            for item_id, runner in self._item_runners.items()
            if runner.events and not runner.is_generated
        ]
        return JobRemainder(tuple(items), tuple(self._finished))

    def _start_items(self) -> None:
        listed = {result.item_id for result in [*self.results, *self._finished]}
        version = self.job.configuration_version
        if not self._services.routes.is_at_least(version):
            logging.warning(
                "job %s: accepted under configuration %d, which is not known here yet (%s)",
                self.job.id,
                version,
                self._services.routes.describe(),
            )
        for item in self.job.items:
            if item.id in listed:
                continue
            kept = self._kept.get(item.id, ())
            runner = ItemRunner(
                self._services,
                self.job,
                item,
                self._standing,
                self._order.rank_of,
                self._order.invalidate,
                kept,
            )
            self._item_runners[item.id] = runner
            self._item_tasks[item.id] = asyncio.create_task(self._run_item(runner))

    def _open_runners(self) -> dict[str, ItemRunner]:
        """The items that run or wait, by identifier."""
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
        self._ended_s[result.item_id] = now_s()
        self._has_finished.set()
        self._finished_another.set()
        self._order.invalidate()

    async def _list_finished(self) -> bool:
        """List what has finished; returns whether the job still belongs to this node."""
        batch = _first_batch(self._finished)
        position = len(self.results)
        is_last = position + len(batch) == len(self.job.items)
        unsaved = None if is_last else self._saver.unsaved(MIN_SAVE_INTERVAL_S)
        also = [] if unsaved is None else [unsaved.record]
        outcome = await self._log.append(self.job.id, position, batch, is_last, also)
        if outcome is AppendOutcome.APPENDED:
            if unsaved is not None:
                self._saver.record_saved(unsaved)
            self._finished = self._finished[len(batch) :]
            self._take_listed([*self.results, *batch])
            return True
        if outcome is AppendOutcome.CONFLICT:
            return await self._catch_up()
        await asyncio.sleep(RETRY_INTERVAL_S)
        return True

    def _note_listed(self, results: Sequence[ItemResult]) -> None:
        """Count how long results that ended here waited until they were listed."""
        for result in results:
            ended_s = self._ended_s.pop(result.item_id, None)
            if ended_s is not None:
                statistics = self._services.queue.statistics
                statistics.record_wait(WaitKind.LISTING, now_s() - ended_s)

    async def _catch_up(self) -> bool:
        """Another writer, or an own write whose answer was lost, came first."""
        listed = await self._log.read_results(self.job.id)
        owner = await self._log.owner_of(self.job.id)
        if isinstance(listed, NotDone | Unknown) or isinstance(owner, NotDone | Unknown):
            await asyncio.sleep(RETRY_INTERVAL_S)
            return True
        known = {result.item_id for result in listed}
        self._finished = [result for result in self._finished if result.item_id not in known]
        for item_id in known & self._item_tasks.keys():
            self._item_tasks[item_id].cancel()
        self._take_listed(listed)
        if owner is not None and owner != self._log.owner:
            logging.warning("job %s belongs to %s now", self.job.id, owner)
            return False
        return True

    def _take_listed(self, results: list[ItemResult]) -> None:
        self._note_listed(results[len(self.results) :])
        self.results = results
        if not self._finished:
            self._has_finished.clear()
        self._notify()

    def _notify(self) -> None:
        self.results_changed.set()
        self.results_changed = asyncio.Event()


def has_desired_groups(job: Job, done: Collection[str]) -> bool:
    """Whether as many groups are whole as the job's trainer waits for.

    Args:
        job: The job.
        done: Identifiers of the items that have results.
    """
    groups = {item.group for item in job.items}
    open_groups = {item.group for item in job.items if item.id not in done}
    num_desired = job.num_desired_groups or len(groups)
    return len(groups) - len(open_groups) >= num_desired


def _first_batch(finished: list[ItemResult]) -> list[ItemResult]:
    """The first results that fit one write; at least one."""
    size = 0
    for index, result in enumerate(finished):
        size += len(result.text.encode())
        if index and size > MAX_BATCH_BYTES:
            return finished[:index]
    return list(finished)
