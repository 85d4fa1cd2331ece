"""Forwards one request to a worker, within its attempts and its time.

The states of :mod:`hollowrack.requests.lifecycle` decide what may be told to the caller: "not run"
only while no worker may have run the request. A request that is not repeatable is never sent again
after a worker may have run it.
"""

import asyncio
from dataclasses import dataclass

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import (
    BackEndCall,
    BackEndClient,
    BrokenAnswerError,
    Headers,
    NotRunError,
    NotRunReason,
    OpenAnswer,
)
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import Route, RouteKind, Worker, WorkerLife
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack.quarantine.quarantine import Quarantine, refusal
from hollowrack.quarantine.types import Verdict
from hollowrack.results import Problem, ResultCode
from hollowrack.usage.meter import UsageMeter

MAX_REFUSALS = 6
REFUSAL_PAUSE_S = 0.05
RETRY_AFTER_S = 0.5
# A first attempt of a repeatable request may take this many times the route's target latency
# before another worker is tried.
PATIENCE_IN_TARGETS = 1.5
MIN_PATIENCE_S = 0.25
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


def end_of_request_s(request: ForwardRequest) -> float:
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
    """

    def __init__(
        self,
        routes: RouteTable,
        workers: WorkerDirectory,
        back_ends: BackEndClient,
        usage: UsageMeter,
        quarantine: Quarantine,
    ) -> None:
        self._routes = routes
        self._workers = workers
        self._back_ends = back_ends
        self._usage = usage
        self._quarantine = quarantine

    async def forward(self, request: ForwardRequest) -> ForwardOutcome:
        """Return a worker's answer, or the problem that stands in its place."""
        end_s = end_of_request_s(request)
        attempts = _Attempts(request)
        service = self._routes.choose_service(request.route)
        try:
            async with asyncio.timeout_at(end_s):
                return await self._attempt_until_answered(service, attempts, end_s)
        except TimeoutError:
            return attempts.out_of_time()

    async def _attempt_until_answered(
        self, service: str, attempts: "_Attempts", end_s: float
    ) -> ForwardOutcome:
        while attempts.may_go_on():
            # Asked before each worker: the request may have ended others at other nodes meanwhile.
            verdict = self._quarantine.verdict(attempts.fingerprint)
            if verdict is not None:
                return attempts.stopped_by(verdict)
            worker = self._workers.choose(service, attempts.tried)
            if worker is None and attempts.tried:
                worker = self._workers.choose(service, attempts.ran_at)
            if worker is None:
                break
            outcome = await self._attempt(worker, attempts, end_s)
            if outcome is not None:
                return outcome
        return attempts.give_up()

    async def _attempt(
        self, worker: Worker, attempts: "_Attempts", end_s: float
    ) -> WholeAnswer | None:
        """Try one worker; ``None`` sends the request on to another one."""
        route = attempts.request.route
        patience_s = end_s - now_s()
        if route.kind is RouteKind.SAFE and attempts.num_left() > 1:
            patience_s = min(
                patience_s, max(MIN_PATIENCE_S, PATIENCE_IN_TARGETS * route.target_latency_s)
            )
        self._workers.begin(worker)
        attempts.begin(worker)
        sent_s = now_s()
        begun_s = self._usage.time_s()
        may_have_begun = True
        try:
            async with asyncio.timeout(patience_s):
                answer = await self._exchange(worker, attempts, end_s)
        except NotRunError as error:
            may_have_begun = False
            self._workers.note_not_run(worker, error.reason)
            attempts.did_not_run(worker, error.reason)
            if error.reason is NotRunReason.BUSY:
                await asyncio.sleep(REFUSAL_PAUSE_S)
            return None
        except BrokenAnswerError as error:
            self._workers.note_failure(worker)
            attempts.failed(worker, str(error))
            self._quarantine.note_break(attempts.request_id, attempts.fingerprint, worker)
            return None
        except TimeoutError:
            self._workers.note_failure(worker)
            self._workers.note_pace(worker, now_s() - sent_s)
            attempts.failed(worker, "silent")
            return None
        finally:
            self._workers.end(worker)
            if may_have_begun:
                # A worker that gave no answer has most likely begun: it had taken the request.
                self._usage.note_begun(attempts.request.call.tenant, begun_s)
        if answer.status < FIRST_SERVER_ERROR:
            self._workers.note_success(worker)
            self._workers.note_pace(worker, now_s() - sent_s)
            if answer.status in HTTP_SUCCESS:
                self._quarantine.note_good(attempts.fingerprint)
            return answer
        attempts.failed_answer = answer
        attempts.failed(worker, f"status {answer.status}")
        return None

    async def _exchange(self, worker: Worker, attempts: "_Attempts", end_s: float) -> WholeAnswer:
        opened: OpenAnswer | None = None
        try:
            opened = await self._back_ends.open(
                worker,
                attempts.request.call,
                end_s - now_s(),
                is_repeatable=attempts.request.route.is_idempotent,
            )
            body = await opened.read()
            return WholeAnswer(opened.status, opened.headers, body, opened.signature)
        finally:
            if opened is not None:
                opened.abort()


