"""Jobs whose owner is gone: its node's next process takes them back, or the leader does."""

import asyncio
from collections.abc import Callable

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.session import node_of_owner
from hollowrack.coordination.store import NotDone, Unknown
from hollowrack.jobs.job_log import JobLog, OpenJob, StoredJob
from hollowrack.jobs.job_service import JobService
from hollowrack.tasks import cancel_all

# An owner whose session is seen to be gone for this long is taken to be gone itself.
GRACE_S = 0.4
LOOK_S = 0.25
IDLE_SCAN_S = 6.0


class JobTakeover:
    """Looks for unfinished jobs without an owner while this node leads.

    Args:
        log: Durable state of jobs.
        jobs: This node's jobs.
        leadership: Whether this node leads.
        live_owners: Returns the owners that hold a session.
    """

    def __init__(
        self,
        log: JobLog,
        jobs: JobService,
        leadership: Leadership,
        live_owners: Callable[[], set[str]],
    ) -> None:
        self._log = log
        self._jobs = jobs
        self._leadership = leadership
        self._live_owners = live_owners
        self._seen_owners: set[str] = set()
        self._gone_since_s: dict[str, float] = {}
        self._scan_due_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start looking."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop looking."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        await self._take_back()
        was_leader = False
        while True:
            await asyncio.sleep(LOOK_S)
            is_leader = self._leadership.is_leader
            if is_leader and not was_leader:
                self._scan_due_s = now_s() + GRACE_S
            was_leader = is_leader
            self._note_owners()
            if is_leader and now_s() >= self._scan_due_s:
                self._scan_due_s = now_s() + IDLE_SCAN_S
                await self._scan()

    async def _take_back(self) -> None:
        """Take over what an earlier process of this node owned: that process has ended."""
        node = node_of_owner(self._log.owner)
        while True:
            open_jobs = await self._log.open_jobs()
            if not isinstance(open_jobs, NotDone | Unknown):
                break
            await asyncio.sleep(LOOK_S)
        for job in open_jobs:
            if node_of_owner(job.owner) == node and job.owner != self._log.owner:
                await self._take_over(job)

    def _note_owners(self) -> None:
        live = self._live_owners()
        if self._seen_owners - live:
            self._scan_due_s = min(self._scan_due_s, now_s() + GRACE_S)
        self._seen_owners = live

    async def _scan(self) -> None:
        open_jobs = await self._log.open_jobs()
        if isinstance(open_jobs, NotDone | Unknown):
            self._scan_due_s = now_s() + GRACE_S
            return
        live = self._live_owners()
        for job in open_jobs:
            if job.owner == self._log.owner and not self._jobs.owns(job.job_id):
                # Claimed or created before, but its content could not be read then.
                await self._load(job)
            elif job.owner not in live and job.owner != self._log.owner:
                await self._take_over(job)

    async def _take_over(self, job: OpenJob) -> None:
        if await self._log.claim(job):
            await self._load(job)
        else:
            self._scan_due_s = min(self._scan_due_s, now_s() + GRACE_S)

    async def _load(self, job: OpenJob) -> None:
        stored = await self._log.load(job.job_id)
        if isinstance(stored, StoredJob):
            logging.info("job %s: taken over from %s", job.job_id, job.owner)
            self._jobs.own(stored.job, stored.results, is_taken_over=True)
        else:
            self._scan_due_s = min(self._scan_due_s, now_s() + GRACE_S)
