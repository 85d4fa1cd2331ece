"""Selection of host nodes: the few nodes of each zone that hold a session in the store.

A session costs the store two renewals per second and an entry that every node follows, so that
one per node would not scale. Any node forwards requests and accepts calls about jobs; only hosts
own jobs or lead. Each node decides on its own from the entries that it sees: a surplus host is
harmless and closes its session, a missing host is replaced after a delay.
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

# Two hosts of a zone may fail at the same time.
NUM_HOSTS_PER_ZONE = 3
# Longest time for a change to reach a node through a host: the age limit of the host's mirror, the
# interval of its freshness check, a request to the store including failover, and the same again if
# the host hangs.
MIN_CHANGE_BOUND_WITHOUT_SESSION_S = 3.0
ROLE_POLL_INTERVAL_S = 0.1
# Core-seconds: a starting node waits for this divided by its number of cores, so that larger nodes
# become hosts first. A node with half a core starts in 0.8 s and waits 0.8 s, by which time it has
# seen the larger ones.
START_DELAY_CORE_S = 0.4
STARTUP_WINDOW_S = 10.0
# Longer than the longest retry interval of a session (1.6 s), so that a host whose lease has
# expired can renew it first.
REPLACEMENT_DELAY_S = 2.0
# Spreads the attempts of dozens of nodes, because other nodes see a new session only after about
# 0.5 s. The shorter jitter applies while the zone has no host.
MAX_JITTER_S = 10.0
MAX_URGENT_JITTER_S = 1.5
# A surplus host closes its session after this time without owning jobs or leading.
SURPLUS_DELAY_S = 5.0


def num_hosts_per_zone(change_bound_s: float) -> int | None:
    """Return how many nodes of a zone hold a session; ``None`` for all.

    A node without a session receives changes through a host, which takes longer. Only settings
    for large deployments allow that much time.

    Args:
        change_bound_s: Longest time for a change to reach a node, in seconds.
    """
    return NUM_HOSTS_PER_ZONE if change_bound_s >= MIN_CHANGE_BOUND_WITHOUT_SESSION_S else None


def needs_session(
    node: str, own: NodeEntry, hosts: Mapping[str, NodeEntry], num_hosts: int
) -> bool:
    """Whether a node without a session should open one.

    Args:
        node: Name of the node.
        own: Entry that it publishes.
        hosts: Entries of the processes with a session by owner name.
        num_hosts: Desired number of hosts of a zone.
    """
    others = _others_in_zone(node, own, hosts)
    as_large = [entry for entry in others.values() if entry.num_cores >= _min_cores_as_large(own)]
    return len(as_large) < num_hosts


def is_surplus(node: str, own: NodeEntry, hosts: Mapping[str, NodeEntry], num_hosts: int) -> bool:
    """Whether enough other hosts of its zone are larger, or as large and first by name.

    Args:
        node: Name of the node.
        own: Entry that it publishes.
        hosts: Entries of the processes with a session by owner name.
        num_hosts: Desired number of hosts of a zone.
    """
    others = _others_in_zone(node, own, hosts)
    preceding = [
        owner
        for owner, entry in others.items()
        if entry.num_cores * LARGE_NODE_FRACTION > own.num_cores
        or (entry.num_cores >= _min_cores_as_large(own) and node_of_owner(owner) < node)
    ]
    return len(preceding) >= num_hosts


def _others_in_zone(
    node: str, own: NodeEntry, hosts: Mapping[str, NodeEntry]
) -> dict[str, NodeEntry]:
    """Other hosts of the same zone that are not stopping."""
    return {
        owner: entry
        for owner, entry in hosts.items()
        if entry.zone == own.zone and entry.num_cores > 0.0 and node_of_owner(owner) != node
    }


def _min_cores_as_large(own: NodeEntry) -> float:
    return LARGE_NODE_FRACTION * own.num_cores


class HostRole:
    """Opens and closes the session of one node, depending on the other hosts of its zone.

    Args:
        owner: Owner name (node and incarnation) of this process.
        own: Returns the entry that this node publishes.
        session: Session that is opened and closed.
        live: Cluster state as seen by this node.
        is_live_loaded: Set once the cluster state has been read.
        has_duties: Returns whether this node owns a job or leads.
        led_last: Returns whether this node was the last leader.
        num_hosts: Desired number of hosts of a zone; ``None`` if every node is one.
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
        # Time since which a change of role has been due, on the event loop's clock.
        self._due_since_s: float | None = None
        # Random fraction of the jitter, drawn anew for each change of role.
        self._jitter_fraction = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic check."""
        self._started_s = now_s()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check; the session stays as it is."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        if self._num_hosts is None:
            self._open("every node holds one")
            return
        await self._is_live_loaded.wait()
        while True:
            if self._session.is_held:
                await self._close_if_surplus(self._num_hosts)
            else:
                self._open_if_needed(self._num_hosts)
            await asyncio.sleep(ROLE_POLL_INTERVAL_S)

    def _open_if_needed(self, num_hosts: int) -> None:
        is_needed = needs_session(self._node, self._own(), self._live.nodes, num_hosts)
        if self._has_duties():
            self._open("this node owns jobs or leads")
        elif self._is_starting and self._was_host():
            self._open("an earlier process of this node held one")
        elif self._is_due(is_needed, self._opening_delay_s()):
            self._open("the zone has too few hosts")

    def _open(self, reason: str) -> None:
        logging.info("opening the session with the store: %s", reason)
        self._due_since_s = None
        self._session.start()

    async def _close_if_surplus(self, num_hosts: int) -> None:
        is_change_needed = not self._has_duties() and is_surplus(
            self._node, self._own(), self._live.nodes, num_hosts
        )
        if self._is_due(is_change_needed, SURPLUS_DELAY_S):
            logging.info("closing the session with the store: the zone has enough hosts")
            self._due_since_s = None
            await self._session.stop()

    def _is_due(self, is_change_needed: bool, wait_s: float) -> bool:
        """Whether a change of role has been needed continuously for ``wait_s`` seconds."""
        if not is_change_needed:
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now_s()
            self._jitter_fraction = self._rng.random()
        return now_s() - self._due_since_s >= wait_s

    def _opening_delay_s(self) -> float:
        own = self._own()
        has_host = bool(_others_in_zone(self._node, own, self._live.nodes))
        jitter_s = self._jitter_fraction * (MAX_JITTER_S if has_host else MAX_URGENT_JITTER_S)
        if not self._is_starting:
            return REPLACEMENT_DELAY_S + jitter_s
        size_delay_s = START_DELAY_CORE_S / max(own.num_cores, START_DELAY_CORE_S)
        return size_delay_s * (1.0 + jitter_s)

    @property
    def _is_starting(self) -> bool:
        return now_s() - self._started_s < STARTUP_WINDOW_S

    def _was_host(self) -> bool:
        """Whether an earlier process of this node led last, has an entry or owns a job."""
        owners = [*self._live.nodes, *(job.owner for job in self._live.open_jobs.values())]
        former = [owner for owner in owners if owner != self._owner]
        return self._led_last() or any(node_of_owner(owner) == self._node for owner in former)
