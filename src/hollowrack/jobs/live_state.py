"""What all nodes keep in view: who lives, who leads, which jobs are open and which were ended.

All of it lies below one prefix of the coordination store, so that one mirror a node follows it.
"""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable

import xxhash
from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.session import decode_owner, is_owner, node_of_owner
from hollowrack.coordination.store import StoredItem
from hollowrack.jobs.job_log import ENDS_PREFIX, OPEN_PREFIX, OpenJob, job_id_of
from hollowrack.jobs.placement import NodeEntry, preferred_owner
from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.results import Problem, ResultCode

LIVE_PREFIX = "hollowrack/live/"
LEADER_KEY = LIVE_PREFIX + "leader"
USAGE_KEY = LIVE_PREFIX + "usage-windows"
CAPACITY_KEY = LIVE_PREFIX + "capacity-plan"
OWNERS_PREFIX = LIVE_PREFIX + "nodes/"
SUSPECTS_PREFIX = LIVE_PREFIX + "suspects/"
# Nodes that are asked for changes before the store is; each may cost its whole time-out.
NUM_OBSERVER_SOURCES = 3
NUM_LOCAL_OBSERVER_SOURCES = 2
# Processes whose entry is gone may still answer: these are remembered, the latest ones.
MAX_FORMER_NODES = 64
# Finished jobs whose last owner is remembered: it still holds their results for readers.
MAX_FINISHED_JOBS = 256
MAX_LOGGED_KEY_LENGTH = 200


