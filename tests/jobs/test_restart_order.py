"""Guards against jobs that are handed over again and again in a rolling restart, or not run."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.coordination.store import Committed, Put
from hollowrack.jobs.handover_schedule import HandoverSchedule
from hollowrack.jobs.job_log import OPEN_PREFIX
from hollowrack.jobs.placement import NodeEntry
from hollowrack.jobs.restart_order import MIN_STOPS, STOP_WINDOW_S, RestartOrder
from hollowrack.messages import codec
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import Fleet, check_complete_results, make_job
from tests.jobs.restart_fleet import ALONE, KILLED_LEADER, play
from tests.jobs.test_job_service import read_all

OLD = {f"n{index}#1": NodeEntry(f"n{index}", 2.0, "z1") for index in range(4)}


def stopping(entry: NodeEntry) -> NodeEntry:
    """Return the entry of the same process after the announcement of its stop."""
    return NodeEntry(entry.address, 0.0, entry.zone)


def order_after_stops(names: tuple[str, ...]) -> tuple[RestartOrder, dict[str, NodeEntry]]:
    """Return the order after some processes have announced a stop, a second apart from 100 s on."""
    order = RestartOrder()
    hosts = dict(OLD)
    for revision, (owner, entry) in enumerate(OLD.items(), 1):
        order.record_entry(owner, entry, revision, 50.0)
    for index, name in enumerate(names):
        hosts[f"{name}#1"] = stopping(hosts[f"{name}#1"])
        order.record_entry(f"{name}#1", hosts[f"{name}#1"], 20 + index, 100.0 + index)
    return order, hosts


def add(order: RestartOrder, hosts: dict[str, NodeEntry], owner: str, entry: NodeEntry) -> None:
    """Add a process that starts after the stops."""
    hosts[owner] = entry
    order.record_entry(owner, entry, 40 + len(hosts), 104.0)


@pytest.mark.parametrize("names", [(), ("n0",)])
def test_without_a_rolling_restart_all_hosts_are_candidates(names: tuple[str, ...]) -> None:
    order, hosts = order_after_stops(names)
    add(order, hosts, "n0#2", NodeEntry("n0", 2.0, "z1"))
    assert order.candidates(hosts, (), 105.0) is hosts


def test_processes_started_after_the_first_stop_are_preferred() -> None:
    order, hosts = order_after_stops(("n0", "n1"))
    # A process that became a host after the first stop may be old, unless its node has stopped.
    assert set(order.candidates(hosts, (), 103.0)) == {"n2#1", "n3#1"}
    add(order, hosts, "n9#1", NodeEntry("n9", 2.0, "z1"))
    assert set(order.candidates(hosts, (), 105.0)) == {"n9#1"}
    add(order, hosts, "n0#2", NodeEntry("n0", 2.0, "z1"))
    assert set(order.candidates(hosts, (), 105.0)) == {"n0#2"}


def test_a_renewed_session_does_not_make_a_process_young() -> None:
    order, hosts = order_after_stops(("n0", "n1"))
    order.record_entry("n2#1", hosts["n2#1"], 60, 104.0)
    assert set(order.candidates(hosts, (), 105.0)) == {"n2#1", "n3#1"}


def test_the_order_ends_some_time_after_the_last_stop() -> None:
    order, hosts = order_after_stops(("n0", "n1", "n2"))
    add(order, hosts, "n0#2", NodeEntry("n0", 2.0, "z1"))
    assert set(order.candidates(hosts, (), 102.0 + STOP_WINDOW_S - 0.1)) == {"n0#2"}
    assert order.candidates(hosts, (), 102.0 + STOP_WINDOW_S) is hosts
    # One more stop long afterwards is not part of that restart.
    order.record_entry("n3#1", stopping(hosts["n3#1"]), 90, 130.0)
    assert order.candidates(hosts, (), 130.0) is hosts


def test_small_processes_and_those_of_other_regions_are_not_preferred() -> None:
    order, hosts = order_after_stops(("n0", "n1"))
    add(order, hosts, "n0#2", NodeEntry("n0", 0.5, "z1"))
    add(order, hosts, "n1#2", NodeEntry("n1", 2.0, "z2"))
    assert set(order.candidates(hosts, ("z1",), 105.0)) == {"n2#1", "n3#1", "n0#2", "n1#2"}
    assert set(order.candidates(hosts, (), 105.0)) == {"n1#2"}


def test_new_processes_of_other_zones_are_not_preferred_to_the_own_zone() -> None:
    """On a play, jobs of two models left their callers' zone at the end of a rolling restart."""
    order, hosts = order_after_stops(("n0", "n1"))
    add(order, hosts, "n5#1", NodeEntry("n5", 2.0, "z2"))
    assert set(order.candidates(hosts, (), 105.0, "z1")) == {"n2#1", "n3#1", "n5#1"}
    assert set(order.candidates(hosts, (), 105.0, "z2")) == {"n5#1"}
    assert set(order.candidates(hosts, (), 105.0, "z3")) == {"n5#1"}
    add(order, hosts, "n0#2", NodeEntry("n0", 2.0, "z1"))
    assert set(order.candidates(hosts, (), 105.0, "z1")) == {"n0#2"}


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 5), st.integers(1, 3), st.sampled_from([0.0, 0.5, 2.0]), st.floats(0.0, 8.0)
    ),
    max_size=40,
)


