"""Routes of a soak with allowed regions that change, and what reached other regions.

The settings' bound ``config-apply-ms`` is the time after which a change of the configuration is in
force on every node. Until then, the lists before and after the change both count as in force.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from urllib.parse import unquote

from hollowrack.clock import now_s
from hollowrack.coordination.session import decode_owner, node_of_owner
from hollowrack.coordination.store import KeyChange, StoredItem
from hollowrack.jobs.job_log import OPEN_PREFIX
from hollowrack.jobs.job_regions import REGIONS_PREFIX, JobRegionsRecord
from hollowrack.messages import codec
from hollowrack_bench.soak_evacuations import CONTACT_S
from hollowrack_bench.soak_operator import SoakOperator
from hollowrack_bench.soak_regions import ZONE_REGIONS, region_of
from hollowrack_standins.users_platform import WorkerArrival

PLAIN_PREFIX = "/regional/"
REGIONAL_JOBS_PREFIX = "/regional-jobs/"
PLAIN_ID = "regional-plain-"
JOB_ID = "regional-job-"
REGIONS = tuple(sorted(set(ZONE_REGIONS.values())))
ALL_REGIONS = frozenset(REGIONS)
# Bound ``config-apply-ms`` of the settings.
CONFIG_APPLY_S = 5.0
# Longer than the bound, as nothing can be checked earlier.
MIN_IN_FORCE_S = 9.0
MAX_IN_FORCE_S = 11.0
NUM_CHANGES = 2
# A scorer call that is retried keeps the regions of its start for 0.6 s or twice the target latency
# of its route, whichever is longer.
MIN_KEPT_S = 0.6
KEPT_TARGET_LATENCIES = 2.0


@dataclass(frozen=True)
class Restriction:
    """The allowed regions of a route, in force until the next restriction of the same route.

    Attributes:
        since_s: Time at which the store had acknowledged it, on the loop's clock.
        regions: The regions; all if the route has no list.
    """

    since_s: float
    regions: frozenset[str]


class RegionRestrictions:
    """Changes the allowed regions of the two routes and records when.

    Args:
        operator: Writes the configurations, which contain both routes without allowed regions.
        rng: Source of regions and durations.
    """

    def __init__(self, operator: SoakOperator, rng: random.Random) -> None:
        self._operator = operator
        self._rng = rng
        self._is_running = False
        self._history: dict[str, list[Restriction]] = {
            prefix: [Restriction(float("-inf"), ALL_REGIONS)]
            for prefix in (PLAIN_PREFIX, REGIONAL_JOBS_PREFIX)
        }

    async def run(self) -> None:
        """Restrict both routes to one region, change the regions and lift the restrictions."""
        if self._is_running:
            return
        self._is_running = True
        for _ in range(NUM_CHANGES):
            for prefix in self._history:
                self._restrict(prefix, self._draw_region(prefix))
            await asyncio.sleep(self._rng.uniform(MIN_IN_FORCE_S, MAX_IN_FORCE_S))
        self.lift_all()

    def lift_all(self) -> None:
        """Allow all regions again."""
        for prefix in self._history:
            if self._history[prefix][-1].regions != ALL_REGIONS:
                self._restrict(prefix, ALL_REGIONS)
        self._is_running = False

    def permitted(self, prefix: str, from_s: float, to_s: float) -> frozenset[str]:
        """Return the regions that were allowed at any time between two times.

        Args:
            prefix: Path prefix of the route.
            from_s: The earlier time, on the loop's clock.
            to_s: The later time.
        """
        history = self._history[prefix]
        ends_s = [*(restriction.since_s for restriction in history[1:]), float("inf")]
        found = [
            restriction.regions
            for restriction, end_s in zip(history, ends_s, strict=True)
            if restriction.since_s <= to_s and end_s >= from_s
        ]
        return frozenset().union(*found)

    def _draw_region(self, prefix: str) -> frozenset[str]:
        current = self._history[prefix][-1].regions
        return frozenset({self._rng.choice([region for region in REGIONS if {region} != current])})

    def _restrict(self, prefix: str, regions: frozenset[str]) -> None:
        self._operator.restrict_route(prefix, None if regions == ALL_REGIONS else sorted(regions))
        self._history[prefix].append(Restriction(now_s(), regions))


@dataclass
class JobEntries:
    """Entries of jobs that the store has seen.

    Attributes:
        allowed_regions: Allowed regions by job, for each job that has a record of them.
        owners: Time on the loop's clock, job and node of each owner that was written.
    """

    allowed_regions: dict[str, frozenset[str]] = field(default_factory=dict)
    owners: list[tuple[float, str, str]] = field(default_factory=list)

    def record(self, change: KeyChange) -> None:
        """Record a write; removals and other keys are ignored."""
        if not isinstance(change, StoredItem):
            return
        if change.key.startswith(REGIONS_PREFIX):
            record = codec.decode(change.value).value_or(None)
            # No region is allowed by a record that cannot be read.
            regions = record.allowed_regions if isinstance(record, JobRegionsRecord) else ()
            self.allowed_regions[_job_of(change.key, REGIONS_PREFIX)] = frozenset(regions)
        elif change.key.startswith(OPEN_PREFIX):
            owner = node_of_owner(decode_owner(change.value))
            self.owners.append((now_s(), _job_of(change.key, OPEN_PREFIX), owner))


@dataclass
class RegionFindings:
    """What was found about requests and jobs with allowed regions.

    Attributes:
        num_checked: Number of arrivals of each kind of request, and of owners of jobs, at times
            when a region was not allowed.
        outside: Violations: the request or job, and what was found.
    """

    num_checked: Counter[str] = field(default_factory=Counter)
    outside: list[tuple[str, str]] = field(default_factory=list)


class RegionalWork:
    """Compares where requests and jobs of the two routes were with the allowed regions.

    Args:
        restrictions: The allowed regions over time.
        kept_s: How long a scorer call keeps the regions of its start.
        disturbances: Start and end of each time during which a node may not have been connected to
            the store. Restrictions in force when one began may have been in force on a node until
            the contact time after its end.
    """

    def __init__(
        self,
        restrictions: RegionRestrictions,
        kept_s: float,
        disturbances: Sequence[tuple[float, float]],
    ) -> None:
        self._restrictions = restrictions
        self._kept_s = kept_s
        self._disturbances = disturbances

    def check(
        self,
        arrivals: Iterable[WorkerArrival],
        entries: JobEntries,
        sent_times_s: Mapping[str, float],
    ) -> RegionFindings:
        """Check the arrivals at workers and the owners of jobs.

        Args:
            arrivals: Requests that reached workers and were not answered 421.
            entries: Entries of jobs.
            sent_times_s: Times at which plain requests were sent and jobs first submitted, by
                identifier.
        """
        findings = RegionFindings()
        for arrival in arrivals:
            self._check_arrival(arrival, sent_times_s, findings)
        for at_s, job_id, node in entries.owners:
            if job_id.startswith(JOB_ID):
                self._check_owner(at_s, job_id, node, entries, sent_times_s[job_id], findings)
        return findings

    def _check_arrival(
        self, arrival: WorkerArrival, sent_times_s: Mapping[str, float], findings: RegionFindings
    ) -> None:
        name = arrival.name
        if name.startswith(PLAIN_ID):
            # A request keeps the regions that it entered its node with.
            kind, prefix, from_s = "plain", PLAIN_PREFIX, sent_times_s[name]
        elif name.startswith(JOB_ID):
            is_scorer = ".score-" in name
            kind, prefix = "scorer" if is_scorer else "item", REGIONAL_JOBS_PREFIX
            from_s = arrival.at_s - (self._kept_s if is_scorer else 0.0)
        else:
            return
        permitted = self._permitted(prefix, from_s, arrival.at_s)
        if permitted == ALL_REGIONS:
            return
        findings.num_checked[kind] += 1
        region = ZONE_REGIONS[arrival.zone]
        if region not in permitted:
            text = f"reached {arrival.worker_id} in region {region}, allowed: {_list(permitted)}"
            findings.outside.append((name, text))

    def _check_owner(
        self,
        at_s: float,
        job_id: str,
        node: str,
        entries: JobEntries,
        submitted_s: float,
        findings: RegionFindings,
    ) -> None:
        """Check one owner against the record of the job, and the record against the restrictions.

        The regions of a job are fixed when it is submitted.
        """
        stored = entries.allowed_regions.get(job_id, ALL_REGIONS)
        first_s = min(time_s for time_s, name, _ in entries.owners if name == job_id)
        permitted = self._permitted(REGIONAL_JOBS_PREFIX, submitted_s, first_s)
        if stored == permitted == ALL_REGIONS:
            return
        findings.num_checked["owner"] += 1
        if not stored <= permitted:
            text = f"stored with regions {_list(stored)}, allowed: {_list(permitted)}"
            findings.outside.append((job_id, text))
        if region_of(node) not in stored:
            text = f"owned by {node} in region {region_of(node)}, allowed: {_list(stored)}"
            findings.outside.append((job_id, text))

    def _permitted(self, prefix: str, from_s: float, to_s: float) -> frozenset[str]:
        """Return the regions that a node may have taken for allowed between two times."""
        earliest_s = from_s
        for start_s, end_s in sorted(self._disturbances, reverse=True):
            if start_s <= to_s and end_s + CONTACT_S >= earliest_s - CONFIG_APPLY_S:
                earliest_s = min(earliest_s, start_s)
        return self._restrictions.permitted(prefix, earliest_s - CONFIG_APPLY_S, to_s)


def kept_s(target_latency_s: float) -> float:
    """Return how long a retried scorer call keeps the regions of its start, in seconds.

    Args:
        target_latency_s: Target latency of its route.
    """
    return max(MIN_KEPT_S, KEPT_TARGET_LATENCIES * target_latency_s)


def _job_of(key: str, prefix: str) -> str:
    """Return a job's identifier without its tenant, which precedes it in the store."""
    return unquote(key.removeprefix(prefix)).rpartition("/")[2]


def _list(regions: frozenset[str]) -> str:
    return ", ".join(sorted(regions)) or "none"
