"""Which nodes hold a session: a few of each zone, which may own jobs and lead.

A session costs the store two renewals a second and an entry that every node follows, so its price
would grow with the nodes. Any node forwards requests and accepts calls about jobs; only those with
a session own jobs or lead. Each node decides for itself from the entries that it sees, without
agreement: one too many is harmless and steps back, one too few is filled after a pause.
"""

import asyncio
import random
from collections.abc import Callable, Mapping

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.session import Session, node_of_owner
from hollowrack.jobs.live_state import LiveState
from hollowrack.jobs.placement import LARGE_NODE_FRACTION, NodeEntry
from hollowrack.tasks import cancel_all

# With two of them gone a zone still has one.
NUM_HOSTS_PER_ZONE = 3
# Changes may take this long by way of a host: the age of its mirror at most, the check of it, a
# question to a store that has to be found to answer, and as much again for a host that hangs.
MIN_CHANGE_BOUND_WITHOUT_SESSION_S = 3.0
ROLE_POLL_INTERVAL_S = 0.1
# Nodes that have just started apply in the order of their size: this divided by their cores, in
# seconds. Half a core needs 0.8 s to start and waits 0.8 s, by when larger ones are seen.
START_DELAY_CORE_S = 0.4
STARTUP_WINDOW_S = 10.0
# A host whose lease has lapsed is back within the longest pause between grants, about 1.6 s.
REPLACEMENT_DELAY_S = 2.0
# An application is seen by the others after about half a second, and some dozens of nodes may want
# the same place: they spread over this time if the zone has a host, else over the shorter one.
MAX_JITTER_S = 10.0
MAX_URGENT_JITTER_S = 1.5
# A host that is not needed any more steps back after this time without a duty.
SURPLUS_DELAY_S = 5.0


def num_hosts_per_zone(change_bound_s: float) -> int | None:
    """Return how many nodes of a zone hold a session; ``None`` for all.

    A node without one hears of changes by way of a host, which takes longer. Only deployments that
    are large give changes that much time.

    Args:
        change_bound_s: How long changes may take to reach a node, in seconds.
    """
    return NUM_HOSTS_PER_ZONE if change_bound_s >= MIN_CHANGE_BOUND_WITHOUT_SESSION_S else None


def needs_session(
    node: str, own: NodeEntry, hosts: Mapping[str, NodeEntry], num_hosts: int
) -> bool:
    """Whether a node without a session should hold one.

    Args:
        node: The node.
        own: What it says of itself.
        hosts: What the processes with a session say of themselves, by owner name.
        num_hosts: How many hosts a zone has.
    """
    others = _others_in_zone(node, own, hosts)
    as_large = [entry for entry in others.values() if entry.num_cores >= _as_large(own)]
    return len(as_large) < num_hosts


def is_surplus(node: str, own: NodeEntry, hosts: Mapping[str, NodeEntry], num_hosts: int) -> bool:
    """Whether enough others of its zone are larger, or as large and earlier by name.

    Args:
        node: The node.
        own: What it says of itself.
        hosts: What the processes with a session say of themselves, by owner name.
        num_hosts: How many hosts a zone has.
    """
    others = _others_in_zone(node, own, hosts)
    before = [
        owner
        for owner, entry in others.items()
        if entry.num_cores * LARGE_NODE_FRACTION > own.num_cores
        or (entry.num_cores >= _as_large(own) and node_of_owner(owner) < node)
    ]
    return len(before) >= num_hosts


def _others_in_zone(
    node: str, own: NodeEntry, hosts: Mapping[str, NodeEntry]
) -> dict[str, NodeEntry]:
    """Hosts of the same zone that are not about to stop."""
    return {
        owner: entry
        for owner, entry in hosts.items()
        if entry.zone == own.zone and entry.num_cores > 0.0 and node_of_owner(owner) != node
    }


def _as_large(own: NodeEntry) -> float:
    return LARGE_NODE_FRACTION * own.num_cores


class HostRole:
    """Opens and closes the session of one node.

    Args:
        owner: Name and incarnation of the node's process.
        own: Returns what it says of itself.
        session: Its session.
        live: The processes with a session, as this node sees them.
        is_live_loaded: Set once that view has been read.
        has_duties: Whether this node owns a job or leads.
        led_last: Whether this node led last.
        num_hosts: How many nodes of a zone hold a session; ``None`` for all.
        rng: Source of the jitter.
    """

    def __init__(
        self,
        owner: str,
        own: Callable[[], NodeEntry],
        session: Session,
        live: LiveState,
        is_live_loaded: asyncio.Event,
        has_duties: Callable[[], bool],
        led_last: Callable[[], bool],
        num_hosts: int | None,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._node = node_of_owner(owner)
        self._own = own
        self._session = session
        self._live = live
        self._is_live_loaded = is_live_loaded
        self._has_duties = has_duties
        self._led_last = led_last
        self._num_hosts = num_hosts
        self._rng = rng
        self._started_s = 0.0
        # Since when a change of role is indicated, on the loop's clock.
        self._due_since_s: float | None = None
        # This node's place among those that wait, 0 to 1.
        self._place = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start deciding."""
        self._started_s = now_s()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop deciding; the session stays as it is."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        if self._num_hosts is None:
            self._open("every node has one")
            return
        await self._is_live_loaded.wait()
        while True:
            if self._session.is_held:
                await self._step_back_if_surplus(self._num_hosts)
            else:
                self._apply_if_wanted(self._num_hosts)
            await asyncio.sleep(ROLE_POLL_INTERVAL_S)

    def _apply_if_wanted(self, num_hosts: int) -> None:
        is_wanted_now = needs_session(self._node, self._own(), self._live.nodes, num_hosts)
        if self._has_duties():
            self._open("it has duties")
        elif self._is_starting and self._was_host():
            self._open("its last process had one")
        elif self._is_due(is_wanted_now, self._apply_wait_s()):
            self._open("its zone has too few")

    def _open(self, reason: str) -> None:
        logging.info("session is opened: %s", reason)
        self._due_since_s = None
        self._session.start()

    async def _step_back_if_surplus(self, num_hosts: int) -> None:
        is_surplus_now = not self._has_duties() and is_surplus(
            self._node, self._own(), self._live.nodes, num_hosts
        )
        if self._is_due(is_surplus_now, SURPLUS_DELAY_S):
            logging.info("session is closed: its zone has enough")
            self._due_since_s = None
            await self._session.stop()

    def _is_due(self, is_indicated: bool, wait_s: float) -> bool:
        """Whether a change has been indicated without a break for the time it has to be."""
        if not is_indicated:
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now_s()
            self._place = self._rng.random()
        return now_s() - self._due_since_s >= wait_s

    def _apply_wait_s(self) -> float:
        own = self._own()
        has_host = bool(_others_in_zone(self._node, own, self._live.nodes))
        jitter_s = self._place * (MAX_JITTER_S if has_host else MAX_URGENT_JITTER_S)
        if not self._is_starting:
            return REPLACEMENT_DELAY_S + jitter_s
        size_wait_s = START_DELAY_CORE_S / max(own.num_cores, START_DELAY_CORE_S)
        return size_wait_s * (1.0 + jitter_s)

    @property
    def _is_starting(self) -> bool:
        return now_s() - self._started_s < STARTUP_WINDOW_S

    def _was_host(self) -> bool:
        """Whether an earlier process of this node led last, has an entry or owns a job."""
        owners = [*self._live.nodes, *(job.owner for job in self._live.open_jobs.values())]
        former = [owner for owner in owners if owner != self._owner]
        return self._led_last() or any(node_of_owner(owner) == self._node for owner in former)
