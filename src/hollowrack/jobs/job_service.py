"""Job service of one node: accepts, reads and ends jobs, and runs those that it owns."""

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
from hollowrack.jobs.handover import JobHandover
from hollowrack.jobs.handover_schedule import HandoverSchedule
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_intake import JobIntake
from hollowrack.jobs.job_log import JobLog, OpenJob
from hollowrack.jobs.job_reader import JobReader
from hollowrack.jobs.job_regions import RegionEvent, allowed_regions_of_job
from hollowrack.jobs.job_runner import JobRunner
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peer_jobs import JobPage, PeerJobs, ReadJobRequest
from hollowrack.jobs.progress import JobRemainder, ProgressLog, SavedEvents
from hollowrack.jobs.types import ItemResult, Job, JobItem
from hollowrack.jobs.unstarted_jobs import UnstartedJobs
from hollowrack.results import Problem, ResultCode
from hollowrack.slots.types import OpenWork
from hollowrack.tasks import cancel_all

END_RETRY_INTERVAL_S = 0.25
END_TIMEOUT_S = 3.0
READ_RETRY_AFTER_S = 0.3
# All nodes see a new job within two polls of the feed of changes, which are 0.2 s apart.
JOB_VISIBILITY_TIMEOUT_S = 0.5
# After an outage of the store the entries of all processes are written again within some seconds.
SESSION_LOSS_WINDOW_S = 5.0
# Jobs taken over by other nodes whose remainder is held for requests of their new owners.
MAX_REMAINDERS = 4


@dataclass(frozen=True)
class ResultPage:
    """Results of a job from a position on.

    Attributes:
        num_items: Number of items of the job.
        results: Listed results in order.
    """

    num_items: int
    results: list[ItemResult]


