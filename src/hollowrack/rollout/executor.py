"""Rollout executor: runs the generations assigned to this node and commits their samples.

Generations continue across changes of the ledger's leader; their samples are committed through the
new leader. Every node periodically reports its running slots, so that a new leader does not start
them again. Slots that are no longer reported are assigned again.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from returns.result import Result, Success

from hollowrack.clients.engine import GenerationRequest
from hollowrack.clock import now_s
from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.observability.logs import log_fields
from hollowrack.observability.metrics import NodeMetrics
from hollowrack.replication.client import GroupClient
from hollowrack.replication.links import NodeLinks
from hollowrack.replication.types import node_of
from hollowrack.requests.generation import GenerationPlan, GenerationRunner
from hollowrack.requests.types import GeneratedText
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack.rollout.commands import CommitSample, LedgerOutcome
from hollowrack.rollout.groups import run_group
from hollowrack.rollout.spans import SpanBuilder
from hollowrack.rollout.types import Prompt, Sample, SampleSlot
from hollowrack.routing.prefix_index import prefix_blocks
from hollowrack.routing.types import BackEndKind, Priority, RouteRequest
from hollowrack.tasks import cancel_all

REPORT_INTERVAL_S = 0.5
MIN_REPORT_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.1
MAX_CAPACITY_RETRIES = 100
GENERATION_TIMEOUT_S = 600.0
COMMIT_TIMEOUT_S = 10.0
MAX_COMMIT_ATTEMPTS = 30


@message("rollout.assignment")
@dataclass(frozen=True)
class Assignment:
    """A coordinator's request to generate one sample.

    Attributes:
        run: Name of the run.
        model: Model of the run.
        slot: Sample slot to fill.
        prompt: Prompt of the slot.
        min_weight_version: Lowest weight version that an engine may start with.
        max_staleness_versions: Staleness bound of the run, in weight versions.
        training_room: Fraction of an engine's slots that training may use.
    """

    run: str
    model: str
    slot: SampleSlot
    prompt: Prompt
    min_weight_version: int
    max_staleness_versions: int
    training_room: float


@message("rollout.running")
@dataclass(frozen=True)
class RunningSlotsReport:
    """Report of the sample slots of one run that a node runs, sent to the ledger's members."""

    run: str
    node: str
    slots: tuple[SampleSlot, ...]


@dataclass(frozen=True)
class ExecutorContext:
    """Components of the node that its executor uses.

    Attributes:
        node: Name of the node.
        zone: Zone of the node.
        runner: Runs generations on engines.
        groups: Proposes commands to the ledgers.
        links: Sends reports to the ledgers' members.
        decisions: Log of the decisions.
        metrics: Metrics of the node.
        trainer_version: Returns the last announced weight version of a run, known by gossip.
        on_local_report: Called with a report if this node is a member of the ledger's group.
    """

    node: str
    zone: str
    runner: GenerationRunner
    groups: GroupClient
    links: NodeLinks
    decisions: DecisionLog
    metrics: NodeMetrics
    trainer_version: Callable[[str], int]
    on_local_report: Callable[[RunningSlotsReport], None]


