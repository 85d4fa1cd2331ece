"""Simulated workers that restart under the same identifiers, as seen by the sender of orders."""

import asyncio
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.weights.version_reconciler import OrderOutcome, VersionOrder, WorkerReport

MODEL = "m"
LOAD_S = 0.5
ANSWER_S = 0.002


@dataclass
class IncarnationState:
    """State of one incarnation of a worker."""

    incarnation: WorkerIncarnation
    version: int
    num_orders: int = 0
    is_busy: bool = False

    def entry(self) -> Worker:
        """Return the entry that the worker would write now."""
        versions = {MODEL: self.version}
        name, started_ms = self.incarnation.worker_id, self.incarnation.started_ms
        return Worker(name, "svc", "127.0.0.1:1", "z", 8, False, versions, started_ms)


@dataclass(frozen=True)
class AcceptedOrder:
    """An order that an incarnation accepted."""

    accepted_by: WorkerIncarnation
    version: int
    at_s: float


@dataclass
class RestartingWorkers:
    """Delivers requests by worker identifier, as a network would, to the running incarnation.

    Attributes:
        running: The running incarnation by worker identifier.
        incarnations: All incarnations so far.
        entries: All entries written so far, in order.
        answer_delays_s: Delays of the next answers to orders, in seconds.
        order_delays_s: Delays of the next orders, in seconds; these are not answered.
        is_silent: Whether requests for reports are not answered.
        reports_start: Whether reports contain the start of their incarnation.
        accepted: Orders that were accepted.
        ordered: Incarnations that orders were meant for, in order.
        answered_by_successor: Incarnations whose orders reached a later one.
    """

    running: dict[str, IncarnationState] = field(default_factory=dict)
    incarnations: dict[WorkerIncarnation, IncarnationState] = field(default_factory=dict)
    entries: list[Worker] = field(default_factory=list)
    answer_delays_s: list[float] = field(default_factory=list)
    order_delays_s: list[float] = field(default_factory=list)
    is_silent: bool = False
    reports_start: bool = True
    accepted: list[AcceptedOrder] = field(default_factory=list)
    ordered: list[WorkerIncarnation] = field(default_factory=list)
    answered_by_successor: set[WorkerIncarnation] = field(default_factory=set)

    def start(self, name: str, version: int) -> Worker:
        """Start or restart a worker; returns its first entry."""
        previous = self.running.get(name)
        started_ms = 1000 if previous is None else previous.incarnation.started_ms + 1000
        incarnation = WorkerIncarnation(name, started_ms)
        self.running[name] = self.incarnations[incarnation] = IncarnationState(incarnation, version)
        return self.write_entry(name)

    def write_entry(self, name: str) -> Worker:
        """Write the entry of the running incarnation."""
        self.entries.append(self.running[name].entry())
        return self.entries[-1]

    async def report(self, worker: Worker) -> WorkerReport | None:
        """Read the report of the running incarnation."""
        await asyncio.sleep(ANSWER_S)
        if self.is_silent:
            return None
        state = self.running[worker.id]
        versions = {MODEL: state.version}
        started_ms = state.incarnation.started_ms if self.reports_start else 0
        return WorkerReport(state.num_orders, state.is_busy, versions, started_ms)

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        """Deliver an order to the running incarnation, now or after a delay."""
        self.ordered.append(order.load.worker.incarnation)
        await asyncio.sleep(ANSWER_S)
        if self.order_delays_s:
            delay_s = self.order_delays_s.pop()
            asyncio.get_running_loop().call_later(delay_s, self._accept, order)
            await asyncio.sleep(delay_s)
            return OrderOutcome.UNKNOWN
        outcome = self._accept(order)
        if self.answer_delays_s:
            await asyncio.sleep(self.answer_delays_s.pop())
        return outcome

    def _accept(self, order: VersionOrder) -> OrderOutcome:
        state = self.running[order.load.worker.id]
        if state.incarnation != order.load.worker.incarnation:
            self.answered_by_successor.add(order.load.worker.incarnation)
        if state.is_busy or order.num_orders != state.num_orders:
            return OrderOutcome.REFUSED
        if state.version >= order.load.version:
            return OrderOutcome.ALREADY_LOADED
        state.num_orders += 1
        state.is_busy = True
        self.accepted.append(AcceptedOrder(state.incarnation, order.load.version, now_s()))
        asyncio.get_running_loop().call_later(LOAD_S, self._finish_load, state, order.load.version)
        return OrderOutcome.ACCEPTED

    def _finish_load(self, state: IncarnationState, version: int) -> None:
        state.version = version
        state.is_busy = False
