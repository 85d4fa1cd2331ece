"""Guards against crashing requests that keep running, under random crashes, outages and restarts.

Also guards against quarantining harmless requests in the same schedules.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.quarantine.helpers import (
    CRASHING,
    MAX_LATE_RUNS,
    PROPAGATION_TIMEOUT_S,
    Attempt,
    CrashingFleet,
)

FLEET_STARTUP_S = 3.0
NUM_NODES = 5
MAX_EXAMPLES = 12
FAULTS = ("disconnect", "restart", "restart all", "lost answers", "crash a worker", "crash all")


class RandomFaultFleet:
    """A fleet under random faults, with callers of crashing and of harmless requests.

    Args:
        rng: Source of affected nodes and workers, intervals and callers.
        has_crashing: Whether crashing requests are sent as well.
    """

    def __init__(self, rng: random.Random, has_crashing: bool) -> None:
        self.fleet = CrashingFleet(NUM_NODES)
        self._rng = rng
        self._has_crashing = has_crashing
        self._stable_from_s: dict[str, float] = {}
        self._crashing_attempts: list[tuple[Attempt, bool]] = []
        self._harmless_attempts: list[Attempt] = []

    async def run(self, faults: list[tuple[str, float]]) -> None:
        """Inject the faults in order, each after its delay, while callers send requests."""
        await asyncio.sleep(FLEET_STARTUP_S)
        callers = [
            asyncio.create_task(self._send_repeatedly(b"popular", 0.05)),
            asyncio.create_task(self._send_repeatedly(b"rare", 0.7)),
        ]
        if self._has_crashing:
            callers += [asyncio.create_task(self._send_repeatedly(CRASHING, 0.4)) for _ in range(2)]
        for name, delay_s in faults:
            await asyncio.sleep(delay_s)
            await self._inject(name)
        await asyncio.sleep(8.0)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await self.fleet.stop()

    def num_late_runs(self) -> int:
        """Return the number of late runs of the crashing request in attempts at stable nodes."""
        return self.fleet.num_late_runs(
            [attempt for attempt, is_stable in self._crashing_attempts if is_stable]
        )

    def num_quarantined(self) -> int:
        """Return the number of harmless requests refused as quarantined."""
        return sum(
            isinstance(attempt.outcome, Problem)
            and attempt.outcome.code is ResultCode.REQUEST_QUARANTINED
            for attempt in self._harmless_attempts
        )

    async def _send_repeatedly(self, body: bytes, delay_s: float) -> None:
        while True:
            node = self._rng.choice(sorted(self.fleet.nodes))
            is_stable = now_s() > self._stable_from_s.get(node, 0.0)
            attempt = await self.fleet.send(node, body)
            if body == CRASHING:
                self._crashing_attempts.append((attempt, is_stable))
            else:
                self._harmless_attempts.append(attempt)
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))

    async def _inject(self, name: str) -> None:
        fleet = self.fleet
        match name:
            case "disconnect":
                chosen = self._rng.sample(sorted(fleet.nodes), 2)
                await self._disconnect(chosen)
            case "restart":
                await self._restart([self._rng.choice(sorted(fleet.nodes))])
            case "restart all":
                await self._restart(sorted(fleet.nodes))
            case "lost answers":
                chosen = sorted(fleet.nodes)
                for node in chosen:
                    fleet.faults[node].num_lost_answers = 2
                self._mark_unstable(chosen)
            case "crash a worker":
                fleet.back_ends.crash(self._rng.choice(self._scorers()))
            case "crash all":
                for worker in self._scorers():
                    fleet.back_ends.crash(worker)

    def _scorers(self) -> list[Worker]:
        present = self.fleet.present.values()
        return [worker for worker in present if worker.service == "scorers"]

    async def _disconnect(self, nodes: list[str]) -> None:
        for node in nodes:
            self._stable_from_s[node] = float("inf")
            self.fleet.faults[node].is_silent = True
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))
        for node in nodes:
            self.fleet.faults[node].is_silent = False
        self._mark_unstable(nodes)

    async def _restart(self, nodes: list[str]) -> None:
        for node in nodes:
            await self.fleet.kill(node)
            self.fleet.start(node)
        self._mark_unstable(nodes)

    def _mark_unstable(self, nodes: list[str]) -> None:
        for node in nodes:
            self._stable_from_s[node] = now_s() + PROPAGATION_TIMEOUT_S


SCHEDULES = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.floats(0.0, 4.0)), min_size=0, max_size=8
)


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(SCHEDULES, st.integers(0, 10_000))
def test_late_runs_of_crashing_request_are_bounded(
    faults: list[tuple[str, float]], seed: int
) -> None:
    async def main() -> None:
        fleet_run = RandomFaultFleet(random.Random(seed), has_crashing=True)
        await fleet_run.run(faults)
        assert fleet_run.num_late_runs() <= MAX_LATE_RUNS

    run_virtual(main())


@pytest.mark.parametrize(
    ("faults", "seed"),
    [
        ([("restart all", 0.0)], 8003),
        ([("restart all", 0.0), ("crash a worker", 0.25)], 1148),
        ([("restart all", 0.0), ("lost answers", 0.0), ("restart all", 0.0)], 8036),
    ],
)
def test_runs_after_crashes_that_nobody_saw_are_bounded(
    faults: list[tuple[str, float]], seed: int
) -> None:
    """Two of the first three crashes are under requests of nodes that have all been killed.

    No living node can see these crashes, so that the third one counts as the first.
    """

    async def main() -> None:
        fleet_run = RandomFaultFleet(random.Random(seed), has_crashing=True)
        await fleet_run.run(faults)
        assert fleet_run.num_late_runs() <= MAX_LATE_RUNS

    run_virtual(main())


@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(SCHEDULES, st.integers(0, 10_000))
def test_harmless_requests_are_never_quarantined(
    faults: list[tuple[str, float]], seed: int
) -> None:
    async def main() -> None:
        fleet_run = RandomFaultFleet(random.Random(seed), has_crashing=False)
        await fleet_run.run(faults)
        assert fleet_run.num_quarantined() == 0

    run_virtual(main())
