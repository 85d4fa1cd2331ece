"""Accepts, reads and ends jobs on one node, and owns those that were accepted here."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.session import Session
from hollowrack.coordination.store import NotDone, Unavailable, Unknown
from hollowrack.jobs.item_runner import ItemServices
from hollowrack.jobs.job_log import (
    MAX_JOB_ID_LENGTH,
    CreateOutcome,
    JobLog,
    OpenJob,
    StoredJob,
)
from hollowrack.jobs.job_reader import JobReader
from hollowrack.jobs.job_runner import JobRunner
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peers import JobPage, PeerJobs, ReadJob
from hollowrack.jobs.progress import JobRemainder, KeptEvents, ProgressLog
from hollowrack.jobs.types import ItemResult, Job, JobItem
from hollowrack.results import Problem, ResultCode
from hollowrack.tasks import cancel_all

CREATE_PAUSE_S = 0.25
# Refused writes are tried for this long; then the caller is told when to come back.
CREATE_PATIENCE_S = 0.6
CREATE_RETRY_AFTER_S = 2.5
# A write without an answer may have been done: only its outcome can answer the caller.
RESOLVE_PATIENCE_S = 8.0
END_PATIENCE_S = 3.0
READ_RETRY_AFTER_S = 0.3
MAX_PEERS_ASKED = 3
# The node that should own a job answers soon, or another one owns it.
HANDOFF_TIMEOUT_S = 1.0
PEER_TIMEOUT_S = 3.0
# How long a stopping process tries to hand a job over, in seconds.
HAND_OVER_S = 0.6
# Jobs that were left lately, about which their new owners may ask.
MAX_LEFT_JOBS = 4
# Problems after which nothing of the job is stored, and another node may do better.
_WORTH_HANDING_ON = frozenset({ResultCode.STOPPING, ResultCode.JOB_NOT_STORED})


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
        self.hands_on = True
        self._live = live
        self._session = session
        self._peers = peers
        self._peer_addresses = peer_addresses
        self._log = log
        self._progress = progress
        self._reader = reader
        self._services = services
        self._runners: dict[str, JobRunner] = {}
        self._left: OrderedDict[str, JobRemainder] = OrderedDict()
        self._sequence = itertools.count()
        self._background: set[asyncio.Task[Any]] = set()
        self._is_stopping = False

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
        preferred = None
        if self.hands_on and not self.owns(job.id):
            preferred = self._live.preferred_owner_address(job)
        may_be_stored = False
        if preferred is not None:
            handed = await self._hand_on(preferred, job, HANDOFF_TIMEOUT_S)
            if handed is None:
                return None
            may_be_stored = handed.code not in _WORTH_HANDING_ON
        problem = await self.submit_here(job)
        if problem is None or problem.code not in _WORTH_HANDING_ON:
            return problem
        others = [address for address in self._peer_addresses() if address != preferred]
        for address in others[:MAX_PEERS_ASKED]:
            handed = await self._hand_on(address, job, PEER_TIMEOUT_S)
            if handed is None:
                return None
            if handed.code not in _WORTH_HANDING_ON:
                return handed
        if may_be_stored:
            return Problem(ResultCode.OUTCOME_UNKNOWN, "a node may have stored the job", job.id)
        return problem

    async def _hand_on(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        handed = await self._peers.submit(address, job, timeout_s)
        if handed is None:
            logging.info("job %s: handed to the node at %s", job.id, address)
        return handed

    async def submit_here(self, job: Job) -> Problem | None:
        """Accept a job on this node; ``None`` once it is stored for good."""
        if not 0 < len(job.id) <= MAX_JOB_ID_LENGTH:
            return Problem(ResultCode.BAD_REQUEST, "the identifier is empty or too long", "id")
        if job.id in self._runners:
            return None
        if self._is_stopping:
            return Problem(ResultCode.STOPPING, "this node is stopping", job.id, 0.5)
        store_task = asyncio.create_task(self._store_new(job))
        self._keep(store_task)
        # The caller may leave; an attempt whose outcome is open goes on without it.
        outcome = await asyncio.shield(store_task)
        return _problem_of(outcome, job.id)

    async def _store_new(self, job: Job) -> CreateOutcome:
        started_s = now_s()
        may_be_stored = False
        while True:
            outcome = await self._log.create(job)
            if outcome is CreateOutcome.CREATED:
                self.own(job, [])
                return outcome
            if outcome is CreateOutcome.EXISTS:
                await self._own_if_mine(job)
                return outcome
            if outcome is CreateOutcome.TOO_LARGE:
                return outcome
            may_be_stored = may_be_stored or outcome is CreateOutcome.UNKNOWN
            patience_s = RESOLVE_PATIENCE_S if may_be_stored else CREATE_PATIENCE_S
            if now_s() - started_s > patience_s:
                return CreateOutcome.UNKNOWN if may_be_stored else CreateOutcome.NOT_DONE
            await asyncio.sleep(CREATE_PAUSE_S)

    async def _own_if_mine(self, job: Job) -> None:
        """Own a job stored by an earlier attempt of this node whose answer was lost."""
        owner = await self._log.owner_of(job.id)
        if owner == self._log.owner and job.id not in self._runners:
            stored = await self._log.load(job.id)
            self.own(job, stored.results if isinstance(stored, StoredJob) else [])

    def own(
        self,
        job: Job,
        results: list[ItemResult],
        is_taken_over: bool = False,
        kept: KeptEvents | None = None,
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
        if self._is_stopping or job.id in self._runners:
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
            "job %s: owned, %d items, %d listed, %d to be listed, %d events kept of %d others",
            job.id,
            len(job.items),
            len(results),
            len(unlisted),
            sum(len(events) for events in (kept or {}).values()),
            len(kept or {}),
        )

    def _on_done(self, runner: JobRunner) -> None:
        self._runners.pop(runner.job.id, None)
        self._reader.remember(runner.job, runner.results)
        logging.info("job %s: %d listed, done here", runner.job.id, len(runner.results))

    # -- reading ----------------------------------------------------------------------------

    async def read(self, job_id: str, after: int, wait_s: float) -> ResultPage | Problem:
        """Return the results from a position on, waiting until there is one."""
        runner = self._runners.get(job_id)
        if runner is not None:
            if len(runner.results) <= after:
                await _wait_for(runner.changed, wait_s)
            return ResultPage(len(runner.job.items), runner.results[after:])
        page = await self._read_at_owner(ReadJob(job_id, after, wait_s))
        if page is not None:
            return ResultPage(page.num_items, list(page.results))
        found = await self._reader.results(job_id, after, wait_s)
        if found is None:
            return _unknown_job(job_id)
        if isinstance(found, NotDone | Unknown):
            return _unsure(job_id, found.reason)
        job, results = found
        return ResultPage(len(job.items), results[after:])

    async def _read_at_owner(self, request: ReadJob) -> JobPage | None:
        address = self._live.owner_address(request.job_id)
        return None if address is None else await self._peers.read(address, request)

    async def answer_peer(self, request: ReadJob) -> JobPage:
        """Answer another node, if this one owns the job for sure."""
        runner = self._runners.get(request.job_id)
        if runner is None:
            return JobPage(is_owner=False)
        if len(runner.results) <= request.after:
            await _wait_for(runner.changed, request.wait_s)
        # A process whose session may be over may have lost the job to another one.
        if not self._session.is_valid:
            return JobPage(is_owner=False)
        results = tuple(runner.results[request.after :])
        job = runner.job if request.with_job else None
        return JobPage(True, len(runner.job.items), results, job)

    async def _find_job(self, job_id: str) -> Job | Unavailable | None:
        """Find a job here, at its owner or in the store; ``None`` if there certainly is none."""
        runner = self._runners.get(job_id)
        if runner is not None:
            return runner.job
        if not self._reader.knows(job_id):
            page = await self._read_at_owner(ReadJob(job_id, 0, 0.0, with_job=True))
            if page is not None and page.job is not None:
                self._reader.remember(page.job, list(page.results))
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
        if job_id not in self._runners and job_id not in self._live.open_jobs:
            job = await self._find_job(job_id)
            if job is None:
                return _unknown_job(job_id)
            if isinstance(job, NotDone | Unknown):
                return _unsure(job_id, job.reason)
        started_s = now_s()
        while not await self._log.end(job_id):
            if now_s() - started_s > END_PATIENCE_S:
                return _unsure(job_id, "the end could not be stored")
            await asyncio.sleep(CREATE_PAUSE_S)
        self.note_ended(job_id)
        return None

    def note_ended(self, job_id: str) -> None:
        """A job was ended, here or elsewhere: stop its items."""
        runner = self._runners.get(job_id)
        if runner is not None:
            logging.info("job %s: ended, %d listed", job_id, len(runner.results))
            self._keep(asyncio.create_task(runner.stop()))
        self._reader.note_ended(job_id)

    def note_replaced(self, job: OpenJob) -> None:
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
        while len(self._left) > MAX_LEFT_JOBS:
            self._left.popitem(last=False)
        self._keep(asyncio.create_task(runner.stop()))

    def remainder(self, job_id: str) -> JobRemainder:
        """Return what this node holds of a job that it owns or owned."""
        runner = self._runners.get(job_id)
        if runner is not None:
            return runner.remainder()
        return self._left.get(job_id, JobRemainder())

    # -- stopping ---------------------------------------------------------------------------

    def refuse_new(self) -> None:
        """Accept and take over nothing more; owned jobs go on."""
        self._is_stopping = True

    async def drain(self, patience_s: float) -> None:
        """Accept nothing more, and let owned jobs finish for a while; then leave them."""
        self.refuse_new()
        if self._runners:
            await asyncio.wait(
                {runner.task for runner in self._runners.values()}, timeout=max(0.0, patience_s)
            )
        runners = list(self._runners.values())
        await asyncio.gather(*(self._hand_over(runner) for runner in runners))
        await cancel_all(*self._background)

    async def _hand_over(self, runner: JobRunner) -> None:
        """Leave an unfinished job to the process that should own it next, with all it has."""
        try:
            async with asyncio.timeout(HAND_OVER_S):
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


def _problem_of(outcome: CreateOutcome, job_id: str) -> Problem | None:
    if outcome in (CreateOutcome.CREATED, CreateOutcome.EXISTS):
        return None
    if outcome is CreateOutcome.TOO_LARGE:
        return Problem(ResultCode.BODY_TOO_LARGE, "the job is too large to be stored", job_id)
    if outcome is CreateOutcome.NOT_DONE:
        return Problem(
            ResultCode.JOB_NOT_STORED, "the store takes no writes", job_id, CREATE_RETRY_AFTER_S
        )
    return Problem(ResultCode.OUTCOME_UNKNOWN, "the store did not answer", job_id)


def _unknown_job(job_id: str) -> Problem:
    return Problem(ResultCode.UNKNOWN_JOB, "there is no such job", job_id)


def _unsure(job_id: str, reason: str) -> Problem:
    return Problem(ResultCode.JOB_UNSURE, reason, job_id, READ_RETRY_AFTER_S)
