"""Forwarder of plain requests to workers, with retries and hedging.

As in :mod:`hollowrack.requests.lifecycle`, a request is reported as not run only if no worker can
have run it. A request that is not idempotent is never sent again after a worker may have run it.
"""

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass

from absl import logging

from hollowrack.clock import now_s
from hollowrack.evacuation.refusal import evacuated_problem
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
from hollowrack.forwarding.cold_admission import ColdWorkerAdmission
from hollowrack.forwarding.hedged_run import HedgedRun
from hollowrack.forwarding.hedging import HedgePolicy
from hollowrack.forwarding.load_shedding import LoadShedder
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import Route, RouteKind, Worker, WorkerIncarnation
from hollowrack.forwarding.worker_load import LatencyObjective
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack.quarantine.quarantine import Quarantine, quarantine_problem
from hollowrack.quarantine.types import QuarantineState, crash_timing
from hollowrack.regions.allowed_regions import no_worker_problem
from hollowrack.results import Problem
from hollowrack.usage.meter import UsageMeter

REFUSAL_BACKOFF_S = 0.05
HTTP_SUCCESS = range(200, 300)
HTTP_INTERNAL_SERVER_ERROR = 500


@dataclass(frozen=True)
class ForwardRequest:
    """A request with its route and deadline.

    Attributes:
        call: Request as it is sent to workers.
        route: Route of the request.
        deadline_s: Deadline of the caller, on the loop's clock; ``None`` if it set none.
    """

    call: BackEndCall
    route: Route
    deadline_s: float | None


@dataclass(frozen=True)
class CompleteAnswer:
    """Complete answer of a worker.

    Attributes:
        signature: The worker's signature of the answer; ``None`` if it has none.
    """

    status: int
    headers: Headers
    body: bytes
    signature: str | None


ForwardOutcome = CompleteAnswer | Problem


def request_deadline_s(request: ForwardRequest) -> float:
    """Return the time by which a request must be answered, on the loop's clock.

    This is the earliest of the caller's deadline, the route's timeout and one hour from now.
    """
    deadlines_s = [now_s() + 3600.0]
    if request.deadline_s is not None:
        deadlines_s.append(request.deadline_s)
    if request.route.timeout_s is not None:
        deadlines_s.append(now_s() + request.route.timeout_s)
    return min(deadlines_s)


class Forwarder:
    """Forwards requests with plain (non-streaming) answers.

    Args:
        routes: Current routes.
        workers: Directory of workers.
        back_ends: Client that sends requests to workers.
        usage: Meter of the requests that workers have started.
        quarantine: Blocks requests that are suspected of crashing workers.
        rng: Random number generator for jitter.

    Attributes:
        hedging: Policy of hedged attempts.
        call_limiter: Limits this node's own calls to shared workers.
        cold_admission: Has requests wait where workers are cold; ``None`` if that is not limited.
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
        self._load_shedder = LoadShedder(workers, rng)
        self.hedging = HedgePolicy()
        self.call_limiter = CallLimiter(routes, workers)
        self.cold_admission: ColdWorkerAdmission | None = None

    async def forward(self, request: ForwardRequest) -> ForwardOutcome:
        """Return a worker's answer, or the error for the caller."""
        deadline_s = request_deadline_s(request)
        service = self._routes.choose_service(request.route)
        if self._workers.are_all_evacuated(service):
            return evacuated_problem(service, request.call.request_id)
        refused = self._no_worker_in_regions(request.call, service) or self._load_shedder.check(
            request.call.request_id,
            request.route,
            service,
            deadline_s - now_s(),
            self._workers.in_regions(request.call.allowed_regions),
        )
        if refused is None and self.cold_admission is not None:
            refused = await self.cold_admission.wait_turn(
                request.call,
                request.route,
                service,
                deadline_s - now_s(),
                self._workers.in_regions(request.call.allowed_regions),
            )
        if refused is not None:
            return refused
        self.hedging.budget.record_request()
        attempts = _PlainAttempts(
            self._workers,
            self._back_ends,
            self._usage,
            self._quarantine,
            self.hedging,
            request,
            service,
            deadline_s,
            self.cold_admission,
        )
        try:
            async with asyncio.timeout_at(deadline_s):
                answer = await HedgedRun(attempts, deadline_s).first_answer()
        except TimeoutError:
            return attempts.failed_answer or attempts.history.deadline_exceeded()
        if answer is not None:
            return answer
        if attempts.has_certainly_not_run:
            refused = self._no_worker_in_regions(request.call, service)
        return refused or attempts.final_failure()

    def _no_worker_in_regions(self, call: BackEndCall, service: str) -> Problem | None:
        """Return the error of a request without a known worker in its allowed regions."""
        if call.allowed_regions is None or self._workers.is_any_in(service, call.allowed_regions):
            return None
        self._workers.num_refused_by_regions[service] += 1
        return no_worker_problem(service, call.allowed_regions, call.request_id)


