"""Simulated fleet of edge nodes that follow the configuration while store and nodes fail."""

import asyncio
import json
import random
from typing import Any

from hollowrack.clock import now_s
from hollowrack.coordination.feed_http import ANSWER_GRACE_S
from hollowrack.coordination.relay import RelayedCall, RelayedOutcome, make_relayed_call
from hollowrack.coordination.relay_http import ANSWER_TIMEOUT_S
from hollowrack.coordination.store import Committed, Put, Unknown
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.edge_connections import EdgeConnections
from hollowrack.edge_node import EdgeNode
from hollowrack.platform.store_client import WATCH_TIMEOUT_MARGIN_S
from hollowrack.platform.store_feed import make_mirror_feed, make_platform_feed
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.jobs.helpers import Fleet as PeerFleet
from tests.jobs.helpers import NoOrders

KEY = "op/config"
MAX_CHANGE_DELAY_S = 2.0
# Time without a fault after which a node must receive changes within the limit.
UNDISTURBED_S = 3.0
HANDOVER_S = 3.0
CHECK_INTERVAL_S = 0.05
NODE_LATENCY_S = 0.002


def encoded(version: int) -> bytes:
    """An encoded configuration with a version number."""
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


class FeedNode:
    """An edge node with its platform feed and its mirror feed for other nodes."""

    def __init__(self, name: str, fleet: "ChangeFleet") -> None:
        self.faults = StoreFaults(watch_grace_s=WATCH_TIMEOUT_MARGIN_S)
        peers = PeerFleet(0)
        connections = EdgeConnections(
            fleet.core.make_client(self.faults),
            fleet.back_ends,
            NoOrders(),
            lambda _: None,
            _retire,
            peers,
            fleet.link_of(name),
            fleet.link_of(name),
            name,
            max_change_delay_s=fleet.max_change_delay_s,
            contact_s=fleet.contact_s,
        )
        rng = random.Random(name)
        self.node = EdgeNode(name, fleet.zone_of(name), HANDOVER_S, connections, rng)
        self.feed = make_platform_feed(self.node, rng)
        self.mirror_feed = make_mirror_feed(self.node, self.feed)
        self.node.start()
        self.feed.start()

    async def kill(self) -> None:
        """Stop the node without notice."""
        self.faults.is_silent = True
        await self.feed.stop()
        await self.node.abandon()


async def _retire(machine: str) -> bool:
    return bool(machine)