class _Attempts:
    """What has become of one request so far."""

    def __init__(self, request: ForwardRequest) -> None:
        self.request = request
        self.request_id = request.call.request_id
        self.fingerprint = fingerprint_of(request.call)
        self.tried: set[WorkerLife] = set()
        self.ran_at: set[WorkerLife] = set()
        self.failed_answer: WholeAnswer | None = None
        self._num_refusals = 0
        self._history: list[str] = []

    def num_left(self) -> int:
        """How many more workers may run the request."""
        allowed = self.request.route.max_attempts if self.request.route.is_idempotent else 1
        return allowed - len(self.ran_at)

    def may_go_on(self) -> bool:
        """Whether another worker may be tried."""
        return self.num_left() > 0 and self._num_refusals < MAX_REFUSALS

    def begin(self, worker: Worker) -> None:
        """The request goes to a worker, which counts as having run it until proved otherwise."""
        self.tried.add(worker.life)
        self.ran_at.add(worker.life)

    def failed(self, worker: Worker, reason: str) -> None:
        """A worker may have run the request, and gave no good answer."""
        self._history.append(f"{worker.life}: {reason}")
        logging.info("request %s: worker %s: %s", self.request_id, worker.life, reason)

    def did_not_run(self, worker: Worker, reason: NotRunReason) -> None:
        """A worker certainly did not run the request."""
        self._history.append(f"{worker.life}: {reason.value}")
        self.ran_at.discard(worker.life)
        self._num_refusals += 1

    def give_up(self) -> ForwardOutcome:
        """The final answer when no worker may be tried any more."""
        return self._final("no whole answer came", "no worker took the request")

    def stopped_by(self, verdict: Verdict) -> ForwardOutcome:
        """The final answer when no further worker may end under the request."""
        if self.ran_at or self.failed_answer is not None:
            return self.give_up()
        return refusal(verdict, self.fingerprint, self.request_id)

    def out_of_time(self) -> ForwardOutcome:
        """The final answer when the time is up."""
        return self._final("the time is up", "the time is up")

    def _final(self, reason_if_run: str, reason_if_not_run: str) -> ForwardOutcome:
        if self.failed_answer is not None:
            return self.failed_answer
        if self.ran_at:
            detail = f"{reason_if_run} ({self._told()})"
            return Problem(ResultCode.OUTCOME_UNKNOWN, detail, self.request_id)
        detail = f"{reason_if_not_run} ({self._told()})"
        return Problem(ResultCode.NO_BACK_END, detail, self.request_id, RETRY_AFTER_S)

    def _told(self) -> str:
        """What became of the attempts, for the log."""
        at_work = sorted(
            life
            for life in map(str, self.ran_at)
            if not any(life in entry for entry in self._history)
        )
        entries = [*self._history, *(f"{life}: no answer yet" for life in at_work)]
        return "; ".join(entries) or "no worker is known"
