"""Run coordinator: assigns generations and hands samples over, on the leader of a run's ledger.

The coordinator has no durable state. Open sample slots are in the ledger; running slots are
reported periodically by the executors. A new leader waits for the first reports and starts only the
slots that no executor runs.
"""

import asyncio
from dataclasses import dataclass, field

from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.messages import codec
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.replication.client import GroupClient
from hollowrack.replication.host import GroupHost
from hollowrack.replication.links import NodeLinks
from hollowrack.results import Problem, ResultCode
from hollowrack.rollout.commands import HandOver, LedgerOutcome
from hollowrack.rollout.executor import REPORT_INTERVAL_S, Assignment, RolloutExecutor
from hollowrack.rollout.groups import run_group
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.scheduling import Dispatch, plan_dispatches
from hollowrack.rollout.trainer_messages import ReadSamples, RunStatus, Samples, StepStatus
from hollowrack.rollout.types import RunSettings, SampleSlot
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.types import BackEndKind, BackEndStatus

HAND_OVER_TIMEOUT_S = 5.0
MAX_POLL_WAIT_S = 20.0
_HAND_OVER_POLL_INTERVAL_S = 0.02
# An unreported slot is assigned again after this time.
RUNNING_SLOT_TTL_S = 4 * REPORT_INTERVAL_S
# A report received sooner after an assignment may predate its arrival at the executor.
ASSIGNMENT_GRACE_S = 0.2
# Every live executor reports to a new leader within this time.
FIRST_REPORTS_TIMEOUT_S = 1.5 * REPORT_INTERVAL_S


@dataclass(frozen=True)
class RolloutContext:
    """Components of the node that its coordinators use.

    Attributes:
        node: Name of the node.
        fleet: The node's view of the back ends.
        host: Hosts the replicas of the ledgers on this node.
        groups: Proposes commands to the ledgers.
        links: Sends assignments to executors on other nodes.
        executor: Executor of this node.
        decisions: Log of the decisions.
    """

    node: str
    fleet: FleetView
    host: GroupHost
    groups: GroupClient
    links: NodeLinks
    executor: RolloutExecutor
    decisions: DecisionLog


@dataclass
class _RunningSlot:
    """A sample slot that an executor runs.

    Attributes:
        node: Node of the executor.
        received_s: Time of the last report, or of the assignment if there is none, in seconds.
    """

    node: str
    received_s: float


@dataclass
class RunningSlotTable:
    """Running sample slots of one run, from the reports of the executors.

    Attributes:
        slots: Executor and time of the assignment or the last report, by sample slot.
    """

    slots: dict[SampleSlot, _RunningSlot] = field(default_factory=dict)

    def record_report(self, node: str, reported: tuple[SampleSlot, ...]) -> None:
        """Record which slots a node runs; removes its other slots after the grace period."""
        reported_set = set(reported)
        for slot in reported:
            self.slots[slot] = _RunningSlot(node, now_s())
        for slot, entry in list(self.slots.items()):
            is_past_grace = now_s() - entry.received_s >= ASSIGNMENT_GRACE_S
            if entry.node == node and slot not in reported_set and is_past_grace:
                del self.slots[slot]

    def remove_expired(self) -> None:
        """Remove slots that have not been reported for ``RUNNING_SLOT_TTL_S``."""
        for slot, entry in list(self.slots.items()):
            if now_s() - entry.received_s >= RUNNING_SLOT_TTL_S:
                del self.slots[slot]


