"""The set of evacuated zones: a zone is lost, or its names grow metrics and logs without bound."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.evacuation.zones import (
    MAX_LABELED_ZONES,
    MAX_LOGGED_ZONE_LENGTH,
    OTHER_ZONES,
    EvacuatedZones,
)
from hollowrack_bench.virtual_time import run_virtual


def test_age_counts_from_the_first_time_that_a_zone_is_seen() -> None:
    """A listing that repeats the key reset the age."""

    async def main() -> None:
        zones = EvacuatedZones()
        zones.evacuate("z1")
        await asyncio.sleep(3.0)
        zones.evacuate("z1")
        zones.evacuate("z2")
        assert zones.ages_s() == pytest.approx({"z1": 3.0, "z2": 0.0})
        zones.lift("z1")
        zones.evacuate("z1")
        assert zones.ages_s() == pytest.approx({"z1": 0.0, "z2": 0.0})
        assert zones.num_evacuations == 3

    run_virtual(main())


@given(st.lists(st.tuples(st.booleans(), st.text(max_size=3)), max_size=60))
def test_set_is_that_of_the_latest_change_of_each_zone(changes: list[tuple[bool, str]]) -> None:
    """A zone that is evacuated twice and lifted once stays in the set."""

    async def main() -> None:
        zones = EvacuatedZones()
        view = zones.zones
        num_notified = 0

        def count() -> None:
            nonlocal num_notified
            num_notified += 1

        zones.on_change(count)
        expected: set[str] = set()
        num_changes = 0
        for is_evacuated, zone in changes:
            num_changes += is_evacuated is not (zone in expected)
            if is_evacuated:
                expected.add(zone)
                zones.evacuate(zone)
            else:
                expected.discard(zone)
                zones.lift(zone)
            assert set(view) == expected
        assert num_notified == num_changes

    run_virtual(main())


def test_labels_and_log_lines_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    """Any key below the prefix names a zone: thousands of them filled metrics and logs."""

    async def main() -> None:
        zones = EvacuatedZones()
        names = [f"{number}\n" + "z" * 500 for number in range(2000)]
        for name in names:
            zones.evacuate(name)
            zones.record_stopped(name)
        assert len(zones.zones) == 2000
        assert list(zones.ages_s()) == names[:MAX_LABELED_ZONES]
        assert len(zones.num_stopped) == MAX_LABELED_ZONES + 1
        assert zones.num_stopped[OTHER_ZONES] == 2000 - MAX_LABELED_ZONES
        assert zones.num_stopped.total() == 2000

    caplog.set_level("INFO", logger="absl")
    run_virtual(main())
    messages = [record.getMessage() for record in caplog.records]
    assert 10 <= len(messages) <= 20
    assert all(len(message) < MAX_LOGGED_ZONE_LENGTH + 200 for message in messages)
    assert not any("\n" in message for message in messages)


def test_log_tells_workers_and_duration(caplog: pytest.LogCaptureFixture) -> None:
    """An operator who evacuates a misspelt zone must see that it has no workers."""

    async def main() -> None:
        zones = EvacuatedZones(lambda zone: 3 if zone == "z1" else 0)
        zones.evacuate("z1")
        zones.evacuate("z9")
        await asyncio.sleep(2.5)
        zones.lift("z1")

    caplog.set_level("INFO", logger="absl")
    run_virtual(main())
    texts = [record.getMessage().split(" (")[0] for record in caplog.records]
    assert texts == [
        "zone z1: evacuated, 3 workers known there; 1 zones evacuated now",
        "zone z9: evacuated, 0 workers known there; 2 zones evacuated now",
        "zone z1: evacuation lifted after 2.5 s; 1 zones evacuated now",
    ]