class JobService:
    """Accepts, reads and ends jobs of all owners, and runs the jobs that this node owns.

    Args:
        log: Durable state of jobs.
        progress: Access to the stored events of unfinished items.
        reader: Reads jobs of other owners.
        services: Components shared by all item runners of the node.
        peers: Client for requests to other nodes.
        peer_addresses: Returns the addresses of other nodes in order of preference.
        live: Cluster state as seen by this node.
        session: Session whose validity proves that this process still owns its jobs.

    Attributes:
        intake: Accepts and stores new jobs.
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
        self._remainders: OrderedDict[str, JobRemainder] = OrderedDict()
        self._sequence = itertools.count()
        self._background: set[asyncio.Task[Any]] = set()
        self._unstarted = UnstartedJobs(log, live, self._is_known)
        self._pass_on_task: asyncio.Task[None] | None = None

    @property
    def num_running(self) -> int:
        """Number of unfinished jobs that this node owns."""
        return len(self._runners)

    def owns(self, job_id: str) -> bool:
        """Return whether this node runs a job."""
        return job_id in self._runners

    # -- accepting --------------------------------------------------------------------------

    async def submit(
        self, job: Job, allowed_regions: frozenset[str] | None = None
    ) -> Problem | None:
        """Accept a job, here or at another node; ``None`` once it is stored durably.

        Args:
            job: The job.
            allowed_regions: Allowed regions of its route and tenant; ``None`` for all.
        """
        routes = self._services.routes
        if self._live.regions.topology.has_several_regions:
            allowed_regions = allowed_regions_of_job(job, routes, allowed_regions)
        job = replace(job, configuration_version=routes.version or 0)
        return await self.intake.submit(job, allowed_regions)

    async def submit_here(
        self, job: Job, allowed_regions: frozenset[str] | None = None
    ) -> Problem | None:
        """Accept a job on this node; ``None`` once it is stored durably."""
        return await self.intake.submit_here(job, allowed_regions)

    def run_job(
        self,
        job: Job,
        results: list[ItemResult],
        is_taken_over: bool = False,
        saved_events: SavedEvents | None = None,
        unlisted: Sequence[ItemResult] = (),
        owner_revision: int = 0,
    ) -> None:
        """Run a job on this node, unless it runs already or the node is stopping.

        A job that was ended, finished or given to another owner since this process became its owner
        is not run either: the changes of a job without a runner are received only once.

        Args:
            job: The job.
            results: Results listed so far.
            is_taken_over: Whether another process owned it before.
            saved_events: Stored events of its unfinished items.
            unlisted: Results of an earlier owner that may not be listed yet.
            owner_revision: Revision of the job's owner entry that this process read as its own or
                replaced; 0 if it created the entry.
        """
        if self.intake.is_stopping or job.id in self._runners:
            return
        regions = self._live.regions
        if not regions.allows_here(regions.allowed_regions(job.id)):
            logging.error("job %s: not run, this node is outside its allowed regions", job.id)
            return
        reason = self._live.reason_not_to_run(job.id, owner_revision)
        if reason is not None:
            logging.info("job %s: not run on this node, %s", job.id, reason)
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
            saved_events,
            unlisted,
        )
        self._runners[job.id] = runner
        logging.info(
            "job %s: owned, %d items, %d listed, %d to be listed, "
            "%d saved events of %d other items (%s)",
            job.id,
            len(job.items),
            len(results),
            len(unlisted),
            sum(len(events) for events in (saved_events or {}).values()),
            len(saved_events or {}),
            self._services.routes.describe(),
        )

    def _on_done(self, runner: JobRunner) -> None:
        self._runners.pop(runner.job.id, None)
        self._reader.cache_job(runner.job, runner.results)
        logging.info(
            "job %s: no longer run on this node, %d results listed",
            runner.job.id,
            len(runner.results),
        )

    # -- reading ----------------------------------------------------------------------------

    async def read(self, job_id: str, after: int, wait_s: float) -> ResultPage | Problem:
        """Return the results from a position on, after waiting at most ``wait_s`` for the first."""
        runner = self._runners.get(job_id)
        if runner is not None:
            if len(runner.results) <= after:
                await _wait_for(runner.results_changed, wait_s)
            return ResultPage(len(runner.job.items), runner.results[after:])
        if self._reader.complete_job(job_id) is None:
            # The owner has newer results than the store, so wait until this node knows the owner.
            await self._live.wait_for_job(job_id, min(wait_s, JOB_VISIBILITY_TIMEOUT_S))
            page = await self._read_from_owner(ReadJobRequest(job_id, after, wait_s))
            if page is not None:
                return ResultPage(page.num_items, list(page.results))
        found = await self._reader.results(job_id, after, wait_s)
        if found is None:
            return _unknown_job_problem(job_id)
        if isinstance(found, NotDone | Unknown):
            return _unsure_problem(job_id, found.reason)
        job, results = found
        return ResultPage(len(job.items), results[after:])

    async def _read_from_owner(self, request: ReadJobRequest) -> JobPage | None:
        address = self._live.owner_address(request.job_id)
        return None if address is None else await self._peers.read(address, request)

    async def answer_peer(self, request: ReadJobRequest) -> JobPage:
        """Answer a read of another node if this one certainly owns the job or has all results."""
        runner = self._runners.get(request.job_id)
        if runner is None:
            return self._complete_page(request)
        if len(runner.results) <= request.after:
            await _wait_for(runner.results_changed, request.wait_s)
        # A process whose session may have expired may have lost the job to another owner.
        if not self._session.is_valid:
            return JobPage(is_owner=False)
        results = tuple(runner.results[request.after :])
        job = runner.job if request.with_job else None
        return JobPage(True, len(runner.job.items), results, job)

    def _complete_page(self, request: ReadJobRequest) -> JobPage:
        """Answer a read of a job that was owned here, if all its results are listed."""
        complete = self._reader.complete_job(request.job_id)
        if complete is None:
            return JobPage(is_owner=False)
        job, results = complete
        requested_job = job if request.with_job else None
        return JobPage(True, len(job.items), tuple(results[request.after :]), requested_job)

    async def _find_job(self, job_id: str) -> Job | Unavailable | None:
        """Find a job here, at its owner or in the store.

        Returns:
            The job; ``None`` only if the store has answered that there is no such job.
        """
        runner = self._runners.get(job_id)
        if runner is not None:
            return runner.job
        if not self._reader.is_cached(job_id):
            page = await self._read_from_owner(ReadJobRequest(job_id, 0, 0.0, with_job=True))
            if page is not None and page.job is not None:
                self._reader.cache_job(page.job, list(page.results))
                return page.job
        return await self._reader.job(job_id)

    async def item(self, job_id: str, item_id: str) -> JobItem | Problem:
        """Return an item of a job."""
        job = await self._find_job(job_id)
        if job is None:
            return _unknown_job_problem(job_id)
        if isinstance(job, NotDone | Unknown):
            return _unsure_problem(job_id, job.reason)
        for item in job.items:
            if item.id == item_id:
                return item
        return Problem(ResultCode.UNKNOWN_JOB, f"the job has no item {item_id}", job_id)

    # -- ending -----------------------------------------------------------------------------

    async def end(self, job_id: str) -> Problem | None:
        """End a job; ``None`` once the end is stored durably."""
        is_known = self._live.knows_job(job_id) or self._live.regions.is_stored(job_id)
        if job_id not in self._runners and not is_known:
            job = await self._find_job(job_id)
            if job is None:
                return _unknown_job_problem(job_id)
            if isinstance(job, NotDone | Unknown):
                return _unsure_problem(job_id, job.reason)
        started_s = now_s()
        while not await self._log.end(job_id):
            if now_s() - started_s > END_TIMEOUT_S:
                return _unsure_problem(job_id, "the end of the job could not be stored")
            await asyncio.sleep(END_RETRY_INTERVAL_S)
        self._live.note_end(job_id)
        self.receive_job_end(job_id)
        return None

    def receive_job_end(self, job_id: str) -> None:
        """Stop a job that was ended here or at another node."""
        runner = self._runners.get(job_id)
        if runner is not None:
            logging.info("job %s: ended, %d results listed", job_id, len(runner.results))
            self._track_task(asyncio.create_task(runner.stop()))
        self._reader.record_job_end(job_id)

    def receive_owner_change(self, job: OpenJob) -> None:
        """Stop a job that another process owns now.

        The owner in the cluster state is never older than the entry that this process claimed.
        """
        runner = self._runners.get(job.job_id)
        if runner is not None:
            logging.warning("job %s: now owned by %s, stopped on this node", job.job_id, job.owner)
            self._stop_lost_job(runner)

    def _stop_lost_job(self, runner: JobRunner) -> None:
        """Stop running a job, and hold its remainder for requests of the new owner."""
        self._hold_remainder(runner)
        self._track_task(asyncio.create_task(runner.stop()))

    def _hold_remainder(self, runner: JobRunner) -> None:
        """Hold the remainder of a job for requests of its next owner."""
        self._remainders[runner.job.id] = runner.remainder()
        while len(self._remainders) > MAX_REMAINDERS:
            self._remainders.popitem(last=False)

    def remainder(self, job_id: str) -> JobRemainder:
        """Return the remainder of a job that this node owns or owned; empty if there is none."""
        if not self._live.may_send_remainder(job_id):
            self._live.regions.count(RegionEvent.REMAINDER_WITHHELD)
            logging.warning(
                "job %s: remainder not sent, the owner is outside its allowed regions", job_id
            )
            return JobRemainder()
        runner = self._runners.get(job_id)
        if runner is not None:
            return runner.remainder()
        return self._remainders.get(job_id, JobRemainder())

    def has_waiting(self, service: str) -> bool:
        """Return whether any item of the jobs owned here waits for a slot at a service."""
        return any(runner.has_waiting(service) for runner in self._runners.values())

    def open_work(self, service: str, incarnation_positions: Mapping[str, int]) -> list[OpenWork]:
        """Return the open work of the jobs owned here; see :class:`OpenWorkSource`."""
        open_works = (
            runner.open_work(service, incarnation_positions) for runner in self._runners.values()
        )
        return [work for work in open_works if work is not None]

    # -- stopping ---------------------------------------------------------------------------

    def stop_accepting(self) -> None:
        """Accept and take over no more jobs; owned jobs continue."""
        self.intake.is_stopping = True

    def pass_on_unstarted(self) -> None:
        """Assign jobs that this stopping process owns but does not run to others."""
        is_running = self._pass_on_task is not None and not self._pass_on_task.done()
        if not is_running and self._unstarted.find():
            self._pass_on_task = asyncio.create_task(self._unstarted.run())
            self._track_task(self._pass_on_task)

    def _is_known(self, job_id: str) -> bool:
        return self.owns(job_id) or self._reader.complete_job(job_id) is not None

    async def drain(self, timeout_s: float) -> None:
        """Accept no more jobs, and let owned ones continue for a limited time.

        Args:
            timeout_s: How long owned jobs may continue, in seconds.
        """
        self.stop_accepting()
        # A listing without an answer may be applied late, after the handover.
        for job_id, runner in self._runners.items():
            open_job = self._live.open_jobs.get(job_id)
            if open_job is not None and open_job.owner == self._log.owner:
                runner.require_owner_revision(open_job.revision)
        if self._runners:
            await asyncio.wait(
                {runner.task for runner in self._runners.values()}, timeout=max(0.0, timeout_s)
            )

    async def hand_over(self, schedule: HandoverSchedule) -> JobHandover:
        """Try once to hand owned jobs over to other processes.

        Returns:
            The handover of the jobs for which that failed, to be completed.
        """
        handover = JobHandover(
            self._log,
            self._live,
            self.owns,
            self._hold_remainder,
            schedule,
            lambda: not self._session.is_valid or self._live.lost_own_entry(SESSION_LOSS_WINDOW_S),
        )
        await handover.start(list(self._runners.values()))
        return handover

    async def stop(self) -> None:
        """Stop the jobs that are still run here, and all tasks."""
        self.stop_accepting()
        await asyncio.gather(*(runner.stop() for runner in list(self._runners.values())))
        await self.intake.stop()
        await cancel_all(*self._background)

    def _track_task(self, task: asyncio.Task[Any]) -> None:
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _wait_for(event: asyncio.Event, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return


def _unknown_job_problem(job_id: str) -> Problem:
    return Problem(ResultCode.UNKNOWN_JOB, "there is no such job", job_id)


def _unsure_problem(job_id: str, reason: str) -> Problem:
    return Problem(ResultCode.JOB_UNSURE, reason, job_id, READ_RETRY_AFTER_S)
