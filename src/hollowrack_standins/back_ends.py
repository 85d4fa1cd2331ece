"""Workers in memory, on the loop's clock, that count what they run; for tests on virtual time."""

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
    """How one worker behaves.

    Attributes:
        refusal: Refuses everything, for this reason.
        is_silent: Takes requests and never answers.
        breaks_after_events: Breaks streams off after this many events; ``None`` for never.
        num_lost_answers: The next plain answers are lost after the request ran.
        num_errors: The next requests run and are answered 500.
        status: Status of the other answers.
        work_s: Time of a plain request or an event, in seconds.
        weight_version: Version that makes its events.
        num_slots: Plain requests it works on at once, the others wait; ``None`` for all.
        reports_load: Whether its answers tell its load.
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
    """All workers; see :class:`hollowrack.forwarding.back_end.BackEndClient`.

    Attributes:
        behaviours: By worker identity; workers not named behave well.
        num_events: Length of every stream that has none of its own.
        num_events_of: Lengths of streams by request.
        priorities: The priority that came with each request.
        executions: How often each request began to run.
        ran_at: Workers that began to run each request, in order.
        resumed_after_events: The event behind which each of these runs began, 0 for the beginning.
        running: Requests at work now, by worker identity.
        crashing_bodies: A request with one of these bodies ends each worker that begins to run
            it, and all that runs there is broken off.
        crashes: Workers that ended, with the time and the body that ended each, in order.
        on_crash: Called with each worker that has ended.
        work_time_factors: By body, how many times longer than others a plain request takes.
        num_cancelled: Requests whose senders left while they were at a worker.
    """

    behaviours: dict[str, WorkerBehaviour] = field(default_factory=dict)
    num_events: int = 4
    num_events_of: dict[str, int] = field(default_factory=dict)
    priorities: dict[str, int | None] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    ran_at: dict[str, list[str]] = field(default_factory=dict)
    resumed_after_events: dict[str, list[int]] = field(default_factory=dict)
    running: Counter[str] = field(default_factory=Counter)
    remaining_times_s: list[float] = field(default_factory=list)
    crashing_bodies: set[bytes] = field(default_factory=set)
    crashes: list["WorkerCrash"] = field(default_factory=list)
    on_crash: Callable[[Worker], None] = lambda _: None
    work_time_factors: dict[bytes, float] = field(default_factory=dict)
    num_cancelled: int = 0
    _ended: dict[WorkerIncarnation, asyncio.Event] = field(default_factory=dict)
    _restarted: dict[str, Worker] = field(default_factory=dict)
    _slots: dict[str, asyncio.Semaphore] = field(default_factory=dict)

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> "AnswerStandin":
        """Send a request."""
        del is_repeatable
        behaviour = self.behaviours.setdefault(worker.id, WorkerBehaviour())
        await asyncio.sleep(0.001)
        worker = self._restarted.get(worker.id, worker)
        if self._end_of(worker).is_set():
            raise NotRunError(NotRunReason.UNREACHABLE)
        if behaviour.refusal is not None:
            raise NotRunError(behaviour.refusal)
        self.executions[call.request_id] += 1
        self.priorities[call.request_id] = call.priority
        self.ran_at.setdefault(call.request_id, []).append(worker.id)
        self.resumed_after_events.setdefault(call.request_id, []).append(after_event or 0)
        self.remaining_times_s.append(time_left_s)
        self.running[worker.id] += 1
        try:
            return await self._answer(worker, call, behaviour, after_event)
        except BaseException as error:
            self.num_cancelled += isinstance(error, asyncio.CancelledError)
            self.running[worker.id] -= 1
            raise

    async def _answer(
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
            factor = self.work_time_factors.get(call.body, 1.0)
            await self.simulate_work(worker, behaviour.work_s * factor)
        if behaviour.num_lost_answers:
            behaviour.num_lost_answers -= 1
            raise BrokenAnswerError("reset")
        status = behaviour.status
        if behaviour.num_errors:
            behaviour.num_errors -= 1
            status = 500
        return AnswerStandin(self, worker, call, behaviour, status, after_event or 0)

    async def has_crashed(self, worker: Worker) -> bool:
        """Whether a life of a worker is over."""
        await asyncio.sleep(0.001)
        return self._end_of(worker).is_set()

    def crash(self, worker: Worker, body: bytes = b"") -> None:
        """End a worker with all that it runs."""
        if not self._end_of(worker).is_set():
            self._end_of(worker).set()
            self.crashes.append(WorkerCrash(worker, now_s(), body))
            self.on_crash(worker)

    def restart(self, worker: Worker) -> None:
        """Start a worker again: from now on this life takes all that is sent to its identity."""
        self._restarted[worker.id] = worker

    async def simulate_work(self, worker: Worker, seconds: float) -> None:
        """Pass time at a worker.

        Raises:
            BrokenAnswerError: If the worker ends meanwhile.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._end_of(worker).wait()
        except TimeoutError:
            return
        raise BrokenAnswerError("the worker has ended")

    def _slots_of(
        self, worker_id: str, behaviour: WorkerBehaviour
    ) -> AbstractAsyncContextManager[None]:
        if behaviour.num_slots is None:
            return contextlib.nullcontext()
        return self._slots.setdefault(worker_id, asyncio.Semaphore(behaviour.num_slots))

    def _end_of(self, worker: Worker) -> asyncio.Event:
        return self._ended.setdefault(worker.incarnation, asyncio.Event())


@dataclass(frozen=True)
class WorkerCrash:
    """A worker that ended.

    Attributes:
        worker: The worker.
        at_s: When, on the loop's clock.
        body: Body of the request that ended it; empty if none did.
    """

    worker: Worker
    at_s: float
    body: bytes


class AnswerStandin:
    """An answer; see :class:`hollowrack.forwarding.back_end.OpenAnswer`."""

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
        self._is_over = False
        self.status = status
        self.headers: Headers = (("Content-Type", "text/plain"),)
        self.signature: str | None = f"{worker.id}/{call.request_id}"
        self.weight_version: int | None = behaviour.weight_version
        num_all = back_ends.running[worker.id]
        num_slots = behaviour.num_slots or num_all
        report = LoadReport(min(num_all, num_slots), max(0, num_all - num_slots))
        self.load_report: LoadReport | None = report if behaviour.reports_load else None

    async def read(self) -> bytes:
        """Read the whole body."""
        return f"{self._call.request_id} by {self._worker.id}".encode()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the events of the request that are still missing."""
        back_ends = self._back_ends
        num_events = back_ends.num_events_of.get(self._call.request_id, back_ends.num_events)
        for number in range(self._after_event + 1, num_events + 1):
            await self._back_ends.simulate_work(self._worker, self._behaviour.work_s)
            breaks_after = self._behaviour.breaks_after_events
            if breaks_after is not None and number > breaks_after:
                yield b"id: "
                raise BrokenAnswerError("reset")
            data = f"{self._call.request_id}.{number}"
            yield f"id: {number}\ndata: {data}\n\n".encode()

    def abort(self) -> None:
        """The caller needs the answer no longer."""
        if not self._is_over:
            self._is_over = True
            self._back_ends.running[self._worker.id] -= 1
