"""Followers of the leader's mirrors: changes arrive late while leader, store or links fail."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.mirror_feed import MirrorFeed
from hollowrack.coordination.shared_store import FOLLOWER_POLL_DELAY_S, SharedStore, StoreAccess
from hollowrack.coordination.store import Changes, HistoryGone, Put, Unavailable
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import (
    CoordinationStoreCore,
    CoordinationStoreStandin,
    StoreFaults,
)

NUM_FOLLOWERS = 8
MAX_CHANGE_DELAY_S = 2.0
WATCH_WAIT_S = 0.5
MIN_CALL_INTERVAL_S = 0.15


@dataclass
class Link:
    """Connection of the followers to the leader."""

    feed: MirrorFeed
    is_cut: bool = False
    is_frozen: bool = False

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        assert address == "leader"
        await asyncio.sleep(0.001)
        if self.is_cut:
            return None
        if self.is_frozen:
            await asyncio.sleep(request.wait_s + 0.35)
            return None
        answer = await self.feed.watch(request)
        return None if self.is_cut or self.is_frozen else answer


@dataclass
class Node:
    """The mirrors of one node."""

    operators: PrefixMirror
    workers: PrefixMirror
    faults: StoreFaults

    def value(self, key: str) -> bytes | None:
        item = (self.operators.items | self.workers.items).get(key)
        return None if item is None else item.value

    async def stop(self) -> None:
        await self.operators.stop()
        await self.workers.stop()


def make_node(core: CoordinationStoreCore, name: str, link: Link | None = None) -> Node:
    faults = StoreFaults()
    store = core.make_client(faults)
    shared = (
        store
        if link is None
        else SharedStore(store, link, lambda: ["leader"], lambda: StoreAccess.FOLLOWER)
    )
    rng = random.Random(name)
    workers = PrefixMirror(shared, "w/", lambda key, item: None, MIN_CALL_INTERVAL_S, rng)
    operators = PrefixMirror(
        shared,
        "o/",
        lambda key, item: None,
        MIN_CALL_INTERVAL_S,
        rng,
        WATCH_WAIT_S,
        workers.relist,
    )
    operators.start()
    workers.start()
    return Node(operators, workers, faults)


@dataclass
class Fleet:
    """A leader and its followers."""

    core: CoordinationStoreCore = field(default_factory=CoordinationStoreCore)

    def __post_init__(self) -> None:
        self.core.transact([], [Put("o/a", b"0"), Put("w/a", b"0")], [])
        self.leader = make_node(self.core, "leader")
        mirrors = {"o/": self.leader.operators, "w/": self.leader.workers}
        self.link = Link(MirrorFeed(mirrors, lambda _: self.leader.operators.last_answer_s))
        self.followers = [
            make_node(self.core, f"f{index}", self.link) for index in range(NUM_FOLLOWERS)
        ]

    async def check_within_limit(self, key: str, value: bytes) -> None:
        end_s = now_s() + MAX_CHANGE_DELAY_S
        while any(node.value(key) != value for node in self.followers):
            assert now_s() < end_s
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        for node in (self.leader, *self.followers):
            await node.stop()


def test_followers_receive_changes_with_few_store_calls() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(2.0)
        num_calls = fleet.core.num_calls
        for number in range(20):
            value = str(number).encode()
            fleet.core.transact([], [Put("o/a", value), Put("w/a", value)], [])
            await fleet.check_within_limit("o/a", value)
            await fleet.check_within_limit("w/a", value)
            await asyncio.sleep(1.0)
        fleet.core.transact([], [], ["w/a"])
        await asyncio.sleep(1.0)
        assert all(node.value("w/a") is None for node in fleet.followers)
        # The leader alone makes three to four calls per second.
        assert fleet.core.num_calls - num_calls < 120
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("prefix", ["o", "w"])
@pytest.mark.parametrize(
    "fault",
    ["leader cut from store", "leader silent", "link cut", "leader frozen", "history compacted"],
)
@pytest.mark.parametrize("delay_s", [0.0, 0.3, 1.0, 3.0])
def test_connected_followers_receive_changes_within_limit(
    prefix: str, fault: str, delay_s: float
) -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(5.0)
        if fault == "leader cut from store":
            fleet.leader.faults.refuses = True
        elif fault == "leader silent":
            fleet.leader.faults.is_silent = True
        elif fault == "link cut":
            fleet.link.is_cut = True
        elif fault == "leader frozen":
            fleet.link.is_frozen = True
        await asyncio.sleep(delay_s)
        put = Put(f"{prefix}/a", b"new")
        if fault == "history compacted":
            fleet.core.put_without_notifying([put])
        else:
            fleet.core.transact([], [put], [])
        await fleet.check_within_limit(f"{prefix}/a", b"new")
        await fleet.stop()

    run_virtual(main())


def test_followers_refused_by_store_receive_changes_from_leader() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(2.0)
        for node in fleet.followers:
            node.faults.refuses = True
        await asyncio.sleep(2.0)
        fleet.core.transact([], [Put("o/a", b"new"), Put("w/a", b"new")], [])
        await fleet.check_within_limit("o/a", b"new")
        await fleet.check_within_limit("w/a", b"new")
        await fleet.stop()

    run_virtual(main())


class StoreWithHungWorkerWatch(CoordinationStoreStandin):
    """A view of the store on which watches of worker keys hang."""

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        if prefix == "w/":
            await asyncio.sleep(3600.0)
        return await super().watch(prefix, after_revision, wait_s)


def test_watch_at_store_is_restarted_when_leader_answers() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("o/a", b"0"), Put("w/a", b"0")], [])
        leader = make_node(core, "leader")
        mirrors = {"o/": leader.operators, "w/": leader.workers}
        link = Link(MirrorFeed(mirrors, lambda _: leader.operators.last_answer_s))
        addresses: list[str] = []
        shared = SharedStore(
            StoreWithHungWorkerWatch(core, StoreFaults()),
            link,
            lambda: addresses,
            lambda: StoreAccess.FOLLOWER,
        )
        rng = random.Random(1)
        workers = PrefixMirror(shared, "w/", lambda key, item: None, MIN_CALL_INTERVAL_S, rng)
        operators = PrefixMirror(
            shared,
            "o/",
            lambda key, item: None,
            MIN_CALL_INTERVAL_S,
            rng,
            WATCH_WAIT_S,
            workers.relist,
        )
        shared.source_listeners.append(workers.restart_watch)
        operators.start()
        workers.start()
        await asyncio.sleep(1.0)
        core.transact([], [Put("w/a", b"missed")], [])
        addresses.append("leader")
        await asyncio.sleep(MAX_CHANGE_DELAY_S)
        assert workers.items["w/a"].value == b"missed"
        for mirror in (operators, workers):
            await mirror.stop()
        await leader.stop()

    run_virtual(main())


class CountingStore(CoordinationStoreStandin):
    """A view of the store that counts its watches."""

    num_watches = 0

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        self.num_watches += 1
        return await super().watch(prefix, after_revision, wait_s)


@pytest.mark.parametrize("access", [StoreAccess.FOLLOWER, StoreAccess.LEADER])
def test_follower_delays_all_but_its_first_store_call(
    access: StoreAccess,
) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        store = CountingStore(core, StoreFaults())
        link = Link(MirrorFeed({}, lambda _: now_s()), is_cut=True)
        shared = SharedStore(store, link, lambda: ["leader"], lambda: access)
        started_s = now_s()
        await shared.watch("o/", 0, 0.0)
        assert now_s() - started_s < 0.1
        for _ in range(9):
            await shared.watch("o/", 0, 0.0)
        duration_s = now_s() - started_s
        assert store.num_watches == 10
        assert (
            duration_s < 0.2
            if access is StoreAccess.LEADER
            else duration_s >= 9 * FOLLOWER_POLL_DELAY_S
        )
        # The first call for another prefix is not delayed.
        started_s = now_s()
        await shared.watch("w/", 0, 0.0)
        assert now_s() - started_s < 0.1

    run_virtual(main())