class ChangeFleet:
    """Edge nodes whose connections to the store and to each other can fail.

    Args:
        num_nodes: Number of nodes that are started.
        seed: Seed of the nodes.
        max_change_delay_s: Propagation limit in the nodes' settings, which determines whether all
            of them hold sessions.
        contact_s: Contact time in the nodes' settings.

    Attributes:
        back_ends: The workers of all nodes.
        frozen: Names of nodes whose process is frozen; requests to them time out.
    """

    def __init__(
        self,
        num_nodes: int,
        seed: int = 0,
        max_change_delay_s: float = MAX_CHANGE_DELAY_S,
        contact_s: float | None = None,
    ) -> None:
        self.contact_s = contact_s
        self.max_change_delay_s = max_change_delay_s
        self.core = CoordinationStoreCore()
        self.back_ends = BackEndsStandin()
        self.core.transact([], [Put(KEY, encoded(1))], [])
        self.nodes: dict[str, FeedNode] = {}
        self.frozen: set[str] = set()
        self._acknowledged: list[tuple[float, int]] = [(-float("inf"), 1)]
        self._undisturbed_since_s: dict[str, float] = {}
        for index in range(num_nodes):
            self.start(f"n{index}-{seed}")

    def start(self, name: str) -> None:
        """Start a node."""
        self.nodes[name] = FeedNode(name, self)
        self._undisturbed_since_s[name] = now_s()

    def zone_of(self, name: str) -> str:
        """Return the zone of a node."""
        del name
        return "z1"

    def link_of(self, name: str) -> Any:
        """Return a node's client of the other nodes."""
        del name
        return self

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Send a watch to another node; a node's address is its name."""
        await asyncio.sleep(NODE_LATENCY_S)
        node = self.nodes.get(address)
        if node is None or address in self.frozen:
            await asyncio.sleep(request.wait_s + ANSWER_GRACE_S)
            return None
        answer = await node.mirror_feed.watch(request)
        if address in self.frozen:
            await asyncio.sleep(ANSWER_GRACE_S)
            return None
        return answer

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Relay a store call through a node."""
        await asyncio.sleep(NODE_LATENCY_S)
        node = self.nodes.get(address)
        if node is None or address in self.frozen:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unknown("silent")
        return await make_relayed_call(self.core.make_client(node.faults), call)

    def names(self) -> list[str]:
        """Return the names of the nodes that are not frozen."""
        return [name for name in self.nodes if name not in self.frozen]

    def leader(self) -> str:
        """Return the name of the node that most nodes consider the leader; empty if none."""
        known = [self.nodes[name].node.live.leader() for name in self.names()]
        owners = [owner for owner in known if owner is not None]
        return "" if not owners else max(set(owners), key=owners.count).rsplit("#", 1)[0]

    def fail_store(self, names: list[str], kind: str) -> None:
        """Make the store refuse calls of nodes, or leave them unanswered."""
        for name in names:
            faults: StoreFaults = self.nodes[name].faults
            faults.refuses = kind == "refuses"
            faults.is_silent = kind == "silent"

    def restore_store(self) -> None:
        """Make the store answer all nodes that are not frozen."""
        for name in self.names():
            node = self.nodes[name]
            if node.faults.refuses or node.faults.is_silent:
                self._undisturbed_since_s[name] = now_s()
            node.faults.refuses = node.faults.is_silent = False

    def freeze(self, name: str) -> None:
        """Freeze a node as seen by the others; its own timers go on."""
        self.frozen.add(name)
        self.nodes[name].faults.is_silent = True

    def unfreeze(self, name: str) -> None:
        """End the freeze of a node."""
        self.frozen.discard(name)
        self.nodes[name].faults.is_silent = False
        self._undisturbed_since_s[name] = now_s()

    def change(self) -> None:
        """Write a newer configuration, which the store acknowledges."""
        version = len(self._acknowledged) + 1
        outcome = self.core.transact([], [Put(KEY, encoded(version))], [])
        assert isinstance(outcome, Committed)
        self._acknowledged.append((now_s(), version))

    def version_of(self, name: str) -> int:
        """Return the version in force on a node; 0 for none."""
        return self.nodes[name].node.routes.version or 0

    def is_undisturbed(self, name: str) -> bool:
        """Whether a node and its connection to the store had no fault for ``UNDISTURBED_S``."""
        faults = self.nodes[name].faults
        is_disturbed = name in self.frozen or faults.refuses or faults.is_silent
        return not is_disturbed and now_s() - self._undisturbed_since_s[name] >= UNDISTURBED_S

    def required_version(self) -> int:
        """Return the newest version that undisturbed nodes must have by now."""
        end_s = now_s() - MAX_CHANGE_DELAY_S
        versions = [version for at_s, version in self._acknowledged if at_s <= end_s]
        return max(versions)

    def check(self) -> None:
        """Check that every undisturbed node has the required version."""
        outdated = {
            name: self.version_of(name)
            for name in self.names()
            if self.is_undisturbed(name) and self.version_of(name) < self.required_version()
        }
        assert not outdated, (
            f"at {now_s():.2f} s: {self.required_version()} is required, nodes have {outdated}"
        )

    async def wait(self, seconds: float) -> None:
        """Wait, and run :meth:`check` at short intervals."""
        end_s = now_s() + seconds
        while now_s() < end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    async def stop(self) -> None:
        """Stop all nodes."""
        for name in list(self.nodes):
            await self.nodes.pop(name).kill()
