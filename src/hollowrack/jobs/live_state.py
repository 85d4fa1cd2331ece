"""Cluster state that every node follows: live processes, the leader, open and ended jobs.

All keys share one prefix of the coordination store, so that each node needs only one mirror.
"""

import asyncio
import contextlib
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Mapping

import xxhash
from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.session import decode_owner, is_owner, node_of_owner
from hollowrack.coordination.store import Condition, StoredItem
from hollowrack.jobs.job_log import ENDS_PREFIX, OPEN_PREFIX, OpenJob, job_id_of
from hollowrack.jobs.job_regions import REGIONS_PREFIX, JobRegions
from hollowrack.jobs.placement import NodeEntry, preferred_owner, preferred_owner_by_key
from hollowrack.jobs.restart_order import RestartOrder
from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.regions.distance import Distance, ZoneDistances
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import Problem, ResultCode

LIVE_PREFIX = "hollowrack/live/"
LEADER_KEY = LIVE_PREFIX + "leader"
USAGE_KEY = LIVE_PREFIX + "usage-windows"
CAPACITY_KEY = LIVE_PREFIX + "capacity-plan"
OWNERS_PREFIX = LIVE_PREFIX + "nodes/"
SUSPECTS_PREFIX = LIVE_PREFIX + "suspects/"
# Nodes that are asked for changes before the store; each may take its full timeout.
NUM_OBSERVER_SOURCES = 3
NUM_LOCAL_OBSERVER_SOURCES = 2
# Peers of the own region that are asked before the first one of another region.
NUM_NEAR_PEERS = 2
# Processes whose entry was removed may still answer; the most recent ones are remembered.
MAX_FORMER_NODES = 64
# Finished jobs whose last owner is remembered, because it can still serve their results.
MAX_FINISHED_JOBS = 256
MAX_LOGGED_KEY_LENGTH = 200