class RolloutExecutor:
    """Runs the training generations of one node and reports them.

    Args:
        context: Components of the node.
    """

    def __init__(self, context: ExecutorContext) -> None:
        self._context = context
        self._running: dict[tuple[str, SampleSlot], asyncio.Task[None]] = {}
        self._attempt_numbers = itertools.count(1)
        self._generation_ended = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic reports."""
        self._task = asyncio.create_task(self._run_reporting())

    async def stop(self) -> None:
        """Cancel all generations; their slots stay open and are assigned to other nodes."""
        tasks = [*self._running.values(), *([self._task] if self._task is not None else [])]
        await cancel_all(*tasks)

    def assign(self, assignment: Assignment) -> None:
        """Start a generation unless the slot is already running on this node."""
        key = (assignment.run, assignment.slot)
        if key not in self._running:
            self._running[key] = asyncio.create_task(self._execute(assignment))

    async def _execute(self, assignment: Assignment) -> None:
        slot = assignment.slot
        try:
            with log_fields(run=assignment.run, step=str(slot.step), sample=str(slot)):
                result = await self._generate(assignment)
                if isinstance(result, Success):
                    await self._commit(assignment, result.unwrap())
                else:
                    self._record_failure(assignment, result.failure())
        finally:
            self._running.pop((assignment.run, slot), None)
            self._generation_ended.set()

    async def _generate(self, assignment: Assignment) -> Result[GeneratedText, Problem]:
        """Generate a sample, with retries while no engine has a free slot."""
        result = await self._context.runner.run(self._plan(assignment))
        for _ in range(MAX_CAPACITY_RETRIES):
            if isinstance(result, Success) or not _is_not_run(result.failure()):
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
            result = await self._context.runner.run(self._plan(assignment))
        return result

    def _plan(self, assignment: Assignment) -> GenerationPlan:
        slot = assignment.slot
        request_id = f"{assignment.run}/{slot}/{self._context.node}.{next(self._attempt_numbers)}"

        def stop_if_stale(spans: SpanBuilder) -> Problem | None:
            return self._check_staleness(assignment, spans)

        return GenerationPlan(
            generation=GenerationRequest(
                request_id=request_id,
                model=assignment.model,
                prompt=assignment.prompt.text,
                max_tokens=assignment.prompt.max_tokens,
                priority=Priority.TRAINING.value,
                seed=slot.sample_index,
            ),
            route=RouteRequest(
                kind=BackEndKind.ENGINE,
                pool=assignment.model,
                zone=self._context.zone,
                priority=Priority.TRAINING,
                prefix_blocks=prefix_blocks(assignment.prompt.text),
                affinity_key=f"{assignment.run}/{slot.step}/{slot.prompt}",
                min_weight_version=assignment.min_weight_version,
                training_room=assignment.training_room,
            ),
            deadline_s=now_s() + GENERATION_TIMEOUT_S,
            stop_check=stop_if_stale,
        )

    def _check_staleness(self, assignment: Assignment, spans: SpanBuilder) -> Problem | None:
        """Return ``SAMPLE_STALE`` once the sample is over the staleness bound."""
        if spans.oldest_version is None:
            return None
        age = self._context.trainer_version(assignment.run) - spans.oldest_version
        if age <= assignment.max_staleness_versions:
            return None
        return Problem(
            ResultCode.SAMPLE_STALE,
            f"{age} weight versions old during generation, above the run's staleness bound",
        )

    async def _commit(self, assignment: Assignment, generated: GeneratedText) -> None:
        sample = Sample(
            slot=assignment.slot,
            text=generated.text,
            num_tokens=generated.num_tokens,
            spans=generated.spans,
            finish_reason=generated.finish_reason,
        )
        code = await self._propose(assignment.run, CommitSample(sample))
        is_committed = code is ResultCode.OK
        kind = DecisionKind.COMMIT if is_committed else DecisionKind.DISCARD
        self._context.decisions.record(kind, f"{assignment.run}/{assignment.slot}", code.name)
        self._context.metrics.samples.labels(outcome=code.name.lower()).inc()
        use = "training" if is_committed else "discarded"
        self._context.metrics.tokens.labels(use=use).inc(generated.num_tokens)

    async def _propose(self, run: str, command: CommitSample) -> ResultCode:
        """Propose a commit, with retries through changes of leader; returns the result code."""
        data = codec.encode(command)
        code = ResultCode.OUTCOME_UNKNOWN
        for _ in range(MAX_COMMIT_ATTEMPTS):
            proposed = await self._context.groups.propose(run_group(run), data, COMMIT_TIMEOUT_S)
            decoded: Result[LedgerOutcome, Problem] = proposed.bind(codec.decode)
            if isinstance(decoded, Success):
                return ResultCode(decoded.unwrap().code)
            code = decoded.failure().code
            await asyncio.sleep(RETRY_INTERVAL_S)
        return code

    def _record_failure(self, assignment: Assignment, problem: Problem) -> None:
        kind = DecisionKind.DISCARD
        if problem.code is ResultCode.SAMPLE_STALE:
            kind = DecisionKind.STOP_EARLY
        subject = f"{assignment.run}/{assignment.slot}"
        self._context.decisions.record(kind, subject, problem.code.name)
        self._context.metrics.samples.labels(outcome=problem.code.name.lower()).inc()
        logging.info("sample not generated: %d %s", problem.code, problem.code.name)

    async def _run_reporting(self) -> None:
        runs: set[str] = set()
        while True:
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPORT_INTERVAL_S - MIN_REPORT_INTERVAL_S):
                    await self._generation_ended.wait()
            self._generation_ended.clear()
            # A run whose last generation ended is reported once more, without slots.
            by_run: dict[str, list[SampleSlot]] = {run: [] for run in runs}
            for run, slot in self._running:
                by_run.setdefault(run, []).append(slot)
            runs = {run for run, _ in self._running}
            for run, slots in by_run.items():
                await self._send_report(RunningSlotsReport(run, self._context.node, tuple(slots)))

    async def _send_report(self, report: RunningSlotsReport) -> None:
        found = (await self._context.groups.find(run_group(report.run))).value_or(None)
        if found is None:
            return
        for member in found.members:
            if node_of(member) == self._context.node:
                self._context.on_local_report(report)
            else:
                self._context.links.post(node_of(member), report)


def _is_not_run(problem: Problem) -> bool:
    return DESCRIPTIONS[problem.code].execution is Execution.NOT_RUN
