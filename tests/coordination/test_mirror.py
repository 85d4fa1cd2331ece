"""Mirrors: changes are lost while the store is silent, compacts its history or is unreachable."""

import asyncio
import random
from collections.abc import Callable

import pytest

from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.store import Listing, Put, StoredItem, Unavailable
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import (
    CoordinationStoreCore,
    CoordinationStoreStandin,
    StoreFaults,
)

PREFIX = "k/"
SENTINEL_WAIT_S = 0.6


def make_mirror(
    store: CoordinationStoreStandin,
    wait_s: float = 20.0,
    on_suspected_gap: Callable[[], None] | None = None,
    prefix: str = PREFIX,
) -> PrefixMirror:
    return PrefixMirror(
        store, prefix, lambda key, item: None, 0.3, random.Random(1), wait_s, on_suspected_gap
    )


def value(mirror: PrefixMirror, key: str) -> bytes | None:
    item = mirror.items.get(key)
    return None if item is None else item.value


def test_mirror_applies_writes_and_removals() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"1"), Put("other", b"1")], [])
        mirror = make_mirror(core.make_client())
        mirror.start()
        await mirror.is_loaded.wait()
        assert set(mirror.items) == {"k/a"}
        core.transact([], [Put("k/b", b"2")], ["k/a"])
        await asyncio.sleep(1.0)
        assert set(mirror.items) == {"k/b"}
        await mirror.stop()

    run_virtual(main())


def test_change_missed_by_watch_is_found_within_limit() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"1")], [])
        mirror = make_mirror(core.make_client(), SENTINEL_WAIT_S)
        mirror.start()
        await asyncio.sleep(5.0)
        core.put_without_notifying([Put("k/a", b"2")])
        await asyncio.sleep(1.2)
        assert value(mirror, "k/a") == b"2"
        await mirror.stop()

    run_virtual(main())


def test_sentinel_makes_idle_mirrors_relist_after_compaction() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"1"), Put("q/a", b"1")], [])
        idle = make_mirror(core.make_client(), prefix="q/")
        sentinel = make_mirror(core.make_client(), SENTINEL_WAIT_S, idle.relist)
        idle.start()
        sentinel.start()
        await asyncio.sleep(5.0)
        core.put_without_notifying([Put("q/a", b"2")])
        await asyncio.sleep(1.5)
        assert value(idle, "q/a") == b"2"
        await sentinel.stop()
        await idle.stop()

    run_virtual(main())


def test_sentinel_makes_idle_mirrors_relist_after_outage() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = StoreFaults()
        idle = make_mirror(core.make_client(faults), prefix="q/")
        sentinel = make_mirror(core.make_client(faults), SENTINEL_WAIT_S, idle.relist)
        idle.start()
        sentinel.start()
        await asyncio.sleep(2.0)
        faults.is_silent = True
        await asyncio.sleep(3.0)
        core.put_without_notifying([Put("q/a", b"2")])
        faults.is_silent = False
        await asyncio.sleep(3.0)
        assert value(idle, "q/a") == b"2"
        await sentinel.stop()
        await idle.stop()

    run_virtual(main())


def test_outage_keeps_mirrored_items() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"1")], [])
        faults = StoreFaults()
        mirror = make_mirror(core.make_client(faults), SENTINEL_WAIT_S)
        mirror.start()
        await asyncio.sleep(1.0)
        faults.refuses = True
        await asyncio.sleep(30.0)
        assert value(mirror, "k/a") == b"1"
        core.transact([], [Put("k/a", b"2")], [])
        faults.refuses = False
        await asyncio.sleep(2.0)
        assert value(mirror, "k/a") == b"2"
        await mirror.stop()

    run_virtual(main())


def test_min_interval_limits_store_calls_during_burst() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        mirror = make_mirror(core.make_client())
        mirror.start()
        await mirror.is_loaded.wait()
        for number in range(200):
            core.transact([], [Put("k/a", str(number).encode())], [])
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        assert value(mirror, "k/a") == b"199"
        assert core.num_calls < 50
        await mirror.stop()

    run_virtual(main())


def test_listener_exception_for_one_key_does_not_suppress_other_keys(
    caplog: pytest.LogCaptureFixture,
) -> None:
    reported: list[str] = []

    def listen(key: str, item: StoredItem | None) -> None:
        if item is not None and item.value == b"bad":
            raise OverflowError("cannot convert float infinity to integer")
        reported.append(key)

    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"bad"), Put("k/b", b"1")], [])
        mirror = PrefixMirror(core.make_client(), PREFIX, listen, 0.3, random.Random(1))
        mirror.start()
        await mirror.is_loaded.wait()
        assert reported == ["k/b"]
        core.transact([], [Put("k/c", b"bad"), Put("k/d", b"1")], [])
        await asyncio.sleep(1.0)
        assert reported == ["k/b", "k/d"]
        core.transact([], [Put("k/c", b"1")], ["k/a"])
        await asyncio.sleep(1.0)
        assert reported in (["k/b", "k/d", "k/c", "k/a"], ["k/b", "k/d", "k/a", "k/c"])
        await mirror.stop()

    run_virtual(main())
    assert "key 'k/a'" in caplog.text
    assert "key 'k/c'" in caplog.text


def test_mirror_survives_answer_that_raises() -> None:
    class StoreThatRaisesOnce(CoordinationStoreStandin):
        raises = True

        async def list_prefix(self, prefix: str) -> Listing | Unavailable:
            if self.raises:
                self.raises = False
                raise KeyError("requests")
            return await super().list_prefix(prefix)

    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k/a", b"1")], [])
        mirror = make_mirror(StoreThatRaisesOnce(core, StoreFaults()))
        mirror.start()
        await asyncio.sleep(2.0)
        assert value(mirror, "k/a") == b"1"
        await mirror.stop()

    run_virtual(main())
