"""Which node should own a job: the same one for all jobs of a model, as long as it lives.

One owner sees all that runs at a model's workers, and its connections to them stay warm from one
job to the next. Any node accepts any job; a wrong choice costs time and nothing else.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from hollowrack.coordination.session import node_of_owner
from hollowrack.jobs.types import Job
from hollowrack.messages.codec import message

# Machines with nearly as much processor time as the largest are as good.
LARGE_NODE_FRACTION = 0.9
# Machines near the caller are taken if the largest has at least this share of the largest of all.
LOCAL_NODE_FRACTION = 0.5


@message("jobs.node")
@dataclass(frozen=True)
class NodeEntry:
    """What a live process says of itself to the others.

    Attributes:
        address: Where other nodes reach it; empty if they do not.
        num_cores: Processor time it has for jobs, in cores; 0 while it stops.
        zone: Its zone; empty if it does not tell.
    """

    address: str
    num_cores: float = 1.0
    zone: str = ""


def preferred_owner(job: Job, live: Mapping[str, NodeEntry], zone: str = "") -> str | None:
    """Return the process that should own a job: rendezvous hashing over the largest machines.

    Callers read a job where they submitted it, and every result goes from its owner to them; so
    the owner is in their zone if a large machine is there.

    Args:
        job: The job.
        live: What live processes say of themselves, by owner name.
        zone: Zone in which the job was submitted; empty if that is not known.
    """
    reachable = {owner: entry for owner, entry in live.items() if entry.address}
    if not reachable:
        return None
    most_cores = max(entry.num_cores for entry in reachable.values())
    near = {owner: entry for owner, entry in reachable.items() if entry.zone == zone}
    most_near = max((entry.num_cores for entry in near.values()), default=0.0)
    if zone and most_near > 0.0 and most_near >= LOCAL_NODE_FRACTION * most_cores:
        reachable, most_cores = near, most_near
    candidates = [
        owner
        for owner, entry in reachable.items()
        if entry.num_cores >= LARGE_NODE_FRACTION * most_cores
    ]
    return _first_by_hash(job.model or f"{job.host}{job.target}", candidates)


def _first_by_hash(key: str, owners: Iterable[str]) -> str:
    """A node keeps its rank through restarts, since only its name is hashed."""
    return max(
        owners,
        key=lambda owner: (
            xxhash.xxh64_intdigest(f"{key}|{node_of_owner(owner)}".encode()),
            owner,
        ),
    )
