"""Acceptance of jobs: at the preferred owner, on this node, or at another node."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from absl import logging

from hollowrack.clock import now_s
from hollowrack.jobs.job_log import (
    MAX_JOB_ID_LENGTH,
    CreateOutcome,
    JobLog,
    OpenJob,
    StoredJob,
)
from hollowrack.jobs.job_regions import (
    JobRegionsRecord,
    RegionalJob,
    RegionEvent,
    describe_regions,
)
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.peer_jobs import PeerJobs
from hollowrack.jobs.placement import placement_key
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.results import Problem, ResultCode
from hollowrack.tasks import cancel_all

CREATE_RETRY_INTERVAL_S = 0.25
# After this time of rejected writes the caller receives a Retry-After.
CREATE_TIMEOUT_S = 0.6
CREATE_RETRY_AFTER_S = 2.5
STOPPING_RETRY_AFTER_S = 0.5
# A zone that has lost its hosts gets another within 2 to 3.5 s if a node of it is up.
REGIONS_RETRY_AFTER_S = 3.5
# A write without an answer may have succeeded, so its outcome must be resolved first.
RESOLVE_TIMEOUT_S = 8.0
MAX_PEERS_ASKED = 3
# Without an answer of a preferred node within this time, the next one or this node stores the job.
PREFERRED_OWNER_TIMEOUT_S = 1.0
PEER_TIMEOUT_S = 3.0
# Number of hosts, after the preferred owner, to which a node without a session submits a job before
# it becomes the owner itself.
MAX_OTHER_HOSTS = 1
# Problems after which the job is certainly not stored, so that another node can be asked.
_NOT_STORED_CODES = frozenset(
    {ResultCode.STOPPING, ResultCode.JOB_NOT_STORED, ResultCode.JOB_REGIONS_UNAVAILABLE}
)


class JobOwner(Protocol):
    """Runs the jobs that this node owns."""

    def owns(self, job_id: str) -> bool:
        """Whether this node runs a job."""

    def run_job(self, job: Job, results: list[ItemResult], *, owner_revision: int = 0) -> None:
        """Run a job on this node, given the results listed so far.

        Args:
            job: The job.
            results: Results listed so far.
            owner_revision: Revision of the job's owner entry that this process read as its own; 0
                if it created the entry.
        """


class JobIntake:
    """Accepts jobs on one node.

    Args:
        log: Durable state of jobs.
        peers: Client for requests to other nodes.
        peer_addresses: Returns the addresses of other nodes in order of preference.
        live: Cluster state as seen by this node.
        owner: Runs the jobs that are accepted here.
        is_host: Returns whether this node holds a session.

    Attributes:
        uses_preferred_owner: Whether jobs are submitted to their preferred owner first;
            otherwise the node that receives a job owns it.
        is_stopping: Whether this node accepts no more jobs.
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

    async def submit(
        self, job: Job, allowed_regions: frozenset[str] | None = None
    ) -> Problem | None:
        """Accept a job, here or at another node; ``None`` once it is stored durably.

        Args:
            job: The job.
            allowed_regions: Regions whose nodes may receive it; ``None`` for all.
        """
        if allowed_regions is not None and self._live.is_stored_in_regions(job.id):
            return None  # A repeated submission; the stored job may have other allowed regions.
        # A node of an unknown region passes on nothing that has allowed regions.
        if allowed_regions is not None and self._live.regions.topology.own_region is None:
            return self._regions_problem(job, allowed_regions)
        may_be_stored = False
        tried_addresses = self._preferred_addresses(job, allowed_regions)
        for address in tried_addresses:
            peer_problem = await self._submit_to_peer(
                address, job, allowed_regions, PREFERRED_OWNER_TIMEOUT_S
            )
            if peer_problem is None:
                return None
            may_be_stored = may_be_stored or peer_problem.code not in _NOT_STORED_CODES
        problem = await self.submit_here(job, allowed_regions)
        if problem is None or problem.code not in _NOT_STORED_CODES:
            return problem
        other_addresses = [
            address
            for address in self._permitted_peers(allowed_regions)
            if address not in tried_addresses
        ]
        for address in other_addresses[:MAX_PEERS_ASKED]:
            peer_problem = await self._submit_to_peer(address, job, allowed_regions, PEER_TIMEOUT_S)
            if peer_problem is None:
                return None
            if peer_problem.code not in _NOT_STORED_CODES:
                return peer_problem
        if may_be_stored:
            return Problem(
                ResultCode.OUTCOME_UNKNOWN, "another node may have stored the job", job.id
            )
        if problem.code is ResultCode.JOB_REGIONS_UNAVAILABLE:
            num_asked = len(tried_addresses) + len(other_addresses[:MAX_PEERS_ASKED])
            logging.warning("job %s: refused, %s (%d asked)", job.id, problem.detail, num_asked)
        return problem

    def _permitted_peers(self, allowed_regions: frozenset[str] | None) -> list[str]:
        """Addresses of the other nodes that may receive a job, in order of preference."""
        if allowed_regions is None:
            return self._peer_addresses()
        hosts = self._live.hosts_in(allowed_regions).values()
        permitted = {entry.address for entry in hosts}
        return [address for address in self._peer_addresses() if address in permitted]

    def _preferred_addresses(self, job: Job, allowed_regions: frozenset[str] | None) -> list[str]:
        """Addresses of the nodes to which a job is submitted before this one stores it."""
        if not self.uses_preferred_owner or self._owner.owns(job.id):
            return []
        preferred = self._live.preferred_owner_address(job, allowed_regions)
        if preferred is None:
            return []
        if self._is_host():
            return [preferred]
        other_addresses = [
            address for address in self._permitted_peers(allowed_regions) if address != preferred
        ]
        return [preferred, *other_addresses[:MAX_OTHER_HOSTS]]

    async def _submit_to_peer(
        self, address: str, job: Job, allowed_regions: frozenset[str] | None, timeout_s: float
    ) -> Problem | None:
        if allowed_regions is None:
            peer_problem = await self._peers.submit(address, job, timeout_s)
        else:
            regional_job = RegionalJob(job, tuple(sorted(allowed_regions)))
            peer_problem = await self._peers.submit_in_regions(address, regional_job, timeout_s)
        if peer_problem is None:
            logging.info("job %s: submitted to the node at %s", job.id, address)
        return peer_problem

    async def submit_here(
        self, job: Job, allowed_regions: frozenset[str] | None = None
    ) -> Problem | None:
        """Accept a job on this node; ``None`` once it is stored durably.

        Args:
            job: The job.
            allowed_regions: Regions whose nodes may receive it; ``None`` for all.
        """
        if not 0 < len(job.id) <= MAX_JOB_ID_LENGTH:
            return Problem(ResultCode.BAD_REQUEST, "the job identifier is empty or too long", "id")
        if self._owner.owns(job.id):
            return None
        if self.is_stopping:
            detail = "this node is stopping"
            return Problem(ResultCode.STOPPING, detail, job.id, STOPPING_RETRY_AFTER_S)
        if not self._live.regions.allows_here(allowed_regions):
            return self._regions_problem(job, allowed_regions or frozenset())
        record = None
        if allowed_regions is not None:
            record = JobRegionsRecord(tuple(sorted(allowed_regions)), placement_key(job))
        self._live.regions.note(job.id, record)
        store_task = asyncio.create_task(self._store(job, record))
        self._background.add(store_task)
        store_task.add_done_callback(self._background.discard)
        # The caller may disconnect; an attempt with an unknown outcome continues without it.
        outcome = await asyncio.shield(store_task)
        is_stored_here = outcome in (CreateOutcome.CREATED, CreateOutcome.UNKNOWN)
        if not is_stored_here and not self._owner.owns(job.id):
            # The job may be, or become, stored by another node with other regions.
            self._live.regions.forget(job.id)
        return _problem_of_outcome(outcome, job.id)

    def _regions_problem(self, job: Job, allowed_regions: frozenset[str]) -> Problem:
        """Return why a job that may not be stored here is refused."""
        self._live.regions.count(RegionEvent.JOB_REFUSED)
        hosts = self._live.hosts_in(allowed_regions)
        detail = (
            f"this node in region {self._live.regions.topology.own_region} may not store it; "
            f"{len(hosts)} known hosts are in its allowed regions "
            f"({describe_regions(allowed_regions)})"
        )
        return Problem(ResultCode.JOB_REGIONS_UNAVAILABLE, detail, job.id, REGIONS_RETRY_AFTER_S)

    async def stop(self) -> None:
        """Cancel unfinished attempts to store jobs."""
        await cancel_all(*self._background)

    async def _store(self, job: Job, regions: JobRegionsRecord | None) -> CreateOutcome:
        started_s = now_s()
        may_be_stored = False
        while True:
            outcome = await self._log.create(job, regions)
            if outcome is CreateOutcome.CREATED:
                self._owner.run_job(job, [])
                return outcome
            if outcome is CreateOutcome.EXISTS:
                await self._run_if_owned(job)
                return outcome
            if outcome is CreateOutcome.TOO_LARGE:
                return outcome
            may_be_stored = may_be_stored or outcome is CreateOutcome.UNKNOWN
            timeout_s = RESOLVE_TIMEOUT_S if may_be_stored else CREATE_TIMEOUT_S
            if now_s() - started_s > timeout_s:
                return CreateOutcome.UNKNOWN if may_be_stored else CreateOutcome.NOT_DONE
            await asyncio.sleep(CREATE_RETRY_INTERVAL_S)

    async def _run_if_owned(self, job: Job) -> None:
        """Run a job that an earlier attempt of this process stored though its answer was lost."""
        entry = await self._log.open_entry(job.id)
        if not isinstance(entry, OpenJob) or entry.owner != self._log.owner:
            return
        if not self._owner.owns(job.id):
            stored = await self._log.load(job.id)
            owned = stored if isinstance(stored, StoredJob) else StoredJob(job)
            self._owner.run_job(owned.job, owned.results, owner_revision=entry.revision)


def _problem_of_outcome(outcome: CreateOutcome, job_id: str) -> Problem | None:
    if outcome in (CreateOutcome.CREATED, CreateOutcome.EXISTS):
        return None
    if outcome is CreateOutcome.TOO_LARGE:
        return Problem(ResultCode.BODY_TOO_LARGE, "the job is too large to be stored", job_id)
    if outcome is CreateOutcome.NOT_DONE:
        return Problem(
            ResultCode.JOB_NOT_STORED, "the store rejects writes", job_id, CREATE_RETRY_AFTER_S
        )
    return Problem(ResultCode.OUTCOME_UNKNOWN, "the store did not confirm the write", job_id)
