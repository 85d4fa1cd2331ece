"""Drawn schedules of callers, ends of workers, outages, cuts and restarts.

Whatever happens, a crashing request reaches workers at most three times more in tries by nodes that
have been calm for long enough, and no sound request is refused as if it were one.
"""

import asyncio
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.quarantine.helpers import (
    CONTACT_S,
    CRASHING,
    MAX_LATE_RUNS,
    CrashingFleet,
    Try,
)

SETTLE_S = 3.0
NUM_NODES = 5
# By hand many more: each takes about a second.
NUM_DRAWN = 12
TROUBLES = ("cut off", "restart", "restart all", "lost answers", "end a worker", "end all workers")


class DrawnFleet:
    """A fleet under drawn troubles, with callers of crashing and of sound requests.

    Args:
        rng: Draws victims, pauses and callers.
        has_crashing: Whether there are crashing requests among the others.
    """

    def __init__(self, rng: random.Random, has_crashing: bool) -> None:
        self.fleet = CrashingFleet(NUM_NODES)
        self._rng = rng
        self._has_crashing = has_crashing
        self._calm_from_s: dict[str, float] = {}
        self._tries: list[tuple[Try, bool]] = []
        self._sound: list[Try] = []

    async def run(self, troubles: list[tuple[str, float]]) -> None:
        """Let one trouble after the other strike, each after its pause, while callers go on."""
        await asyncio.sleep(SETTLE_S)
        callers = [
            asyncio.create_task(self._call(b"popular", 0.05)),
            asyncio.create_task(self._call(b"rare", 0.7)),
        ]
        if self._has_crashing:
            callers += [asyncio.create_task(self._call(CRASHING, 0.4)) for _ in range(2)]
        for name, pause_s in troubles:
            await asyncio.sleep(pause_s)
            await self._strike(name)
        await asyncio.sleep(8.0)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await self.fleet.stop()

    def num_late_runs(self) -> int:
        """How often workers began the crashing request too late in tries by calm nodes."""
        return self.fleet.num_late_runs([one for one, is_calm in self._tries if is_calm])

    def num_condemned(self) -> int:
        """How many sound requests were refused as crashing ones."""
        return sum(
            isinstance(one.outcome, Problem) and one.outcome.code is ResultCode.REQUEST_QUARANTINED
            for one in self._sound
        )

    async def _call(self, body: bytes, pause_s: float) -> None:
        while True:
            node = self._rng.choice(sorted(self.fleet.nodes))
            is_calm = now_s() > self._calm_from_s.get(node, 0.0)
            one = await self.fleet.send(node, body)
            if body == CRASHING:
                self._tries.append((one, is_calm))
            else:
                self._sound.append(one)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _strike(self, name: str) -> None:
        fleet = self.fleet
        match name:
            case "cut off":
                chosen = self._rng.sample(sorted(fleet.nodes), 2)
                await self._cut_off(chosen)
            case "restart":
                await self._restart([self._rng.choice(sorted(fleet.nodes))])
            case "restart all":
                await self._restart(sorted(fleet.nodes))
            case "lost answers":
                chosen = sorted(fleet.nodes)
                for node in chosen:
                    fleet.faults[node].num_lost_answers = 2
                self._disturb(chosen)
            case "end a worker":
                fleet.back_ends.end(self._rng.choice(self._scorers()))
            case "end all workers":
                for worker in self._scorers():
                    fleet.back_ends.end(worker)

    def _scorers(self) -> list[Worker]:
        present = self.fleet.present.values()
        return [worker for worker in present if worker.service == "scorers"]

    async def _cut_off(self, nodes: list[str]) -> None:
        for node in nodes:
            self._calm_from_s[node] = float("inf")
            self.fleet.faults[node].is_silent = True
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))
        for node in nodes:
            self.fleet.faults[node].is_silent = False
        self._disturb(nodes)

    async def _restart(self, nodes: list[str]) -> None:
        for node in nodes:
            await self.fleet.kill(node)
            self.fleet.start(node)
        self._disturb(nodes)

    def _disturb(self, nodes: list[str]) -> None:
        for node in nodes:
            self._calm_from_s[node] = now_s() + CONTACT_S


SCHEDULES = st.lists(
    st.tuples(st.sampled_from(TROUBLES), st.floats(0.0, 4.0)), min_size=0, max_size=8
)


@settings(max_examples=NUM_DRAWN, deadline=None)
@given(SCHEDULES, st.integers(0, 10_000))
def test_a_crashing_request_is_bounded_whatever_happens(
    troubles: list[tuple[str, float]], seed: int
) -> None:
    async def main() -> None:
        drawn = DrawnFleet(random.Random(seed), has_crashing=True)
        await drawn.run(troubles)
        assert drawn.num_late_runs() <= MAX_LATE_RUNS

    run_virtual(main())


@settings(max_examples=NUM_DRAWN, deadline=None)
@given(SCHEDULES, st.integers(0, 10_000))
def test_without_a_crashing_request_none_is_refused_as_one(
    troubles: list[tuple[str, float]], seed: int
) -> None:
    async def main() -> None:
        drawn = DrawnFleet(random.Random(seed), has_crashing=False)
        await drawn.run(troubles)
        assert drawn.num_condemned() == 0

    run_virtual(main())
