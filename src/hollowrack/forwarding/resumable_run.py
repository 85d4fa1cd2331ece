"""One generation as a sequence of numbered events, continued at other workers when one fails."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
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

HTTP_OK = 200
HTTP_UNPROCESSABLE = 422
FIRST_SERVER_ERROR = 500
MIN_PAUSE_S = 0.02
# A run moves to faster workers and away from much slower ones, but not again and again.
MIN_EVENTS_BEFORE_MIGRATION = 6
EVENTS_BETWEEN_MIGRATION_CHECKS = 3
MAX_MIGRATIONS = 3
MAX_SLOW_WORKER_EXITS = 3


class _SlowWorkerError(Exception):
    """The run is better off elsewhere."""


class RunEndReason(Enum):
    """Why a run ended without its last event."""

    REJECTED = "a worker says that it can never be done"
    FAILED_TOO_OFTEN = "workers failed it too often"
    QUARANTINED = "too many workers ended under it"


class RunEndedError(Exception):
    """The run is over for good, with the answer of the last worker."""

    def __init__(self, end: RunEndReason) -> None:
        super().__init__(end.value)
        self.reason = end


@dataclass(frozen=True)
class VersionedEvent:
    """An event and the weight version that produced it; ``None`` if the worker did not tell."""

    event: StreamEvent
    weight_version: int | None


@dataclass(frozen=True)
class RunLimits:
    """Bounds of one run.

    Attributes:
        max_failures: Most answers that say the run failed.
        first_event_timeout: Longest wait for the head of an answer.
        idle_timeout_s: Longest pause inside an answer, in seconds.
        time_left_s: Time handed to a worker, in seconds.
        max_workers: Most workers that the run may begin at, without those that are gone; ``None``
            for any number.
    """

    max_failures: int
    first_event_timeout: FirstEventTimeout
    idle_timeout_s: float
    time_left_s: float
    max_workers: int | None = None


# The lives to avoid, and a further condition on the worker, if there is one.
AcquireWorker = Callable[[frozenset[WorkerIncarnation], Eligible | None], Awaitable[Worker]]
ReadVersion = Callable[[StreamEvent], int | None]
AcceptVersion = Callable[[int | None], bool]


class ResumableRun:
    """Runs one call until its last event.

    Args:
        call: The call.
        back_ends: Sends it.
        workers: Takes evidence about workers.
        acquire: Returns a worker with a place for the run, avoiding the given ones, of those that
            are eligible; the place is given back through ``workers.end``.
        read_version: Reads the weight version that an event announces.
        accepts_version: Whether an answer that begins under a version may be used.
        limits: Bounds.
        quarantine: Keeps calls that end their workers from further workers.
        after_event: Begin behind this event; ``None`` for the beginning.
        migration_policy: When the run should go on at a faster worker; ``None`` for never.
        waits: Follows what the run waits for; ``None`` if nobody wants to know.
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
    ) -> None:
        self.head: OpenAnswer | None = None
        self.num_attempts = 0
        self.queue_wait_s = 0.0
        self.waits = waits or RunWaits("", DispatchStatistics())
        self._call = call
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
        self._num_moves = 0
        self._num_escapes = 0
        self._avoided: frozenset[WorkerIncarnation] = frozenset()
        self._faster = MigrationSlot(workers, migration_policy)
        self._places = RunRetryPolicy(
            limits.max_failures,
            limits.max_workers,
            workers.is_current,
            workers.rng,
        )

    async def events(self) -> AsyncGenerator[VersionedEvent]:
        """Iterate over all events in order.

        Raises:
            RunEndedError: If the run cannot be finished.
        """
        is_whole = False
        try:
            async with contextlib.aclosing(self._attempts()) as events:
                async for event in events:
                    yield event
            is_whole = True
        finally:
            self._faster.close()
            if not is_whole:
                self._quarantine.record_abandoned(self._fingerprint)

    async def _attempts(self) -> AsyncGenerator[VersionedEvent]:
        while True:
            waited_before_s = self.queue_wait_s
            worker = await self._next_allowed_place()
            self.num_attempts += 1
            self.waits.record_start(worker.incarnation, self.queue_wait_s - waited_before_s)
            is_fruitless = True
            try:
                async with contextlib.aclosing(self._events_of(worker)) as events:
                    async for event in events:
                        is_fruitless = False
                        self._places.record_progress()
                        yield event
                self._workers.record_success(worker)
                self._quarantine.record_success(self._fingerprint)
                return
            except NotRunError as error:
                self._workers.record_not_run(worker, error.reason)
                self.waits.record_not_run(error.reason)
                if error.reason is NotRunReason.UNREACHABLE:
                    self._places.record_unreachable(worker)
            except _SlowWorkerError:
                logging.info(
                    "run %s: leaves slower worker %s after event %s",
                    self._call.request_id,
                    worker.incarnation,
                    self._last_number,
                )
            except (BrokenAnswerError, EventStreamError, TimeoutError) as error:
                self._workers.record_failure(worker)
                self._places.record_start(worker)
                if is_fruitless:
                    self._places.record_no_progress(worker)
                logging.info(
                    "run %s: worker %s: %s after event %s",
                    self._call.request_id,
                    worker.incarnation,
                    str(error) or "silent",
                    self._last_number,
                )
                if isinstance(error, BrokenAnswerError):
                    self._quarantine.record_disconnect(
                        self._call.request_id, self._fingerprint, worker, is_retried_here=True
                    )
            finally:
                self.waits.record_end()
                self._leave(worker)
            self._avoided = frozenset({worker.incarnation})
            await asyncio.sleep(MIN_PAUSE_S)

    async def _next_allowed_place(self) -> Worker:
        """A place where the run may begin.

        Raises:
            RunEndedError: If too many workers have ended under the call. Without this a run would
                go from one worker that it ends to the next for ever.
        """
        while True:
            self._check_quarantine()
            worker = await self._next_place()
            places = self._quarantine.suspect_placement
            # Others may have been placed there since the place was chosen.
            if self._is_allowed() and places.allows(self._fingerprint, worker.incarnation):
                places.begin(self._fingerprint, worker.incarnation)
                return worker
            self._workers.release_slot(worker)
            await asyncio.sleep(MIN_PAUSE_S)

    def _leave(self, worker: Worker) -> None:
        self._quarantine.suspect_placement.end(self._fingerprint, worker.incarnation)
        self._workers.release_slot(worker)

    def _is_allowed(self) -> bool:
        return self._quarantine.quarantine_state(self._fingerprint) is None

    def _check_quarantine(self) -> None:
        if not self._is_allowed():
            raise RunEndedError(RunEndReason.QUARANTINED)

    async def _next_place(self) -> Worker:
        """The faster place that the run has asked for, or else the first that is free."""
        faster = self._faster.claim()
        if faster is not None:
            if self._may_begin(faster):
                return faster
            self._workers.release_slot(faster)
        began_waiting_s = now_s()
        condition = self._may_begin if self._places.are_restricted else None
        worker = await self._acquire(self._avoided, condition)
        self.queue_wait_s += now_s() - began_waiting_s
        return worker

    def _may_begin(self, worker: Worker) -> bool:
        return self._places.may_begin(worker)

    async def _events_of(self, worker: Worker) -> AsyncGenerator[VersionedEvent]:
        answer: OpenAnswer | None = None
        try:
            sent_s = now_s()
            async with asyncio.timeout(self._limits.first_event_timeout.value_s):
                answer = await self._back_ends.open(
                    worker, self._call, self._limits.time_left_s, self._last_number
                )
            self._limits.first_event_timeout.record(now_s() - sent_s)
            self._places.record_start(worker)
            self._check_status(answer)
            if not self._accepts_version(answer.weight_version):
                raise NotRunError(NotRunReason.BUSY)
            if self.head is None:
                self.head = answer
            async with contextlib.aclosing(self._whole_events(worker, answer)) as events:
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
        if answer.status == FIRST_SERVER_ERROR:
            self._num_failures += 1
            if self._num_failures >= self._limits.max_failures:
                raise RunEndedError(RunEndReason.FAILED_TOO_OFTEN)
        raise BrokenAnswerError(f"status {answer.status}")

    async def _whole_events(
        self, worker: Worker, answer: OpenAnswer
    ) -> AsyncGenerator[VersionedEvent]:
        parser = EventStreamParser()
        num_events = 0
        next_look = MIN_EVENTS_BEFORE_MIGRATION
        last_s = now_s()
        version = answer.weight_version
        chunks = answer.chunks()
        while True:
            try:
                async with asyncio.timeout(self._limits.idle_timeout_s):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                break
            whole = parser.feed(chunk)
            if whole:
                self.waits.record_event()
                self._workers.record_latency(worker, (now_s() - last_s) / len(whole))
                last_s = now_s()
                num_events += len(whole)
            for event in whole:
                if self._last_number is not None and event.number != self._last_number + 1:
                    raise EventStreamError(f"event {event.number} is out of order")
                announced = self._read_version(event)
                version = announced if announced is not None else version
                self._last_number = event.number
                yield VersionedEvent(event, version)
            if num_events >= next_look:
                next_look = num_events + EVENTS_BETWEEN_MIGRATION_CHECKS
                if self._should_move(worker):
                    raise _SlowWorkerError
        if parser.has_partial_event:
            raise BrokenAnswerError("the answer ends inside an event")

    def _should_move(self, worker: Worker) -> bool:
        if not self._places.may_leave(worker):
            return False
        if self._num_moves < MAX_MIGRATIONS and self._faster.poll(worker, self._last_number or 0):
            self._num_moves += 1
            return True
        # Counted apart: a run that has moved for little must still get away from such a worker.
        if self._num_escapes < MAX_SLOW_WORKER_EXITS and self._workers.is_much_slower(worker):
            self._num_escapes += 1
            return True
        return False
