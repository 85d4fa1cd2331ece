"""Drives one run on the node that leads its ledger: starts generations and commits samples.

The coordinator keeps no state that matters. Whoever leads the ledger next sees which slots are open
and starts them again; a sample that both leaders finish is committed once.
"""

import asyncio
import itertools
from dataclasses import dataclass

from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.messages import codec
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.observability.logs import log_fields
from hollowrack.observability.metrics import NodeMetrics
from hollowrack.platform.engine import GenerationRequest
from hollowrack.replication.client import GroupClient
from hollowrack.replication.host import GroupHost
from hollowrack.requests.generation import GenerationPlan, GenerationRunner
from hollowrack.requests.types import GeneratedText
from hollowrack.results import Problem, ResultCode
from hollowrack.rollout.commands import CommitSample, HandOver, LedgerCommand, LedgerOutcome
from hollowrack.rollout.groups import run_group
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.scheduling import Dispatch, LengthHistory, plan_dispatches
from hollowrack.rollout.spans import SpanBuilder
from hollowrack.rollout.trainer_messages import ReadSamples, RunStatus, Samples, StepStatus
from hollowrack.rollout.types import Sample, Slot
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.prefix import prefix_blocks
from hollowrack.routing.types import BackEndKind, BackEndStatus, Priority, RouteRequest

RECONCILE_INTERVAL_S = 0.05
RETRY_PAUSE_S = 0.2
GENERATION_TIMEOUT_S = 600.0
COMMIT_TIMEOUT_S = 10.0
HAND_OVER_TIMEOUT_S = 5.0
MAX_POLL_WAIT_S = 20.0
_POLL_PAUSE_S = 0.02


@dataclass(frozen=True)
class RolloutContext:
    """What a coordinator needs of its node.

    Attributes:
        zone: The node's zone.
        runner: Runs generations.
        fleet: The node's view of the back ends.
        host: Knows which ledgers this node leads.
        groups: Commits to the ledgers.
        decisions: Where decisions are recorded.
        metrics: The node's metrics.
    """

    zone: str
    runner: GenerationRunner
    fleet: FleetView
    host: GroupHost
    groups: GroupClient
    decisions: DecisionLog
    metrics: NodeMetrics


