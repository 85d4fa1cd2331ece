"""Guards against links whose state is not seen, forgotten too early or never forgotten."""

import asyncio
import logging

import pytest

from hollowrack.forwarding.region_links import DEFAULT_EXTRA_S, MAX_EXTRA_S, RegionLinks
from hollowrack.regions.distance import Distance, ZoneDistances
from hollowrack.regions.topology import RegionTopology
from hollowrack_bench.virtual_time import run_virtual

TOPOLOGY = RegionTopology({"a1": "a", "a2": "a", "b1": "b", "c1": "c"}, "a1")


def make_links() -> RegionLinks:
    return RegionLinks(ZoneDistances("a1", TOPOLOGY))


@pytest.mark.parametrize(
    ("topology", "own_zone", "zone", "expected"),
    [
        (TOPOLOGY, "a1", "a1", Distance.OWN_ZONE),
        (TOPOLOGY, "a1", "a2", Distance.OWN_REGION),
        (TOPOLOGY, "a1", "b1", Distance.OTHER_REGION),
        (TOPOLOGY, "a1", "unknown", Distance.OTHER_REGION),
        (RegionTopology(), "a1", "a2", Distance.OWN_REGION),
        (RegionTopology({"a1": "a", "a2": "a"}, "a1"), "a1", "unknown", Distance.OWN_REGION),
        # A node whose own region is unknown prefers its own zone only.
        (RegionTopology({"a1": "a", "b1": "b"}, "x"), "x", "b1", Distance.OWN_REGION),
    ],
)
def test_distance_of_zones(
    topology: RegionTopology, own_zone: str, zone: str, expected: Distance
) -> None:
    assert ZoneDistances(own_zone, topology).of(zone) is expected


def test_extra_time_follows_observations_and_returns_to_the_default() -> None:
    async def main() -> None:
        links = make_links()
        assert links.extra_s("a2") == 0.0
        assert links.extra_s("b1") == DEFAULT_EXTRA_S
        for _ in range(10):
            links.record("b1", 0.5)
        assert links.extra_s("b1") == pytest.approx(0.5, abs=0.02)
        assert links.extra_s("c1") == DEFAULT_EXTRA_S
        assert list(links.by_region()) == ["b"]
        await asyncio.sleep(6.0)
        assert DEFAULT_EXTRA_S < links.extra_s("b1") < 0.25
        await asyncio.sleep(30.0)
        assert links.extra_s("b1") == pytest.approx(DEFAULT_EXTRA_S, abs=0.01)

    run_virtual(main())


def test_single_observations_are_bounded_and_the_own_region_is_not_recorded() -> None:
    async def main() -> None:
        links = make_links()
        links.record("b1", 1e9)
        assert links.extra_s("b1") <= MAX_EXTRA_S
        for _ in range(30):
            links.record("b1", -1.0)
        assert 0.0 <= links.extra_s("b1") < 0.01
        links.record("a2", 1.0)
        assert links.extra_s("a2") == 0.0

    run_virtual(main())


def test_slow_and_recovered_links_are_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        links = make_links()
        for extra_s in [0.04] * 5 + [1.0] * 20 + [0.04] * 20:
            links.record("b1", extra_s)

    with caplog.at_level(logging.INFO, logger="absl"):
        run_virtual(main())
    texts = [record.getMessage() for record in caplog.records]
    assert [text.partition(":")[0] for text in texts] == [
        "link to region b is slow",
        "link to region b has recovered",
    ]