class RunCoordinator:
    """Drives one run while this node leads its ledger.

    Args:
        run: Name of the run.
        ledger: Local replica of the run's ledger.
        running: Running slots of the run; maintained by every member of the ledger's group.
        context: Components of the node.

    Attributes:
        training_room: Fraction of an engine's slots that training may use.
    """

    def __init__(
        self, run: str, ledger: SampleLedger, running: RunningSlotTable, context: RolloutContext
    ) -> None:
        self.training_room = 1.0
        self._run = run
        self._ledger = ledger
        self._running = running
        self._context = context
        self._leader_since_s = now_s()
        self._next_executor = 0

    # -- reconcile loop ---------------------------------------------------------------------

    def reconcile(self) -> None:
        """Assign open slots that are not running, within the training capacity."""
        state = self._ledger.state
        self._running.remove_expired()
        if state.settings is None or self._awaits_first_reports():
            return
        running_slots = {slot for slot in self._running.slots if self._ledger.is_open(slot)}
        max_running = self._num_training_slots(state.settings.model)
        history = self._ledger.history
        for dispatch in plan_dispatches(state, running_slots, history, max_running):
            self._assign(dispatch, state.settings)

    def _awaits_first_reports(self) -> bool:
        """Whether generations of earlier leaders may be running without having been reported."""
        has_history = self._ledger.history.num_recorded > 0
        return has_history and now_s() - self._leader_since_s < FIRST_REPORTS_TIMEOUT_S

    def _assign(self, dispatch: Dispatch, settings: RunSettings) -> None:
        assignment = Assignment(
            run=self._run,
            model=settings.model,
            slot=dispatch.slot,
            prompt=dispatch.prompt,
            min_weight_version=dispatch.min_weight_version,
            max_staleness_versions=settings.max_staleness_versions,
            training_room=self.training_room,
        )
        node = self._choose_executor()
        self._running.slots[dispatch.slot] = _RunningSlot(node, now_s())
        if node == self._context.node:
            self._context.executor.assign(assignment)
        else:
            self._context.links.post(node, assignment)

    def _choose_executor(self) -> str:
        """Choose the executor among the live nodes, round robin."""
        links = self._context.links
        nodes = [node for node in links.candidates(self._run) if links.is_reachable(node)]
        if not nodes:
            return self._context.node
        self._next_executor += 1
        return nodes[self._next_executor % len(nodes)]

    def _num_training_slots(self, model: str) -> int:
        return sum(
            int(self.training_room * back_end.num_slots)
            for back_end in self._context.fleet.snapshot(now_s(), model)
            if back_end.kind is BackEndKind.ENGINE and back_end.status is BackEndStatus.SERVING
        )

    async def _hand_over(self, request: ReadSamples, max_samples: int) -> Result[None, Problem]:
        command = codec.encode(HandOver(request.step, max_samples))
        proposed = await self._context.groups.propose(
            run_group(self._run), command, HAND_OVER_TIMEOUT_S
        )
        outcome: Result[LedgerOutcome, Problem] = proposed.bind(codec.decode)
        num_voided = outcome.map(lambda found: found.num_voided).value_or(0)
        if num_voided:
            subject = f"{self._run}/{request.step}"
            detail = f"{num_voided} samples voided at hand-over"
            self._context.decisions.record(DecisionKind.VOID_STALE, subject, detail)
            logging.info("run %s step %d: %s", self._run, request.step, detail)
        return outcome.map(lambda _: None)

    # -- reads ------------------------------------------------------------------------------

    async def read_samples(self, request: ReadSamples) -> Result[Samples, Problem]:
        """Answer a trainer's long poll; repeated reads of a cursor return the same samples.

        Fails with ``CURSOR_INVALID``, ``STEP_UNKNOWN``, or the codes of a proposal.
        """
        problem = self._check_cursor(request)
        if problem is not None:
            # A leader that was just elected, or does not know that it was replaced, may lag behind.
            # Committing a no-op brings it up to date, or fails if it is not the leader.
            no_op = await self._hand_over(request, max_samples=0)
            if isinstance(no_op, Failure):
                return Failure(no_op.failure())
            problem = self._check_cursor(request)
        if problem is not None:
            return Failure(problem)
        deadline_s = now_s() + min(request.wait_s, MAX_POLL_WAIT_S)
        while True:
            if not self._context.host.leads(run_group(self._run)):
                # The detail of NOT_LEADER is the leader's node; empty because it is unknown here.
                return Failure(Problem(ResultCode.NOT_LEADER, "", self._run))
            samples = self._ledger.handed_over_after(request.cursor, request.max_samples)
            step = self._ledger.state.steps[request.step]
            num_remaining = step.num_slots - step.num_handed_over
            if samples or not num_remaining or now_s() >= deadline_s:
                cursor = samples[-1].cursor if samples else request.cursor
                return Success(Samples(tuple(samples), cursor, num_remaining))
            if step.commit_order:
                hand_over = await self._hand_over(request, request.max_samples)
                if isinstance(hand_over, Failure):
                    return Failure(hand_over.failure())
                continue
            # Batches samples that are committed within a short time into one hand-over.
            await asyncio.sleep(_HAND_OVER_POLL_INTERVAL_S)

    def _check_cursor(self, request: ReadSamples) -> Problem | None:
        state = self._ledger.state
        if request.step not in state.steps:
            return Problem(ResultCode.STEP_UNKNOWN, f"step {request.step}", "step")
        if request.cursor > state.last_cursor:
            detail = f"cursor {request.cursor} is beyond the last cursor {state.last_cursor}"
            return Problem(ResultCode.CURSOR_INVALID, detail, "cursor")
        if request.cursor < state.acknowledged:
            detail = (
                f"cursor {request.cursor} is before the acknowledged cursor {state.acknowledged}"
            )
            return Problem(ResultCode.CURSOR_INVALID, detail, "cursor")
        return None

    def status(self) -> Result[RunStatus, Problem]:
        """Return the run's status; fails with ``UNKNOWN_RUN``."""
        state = self._ledger.state
        if state.settings is None:
            return Failure(
                Problem(ResultCode.UNKNOWN_RUN, "the run has not been opened", self._run)
            )
        return Success(
            RunStatus(
                self._run,
                self._context.node,
                state.settings,
                state.trainer_version,
                state.last_cursor,
                state.acknowledged,
                state.num_voided,
                state.num_duplicates,
                self._step_statuses(),
            )
        )

    def _step_statuses(self) -> tuple[StepStatus, ...]:
        """Return the status of the incomplete steps and of the last complete one."""
        steps = self._ledger.state.steps
        complete = [number for number, step in steps.items() if step.is_complete]
        numbers = {number for number, step in steps.items() if not step.is_complete}
        numbers.update(complete[-1:])
        return tuple(
            StepStatus(
                number,
                steps[number].num_slots,
                len(steps[number].commit_order),
                steps[number].num_handed_over,
            )
            for number in sorted(numbers)
        )
