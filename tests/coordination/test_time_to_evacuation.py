"""Evacuations: a node that is connected to the store learns of one later than it may.

No request may reach an evacuated zone 5 s after the store acknowledged the evacuation. A request
that was sent just before a node knew of it may take 1 s to arrive, which leaves 4 s for the key.
"""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.store import Put
from hollowrack.jobs.host_role import MIN_CHANGE_BOUND_WITHOUT_SESSION_S
from hollowrack_bench.virtual_time import run_virtual
from tests.coordination.change_fleet import (
    CHECK_INTERVAL_S,
    MAX_CHANGE_DELAY_S,
    UNDISTURBED_S,
    ChangeFleet,
)

EVACUATION_LIMIT_S = 5.0
SEND_S = 1.0
MAX_DELAY_S = EVACUATION_LIMIT_S - SEND_S
PREFIX = "op/evacuate/"
ZONES = ("z1", "z2", "z3")
NUM_NODES = 9
STARTUP_S = 8.0
FINAL_WAIT_S = 6.0
# Below the timeout of a call, so that a slow store still answers.
MAX_STORE_DELAY_S = 0.4
SEEDS = range(60)
LARGE_SEEDS = range(30)


@dataclass
class Change:
    """An acknowledged evacuation of a zone, or its end."""

    zone: str
    is_evacuated: bool
    at_s: float


@dataclass
class EvacuatingFleet:
    """Evacuates zones and measures when the nodes know.

    Attributes:
        fleet: The nodes, whose faults also apply here.
        changes: All acknowledged changes.
        longest_s: Longest time from a change until a node that was undisturbed knew of it.
        longest_refused_s: The same for nodes that only the store refused.
    """

    fleet: ChangeFleet
    changes: list[Change] = field(default_factory=list)
    longest_s: float = 0.0
    longest_refused_s: float = 0.0

    def write(self, zone: str, is_evacuated: bool, is_noticed: bool = True) -> None:
        """Evacuate a zone or end its evacuation; watches may miss an unnoticed evacuation."""
        key = PREFIX + zone
        if not is_evacuated:
            self.fleet.core.transact([], [], [key])
        elif is_noticed:
            self.fleet.core.transact([], [Put(key, b"{}")], [])
        else:
            self.fleet.core.put_without_notifying([Put(key, b"{}")])
        self.changes.append(Change(zone, is_evacuated, now_s()))

    def measure(self) -> None:
        """Update the longest times by the nodes that do not know the latest changes yet."""
        newest = {change.zone: change for change in self.changes}
        for name in self.fleet.names():
            node = self.fleet.nodes[name]
            for change in newest.values():
                if node.node.evacuated.is_evacuated(change.zone) is change.is_evacuated:
                    continue
                delay_s = now_s() - change.at_s
                if self.fleet.is_undisturbed(name):
                    self.longest_s = max(self.longest_s, delay_s)
                elif node.faults.refuses:
                    self.longest_refused_s = max(self.longest_refused_s, delay_s)

    async def wait(self, seconds: float) -> None:
        """Wait and measure."""
        end_s = now_s() + seconds
        while now_s() < end_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.measure()


@dataclass(frozen=True)
class Schedule:
    """Drawn faults and changes.

    Attributes:
        kind: What the store does: it refuses calls, leaves them unanswered or answers slowly.
        victims: Nodes that the store does this to: all, half or a third of them, or the leader.
        leader_fault: What happens to the leader: nothing, it dies, or it freezes, which others
            cannot tell from a partition.
        outage_s: Duration of the store's fault, in seconds.
        steps: Times after the start of the outage at which zones are evacuated or evacuations end.
        is_noticed: Whether waiting watches are notified of evacuations and history is kept.
    """

    kind: str
    victims: str
    leader_fault: str
    outage_s: float
    steps: tuple[tuple[float, str, bool], ...]
    is_noticed: bool


def make_schedule(rng: random.Random) -> Schedule:
    outage_s = rng.uniform(0.5, 6.0)
    steps: list[tuple[float, str, bool]] = []
    at_s = rng.uniform(0.0, outage_s + 1.5)
    for zone in rng.sample(ZONES, rng.randint(1, 3)):
        # Overlapping evacuations, and ones back to back.
        duration_s = rng.choice([1.0, 3.0, 30.0])
        steps.extend([(at_s, zone, True), (at_s + duration_s, zone, False)])
        at_s += rng.choice([0.0, 0.3, duration_s])
    steps.sort(key=lambda step: step[0])
    return Schedule(
        rng.choice(["silent", "refuses", "refuses", "slow"]),
        rng.choice(["all", "half", "third", "third", "leader"]),
        rng.choice(["none", "none", "dies", "freezes"]),
        outage_s,
        tuple(steps),
        rng.random() < 0.7,
    )


