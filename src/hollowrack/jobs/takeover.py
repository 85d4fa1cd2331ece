"""Jobs whose owner is gone: its node's next process takes them back, or the leader does.

A new owner goes on where the old one was: with what that one has saved in the store, and with what
it still holds itself, if it answers.
"""

import asyncio

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.session import node_of_owner
from hollowrack.jobs.job_log import JobLog, OpenJob, StoredJob
from hollowrack.jobs.job_service import JobService
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peer_jobs import PeerJobs
from hollowrack.jobs.progress import JobRemainder, ProgressLog, longest_runs
from hollowrack.tasks import cancel_all

# An owner whose session is seen to be gone for this long is taken to be gone itself.
SESSION_LOSS_GRACE_S = 0.4
TAKEOVER_POLL_INTERVAL_S = 0.25
# A job that could not be taken is tried again after this and the grace.
CLAIM_RETRY_INTERVAL_S = 1.5
SCAN_INTERVAL_S = 6.0


class JobTakeover:
    """Looks for unfinished jobs without an owner while this node leads.

    Args:
        log: Durable state of jobs.
        progress: What is kept of unfinished items.
        peers: Asks former owners for what they hold.
        jobs: This node's jobs.
        leadership: Whether this node leads.
        live: The live processes and the open jobs, as this node sees them.
        is_live_loaded: Set once that view has been read.
    """

    def __init__(
        self,
        log: JobLog,
        progress: ProgressLog,
        peers: PeerJobs,
        jobs: JobService,
        leadership: Leadership,
        live: LiveState,
        is_live_loaded: asyncio.Event,
    ) -> None:
        self._log = log
        self._progress = progress
        self._peers = peers
        self._assigned_since_s: dict[str, float] = {}
        self._jobs = jobs
        self._leadership = leadership
        self._live = live
        self._is_live_loaded = is_live_loaded
        self._seen_owners: set[str] = set()
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
            await asyncio.sleep(TAKEOVER_POLL_INTERVAL_S)
            is_leader = self._leadership.is_leader
            if is_leader and not was_leader:
                self._scan_due_s = now_s() + SESSION_LOSS_GRACE_S
            was_leader = is_leader
            self._note_owners()
            await self._take_assigned()
            if is_leader and now_s() >= self._scan_due_s:
                self._scan_due_s = now_s() + SCAN_INTERVAL_S
                await self._scan()

    async def _take_back(self) -> None:
        """Take over what an earlier process of this node owned: that process has ended."""
        node = node_of_owner(self._log.owner)
        await self._is_live_loaded.wait()
        for job in self._oldest_first():
            if node_of_owner(job.owner) == node and job.owner != self._log.owner:
                await self._take_over(job)

    def _oldest_first(self) -> list[OpenJob]:
        """Unfinished jobs in the order in which they were stored or changed their owner.

        Jobs that are taken over together go on in the order in which they were accepted.
        """
        return sorted(self._live.open_jobs.values(), key=lambda job: job.revision)

    async def _take_assigned(self) -> None:
        """Run what another process has left to this one, or what it claimed and could not read."""
        mine = [job for job in self._oldest_first() if job.owner == self._log.owner]
        unowned = {job.job_id: job for job in mine if not self._jobs.owns(job.job_id)}
        # A job that this process has just stored or finished looks the same for a moment.
        self._assigned_since_s = {
            job_id: self._assigned_since_s.get(job_id, now_s()) for job_id in unowned
        }
        for job_id, since_s in list(self._assigned_since_s.items()):
            if now_s() - since_s >= SESSION_LOSS_GRACE_S:
                self._assigned_since_s[job_id] = now_s() + CLAIM_RETRY_INTERVAL_S
                await self._take_over(unowned[job_id])

    def _note_owners(self) -> None:
        live = set(self._live.nodes)
        if self._seen_owners - live:
            self._scan_due_s = min(self._scan_due_s, now_s() + SESSION_LOSS_GRACE_S)
        self._seen_owners = live

    async def _scan(self) -> None:
        live = set(self._live.nodes)
        for job in self._oldest_first():
            if job.owner not in live and job.owner != self._log.owner:
                await self._take_over(job)

    async def _take_over(self, job: OpenJob) -> None:
        """Claim a job and run it; a fault over one job keeps no other from being taken over."""
        try:
            await self._claim_and_load(job)
        except Exception:
            logging.exception("job %s: not taken over now", job.job_id)
            self._scan_due_s = min(self._scan_due_s, now_s() + CLAIM_RETRY_INTERVAL_S)

    async def _claim_and_load(self, job: OpenJob) -> None:
        # The view may lag behind the store: only the claim proves that the job is open.
        if await self._log.claim(job):
            await self._load(job)
        else:
            self._scan_due_s = min(self._scan_due_s, now_s() + SESSION_LOSS_GRACE_S)

    async def _ask_former_owner(self, job: OpenJob) -> JobRemainder:
        address = self._live.last_known_address(job.owner)
        return (
            JobRemainder() if address is None else await self._peers.remainder(address, job.job_id)
        )

    async def _load(self, job: OpenJob) -> None:
        stored, written, remainder = await asyncio.gather(
            self._log.load(job.job_id),
            self._progress.load(job.job_id),
            self._ask_former_owner(job),
        )
        if job.job_id not in self._live.open_jobs:
            return  # Ended meanwhile.
        if isinstance(stored, StoredJob):
            logging.info("job %s: taken over from %s", job.job_id, job.owner)
            kept = longest_runs([*written, remainder.items])
            self._jobs.run_job(stored.job, stored.results, True, kept, remainder.results)
        else:
            self._scan_due_s = min(self._scan_due_s, now_s() + SESSION_LOSS_GRACE_S)
