"""Gives workers the orders that move them onto named versions, while this node leads.

Every order names the worker and the number of orders it has taken, as read just before. So an
order that arrives late, after a newer one, does nothing. A worker that starts again counts its
orders anew and may take one that was meant for its life before: that counts for nothing here, and
the new life is ordered by what it reports itself.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Protocol

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.forwarding.types import Service, Worker, WorkerIncarnation
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.tasks import cancel_all
from hollowrack.weights.plan import (
    VersionMove,
    max_concurrent_loads,
    next_moves,
    plan_loads,
)

POLL_INTERVAL_S = 0.1
LOAD_DELAY_S = 0.8
# Reports are read again and again from shortly before a load should be over.
FIRST_LOAD_TIME_S = 0.9
LOAD_TIME_SHARE = 0.9
UNSEEN_LOAD_SHARE = 0.7
NUM_LOAD_TIMES_KEPT = 16
REPORT_POLL_INTERVAL_S = 0.1
MAX_REPORT_POLLS = 100
RETRY_INTERVAL_S = 0.4


class OrderOutcome(Enum):
    """What a worker says to an order."""

    ACCEPTED = "being done"
    ALREADY_LOADED = "holds already"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(frozen=True)
class WorkerReport:
    """A worker's own account.

    Attributes:
        num_orders: Orders it has taken since its start.
        is_busy: Whether an order is under way.
        model_versions: Version of each model it holds.
        started_ms: When the life that answers started, in milliseconds since 1970; 0 if not told.
    """

    num_orders: int
    is_busy: bool
    model_versions: Mapping[str, int]
    started_ms: int = 0

    def could_be_from(self, life: WorkerIncarnation) -> bool:
        """Whether a life may have made this report: a start that is not told excludes none."""
        is_told = self.started_ms > 0 and life.started_ms > 0
        return not is_told or self.started_ms == life.started_ms


@dataclass(frozen=True)
class VersionOrder:
    """An order as it goes to a worker.

    Attributes:
        move: What is to be held.
        holder: Name of the one who gives it.
        fencing_token: Rises with every change of leader.
        num_orders: Orders the worker must have taken before this one.
    """

    move: VersionMove
    holder: str
    fencing_token: int
    num_orders: int


class OrderClient(Protocol):
    """Talks to workers about their weights."""

    async def report(self, worker: Worker) -> WorkerReport | None:
        """Read a worker's report; ``None`` if it does not answer."""

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        """Give an order."""


