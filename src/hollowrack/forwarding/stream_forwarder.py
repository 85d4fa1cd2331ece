"""Forwarder of requests that are answered with streams of events."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from hollowrack.clock import now_s
from hollowrack.evacuation.refusal import evacuated_problem
from hollowrack.forwarding.attempt_history import MAX_REFUSALS, RETRY_AFTER_S
from hollowrack.forwarding.back_end import (
    BackEndClient,
    BrokenAnswerError,
    Headers,
    NotRunError,
    OpenAnswer,
)
from hollowrack.forwarding.cold_admission import ColdWorkerAdmission, WorkersColdError
from hollowrack.forwarding.dispatch_queue import DispatchQueue, WorkersEvacuatedError
from hollowrack.forwarding.dispatch_rank import DispatchRank, WorkKind
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.first_event_timeout import FirstEventTimeout
from hollowrack.forwarding.forwarder import (
    HTTP_SUCCESS,
    ForwardRequest,
    request_deadline_s,
)
from hollowrack.forwarding.resumable_run import (
    ResumableRun,
    RunEndedError,
    RunEndReason,
    RunLimits,
)
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.run_waits import RunWaits
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory, any_worker, both
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack.quarantine.quarantine import Quarantine, quarantine_problem
from hollowrack.quarantine.types import crash_timing
from hollowrack.regions.allowed_regions import AllowedRegions, no_worker_problem
from hollowrack.results import Problem, ResultCode
from hollowrack.usage.meter import UsageMeter

MIN_FIRST_EVENT_TIMEOUT_S = 0.8
MAX_FIRST_EVENT_TIMEOUT_S = 2.5
STREAM_IDLE_TIMEOUT_S = 1.5
# Interval of checks whether a stream that waits for a slot still has workers in its regions.
REGION_CHECK_INTERVAL_S = 0.25
DEADLINE_PASSED = "the deadline has passed"


@dataclass(frozen=True)
class StreamHead:
    """Head of a streamed answer, from the first worker that answered."""

    status: int
    headers: Headers


StreamPart = StreamHead | bytes | Problem


class _NoWorkerInRegionsError(Exception):
    """Raised if no worker in the allowed regions of a waiting stream is known any more."""


class StreamForwarder:
    """Forwards streams; resumable ones continue at another worker after a failure.

    Args:
        routes: Current routes.
        workers: Directory of workers.
        back_ends: Client that sends requests to workers.
        queue: Queue that assigns slots at workers.
        read_version: Reads the weight version from an event; ``None`` if the event has none.
        usage: Meter of the requests that workers have started.
        quarantine: Blocks requests that are suspected of crashing workers.

    Attributes:
        cold_admission: Has streams wait where workers are cold; ``None`` if that is not limited.
    """

    def __init__(
        self,
        routes: RouteTable,
        workers: WorkerDirectory,
        back_ends: BackEndClient,
        queue: DispatchQueue,
        read_version: Callable[[StreamEvent], int | None],
        usage: UsageMeter,
        quarantine: Quarantine,
    ) -> None:
        self._routes = routes
        self._workers = workers
        self._back_ends = back_ends
        self._queue = queue
        self._read_version = read_version
        self._usage = usage
        self._quarantine = quarantine
        self.cold_admission: ColdWorkerAdmission | None = None
        self._first_event_timeout = FirstEventTimeout(
            MIN_FIRST_EVENT_TIMEOUT_S, MAX_FIRST_EVENT_TIMEOUT_S
        )

    def forward(
        self, request: ForwardRequest, after_event: int | None
    ) -> AsyncGenerator[StreamPart]:
        """Iterate over the head and the chunks of the answer, or yield one error instead.

        Raises:
            BrokenAnswerError: If the answer fails after its head was yielded.
        """
        if request.route.is_resumable:
            return self._forward_resumable(request, after_event)
        return self._forward_once(request, after_event)

    async def _forward_resumable(
        self, request: ForwardRequest, after_event: int | None
    ) -> AsyncGenerator[StreamPart]:
        service = self._routes.choose_service(request.route)
        refused = self._refuse_without_workers(request, service)
        if refused is not None:
            yield refused
            return
        allowed_regions = request.call.allowed_regions
        deadline_s = request_deadline_s(request)
        rank = DispatchRank(request.route.priority, WorkKind.CALLER_STREAM)
        has_started = False

        async def acquire(
            avoided: frozenset[WorkerIncarnation], may_begin: Eligible | None
        ) -> Worker:
            condition = self._workers.in_regions(allowed_regions)
            if condition is any_worker:
                condition = may_begin or any_worker
            elif may_begin is not None:
                condition = both(condition, may_begin)

            async def wait_for_slot() -> Worker:
                # A stream that has begun waits, as it can no longer be refused.
                slot = self._queue.acquire(
                    service, lambda: rank, condition, avoided, fails_if_evacuated=not has_started
                )
                if allowed_regions is None or has_started:
                    return await slot
                return await self._slot_while_in_regions(slot, service, allowed_regions)

            # A stream that may have run can no longer be refused as not run.
            if self.cold_admission is None or run.may_have_run:
                return await wait_for_slot()
            return await self.cold_admission.acquire_for_stream(
                request.call, service, wait_for_slot, condition
            )

        limits = RunLimits(
            request.route.max_attempts,
            self._first_event_timeout,
            STREAM_IDLE_TIMEOUT_S,
            deadline_s - now_s(),
            request.route.max_attempts,
            deadline_s=deadline_s,
        )
        run = ResumableRun(
            request.call,
            self._back_ends,
            self._workers,
            acquire,
            self._read_version,
            lambda _: True,
            limits,
            self._quarantine,
            after_event,
            waits=RunWaits(service, self._queue.statistics),
        )
        try:
            async with contextlib.aclosing(run.events()) as events:
                async for event in events:
                    if not has_started and run.head is not None:
                        has_started = True
                        self._record_usage(request)
                        yield StreamHead(run.head.status, run.head.headers)
                    yield event.event.raw
        except (WorkersEvacuatedError, _NoWorkerInRegionsError):
            yield self._problem_after_lost_workers(request, service, run.may_have_run)
        except WorkersColdError as error:
            yield error.problem
        except RunEndedError as error:
            if has_started:
                raise BrokenAnswerError(str(error)) from error
            fingerprint = fingerprint_of(request.call)
            quarantine_state = self._quarantine.quarantine_state(fingerprint)
            if error.reason is RunEndReason.DEADLINE_PASSED:
                yield _deadline_problem(request, run.may_have_run)
            elif quarantine_state is not None and run.num_attempts == 0:
                yield quarantine_problem(quarantine_state, fingerprint, request.call.request_id)
            else:
                yield Problem(ResultCode.BACK_END_FAILED, str(error), request.call.request_id)

    def _refuse_without_workers(self, request: ForwardRequest, service: str) -> Problem | None:
        """Return the error of a request that no known worker may run; ``None`` if one may."""
        if self._workers.are_all_evacuated(service):
            return evacuated_problem(service, request.call.request_id)
        if not self._workers.serving(service):
            return self._no_worker(request, service, f"no worker of service {service} is known")
        if not self._workers.is_any_in(service, request.call.allowed_regions):
            return self._no_worker(request, service, "")
        return None

    def _problem_after_lost_workers(
        self, request: ForwardRequest, service: str, may_have_run: bool
    ) -> Problem:
        """Return the error of a stream whose wait has ended because no worker may run it."""
        if may_have_run:
            detail = "no complete answer was received, and no other worker is left"
            return Problem(ResultCode.OUTCOME_UNKNOWN, detail, request.call.request_id)
        return self._refuse_without_workers(request, service) or self._no_worker(
            request, service, "no worker is left"
        )

    async def _slot_while_in_regions(
        self, acquired: Coroutine[Any, Any, Worker], service: str, allowed_regions: AllowedRegions
    ) -> Worker:
        """Wait for a slot while a worker in the allowed regions is known.

        Raises:
            _NoWorkerInRegionsError: If none is known any more.
        """
        slot = asyncio.create_task(acquired)
        try:
            while self._workers.is_any_in(service, allowed_regions):
                done, _ = await asyncio.wait([slot], timeout=REGION_CHECK_INTERVAL_S)
                if done:
                    return slot.result()
        except asyncio.CancelledError:
            self._give_back(slot)
            raise
        self._give_back(slot)
        raise _NoWorkerInRegionsError(f"no worker of service {service} is left in the regions")

    def _give_back(self, slot: "asyncio.Task[Worker]") -> None:
        """Cancel the wait for a slot, or release the slot if it was granted."""
        if not slot.done():
            slot.cancel()
        elif not slot.cancelled() and slot.exception() is None:
            self._workers.release_slot(slot.result())

    def _record_usage(self, request: ForwardRequest) -> None:
        self._usage.record_request(request.call.tenant, self._usage.time_s())

    async def _forward_once(
        self, request: ForwardRequest, after_event: int | None
    ) -> AsyncGenerator[StreamPart]:
        fingerprint = fingerprint_of(request.call)
        quarantine_state = self._quarantine.quarantine_state(fingerprint)
        if quarantine_state is not None:
            yield quarantine_problem(quarantine_state, fingerprint, request.call.request_id)
            return
        service = self._routes.choose_service(request.route)
        in_regions = self._workers.in_regions(request.call.allowed_regions)
        refused: set[WorkerIncarnation] = set()

        def has_not_refused(worker: Worker) -> bool:
            return worker.incarnation not in refused and in_regions(worker)

        while len(refused) < MAX_REFUSALS:
            worker = None
            if self.cold_admission is not None:
                problem = await self.cold_admission.wait_turn(
                    request.call,
                    request.route,
                    service,
                    request_deadline_s(request) - now_s(),
                    has_not_refused if refused else in_regions,
                )
                if problem is not None:
                    yield problem
                    return
                worker = self.cold_admission.take_reserved(request.call)
            if worker is None:
                worker = self._workers.choose(service, refused, in_regions)
            if worker is None:
                break
            self._workers.reserve_slot(worker)
            try:
                async with contextlib.aclosing(
                    self._chunks(worker, request, after_event)
                ) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except NotRunError as error:
                refused.add(worker.incarnation)
                self._workers.record_not_run(worker, error.reason)
            finally:
                self._workers.release_slot(worker)
        if self._workers.are_all_evacuated(service):
            yield evacuated_problem(service, request.call.request_id)
            return
        yield self._no_worker(request, service, "no worker accepted the request")

    async def _chunks(
        self, worker: Worker, request: ForwardRequest, after_event: int | None
    ) -> AsyncGenerator[StreamPart]:
        answer: OpenAnswer | None = None
        has_started = False
        has_output = False
        sent_s = now_s()
        deadline_s = request_deadline_s(request)
        try:
            async with asyncio.timeout_at(deadline_s):
                answer = await self._back_ends.open(
                    worker, request.call, deadline_s - sent_s, after_event, is_repeatable=False
                )
            has_started = True
            self._record_usage(request)
            yield StreamHead(answer.status, answer.headers)
            self._workers.record_answer(worker)
            chunks = answer.chunks()
            while True:
                # A stream that still sends events may exceed its deadline, a silent one may not.
                async with asyncio.timeout_at(max(deadline_s, now_s() + STREAM_IDLE_TIMEOUT_S)):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    break
                self._workers.record_answer(worker)
                has_output = True
                yield chunk
            if answer.status in HTTP_SUCCESS:
                self._quarantine.record_success(fingerprint_of(request.call))
        except TimeoutError:
            self._workers.record_failure(worker)
            if has_started:
                raise BrokenAnswerError(DEADLINE_PASSED) from None
            self._record_usage(request)
            yield _deadline_problem(request, may_have_run=True)
        except BrokenAnswerError as error:
            self._workers.record_failure(worker)
            self._quarantine.record_disconnect(
                request.call.request_id,
                fingerprint_of(request.call),
                worker,
                timing=crash_timing(has_output, now_s() - sent_s),
            )
            if has_started:
                raise
            yield Problem(ResultCode.OUTCOME_UNKNOWN, str(error), request.call.request_id)
        finally:
            if answer is not None:
                answer.abort()

    def _no_worker(self, request: ForwardRequest, service: str, detail: str) -> Problem:
        """Return the error of a request that no worker can have run."""
        call = request.call
        if call.allowed_regions is None or self._workers.is_any_in(service, call.allowed_regions):
            return Problem(ResultCode.NO_BACK_END, detail, call.request_id, RETRY_AFTER_S)
        self._workers.num_refused_by_regions[service] += 1
        return no_worker_problem(service, call.allowed_regions, call.request_id)


def _deadline_problem(request: ForwardRequest, may_have_run: bool) -> Problem:
    """Return the error of a stream that had not begun when its deadline passed."""
    if may_have_run:
        return Problem(ResultCode.OUTCOME_UNKNOWN, DEADLINE_PASSED, request.call.request_id)
    return Problem(ResultCode.NO_BACK_END, DEADLINE_PASSED, request.call.request_id, RETRY_AFTER_S)
