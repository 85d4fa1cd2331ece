"""Guards against cold workers that receive too many requests from all nodes, or none at all."""

import asyncio
import os
import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker
from hollowrack.warmup.types import GRANT_WINDOW_S
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


class FaultSource:
    """Draws faults of leaders, nodes, messages and workers.

    At most two nodes act as leaders: the former one may go on, the one before it not.
    """

    def __init__(self, fleet: Fleet, rng: random.Random, workers: list[Worker]) -> None:
        self._fleet = fleet
        self._rng = rng
        self._workers = workers
        self._names = list(fleet.nodes)
        self._token = 1
        self._former: str | None = None
        self._leader = rng.choice(self._names)
        fleet.elect(self._leader, self._token)
        self._faults = [
            self._freeze_leader,
            self._freeze_node,
            self._disturb_network,
            self._hold_answers,
            self._restart_worker,
            self._turn_worker_cold,
            self._change_leader,
        ]

    def inject(self, changes_leader: bool) -> None:
        self._rng.choice(self._faults if changes_leader else self._faults[:-1])()

    def _change_leader(self) -> None:
        nodes, rng = self._fleet.nodes, self._rng
        if self._former is not None:
            nodes[self._former].leadership.fencing_token = None
        self._former = self._leader
        self._leader = rng.choice([name for name in self._names if name != self._former])
        self._token += 1
        self._fleet.elect(self._leader, self._token, is_known=False)
        if rng.random() < 0.5:
            nodes[self._former].leadership.fencing_token = None
            self._former = None
        for node in nodes.values():
            delay_s = rng.uniform(0.0, 2.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, setattr, node, "known_leader", self._leader)

    def _freeze_leader(self) -> None:
        self._freeze(self._leader)

    def _freeze_node(self) -> None:
        self._freeze(self._rng.choice(self._names))

    def _freeze(self, name: str) -> None:
        self._fleet.nodes[name].frozen_until_s = now_s() + self._rng.uniform(0.1, 2.0)

    def _disturb_network(self) -> None:
        rng = self._rng
        self._fleet.faults = NetworkFaults(
            rng.choice((0.0, 0.3)),
            rng.choice((0.002, 0.2, 0.6)),
            rng.choice((0.002, 0.3, 0.6)),
            rng.random() < 0.5,
        )

    def _hold_answers(self) -> None:
        self._fleet.answers_held_until_s = now_s() + self._rng.uniform(0.1, 3.0)

    def _restart_worker(self) -> None:
        index = self._rng.randrange(len(self._workers))
        worker = self._workers[index]
        self._workers[index] = self._fleet.turn_cold(worker, COLD_S, 3.0, worker.started_ms + 1)

    def _turn_worker_cold(self) -> None:
        index = self._rng.randrange(len(self._workers))
        self._workers[index] = self._fleet.turn_cold(self._workers[index], COLD_S, 3.0)


async def run_schedule(seed: int, changes_leader: bool = True) -> tuple[Fleet, int]:
    """Run one drawn schedule of faults; returns the fleet and the number of permits used."""
    rng = random.Random(seed)
    fleet = Fleet(seed, rng.randint(2, 6), rng.choice(RATES))
    workers = [make_worker(f"w{index}") for index in range(rng.randint(1, 3))]
    for worker in workers:
        fleet.update_all(worker)
    faults = FaultSource(fleet, rng, workers)
    load = asyncio.create_task(fleet.run_load(8.0, rng.choice((10.0, 60.0, 200.0))))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    for index, worker in enumerate(workers):
        if index == 0 or rng.random() < 0.6:
            workers[index] = fleet.turn_cold(worker, COLD_S, rng.choice((0.0, 0.5, 3.0)))
    while not load.done():
        await asyncio.sleep(rng.uniform(0.05, 0.8))
        faults.inject(changes_leader)
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
@given(st.integers(min_value=0, max_value=2**32 - 1), st.booleans())
def test_no_second_has_more_requests_than_the_bound_under_faults(
    seed: int, changes_leader: bool
) -> None:
    """With one leader throughout, half of the bound: the other half is another leader's."""
    fleet, num_used = run_virtual(run_schedule(seed, changes_leader))
    assert not excesses(fleet, 2 if changes_leader else 1)
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


def test_permits_that_arrive_late_are_not_used_beside_newer_ones() -> None:
    """Answers of the leader are held back for as long as it counts their permits."""

    async def main() -> Fleet:
        fleet = Fleet(4, 3, 12.0)
        fleet.elect("n0", 1)
        await asyncio.sleep(2.5)
        fleet.update_all(make_worker("w0", 60.0))
        fleet.answers_held_until_s = now_s() + GRANT_WINDOW_S + 0.1
        for _ in range(5):
            fleet.start_run(fleet.nodes["n1"])
        await asyncio.sleep(GRANT_WINDOW_S + 0.1)
        for _ in range(40):
            fleet.start_run(fleet.nodes["n2"])
        await asyncio.sleep(3.0)
        await fleet.stop()
        return fleet

    fleet = run_virtual(main())
    assert {arrival.node for arrival in fleet.arrivals["w0"]} == {"n1", "n2"}
    assert not excesses(fleet, num_leaders=1)
