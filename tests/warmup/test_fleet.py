"""Guards against cold workers that receive too many requests from all nodes, or none at all."""

import asyncio
import os
import random
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack_bench.virtual_time import run_virtual
from tests.warmup.fleet import (
    BOUNDS,
    Fleet,
    NetworkFaults,
    excesses,
    make_worker,
    max_in_one_second,
)

RATES = (12.0, 4.0, 2.0, 1.0)
# Schedules drawn by the suite; ``HOLLOWRACK_COLD_SCHEDULES`` draws more by hand.
NUM_SCHEDULES = int(os.environ.get("HOLLOWRACK_COLD_SCHEDULES", "150"))
COLD_S = 12.0


@dataclass
class _Tokens:
    """Counts the fencing tokens of a schedule up."""

    last: int = 0

    def next(self) -> int:
        self.last += 1
        return self.last


async def run_schedule(seed: int) -> tuple[Fleet, int]:
    """Run one drawn schedule of faults; returns the fleet and the number of permits used."""
    rng = random.Random(seed)
    fleet = Fleet(seed, rng.randint(2, 6), rng.choice(RATES))
    names = list(fleet.nodes)
    tokens = _Tokens()
    leader = rng.choice(names)
    fleet.elect(leader, tokens.next())
    workers = [make_worker(f"w{index}") for index in range(rng.randint(1, 3))]
    for worker in workers:
        fleet.update_all(worker)
    load = asyncio.create_task(fleet.run_load(8.0, rng.choice((10.0, 60.0, 200.0))))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    workers = [
        fleet.turn_cold(worker, COLD_S, rng.choice((0.0, 0.5, 3.0)))
        if index == 0 or rng.random() < 0.6
        else worker
        for index, worker in enumerate(workers)
    ]
    zombie: str | None = None
    while not load.done():
        await asyncio.sleep(rng.uniform(0.05, 0.8))
        fault = rng.randrange(7)
        if fault == 0:
            # At most two nodes act as leaders: the former one may go on, the one before it not.
            if zombie is not None:
                fleet.nodes[zombie].leadership.fencing_token = None
            zombie, leader = leader, rng.choice([name for name in names if name != leader])
            if zombie == leader:
                zombie = None
            fleet.elect(leader, tokens.next(), is_known=False)
            if rng.random() < 0.5 and zombie is not None:
                fleet.nodes[zombie].leadership.fencing_token = None
                zombie = None
            for node in fleet.nodes.values():
                delay_s = rng.uniform(0.0, 2.0)
                asyncio.get_running_loop().call_later(
                    delay_s, setattr, node, "known_leader", leader
                )
        elif fault == 1:
            fleet.nodes[leader].frozen_until_s = now_s() + rng.uniform(0.1, 2.0)
        elif fault == 2:
            fleet.nodes[rng.choice(names)].frozen_until_s = now_s() + rng.uniform(0.1, 2.0)
        elif fault == 3:
            fleet.faults = NetworkFaults(
                rng.choice((0.0, 0.3)),
                rng.choice((0.002, 0.2, 0.6)),
                rng.choice((0.002, 0.3, 0.6)),
                rng.random() < 0.5,
            )
        elif fault == 4:
            index = rng.randrange(len(workers))
            worker = workers[index]
            workers[index] = fleet.turn_cold(worker, COLD_S, 3.0, worker.started_ms + 1)
        elif fault == 5:
            index = rng.randrange(len(workers))
            workers[index] = fleet.turn_cold(workers[index], COLD_S, 3.0)
    num_used = sum(
        node.control.permits.num_used["svc"]
        for node in fleet.nodes.values()
        if node.control is not None
    )
    await fleet.stop()
    return fleet, num_used


@settings(
    max_examples=NUM_SCHEDULES,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.integers(min_value=0, max_value=2**32 - 1))
def test_no_second_has_more_requests_than_the_bound_under_faults(seed: int) -> None:
    fleet, num_used = run_virtual(run_schedule(seed))
    assert not excesses(fleet)
    # Every request that a node sent to a worker that it knew as cold spent a permit.
    num_permitted = sum(
        arrival.needed_permit for arrivals in fleet.arrivals.values() for arrival in arrivals
    )
    assert num_permitted <= num_used


@pytest.mark.parametrize("rate", RATES)
def test_two_leaders_at_once_keep_within_the_bound(rate: float) -> None:
    """Half of the nodes know an earlier leader, which grants as well."""

    async def main() -> Fleet:
        fleet = Fleet(1, 6, rate)
        fleet.elect("n0", 1)
        fleet.elect("n1", 2, is_known=False)
        for name in ("n1", "n3", "n5"):
            fleet.nodes[name].known_leader = "n1"
        fleet.update_all(make_worker("w0", 60.0))
        await fleet.run_load(20.0, 100.0)
        await fleet.stop()
        return fleet

    fleet = run_virtual(main())
    assert not excesses(fleet)
    nodes = {arrival.node for arrival in fleet.arrivals["w0"]}
    assert {"n0", "n1"} <= nodes


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("run_share", [0.0, 0.5, 1.0])
def test_worker_gets_at_least_half_of_its_rate_with_a_live_leader(
    rate: float, run_share: float
) -> None:
    """From the first permit on; a new leader waits for the permits of the one before."""

    async def main() -> Fleet:
        fleet = Fleet(2, 5, rate)
        fleet.elect("n0", 1)
        await asyncio.sleep(2.5)
        fleet.update_all(make_worker("w0", 60.0))
        await fleet.run_load(10.0, 60.0, run_share)
        await fleet.stop()
        return fleet

    fleet = run_virtual(main())
    times_s = [arrival.arrived_s for arrival in fleet.arrivals["w0"]]
    assert len(times_s) >= rate / 2 * 10.0
    assert max_in_one_second(times_s) <= BOUNDS.max_requests(rate) / 2