class LiveState:
    """Cluster state as seen by one node, updated by a mirror of :data:`LIVE_PREFIX`.

    Args:
        owner: Owner name (node and incarnation) of this process.
        zone: Zone of this node.
        leadership: Receives changes of the leader keys.
        on_ended: Called with the identifier of each job that was ended.
        on_owned: Called with each unfinished job whenever its owner is written.
        regions: Allowed regions of jobs, and the regions of the zones; ``None`` for no regions.
        restart_order: Order of preferred owners during a rolling restart; ``None`` for none.

    Attributes:
        regions: Allowed regions of jobs.
        nodes: Entries of live processes by owner name.
        node_revisions: Store revision of each of these entries, by owner name.
        open_jobs: Unfinished jobs by identifier.
        ended_jobs: Time at which this node received the end of each ended job, in seconds of the
            event loop's clock.
        distances: Distances of zones from this node.
        last_owners: Owners of recently finished jobs by job identifier, oldest first.
    """

    def __init__(
        self,
        owner: str,
        zone: str,
        leadership: Leadership,
        on_ended: Callable[[str], None],
        on_owned: Callable[[OpenJob], None],
        regions: JobRegions | None = None,
        restart_order: RestartOrder | None = None,
    ) -> None:
        self._restart_order = restart_order
        self.regions = regions or JobRegions(RegionTopology())
        self.nodes: dict[str, NodeEntry] = {}
        self.node_revisions: dict[str, int] = {}
        self._former_nodes: OrderedDict[str, NodeEntry] = OrderedDict()
        self.open_jobs: dict[str, OpenJob] = {}
        self.ended_jobs: dict[str, float] = {}
        self.last_owners: OrderedDict[str, str] = OrderedDict()
        self._owner = owner
        self._zone = zone
        self.distances = ZoneDistances(zone, self.regions.topology)
        self._leadership = leadership
        self._on_ended = on_ended
        self._on_owned = on_owned
        self._own_entry_lost_s = -float("inf")
        self._leader: str | None = None
        self._new_job = asyncio.Event()
        self._log_limiter = LogRateLimiter()

    def apply_change(self, key: str, item: StoredItem | None) -> None:
        """Apply a change of a key; ``None`` if the key was removed."""
        if key == LEADER_KEY:
            self._leader = None if item is None else self._read_owner(key, item.value)
            self._leadership.update_leader_key(item)
        elif key == self._leadership.last_key:
            self._leadership.update_last_leader_key(item)
        elif key.startswith(OWNERS_PREFIX):
            self._apply_node(key.removeprefix(OWNERS_PREFIX), item)
        elif key.startswith(OPEN_PREFIX):
            self._apply_open_job(job_id_of(key, OPEN_PREFIX), item)
        elif key.startswith(ENDS_PREFIX):
            self._apply_end(job_id_of(key, ENDS_PREFIX), item)
        elif key.startswith(REGIONS_PREFIX):
            self.regions.apply_change(key, item)

    def _apply_node(self, owner: str, item: StoredItem | None) -> None:
        if item is None:
            former = self.nodes.pop(owner, None)
            self.node_revisions.pop(owner, None)
            if owner == self._owner:
                self._own_entry_lost_s = now_s()
            if former is not None:
                self._former_nodes[owner] = former
            while len(self._former_nodes) > MAX_FORMER_NODES:
                self._former_nodes.popitem(last=False)
            return
        decoded = codec.decode(item.value).value_or(None)
        entry = decoded if isinstance(decoded, NodeEntry) else NodeEntry("")
        self.nodes[owner] = entry
        self.node_revisions[owner] = item.revision
        if self._restart_order is not None:
            self._restart_order.record_entry(owner, entry, item.revision, now_s())

    def _apply_open_job(self, job_id: str, item: StoredItem | None) -> None:
        if item is None:
            self._remove_open_job(job_id)
        else:
            job = OpenJob(job_id, self._read_job_owner(job_id, item.value), item.revision)
            self.open_jobs[job_id] = job
            self._new_job.set()
            self._new_job = asyncio.Event()
            self._on_owned(job)

    def _read_job_owner(self, job_id: str, value: bytes) -> str:
        """Return the owner of a job's entry; the last known one if the entry is unreadable."""
        owner = self._read_owner(OPEN_PREFIX + job_id, value)
        known = self.open_jobs.get(job_id)
        return known.owner if known is not None and not is_owner(value) else owner

    def _read_owner(self, key: str, value: bytes) -> str:
        """Return the owner that a key names; an unreadable one is logged and matches no process."""
        if not is_owner(value) and self._log_limiter.allow():
            detail = "the owner name is empty or not valid UTF-8."
            location = ascii(key)[:MAX_LOGGED_KEY_LENGTH]
            logging.error("%s", Problem(ResultCode.ENTRY_UNREADABLE, detail, location))
        return decode_owner(value)

    def _remove_open_job(self, job_id: str) -> None:
        job = self.open_jobs.pop(job_id, None)
        if job is None:
            return
        self.last_owners[job_id] = job.owner
        while len(self.last_owners) > MAX_FINISHED_JOBS:
            self.last_owners.popitem(last=False)

    def _apply_end(self, job_id: str, item: StoredItem | None) -> None:
        if item is None:
            self.ended_jobs.pop(job_id, None)
            return
        self.ended_jobs.setdefault(job_id, now_s())
        self._on_ended(job_id)

    def job_owners(self) -> set[str]:
        """Return the live processes that own unfinished jobs.

        A node runs one process at a time, so earlier processes of this node are left out.
        """
        node = node_of_owner(self._owner)
        owners = {job.owner for job in self.open_jobs.values()}
        others = {owner for owner in owners & self.nodes.keys() if node_of_owner(owner) != node}
        return others | (owners & {self._owner})

    def other_processes(self) -> list[str]:
        """Other processes that have a session with the store."""
        return [owner for owner in self.nodes if owner != self._owner]

    def leader(self) -> str | None:
        """Owner name of the leader; ``None`` if none is known."""
        return self._leader

    def leader_address(self) -> str | None:
        """Address of the leader; ``None`` if this node leads or the leader is unknown."""
        return None if self._leader is None else self._address_of(self._leader)

    def observer_sources(self) -> list[str]:
        """Addresses of nodes with a session that a node without one asks for changes.

        The choice is stable while these nodes are live, and differs between asking nodes to spread
        the load. Nodes of the same zone come first; the last one is in another zone, if there is
        one, so that the loss of all nodes of a zone causes no delay. It is in the own region if the
        others are in the own zone, and else in another region, if there is one: the zones of the
        own region may not reach each other.
        """
        ranked = self._ranked_owners()
        in_zone = [owner for owner in ranked if self.nodes[owner].zone == self._zone]
        other_zones = [owner for owner in ranked if self.nodes[owner].zone != self._zone]
        if self.distances.has_other_regions:
            num_left = NUM_OBSERVER_SOURCES - len(in_zone[:NUM_LOCAL_OBSERVER_SOURCES])
            num_near = max(1, num_left - 1)
            other_zones = self.distances.own_region_first(other_zones, self._zone_of, num_near)
        selected = [*in_zone[:NUM_LOCAL_OBSERVER_SOURCES], *other_zones][:NUM_OBSERVER_SOURCES]
        return [self.nodes[owner].address for owner in selected]

    def leader_and_fallback_addresses(self, num_fallbacks: int = 1) -> dict[str, str]:
        """Addresses, by owner name, of the leader and of other processes with a session.

        The first of the others is preferably in the same zone, the next ones are spread over the
        zones. This process is never included.
        """
        ranked = [owner for owner in self._ranked_owners() if owner != self._leader]
        if num_fallbacks > 1:
            num_in_zone: Counter[str] = Counter()
            position: dict[str, int] = {}
            for owner in ranked:
                position[owner] = num_in_zone[self._zone_of(owner)]
                num_in_zone[self._zone_of(owner)] += 1
            ranked.sort(key=lambda owner: position[owner])
        leaders = [] if self._leader is None else [self._leader]
        addresses = {
            owner: self._address_of(owner) for owner in [*leaders, *ranked[:num_fallbacks]]
        }
        return {owner: address for owner, address in addresses.items() if address is not None}

    def _zone_of(self, owner: str) -> str:
        return self.nodes[owner].zone

    def _distance_of(self, owner: str) -> Distance:
        return self.distances.of(self.nodes[owner].zone)

    def _ranked_owners(self) -> list[str]:
        """Other processes with a session: nearest first, then by a rank that differs by node."""
        node = node_of_owner(self._owner)
        return sorted(
            (
                owner
                for owner, entry in self.nodes.items()
                if entry.address and owner != self._owner
            ),
            key=lambda owner: (self._distance_of(owner), _rank(node, owner)),
        )

    def preferred_owner_address(
        self, job: Job, allowed_regions: frozenset[str] | None = None
    ) -> str | None:
        """Address of the preferred owner of a job; ``None`` if that is this node or unknown."""
        hosts = self._candidates(self.hosts_in(allowed_regions))
        owner = preferred_owner(job, hosts, self._zone, self.distances.own_region_zones())
        return None if owner is None else self._address_of(owner)

    def knows_job(self, job_id: str) -> bool:
        """Whether this node has seen the job, open, finished or ended."""
        return job_id in self.open_jobs or job_id in self.last_owners or job_id in self.ended_jobs

    def note_end(self, job_id: str) -> None:
        """Note that the store has stored the end of a job, before the mirror reports it."""
        self.ended_jobs.setdefault(job_id, now_s())

    def reason_not_to_run(self, job_id: str, owner_revision: int) -> str | None:
        """Return why this process must not start to run a job; ``None`` if it may.

        The job may have changed since the store executed the call that made this process its owner.

        Args:
            job_id: Identifier of the job.
            owner_revision: Revision of the owner entry that this process read as its own or
                replaced; 0 if it created the entry.
        """
        if job_id in self.ended_jobs:
            return "it was ended"
        job = self.open_jobs.get(job_id)
        if job is None:
            # Without an entry, a job that was seen before is over; one that was not may be new.
            return "it is finished" if job_id in self.last_owners else None
        if job.owner != self._owner and job.revision > owner_revision:
            return f"it is now owned by {job.owner}"
        return None

    async def wait_for_job(self, job_id: str, wait_s: float) -> None:
        """Wait at most ``wait_s`` seconds until this node has seen a job."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.knows_job(job_id):
                    await self._new_job.wait()

    def owner_address(self, job_id: str) -> str | None:
        """Address of a job's owner or last owner; ``None`` if unknown or this node.

        The last owner is returned only if it is in this zone: the results of a finished job are
        large, bandwidth between zones is limited, and the store has all results.
        """
        job = self.open_jobs.get(job_id)
        if job is not None:
            return self._address_of(job.owner)
        entry = self.nodes.get(self.last_owners.get(job_id, ""))
        if entry is None or entry.zone != self._zone:
            return None
        return self._address_of(self.last_owners[job_id])

    def last_known_address(self, owner: str) -> str | None:
        """Last known address of a process; ``None`` if it was never seen or is this one."""
        entry = self.nodes.get(owner) or self._former_nodes.get(owner)
        if owner == self._owner or entry is None:
            return None
        return entry.address or None

    def successor(self, job: Job, excluded: Collection[str] = ()) -> str | None:
        """Preferred owner of a job among the other processes; ``None`` if there is none.

        Args:
            job: The job.
            excluded: Owner names of other processes that it must not be.
        """
        allowed_regions = self.regions.allowed_regions(job.id)
        others: Mapping[str, NodeEntry] = {
            owner: entry
            for owner, entry in self._others(allowed_regions).items()
            if owner not in excluded
        }
        others = self._candidates(others)
        return preferred_owner(job, others, self._zone, self.distances.own_region_zones())

    def lost_own_entry(self, within_s: float) -> bool:
        """Whether this process's entry was removed within the last ``within_s`` seconds."""
        return now_s() - self._own_entry_lost_s < within_s

    def node_condition(self, owner: str) -> Condition | None:
        """Condition that the entry of a live process is as known; ``None`` if it is unknown."""
        revision = self.node_revisions.get(owner)
        return None if revision is None else Condition(OWNERS_PREFIX + owner, revision)

    def successor_in_regions(self, job_id: str) -> str | None:
        """Preferred owner, among the other processes, of a job with allowed regions.

        Unlike :meth:`successor` it needs no part of the job; ``None`` if no process may own it.
        """
        return None if self.regions.record(job_id) is None else self.successor_of_unread(job_id)

    def successor_of_unread(self, job_id: str) -> str | None:
        """Preferred owner, among the other processes, of a job of which this node has no part.

        ``None`` if no process may own it.
        """
        record = self.regions.record(job_id)
        key = "" if record is None else record.placement_key
        others = self._candidates(self._others(self.regions.allowed_regions(job_id)))
        region_zones = self.distances.own_region_zones()
        return preferred_owner_by_key(key or job_id, others, self._zone, region_zones)

    def is_designated_host(self, job_id: str) -> bool:
        """Whether this process acts on a job with allowed regions where the leader must not read.

        All processes that see the same live hosts agree on one of those in the allowed regions.
        """
        hosts = self.hosts_in(self.regions.allowed_regions(job_id))
        return preferred_owner_by_key(job_id, hosts) == self._owner

    def is_stored_in_regions(self, job_id: str) -> bool:
        """Whether a job with allowed regions is known to be stored."""
        return self.regions.is_stored(job_id) and self.knows_job(job_id)

    def hosts_in(self, allowed_regions: frozenset[str] | None) -> dict[str, NodeEntry]:
        """Entries of the live processes that may receive jobs with these allowed regions.

        Args:
            allowed_regions: Names of regions; ``None`` for all processes. Otherwise stopping
                processes are left out, as they take no jobs.
        """
        if allowed_regions is None:
            return self.nodes
        allows = self.regions.topology.allows
        return {
            owner: entry
            for owner, entry in self.nodes.items()
            if entry.num_cores > 0.0 and allows(entry.zone, allowed_regions)
        }

    def addresses_in(self, allowed_regions: frozenset[str]) -> set[str]:
        """Addresses of the live processes in allowed regions, including stopping ones."""
        allows = self.regions.topology.allows
        return {
            entry.address for entry in self.nodes.values() if allows(entry.zone, allowed_regions)
        }

    def may_send_remainder(self, job_id: str) -> bool:
        """Whether the known owner of a job may receive what its former owner holds."""
        allowed_regions = self.regions.allowed_regions(job_id)
        job = self.open_jobs.get(job_id)
        if allowed_regions is None or job is None or job.owner == self._owner:
            return True
        entry = self.nodes.get(job.owner)
        return entry is not None and self.regions.topology.allows(entry.zone, allowed_regions)

    def _others(self, allowed_regions: frozenset[str] | None) -> dict[str, NodeEntry]:
        hosts = self.hosts_in(allowed_regions)
        return {owner: entry for owner, entry in hosts.items() if owner != self._owner}

    def _candidates(self, hosts: Mapping[str, NodeEntry]) -> Mapping[str, NodeEntry]:
        """Processes among which the owner of a job is chosen; others during a rolling restart."""
        if self._restart_order is None:
            return hosts
        region_zones = self.distances.own_region_zones()
        return self._restart_order.candidates(hosts, region_zones, now_s(), self._zone)

    @property
    def is_rolling_restart(self) -> bool:
        """Whether a rolling restart is in progress, where the order of owners depends on that."""
        return self._restart_order is not None and self._restart_order.is_restarting(now_s())

    def peer_addresses(self) -> list[str]:
        """Addresses of the other nodes, sorted."""
        others = {entry.address for owner, entry in self.nodes.items() if owner != self._owner}
        return sorted(others - {"", self._own_address()})

    def near_peers_first(self, addresses: list[str], num_first: int = NUM_NEAR_PEERS) -> list[str]:
        """Return addresses of other nodes, those in the own region first.

        See :meth:`ZoneDistances.own_region_first`.
        """
        zones = {entry.address: entry.zone for entry in self.nodes.values()}
        return self.distances.own_region_first(
            addresses, lambda address: zones.get(address, self._zone), num_first
        )

    def is_in_other_region(self, address: str) -> bool:
        """Whether the node at an address is known to be in another region."""
        return any(
            entry.address == address and self.distances.is_in_other_region(entry.zone)
            for entry in self.nodes.values()
        )

    def _address_of(self, owner: str) -> str | None:
        if owner == self._owner or owner not in self.nodes:
            return None
        return self.nodes[owner].address or None

    def _own_address(self) -> str:
        entry = self.nodes.get(self._owner)
        return "" if entry is None else entry.address


def _rank(node: str, owner: str) -> int:
    """Rank of an owner's node in the order of one node; restarts do not change it."""
    return xxhash.xxh64_intdigest(f"{node}|{node_of_owner(owner)}".encode())
