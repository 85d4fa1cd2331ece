"""Guards against owners that change needlessly, and jobs lost when the preferred owner fails."""

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
    return {f"n{index}#1": NodeEntry(f"10.0.0.{index}:1", num_cores) for index in range(count)}


@given(st.integers(1, 40))
def test_the_preferred_owner_changes_only_when_it_is_removed(num_nodes: int) -> None:
    live = _entries(num_nodes)
    owner = preferred_owner(JOB, live)
    assert owner in live
    for removed in live:
        remaining = {name: entry for name, entry in live.items() if name != removed}
        assert removed == owner or preferred_owner(JOB, remaining) == owner


def test_the_preferred_owner_is_the_same_node_after_its_restart() -> None:
    live = _entries(9)
    owner = preferred_owner(JOB, live)
    assert owner is not None
    entry = live.pop(owner)
    restarted = owner.replace("#1", "#2")
    assert preferred_owner(JOB, {**live, restarted: entry}) == restarted


def test_large_nodes_are_preferred_unless_unreachable() -> None:
    large = {"large#1": NodeEntry("10.0.1.1:1", 2.0)}
    assert preferred_owner(JOB, {**_entries(9), **large}) == "large#1"
    unreachable = {"large#1": NodeEntry("", 2.0)}
    assert preferred_owner(JOB, {**_entries(9), **unreachable}) != "large#1"
    assert preferred_owner(JOB, unreachable) is None


def test_all_jobs_of_a_model_have_one_owner_whichever_node_accepts_them() -> None:
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
def test_a_job_is_accepted_if_its_preferred_owner_is_down_or_unresponsive(num_lost: int) -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=True)
        await asyncio.sleep(1.0)
        probe = make_job("probe")
        assert await fleet.nodes["n0"].jobs.submit(probe) is None
        (owner,) = fleet.owners_of(probe)
        fleet.back_ends.num_events = 100
        fleet.num_lost_submit_answers = num_lost
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


def test_a_job_that_may_be_stored_elsewhere_is_not_reported_as_not_run() -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=True)
        await asyncio.sleep(1.0)
        probe = make_job("probe")
        assert await fleet.nodes["n0"].jobs.submit(probe) is None
        (owner,) = fleet.owners_of(probe)
        name = next(name for name in fleet.nodes if name != owner)
        fleet.num_lost_submit_answers = 1
        for other in set(fleet.nodes) - {owner}:
            fleet.faults[other].refuses = True
        problem = await fleet.nodes[name].jobs.submit(make_job())
        if isinstance(problem, Problem):
            assert DESCRIPTIONS[problem.code].execution is not Execution.NOT_RUN
        await fleet.stop()

    run_virtual(main())


def test_the_owner_is_in_the_submitting_zone_if_that_has_a_large_node() -> None:
    local = {"near#1": NodeEntry("10.0.2.1:1", 1.0, "z1")}
    remote = {f"far{index}#1": NodeEntry(f"10.0.3.{index}:1", 1.8, "z2") for index in range(9)}
    assert preferred_owner(JOB, local | remote, "z1") == "near#1"
    assert preferred_owner(JOB, local | remote, "z2") in remote
    assert preferred_owner(JOB, local | remote, "z3") in remote
    assert preferred_owner(JOB, local | remote) in remote
    small = {"near#1": NodeEntry("10.0.2.1:1", 0.5, "z1")}
    assert preferred_owner(JOB, small | remote, "z1") in remote
    stopping = {"near#1": NodeEntry("10.0.2.1:1", 0.0, "z1")}
    assert preferred_owner(JOB, stopping | remote, "z1") in remote
    assert preferred_owner(JOB, stopping, "z1") == "near#1"
