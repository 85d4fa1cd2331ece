"""Reads and ends jobs on one node, and runs those that it owns."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.session import Session
from hollowrack.coordination.store import NotDone, Unavailable, Unknown
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_intake import JobIntake
from hollowrack.jobs.job_log import JobLog, OpenJob
from hollowrack.jobs.job_reader import JobReader
from hollowrack.jobs.job_runner import JobRunner
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peer_jobs import JobPage, PeerJobs, ReadJobRequest
from hollowrack.jobs.progress import JobRemainder, ProgressLog, SavedEvents
from hollowrack.jobs.types import ItemResult, Job, JobItem
from hollowrack.results import Problem, ResultCode
from hollowrack.slots.types import OpenWork
from hollowrack.tasks import cancel_all

END_RETRY_INTERVAL_S = 0.25
END_TIMEOUT_S = 3.0
READ_RETRY_AFTER_S = 0.3
# A job is seen by all nodes within two looks at the feed, each a fifth of a second apart.
JOB_VISIBILITY_TIMEOUT_S = 0.5
# Jobs that were left lately, about which their new owners may ask.
MAX_REMAINDERS = 4


@dataclass(frozen=True)
class ResultPage:
    """Results of a job from a position on.

    Attributes:
        num_items: Items of the job.
        results: The results, in order.
    """

    num_items: int
    results: list[ItemResult]


class JobService:
    """All jobs, as one node sees them.

    Args:
        log: Durable state of jobs.
        progress: Keeps what unfinished items generate.
        reader: Reads jobs of other owners.
        services: What running items takes.
        peers: Hands jobs to other nodes.
        peer_addresses: Returns where other nodes are reached, the preferred ones first.
        live: The live processes and the open jobs, as this node sees them.
        session: Proves that this process may still own what it owned.

    Attributes:
        intake: Accepts jobs.
    """

    def __init__(
        self,
        log: JobLog,
        progress: ProgressLog,
        reader: JobReader,
        services: ItemServices,
        peers: PeerJobs,
        peer_addresses: Callable[[], list[str]],
        live: LiveState,
        session: Session,
    ) -> None:
        self.intake = JobIntake(log, peers, peer_addresses, live, self, lambda: session.is_held)
        self._live = live
        self._session = session
        self._peers = peers
        self._log = log
        self._progress = progress
        self._reader = reader
        self._services = services
        self._runners: dict[str, JobRunner] = {}
        self._left: OrderedDict[str, JobRemainder] = OrderedDict()
        self._sequence = itertools.count()
        self._background: set[asyncio.Task[Any]] = set()

    @property
    def num_running(self) -> int:
        """How many unfinished jobs this node owns."""
        return len(self._runners)

    def owns(self, job_id: str) -> bool:
        """Whether this node runs a job."""
        return job_id in self._runners

    # -- accepting --------------------------------------------------------------------------

    async def submit(self, job: Job) -> Problem | None:
        """Accept a job, here or at another node; ``None`` once it is stored for good."""
        version = self._services.routes.version or 0
        return await self.intake.submit(replace(job, configuration_version=version))

    async def submit_here(self, job: Job) -> Problem | None:
        """Accept a job on this node; ``None`` once it is stored for good."""
        return await self.intake.submit_here(job)

    def run_job(
        self,
        job: Job,
        results: list[ItemResult],
        is_taken_over: bool = False,
        kept: SavedEvents | None = None,
        unlisted: Sequence[ItemResult] = (),
    ) -> None:
        """Run a job on this node.

        Args:
            job: The job.
            results: Its results listed so far.
            is_taken_over: Whether another process owned it before.
            kept: What is kept of its unfinished items.
            unlisted: Results of an earlier owner that may not be listed yet.
        """
        if self.intake.is_stopping or job.id in self._runners:
            return
        runner = JobRunner(
            job,
            results,
            self._log,
            self._progress,
            self._services,
            next(self._sequence),
            self._on_done,
            is_taken_over,
            kept,
            unlisted,
        )
        self._runners[job.id] = runner
        logging.info(
            "job %s: owned, %d items, %d listed, %d to be listed, %d events kept of %d others (%s)",
            job.id,
            len(job.items),
            len(results),
            len(unlisted),
            sum(len(events) for events in (kept or {}).values()),
            len(kept or {}),
            self._services.routes.describe(),
        )

    def _on_done(self, runner: JobRunner) -> None:
        self._runners.pop(runner.job.id, None)
        self._reader.cache_job(runner.job, runner.results)
        logging.info("job %s: %d listed, done here", runner.job.id, len(runner.results))

    # -- reading ----------------------------------------------------------------------------

    async def read(self, job_id: str, after: int, wait_s: float) -> ResultPage | Problem:
        """Return the results from a position on, waiting until there is one."""
        runner = self._runners.get(job_id)
        if runner is not None:
            if len(runner.results) <= after:
                await _wait_for(runner.results_changed, wait_s)
            return ResultPage(len(runner.job.items), runner.results[after:])
        if self._reader.complete_job(job_id) is None:
            # The owner knows more than the store, and a caller that waits loses nothing.
            await self._live.wait_for_job(job_id, min(wait_s, JOB_VISIBILITY_TIMEOUT_S))
            page = await self._read_at_owner(ReadJobRequest(job_id, after, wait_s))
            if page is not None:
                return ResultPage(page.num_items, list(page.results))
        found = await self._reader.results(job_id, after, wait_s)
        if found is None:
            return _unknown_job(job_id)
        if isinstance(found, NotDone | Unknown):
            return _unsure(job_id, found.reason)
        job, results = found
        return ResultPage(len(job.items), results[after:])

    async def _read_at_owner(self, request: ReadJobRequest) -> JobPage | None:
        address = self._live.owner_address(request.job_id)
        return None if address is None else await self._peers.read(address, request)

    async def answer_peer(self, request: ReadJobRequest) -> JobPage:
        """Answer another node, if this one owns the job for sure or holds all its results."""
        runner = self._runners.get(request.job_id)
        if runner is None:
            return self._whole_page(request)
        if len(runner.results) <= request.after:
            await _wait_for(runner.results_changed, request.wait_s)
        # A process whose session may be over may have lost the job to another one.
        if not self._session.is_valid:
            return JobPage(is_owner=False)
        results = tuple(runner.results[request.after :])
        job = runner.job if request.with_job else None
        return JobPage(True, len(runner.job.items), results, job)

    def _whole_page(self, request: ReadJobRequest) -> JobPage:
        """Answer for a job that was owned here, if all its results are listed: none can change."""
        whole = self._reader.complete_job(request.job_id)
        if whole is None:
            return JobPage(is_owner=False)
        job, results = whole
        asked_job = job if request.with_job else None
        return JobPage(True, len(job.items), tuple(results[request.after :]), asked_job)

    async def _find_job(self, job_id: str) -> Job | Unavailable | None:
        """Find a job here, at its owner or in the store; ``None`` if there certainly is none."""
        runner = self._runners.get(job_id)
        if runner is not None:
            return runner.job
        if not self._reader.is_cached(job_id):
            page = await self._read_at_owner(ReadJobRequest(job_id, 0, 0.0, with_job=True))
            if page is not None and page.job is not None:
                self._reader.cache_job(page.job, list(page.results))
                return page.job
        return await self._reader.job(job_id)

    async def item(self, job_id: str, item_id: str) -> JobItem | Problem:
        """Return an item of a job."""
        job = await self._find_job(job_id)
        if job is None:
            return _unknown_job(job_id)
        if isinstance(job, NotDone | Unknown):
            return _unsure(job_id, job.reason)
        for item in job.items:
            if item.id == item_id:
                return item
        return Problem(ResultCode.UNKNOWN_JOB, f"the job has no item {item_id}", job_id)

    # -- ending -----------------------------------------------------------------------------

    async def end(self, job_id: str) -> Problem | None:
        """End a job; ``None`` once that is stored for good."""
        if job_id not in self._runners and not self._live.knows_job(job_id):
            job = await self._find_job(job_id)
            if job is None:
                return _unknown_job(job_id)
            if isinstance(job, NotDone | Unknown):
                return _unsure(job_id, job.reason)
        started_s = now_s()
        while not await self._log.end(job_id):
            if now_s() - started_s > END_TIMEOUT_S:
                return _unsure(job_id, "the end could not be stored")
            await asyncio.sleep(END_RETRY_INTERVAL_S)
        self.receive_job_end(job_id)
        return None

    def receive_job_end(self, job_id: str) -> None:
        """A job was ended, here or elsewhere: stop its items."""
        runner = self._runners.get(job_id)
        if runner is not None:
            logging.info("job %s: ended, %d listed", job_id, len(runner.results))
            self._keep(asyncio.create_task(runner.stop()))
        self._reader.record_job_end(job_id)

    def receive_owner_change(self, job: OpenJob) -> None:
        """Another process owns a job now: leave it, it runs there and is read there.

        What the view tells of a job's owner is never older than what this process claimed it on.
        """
        runner = self._runners.get(job.job_id)
        if runner is not None:
            logging.warning("job %s: belongs to %s now, left", job.job_id, job.owner)
            self._leave(runner)

    def _leave(self, runner: JobRunner) -> None:
        """Stop running a job, and remember for its new owner what was held of it."""
        self._left[runner.job.id] = runner.remainder()
        while len(self._left) > MAX_REMAINDERS:
            self._left.popitem(last=False)
        self._keep(asyncio.create_task(runner.stop()))

    def remainder(self, job_id: str) -> JobRemainder:
        """Return what this node holds of a job that it owns or owned."""
        runner = self._runners.get(job_id)
        if runner is not None:
            return runner.remainder()
        return self._left.get(job_id, JobRemainder())

    def has_waiting(self, service: str) -> bool:
        """Whether any item of the jobs owned here waits for a slot at a service."""
        return any(runner.has_waiting(service) for runner in self._runners.values())

    def open_work(self, service: str, incarnation_positions: Mapping[str, int]) -> list[OpenWork]:
        """Return what is left to generate of the jobs owned here; see :class:`OpenWorkSource`."""
        works = (
            runner.open_work(service, incarnation_positions) for runner in self._runners.values()
        )
        return [work for work in works if work is not None]

    # -- stopping ---------------------------------------------------------------------------

    def stop_accepting(self) -> None:
        """Accept and take over nothing more; owned jobs go on."""
        self.intake.is_stopping = True

    async def drain(self, timeout_s: float, handover_timeout_s: float = 0.0) -> None:
        """Accept nothing more, and let owned jobs finish for a while; then hand them over.

        Args:
            timeout_s: How long they may go on, in seconds.
            handover_timeout_s: How long handing over may take then, in seconds; 0 to leave them as
                they are.
        """
        self.stop_accepting()
        if self._runners:
            await asyncio.wait(
                {runner.task for runner in self._runners.values()}, timeout=max(0.0, timeout_s)
            )
        runners = list(self._runners.values())
        await asyncio.gather(*(self._hand_over(runner, handover_timeout_s) for runner in runners))
        await self.intake.stop()
        await cancel_all(*self._background)

    async def _hand_over(self, runner: JobRunner, timeout_s: float) -> None:
        """Leave an unfinished job to the process that should own it next, with all it has."""
        try:
            async with asyncio.timeout(timeout_s):
                await runner.save_progress()
                open_job = self._live.open_jobs.get(runner.job.id)
                successor = self._live.successor(runner.job)
                if open_job is not None and successor is not None:
                    is_done = await self._log.assign(open_job, successor)
                    outcome = "handed over" if is_done else "not handed over"
                    logging.info("job %s: %s to %s", runner.job.id, outcome, successor)
        except TimeoutError:
            logging.warning("job %s: left, the store does not answer", runner.job.id)
        await runner.stop()

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _wait_for(event: asyncio.Event, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return


def _unknown_job(job_id: str) -> Problem:
    return Problem(ResultCode.UNKNOWN_JOB, "there is no such job", job_id)


def _unsure(job_id: str, reason: str) -> Problem:
    return Problem(ResultCode.JOB_UNSURE, reason, job_id, READ_RETRY_AFTER_S)
