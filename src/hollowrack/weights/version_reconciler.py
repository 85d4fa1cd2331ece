"""Reconciler of the workers' weight versions, active on the leader.

Every order names the worker and the number of orders that it has accepted, as read just before, so
an order that arrives after a newer one has no effect. A restarted worker counts its orders from
zero and may accept an order that was meant for its previous incarnation. The outcome of such an
order is ignored; the new incarnation gets orders according to its own reports.
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
    VersionLoad,
    max_concurrent_loads,
    next_loads,
    plan_loads,
)

POLL_INTERVAL_S = 0.1
LOAD_DELAY_S = 0.8
# Reports are polled from shortly before the expected end of a load.
INITIAL_LOAD_DURATION_S = 0.9
FIRST_POLL_FRACTION = 0.9
EARLY_LOAD_FRACTION = 0.7
NUM_RECENT_LOADS = 16
REPORT_POLL_INTERVAL_S = 0.1
MAX_REPORT_POLLS = 100
RETRY_INTERVAL_S = 0.4


class OrderOutcome(Enum):
    """A worker's answer to an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "already loaded"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(frozen=True)
class WorkerReport:
    """The state of a worker, as reported by itself.

    Attributes:
        num_orders: Number of orders accepted since its start.
        is_busy: Whether it is executing an order.
        model_versions: Loaded weight version by model.
        started_ms: Start of the reporting incarnation, in milliseconds since 1970; 0 if unknown.
    """

    num_orders: int
    is_busy: bool
    model_versions: Mapping[str, int]
    started_ms: int = 0

    def could_be_from(self, incarnation: WorkerIncarnation) -> bool:
        """Whether an incarnation may have sent this report; an unknown start matches any."""
        are_starts_known = self.started_ms > 0 and incarnation.started_ms > 0
        return not are_starts_known or self.started_ms == incarnation.started_ms


@dataclass(frozen=True)
class VersionOrder:
    """An order to a worker.

    Attributes:
        load: The worker and the version to load.
        holder: Name of the leader, which sends the order.
        fencing_token: The leader's fencing token; it increases with every change of leader.
        num_orders: Number of accepted orders that the worker must report for this one to apply.
    """

    load: VersionLoad
    holder: str
    fencing_token: int
    num_orders: int


class OrderClient(Protocol):
    """Reads workers' reports and sends them orders."""

    async def report(self, worker: Worker) -> WorkerReport | None:
        """Read a worker's report; ``None`` if it does not answer."""

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        """Send an order to its worker."""


