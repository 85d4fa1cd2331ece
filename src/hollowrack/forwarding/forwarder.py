"""Forwards one plain request to workers, within its attempts and its time.

The states of :mod:`hollowrack.requests.lifecycle` decide what may be told to the caller: "not run"
only while no worker may have run the request. A request that is not repeatable is never sent again
after a worker may have run it.
"""

import asyncio
import random
from dataclasses import dataclass

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.attempt_history import AttemptHistory
from hollowrack.forwarding.back_end import (
    BackEndCall,
    BackEndClient,
    BrokenAnswerError,
    Headers,
    NotRunError,
    NotRunReason,
    OpenAnswer,
)
from hollowrack.forwarding.call_limiter import CallLimiter
from hollowrack.forwarding.hedged_run import HedgedRun
from hollowrack.forwarding.hedging import HedgePolicy
from hollowrack.forwarding.load_shedding import LoadShedder
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import Route, RouteKind, Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack.quarantine.quarantine import Quarantine, quarantine_problem
from hollowrack.quarantine.types import QuarantineState
from hollowrack.results import Problem
from hollowrack.usage.meter import UsageMeter

REFUSAL_PAUSE_S = 0.05
HTTP_SUCCESS = range(200, 300)
FIRST_SERVER_ERROR = 500


@dataclass(frozen=True)
class ForwardRequest:
    """A request with its route and the time its caller gives it.

    Attributes:
        call: What goes to the worker.
        route: Its route.
        deadline_s: When the caller stops waiting, on the loop's clock; ``None`` if not told.
    """

    call: BackEndCall
    route: Route
    deadline_s: float | None


@dataclass(frozen=True)
class WholeAnswer:
    """A worker's whole answer."""

    status: int
    headers: Headers
    body: bytes
    signature: str | None


ForwardOutcome = WholeAnswer | Problem


def request_deadline_s(request: ForwardRequest) -> float:
    """When a request must have its final answer, on the loop's clock."""
    ends = [now_s() + 3600.0]
    if request.deadline_s is not None:
        ends.append(request.deadline_s)
    if request.route.timeout_s is not None:
        ends.append(now_s() + request.route.timeout_s)
    return min(ends)


