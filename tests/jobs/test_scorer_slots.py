"""Guards against scorer requests that take all slots from callers of the same workers."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.forwarding.types import RoutingConfiguration
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, configuration, make_job

NUM_ITEMS = 24
NUM_SCORER_SLOTS = 8


def with_lookup_route(version: int) -> RoutingConfiguration:
    """A configuration in which a lookup route shares the workers of the scorer."""
    base = configuration()
    score = next(route for route in base.routes if route.name == "score")
    lookup = replace(score, name="lookup", prefix="/lookup/")
    return replace(base, version=version, routes=(*base.routes, lookup))


@pytest.mark.parametrize("is_shared", [True, False])
def test_scorer_requests_leave_slots_to_a_route_that_shares_their_workers(is_shared: bool) -> None:
    async def main() -> None:
        fleet = Fleet(num_nodes=1)
        node = fleet.nodes["n0"]
        if is_shared:
            node.configuration_changed(with_lookup_route(version=9))
        await asyncio.sleep(1.0)
        for name in ("s0", "s1"):
            fleet.back_ends.behaviours[name] = WorkerBehaviour(work_s=0.4)
        job = make_job(num_items=NUM_ITEMS)
        await node.jobs.submit(job)
        max_concurrent = 0
        num_started = 0
        while num_started < NUM_ITEMS:
            await asyncio.sleep(0.05)
            running = fleet.back_ends.running
            max_concurrent = max(max_concurrent, running["s0"] + running["s1"])
            num_started = sum(
                fleet.back_ends.executions[f"{job.id}.s{n}"] for n in range(NUM_ITEMS)
            )
        if is_shared:
            assert 0 < max_concurrent <= NUM_SCORER_SLOTS // 2
        else:
            assert max_concurrent > NUM_SCORER_SLOTS // 2
        await fleet.stop()

    run_virtual(main())
