"""Allowed regions of jobs: in which regions nodes may receive a job's body.

The allowed regions of a job are kept in a record of its own below the prefix of the live state. It
is written in the transaction that stores the job and removed after the job's other keys, so every
node knows a job's regions without reading the job. Earlier versions ignore the record.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote, unquote

from absl import logging

from hollowrack.coordination.store import Put, StoredItem
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.regions.allowed_regions import intersection
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import Problem, ResultCode

REGIONS_PREFIX = "hollowrack/live/regions/"
# Jobs submitted here whose record has not arrived from the store yet.
MAX_NOTED_JOBS = 1024
NO_REGIONS: frozenset[str] = frozenset()


@message("job.regions")
@dataclass(frozen=True)
class JobRegionsRecord:
    """Stored record of a job with allowed regions.

    Attributes:
        allowed_regions: Names of the regions whose nodes may receive the job's body, ascending.
        placement_key: Key by which the preferred owner is chosen; empty if unknown.
    """

    allowed_regions: tuple[str, ...]
    placement_key: str = ""


@message("job.submit-in-regions")
@dataclass(frozen=True)
class RegionalJob:
    """A job with allowed regions that is submitted to another node.

    It is a message of its own so that a node of an earlier version, which would store the job
    without its regions, rejects it.

    Attributes:
        job: The job.
        allowed_regions: Names of the regions whose nodes may receive the job's body.
    """

    job: Job
    allowed_regions: tuple[str, ...]


class RegionEvent(Enum):
    """Decisions made because of the allowed regions of a job."""

    JOB_REFUSED = "job refused"
    JOB_HANDED_OVER = "job handed over to the allowed regions"
    JOB_WITHOUT_HOST = "no live host in the allowed regions"
    RELAY_WITHHELD = "store call not relayed"
    RELAY_REFUSED = "store call of another node refused"
    REMAINDER_WITHHELD = "remainder not sent"


def regions_key(job_id: str) -> str:
    """Return the key of a job's regions record."""
    return REGIONS_PREFIX + quote(job_id, safe="")


def allowed_regions_of_job(
    job: Job, routes: RouteTable, allowed_regions: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that may receive a job's body, which contains its items and scorer calls.

    Args:
        job: The job.
        routes: Routes of the configuration in force.
        allowed_regions: Allowed regions of the job's route and tenant; ``None`` for all.
    """
    requests = {(job.host, item.target) for item in job.items}
    requests |= {(item.scorer.host, item.scorer.target) for item in job.items if item.scorer}
    found = (routes.lookup(host, target) for host, target in requests)
    in_routes = (route.allowed_regions for route in found if route is not None)
    return intersection((allowed_regions, *in_routes))


class JobRegions:
    """Allowed regions of the jobs that one node knows.

    Args:
        topology: Regions of the zones.

    Attributes:
        topology: Regions of the zones.
        num_events: Number of decisions because of allowed regions.
    """

    def __init__(self, topology: RegionTopology) -> None:
        self.topology = topology
        self.num_events: Counter[RegionEvent] = Counter()
        self._stored: dict[str, JobRegionsRecord] = {}
        # Jobs that were submitted here or read from the store, until their record arrives; ``None``
        # for jobs without allowed regions.
        self._noted: OrderedDict[str, JobRegionsRecord | None] = OrderedDict()
        self._log_limiter = LogRateLimiter()

    @property
    def num_jobs(self) -> int:
        """Number of stored jobs with allowed regions."""
        return len(self._stored)

    def apply_change(self, key: str, item: StoredItem | None) -> None:
        """Apply a change of a stored record; ``None`` if it was removed."""
        job_id = unquote(key.removeprefix(REGIONS_PREFIX))
        if item is None:
            self._stored.pop(job_id, None)
        else:
            self._stored[job_id] = self._decode(key, item.value)
            self._noted.pop(job_id, None)

    def _decode(self, key: str, value: bytes) -> JobRegionsRecord:
        record = codec.decode(value).value_or(None)
        if isinstance(record, JobRegionsRecord):
            return record
        # The regions are unknown, so none is allowed.
        if self._log_limiter.allow():
            detail = "the regions of the job are unreadable, no node may load it."
            logging.error("%s", Problem(ResultCode.ENTRY_UNREADABLE, detail, ascii(key)))
        return JobRegionsRecord(())

    def note(self, job_id: str, record: JobRegionsRecord | None) -> None:
        """Remember the regions of a job whose record may not have arrived yet.

        Args:
            job_id: Identifier of the job.
            record: Its record; ``None`` if it has no allowed regions.
        """
        if record is None and not self.topology.has_several_regions:
            return
        self._noted[job_id] = record
        self._noted.move_to_end(job_id)
        while len(self._noted) > MAX_NOTED_JOBS:
            self._noted.popitem(last=False)

    def forget(self, job_id: str) -> None:
        """Forget what was noted of a job that this node has not stored."""
        self._noted.pop(job_id, None)

    def note_stored(self, item: StoredItem) -> None:
        """Remember a record that was read from the store."""
        job_id = unquote(item.key.removeprefix(REGIONS_PREFIX))
        self.note(job_id, self._decode(item.key, item.value))

    def is_noted(self, job_id: str) -> bool:
        """Whether the regions of a job are known although it may have no stored record."""
        return job_id in self._noted

    def is_stored(self, job_id: str) -> bool:
        """Whether the job's record, and so the job, has been stored."""
        return job_id in self._stored

    def record(self, job_id: str) -> JobRegionsRecord | None:
        """Return the record of a job; ``None`` if it has no allowed regions, as far as known."""
        return self._stored.get(job_id) or self._noted.get(job_id)

    def allowed_regions(self, job_id: str) -> frozenset[str] | None:
        """Return the allowed regions of a job; ``None`` for all, as far as known."""
        record = self.record(job_id)
        return None if record is None else frozenset(record.allowed_regions)

    def allows_here(self, allowed_regions: frozenset[str] | None) -> bool:
        """Whether this node is in one of the allowed regions."""
        return self.topology.allows(self.topology.own_zone, allowed_regions)

    def count(self, event: RegionEvent) -> None:
        """Count a decision."""
        self.num_events[event] += 1


def regions_put(job_id: str, record: JobRegionsRecord) -> Put:
    """Return the write of a job's regions record."""
    return Put(regions_key(job_id), codec.encode(record))


def describe_regions(allowed_regions: Iterable[str]) -> str:
    """Return the names of regions for log lines and errors."""
    return ", ".join(sorted(allowed_regions)) or "none"
