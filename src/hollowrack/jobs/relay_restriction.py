"""Nodes that may relay store calls which carry the body, progress or results of a job."""

from urllib.parse import unquote

from absl import logging

from hollowrack.coordination.relay import (
    RelayedCall,
    RelayedGet,
    RelayedList,
    RelayedWatch,
    RelayedWrite,
)
from hollowrack.coordination.store import StoredItem
from hollowrack.jobs.job_log import JOBS_PREFIX
from hollowrack.jobs.job_regions import (
    NO_REGIONS,
    RegionEvent,
    describe_regions,
    regions_key,
)
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.progress import PROGRESS_PREFIX
from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.regions.allowed_regions import intersection

_JOB_PREFIXES = (JOBS_PREFIX, PROGRESS_PREFIX)


def job_ids_of(call: RelayedCall) -> set[str]:
    """Return the jobs whose values a call writes or its answer may contain.

    The answer to a write contains the current values of the keys in its conditions. The identifier
    is empty if a call reads the keys of several jobs.
    """
    match call:
        case RelayedGet(key):
            keys = [key]
        case RelayedList(prefix):
            keys = [prefix]
        case RelayedWatch(prefix, _, _):
            keys = [prefix]
        case RelayedWrite(conditions, puts, _):
            keys = [*(condition.key for condition in conditions), *(put.key for put in puts)]
        case _:
            keys = []
    return {
        unquote(key.removeprefix(prefix).partition("/")[0])
        for key in keys
        for prefix in _JOB_PREFIXES
        if key.startswith(prefix)
    }


class JobRelayRestriction:
    """Lets the store calls of a job with allowed regions pass through nodes in them only.

    Args:
        live: Cluster state as seen by this node, with the allowed regions of jobs.
    """

    def __init__(self, live: LiveState) -> None:
        self._live = live
        self._log_limiter = LogRateLimiter()

    def unresolved_key(self, call: RelayedCall) -> str | None:
        """Return the key of a regions record that a call depends on and this node may lack.

        The record is written with the job's open entry, so a node that knows the job has it.
        """
        regions = self._live.regions
        if not regions.topology.has_several_regions:
            return None
        for job_id in job_ids_of(call):
            is_resolved = (
                regions.is_stored(job_id)
                or regions.is_noted(job_id)
                or self._live.knows_job(job_id)
            )
            if job_id and not is_resolved:
                return regions_key(job_id)
        return None

    def resolve(self, item: StoredItem) -> None:
        """Process a regions record."""
        self._live.regions.note_stored(item)

    def permits(self, call: RelayedCall, address: str) -> bool:
        """Whether the node at an address may receive what a call carries, as far as known."""
        allowed_regions = self._allowed_regions(call)
        return allowed_regions is None or address in self._live.addresses_in(allowed_regions)

    def record_withheld(self, call: RelayedCall) -> None:
        """Count a call that no reachable node may relay."""
        self._live.regions.count(RegionEvent.RELAY_WITHHELD)
        if self._log_limiter.allow():
            logging.info(
                "store call of job %s: not relayed, no known node in the allowed regions (%s)",
                ", ".join(sorted(job_ids_of(call))),
                describe_regions(self._allowed_regions(call) or ()),
            )

    def permits_here(self, call: RelayedCall) -> bool:
        """Whether this node may make a call for another node."""
        if self._live.regions.allows_here(self._allowed_regions(call)):
            return True
        self._live.regions.count(RegionEvent.RELAY_REFUSED)
        return False

    def _allowed_regions(self, call: RelayedCall) -> frozenset[str] | None:
        regions = self._live.regions
        job_ids = job_ids_of(call)
        if "" in job_ids and regions.topology.has_several_regions:
            return NO_REGIONS
        return intersection(regions.allowed_regions(job_id) for job_id in job_ids)
