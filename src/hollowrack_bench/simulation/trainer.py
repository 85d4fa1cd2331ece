"""A trainer of a hollow fleet: talks to any node's run service and measures its own idle time."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from returns.result import Failure, Result

from hollowrack.clock import now_s
from hollowrack.node_core import NodeCore
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.rollout.commands import (
    Acknowledge,
    AnnounceVersion,
    LedgerCommand,
    OpenRun,
    SubmitStep,
)
from hollowrack.rollout.spans import check_spans
from hollowrack.rollout.trainer_messages import ReadSamples, Samples
from hollowrack.rollout.types import HandedOverSample, Prompt, RunSettings, SampleSlot
from hollowrack_bench.simulation.fleet import MODEL, SimulatedFleet

Answer = TypeVar("Answer")

RETRY_INTERVAL_S = 0.1
POLL_WAIT_S = 5.0
MAX_SAMPLES_PER_READ = 256

_REPEATED = frozenset(
    {
        ResultCode.NO_QUORUM,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.STOPPING,
        ResultCode.PLATFORM_UNAVAILABLE,
        ResultCode.PEER_UNREACHABLE,
        ResultCode.GROUP_UNKNOWN,
        ResultCode.NOT_LEADER,
    }
)


@dataclass(frozen=True)
class SimulatedTrainerConfig:
    """Shape of a training run.

    Attributes:
        run: Its name.
        num_steps: Steps to train.
        num_groups: Prompt groups a step.
        group_size: Samples a group.
        max_tokens: Longest sample.
        train_s: Time of one training step, in seconds.
        max_staleness_versions: Staleness bound.
        num_steps_ahead: Steps submitted before the present one is whole.
        seed: Seed of the choice of nodes.
    """

    run: str = "run"
    num_steps: int = 10
    num_groups: int = 16
    group_size: int = 8
    max_tokens: int = 4096
    train_s: float = 10.0
    max_staleness_versions: int = 2
    num_steps_ahead: int = 2
    seed: int = 0

    @property
    def num_samples_per_step(self) -> int:
        """Samples of one step."""
        return self.num_groups * self.group_size


@dataclass
class SimulatedTrainerReport:
    """What the trainer saw.

    Attributes:
        delivered: Times each slot was delivered.
        ages_versions: Age of each sample at hand-over.
        step_idle_s: Time the trainer waited for each step.
        num_incomplete_spans: Samples whose spans do not cover their tokens.
        num_stale: Samples over the staleness bound.
        num_tokens: Tokens of the delivered samples.
        total_s: Time of the whole run.
    """

    delivered: Counter[SampleSlot] = field(default_factory=Counter)
    ages_versions: Counter[int] = field(default_factory=Counter)
    step_idle_s: list[float] = field(default_factory=list)
    num_incomplete_spans: int = 0
    num_stale: int = 0
    num_tokens: int = 0
    total_s: float = 0.0

    @property
    def idle_share(self) -> float:
        """Share of the run that the trainer waited for samples."""
        return sum(self.step_idle_s) / self.total_s if self.total_s else 0.0

    @property
    def num_duplicated(self) -> int:
        """Slots delivered more than once."""
        return sum(1 for count in self.delivered.values() if count > 1)


class SimulatedTrainer:
    """One trainer.

    Args:
        config: Shape of the run.
        fleet: The fleet.
    """

    def __init__(self, config: SimulatedTrainerConfig, fleet: SimulatedFleet) -> None:
        self.config = config
        self.report = SimulatedTrainerReport()
        self._fleet = fleet
        self._rng = random.Random(config.seed)
        self._cursor = 0

    async def run(self) -> SimulatedTrainerReport:
        """Train all steps."""
        started_s = now_s()
        settings = RunSettings(MODEL, self.config.max_staleness_versions, 0)
        await self._repeat(lambda node: node.runs.open(self.config.run, OpenRun(settings)))
        for step in range(self.config.num_steps):
            last = min(self.config.num_steps - 1, step + self.config.num_steps_ahead)
            for number in range(step, last + 1):
                await self._execute(SubmitStep(number, self.prompts(number)))
            await self._collect(step)
            await asyncio.sleep(self.config.train_s)
            await self._execute(AnnounceVersion(step + 1))
        self.report.total_s = now_s() - started_s
        return self.report

    def prompts(self, step: int) -> tuple[Prompt, ...]:
        """Return the prompts of a step: the same at every call."""
        return tuple(
            Prompt(
                f"g{group}",
                f"{self.config.run} step {step} group {group} ".ljust(192, "x"),
                self.config.group_size,
                self.config.max_tokens,
            )
            for group in range(self.config.num_groups)
        )

    async def _collect(self, step: int) -> None:
        started_s = now_s()
        while True:
            samples = await self._read(step)
            for handed in samples.samples:
                self._take(handed)
            self._cursor = samples.cursor
            await self._execute(Acknowledge(self._cursor))
            if not samples.num_remaining:
                break
        self.report.step_idle_s.append(now_s() - started_s)

    async def _read(self, step: int) -> Samples:
        request = ReadSamples(
            self.config.run, step, self._cursor, MAX_SAMPLES_PER_READ, POLL_WAIT_S
        )
        return await self._repeat(lambda node: node.runs.read_samples(request))

    def _take(self, handed: HandedOverSample) -> None:
        sample = handed.sample
        self.report.delivered[sample.slot] += 1
        self.report.ages_versions[handed.age_versions] += 1
        self.report.num_tokens += sample.num_tokens
        self.report.num_stale += handed.age_versions > self.config.max_staleness_versions
        is_named = not isinstance(check_spans(sample.spans, sample.num_tokens), Failure)
        self.report.num_incomplete_spans += not is_named

    async def _execute(self, command: LedgerCommand) -> None:
        await self._repeat(lambda node: node.runs.execute(self.config.run, command))

    async def _repeat(
        self, call: Callable[[NodeCore], Awaitable[Result[Answer, Problem]]]
    ) -> Answer:
        """Call any node until one answers; every call is safe to repeat."""
        while True:
            names = list(self._fleet.nodes)
            if names:
                result = await call(self._fleet.nodes[self._rng.choice(names)])
                if not isinstance(result, Failure):
                    return result.unwrap()
                if result.failure().code not in _REPEATED:
                    raise ProblemError(result.failure())
            await asyncio.sleep(RETRY_INTERVAL_S)
