"""Guards against too few or too many hosts, and jobs lost at nodes without a session."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from hollowrack.jobs.host_role import NUM_HOSTS_PER_ZONE, is_surplus, needs_session
from hollowrack.jobs.placement import LARGE_NODE_FRACTION, NodeEntry
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import Fleet, make_job
from tests.jobs.test_job_service import read_all

SETTLE_TIME_S = 20.0
REPLACEMENT_TIME_S = 13.0
SIZES = st.lists(st.sampled_from([0.5, 0.52, 1.07, 2.15]), min_size=1, max_size=30)


def _entries(sizes: list[float]) -> dict[str, NodeEntry]:
    return {
        f"n{index:02}": NodeEntry(f"10.0.0.{index}:1", cores, "z1")
        for index, cores in enumerate(sizes)
    }


def _settle(entries: dict[str, NodeEntry], hosts: set[str], rng: random.Random) -> set[str]:
    """Apply the nodes' decisions one at a time in random order until none changes."""
    has_changed = True
    while has_changed:
        has_changed = False
        for node in rng.sample(sorted(entries), len(entries)):
            live = {f"{host}#1": entries[host] for host in hosts}
            if node in hosts and is_surplus(node, entries[node], live, NUM_HOSTS_PER_ZONE):
                hosts = hosts - {node}
                has_changed = True
            elif node not in hosts and needs_session(node, entries[node], live, NUM_HOSTS_PER_ZONE):
                hosts = hosts | {node}
                has_changed = True
    return hosts


@given(SIZES, st.randoms(use_true_random=False), st.data())
def test_a_zone_converges_on_a_few_of_its_largest_nodes(
    sizes: list[float], rng: random.Random, data: st.DataObject
) -> None:
    entries = _entries(sizes)
    initial_hosts = data.draw(st.sets(st.sampled_from(sorted(entries))))
    hosts = _settle(entries, initial_hosts, rng)
    assert len(hosts) >= min(NUM_HOSTS_PER_ZONE, len(entries))
    assert max(entries[host].num_cores for host in hosts) >= LARGE_NODE_FRACTION * max(sizes)
    # Sizes within LARGE_NODE_FRACTION of each other count as equal: three classes of sizes.
    assert len(hosts) <= 3 * NUM_HOSTS_PER_ZONE


@given(SIZES)
def test_stopping_hosts_and_hosts_of_other_zones_are_ignored(sizes: list[float]) -> None:
    own = NodeEntry("10.0.1.1:1", 1.0, "z1")
    host_entries = {f"o{name}#1": entry for name, entry in _entries(sizes).items()}
    in_other_zone = {
        name: NodeEntry(entry.address, 9.0, "z2") for name, entry in host_entries.items()
    }
    stopping = {name: NodeEntry(entry.address, 0.0, "z1") for name, entry in host_entries.items()}
    for others in (in_other_zone, stopping):
        assert needs_session("n", own, others, NUM_HOSTS_PER_ZONE)
        assert not is_surplus("n", own, others, NUM_HOSTS_PER_ZONE)


def test_every_node_is_a_host_under_a_short_change_bound() -> None:
    async def main() -> None:
        fleet = Fleet(8)
        await asyncio.sleep(1.0)
        assert _hosts(fleet) == set(fleet.nodes)
        await fleet.stop()

    run_virtual(main())


def _hosts(fleet: Fleet) -> set[str]:
    return {name for name, node in fleet.nodes.items() if node.session.is_valid}


def test_few_nodes_hold_sessions_and_failed_hosts_are_replaced() -> None:
    async def main() -> None:
        fleet = Fleet(20, shares_changes=True)
        await asyncio.sleep(SETTLE_TIME_S)
        hosts = _hosts(fleet)
        assert len(hosts) >= NUM_HOSTS_PER_ZONE
        (leader,) = [name for name in hosts if fleet.nodes[name].leadership.is_leader]
        # The leader keeps its session even if it is a surplus host.
        assert len(hosts - {leader}) <= NUM_HOSTS_PER_ZONE
        for name in (leader, *sorted(hosts - {leader})[:1]):
            await fleet.kill(name)
        await asyncio.sleep(REPLACEMENT_TIME_S + SETTLE_TIME_S)
        assert NUM_HOSTS_PER_ZONE <= len(_hosts(fleet)) <= NUM_HOSTS_PER_ZONE + 1
        assert any(node.leadership.is_leader for node in fleet.nodes.values())
        await fleet.stop()

    run_virtual(main())


def test_a_restarted_host_opens_its_session_at_once() -> None:
    async def main() -> None:
        fleet = Fleet(20, shares_changes=True)
        await asyncio.sleep(SETTLE_TIME_S)
        name = sorted(_hosts(fleet))[0]
        await fleet.kill(name)
        node = fleet.start(name)
        await asyncio.sleep(0.3)
        assert node.session.is_valid
        await fleet.stop()

    run_virtual(main())


def test_the_accepting_node_owns_a_job_if_no_host_is_reachable() -> None:
    async def main() -> None:
        fleet = Fleet(8, uses_preferred_owner=True, shares_changes=True)
        await asyncio.sleep(SETTLE_TIME_S)
        hosts = _hosts(fleet)
        fleet.unreachable |= hosts
        receiver = next(name for name in fleet.nodes if name not in hosts)
        assert await fleet.nodes[receiver].jobs.submit(make_job()) is None
        await asyncio.sleep(0.5)
        assert fleet.nodes[receiver].session.is_valid
        assert len(await read_all(fleet, receiver, "j1", 6)) == 6
        await fleet.stop()

    run_virtual(main())
