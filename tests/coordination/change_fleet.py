"""Nodes that follow the configuration through outages and silent neighbours, on virtual time."""

import asyncio
import json
import random

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
# How long a change may take to a calm node, and how long a node must have been calm for that.
CHANGE_BOUND_S = 2.0
CONTACT_S = 3.0
HANDOVER_S = 3.0
CHECK_S = 0.05
NODE_LATENCY_S = 0.002


def encoded(version: int) -> bytes:
    """A configuration of a version."""
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


class FollowingNode:
    """An edge node with its feed, and what answers other nodes' watches."""

    def __init__(self, name: str, fleet: "ChangeFleet") -> None:
        self.faults = StoreFaults(watch_grace_s=WATCH_TIMEOUT_MARGIN_S)
        peers = PeerFleet(0)
        connections = EdgeConnections(
            fleet.core.view(self.faults),
            BackEndsStandin(),
            NoOrders(),
            lambda _: None,
            _retire,
            peers,
            fleet,
            fleet,
            name,
        )
        rng = random.Random(name)
        self.node = EdgeNode(name, "z1", HANDOVER_S, connections, rng)
        self.feed = make_platform_feed(self.node, rng)
        self.answers = make_mirror_feed(self.node, self.feed)
        self.node.start()
        self.feed.start()

    async def kill(self) -> None:
        """End the node at once."""
        self.faults.is_silent = True
        await self.feed.stop()
        await self.node.abandon()


async def _retire(machine: str) -> bool:
    return bool(machine)


class ChangeFleet:
    """Edge nodes whose connections to the store and to each other fail as real ones do.

    Attributes:
        frozen: Nodes that stand still: whoever asks them gets no answer.
    """

    def __init__(self, num_nodes: int, seed: int = 0) -> None:
        self.core = CoordinationStoreCore()
        self.core.transact([], [Put(KEY, encoded(1))], [])
        self.nodes: dict[str, FollowingNode] = {}
        self.frozen: set[str] = set()
        self._acknowledged: list[tuple[float, int]] = [(-float("inf"), 1)]
        self._calm_from_s: dict[str, float] = {}
        for index in range(num_nodes):
            self.start(f"n{index}-{seed}")

    def start(self, name: str) -> None:
        """Start a node."""
        self.nodes[name] = FollowingNode(name, self)
        self._calm_from_s[name] = now_s()

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Ask another node, whose address is its name."""
        await asyncio.sleep(NODE_LATENCY_S)
        node = self.nodes.get(address)
        if node is None or address in self.frozen:
            await asyncio.sleep(request.wait_s + ANSWER_GRACE_S)
            return None
        answer = await node.answers.watch(request)
        if address in self.frozen:
            await asyncio.sleep(ANSWER_GRACE_S)
            return None
        return answer

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Make a node's call by way of another one."""
        await asyncio.sleep(NODE_LATENCY_S)
        node = self.nodes.get(address)
        if node is None or address in self.frozen:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return Unknown("silent")
        return await make_relayed_call(self.core.view(node.faults), call)

    def names(self) -> list[str]:
        """Return the nodes that do not stand still."""
        return [name for name in self.nodes if name not in self.frozen]

    def leader(self) -> str:
        """Return the node that the others take for the leader."""
        known = [self.nodes[name].node.live.leader() for name in self.names()]
        owners = [owner for owner in known if owner is not None]
        return "" if not owners else max(set(owners), key=owners.count).rsplit("#", 1)[0]

    def fail_store(self, names: list[str], kind: str) -> None:
        """Have the store refuse nodes, or be silent to them."""
        for name in names:
            faults: StoreFaults = self.nodes[name].faults
            faults.refuses = kind == "refuses"
            faults.is_silent = kind == "silent"

    def heal_store(self) -> None:
        """Have the store answer everybody."""
        for name in self.names():
            node = self.nodes[name]
            if node.faults.refuses or node.faults.is_silent:
                self._calm_from_s[name] = now_s()
            node.faults.refuses = node.faults.is_silent = False

    def freeze(self, name: str) -> None:
        """Have a node stand still for the others; its own timers go on unheard."""
        self.frozen.add(name)
        self.nodes[name].faults.is_silent = True

    def thaw(self, name: str) -> None:
        """Have a node go on."""
        self.frozen.discard(name)
        self.nodes[name].faults.is_silent = False
        self._calm_from_s[name] = now_s()

    def change(self) -> None:
        """Write a newer value; the store acknowledges it."""
        version = len(self._acknowledged) + 1
        outcome = self.core.transact([], [Put(KEY, encoded(version))], [])
        assert isinstance(outcome, Committed)
        self._acknowledged.append((now_s(), version))

    def version_of(self, name: str) -> int:
        """Return the version in force on a node; 0 for none."""
        return self.nodes[name].node.routes.version or 0

    def is_calm(self, name: str) -> bool:
        """Whether nothing has disturbed a node and its way to the store for long enough."""
        faults = self.nodes[name].faults
        is_disturbed = name in self.frozen or faults.refuses or faults.is_silent
        return not is_disturbed and now_s() - self._calm_from_s[name] >= CONTACT_S

    def due_version(self) -> int:
        """Return the newest version that calm nodes must know now."""
        end_s = now_s() - CHANGE_BOUND_S
        due = [version for at_s, version in self._acknowledged if at_s <= end_s]
        return max(due)

    def check(self) -> None:
        """Every calm node knows what has been acknowledged long enough ago."""
        late = {
            name: self.version_of(name)
            for name in self.names()
            if self.is_calm(name) and self.version_of(name) < self.due_version()
        }
        assert not late, f"at {now_s():.2f} s: {self.due_version()} is due, known are {late}"

    async def wait(self, seconds: float) -> None:
        """Let time pass, and check all the while."""
        end_s = now_s() + seconds
        while now_s() < end_s:
            await asyncio.sleep(CHECK_S)
            self.check()

    async def stop(self) -> None:
        """End all nodes."""
        for name in list(self.nodes):
            await self.nodes.pop(name).kill()
