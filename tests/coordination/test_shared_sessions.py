"""Session keys shared by the leader: a crashed leader is kept, or store calls are too frequent."""

import asyncio
import random
from functools import partial

from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.mirror_feed import MirrorFeed
from hollowrack.coordination.shared_store import SharedStore, StoreAccess
from hollowrack.coordination.store import Put
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.edge_connections import EdgeConnections
from hollowrack.edge_node import EdgeNode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.jobs.helpers import Fleet as PeerFleet
from tests.jobs.helpers import NoOrders

SENTINEL_WAIT_S = 0.5
MIN_CALL_INTERVAL_S = 0.15
HANDOVER_S = 3.0
MAX_ELECTION_S = 4.5


class SharingNode:
    """An edge node with a sentinel and a mirror feed for other nodes."""

    def __init__(self, name: str, fleet: "SharingFleet") -> None:
        self.faults = StoreFaults()
        store = fleet.core.make_client(self.faults)
        rng = random.Random(name)
        peers = PeerFleet(0)
        connections = EdgeConnections(
            store, BackEndsStandin(), NoOrders(), lambda _: None, _retire, peers, fleet, peers, name
        )
        self.node = EdgeNode(name, "z1", HANDOVER_S, connections, rng)
        self.sentinel = PrefixMirror(
            self.node.shared_store,
            "op/",
            lambda key, item: None,
            MIN_CALL_INTERVAL_S,
            rng,
            SENTINEL_WAIT_S,
            self.node.watch_interrupted,
        )
        mirrors = {"op/": self.sentinel, **self.node.shared_mirrors()}
        self.feed = MirrorFeed(mirrors, self.node.shared_store.last_answer_s)
        self.sentinel.start()
        self.node.start()

    async def kill(self) -> None:
        self.faults.is_silent = True
        await self.sentinel.stop()
        await self.node.abandon()


class SharingFleet:
    """Edge nodes that watch the leader; requests to dead nodes time out."""

    def __init__(self, num_nodes: int) -> None:
        self.core = CoordinationStoreCore()
        self.nodes: dict[str, SharingNode] = {}
        for index in range(num_nodes):
            name = f"n{index}"
            self.nodes[name] = SharingNode(name, self)

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        await asyncio.sleep(0.001)
        if address not in self.nodes:
            await asyncio.sleep(request.wait_s + 0.35)
            return None
        return await self.nodes[address].feed.watch(request)

    def leaders(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.node.leadership.is_leader]

    def known_peers(self) -> set[int]:
        return {len(node.node.peer_addresses()) for node in self.nodes.values()}

    async def kill(self, name: str) -> None:
        await self.nodes.pop(name).kill()

    async def stop(self) -> None:
        for name in list(self.nodes):
            await self.kill(name)


async def _retire(machine: str) -> bool:
    return bool(machine)


def test_silent_leader_is_replaced_and_removed_on_all_nodes() -> None:
    async def main() -> None:
        fleet = SharingFleet(8)
        await asyncio.sleep(3.0)
        for num_left in (7, 6, 5):
            (leader,) = fleet.leaders()
            await fleet.kill(leader)
            await asyncio.sleep(MAX_ELECTION_S)
            assert len(fleet.leaders()) == 1
            assert fleet.known_peers() == {num_left - 1}
        await fleet.stop()

    run_virtual(main())


def test_store_watches_hardly_grow_with_number_of_nodes() -> None:
    async def num_calls(num_nodes: int) -> int:
        fleet = SharingFleet(num_nodes)
        await asyncio.sleep(5.0)
        before = fleet.core.num_watches
        await asyncio.sleep(30.0)
        after = fleet.core.num_watches
        await fleet.stop()
        return after - before

    few = run_virtual(num_calls(4))
    many = run_virtual(num_calls(24))
    assert many <= few + 5


def test_two_nodes_that_follow_each_other_do_not_stay_stale() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        mirrors: dict[str, PrefixMirror] = {}
        feeds: dict[str, MirrorFeed] = {}

        class Link:
            async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
                await asyncio.sleep(0.001)
                return await feeds[address].watch(request)

        for name, assumed_leader in (("a", "b"), ("b", "a")):
            shared = SharedStore(
                core.make_client(),
                Link(),
                partial(list, [assumed_leader]),
                lambda: StoreAccess.FOLLOWER,
            )
            rng = random.Random(name)
            mirror = PrefixMirror(
                shared, "op/", lambda key, item: None, MIN_CALL_INTERVAL_S, rng, SENTINEL_WAIT_S
            )
            mirrors[name] = mirror
            feeds[name] = MirrorFeed({"op/": mirror}, shared.last_answer_s)
            mirror.start()
        await asyncio.sleep(5.0)
        core.transact([], [Put("op/config", b"2")], [])
        await asyncio.sleep(2.0)
        for mirror in mirrors.values():
            assert mirror.items["op/config"].value == b"2"
            await mirror.stop()

    run_virtual(main())
