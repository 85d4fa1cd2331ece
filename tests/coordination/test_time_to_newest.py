"""Propagation limit: an undisturbed node keeps an old configuration for too long after an outage.

The timeout of a hanging watch, the backoff and the timeout of a dead source must not add up.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from hollowrack_bench.virtual_time import VirtualTimeLoop, run_virtual
from tests.coordination.change_fleet import ChangeFleet

NUM_NODES = 9
STARTUP_S = 6.0
FINAL_WAIT_S = 5.0
MAX_FROZEN = 2
# The first schedules, and seeds that failed in the past.
SEEDS = (*range(48), 72, 91, 98, 109)


@dataclass(frozen=True)
class Schedule:
    """An outage of the store, a change around its end, and a node that freezes.

    Attributes:
        seed: Seed of the nodes.
        kind: Whether the store refuses calls or leaves them unanswered.
        victims: Nodes without store access: all, half of them or the leader.
        outage_s: Duration of the outage, in seconds.
        change_after_s: Time from the end of the outage to the change, in seconds.
        freeze_after_s: Time from the end of the outage to the freeze, in seconds.
        is_leader_frozen: Whether the leader freezes, or another node.
        phase_s: Added to the time before the outage, in seconds.
    """

    seed: int
    kind: str
    victims: str
    outage_s: float
    change_after_s: float
    freeze_after_s: float
    is_leader_frozen: bool
    phase_s: float


def make_schedule(seed: int) -> Schedule:
    """Generate a schedule."""
    rng = random.Random(seed)
    return Schedule(
        seed,
        rng.choice(["silent", "silent", "refuses"]),
        rng.choice(["all", "all", "half", "leader"]),
        rng.uniform(0.5, 5.0),
        rng.uniform(-1.0, 2.5),
        rng.uniform(-0.5, 3.0),
        rng.random() < 0.8,
        rng.random(),
    )


async def run_schedule(schedule: Schedule) -> None:
    """Run a schedule; the fleet checks the nodes' versions continuously."""
    fleet = ChangeFleet(NUM_NODES, schedule.seed)
    await asyncio.sleep(STARTUP_S + schedule.phase_s)
    leader = fleet.leader()
    names = fleet.names()
    victims = {
        "all": names,
        "half": random.Random(schedule.seed).sample(names, NUM_NODES // 2 + 1),
        "leader": [leader],
    }[schedule.victims]
    frozen = leader if schedule.is_leader_frozen else names[0]
    steps = sorted(
        [
            (0.0, "outage"),
            (schedule.outage_s, "return"),
            (max(0.0, schedule.outage_s + schedule.change_after_s), "change"),
            (max(0.0, schedule.outage_s + schedule.freeze_after_s), "freeze"),
        ]
    )
    at_s = 0.0
    for step_s, step in steps:
        await fleet.wait(step_s - at_s)
        at_s = step_s
        if step == "outage":
            fleet.fail_store([name for name in victims if name not in fleet.frozen], schedule.kind)
        elif step == "return":
            fleet.restore_store()
        elif step == "change":
            fleet.change()
        else:
            fleet.freeze(frozen)
    await fleet.wait(FINAL_WAIT_S)
    await fleet.stop()


@pytest.mark.parametrize("seed", SEEDS)
def test_undisturbed_nodes_receive_changes_within_limit(seed: int) -> None:
    run_virtual(run_schedule(make_schedule(seed)))


async def _settled_fleet() -> ChangeFleet:
    fleet = ChangeFleet(NUM_NODES)
    await asyncio.sleep(STARTUP_S)
    return fleet


class ChangesUnderFaults(RuleBasedStateMachine):
    """Outages, frozen and restarted nodes and changes in any order, checked continuously."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.fleet = self.runner.run(_settled_fleet())

    def _run_on_loop(self, action: Callable[[], None]) -> None:
        """Run an action on the loop."""

        async def act() -> None:
            action()

        self.runner.run(act())

    @rule(kind=st.sampled_from(["silent", "refuses"]), share=st.sampled_from([0.3, 0.6, 1.0]))
    def store_fails(self, kind: str, share: float) -> None:
        names = self.fleet.names()
        victims = names[: max(1, int(share * len(names)))]
        self._run_on_loop(lambda: self.fleet.fail_store(victims, kind))

    @rule()
    def store_recovers(self) -> None:
        self._run_on_loop(self.fleet.restore_store)

    @rule()
    def change(self) -> None:
        self._run_on_loop(self.fleet.change)

    @precondition(lambda self: len(self.fleet.frozen) < MAX_FROZEN)
    @rule()
    def leader_freezes(self) -> None:
        leader = self.fleet.leader()
        names = self.fleet.names()
        self._run_on_loop(lambda: self.fleet.freeze(leader if leader in names else names[0]))

    @precondition(lambda self: bool(self.fleet.frozen))
    @rule()
    def node_unfreezes(self) -> None:
        self._run_on_loop(lambda: self.fleet.unfreeze(min(self.fleet.frozen)))

    @rule(index=st.integers(0, NUM_NODES - 1))
    def node_restarts(self, index: int) -> None:
        name = sorted(self.fleet.nodes)[index]
        if name not in self.fleet.frozen:
            self.runner.run(self.fleet.nodes.pop(name).kill())
            self._run_on_loop(lambda: self.fleet.start(name))

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds: float) -> None:
        self.runner.run(self.fleet.wait(seconds))

    def teardown(self) -> None:
        self.runner.run(self.fleet.stop())
        self.runner.close()


TestChangesUnderFaults = ChangesUnderFaults.TestCase
TestChangesUnderFaults.settings = settings(
    max_examples=20, stateful_step_count=20, derandomize=True, deadline=None
)