class RunCoordinator:
    """Drives one run while this node leads its ledger.

    Args:
        run: Name of the run.
        ledger: The ledger's state on this node.
        context: The node.
    """

    def __init__(self, run: str, ledger: SampleLedger, context: RolloutContext) -> None:
        self._run = run
        self._ledger = ledger
        self._context = context
        self._history = LengthHistory()
        self._running: dict[Slot, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self.training_room = 1.0

    # -- reconcile loop ---------------------------------------------------------------------

    async def reconcile(self) -> None:
        """Start what is missing; called often while this node leads, and cheap when idle."""
        state = self._ledger.state
        if state.settings is None:
            return
        max_running = self._num_training_slots(state.settings.model)
        for dispatch in plan_dispatches(state, self._running, self._history, max_running):
            task = asyncio.create_task(self._generate(dispatch))
            self._running[dispatch.slot] = task

    async def stop(self) -> None:
        """Cancel all generations; their slots stay open for the next leader."""
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _num_training_slots(self, model: str) -> int:
        return sum(
            int(self.training_room * back_end.num_slots)
            for back_end in self._context.fleet.snapshot(now_s())
            if back_end.kind is BackEndKind.ENGINE
            and back_end.pool == model
            and back_end.status is BackEndStatus.SERVING
        )

    # -- one sample -------------------------------------------------------------------------

    async def _generate(self, dispatch: Dispatch) -> None:
        slot = dispatch.slot
        try:
            with log_fields(run=self._run, step=str(slot.step), sample=str(slot)):
                result = await self._context.runner.run(self._plan(dispatch))
                if isinstance(result, Success):
                    await self._commit(dispatch, result.unwrap())
                else:
                    self._note_failure(dispatch, result.failure())
                    await asyncio.sleep(RETRY_PAUSE_S)
        finally:
            self._running.pop(dispatch.slot, None)

    def _plan(self, dispatch: Dispatch) -> GenerationPlan:
        settings = self._ledger.state.settings
        model = settings.model if settings is not None else ""
        slot = dispatch.slot
        request = GenerationRequest(
            request_id=f"{self._run}/{slot}/{next(self._numbers)}",
            model=model,
            prompt=dispatch.prompt.text,
            max_tokens=dispatch.prompt.max_tokens,
            priority=Priority.TRAINING.value,
            seed=slot.sample_index,
        )
        route = RouteRequest(
            kind=BackEndKind.ENGINE,
            pool=model,
            zone=self._context.zone,
            priority=Priority.TRAINING,
            prefix_blocks=prefix_blocks(dispatch.prompt.text),
            affinity_key=f"{self._run}/{slot.step}/{slot.prompt}",
            min_weight_version=dispatch.min_weight_version,
            training_room=self.training_room,
        )
        return GenerationPlan(
            generation=request,
            route=route,
            deadline_s=now_s() + GENERATION_TIMEOUT_S,
            stop_check=self._stop_if_stale,
        )

    def _stop_if_stale(self, spans: SpanBuilder) -> Problem | None:
        """End a generation whose sample could not be accepted any more."""
        state = self._ledger.state
        if state.settings is None or spans.oldest_version is None:
            return None
        age = state.trainer_version - spans.oldest_version
        if age <= state.settings.max_staleness_versions:
            return None
        return Problem(ResultCode.SAMPLE_STALE, f"{age} versions old while running")

    async def _commit(self, dispatch: Dispatch, generated: GeneratedText) -> None:
        sample = Sample(
            slot=dispatch.slot,
            text=generated.text,
            num_tokens=generated.num_tokens,
            spans=generated.spans,
            finish_reason=generated.finish_reason,
        )
        self._history.note(dispatch.prompt.text, generated.num_tokens)
        outcome = await self._propose(CommitSample(sample), COMMIT_TIMEOUT_S)
        code = outcome.map(lambda found: ResultCode(found.code)).value_or(
            ResultCode.OUTCOME_UNKNOWN
        )
        is_committed = code is ResultCode.OK
        kind = DecisionKind.COMMIT if is_committed else DecisionKind.DISCARD
        self._context.decisions.record(kind, f"{self._run}/{dispatch.slot}", code.name)
        self._context.metrics.samples.labels(outcome=code.name.lower()).inc()
        use = "training" if is_committed else "discarded"
        self._context.metrics.tokens.labels(use=use).inc(generated.num_tokens)
        self._changed.set()

    def _note_failure(self, dispatch: Dispatch, problem: Problem) -> None:
        kind = DecisionKind.DISCARD
        if problem.code is ResultCode.SAMPLE_STALE:
            kind = DecisionKind.STOP_EARLY
        self._context.decisions.record(kind, f"{self._run}/{dispatch.slot}", problem.code.name)
        self._context.metrics.samples.labels(outcome=problem.code.name.lower()).inc()
        logging.info("sample not generated: %d %s", problem.code, problem.code.name)

    async def _propose(
        self, command: LedgerCommand, timeout_s: float
    ) -> Result[LedgerOutcome, Problem]:
        group = run_group(self._run)
        proposed = await self._context.groups.propose(group, codec.encode(command), timeout_s)
        return proposed.bind(codec.decode)

    # -- trainer's reads --------------------------------------------------------------------

    async def read_samples(self, request: ReadSamples) -> Result[Samples, Problem]:
        """Answer a trainer's long poll; every re-read of a cursor gives the same samples.

        Fails with ``CURSOR_INVALID``, ``STEP_UNKNOWN``, or the codes of a proposal.
        """
        problem = self._check_cursor(request)
        if problem is not None:
            # A leader that was just elected, or was replaced without knowing it, may lag behind the
            # trainer. A committed no-op brings it up to date or shows that it does not lead.
            barrier = await self._propose(HandOver(request.step, 0), HAND_OVER_TIMEOUT_S)
            if isinstance(barrier, Failure):
                return barrier
            problem = self._check_cursor(request)
        if problem is not None:
            return Failure(problem)
        deadline_s = now_s() + min(request.wait_s, MAX_POLL_WAIT_S)
        while True:
            if not self._context.host.leads(run_group(self._run)):
                return Failure(Problem(ResultCode.NOT_LEADER, "", self._run))
            samples = self._ledger.handed_over_after(request.cursor, request.max_samples)
            step = self._ledger.state.steps[request.step]
            num_remaining = step.num_slots - step.num_handed_over
            if samples or not num_remaining or now_s() >= deadline_s:
                cursor = samples[-1].cursor if samples else request.cursor
                return Success(Samples(tuple(samples), cursor, num_remaining))
            if step.commit_order:
                handed = await self._hand_over(request)
                if isinstance(handed, Failure):
                    return handed
                continue
            self._changed.clear()
            await self._wait_for_change(deadline_s)

    def _check_cursor(self, request: ReadSamples) -> Problem | None:
        state = self._ledger.state
        if request.step not in state.steps:
            return Problem(ResultCode.STEP_UNKNOWN, f"step {request.step}", "step")
        if request.cursor > state.last_cursor:
            detail = f"{request.cursor} is beyond the last cursor {state.last_cursor}"
            return Problem(ResultCode.CURSOR_INVALID, detail, "cursor")
        if request.cursor < state.acknowledged:
            detail = f"{request.cursor} is before the acknowledged cursor {state.acknowledged}"
            return Problem(ResultCode.CURSOR_INVALID, detail, "cursor")
        return None

    async def _hand_over(self, request: ReadSamples) -> Result[LedgerOutcome, Problem]:
        command = HandOver(request.step, request.max_samples)
        outcome = await self._propose(command, HAND_OVER_TIMEOUT_S)
        num_voided = outcome.map(lambda found: found.num_voided).value_or(0)
        if num_voided:
            subject = f"{self._run}/{request.step}"
            self._context.decisions.record(
                DecisionKind.VOID_STALE, subject, f"{num_voided} samples voided at hand-over"
            )
            logging.info(
                "run %s step %d: %d stale samples voided", self._run, request.step, num_voided
            )
        return outcome

    async def _wait_for_change(self, deadline_s: float) -> None:
        remaining_s = max(0.0, deadline_s - now_s())
        try:
            async with asyncio.timeout(min(remaining_s, 1.0)):
                await self._changed.wait()
        except TimeoutError:
            return
        # Samples often finish in groups; one hand-over serves those that come close together.
        await asyncio.sleep(_POLL_PAUSE_S)

    def status(self, node: str) -> Result[RunStatus, Problem]:
        """Return the run's status; fails with ``UNKNOWN_RUN``."""
        state = self._ledger.state
        if state.settings is None:
            return Failure(Problem(ResultCode.UNKNOWN_RUN, "the run was not opened", self._run))
        whole = [number for number, step in state.steps.items() if step.is_whole]
        shown = {number for number, step in state.steps.items() if not step.is_whole}
        shown.update(whole[-1:])
        steps = tuple(
            StepStatus(
                number,
                state.steps[number].num_slots,
                len(state.steps[number].commit_order),
                state.steps[number].num_handed_over,
            )
            for number in sorted(shown)
        )
        return Success(
            RunStatus(
                self._run,
                node,
                state.settings,
                state.trainer_version,
                state.last_cursor,
                state.acknowledged,
                state.num_voided,
                state.num_duplicates,
                steps,
            )
        )
