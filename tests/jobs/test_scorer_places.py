"""Load: the items of a job end together, and callers look up at the workers of their scorer."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.forwarding.types import RoutingConfiguration
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, configuration, make_job

NUM_ITEMS = 24
NUM_SLOTS_OF_SCORERS = 8


def with_lookups(version: int) -> RoutingConfiguration:
    """A configuration in which callers look up at the workers of the scorer."""
    without = configuration()
    score = next(route for route in without.routes if route.name == "score")
    lookup = replace(score, name="lookup", prefix="/lookup/")
    return replace(without, version=version, routes=(*without.routes, lookup))


@pytest.mark.parametrize("is_shared", [True, False])
def test_scorer_calls_leave_slots_to_lookups_where_there_are_any(is_shared: bool) -> None:
    async def main() -> None:
        fleet = Fleet(num_nodes=1)
        node = fleet.nodes["n0"]
        if is_shared:
            node.configuration_changed(with_lookups(version=9))
        await asyncio.sleep(1.0)
        for name in ("s0", "s1"):
            fleet.back_ends.behaviours[name] = WorkerBehaviour(work_s=0.4)
        job = make_job(num_items=NUM_ITEMS)
        await node.jobs.submit(job)
        most_at_once = 0
        num_begun = 0
        while num_begun < NUM_ITEMS:
            await asyncio.sleep(0.05)
            running = fleet.back_ends.running
            most_at_once = max(most_at_once, running["s0"] + running["s1"])
            num_begun = sum(fleet.back_ends.executions[f"{job.id}.s{n}"] for n in range(NUM_ITEMS))
        if is_shared:
            assert 0 < most_at_once <= NUM_SLOTS_OF_SCORERS // 2
        else:
            assert most_at_once > NUM_SLOTS_OF_SCORERS // 2
        await fleet.stop()

    run_virtual(main())
