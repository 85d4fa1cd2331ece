"""Keys of evacuations: one that is malformed, repeated or listed anew changes the wrong zones."""

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from hollowrack.coordination.store import Put, StoredItem
from hollowrack.platform.configuration import check_evacuation, decode_evacuated_zone
from hollowrack.platform.worker_entry import MAX_TEXT_LENGTH
from hollowrack.results import ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.platform.test_store_entries import RecordingListener, make_feed

PREFIX = "op/evacuate/"
OBJECTS: tuple[Any, ...] = ({}, {"a": 1}, {"until": 1e308}, {"zone": None})
OTHER_VALUES: tuple[Any, ...] = (None, True, 7, 7.5, 1e308, "text", [], [1])
MALFORMED = (b"", b"{", b"\xff\xfe", b"{}{}", b"NaN", b'{"a": 1' + b"0" * 100_000, b"[" * 100_000)


def apply_keys(*items: StoredItem) -> RecordingListener:
    """Pass changes of operator keys to a feed and return what its listener received."""
    recorded = RecordingListener()

    async def main() -> None:
        feed = make_feed(CoordinationStoreCore(), recorded)
        for item in items:
            feed.operators._on_change(item.key, item)

    run_virtual(main())
    return recorded


@pytest.mark.parametrize("content", OBJECTS)
def test_object_of_any_content_evacuates_without_a_problem(content: object) -> None:
    value = json.dumps(content).encode()
    assert isinstance(check_evacuation(PREFIX + "z1", value), Success)
    assert apply_keys(StoredItem(PREFIX + "z1", value, 1)).evacuated == {"z1"}


@pytest.mark.parametrize(
    "value", [*(json.dumps(content).encode() for content in OTHER_VALUES), *MALFORMED]
)
def test_unreadable_value_evacuates_with_a_warning(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """A zone that must be left stayed in use because of a typing error."""
    caplog.set_level("INFO", logger="absl")
    assert apply_keys(StoredItem(PREFIX + "z1", value, 1)).evacuated == {"z1"}
    (record,) = caplog.records
    assert record.levelname == "WARNING"
    assert "[809 EVACUATION_VALUE_UNREADABLE] at op/evacuate/z1: " in record.getMessage()
    assert "Remedy: " in record.getMessage()
    assert len(record.getMessage()) < 1000


@settings(max_examples=300)
@given(st.binary(max_size=60))
def test_any_bytes_evacuate(value: bytes) -> None:
    assert apply_keys(StoredItem(PREFIX + "z1", value, 1)).evacuated == {"z1"}


@pytest.mark.parametrize("zone", ["", "z" * (MAX_TEXT_LENGTH + 1), "\n" * 10_000])
def test_zone_that_no_worker_can_be_in_is_rejected(
    zone: str, caplog: pytest.LogCaptureFixture
) -> None:
    """An empty name must not be taken for all zones."""
    caplog.set_level("INFO", logger="absl")
    assert apply_keys(StoredItem(PREFIX + zone, b"{}", 1)).evacuated == set()
    (record,) = caplog.records
    assert "[807 ENTRY_UNREADABLE] at op/evacuate/" in record.getMessage()
    assert "name of the zone" in record.getMessage()
    assert len(record.getMessage()) < 1000


@given(st.text(min_size=1, max_size=MAX_TEXT_LENGTH))
def test_every_other_zone_is_taken_literally(zone: str) -> None:
    """Names with slashes, spaces or percent signs must evacuate no other zone."""
    assert decode_evacuated_zone(PREFIX + zone) == Success(zone)
    assert apply_keys(StoredItem(PREFIX + zone, b"{}", 1)).evacuated == {zone}


@given(st.text(max_size=300))
def test_zone_decoder_fails_only_with_a_numbered_problem(zone: str) -> None:
    decoded = decode_evacuated_zone(PREFIX + zone)
    if isinstance(decoded, Failure):
        assert decoded.failure().code is ResultCode.ENTRY_UNREADABLE


@pytest.mark.parametrize(
    "key", ["op/evacuate", "op/evacuateX/z1", "op/evacuation/z1", "OP/evacuate/z1"]
)
def test_other_keys_evacuate_nothing(key: str) -> None:
    assert apply_keys(StoredItem(key, b"{}", 1)).evacuated == set()


def test_removal_lifts_one_zone_and_rejected_keys_leave_the_rest_served() -> None:
    """Two evacuations that overlap: the end of the first must not end the second."""

    async def main() -> None:
        core = CoordinationStoreCore()
        recorded = RecordingListener()
        feed = make_feed(core, recorded)
        feed.start()
        core.transact([], [Put(PREFIX + zone, b"{}") for zone in ("z1", "z2", "")], [])
        await asyncio.sleep(1.0)
        assert recorded.evacuated == {"z1", "z2"}
        core.transact([], [Put("op/version/m", b'{"model": "m", "version": 2}')], [PREFIX + "z1"])
        await asyncio.sleep(1.0)
        assert recorded.evacuated == {"z2"}
        assert recorded.target_versions == [("m", 2)]
        core.transact([], [Put(PREFIX + "z1", b"{}")], [PREFIX + "z2", PREFIX])
        await asyncio.sleep(1.0)
        assert recorded.evacuated == {"z1"}
        await feed.stop()

    run_virtual(main())


@pytest.mark.parametrize("is_noticed", [True, False])
def test_listing_restores_the_set_after_lost_history(is_noticed: bool) -> None:
    """Changes whose history was compacted before the watch received them were lost."""

    async def main() -> None:
        core = CoordinationStoreCore()
        recorded = RecordingListener()
        feed = make_feed(core, recorded)
        core.transact([], [Put(PREFIX + zone, b"{}") for zone in ("z1", "z2")], [])
        feed.start()
        await asyncio.sleep(1.0)
        if is_noticed:
            core.transact([], [Put(PREFIX + "z3", b"{}")], [PREFIX + "z1"])
            core.compact()
        else:
            core.put_without_notifying([Put(PREFIX + "z3", b"{}")])
            core.items.pop(PREFIX + "z1")
        await asyncio.sleep(2.0)
        assert recorded.evacuated == {"z2", "z3"}
        await feed.stop()

    run_virtual(main())
