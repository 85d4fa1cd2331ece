"""Guards against traffic to other regions where a near node would do, and against dead ends.

A dead end is an order of nodes in which a cut between the zones of one region hides all nodes of
the other region.
"""

import asyncio
import random

import pytest

from hollowrack.coordination.relay import RelayedCall, RelayedOutcome
from hollowrack.coordination.store import NotDone, StoredItem, Unknown
from hollowrack.edge_node import EdgeNode
from hollowrack.jobs.placement import NodeEntry, preferred_owner
from hollowrack.jobs.types import Job
from hollowrack.regions.topology import RegionTopology
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.regions.nodes import make_node

TOPOLOGY = RegionTopology({"a1": "a", "a2": "a", "b1": "b", "b2": "b"}, "a1")
ZONES = ("a1", "a2", "b1", "b2")
OTHERS = {f"{zone}-{index}": zone for zone in ZONES for index in range(3)}
JOBS = [Job(f"j{index}", "h", f"/{index}/", (), f"m{index}", 0, 0) for index in range(20)]


def make_regional_node(
    others: dict[str, str] = OTHERS, seed: int = 1, **changes: object
) -> EdgeNode:
    return make_node(random.Random(seed), "a1", others, topology=TOPOLOGY, **changes)


def zones_of(addresses: list[str]) -> list[str]:
    return [address.partition("-")[0] for address in addresses]


def regions_of(addresses: list[str]) -> list[str]:
    return [address[0] for address in addresses]


@pytest.mark.parametrize("seed", range(20))
def test_peers_of_own_region_are_asked_first_and_another_region_third(seed: int) -> None:
    async def main() -> None:
        node = make_regional_node(seed=seed)
        assert regions_of(node.peer_addresses())[:4] == ["a", "a", "b", "a"]
        assert sorted(node.peer_addresses()) == sorted(OTHERS)
        assert regions_of(node.neighbour_addresses())[:3] == ["a", "b", "a"]
        assert sorted(node.neighbour_addresses()) == sorted(OTHERS)

    run_virtual(main())


def test_leader_of_another_region_is_the_first_peer_there() -> None:
    async def main() -> None:
        node = make_regional_node()
        node.live._leader = "b2-1#1"
        assert node.peer_addresses()[2] == "b2-1"
        node.live._leader = "a2-1#1"
        assert node.peer_addresses()[0] == "a2-1"

    run_virtual(main())


@pytest.mark.parametrize(
    ("lost_zones", "expected"),
    [
        ((), ["a1", "a1", "a2"]),
        (("a1",), ["a2", "a2", "b"]),
        (("a2",), ["a1", "a1", "b"]),
        (("a1", "a2"), ["b", "b", "b"]),
        (("b1", "b2"), ["a1", "a1", "a2"]),
    ],
)
def test_sources_of_watches_are_near_and_not_all_behind_one_cut(
    lost_zones: tuple[str, ...], expected: list[str]
) -> None:
    async def main() -> None:
        others = {name: zone for name, zone in OTHERS.items() if zone not in lost_zones}
        sources = zones_of(make_regional_node(others).live.observer_sources())
        assert [zone if zone.startswith("a") else "b" for zone in sources] == expected

    run_virtual(main())


def test_owners_of_jobs_are_in_the_own_region_if_it_has_a_large_node() -> None:
    def entries(cores: dict[str, float]) -> dict[str, NodeEntry]:
        return {
            f"{name}#1": NodeEntry(name, cores[zone], zone)
            for name, zone in OTHERS.items()
            if zone in cores
        }

    def zones(cores: dict[str, float], region_zones: frozenset[str]) -> set[str]:
        owners = [preferred_owner(job, entries(cores), "a1", region_zones) for job in JOBS]
        return {owner.partition("-")[0] for owner in owners if owner is not None}

    own_region = frozenset({"a1", "a2"})
    equal = dict.fromkeys(ZONES, 4.0)
    assert zones(equal, own_region) == {"a1"}
    assert zones(equal | {"a1": 1.0}, own_region) == {"a2"}
    # As before where there are no other regions.
    assert zones(equal | {"a1": 1.0}, frozenset()) == {"a2", "b1", "b2"}
    assert zones(equal | {"a1": 1.0, "a2": 1.0}, own_region) == {"b1", "b2"}
    # Stopping nodes have no cores.
    assert zones(equal | {"a1": 0.0, "a2": 0.0}, own_region) == {"b1", "b2"}


class CutPeers:
    """Relays that some zones do not answer: the call is refused, or there is no answer in time."""

    def __init__(self, core: CoordinationStoreCore, cut_zones: set[str], is_silent: bool) -> None:
        self._core = core
        self._cut_zones = cut_zones
        self._is_silent = is_silent
        self.num_calls_by_zone: dict[str, int] = dict.fromkeys(ZONES, 0)

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        del call
        zone = address.partition("-")[0]
        self.num_calls_by_zone[zone] += 1
        if zone not in self._cut_zones:
            await asyncio.sleep(0.04)
            return StoredItem("key", b"value", 1)
        if self._is_silent:
            await asyncio.sleep(0.5)
            return Unknown("no answer")
        return NotDone("unreachable")


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("seed", range(10))
def test_store_calls_find_a_way_through_the_other_region(is_silent: bool, seed: int) -> None:
    """With nodes of the own region first, those of a cut zone were asked again and again."""

    async def main() -> None:
        peers = CutPeers(CoordinationStoreCore(), {"a1", "a2"}, is_silent)
        store = CoordinationStoreCore().make_client(StoreFaults(refuses=True))
        node = make_regional_node(seed=seed, store=store, relay=peers)
        clock = asyncio.get_running_loop().time
        start_s = last_read_s = clock()
        longest_s = 0.0
        while clock() < start_s + 30.0:
            if isinstance(await node.store.get("key"), StoredItem):
                longest_s = max(longest_s, clock() - last_read_s)
                last_read_s = clock()
            await asyncio.sleep(0.1)
        # A lease must be renewed within 2 s.
        assert max(longest_s, clock() - last_read_s) <= 1.6
        # One try of the own region in each interval of 10 s, of one or two nodes.
        assert sum(peers.num_calls_by_zone[zone] for zone in ("a1", "a2")) <= 8

    run_virtual(main())


def test_store_calls_are_relayed_by_the_own_region_while_it_can() -> None:
    async def main() -> None:
        peers = CutPeers(CoordinationStoreCore(), set(), False)
        store = CoordinationStoreCore().make_client(StoreFaults(refuses=True))
        node = make_regional_node(store=store, relay=peers)
        for _ in range(50):
            assert isinstance(await node.store.get("key"), StoredItem)
        assert peers.num_calls_by_zone["b1"] + peers.num_calls_by_zone["b2"] == 0

    run_virtual(main())
