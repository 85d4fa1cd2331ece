"""Removals between mirrors: a removal with too high a revision deletes an entry written after it.

Nodes that exchanged such removals lost the entries of running workers and refused all requests.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.coordination.anti_entropy import AntiEntropy
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.mirror_feed import MirrorFeed
from hollowrack.coordination.shared_store import SharedStore, StoreAccess
from hollowrack.coordination.store import Changes, Listing, Put, RemovedKey, StoredItem
from hollowrack.coordination.watch_messages import SharedChange, SharedChanges, WatchRequest
from hollowrack.messages import codec
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults

PREFIX = "k/"
NUM_MIRRORS = 3
KEYS = ("k/a", "k/b")


class Fleet:
    """Mirrors of one store, to which the test applies changes explicitly."""

    def __init__(self) -> None:
        self.core = CoordinationStoreCore()
        self.states: dict[int, dict[str, bytes]] = {0: {}}
        self.mirrors = [self._mirror() for _ in range(NUM_MIRRORS)]
        for mirror in self.mirrors:
            mirror.apply_listing(Listing((), 0))

    def _mirror(self) -> PrefixMirror:
        store = self.core.make_client()
        return PrefixMirror(store, PREFIX, lambda key, item: None, 0.3, random.Random(1))

    def write(self, key: str) -> None:
        self.core.transact([], [Put(key, str(self.core.revision).encode())], [])
        self._record_state()

    def remove(self, *keys: str) -> None:
        self.core.transact([], [], keys)
        self._record_state()

    def _record_state(self) -> None:
        items = self.core.items.items()
        self.states[self.core.revision] = {key: item.value for key, item in items}

    def watch(self, index: int) -> None:
        """Apply all changes of the store to one mirror, as one batch."""
        mirror = self.mirrors[index]
        changes = self.core.changes(PREFIX, mirror.reached_revision)
        assert isinstance(changes, Changes)
        mirror.apply_changes(changes)

    def list(self, index: int) -> None:
        """Apply a listing of the store to one mirror."""
        items = tuple(self.core.items.values())
        self.mirrors[index].apply_listing(Listing(items, self.core.revision))

    async def poll(self, index: int, other: int, wants_listing: bool) -> None:
        """Apply one mirror's changes or listing to another mirror."""
        mirror = self.mirrors[index]
        feed = MirrorFeed({PREFIX: self.mirrors[other]}, lambda _: now_s())
        request = WatchRequest(PREFIX, mirror.reached_revision, 0.0, wants_listing=wants_listing)
        answer = await feed.watch(request)
        if answer.is_stale or answer.is_history_gone:
            return
        if wants_listing:
            items = tuple(self.mirrors[other].items.values())
            mirror.apply_listing(Listing(items, answer.revision))
        else:
            mirror.apply_changes(Changes(answer.items(), answer.revision))

    def check(self) -> None:
        """Check that each mirror equals the store at the mirror's revision."""
        for mirror in self.mirrors:
            held = {key: item.value for key, item in mirror.items.items()}
            assert held == self.states[mirror.reached_revision]


def test_removal_is_not_reported_as_newer_than_later_write() -> None:
    async def main() -> None:
        fleet = Fleet()
        fleet.write("k/a")
        fleet.remove("k/a")
        fleet.write("k/a")
        fleet.watch(1)
        fleet.write("k/b")
        fleet.watch(0)
        await fleet.poll(1, 0, wants_listing=False)
        assert set(fleet.mirrors[1].items) == {"k/a", "k/b"}

    run_virtual(main())


def test_outdated_removal_does_not_propagate() -> None:
    async def main() -> None:
        fleet = Fleet()
        for key in KEYS:
            fleet.write(key)
        fleet.list(0)
        fleet.remove(*KEYS)
        for key in KEYS:
            fleet.write(key)
        for index in (1, 2):
            fleet.watch(index)
        fleet.write("k/z")
        fleet.watch(0)
        for index in (1, 2):
            await fleet.poll(index, index - 1, wants_listing=False)
        fleet.check()

    run_virtual(main())