class VersionReconciler:
    """Orders workers to load the newest announced versions while this node leads.

    Args:
        node: This node's name.
        leadership: Whether this node may send orders.
        workers: The known workers.
        services: Returns the services of the configuration in force.
        target_versions: Newest announced version by model; read on every check.
        client: Reads reports and sends orders.
    """

    def __init__(
        self,
        node: str,
        leadership: Leadership,
        workers: WorkerDirectory,
        services: Callable[[], tuple[Service, ...]],
        target_versions: Mapping[str, int],
        client: OrderClient,
    ) -> None:
        self._node = node
        self._leadership = leadership
        self._workers = workers
        self._services = services
        self._target_versions = target_versions
        self._client = client
        self._confirmed: dict[tuple[WorkerIncarnation, str], int] = {}
        self._load_tasks: dict[WorkerIncarnation, asyncio.Task[None]] = {}
        self._loading: dict[WorkerIncarnation, str] = {}
        self._load_durations_s: deque[float] = deque(maxlen=NUM_RECENT_LOADS)
        self._load_ended = asyncio.Event()
        self._ready_from_s: dict[tuple[str, int], float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending orders whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending orders and waiting for loads."""
        await cancel_all(self._task, *self._load_tasks.values())

    async def _run(self) -> None:
        while True:
            await self._wait_for_next_poll()
            if self._leadership.may_act:
                self._reconcile()

    async def _wait_for_next_poll(self) -> None:
        """Wait for the poll interval, or until a load has ended so that the next may start."""
        self._load_ended.clear()
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                await self._load_ended.wait()
        except TimeoutError:
            return

    def _reconcile(self) -> None:
        self._remove_ended_incarnations()
        self._abandon_evacuated_loads()
        self._confirm_entries()
        held = dict(self._confirmed)
        ready = {model for model in self._target_versions if self._is_ready(model)}
        for service in self._services():
            workers = self._workers.serving(service.name)
            plan = plan_loads(service.models, workers, held)
            target_versions = {
                model: self._target_versions[model]
                for model in service.models
                if model in self._target_versions
            }
            max_concurrent = max_concurrent_loads(len(workers))
            for move in next_loads(
                target_versions, ready, plan, held, self._loading, max_concurrent
            ):
                self._start_load(move)

    def _start_load(self, move: VersionLoad) -> None:
        task = asyncio.create_task(self._execute(move))
        self._load_tasks[move.worker.incarnation] = task
        self._loading[move.worker.incarnation] = move.model
        task.add_done_callback(partial(self._remove_load, move.worker.incarnation))

    def _is_ready(self, model: str) -> bool:
        """Whether the newest version was announced at least ``LOAD_DELAY_S`` ago.

        A step's items may still use the previous version. Loads are delayed until those items have
        been sent to workers.
        """
        key = (model, self._target_versions[model])
        return now_s() >= self._ready_from_s.setdefault(key, now_s() + LOAD_DELAY_S)

    def _remove_load(self, incarnation: WorkerIncarnation, _: asyncio.Task[None]) -> None:
        self._load_tasks.pop(incarnation, None)
        self._loading.pop(incarnation, None)
        self._load_ended.set()

    def _abandon_evacuated_loads(self) -> None:
        """Stop waiting for workers in evacuated zones; their reports are read again later."""
        for incarnation in list(self._load_tasks):
            known = self._workers.get(incarnation.worker_id)
            if known is not None and self._workers.is_evacuated(known):
                logging.info(
                    "worker %s: load abandoned, its zone %s is evacuated", incarnation, known.zone
                )
                self._load_tasks.pop(incarnation).cancel()
                self._loading.pop(incarnation, None)

    def _remove_ended_incarnations(self) -> None:
        """Remove ended incarnations, so that their loads do not count as concurrent loads."""
        for incarnation in list(self._load_tasks):
            if self._has_restarted(incarnation):
                logging.info(
                    "worker %s: load abandoned, the worker has restarted",
                    incarnation,
                )
                self._load_tasks.pop(incarnation).cancel()
                self._loading.pop(incarnation, None)
        for incarnation, model in list(self._confirmed):
            if not self._workers.is_current(incarnation):
                del self._confirmed[incarnation, model]

    def _has_restarted(self, incarnation: WorkerIncarnation) -> bool:
        known = self._workers.get(incarnation.worker_id)
        return known is not None and known.incarnation != incarnation

    def _confirm_entries(self) -> None:
        """Confirm the versions of the workers' entries; they never decrease in one incarnation."""
        for worker in self._workers.all():
            self._confirm_all(worker, worker.model_versions)

    async def _execute(self, move: VersionLoad) -> None:
        report = await self._report(move.worker)
        if report is None:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if report.is_busy:
            await asyncio.sleep(REPORT_POLL_INTERVAL_S)
            return
        if report.model_versions.get(move.model, 0) >= move.version:
            return
        outcome = await self._send_order(move, report.num_orders)
        if outcome is OrderOutcome.ACCEPTED:
            await self._wait_until_loaded(move)
        elif outcome is OrderOutcome.ALREADY_LOADED:
            self._confirm(move.worker, move.model, move.version)
        else:
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send_order(self, move: VersionLoad, num_orders: int) -> OrderOutcome:
        token = self._leadership.fencing_token
        if token is None or not self._leadership.may_act or self._is_evacuated(move.worker):
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

    def _expected_load_duration_s(self) -> float:
        """Duration of the shortest recent load, in seconds."""
        return min(self._load_durations_s, default=INITIAL_LOAD_DURATION_S)

    async def _wait_until_loaded(self, move: VersionLoad) -> None:
        """Wait for the end of a load that has just begun, and record its duration."""
        sent_s = now_s()
        await asyncio.sleep(FIRST_POLL_FRACTION * self._expected_load_duration_s())
        for num_polls in range(MAX_REPORT_POLLS):
            report = await self._report(move.worker)
            if report is None:
                return
            if not report.is_busy:
                # A load that ended before the first poll may have been much shorter.
                fraction = 1.0 if num_polls else EARLY_LOAD_FRACTION
                self._load_durations_s.append(fraction * (now_s() - sent_s))
                return
            await asyncio.sleep(REPORT_POLL_INTERVAL_S)

    async def _report(self, worker: Worker) -> WorkerReport | None:
        """Read a worker's report.

        Returns:
            The report; ``None`` if there is no answer or one of another incarnation, or if the
            worker is in an evacuated zone, where it must get no request at all.
        """
        if self._is_evacuated(worker):
            return None
        report = await self._client.report(worker)
        if report is None:
            return None
        if not report.could_be_from(worker.incarnation):
            logging.info(
                "worker %s: report ignored, it is from the incarnation started at %d ms",
                worker.incarnation,
                report.started_ms,
            )
            return None
        self._confirm_all(worker, report.model_versions)
        return report

    def _is_evacuated(self, worker: Worker) -> bool:
        return self._workers.is_evacuated(worker)

    def _confirm_all(self, worker: Worker, model_versions: Mapping[str, int]) -> None:
        for model, version in model_versions.items():
            self._confirm(worker, model, version)

    def _confirm(self, worker: Worker, model: str, version: int) -> None:
        key = (worker.incarnation, model)
        self._confirmed[key] = max(version, self._confirmed.get(key, 0))