class VersionReconciler:
    """Reconciles the workers' versions with the named ones.

    Args:
        node: This node's name.
        leadership: Whether this node may give orders.
        workers: The workers known.
        services: Returns the services in force.
        named_versions: Newest version named of each model.
        client: Talks to workers.
    """

    def __init__(
        self,
        node: str,
        leadership: Leadership,
        workers: WorkerDirectory,
        services: Callable[[], tuple[Service, ...]],
        named_versions: Mapping[str, int],
        client: OrderClient,
    ) -> None:
        self._node = node
        self._leadership = leadership
        self._workers = workers
        self._services = services
        self._named_versions = named_versions
        self._client = client
        self._confirmed: dict[tuple[WorkerIncarnation, str], int] = {}
        self._moves: dict[WorkerIncarnation, asyncio.Task[None]] = {}
        self._loading: dict[WorkerIncarnation, str] = {}
        self._load_times_s: deque[float] = deque(maxlen=NUM_LOAD_TIMES_KEPT)
        self._has_ended = asyncio.Event()
        self._ripe_from_s: dict[tuple[str, int], float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start giving orders whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop giving orders."""
        await cancel_all(self._task, *self._moves.values())

    async def _run(self) -> None:
        while True:
            await self._pause()
            if self._leadership.may_act:
                self._start_moves()

    async def _pause(self) -> None:
        """Wait a moment, or until a move has ended: the next one may begin at once."""
        self._has_ended.clear()
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                await self._has_ended.wait()
        except TimeoutError:
            return

    def _start_moves(self) -> None:
        self._drop_ended_lives()
        self._confirm_entries()
        held = dict(self._confirmed)
        ripe = {model for model in self._named_versions if self._is_ripe(model)}
        for service in self._services():
            workers = self._workers.serving(service.name)
            plan = plan_loads(service.models, workers, held)
            named = {
                model: self._named_versions[model]
                for model in service.models
                if model in self._named_versions
            }
            max_concurrent = max_concurrent_loads(len(workers))
            for move in next_moves(named, ripe, plan, held, self._loading, max_concurrent):
                self._start_move(move)

    def _start_move(self, move: VersionMove) -> None:
        task = asyncio.create_task(self._carry_out(move))
        self._moves[move.worker.incarnation] = task
        self._loading[move.worker.incarnation] = move.model
        task.add_done_callback(partial(self._forget, move.worker.incarnation))

    def _is_ripe(self, model: str) -> bool:
        """Whether the newest version was named some time ago.

        A step is asked for as its version is named, and its items may still use the version before:
        loads wait until those items are at the workers.
        """
        key = (model, self._named_versions[model])
        return now_s() >= self._ripe_from_s.setdefault(key, now_s() + LOAD_DELAY_S)

    def _forget(self, life: WorkerIncarnation, _: asyncio.Task[None]) -> None:
        self._moves.pop(life, None)
        self._loading.pop(life, None)
        self._has_ended.set()

    def _drop_ended_lives(self) -> None:
        """Forget lives that are over: their loads take no place from those of the new ones."""
        for life in list(self._moves):
            if self._has_started_again(life):
                logging.info("worker %s: its order is dropped, it has started again", life)
                self._moves.pop(life).cancel()
                self._loading.pop(life, None)
        for life, model in list(self._confirmed):
            if not self._workers.is_current(life):
                del self._confirmed[life, model]

    def _has_started_again(self, life: WorkerIncarnation) -> bool:
        known = self._workers.get(life.worker_id)
        return known is not None and known.incarnation != life

    def _confirm_entries(self) -> None:
        """Take in what entries tell: within one life versions only rise, so less is old."""
        for worker in self._workers.all():
            self._confirm_all(worker, worker.model_versions)

    async def _carry_out(self, move: VersionMove) -> None:
        report = await self._report(move.worker)
        if report is None:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if report.is_busy:
            await asyncio.sleep(REPORT_POLL_INTERVAL_S)
            return
        if report.model_versions.get(move.model, 0) >= move.version:
            return
        outcome = await self._give(move, report.num_orders)
        if outcome is OrderOutcome.ACCEPTED:
            await self._wait_until_loaded(move)
        elif outcome is OrderOutcome.ALREADY_LOADED:
            self._confirm(move.worker, move.model, move.version)
        else:
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _give(self, move: VersionMove, num_orders: int) -> OrderOutcome:
        token = self._leadership.fencing_token
        if token is None or not self._leadership.may_act:
            return OrderOutcome.REFUSED
        order = VersionOrder(move, self._node, token, num_orders)
        outcome = await self._client.send_order(order)
        logging.info(
            "order to worker %s: %s version %d: %s",
            move.worker.incarnation,
            move.model,
            move.version,
            outcome.value,
        )
        return outcome

    def _expected_load_time_s(self) -> float:
        """The shortest of the latest loads, in seconds."""
        return min(self._load_times_s, default=FIRST_LOAD_TIME_S)

    async def _wait_until_loaded(self, move: VersionMove) -> None:
        """Wait for the end of a load that has just begun, and learn how long it took."""
        given_s = now_s()
        await asyncio.sleep(LOAD_TIME_SHARE * self._expected_load_time_s())
        for num_polls in range(MAX_REPORT_POLLS):
            report = await self._report(move.worker)
            if report is None:
                return
            if not report.is_busy:
                # A load that was over before the first look may have been much shorter.
                share = 1.0 if num_polls else UNSEEN_LOAD_SHARE
                self._load_times_s.append(share * (now_s() - given_s))
                return
            await asyncio.sleep(REPORT_POLL_INTERVAL_S)

    async def _report(self, worker: Worker) -> WorkerReport | None:
        """Read and note a worker's report; ``None`` if it does not answer, or in another life."""
        report = await self._client.report(worker)
        if report is None:
            return None
        if not report.could_be_from(worker.incarnation):
            logging.info(
                "worker %s: its report counts for nothing, it is of a start at %d",
                worker.incarnation,
                report.started_ms,
            )
            return None
        self._confirm_all(worker, report.model_versions)
        return report

    def _confirm_all(self, worker: Worker, model_versions: Mapping[str, int]) -> None:
        for model, version in model_versions.items():
            self._confirm(worker, model, version)

    def _confirm(self, worker: Worker, model: str, version: int) -> None:
        key = (worker.incarnation, model)
        self._confirmed[key] = max(version, self._confirmed.get(key, 0))
