"""Accepts jobs: at the node that should own them, here, or at another node."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from absl import logging

from hollowrack.clock import now_s
from hollowrack.jobs.job_log import MAX_JOB_ID_LENGTH, CreateOutcome, JobLog, StoredJob
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peer_jobs import PeerJobs
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.results import Problem, ResultCode
from hollowrack.tasks import cancel_all

CREATE_RETRY_INTERVAL_S = 0.25
# Refused writes are tried for this long; then the caller is told when to come back.
CREATE_TIMEOUT_S = 0.6
CREATE_RETRY_AFTER_S = 2.5
STOPPING_RETRY_AFTER_S = 0.5
# A write without an answer may have been done: only its outcome can answer the caller.
RESOLVE_TIMEOUT_S = 8.0
MAX_PEERS_ASKED = 3
# The node that should own a job answers soon, or another one owns it.
HANDOFF_TIMEOUT_S = 1.0
PEER_TIMEOUT_S = 3.0
# A node without a session asks one more host before it owns a job itself.
MAX_OTHER_HOSTS = 1
# Problems after which nothing of the job is stored, and another node may do better.
_WORTH_HANDING_ON = frozenset({ResultCode.STOPPING, ResultCode.JOB_NOT_STORED})


class JobOwner(Protocol):
    """Runs the jobs of this node."""

    def owns(self, job_id: str) -> bool:
        """Whether a job runs here."""

    def run_job(self, job: Job, results: list[ItemResult]) -> None:
        """Run a job here, with its results listed so far."""


class JobIntake:
    """Accepts jobs on one node.

    Args:
        log: Durable state of jobs.
        peers: Hands jobs to other nodes.
        peer_addresses: Returns where other nodes are reached, the preferred ones first.
        live: The live processes and the open jobs, as this node sees them.
        owner: Runs the jobs that are accepted here.
        is_host: Whether this node has a session, so that jobs may well stay here.

    Attributes:
        uses_preferred_owner: Whether jobs go to the node that should own them; otherwise to the one
            asked.
        is_stopping: Whether this node accepts nothing more.
    """

    def __init__(
        self,
        log: JobLog,
        peers: PeerJobs,
        peer_addresses: Callable[[], list[str]],
        live: LiveState,
        owner: JobOwner,
        is_host: Callable[[], bool],
    ) -> None:
        self._is_host = is_host
        self.uses_preferred_owner = True
        self.is_stopping = False
        self._log = log
        self._peers = peers
        self._peer_addresses = peer_addresses
        self._live = live
        self._owner = owner
        self._background: set[asyncio.Task[Any]] = set()

    async def submit(self, job: Job) -> Problem | None:
        """Accept a job, here or at another node; ``None`` once it is stored for good."""
        may_be_stored = False
        asked = self._first_asked(job)
        for address in asked:
            handed = await self._hand_on(address, job, HANDOFF_TIMEOUT_S)
            if handed is None:
                return None
            may_be_stored = may_be_stored or handed.code not in _WORTH_HANDING_ON
        problem = await self.submit_here(job)
        if problem is None or problem.code not in _WORTH_HANDING_ON:
            return problem
        others = [address for address in self._peer_addresses() if address not in asked]
        for address in others[:MAX_PEERS_ASKED]:
            handed = await self._hand_on(address, job, PEER_TIMEOUT_S)
            if handed is None:
                return None
            if handed.code not in _WORTH_HANDING_ON:
                return handed
        if may_be_stored:
            return Problem(ResultCode.OUTCOME_UNKNOWN, "a node may have stored the job", job.id)
        return problem

    def _first_asked(self, job: Job) -> list[str]:
        """The nodes that are asked to own a job before this one."""
        if not self.uses_preferred_owner or self._owner.owns(job.id):
            return []
        preferred = self._live.preferred_owner_address(job)
        if preferred is None:
            return []
        if self._is_host():
            return [preferred]
        others = [address for address in self._peer_addresses() if address != preferred]
        return [preferred, *others[:MAX_OTHER_HOSTS]]

    async def _hand_on(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        handed = await self._peers.submit(address, job, timeout_s)
        if handed is None:
            logging.info("job %s: handed to the node at %s", job.id, address)
        return handed

    async def submit_here(self, job: Job) -> Problem | None:
        """Accept a job on this node; ``None`` once it is stored for good."""
        if not 0 < len(job.id) <= MAX_JOB_ID_LENGTH:
            return Problem(ResultCode.BAD_REQUEST, "the identifier is empty or too long", "id")
        if self._owner.owns(job.id):
            return None
        if self.is_stopping:
            detail = "this node is stopping"
            return Problem(ResultCode.STOPPING, detail, job.id, STOPPING_RETRY_AFTER_S)
        store_task = asyncio.create_task(self._store(job))
        self._background.add(store_task)
        store_task.add_done_callback(self._background.discard)
        # The caller may leave; an attempt whose outcome is open goes on without it.
        outcome = await asyncio.shield(store_task)
        return _problem_of(outcome, job.id)

    async def stop(self) -> None:
        """Give up attempts that are still open."""
        await cancel_all(*self._background)

    async def _store(self, job: Job) -> CreateOutcome:
        started_s = now_s()
        may_be_stored = False
        while True:
            outcome = await self._log.create(job)
            if outcome is CreateOutcome.CREATED:
                self._owner.run_job(job, [])
                return outcome
            if outcome is CreateOutcome.EXISTS:
                await self._own_if_mine(job)
                return outcome
            if outcome is CreateOutcome.TOO_LARGE:
                return outcome
            may_be_stored = may_be_stored or outcome is CreateOutcome.UNKNOWN
            patience_s = RESOLVE_TIMEOUT_S if may_be_stored else CREATE_TIMEOUT_S
            if now_s() - started_s > patience_s:
                return CreateOutcome.UNKNOWN if may_be_stored else CreateOutcome.NOT_DONE
            await asyncio.sleep(CREATE_RETRY_INTERVAL_S)

    async def _own_if_mine(self, job: Job) -> None:
        """Own a job stored by an earlier attempt of this node whose answer was lost."""
        owner = await self._log.owner_of(job.id)
        if owner == self._log.owner and not self._owner.owns(job.id):
            stored = await self._log.load(job.id)
            known = stored if isinstance(stored, StoredJob) else StoredJob(job)
            self._owner.run_job(known.job, known.results)


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
