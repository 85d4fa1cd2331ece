"""Runs one job on its owner: all items, and the listing of their results."""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import NotDone, Unknown
from hollowrack.forwarding.dispatch_statistics import WaitPlace
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.item_order import ItemPlace, Outlook, order_items
from hollowrack.jobs.item_runner import ItemRunner, ItemServices
from hollowrack.jobs.job_log import AppendOutcome, JobLog
from hollowrack.jobs.job_standing import JobStanding
from hollowrack.jobs.open_work import open_work_of
from hollowrack.jobs.progress import (
    ItemProgress,
    JobRemainder,
    KeptEvents,
    ProgressLog,
    kept_event,
)
from hollowrack.jobs.progress_saver import ProgressSaver
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.slots.types import OpenWork
from hollowrack.tasks import cancel_all

# Results that finish close together are listed by one write. A trainer uses whole groups, so those
# that complete none may wait longer.
GATHER_S = 0.2
PARTIAL_GATHER_S = 0.8
# What items generate is saved with the results that are listed, but not more often than this.
MIN_SAVE_AGE_S = 0.5
RETRY_PAUSE_S = 0.25
# How long an order is used again, in seconds: lengths left in it grow stale, and a group looks
# later than it is. Ranks of waiters are asked again only after a change of the order.
MAX_ORDER_AGE_S = 0.25
MAX_BATCH_BYTES = 500_000
# Writes of an earlier owner may be done as late as this after the job was taken over.
LATE_WRITES_S = 8.0
LATE_WRITES_LOOK_S = 0.6


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
        kept: KeptEvents | None = None,
        unlisted: Sequence[ItemResult] = (),
    ) -> None:
        self.job = job
        self.results = results
        self.changed = asyncio.Event()
        self._log = log
        self._services = services
        self._standing = JobStanding(sequence, now_s())
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
        self._places: dict[str, ItemPlace] = {}
        self._ordered_s = -float("inf")
        self._ended_s: dict[str, float] = {}
        self._saver = ProgressSaver(job.id, progress, self._item_runners.values)
        self._listing = asyncio.Lock()
        self._follow_task: asyncio.Task[None] | None = None
        if is_taken_over:
            self._follow_task = asyncio.create_task(self._follow_late_writes())
        self._saver_task = asyncio.create_task(self._saver.run())
        self.task = asyncio.create_task(self._run())

    @property
    def is_listed_whole(self) -> bool:
        """Whether every item has a listed result."""
        return len(self.results) >= len(self.job.items)

    async def stop(self) -> None:
        """Cancel whatever still runs; nothing more is listed."""
        await cancel_all(self.task, self._saver_task, self._follow_task, *self._item_tasks.values())
        self._notify()

    async def _run(self) -> None:
        try:
            self._start_items()
            while not self.is_listed_whole:
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
        end_s = now_s() + PARTIAL_GATHER_S
        while not self._has_whole_unlisted_group():
            if now_s() >= end_s or not self._finished:
                return
            self._finished_another.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_s):
                    await self._finished_another.wait()
        done = {result.item_id for result in [*self.results, *self._finished]}
        if not has_desired_groups(self.job, done):
            await asyncio.sleep(GATHER_S)

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
        end_s = now_s() + LATE_WRITES_S
        while now_s() < end_s:
            await asyncio.sleep(LATE_WRITES_LOOK_S)
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
        return any(runner.is_waiting and runner.generates_at == service for runner in runners)

    def open_work(self, service: str, lives: Mapping[str, int]) -> OpenWork | None:
        """Return what is left to generate at a service; ``None`` if nothing is.

        Args:
            service: The service.
            lives: Position of each life of a worker by its text.
        """
        runners = list(self._item_runners.values())
        workers = self._services.workers
        return open_work_of(self.job, self._standing, runners, service, lives, workers)

    def remainder(self) -> JobRemainder:
        """Return what this owner holds that may not be in the store."""
        items = [
            ItemProgress(item_id, 0, 0, tuple(kept_event(event) for event in runner.events))
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
                self._place_of,
                self._reorder,
                kept,
            )
            self._item_runners[item.id] = runner
            self._item_tasks[item.id] = asyncio.create_task(self._run_item(runner))

    def _reorder(self) -> None:
        """Decide the order of items anew before places are handed out again."""
        self._ordered_s = -float("inf")
        self._services.queue.note_reordered()

    def _place_of(self, item_id: str) -> ItemPlace:
        """The place of an item in the order of the job."""
        if now_s() - self._ordered_s > MAX_ORDER_AGE_S:
            self._ordered_s = now_s()
            self._places = self._order()
        return self._places.get(item_id, ItemPlace())

    def _order(self) -> dict[str, ItemPlace]:
        """Decide in which order the items that wait should run.

        Without other trainers at its workers a job has them all, and goes the longest item first.
        """
        if not self._has_rivals():
            return {}
        listed = {result.item_id for result in self.results}
        open_runners = {
            item_id: runner
            for item_id, runner in self._item_runners.items()
            if item_id not in listed
        }
        tokens_left = {item_id: runner.num_tokens_left for item_id, runner in open_runners.items()}
        return order_items(self.job, tokens_left, self._outlook(open_runners))

    def _has_rivals(self) -> bool:
        routes = self._services.routes
        route = routes.lookup(self.job.host, self.job.target)
        return route is not None and any(
            routes.holds_several_models(target.service) for target in route.targets
        )

    def _outlook(self, open_runners: Mapping[str, ItemRunner]) -> Outlook:
        """What the places that the job has now generate until it is due."""
        route = self._services.routes.lookup(self.job.host, self.job.target)
        time_left_s = self._standing.due_s(route) - now_s()
        num_taken = sum(runner.is_at_worker for runner in open_runners.values())
        # The item that has just ended leaves its place to the next one.
        num_places = max(1, num_taken + self._num_free_places(open_runners.values()))
        return Outlook(time_left_s, num_places, self._services.pace.tokens_per_s)

    def _num_free_places(self, runners: Iterable[ItemRunner]) -> int:
        """How many further places the job may have now: a job that begins has none yet."""
        services = {runner.generates_at for runner in runners if runner.generates_at is not None}

        def has_weights(worker: Worker) -> bool:
            return worker.holds(self.job.model, self.job.min_version)

        queue = self._services.queue
        return sum(queue.num_free_places(service, has_weights) for service in services)

    async def _run_item(self, runner: ItemRunner) -> None:
        result = await runner.run()
        self._item_runners.pop(runner.item_id, None)
        self._finished.append(result)
        self._ended_s[result.item_id] = now_s()
        self._has_finished.set()
        self._finished_another.set()
        self._reorder()

    async def _list_finished(self) -> bool:
        """List what has finished; returns whether the job still belongs to this node."""
        batch = _first_batch(self._finished)
        position = len(self.results)
        is_last = position + len(batch) == len(self.job.items)
        unsaved = None if is_last else self._saver.unsaved(MIN_SAVE_AGE_S)
        also = [] if unsaved is None else [unsaved.record]
        outcome = await self._log.append(self.job.id, position, batch, is_last, also)
        if outcome is AppendOutcome.APPENDED:
            if unsaved is not None:
                self._saver.note_saved(unsaved)
            self._finished = self._finished[len(batch) :]
            self._note_listed(batch)
            self._take_listed([*self.results, *batch])
            return True
        if outcome is AppendOutcome.OVERTAKEN:
            return await self._catch_up()
        await asyncio.sleep(RETRY_PAUSE_S)
        return True

    def _note_listed(self, batch: Sequence[ItemResult]) -> None:
        """Count how long results that ended here waited until they were listed."""
        for result in batch:
            ended_s = self._ended_s.pop(result.item_id, None)
            if ended_s is not None:
                statistics = self._services.queue.statistics
                statistics.note_wait(WaitPlace.LISTING, now_s() - ended_s)

    async def _catch_up(self) -> bool:
        """Another writer, or an own write whose answer was lost, came first."""
        listed = await self._log.read_results(self.job.id)
        owner = await self._log.owner_of(self.job.id)
        if isinstance(listed, NotDone | Unknown) or isinstance(owner, NotDone | Unknown):
            await asyncio.sleep(RETRY_PAUSE_S)
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
        self.results = results
        if not self._finished:
            self._has_finished.clear()
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


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
