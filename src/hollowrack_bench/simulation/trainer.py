"""Trainer of a simulated fleet: calls the run service of random nodes and records idle time."""

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

_RETRIED_CODES = frozenset(
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
        run: Name of the run.
        num_steps: Number of steps.
        num_groups: Prompt groups per step.
        group_size: Samples per group.
        max_tokens: Maximum number of tokens of a sample.
        train_s: Duration of one training step, in seconds.
        max_staleness_versions: Maximum staleness of samples, in weight versions.
        num_steps_ahead: Steps submitted before the current one is complete.
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
        """Number of samples of one step."""
        return self.num_groups * self.group_size


@dataclass
class SimulatedTrainerReport:
    """Results of the trainer.

    Attributes:
        delivered: Number of deliveries of each sample slot.
        ages_versions: Number of samples by staleness at delivery, in weight versions.
        step_idle_s: Time that the trainer waited for each step, in seconds.
        num_incomplete_spans: Samples whose version spans do not cover their tokens.
        num_stale: Samples that exceed the maximum staleness.
        num_tokens: Tokens of the delivered samples.
        total_s: Duration of the run, in seconds.
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
        """Fraction of the run during which the trainer waited for samples."""
        return sum(self.step_idle_s) / self.total_s if self.total_s else 0.0

    @property
    def num_duplicated(self) -> int:
        """Number of sample slots delivered more than once."""
        return sum(1 for count in self.delivered.values() if count > 1)


class SimulatedTrainer:
    """Trains one run on a simulated fleet.

    Args:
        config: Shape of the run.
        fleet: The simulated fleet.
    """

    def __init__(self, config: SimulatedTrainerConfig, fleet: SimulatedFleet) -> None:
        self.config = config
        self.report = SimulatedTrainerReport()
        self._fleet = fleet
        self._rng = random.Random(config.seed)
        self._cursor = 0

    async def run(self) -> SimulatedTrainerReport:
        """Run all steps; returns the results."""
        started_s = now_s()
        settings = RunSettings(MODEL, self.config.max_staleness_versions, 0)
        await self._call_until_answered(
            lambda node: node.runs.open(self.config.run, OpenRun(settings))
        )
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
        """Return the prompts of a step; deterministic."""
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
                self._record_sample(handed)
            self._cursor = samples.cursor
            await self._execute(Acknowledge(self._cursor))
            if not samples.num_remaining:
                break
        self.report.step_idle_s.append(now_s() - started_s)

    async def _read(self, step: int) -> Samples:
        request = ReadSamples(
            self.config.run, step, self._cursor, MAX_SAMPLES_PER_READ, POLL_WAIT_S
        )
        return await self._call_until_answered(lambda node: node.runs.read_samples(request))

    def _record_sample(self, handed: HandedOverSample) -> None:
        sample = handed.sample
        self.report.delivered[sample.slot] += 1
        self.report.ages_versions[handed.age_versions] += 1
        self.report.num_tokens += sample.num_tokens
        self.report.num_stale += handed.age_versions > self.config.max_staleness_versions
        has_valid_spans = not isinstance(check_spans(sample.spans, sample.num_tokens), Failure)
        self.report.num_incomplete_spans += not has_valid_spans

    async def _execute(self, command: LedgerCommand) -> None:
        await self._call_until_answered(lambda node: node.runs.execute(self.config.run, command))

    async def _call_until_answered(
        self, call: Callable[[NodeCore], Awaitable[Result[Answer, Problem]]]
    ) -> Answer:
        """Call random nodes until one succeeds; all calls are idempotent.

        Raises:
            ProblemError: If a call fails with a code that is not retried.
        """
        while True:
            names = list(self._fleet.nodes)
            if names:
                result = await call(self._fleet.nodes[self._rng.choice(names)])
                if not isinstance(result, Failure):
                    return result.unwrap()
                if result.failure().code not in _RETRIED_CODES:
                    raise ProblemError(result.failure())
            await asyncio.sleep(RETRY_INTERVAL_S)
