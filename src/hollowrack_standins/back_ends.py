"""In-memory workers that record the requests they run; for tests on virtual time."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import (
    BackEndCall,
    BrokenAnswerError,
    Headers,
    LoadReport,
    NotRunError,
    NotRunReason,
)
from hollowrack.forwarding.types import Worker, WorkerIncarnation

NO_ANSWER_DELAY_S = 1_000_000.0
CRASH_DELAY_S = 0.06


@dataclass
class WorkerBehaviour:
    """Behaviour of one worker.

    Attributes:
        refusal: Reason for which it refuses all requests; ``None`` to accept them.
        is_silent: Whether it accepts requests and never answers.
        breaks_after_events: Number of events after which it disconnects a stream; ``None`` for
            never.
        num_lost_answers: Number of next requests whose answers are lost after they ran.
        num_errors: Number of next requests that run and are answered 500.
        status: HTTP status of the other answers.
        work_s: Time of a plain request or of one event, in seconds.
        weight_version: Weight version that its answers name.
        num_slots: Limit of concurrent requests, above which requests wait; ``None`` for no limit.
        reports_load: Whether its answers contain a load report.
    """

    refusal: NotRunReason | None = None
    is_silent: bool = False
    breaks_after_events: int | None = None
    num_lost_answers: int = 0
    num_errors: int = 0
    status: int = 200
    work_s: float = 0.02
    weight_version: int = 1
    num_slots: int | None = None
    reports_load: bool = False


@dataclass
class BackEndsStandin:
    """Client to all workers; implements :class:`hollowrack.forwarding.back_end.BackEndClient`.

    Attributes:
        behaviours: Behaviours by worker identifier; other workers have the default one.
        num_events: Number of events of a stream not in ``num_events_of``.
        num_events_of: Number of events of a stream, by request identifier.
        priorities: Priority received with each request, by request identifier.
        executions: Number of executions started, by request identifier.
        worker_ids_by_request: Identifiers of the workers that started to run each request, in
            order.
        resumed_after_events: Number of the event after which each execution in ``ran_at`` resumed,
            by request identifier; 0 for one from the start.
        running: Number of running requests, by worker identifier.
        remaining_times_s: Time left until the deadline of each started request, in seconds, in
            order.
        blocked_requests: Identifiers of requests that reach no further worker, as the process that
            forwards them has ended.
        crashing_bodies: Bodies that crash each worker which runs a request with one of them.
        crashing_after_events: Bodies that crash each worker after it has sent so many events.
        crashes: Crashes, in order.
        on_crash: Called with the incarnation at each crash.
        work_time_factors: Factors of the time until an answer starts, by body; 1 for other bodies.
        num_cancelled: Number of requests that were cancelled before their answer began.
    """

    behaviours: dict[str, WorkerBehaviour] = field(default_factory=dict)
    num_events: int = 4
    num_events_of: dict[str, int] = field(default_factory=dict)
    priorities: dict[str, int | None] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    worker_ids_by_request: dict[str, list[str]] = field(default_factory=dict)
    resumed_after_events: dict[str, list[int]] = field(default_factory=dict)
    running: Counter[str] = field(default_factory=Counter)
    remaining_times_s: list[float] = field(default_factory=list)
    blocked_requests: set[str] = field(default_factory=set)
    crashing_bodies: set[bytes] = field(default_factory=set)
    crashing_after_events: dict[bytes, int] = field(default_factory=dict)
    crashes: list["WorkerCrash"] = field(default_factory=list)
    on_crash: Callable[[Worker], None] = lambda _: None
    work_time_factors: dict[bytes, float] = field(default_factory=dict)
    num_cancelled: int = 0
    _crash_events: dict[WorkerIncarnation, asyncio.Event] = field(default_factory=dict)
    _current_incarnations: dict[str, Worker] = field(default_factory=dict)
    _slots: dict[str, asyncio.Semaphore] = field(default_factory=dict)

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> "AnswerStandin":
        """Send a request; see :class:`BackEndClient`."""
        del is_repeatable
        if call.request_id in self.blocked_requests:
            raise NotRunError(NotRunReason.UNREACHABLE)
        behaviour = self.behaviours.setdefault(worker.id, WorkerBehaviour())
        await asyncio.sleep(0.001)
        worker = self._current_incarnations.get(worker.id, worker)
        if self._crash_event_of(worker).is_set():
            raise NotRunError(NotRunReason.UNREACHABLE)
        if behaviour.refusal is not None:
            raise NotRunError(behaviour.refusal)
        self.executions[call.request_id] += 1
        self.priorities[call.request_id] = call.priority
        self.worker_ids_by_request.setdefault(call.request_id, []).append(worker.id)
        self.resumed_after_events.setdefault(call.request_id, []).append(after_event or 0)
        self.remaining_times_s.append(time_left_s)
        self.running[worker.id] += 1
        try:
            return await self._run(worker, call, behaviour, after_event)
        except BaseException as error:
            self.num_cancelled += isinstance(error, asyncio.CancelledError)
            self.running[worker.id] -= 1
            raise

    async def _run(
        self,
        worker: Worker,
        call: BackEndCall,
        behaviour: WorkerBehaviour,
        after_event: int | None,
    ) -> "AnswerStandin":
        if behaviour.is_silent:
            await asyncio.sleep(NO_ANSWER_DELAY_S)
        if call.body in self.crashing_bodies:
            await self.simulate_work(worker, CRASH_DELAY_S)
            self.crash(worker, call.body)
        async with self._slots_of(worker.id, behaviour):
            time_factor = self.work_time_factors.get(call.body, 1.0)
            await self.simulate_work(worker, behaviour.work_s * time_factor)
        if behaviour.num_lost_answers:
            behaviour.num_lost_answers -= 1
            raise BrokenAnswerError("fault: connection reset before the answer was sent")
        status = behaviour.status
        if behaviour.num_errors:
            behaviour.num_errors -= 1
            status = 500
        return AnswerStandin(self, worker, call, behaviour, status, after_event or 0)

    async def has_crashed(self, worker: Worker) -> bool:
        """Return whether an incarnation of a worker has crashed."""
        await asyncio.sleep(0.001)
        return self._crash_event_of(worker).is_set()

    def crash(self, worker: Worker, body: bytes = b"") -> None:
        """Crash an incarnation of a worker; its running requests are disconnected."""
        if not self._crash_event_of(worker).is_set():
            self._crash_event_of(worker).set()
            self.crashes.append(WorkerCrash(worker, now_s(), body))
            self.on_crash(worker)

    def restart(self, worker: Worker) -> None:
        """Restart a worker: all later requests to its identifier reach this incarnation."""
        self._current_incarnations[worker.id] = worker

    async def simulate_work(self, worker: Worker, duration_s: float) -> None:
        """Simulate work at a worker for ``duration_s`` seconds.

        Raises:
            BrokenAnswerError: If the worker crashes during that time.
        """
        try:
            async with asyncio.timeout(duration_s):
                await self._crash_event_of(worker).wait()
        except TimeoutError:
            return
        raise BrokenAnswerError("fault: worker crashed during the request")

    def _slots_of(
        self, worker_id: str, behaviour: WorkerBehaviour
    ) -> AbstractAsyncContextManager[None]:
        if behaviour.num_slots is None:
            return contextlib.nullcontext()
        return self._slots.setdefault(worker_id, asyncio.Semaphore(behaviour.num_slots))

    def _crash_event_of(self, worker: Worker) -> asyncio.Event:
        return self._crash_events.setdefault(worker.incarnation, asyncio.Event())


@dataclass(frozen=True)
class WorkerCrash:
    """A crash of an incarnation.

    Attributes:
        at_s: Time of the crash on the clock of the event loop, in seconds.
        body: Body of the request that caused it; empty if none did.
    """

    worker: Worker
    at_s: float
    body: bytes


class AnswerStandin:
    """Answer of a worker; implements :class:`hollowrack.forwarding.back_end.OpenAnswer`."""

    def __init__(
        self,
        back_ends: BackEndsStandin,
        worker: Worker,
        call: BackEndCall,
        behaviour: WorkerBehaviour,
        status: int,
        after_event: int,
    ) -> None:
        self._back_ends = back_ends
        self._worker = worker
        self._call = call
        self._behaviour = behaviour
        self._after_event = after_event
        self._is_aborted = False
        self.status = status
        self.headers: Headers = (("Content-Type", "text/plain"),)
        self.signature: str | None = f"{worker.id}/{call.request_id}"
        self.weight_version: int | None = behaviour.weight_version
        num_requests = back_ends.running[worker.id]
        num_slots = behaviour.num_slots or num_requests
        report = LoadReport(min(num_requests, num_slots), max(0, num_requests - num_slots))
        self.load_report: LoadReport | None = report if behaviour.reports_load else None

    async def read(self) -> bytes:
        """Return the body of a plain answer."""
        return f"{self._call.request_id} by {self._worker.id}".encode()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the events after the one from which the request resumes."""
        back_ends = self._back_ends
        num_events = back_ends.num_events_of.get(self._call.request_id, back_ends.num_events)
        for number in range(self._after_event + 1, num_events + 1):
            await self._back_ends.simulate_work(self._worker, self._behaviour.work_s)
            max_events = self._behaviour.breaks_after_events
            if max_events is not None and number > max_events:
                yield b"id: "
                raise BrokenAnswerError("fault: connection reset within an event")
            data = f"{self._call.request_id}.{number}"
            yield f"id: {number}\ndata: {data}\n\n".encode()
            max_sent = back_ends.crashing_after_events.get(self._call.body)
            if max_sent is not None and number - self._after_event >= max_sent:
                back_ends.crash(self._worker, self._call.body)

    def abort(self) -> None:
        """End the request at its worker; the caller no longer needs the answer."""
        if not self._is_aborted:
            self._is_aborted = True
            self._back_ends.running[self._worker.id] -= 1