async def run_schedule(seed: int, max_change_delay_s: float) -> tuple[Schedule, EvacuatingFleet]:
    rng = random.Random(seed)
    schedule = make_schedule(rng)
    fleet = ChangeFleet(NUM_NODES, seed, max_change_delay_s)
    evacuating = EvacuatingFleet(fleet)
    await asyncio.sleep(STARTUP_S + rng.random())
    names = fleet.names()
    leader = fleet.leader()
    victims = {
        "all": names,
        "half": rng.sample(names, NUM_NODES // 2 + 1),
        "third": rng.sample(names, NUM_NODES // 3),
        "leader": [leader],
    }[schedule.victims]
    if schedule.kind == "slow":
        for name in victims:
            fleet.nodes[name].faults.delay_s = MAX_STORE_DELAY_S
    else:
        fleet.fail_store(victims, schedule.kind)
    start_s = now_s()
    steps = [(at_s, "write", zone, flag) for at_s, zone, flag in schedule.steps]
    steps += [
        (schedule.outage_s, "return", "", False),
        (rng.uniform(0.0, 3.0), "leader", "", False),
    ]
    for at_s, step, zone, is_evacuated in sorted(steps):
        await evacuating.wait(start_s + at_s - now_s())
        if step == "write":
            evacuating.write(zone, is_evacuated, schedule.is_noticed)
        elif step == "return":
            fleet.restore_store()
            for name in fleet.names():
                fleet.nodes[name].faults.delay_s = 0.0
        elif schedule.leader_fault == "freezes":
            fleet.freeze(leader)
        elif schedule.leader_fault == "dies":
            await fleet.nodes.pop(leader).kill()
    await evacuating.wait(FINAL_WAIT_S)
    assert len(evacuating.changes) == len(schedule.steps)
    for name in fleet.names():
        assert set(fleet.nodes[name].node.evacuated.zones) == set()
    await fleet.stop()
    return schedule, evacuating


@pytest.mark.parametrize("seed", SEEDS)
def test_connected_nodes_know_evacuations_in_time(seed: int) -> None:
    """Faults of the store, the leader and the watches in one schedule."""
    schedule, evacuating = run_virtual(run_schedule(seed, MAX_CHANGE_DELAY_S))
    assert evacuating.longest_s <= MAX_DELAY_S, schedule


@pytest.mark.parametrize("seed", LARGE_SEEDS)
def test_connected_nodes_of_large_fleets_know_evacuations_in_time(seed: int) -> None:
    """Most nodes have no session and learn of changes from hosts."""
    schedule, evacuating = run_virtual(run_schedule(seed, MIN_CHANGE_BOUND_WITHOUT_SESSION_S))
    assert evacuating.longest_s <= MAX_DELAY_S, schedule


@pytest.mark.parametrize("max_change_delay_s", [2.0, MIN_CHANGE_BOUND_WITHOUT_SESSION_S])
@pytest.mark.parametrize("is_noticed", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_third_of_the_nodes_that_the_store_refuses_knows_through_the_others(
    max_change_delay_s: float, is_noticed: bool, seed: int
) -> None:
    async def main() -> None:
        fleet = ChangeFleet(NUM_NODES, seed, max_change_delay_s)
        evacuating = EvacuatingFleet(fleet)
        rng = random.Random(seed)
        await asyncio.sleep(STARTUP_S)
        fleet.fail_store(rng.sample(fleet.names(), NUM_NODES // 3), "refuses")
        await evacuating.wait(UNDISTURBED_S * rng.random())
        evacuating.write("z1", True, is_noticed)
        await evacuating.wait(FINAL_WAIT_S)
        evacuating.write("z1", False)
        await evacuating.wait(FINAL_WAIT_S)
        assert max(evacuating.longest_s, evacuating.longest_refused_s) <= MAX_DELAY_S
        assert not any(node.node.evacuated.zones for node in fleet.nodes.values())
        await fleet.stop()

    run_virtual(main())


def test_started_node_is_ready_only_once_it_knows_the_evacuated_zones() -> None:
    """A node that is ready before it has listed the keys sends to the evacuated zone."""

    async def main() -> None:
        fleet = ChangeFleet(3)
        await asyncio.sleep(STARTUP_S)
        EvacuatingFleet(fleet).write("z1", True)
        fleet.start("late")
        late = fleet.nodes["late"].node
        while not late.is_ready:
            assert not late.evacuated.zones
            await asyncio.sleep(0.0005)
        assert set(late.evacuated.zones) == {"z1"}
        await fleet.stop()

    run_virtual(main())


def test_last_known_zones_stay_while_the_store_is_down() -> None:
    async def main() -> None:
        fleet = ChangeFleet(3)
        await asyncio.sleep(STARTUP_S)
        EvacuatingFleet(fleet).write("z1", True)
        await asyncio.sleep(MAX_DELAY_S)
        fleet.fail_store(fleet.names(), "refuses")
        await asyncio.sleep(60.0)
        assert all(set(node.node.evacuated.zones) == {"z1"} for node in fleet.nodes.values())
        await fleet.stop()

    run_virtual(main())
