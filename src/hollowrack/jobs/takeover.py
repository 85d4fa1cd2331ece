"""Takeover of jobs whose owner has failed, by the next process of its node or by the leader.

The new owner resumes from the progress that the former owner saved in the store and, if that
process still answers, from the state that it holds.
"""

import asyncio

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.session import node_of_owner
from hollowrack.jobs.job_log import JobLog, OpenJob, StoredJob
from hollowrack.jobs.job_regions import RegionEvent, describe_regions
from hollowrack.jobs.job_service import JobService
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peer_jobs import PeerJobs
from hollowrack.jobs.progress import JobRemainder, ProgressLog, longest_runs
from hollowrack.tasks import cancel_all

# An owner counts as failed when its session has been absent for this long.
SESSION_LOSS_GRACE_S = 0.4
TAKEOVER_POLL_INTERVAL_S = 0.25
# Delay before a takeover that raised an error is retried; for jobs that this process owns already,
# it is added to the grace period.
CLAIM_RETRY_INTERVAL_S = 1.5
SCAN_INTERVAL_S = 6.0
# The leader assigns a job within 2 s of the end of its owner's session.
UNASSIGNED_TIMEOUT_S = 4.0


class JobTakeover:
    """Takes over unfinished jobs of former owners.

    Every node takes over jobs of its earlier processes and jobs assigned to it; the leader also
    takes over all others without a live owner. A leader outside the allowed regions of a job
    assigns it to a live host inside them, without reading it. If it does not, as its settings name
    no regions, one of these hosts claims the job after a delay.

    Args:
        log: Durable state of jobs.
        progress: Stored events of unfinished items.
        peers: Client for requests to former owners.
        jobs: Runs the jobs that are taken over.
        leadership: States whether this node is the leader.
        live: Cluster state as seen by this node.
        is_live_loaded: Set once the cluster state has been read.
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
        # Time since which jobs with allowed regions have had no live owner.
        self._ownerless_since_s: dict[str, float] = {}
        # Jobs without a live host in their allowed regions.
        self._without_host: set[str] = set()
        self._jobs = jobs
        self._leadership = leadership
        self._live = live
        self._is_live_loaded = is_live_loaded
        self._live_owners: set[str] = set()
        self._next_scan_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic check."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        await self._take_over_from_earlier_processes()
        was_leader = False
        while True:
            await asyncio.sleep(TAKEOVER_POLL_INTERVAL_S)
            is_leader = self._leadership.is_leader
            if is_leader and not was_leader:
                self._next_scan_s = now_s() + SESSION_LOSS_GRACE_S
            was_leader = is_leader
            self._update_owners()
            await self._take_over_assigned()
            if not is_leader and self._live.regions.num_jobs:
                await self._take_over_unassigned()
            if is_leader and now_s() >= self._next_scan_s:
                self._next_scan_s = now_s() + SCAN_INTERVAL_S
                await self._scan()

    async def _take_over_from_earlier_processes(self) -> None:
        """Take over the jobs of earlier processes of this node, which have ended."""
        node = node_of_owner(self._log.owner)
        await self._is_live_loaded.wait()
        for job in self._jobs_by_revision():
            if node_of_owner(job.owner) == node and job.owner != self._log.owner:
                await self._take_over(job)

    def _jobs_by_revision(self) -> list[OpenJob]:
        """Unfinished jobs in the order of the last write of their owner.

        Jobs that are taken over together keep the order in which they were accepted.
        """
        return sorted(self._live.open_jobs.values(), key=lambda job: job.revision)

    async def _take_over_assigned(self) -> None:
        """Run jobs that were handed over to this process, or that it claimed but failed to load."""
        assigned = [job for job in self._jobs_by_revision() if job.owner == self._log.owner]
        not_running = {job.job_id: job for job in assigned if not self._jobs.owns(job.job_id)}
        # A job that this process has just stored or finished is also not running for a moment.
        self._assigned_since_s = {
            job_id: self._assigned_since_s.get(job_id, now_s()) for job_id in not_running
        }
        for job_id, since_s in list(self._assigned_since_s.items()):
            if now_s() - since_s >= SESSION_LOSS_GRACE_S:
                self._assigned_since_s[job_id] = now_s() + CLAIM_RETRY_INTERVAL_S
                await self._take_over(not_running[job_id])

    async def _take_over_unassigned(self) -> None:
        """Take over jobs with allowed regions that the leader has not assigned in time."""
        ownerless = {
            job.job_id: job
            for job in self._jobs_by_revision()
            if self._live.regions.is_stored(job.job_id) and job.owner not in self._live.nodes
        }
        self._ownerless_since_s = {
            job_id: self._ownerless_since_s.get(job_id, now_s()) for job_id in ownerless
        }
        for job_id, since_s in list(self._ownerless_since_s.items()):
            is_due = now_s() - since_s >= UNASSIGNED_TIMEOUT_S
            if is_due and self._live.is_designated_host(job_id):
                self._ownerless_since_s[job_id] = now_s()
                await self._take_over(ownerless[job_id])

    def _update_owners(self) -> None:
        """Schedule a scan if a process has lost its session since the previous check."""
        live = set(self._live.nodes)
        if self._live_owners - live:
            self._next_scan_s = min(self._next_scan_s, now_s() + SESSION_LOSS_GRACE_S)
        self._live_owners = live

    async def _scan(self) -> None:
        """Take over all jobs without a live owner."""
        live = set(self._live.nodes)
        for job in self._jobs_by_revision():
            if job.owner not in live and job.owner != self._log.owner:
                await self._take_over(job)

    async def _take_over(self, job: OpenJob) -> None:
        """Claim a job and run it; an error must not prevent the takeover of other jobs."""
        regions = self._live.regions
        try:
            if regions.allows_here(regions.allowed_regions(job.job_id)):
                await self._claim_and_load(job)
            else:
                await self._assign_in_regions(job)
        except Exception:
            logging.exception("job %s: takeover failed, will be retried", job.job_id)
            self._next_scan_s = min(self._next_scan_s, now_s() + CLAIM_RETRY_INTERVAL_S)

    async def _claim_and_load(self, job: OpenJob) -> None:
        # The cluster state may lag behind the store: only the claim proves that the job is open.
        if await self._log.claim(job):
            await self._load(job)
        else:
            self._next_scan_s = min(self._next_scan_s, now_s() + SESSION_LOSS_GRACE_S)

    async def _assign_in_regions(self, job: OpenJob) -> None:
        """Assign a job that this node must not read to a live host in its allowed regions."""
        regions = self._live.regions
        successor = self._live.successor_in_regions(job.job_id)
        if successor is not None and await self._log.assign(job, successor):
            self._without_host.discard(job.job_id)
            regions.count(RegionEvent.JOB_HANDED_OVER)
            logging.info(
                "job %s: assigned to %s in its allowed regions, was owned by %s",
                job.job_id,
                successor,
                job.owner,
            )
            return
        if successor is None and job.job_id not in self._without_host:
            self._without_host = (self._without_host & self._live.open_jobs.keys()) | {job.job_id}
            regions.count(RegionEvent.JOB_WITHOUT_HOST)
            logging.warning(
                "job %s: waits, no live host in its allowed regions (%s)",
                job.job_id,
                describe_regions(regions.allowed_regions(job.job_id) or ()),
            )
        self._next_scan_s = min(self._next_scan_s, now_s() + CLAIM_RETRY_INTERVAL_S)

    async def _fetch_remainder(self, job: OpenJob) -> JobRemainder:
        address = self._live.last_known_address(job.owner)
        return (
            JobRemainder() if address is None else await self._peers.remainder(address, job.job_id)
        )

    async def _load(self, job: OpenJob) -> None:
        stored, records, remainder = await asyncio.gather(
            self._log.load(job.job_id),
            self._progress.load(job.job_id),
            self._fetch_remainder(job),
        )
        if job.job_id not in self._live.open_jobs:
            logging.info("job %s: not run on this node, over since it was claimed", job.job_id)
            return
        if isinstance(stored, StoredJob):
            logging.info("job %s: taken over from %s", job.job_id, job.owner)
            saved_events = longest_runs([*records, remainder.items])
            self._jobs.run_job(
                stored.job, stored.results, True, saved_events, remainder.results, job.revision
            )
        else:
            self._next_scan_s = min(self._next_scan_s, now_s() + SESSION_LOSS_GRACE_S)
