"""Choice of the preferred owner of a job: one node for all jobs of a model while it is live.

One owner sees all load on a model's workers and reuses its connections to them across jobs. Any
node accepts any job, so another choice only costs time.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from hollowrack.coordination.session import node_of_owner
from hollowrack.jobs.types import Job
from hollowrack.messages.codec import message

# Nodes with at least this fraction of the cores of the largest node count as equally large.
LARGE_NODE_FRACTION = 0.9
# The caller's zone is preferred if its largest node has at least this fraction of the cores of the
# largest node of all zones.
LOCAL_NODE_FRACTION = 0.5


@message("jobs.node")
@dataclass(frozen=True)
class NodeEntry:
    """Entry that a live process publishes for the other nodes.

    Attributes:
        address: Host and port for other nodes; empty if they cannot reach it.
        num_cores: CPU capacity for jobs, in cores; 0 while it is stopping.
        zone: Zone of the process; empty if unknown.
    """

    address: str
    num_cores: float = 1.0
    zone: str = ""


def preferred_owner(
    job: Job,
    live: Mapping[str, NodeEntry],
    zone: str = "",
    region_zones: Collection[str] = (),
) -> str | None:
    """Return the preferred owner of a job by rendezvous hashing over the largest nodes.

    Callers read a job where they submitted it, and its owner sends every result there; so the
    owner is in that zone if it has a large node, else in its region if that has one.

    Args:
        job: The job to be placed.
        live: Entries of live processes by owner name.
        zone: Zone in which the job was submitted; empty if unknown.
        region_zones: Zones of its region if there are other regions; else empty.

    Returns:
        The owner name; ``None`` if no process is reachable.
    """
    return preferred_owner_by_key(placement_key(job), live, zone, region_zones)


def placement_key(job: Job) -> str:
    """Return the key of a job's preferred owner, shared by all jobs of a model."""
    return job.model or f"{job.host}{job.target}"


def preferred_owner_by_key(
    key: str,
    live: Mapping[str, NodeEntry],
    zone: str = "",
    region_zones: Collection[str] = (),
) -> str | None:
    """Return the preferred owner of the jobs with a placement key; see :func:`preferred_owner`."""
    reachable = {owner: entry for owner, entry in live.items() if entry.address}
    if not reachable:
        return None
    max_cores = max(entry.num_cores for entry in reachable.values())
    for zones in ((zone,) if zone else (), region_zones):
        local = {owner: entry for owner, entry in reachable.items() if entry.zone in zones}
        max_local_cores = max((entry.num_cores for entry in local.values()), default=0.0)
        if max_local_cores > 0.0 and max_local_cores >= LOCAL_NODE_FRACTION * max_cores:
            reachable, max_cores = local, max_local_cores
            break
    candidates = [
        owner
        for owner, entry in reachable.items()
        if entry.num_cores >= LARGE_NODE_FRACTION * max_cores
    ]
    return _first_by_hash(key, candidates)


def _first_by_hash(key: str, owners: Iterable[str]) -> str:
    """Return the owner with the highest hash of its node name, which restarts do not change."""
    return max(
        owners,
        key=lambda owner: (
            xxhash.xxh64_intdigest(f"{key}|{node_of_owner(owner)}".encode()),
            owner,
        ),
    )