class LiveState:
    """The view of one node; fed by a mirror of :data:`LIVE_PREFIX`.

    Args:
        owner: Name and incarnation of this node.
        zone: Zone of this node.
        leadership: Hears of the leader keys.
        on_ended: Called with each job that was ended.
        on_owned: Called with each unfinished job whenever its owner is written.

    Attributes:
        nodes: What live processes say of themselves, by owner name.
        open_jobs: Unfinished jobs by identifier.
        ended_jobs: When this node heard of the end of each ended job, on the loop's clock.
        last_owners: Who owned jobs that are no longer unfinished, the latest ones.
    """

    def __init__(
        self,
        owner: str,
        zone: str,
        leadership: Leadership,
        on_ended: Callable[[str], None],
        on_owned: Callable[[OpenJob], None],
    ) -> None:
        self.nodes: dict[str, NodeEntry] = {}
        self._former_nodes: OrderedDict[str, NodeEntry] = OrderedDict()
        self.open_jobs: dict[str, OpenJob] = {}
        self.ended_jobs: dict[str, float] = {}
        self.last_owners: OrderedDict[str, str] = OrderedDict()
        self._owner = owner
        self._zone = zone
        self._leadership = leadership
        self._on_ended = on_ended
        self._on_owned = on_owned
        self._leader: str | None = None
        self._job_seen = asyncio.Event()
        self._lines = LogRateLimiter()

    def apply_change(self, key: str, item: StoredItem | None) -> None:
        """Take in a key that was written, or removed (``None``)."""
        if key == LEADER_KEY:
            self._leader = None if item is None else self._read_owner(key, item.value)
            self._leadership.update_leader_key(item)
        elif key == self._leadership.last_key:
            self._leadership.update_last_leader_key(item)
        elif key.startswith(OWNERS_PREFIX):
            self._take_node(key.removeprefix(OWNERS_PREFIX), item)
        elif key.startswith(OPEN_PREFIX):
            self._take_open_job(job_id_of(key, OPEN_PREFIX), item)
        elif key.startswith(ENDS_PREFIX):
            self._take_end(job_id_of(key, ENDS_PREFIX), item)

    def _take_node(self, owner: str, item: StoredItem | None) -> None:
        if item is None:
            former = self.nodes.pop(owner, None)
            if former is not None:
                self._former_nodes[owner] = former
            while len(self._former_nodes) > MAX_FORMER_NODES:
                self._former_nodes.popitem(last=False)
            return
        entry = codec.decode(item.value).value_or(None)
        self.nodes[owner] = entry if isinstance(entry, NodeEntry) else NodeEntry("")

    def _take_open_job(self, job_id: str, item: StoredItem | None) -> None:
        if item is None:
            self._forget_open_job(job_id)
        else:
            job = OpenJob(job_id, self._read_job_owner(job_id, item.value), item.revision)
            self.open_jobs[job_id] = job
            self._job_seen.set()
            self._job_seen = asyncio.Event()
            self._on_owned(job)

    def _read_job_owner(self, job_id: str, value: bytes) -> str:
        """Return whom a job's entry names; if that cannot be read, whoever was known to own it."""
        owner = self._read_owner(OPEN_PREFIX + job_id, value)
        known = self.open_jobs.get(job_id)
        return known.owner if known is not None and not is_owner(value) else owner

    def _read_owner(self, key: str, value: bytes) -> str:
        """Return whom a key names; one that cannot be read is nobody, and is logged."""
        if not is_owner(value) and self._lines.allows():
            detail = "the owner is no text."
            place = ascii(key)[:MAX_LOGGED_KEY_LENGTH]
            logging.error("%s", Problem(ResultCode.ENTRY_UNREADABLE, detail, place))
        return decode_owner(value)

    def _forget_open_job(self, job_id: str) -> None:
        job = self.open_jobs.pop(job_id, None)
        if job is None:
            return
        self.last_owners[job_id] = job.owner
        while len(self.last_owners) > MAX_FINISHED_JOBS:
            self.last_owners.popitem(last=False)

    def _take_end(self, job_id: str, item: StoredItem | None) -> None:
        if item is None:
            self.ended_jobs.pop(job_id, None)
            return
        self.ended_jobs.setdefault(job_id, now_s())
        self._on_ended(job_id)

    def job_owners(self) -> set[str]:
        """Return the live processes that own unfinished jobs, with this one only if it owns one.

        A node runs one process at a time: earlier ones of this node have ended.
        """
        node = node_of_owner(self._owner)
        owners = {job.owner for job in self.open_jobs.values()}
        others = {owner for owner in owners & self.nodes.keys() if node_of_owner(owner) != node}
        return others | (owners & {self._owner})

    def leader(self) -> str | None:
        """The process that leads; ``None`` if none is known to."""
        return self._leader

    def leader_address(self) -> str | None:
        """Where the leader is reached; ``None`` if this node leads or the leader is not known."""
        return None if self._leader is None else self._address_of(self._leader)

    def observer_sources(self) -> list[str]:
        """Where a node without a session may ask for changes: a few of the nodes with one.

        They stay the same while they live, and differ between nodes. The nearest come first, and
        the last one is in another zone, so that the loss of a zone's nodes is got over at once.
        """
        ranked = self._ranked_owners()
        near = [owner for owner in ranked if self.nodes[owner].zone == self._zone]
        far = [owner for owner in ranked if self.nodes[owner].zone != self._zone]
        chosen = [*near[:NUM_LOCAL_OBSERVER_SOURCES], *far][:NUM_OBSERVER_SOURCES]
        return [self.nodes[owner].address for owner in chosen]

    def leader_and_fallback_addresses(self) -> dict[str, str]:
        """Where the leader and one more process with a session are reached, by owner name.

        The other one is the nearest; this process is neither.
        """
        deputies = [owner for owner in self._ranked_owners() if owner != self._leader][:1]
        leaders = [] if self._leader is None else [self._leader]
        addresses = {owner: self._address_of(owner) for owner in [*leaders, *deputies]}
        return {owner: address for owner, address in addresses.items() if address is not None}

    def _ranked_owners(self) -> list[str]:
        """The other processes with a session, the nearest first; each node's order differs."""
        node = node_of_owner(self._owner)
        return sorted(
            (
                owner
                for owner, entry in self.nodes.items()
                if entry.address and owner != self._owner
            ),
            key=lambda owner: (self.nodes[owner].zone != self._zone, _rank(node, owner)),
        )

    def preferred_owner_address(self, job: Job) -> str | None:
        """Where the node that should own a job is reached; ``None`` if it is this one."""
        owner = preferred_owner(job, self.nodes, self._zone)
        return None if owner is None else self._address_of(owner)

    def knows_job(self, job_id: str) -> bool:
        """Whether this node has seen a job."""
        return job_id in self.open_jobs or job_id in self.last_owners or job_id in self.ended_jobs

    async def wait_for_job(self, job_id: str, wait_s: float) -> None:
        """Wait until this node has seen a job, at most ``wait_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.knows_job(job_id):
                    await self._job_seen.wait()

    def owner_address(self, job_id: str) -> str | None:
        """Where a job's owner, or its last one, is reached; ``None`` if not known or this node.

        The last owner is named only if it is in this zone: the results of a finished job are many,
        links between zones are narrow, and the store has them all.
        """
        job = self.open_jobs.get(job_id)
        if job is not None:
            return self._address_of(job.owner)
        entry = self.nodes.get(self.last_owners.get(job_id, ""))
        if entry is None or entry.zone != self._zone:
            return None
        return self._address_of(self.last_owners[job_id])

    def last_known_address(self, owner: str) -> str | None:
        """Where a process is or was reached; ``None`` if it was never seen or is this one."""
        entry = self.nodes.get(owner) or self._former_nodes.get(owner)
        if owner == self._owner or entry is None:
            return None
        return entry.address or None

    def successor(self, job: Job) -> str | None:
        """The process that should own a job once this one does not; ``None`` if there is none."""
        others = {owner: entry for owner, entry in self.nodes.items() if owner != self._owner}
        return preferred_owner(job, others, self._zone)

    def peer_addresses(self) -> list[str]:
        """Where the other nodes are reached, in no particular order."""
        others = {entry.address for owner, entry in self.nodes.items() if owner != self._owner}
        return sorted(others - {"", self._own_address()})

    def _address_of(self, owner: str) -> str | None:
        if owner == self._owner or owner not in self.nodes:
            return None
        return self.nodes[owner].address or None

    def _own_address(self) -> str:
        entry = self.nodes.get(self._owner)
        return "" if entry is None else entry.address


def _rank(node: str, owner: str) -> int:
    """Order of preference of one node among the others; it survives their restarts."""
    return xxhash.xxh64_intdigest(f"{node}|{node_of_owner(owner)}".encode())
