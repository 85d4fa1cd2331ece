"""Run service: handles trainers' requests, locally or by forwarding to the ledger's leader."""

import asyncio
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from hollowrack.messages import codec
from hollowrack.replication.links import NodeLinks
from hollowrack.results import Problem, ProblemError, ResultCode, result_of, value_or_raise
from hollowrack.rollout.commands import LedgerCommand, LedgerOutcome, OpenRun
from hollowrack.rollout.coordinator import RolloutContext, RunCoordinator, RunningSlotTable
from hollowrack.rollout.executor import RunningSlotsReport
from hollowrack.rollout.groups import RUN_GROUP_PREFIX, run_group
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.trainer_messages import ReadRunStatus, ReadSamples, RunStatus, Samples
from hollowrack.tasks import cancel_all

COMMAND_TIMEOUT_S = 10.0
FIND_LEADER_TIMEOUT_S = 3.0
FORWARD_TIMEOUT_S = 5.0
RECONCILE_INTERVAL_S = 0.02

VersionListener = Callable[[str, str, int], None]


class RunService:
    """Handles trainers' requests and runs the coordinators of the runs that this node leads.

    Args:
        node: Name of this node.
        links: Forwards requests to other nodes.
        context: Components of the node that coordinators use.
        training_room: Returns the fraction of an engine's slots that training may use, by model.
        on_version: Called with run, model and trainer's version in every reconciliation of a run
            that this node leads.

    Attributes:
        is_stopping: Set when the node stops; ends the long polls in progress.
    """

    def __init__(
        self,
        node: str,
        links: NodeLinks,
        context: RolloutContext,
        training_room: Callable[[str], float],
        on_version: VersionListener,
    ) -> None:
        self._node = node
        self._links = links
        self._context = context
        self._host = context.host
        self._groups = context.groups
        self._training_room = training_room
        self._on_version = on_version
        self._coordinators: dict[str, RunCoordinator] = {}
        self._running: dict[str, RunningSlotTable] = {}
        self._task: asyncio.Task[None] | None = None
        self.is_stopping = asyncio.Event()

    def start(self) -> None:
        """Start the reconcile loop."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the coordinators; the next leaders take over the runs."""
        await cancel_all(self._task)
        self._coordinators = {}

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            for group, hosted in list(self._host.groups.items()):
                if isinstance(hosted.state_machine, SampleLedger):
                    self._reconcile(group, hosted.state_machine)

    def _reconcile(self, group: str, ledger: SampleLedger) -> None:
        run = group.removeprefix(RUN_GROUP_PREFIX)
        coordinator = self._coordinators.get(run)
        if not self._host.leads(group):
            if coordinator is not None:
                del self._coordinators[run]
            return
        if coordinator is None:
            coordinator = RunCoordinator(run, ledger, self._running_table(run), self._context)
            self._coordinators[run] = coordinator
        settings = ledger.state.settings
        if settings is not None:
            coordinator.training_room = self._training_room(settings.model)
            self._on_version(run, settings.model, ledger.state.trainer_version)
        coordinator.reconcile()

    def receive_report(self, report: RunningSlotsReport) -> None:
        """Record a report if this node is in the ledger's group and so may become its leader."""
        if run_group(report.run) in self._host.groups:
            self._running_table(report.run).record_report(report.node, report.slots)

    def _running_table(self, run: str) -> RunningSlotTable:
        return self._running.setdefault(run, RunningSlotTable())

    # -- commands ---------------------------------------------------------------------------

    async def open(self, run: str, command: OpenRun) -> Result[LedgerOutcome, Problem]:
        """Open a run and create its replicated group if it does not exist."""
        created = await self._groups.find_or_create(run_group(run))
        if isinstance(created, Failure):
            return created
        return await self.execute(run, command)

    async def execute(self, run: str, command: LedgerCommand) -> Result[LedgerOutcome, Problem]:
        """Commit a command; an outcome other than ``OK`` is returned as a failure."""
        group = run_group(run)
        found = await self._groups.find(group)
        if isinstance(found, Failure):
            return _unknown_run(run, found.failure())
        proposed = await self._groups.propose(group, codec.encode(command), COMMAND_TIMEOUT_S)
        decoded: Result[LedgerOutcome, Problem] = proposed.bind(codec.decode)
        return decoded.bind(lambda outcome: _check_outcome(run, outcome))

    # -- reads ------------------------------------------------------------------------------

    async def read_samples(self, request: ReadSamples) -> Result[Samples, Problem]:
        """Long poll for samples at the ledger's leader; ``STOPPING`` once this node stops."""
        poll = asyncio.create_task(
            self._at_leader(request.run, request, request.wait_s + FORWARD_TIMEOUT_S)
        )
        stopping = asyncio.create_task(self.is_stopping.wait())
        try:
            await asyncio.wait({poll, stopping}, return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                return poll.result()
        finally:
            poll.cancel()
            stopping.cancel()
        return Failure(Problem(ResultCode.STOPPING, "this node is stopping", request.run, 0.0))

    async def read_status(self, request: ReadRunStatus) -> Result[RunStatus, Problem]:
        """Read the status of a run from the ledger's leader."""
        return await self._at_leader(request.run, request, FORWARD_TIMEOUT_S)

    async def _at_leader(
        self, run: str, request: ReadSamples | ReadRunStatus, timeout_s: float
    ) -> Result[Any, Problem]:
        async def read_at(node: str) -> Result[Any, Problem]:
            if node != self._node:
                return await self._links.request(node, request, timeout_s)
            return await result_of(self.answer(request))

        result = await self._groups.call_leader(run_group(run), read_at, FIND_LEADER_TIMEOUT_S)
        if isinstance(result, Failure):
            return _unknown_run(run, result.failure())
        return result

    async def answer(self, request: ReadSamples | ReadRunStatus) -> Samples | RunStatus:
        """Answer a read on this node, which must lead the run's ledger.

        Raises:
            ProblemError: ``NOT_LEADER``, or the codes of the read.
        """
        coordinator = self._coordinators.get(request.run)
        if coordinator is None or not self._host.leads(run_group(request.run)):
            # The detail of NOT_LEADER is the leader's node; empty because it is unknown here.
            raise ProblemError(Problem(ResultCode.NOT_LEADER, "", request.run))
        if isinstance(request, ReadSamples):
            return value_or_raise(await coordinator.read_samples(request))
        return value_or_raise(coordinator.status())


def _unknown_run(run: str, problem: Problem) -> Failure[Problem]:
    if problem.code is ResultCode.GROUP_UNKNOWN:
        return Failure(Problem(ResultCode.UNKNOWN_RUN, "the run has not been opened", run))
    return Failure(problem)


def _check_outcome(run: str, outcome: LedgerOutcome) -> Result[LedgerOutcome, Problem]:
    if outcome.code == ResultCode.OK:
        return Success(outcome)
    return Failure(Problem(ResultCode(outcome.code), outcome.detail, run))
