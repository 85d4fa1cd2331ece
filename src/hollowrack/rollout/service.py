"""The trainers' requests on any node: carried out here or passed to the ledger's leader."""

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
FORWARD_MARGIN_S = 5.0
RECONCILE_INTERVAL_S = 0.02

VersionListener = Callable[[str, str, int], None]


class RunService:
    """All runs as one node sees them.

    Args:
        node: This node.
        links: How to reach other nodes.
        context: What coordinators need.
        training_room: Returns the share of an engine's slots training may take, by model.
        on_version: Called with run, model and trainer's version while this node leads a run.
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
        """Stop coordinating; other nodes take the runs over."""
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

    def receive_report(self, running: RunningSlotsReport) -> None:
        """Take in what a node runs; every member of the ledger does, in case it leads next."""
        if run_group(running.run) in self._host.groups:
            self._running_table(running.run).record_report(running.node, running.slots)

    def _running_table(self, run: str) -> RunningSlotTable:
        return self._running.setdefault(run, RunningSlotTable())

    # -- commands ---------------------------------------------------------------------------

    async def open(self, run: str, command: OpenRun) -> Result[LedgerOutcome, Problem]:
        """Open a run, creating its group if need be."""
        ensured = await self._groups.find_or_create(run_group(run))
        if isinstance(ensured, Failure):
            return ensured
        return await self.execute(run, command)

    async def execute(self, run: str, command: LedgerCommand) -> Result[LedgerOutcome, Problem]:
        """Commit a command; an outcome that is not ``OK`` is returned as a failure."""
        group = run_group(run)
        found = await self._groups.find(group)
        if isinstance(found, Failure):
            return _unknown_run(run, found.failure())
        proposed = await self._groups.propose(group, codec.encode(command), COMMAND_TIMEOUT_S)
        decoded: Result[LedgerOutcome, Problem] = proposed.bind(codec.decode)
        return decoded.bind(lambda outcome: _check_outcome(run, outcome))

    # -- reads ------------------------------------------------------------------------------

    async def read_samples(self, request: ReadSamples) -> Result[Samples, Problem]:
        """Long poll for samples at the ledger's leader; ends early if this node stops."""
        poll = asyncio.create_task(
            self._at_leader(request.run, request, request.wait_s + FORWARD_MARGIN_S)
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
        """Read a run's status at the ledger's leader."""
        return await self._at_leader(request.run, request, FORWARD_MARGIN_S)

    async def _at_leader(
        self, run: str, request: ReadSamples | ReadRunStatus, timeout_s: float
    ) -> Result[Any, Problem]:
        async def ask(node: str) -> Result[Any, Problem]:
            if node != self._node:
                return await self._links.request(node, request, timeout_s)
            return await result_of(self.answer(request))

        result = await self._groups.call_leader(run_group(run), ask, FIND_LEADER_TIMEOUT_S)
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
            raise ProblemError(Problem(ResultCode.NOT_LEADER, "", request.run))
        if isinstance(request, ReadSamples):
            return value_or_raise(await coordinator.read_samples(request))
        return value_or_raise(coordinator.status())


def _unknown_run(run: str, problem: Problem) -> Failure[Problem]:
    if problem.code is ResultCode.GROUP_UNKNOWN:
        return Failure(Problem(ResultCode.UNKNOWN_RUN, "the run was never opened", run))
    return Failure(problem)


def _check_outcome(run: str, outcome: LedgerOutcome) -> Result[LedgerOutcome, Problem]:
    if outcome.code == ResultCode.OK:
        return Success(outcome)
    return Failure(Problem(ResultCode(outcome.code), outcome.detail, run))
