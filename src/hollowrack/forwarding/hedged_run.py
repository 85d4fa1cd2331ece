"""Runs the attempts of one request: the next one after a failure, or beside one that is late."""

import asyncio
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from hollowrack.clock import now_s
from hollowrack.forwarding.hedging import GIVE_UP_SHARE
from hollowrack.forwarding.types import Worker
from hollowrack.tasks import cancel_all

Answer = TypeVar("Answer")
Answer_co = TypeVar("Answer_co", covariant=True)


class AttemptSource(Protocol[Answer_co]):
    """What one request's attempts are made of."""

    def next_worker(self) -> Worker | None:
        """Return the worker of the next attempt; ``None`` if there may be none."""

    def spare_worker(self, late: Worker) -> Worker | None:
        """Return a worker that may run the request beside or instead of a late one.

        It has room, and should answer sooner than the late one.
        """

    def spend_hedge_budget(self) -> bool:
        """Whether the budget allows an attempt beside a late one; spends it."""

    async def attempt(self, worker: Worker) -> Answer_co | None:
        """Try one worker; ``None`` if the request needs another one."""

    def late_after_s(self) -> float:
        """How long an attempt that begins now may take until it is late, in seconds."""

    def record_late(self, worker: Worker, seconds: float) -> None:
        """An attempt has not ended within the time of nearly all others."""

    def record_abandoned(self, worker: Worker) -> None:
        """A late attempt is cut off for another one."""


@dataclass
class _Attempt(Generic[Answer]):
    worker: Worker
    task: asyncio.Task[Answer | None]
    begun_s: float
    is_late: bool = False


class HedgedRun(Generic[Answer]):
    """The attempts of one request. At most one of their answers is returned.

    Args:
        source: Makes the attempts.
        end_s: When the request has to be over, on the loop's clock.
    """

    def __init__(self, source: AttemptSource[Answer], end_s: float) -> None:
        self._source = source
        self._end_s = end_s
        self._running: list[_Attempt[Answer]] = []
        self._next_look_s: float | None = None

    async def first_answer(self) -> Answer | None:
        """Return the first whole answer; ``None`` if no further worker may be tried.

        Attempts that still run are cancelled, also if this is.
        """
        try:
            while self._running or self._begin_next():
                await self._wait()
                answer = self._take_ended()
                if answer is not None:
                    return answer
                if self._running and self._is_time_to_look():
                    await self._look()
            return None
        finally:
            await cancel_all(*(attempt.task for attempt in self._running))

    def _begin_next(self) -> bool:
        worker = self._source.next_worker()
        if worker is None:
            return False
        self._begin(worker)
        return True

    def _begin(self, worker: Worker) -> None:
        task = asyncio.create_task(self._source.attempt(worker))
        self._running.append(_Attempt(worker, task, now_s()))
        self._next_look_s = now_s() + self._source.late_after_s()

    async def _wait(self) -> None:
        """Wait until an attempt ends or the latest one is late."""
        timeout_s = None if self._next_look_s is None else max(0.0, self._next_look_s - now_s())
        tasks = [attempt.task for attempt in self._running]
        await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)

    def _take_ended(self) -> Answer | None:
        """Take out the attempts that have ended; returns the answer of the earliest, if any."""
        ended = [attempt for attempt in self._running if attempt.task.done()]
        self._running = [attempt for attempt in self._running if not attempt.task.done()]
        answers = [attempt.task.result() for attempt in ended]
        return next((answer for answer in answers if answer is not None), None)

    def _is_time_to_look(self) -> bool:
        return self._next_look_s is not None and now_s() >= self._next_look_s

    async def _look(self) -> None:
        latest = self._running[-1]
        if not latest.is_late:
            latest.is_late = True
            self._source.record_late(latest.worker, now_s() - latest.begun_s)
        spare = self._source.spare_worker(latest.worker)
        if spare is not None and self._source.spend_hedge_budget():
            self._begin(spare)
            return
        give_up_s = latest.begun_s + GIVE_UP_SHARE * (self._end_s - latest.begun_s)
        if now_s() < give_up_s:
            self._next_look_s = give_up_s
            return
        self._next_look_s = None
        if spare is not None and len(self._running) == 1:
            await self._replace(latest, spare)

    async def _replace(self, attempt: _Attempt[Answer], worker: Worker) -> None:
        """Cut an attempt off for another worker."""
        self._source.record_abandoned(attempt.worker)
        self._running.remove(attempt)
        await cancel_all(attempt.task)
        self._begin(worker)
