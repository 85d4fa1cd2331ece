"""Workers that start again under their identities, as those who give them orders see them."""

import asyncio
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.weights.version_reconciler import OrderOutcome, VersionOrder, WorkerReport

MODEL = "m"
LOAD_S = 0.5
ANSWER_S = 0.002


@dataclass
class TrueLife:
    """What one life of a worker holds."""

    life: WorkerIncarnation
    version: int
    num_orders: int = 0
    is_busy: bool = False

    def entry(self) -> Worker:
        """Return its entry as it would be written now."""
        versions = {MODEL: self.version}
        name, started_ms = self.life.worker_id, self.life.started_ms
        return Worker(name, "svc", "127.0.0.1:1", "z", 8, False, versions, started_ms)


@dataclass(frozen=True)
class TakenOrder:
    """An order that some life took."""

    taken_by: WorkerIncarnation
    version: int
    at_s: float


@dataclass
class RestartingWorkers:
    """Takes reports and orders by identity, as a network would bring them to the life that runs.

    Attributes:
        running: The life of each identity that runs.
        lives: All lives that ever ran.
        entries: All entries that were ever written, in order.
        late_answers_s: How late the next answers to orders are, in seconds.
        late_orders_s: How late the next orders arrive, in seconds; they are not answered.
        is_silent: Whether no report is answered.
        tells_starts: Whether reports tell when their life started.
        taken: Orders that were taken.
        given: Lives that orders were given to, in order.
        answered_by_later: Lives whose orders a later life answered, as only identities are sent.
    """

    running: dict[str, TrueLife] = field(default_factory=dict)
    lives: dict[WorkerIncarnation, TrueLife] = field(default_factory=dict)
    entries: list[Worker] = field(default_factory=list)
    late_answers_s: list[float] = field(default_factory=list)
    late_orders_s: list[float] = field(default_factory=list)
    is_silent: bool = False
    tells_starts: bool = True
    taken: list[TakenOrder] = field(default_factory=list)
    given: list[WorkerIncarnation] = field(default_factory=list)
    answered_by_later: set[WorkerIncarnation] = field(default_factory=set)

    def start(self, name: str, version: int) -> Worker:
        """Start a worker, or start it again; returns its first entry."""
        before = self.running.get(name)
        started_ms = 1000 if before is None else before.life.started_ms + 1000
        life = WorkerIncarnation(name, started_ms)
        self.running[name] = self.lives[life] = TrueLife(life, version)
        return self.write_entry(name)

    def write_entry(self, name: str) -> Worker:
        """Write the entry of the life that runs."""
        self.entries.append(self.running[name].entry())
        return self.entries[-1]

    async def report(self, worker: Worker) -> WorkerReport | None:
        """Read the report of the life that runs."""
        await asyncio.sleep(ANSWER_S)
        if self.is_silent:
            return None
        true = self.running[worker.id]
        versions = {MODEL: true.version}
        started_ms = true.life.started_ms if self.tells_starts else 0
        return WorkerReport(true.num_orders, true.is_busy, versions, started_ms)

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        """Give an order to the life that runs, now or late."""
        self.given.append(order.move.worker.incarnation)
        await asyncio.sleep(ANSWER_S)
        if self.late_orders_s:
            delay_s = self.late_orders_s.pop()
            asyncio.get_running_loop().call_later(delay_s, self._take, order)
            await asyncio.sleep(delay_s)
            return OrderOutcome.UNKNOWN
        outcome = self._take(order)
        if self.late_answers_s:
            await asyncio.sleep(self.late_answers_s.pop())
        return outcome

    def _take(self, order: VersionOrder) -> OrderOutcome:
        true = self.running[order.move.worker.id]
        if true.life != order.move.worker.incarnation:
            self.answered_by_later.add(order.move.worker.incarnation)
        if true.is_busy or order.num_orders != true.num_orders:
            return OrderOutcome.REFUSED
        if true.version >= order.move.version:
            return OrderOutcome.ALREADY_LOADED
        true.num_orders += 1
        true.is_busy = True
        self.taken.append(TakenOrder(true.life, order.move.version, now_s()))
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, true, order.move.version)
        return OrderOutcome.ACCEPTED

    def _loaded(self, true: TrueLife, version: int) -> None:
        true.version = version
        true.is_busy = False