MIRROR = st.integers(0, NUM_MIRRORS - 1)
STEPS = st.one_of(
    st.tuples(st.just("write"), st.sampled_from(KEYS)),
    st.tuples(st.just("remove"), st.sampled_from(KEYS)),
    # Listed twice, since an expired entry is usually written again.
    st.tuples(st.just("lapse and return"), st.sampled_from(KEYS)),
    st.tuples(st.just("lapse and return"), st.sampled_from(KEYS)),
    st.tuples(st.just("watch"), MIRROR),
    st.tuples(st.just("watch"), MIRROR),
    st.tuples(st.just("list"), MIRROR),
    st.tuples(st.just("changes of"), MIRROR, MIRROR),
    st.tuples(st.just("listing of"), MIRROR, MIRROR),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEPS, min_size=20, max_size=60))
def test_each_mirror_equals_store_at_its_revision(
    steps: list[tuple[str, ...]],
) -> None:
    async def main() -> None:
        fleet = Fleet()
        for name, *arguments in steps:
            match name:
                case "write":
                    fleet.write(*arguments)
                case "remove":
                    fleet.remove(*arguments)
                case "lapse and return":
                    fleet.remove(*arguments)
                    fleet.write(*arguments)
                case "watch":
                    fleet.watch(*arguments)  # type: ignore[arg-type]
                case "list":
                    fleet.list(*arguments)  # type: ignore[arg-type]
                case _:
                    index, other = arguments
                    await fleet.poll(int(index), int(other), name == "listing of")
            fleet.check()

    run_virtual(main())


@pytest.mark.parametrize(
    ("changes", "is_listing", "is_invalid"),
    [
        ((SharedChange("k/a", None),), False, True),
        ((SharedChange("k/a", b"1", 0),), False, True),
        ((SharedChange("k/a", b"1", 0),), True, True),
        ((SharedChange("k/a", b"1", 8),), False, True),
        ((SharedChange("k/a", b"1", 8),), True, False),
        ((SharedChange("k/b", b"1", 7), SharedChange("k/a", None, 3)), False, False),
    ],
    ids=str,
)
def test_answer_with_changes_inconsistent_with_its_revision_is_invalid(
    changes: tuple[SharedChange, ...], is_listing: bool, is_invalid: bool
) -> None:
    answer = SharedChanges(changes, revision=7)
    assert (answer.validation_error(is_listing) is not None) == is_invalid


class _PeersWithoutRevisions:
    """Other nodes whose answers contain a removal without a revision."""

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges:
        del address, request
        return SharedChanges((SharedChange("k/a", None),), revision=99)


def test_node_asks_store_after_removal_without_revision() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"1")], [])
        faults = StoreFaults()
        shared = SharedStore(
            core.make_client(faults),
            _PeersWithoutRevisions(),
            lambda: ["n1"],
            lambda: StoreAccess.FOLLOWER,
        )
        mirror = PrefixMirror(shared, PREFIX, lambda key, item: None, 0.3, random.Random(1))
        mirror.start()
        neighbours = AntiEntropy(
            {PREFIX: mirror}, _PeersWithoutRevisions(), lambda: ["n1"], shared, random.Random(1)
        )
        neighbours.start()
        await asyncio.sleep(5.0)
        faults.is_silent = True
        await asyncio.sleep(5.0)
        assert set(mirror.items) == {"k/a"}
        faults.is_silent = False
        core.transact([], [Put("k/b", b"1")], [])
        await asyncio.sleep(5.0)
        assert set(mirror.items) == {"k/a", "k/b"}
        await neighbours.stop()
        await mirror.stop()

    run_virtual(main())


def test_changes_keep_types_and_revisions_when_encoded() -> None:
    changes = Changes((StoredItem("k/a", b"1", 5, 3), RemovedKey("k/b", 6)), 7)
    assert codec.decode(codec.encode(changes)).unwrap() == changes
