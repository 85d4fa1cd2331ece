"""Which node owns a job, and what becomes of it when that node fails as it is asked."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.jobs.placement import NodeEntry, preferred_owner
from hollowrack.results import DESCRIPTIONS, Execution, Problem
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import Fleet, make_job
from tests.jobs.test_job_service import read_all

JOB = make_job()


def _entries(count: int, num_cores: float = 1.0) -> dict[str, NodeEntry]:
    return {f"n{index}#life": NodeEntry(f"10.0.0.{index}:1", num_cores) for index in range(count)}


@given(st.integers(1, 40))
def test_an_owner_changes_only_if_it_goes(num_nodes: int) -> None:
    live = _entries(num_nodes)
    owner = preferred_owner(JOB, live)
    assert owner in live
    for gone in live:
        left = {name: entry for name, entry in live.items() if name != gone}
        assert gone == owner or preferred_owner(JOB, left) == owner


def test_a_node_owns_the_same_jobs_after_a_restart() -> None:
    live = _entries(9)
    owner = preferred_owner(JOB, live)
    assert owner is not None
    entry = live.pop(owner)
    again = owner.replace("#life", "#next")
    assert preferred_owner(JOB, {**live, again: entry}) == again


def test_large_machines_are_preferred_and_unreachable_ones_are_not() -> None:
    large = {"large#life": NodeEntry("10.0.1.1:1", 2.0)}
    assert preferred_owner(JOB, {**_entries(9), **large}) == "large#life"
    unreachable = {"large#life": NodeEntry("", 2.0)}
    assert preferred_owner(JOB, {**_entries(9), **unreachable}) != "large#life"
    assert preferred_owner(JOB, unreachable) is None


def test_all_jobs_of_a_model_have_one_owner_wherever_they_are_accepted() -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=True)
        fleet.back_ends.num_events = 40
        await asyncio.sleep(1.0)
        owners = set()
        for number, name in enumerate(fleet.nodes):
            job = make_job(f"j{number}")
            assert await fleet.nodes[name].jobs.submit(job) is None
            owners.update(fleet.owners_of(job))
        assert len(owners) == 1
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_lost", [0, 1])
def test_a_job_is_accepted_although_its_owner_to_be_is_dead_or_silent(num_lost: int) -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=True)
        await asyncio.sleep(1.0)
        probe = make_job("probe")
        assert await fleet.nodes["n0"].jobs.submit(probe) is None
        (owner,) = fleet.owners_of(probe)
        fleet.back_ends.num_events = 100
        fleet.num_lost_handoffs = num_lost
        if not num_lost:
            await fleet.kill(owner)
        name = next(name for name in fleet.nodes if name != owner)
        job = make_job()
        assert await fleet.nodes[name].jobs.submit(job) is None
        assert len(fleet.owners_of(job)) == 1
        results = await read_all(fleet, name, job.id, len(job.items))
        assert len({result.item_id for result in results}) == len(job.items)
        await fleet.stop()

    run_virtual(main())


def test_not_run_is_not_said_of_a_job_that_another_node_may_have_stored() -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=True)
        await asyncio.sleep(1.0)
        probe = make_job("probe")
        assert await fleet.nodes["n0"].jobs.submit(probe) is None
        (owner,) = fleet.owners_of(probe)
        name = next(name for name in fleet.nodes if name != owner)
        fleet.num_lost_handoffs = 1
        for refused in set(fleet.nodes) - {owner}:
            fleet.faults[refused].refuses = True
        problem = await fleet.nodes[name].jobs.submit(make_job())
        if isinstance(problem, Problem):
            assert DESCRIPTIONS[problem.code].execution is not Execution.NOT_RUN
        await fleet.stop()

    run_virtual(main())


def test_a_job_is_owned_in_the_zone_where_it_was_submitted_if_a_large_machine_is_there() -> None:
    near = {"near#life": NodeEntry("10.0.2.1:1", 1.0, "z1")}
    far = {f"far{index}#life": NodeEntry(f"10.0.3.{index}:1", 1.8, "z2") for index in range(9)}
    assert preferred_owner(JOB, near | far, "z1") == "near#life"
    assert preferred_owner(JOB, near | far, "z2") in far
    assert preferred_owner(JOB, near | far, "z3") in far
    assert preferred_owner(JOB, near | far) in far
    small = {"near#life": NodeEntry("10.0.2.1:1", 0.5, "z1")}
    assert preferred_owner(JOB, small | far, "z1") in far
    stopping = {"near#life": NodeEntry("10.0.2.1:1", 0.0, "z1")}
    assert preferred_owner(JOB, stopping | far, "z1") in far
    assert preferred_owner(JOB, stopping, "z1") == "near#life"