class _PlainAttempts:
    """Makes the attempts of one request; implements :class:`AttemptSource`.

    Args:
        workers: Directory of workers.
        back_ends: Client that sends requests to workers.
        usage: Meter of the requests that workers have started.
        quarantine: Blocks requests that are suspected of crashing workers.
        hedging: Policy of hedged attempts.
        request: Request to forward.
        service: Name of the service that runs it.
        deadline_s: Deadline of the request, on the loop's clock.
        cold_admission: Has the request wait where workers are cold; ``None`` if not limited.

    Attributes:
        history: Record of the attempts.
        failed_answer: Latest answer with a server error; ``None`` if there was none.
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
        deadline_s: float,
        cold_admission: ColdWorkerAdmission | None,
    ) -> None:
        self._workers = workers
        self._back_ends = back_ends
        self._usage = usage
        self._quarantine = quarantine
        self._hedging = hedging
        self._call = request.call
        self._route = request.route
        self._service = service
        self._objective = LatencyObjective(request.route.name, request.route.target_latency_s)
        self._deadline_s = deadline_s
        self._in_regions = workers.in_regions(request.call.allowed_regions)
        self._fingerprint = fingerprint_of(request.call)
        self._quarantine_state: QuarantineState | None = None
        self._cold_admission = cold_admission
        self._cold_problem: Problem | None = None
        self.history = AttemptHistory(request.call, request.route)
        self.failed_answer: CompleteAnswer | None = None

    @property
    def has_certainly_not_run(self) -> bool:
        """Whether no worker can have run the request."""
        return not self.history.possibly_ran_at

    def next_worker(self) -> Worker | None:
        """Return the worker of the next attempt; ``None`` if no further attempt is allowed."""
        if not self._may_attempt():
            return None
        worker = self._reserved_worker()
        if worker is not None:
            return worker
        worker = self._choose(self.history.tried)
        if worker is None and self.history.tried:
            worker = self._choose(self.history.possibly_ran_at)
        return worker

    def _choose(self, excluded: Collection[WorkerIncarnation]) -> Worker | None:
        return self._workers.choose(self._service, excluded, self._in_regions, self._objective)

    def _reserved_worker(self) -> Worker | None:
        if self._cold_admission is None:
            return None
        return self._cold_admission.take_reserved(self._call)

    def spare_worker(self, late: Worker) -> Worker | None:
        """Return a worker that may run the request in addition to, or instead of, a late one."""
        if self._route.kind is not RouteKind.SAFE or not self._may_attempt():
            return None
        if self._quarantine.is_evidence_pending(self._fingerprint):
            return None
        return self._workers.choose_for_hedge(
            late, self.history.tried, self._in_regions, self._objective
        )

    def spend_hedge_budget(self) -> bool:
        """Spend one hedged attempt of the budget; return whether the budget allowed it."""
        is_allowed = self._hedging.budget.spend_retry()
        decision = "started" if is_allowed else "denied, budget exhausted"
        logging.info("request %s: hedged attempt %s", self._call.request_id, decision)
        return is_allowed

    def _may_attempt(self) -> bool:
        # Checked before each attempt: other nodes may have reported crashes in the meantime.
        self._quarantine_state = self._quarantine.quarantine_state(self._fingerprint)
        return self._quarantine_state is None and self.history.may_retry()

    def late_after_s(self, worker: Worker) -> float:
        """Return the time after which an attempt that starts now is late, in seconds."""
        return self._hedging.delay_s(
            self._service,
            self._route.target_latency_s,
            self._deadline_s - now_s(),
            self._workers.loads.links.extra_s(worker.zone),
        )

    def record_late(self, worker: Worker, seconds: float) -> None:
        """Record that an attempt is late after so many seconds."""
        logging.info(
            "request %s: worker %s is late after %.3f s",
            self._call.request_id,
            worker.incarnation,
            seconds,
        )
        self._workers.loads.record_late(worker, self._route.name, seconds)

    def record_abandoned(self, worker: Worker) -> None:
        """Record that a late attempt is cancelled in favour of another worker."""
        self._workers.record_failure(worker)
        self.history.record_failure(worker, "no answer in time")

    async def attempt(self, worker: Worker) -> CompleteAnswer | None:
        """Try one worker; ``None`` if another worker has to be tried."""
        answer = await self._attempt_once(worker)
        if answer is None:
            await self._quarantine.settle_evidence(self._fingerprint)
            await self._wait_turn_again()
        return answer

    async def _wait_turn_again(self) -> None:
        """Wait until a further attempt may be sent, if all other workers are cold."""
        if self._cold_admission is None or not self._may_attempt():
            return
        self._cold_problem = await self._cold_admission.wait_turn(
            self._call,
            self._route,
            self._service,
            self._deadline_s - now_s(),
            lambda worker: (
                worker.incarnation not in self.history.possibly_ran_at and self._in_regions(worker)
            ),
        )

    async def _attempt_once(self, worker: Worker) -> CompleteAnswer | None:
        self._workers.reserve_slot(worker)
        self.history.record_start(worker)
        sent_s = now_s()
        queueing_factor = self._workers.queueing_factor(worker)
        usage_start_s = self._usage.time_s()
        may_have_started = True
        try:
            answer = await self._exchange(worker)
        except NotRunError as error:
            may_have_started = False
            self._workers.record_not_run(worker, error.reason)
            self.history.record_not_run(worker, error.reason)
            if error.reason is NotRunReason.BUSY:
                await asyncio.sleep(REFUSAL_BACKOFF_S)
            return None
        except BrokenAnswerError as error:
            self._workers.record_failure(worker)
            self.history.record_failure(worker, str(error))
            # The worker's progress is unknown before its answer is whole.
            self._quarantine.record_disconnect(
                self._call.request_id,
                self._fingerprint,
                worker,
                timing=crash_timing(has_output=False, duration_s=now_s() - sent_s),
            )
            return None
        finally:
            self._workers.release_slot(worker)
            if may_have_started:
                # A worker that accepted the request and did not answer has most likely started it.
                self._usage.record_request(self._call.tenant, usage_start_s)
        if answer.status < HTTP_INTERNAL_SERVER_ERROR:
            seconds = now_s() - sent_s
            self._hedging.record_answer(self._service, seconds)
            # Corrects for the wait behind this node's own requests.
            self._record_good_answer(worker, answer, seconds / queueing_factor)
            return answer
        self.failed_answer = answer
        self.history.record_failure(worker, f"status {answer.status}")
        return None

    def _record_good_answer(self, worker: Worker, answer: CompleteAnswer, latency_s: float) -> None:
        self._workers.record_success(worker)
        self._workers.record_latency(worker, latency_s, self._route.name)
        if answer.status in HTTP_SUCCESS:
            self._quarantine.record_success(self._fingerprint)

    async def _exchange(self, worker: Worker) -> CompleteAnswer:
        opened: OpenAnswer | None = None
        try:
            opened = await self._back_ends.open(
                worker,
                self._call,
                self._deadline_s - now_s(),
                is_repeatable=self._route.is_idempotent,
            )
            if opened.load_report is not None:
                self._workers.loads.record_report(worker, opened.load_report)
            body = await opened.read()
            return CompleteAnswer(opened.status, opened.headers, body, opened.signature)
        finally:
            if opened is not None:
                opened.abort()

    def final_failure(self) -> ForwardOutcome:
        """Return the answer or error for the caller when no further worker may be tried."""
        if self.failed_answer is not None:
            return self.failed_answer
        if self._quarantine_state is not None and not self.history.possibly_ran_at:
            return quarantine_problem(
                self._quarantine_state, self._fingerprint, self._call.request_id
            )
        if not self.history.possibly_ran_at and self._workers.are_all_evacuated(self._service):
            return evacuated_problem(self._service, self._call.request_id)
        if self._cold_problem is not None and not self.history.possibly_ran_at:
            return self._cold_problem
        return self.history.no_worker_left()