@given(EVENTS, st.sampled_from([(), ("z0", "z1")]))
def test_candidates_are_hosts_and_running_ones_are_never_all_left_out(
    events: list[tuple[int, int, float, float]], region_zones: tuple[str, ...]
) -> None:
    order = RestartOrder()
    hosts: dict[str, NodeEntry] = {}
    stops: set[str] = set()
    now = 0.0
    for revision, (node, incarnation, num_cores, delay_s) in enumerate(events, 1):
        now += delay_s
        owner = f"n{node}#{incarnation}"
        hosts[owner] = NodeEntry(f"n{node}", num_cores, f"z{node % 3}")
        order.record_entry(owner, hosts[owner], revision, now)
        stops |= {owner} if num_cores == 0.0 else set()
        candidates = order.candidates(hosts, region_zones, now)
        assert candidates.items() <= hosts.items()
        running = {name for name, entry in hosts.items() if entry.num_cores > 0.0}
        assert bool(running & candidates.keys()) == bool(running)
        if len(stops) < MIN_STOPS:
            assert candidates is hosts


def test_where_every_node_has_a_session_the_order_does_not_apply() -> None:
    async def main() -> None:
        for shares_changes in (False, True):
            fleet = Fleet(4, shares_changes=shares_changes)
            await asyncio.sleep(12.0)
            live = fleet.nodes["n0"].live
            hosts = [owner for owner in live.nodes if owner != fleet.nodes["n0"].owner]
            for owner in hosts[:2]:
                live.nodes[owner] = stopping(live.nodes[owner])
                entry = fleet.core.items[f"hollowrack/live/nodes/{owner}"]
                put = Put(entry.key, codec.encode(live.nodes[owner]), entry.lease)
                assert isinstance(fleet.core.transact([], [put], []), Committed)
            await asyncio.sleep(1.0)
            assert live.is_rolling_restart == shares_changes
            await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.05, 0.2, 0.4])
def test_a_job_assigned_to_a_process_that_is_then_stopped_is_passed_on(delay_s: float) -> None:
    """Before, it waited until that process had ended."""

    async def main() -> None:
        fleet = Fleet(3)
        await asyncio.sleep(1.0)
        fleet.back_ends.num_events = 400
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(0.5)
        schedule = HandoverSchedule(asyncio.get_running_loop().time(), 8.0, fleet.nodes["n0"]._rng)
        successor = fleet.nodes["n0"].live.successor(job)
        assert successor is not None
        await fleet.nodes["n0"].jobs.hand_over(schedule)
        await asyncio.sleep(delay_s)
        name = successor.partition("#")[0]
        stopping_task = asyncio.create_task(fleet.nodes[name].begin_stop(8.0))
        await asyncio.sleep(2.2)
        (owner,) = fleet.owners_of(job)
        assert owner != name
        assert fleet.core.items[OPEN_PREFIX + job.id].value.decode().startswith(owner)
        await stopping_task
        check_complete_results(job, await read_all(fleet, owner, job.id, len(job.items)), 400)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("scenario", [ALONE, KILLED_LEADER])
def test_jobs_find_another_owner_soon_in_a_rolling_restart(scenario: str) -> None:
    """Before, jobs handed over to a process that was stopped at once had no owner for 6.3 s."""
    figures = run_virtual(play(9, scenario))
    assert figures.num_unfinished == 0
    # A killed owner's lease of 2 s, the election of another leader, and the take-over.
    assert figures.longest_s <= 4.5
