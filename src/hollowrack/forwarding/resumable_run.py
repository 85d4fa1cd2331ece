"""Resumable run: a stream of numbered events that continues at another worker after a failure."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, replace
from enum import Enum

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import (
    BackEndCall,
    BackEndClient,
    BrokenAnswerError,
    NotRunError,
    NotRunReason,
    OpenAnswer,
)
from hollowrack.forwarding.dispatch_statistics import DispatchStatistics
from hollowrack.forwarding.event_stream import EventStreamError, EventStreamParser, StreamEvent
from hollowrack.forwarding.first_event_timeout import FirstEventTimeout
from hollowrack.forwarding.migration import MigrationPolicy, MigrationSlot
from hollowrack.forwarding.run_retry_policy import RunRetryPolicy
from hollowrack.forwarding.run_waits import RunWaits
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.quarantine.types import crash_timing
from hollowrack.regions.allowed_regions import AllowedRegions

HTTP_OK = 200
HTTP_UNPROCESSABLE = 422
HTTP_INTERNAL_SERVER_ERROR = 500
RETRY_INTERVAL_S = 0.02
# Bounds on how often a run migrates to a faster worker or leaves a much slower one.
MIN_EVENTS_BEFORE_MIGRATION = 6
EVENTS_BETWEEN_MIGRATION_CHECKS = 3
MAX_MIGRATIONS = 3
MAX_SLOW_WORKER_EXITS = 3


class _SlowWorkerError(Exception):
    """Raised to continue the run at a faster worker."""


class RunEndReason(Enum):
    """Reason why a run ended without its last event."""

    REJECTED = "a worker rejected it as impossible to complete"
    FAILED_TOO_OFTEN = "the maximum number of failed attempts was reached"
    QUARANTINED = "too many workers crashed under it"
    DEADLINE_PASSED = "its deadline has passed"


class RunEndedError(Exception):
    """Raised if a run ends without its last event."""

    def __init__(self, reason: RunEndReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True)
class VersionedEvent:
    """An event and the weight version that produced it; ``None`` if it was not reported."""

    event: StreamEvent
    weight_version: int | None


@dataclass(frozen=True)
class RunLimits:
    """Limits of one run.

    Attributes:
        max_failures: Number of answers with an internal server error after which the run fails.
        first_event_timeout: Timeout for the head of an answer.
        idle_timeout_s: Maximum time without data inside an answer, in seconds.
        time_left_s: Time sent to workers as the caller's remaining time, in seconds.
        max_workers: Maximum number of current incarnations that the run may start at; ``None`` for
            no limit.
        max_stable_wait_s: Maximum time to wait before an attempt until workers no longer crash, if
            several have crashed under the call, in seconds.
        deadline_s: Time by which an answer must have begun, on the loop's clock; ``None`` for no
            limit.
    """

    max_failures: int
    first_event_timeout: FirstEventTimeout
    idle_timeout_s: float
    time_left_s: float
    max_workers: int | None = None
    max_stable_wait_s: float = 0.0
    deadline_s: float | None = None


# Arguments: incarnations to avoid, and a condition on the worker or None.
AcquireWorker = Callable[[frozenset[WorkerIncarnation], Eligible | None], Awaitable[Worker]]
ReadVersion = Callable[[StreamEvent], int | None]
AcceptVersion = Callable[[int | None], bool]


class ResumableRun:
    """Runs one call to its last event, at several workers in turn if necessary.

    Args:
        call: Request that starts the run.
        back_ends: Client that sends requests to workers.
        workers: Directory of workers, which records their successes and failures.
        acquire: Reserves a slot for the run and returns its worker, avoiding the given incarnations
            if possible; the slot is released through ``workers.release_slot``.
        read_version: Reads the weight version from an event; ``None`` if the event has none.
        accepts_version: Returns whether an answer that starts with a weight version may be used.
        limits: Limits of the run.
        quarantine: Blocks calls that are suspected of crashing workers.
        after_event: Number of the event after which the run starts; ``None`` for the first event.
        migration_policy: Decides when the run migrates to a faster worker; ``None`` for never.
        waits: Record of the waits of the run; ``None`` for a record of its own.
        current_regions: Returns the allowed regions before each attempt; ``None`` for those of the
            call.

    Attributes:
        head: Head of the first answer; ``None`` before it.
        may_have_run: Whether a worker may have started to run the call.
        num_attempts: Number of attempts so far.
        queue_wait_s: Total time spent waiting for slots, in seconds.
        waits: Record of the waits of the run.
    """

    def __init__(
        self,
        call: BackEndCall,
        back_ends: BackEndClient,
        workers: WorkerDirectory,
        acquire: AcquireWorker,
        read_version: ReadVersion,
        accepts_version: AcceptVersion,
        limits: RunLimits,
        quarantine: Quarantine,
        after_event: int | None = None,
        migration_policy: MigrationPolicy | None = None,
        waits: RunWaits | None = None,
        current_regions: Callable[[], AllowedRegions] | None = None,
    ) -> None:
        self.head: OpenAnswer | None = None
        self.may_have_run = False
        self.num_attempts = 0
        self.queue_wait_s = 0.0
        self.waits = waits or RunWaits("", DispatchStatistics())
        self._call = call
        self._current_regions = current_regions
        self._back_ends = back_ends
        self._workers = workers
        self._acquire = acquire
        self._read_version = read_version
        self._accepts_version = accepts_version
        self._limits = limits
        self._quarantine = quarantine
        self._fingerprint = fingerprint_of(call)
        self._last_number = after_event
        self._num_failures = 0
        self._num_migrations = 0
        self._num_slow_worker_exits = 0
        self._avoided: frozenset[WorkerIncarnation] = frozenset()
        self._migration_slot = MigrationSlot(workers, migration_policy)
        self._retry_policy = RunRetryPolicy(
            limits.max_failures,
            limits.max_workers,
            workers.is_current,
            workers.rng,
        )

    async def events(self) -> AsyncGenerator[VersionedEvent]:
        """Iterate over all events in order.

        Raises:
            RunEndedError: If the run cannot be completed.
        """
        is_complete = False
        try:
            async with contextlib.aclosing(self._attempts()) as events:
                async for event in events:
                    yield event
            is_complete = True
        finally:
            self._migration_slot.close()
            if not is_complete:
                self._quarantine.record_abandoned(self._fingerprint)

    async def _attempts(self) -> AsyncGenerator[VersionedEvent]:
        while True:
            waited_before_s = self.queue_wait_s
            worker = await self._next_worker_in_time()
            self.num_attempts += 1
            self.waits.record_start(worker.incarnation, self.queue_wait_s - waited_before_s)
            has_no_event = True
            started_s = now_s()
            try:
                async with contextlib.aclosing(self._events_of(worker)) as events:
                    async for event in events:
                        has_no_event = False
                        self._retry_policy.record_progress()
                        yield event
                self._workers.record_success(worker)
                self._quarantine.record_success(self._fingerprint)
                return
            except NotRunError as error:
                self._workers.record_not_run(worker, error.reason)
                self.waits.record_not_run(error.reason)
                if error.reason is NotRunReason.UNREACHABLE:
                    self._retry_policy.record_unreachable(worker)
            except _SlowWorkerError:
                logging.info(
                    "run %s: leaving slower worker %s after event %s",
                    self._call.request_id,
                    worker.incarnation,
                    self._last_number,
                )
            except (BrokenAnswerError, EventStreamError, TimeoutError) as error:
                self.may_have_run = True
                self._workers.record_failure(worker)
                self._retry_policy.record_start(worker)
                if has_no_event:
                    self._retry_policy.record_no_progress(worker)
                logging.info(
                    "run %s: worker %s: %s after event %s",
                    self._call.request_id,
                    worker.incarnation,
                    str(error) or "timed out",
                    self._last_number,
                )
                if isinstance(error, BrokenAnswerError):
                    self._quarantine.record_disconnect(
                        self._call.request_id,
                        self._fingerprint,
                        worker,
                        is_retried_here=True,
                        timing=crash_timing(self._last_number is not None, now_s() - started_s),
                    )
            finally:
                self.waits.record_end()
                self._release(worker)
            self._avoided = frozenset({worker.incarnation})
            if self._answer_deadline_s is not None and now_s() >= self._answer_deadline_s:
                raise RunEndedError(RunEndReason.DEADLINE_PASSED)
            await asyncio.sleep(RETRY_INTERVAL_S)
            await self._quarantine.settle_evidence(self._fingerprint)

    @property
    def _answer_deadline_s(self) -> float | None:
        """Deadline of the run; ``None`` without one and after an answer has begun."""
        return self._limits.deadline_s if self.head is None else None

    async def _next_worker_in_time(self) -> Worker:
        try:
            async with asyncio.timeout_at(self._answer_deadline_s):
                return await self._next_allowed_worker()
        except TimeoutError:
            raise RunEndedError(RunEndReason.DEADLINE_PASSED) from None

    async def _next_allowed_worker(self) -> Worker:
        """Wait for a slot at a worker where the quarantine allows the run.

        Raises:
            RunEndedError: If the call is quarantined because too many workers crashed under it.
        """
        while True:
            await self._quarantine.wait_until_stable(
                self._fingerprint, self._limits.max_stable_wait_s
            )
            self._check_quarantine()
            worker = await self._next_worker()
            placement = self._quarantine.suspect_placement
            # The quarantine and its placement may have changed during the wait.
            if self._is_allowed() and placement.allows(self._fingerprint, worker.incarnation):
                placement.begin(self._fingerprint, worker.incarnation)
                return worker
            self._workers.release_slot(worker)
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _release(self, worker: Worker) -> None:
        self._quarantine.suspect_placement.end(self._fingerprint, worker.incarnation)
        self._workers.release_slot(worker)

    def _is_allowed(self) -> bool:
        return self._quarantine.quarantine_state(self._fingerprint) is None

    def _check_quarantine(self) -> None:
        if not self._is_allowed():
            raise RunEndedError(RunEndReason.QUARANTINED)

    async def _next_worker(self) -> Worker:
        """Return the worker of a granted migration slot, or wait for a slot in the queue."""
        target = self._migration_slot.claim()
        if target is not None:
            if self._may_begin(target):
                return target
            self._workers.release_slot(target)
        wait_start_s = now_s()
        condition = self._may_begin if self._retry_policy.is_restricted else None
        worker = await self._acquire(self._avoided, condition)
        self.queue_wait_s += now_s() - wait_start_s
        return worker

    def _allowed_regions(self) -> AllowedRegions:
        current = self._current_regions
        return self._call.allowed_regions if current is None else current()

    def _may_begin(self, worker: Worker) -> bool:
        return self._retry_policy.may_begin(worker)

    async def _events_of(self, worker: Worker) -> AsyncGenerator[VersionedEvent]:
        answer: OpenAnswer | None = None
        try:
            sent_s = now_s()
            call = self._call
            if self._current_regions is not None:
                call = replace(call, allowed_regions=self._current_regions())
            head_by_s = sent_s + self._limits.first_event_timeout.value_s
            if self._answer_deadline_s is not None:
                head_by_s = min(head_by_s, self._answer_deadline_s)
            async with asyncio.timeout_at(head_by_s):
                answer = await self._back_ends.open(
                    worker, call, self._limits.time_left_s, self._last_number
                )
            self.may_have_run = True
            self._limits.first_event_timeout.record(now_s() - sent_s)
            self._retry_policy.record_start(worker)
            self._check_status(answer)
            if not self._accepts_version(answer.weight_version):
                raise NotRunError(NotRunReason.BUSY)
            if self.head is None:
                self.head = answer
            async with contextlib.aclosing(self._read_events(worker, answer)) as events:
                async for event in events:
                    yield event
        finally:
            if answer is not None:
                answer.abort()

    def _check_status(self, answer: OpenAnswer) -> None:
        if answer.status == HTTP_OK:
            return
        if answer.status == HTTP_UNPROCESSABLE:
            raise RunEndedError(RunEndReason.REJECTED)
        if answer.status == HTTP_INTERNAL_SERVER_ERROR:
            self._num_failures += 1
            if self._num_failures >= self._limits.max_failures:
                raise RunEndedError(RunEndReason.FAILED_TOO_OFTEN)
        raise BrokenAnswerError(f"status {answer.status}")

    async def _read_events(
        self, worker: Worker, answer: OpenAnswer
    ) -> AsyncGenerator[VersionedEvent]:
        parser = EventStreamParser()
        num_events = 0
        next_check = MIN_EVENTS_BEFORE_MIGRATION
        last_s = now_s()
        version = answer.weight_version
        chunks = answer.chunks()
        while True:
            try:
                async with asyncio.timeout(self._limits.idle_timeout_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                break
            completed = parser.feed(chunk)
            if completed:
                self.waits.record_event()
                self._workers.record_latency(worker, (now_s() - last_s) / len(completed))
                last_s = now_s()
                num_events += len(completed)
            for event in completed:
                if self._last_number is not None and event.number != self._last_number + 1:
                    raise EventStreamError(f"event {event.number} is out of order")
                announced = self._read_version(event)
                version = announced if announced is not None else version
                self._last_number = event.number
                yield VersionedEvent(event, version)
            if num_events >= next_check:
                next_check = num_events + EVENTS_BETWEEN_MIGRATION_CHECKS
                if self._should_leave(worker):
                    raise _SlowWorkerError
        if parser.has_partial_event:
            raise BrokenAnswerError("answer truncated inside an event")

    def _should_leave(self, worker: Worker) -> bool:
        if not self._retry_policy.may_leave(worker):
            return False
        if self._num_migrations < MAX_MIGRATIONS and self._migration_slot.poll(
            worker, self._last_number or 0
        ):
            self._num_migrations += 1
            return True
        # Counted separately, so that earlier migrations never keep a run at a much slower worker.
        if (
            self._num_slow_worker_exits < MAX_SLOW_WORKER_EXITS
            and self._workers.is_much_slower(worker)
            and self._has_faster_in_regions(worker)
        ):
            self._num_slow_worker_exits += 1
            return True
        return False

    def _has_faster_in_regions(self, worker: Worker) -> bool:
        """Whether the fastest workers, which the run may leave a worker for, may run it."""
        allowed_regions = self._allowed_regions()
        return allowed_regions is None or self._workers.has_faster(
            worker, self._workers.in_regions(allowed_regions)
        )