class Forwarder:
    """Forwards requests with plain answers.

    Args:
        routes: The routes in force.
        workers: The workers known.
        back_ends: Sends requests to workers.
        usage: Counts what workers begin.
        quarantine: Keeps requests that end their workers from further workers.
        rng: Source of all random choices.

    Attributes:
        hedging: Decides on second attempts.
        call_limiter: Places for calls of the system's own.
    """

    def __init__(
        self,
        routes: RouteTable,
        workers: WorkerDirectory,
        back_ends: BackEndClient,
        usage: UsageMeter,
        quarantine: Quarantine,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._workers = workers
        self._back_ends = back_ends
        self._usage = usage
        self._quarantine = quarantine
        self._early_refusal = LoadShedder(workers, rng)
        self.hedging = HedgePolicy()
        self.call_limiter = CallLimiter(routes, workers)

    async def forward(self, request: ForwardRequest) -> ForwardOutcome:
        """Return a worker's answer, or the problem that stands in its place."""
        end_s = request_deadline_s(request)
        service = self._routes.choose_service(request.route)
        refused = self._early_refusal.check(
            request.call.request_id, request.route, service, end_s - now_s()
        )
        if refused is not None:
            return refused
        self.hedging.budget.note_request()
        attempts = _PlainAttempts(
            self._workers,
            self._back_ends,
            self._usage,
            self._quarantine,
            self.hedging,
            request,
            service,
            end_s,
        )
        try:
            async with asyncio.timeout_at(end_s):
                answer = await HedgedRun(attempts, end_s).first_answer()
        except TimeoutError:
            return attempts.failed_answer or attempts.history.out_of_time()
        return answer or attempts.final_failure()


class _PlainAttempts:
    """Makes the attempts of one request; see :class:`AttemptSource`.

    Args:
        workers: The workers known.
        back_ends: Sends requests to workers.
        usage: Counts what workers begin.
        quarantine: Keeps requests that end their workers from further workers.
        hedging: Decides on second attempts.
        request: The request.
        service: The service that runs it.
        end_s: When it has to be over, on the loop's clock.

    Attributes:
        history: What has become of the attempts.
        failed_answer: The latest answer that says that the worker failed.
    """

    def __init__(
        self,
        workers: WorkerDirectory,
        back_ends: BackEndClient,
        usage: UsageMeter,
        quarantine: Quarantine,
        hedging: HedgePolicy,
        request: ForwardRequest,
        service: str,
        end_s: float,
    ) -> None:
        self._workers = workers
        self._back_ends = back_ends
        self._usage = usage
        self._quarantine = quarantine
        self._hedging = hedging
        self._call = request.call
        self._route = request.route
        self._service = service
        self._end_s = end_s
        self._fingerprint = fingerprint_of(request.call)
        self._verdict: QuarantineState | None = None
        self.history = AttemptHistory(request.call, request.route)
        self.failed_answer: WholeAnswer | None = None

    def next_worker(self) -> Worker | None:
        """Return the worker of the next attempt; ``None`` if there may be none."""
        if not self._may_go_on():
            return None
        worker = self._workers.choose(self._service, self.history.tried)
        if worker is None and self.history.tried:
            worker = self._workers.choose(self._service, self.history.possibly_ran_at)
        return worker

    def spare_worker(self, late: Worker) -> Worker | None:
        """Return a worker that may run the request beside or instead of a late one."""
        if self._route.kind is not RouteKind.SAFE or not self._may_go_on():
            return None
        return self._workers.choose_for_hedge(late, self.history.tried)

    def spend_hedge_budget(self) -> bool:
        """Whether the budget allows an attempt beside a late one; spends it."""
        is_allowed = self._hedging.budget.take_retry()
        decision = "begins" if is_allowed else "is beyond the budget"
        logging.info("request %s: a second attempt %s", self._call.request_id, decision)
        return is_allowed

    def _may_go_on(self) -> bool:
        # Asked before each worker: the request may have ended others at other nodes meanwhile.
        self._verdict = self._quarantine.quarantine_state(self._fingerprint)
        return self._verdict is None and self.history.may_retry()

    def late_after_s(self) -> float:
        """How long an attempt that begins now may take until it is late, in seconds."""
        time_left_s = self._end_s - now_s()
        return self._hedging.delay_s(self._service, self._route.target_latency_s, time_left_s)

    def record_late(self, worker: Worker, seconds: float) -> None:
        """An attempt has not ended within the time of nearly all others."""
        logging.info(
            "request %s: worker %s is late after %.3f s",
            self._call.request_id,
            worker.incarnation,
            seconds,
        )
        self._workers.loads.record_late(worker, self._route.name, seconds)

    def record_abandoned(self, worker: Worker) -> None:
        """A late attempt is cut off for another one."""
        self._workers.record_failure(worker)
        self.history.record_failure(worker, "silent")

    async def attempt(self, worker: Worker) -> WholeAnswer | None:
        """Try one worker; ``None`` if the request needs another one."""
        self._workers.reserve_slot(worker)
        self.history.record_start(worker)
        sent_s = now_s()
        num_turns = self._workers.queueing_factor(worker)
        begun_s = self._usage.time_s()
        may_have_begun = True
        try:
            answer = await self._exchange(worker)
        except NotRunError as error:
            may_have_begun = False
            self._workers.record_not_run(worker, error.reason)
            self.history.record_not_run(worker, error.reason)
            if error.reason is NotRunReason.BUSY:
                await asyncio.sleep(REFUSAL_PAUSE_S)
            return None
        except BrokenAnswerError as error:
            self._workers.record_failure(worker)
            self.history.record_failure(worker, str(error))
            self._quarantine.record_disconnect(self._call.request_id, self._fingerprint, worker)
            return None
        finally:
            self._workers.release_slot(worker)
            if may_have_begun:
                # A worker that gave no answer has most likely begun: it had taken the request.
                self._usage.record_request(self._call.tenant, begun_s)
        if answer.status < FIRST_SERVER_ERROR:
            seconds = now_s() - sent_s
            self._hedging.record_answer(self._service, seconds)
            # This node's own requests before it say nothing of the worker's speed.
            self._note_good(worker, answer, seconds / num_turns)
            return answer
        self.failed_answer = answer
        self.history.record_failure(worker, f"status {answer.status}")
        return None

    def _note_good(self, worker: Worker, answer: WholeAnswer, pace_s: float) -> None:
        self._workers.record_success(worker)
        self._workers.record_latency(worker, pace_s, self._route.name)
        if answer.status in HTTP_SUCCESS:
            self._quarantine.record_success(self._fingerprint)

    async def _exchange(self, worker: Worker) -> WholeAnswer:
        opened: OpenAnswer | None = None
        try:
            opened = await self._back_ends.open(
                worker,
                self._call,
                self._end_s - now_s(),
                is_repeatable=self._route.is_idempotent,
            )
            if opened.load_report is not None:
                self._workers.loads.record_report(worker, opened.load_report)
            body = await opened.read()
            return WholeAnswer(opened.status, opened.headers, body, opened.signature)
        finally:
            if opened is not None:
                opened.abort()

    def final_failure(self) -> ForwardOutcome:
        """What the caller is told when no worker may be tried any more."""
        if self.failed_answer is not None:
            return self.failed_answer
        if self._verdict is not None and not self.history.possibly_ran_at:
            return quarantine_problem(self._verdict, self._fingerprint, self._call.request_id)
        return self.history.no_worker_left()
