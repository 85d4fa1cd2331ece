"""Runner of one request's attempts: retries after failures, hedged attempts when one is late."""

import asyncio
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from hollowrack.clock import now_s
from hollowrack.forwarding.hedging import ABANDON_FRACTION
from hollowrack.forwarding.types import Worker
from hollowrack.tasks import cancel_all

Answer = TypeVar("Answer")
Answer_co = TypeVar("Answer_co", covariant=True)


class AttemptSource(Protocol[Answer_co]):
    """Makes the attempts of one request and decides which are allowed."""

    def next_worker(self) -> Worker | None:
        """Return the worker of the next attempt; ``None`` if no further attempt is allowed."""

    def spare_worker(self, late: Worker) -> Worker | None:
        """Return a worker that may run the request in addition to, or instead of, a late one.

        The worker has a free slot and is expected to answer sooner; ``None`` if there is none.
        """

    def spend_hedge_budget(self) -> bool:
        """Spend one hedged attempt of the budget; return whether the budget allowed it."""

    async def attempt(self, worker: Worker) -> Answer_co | None:
        """Try one worker; ``None`` if another worker has to be tried."""

    def late_after_s(self, worker: Worker) -> float:
        """After which time an attempt that starts now at a worker is late, in seconds."""

    def record_late(self, worker: Worker, seconds: float) -> None:
        """Record that an attempt is late after so many seconds."""

    def record_abandoned(self, worker: Worker) -> None:
        """Record that a late attempt is cancelled in favour of another worker."""


@dataclass
class _Attempt(Generic[Answer]):
    worker: Worker
    task: asyncio.Task[Answer | None]
    started_s: float
    is_late: bool = False


class HedgedRun(Generic[Answer]):
    """Runs the attempts of one request and returns at most one of their answers.

    Args:
        source: Makes the attempts.
        deadline_s: Deadline of the request, on the loop's clock.
    """

    def __init__(self, source: AttemptSource[Answer], deadline_s: float) -> None:
        self._source = source
        self._deadline_s = deadline_s
        self._running: list[_Attempt[Answer]] = []
        self._next_check_s: float | None = None

    async def first_answer(self) -> Answer | None:
        """Return the first complete answer; ``None`` if no further worker may be tried.

        Cancels the attempts that are still running, also if the call itself is cancelled.
        """
        try:
            while self._running or self._start_next():
                await self._wait()
                answer = self._remove_ended()
                if answer is not None:
                    return answer
                if self._running and self._is_check_due():
                    await self._check_latest()
            return None
        finally:
            await cancel_all(*(attempt.task for attempt in self._running))

    def _start_next(self) -> bool:
        worker = self._source.next_worker()
        if worker is None:
            return False
        self._start(worker)
        return True

    def _start(self, worker: Worker) -> None:
        task = asyncio.create_task(self._source.attempt(worker))
        self._running.append(_Attempt(worker, task, now_s()))
        self._next_check_s = now_s() + self._source.late_after_s(worker)

    async def _wait(self) -> None:
        """Wait until an attempt ends or the next check of the latest attempt is due."""
        timeout_s = None if self._next_check_s is None else max(0.0, self._next_check_s - now_s())
        tasks = [attempt.task for attempt in self._running]
        await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)

    def _remove_ended(self) -> Answer | None:
        """Remove the attempts that have ended; return the answer of the earliest, if any."""
        ended = [attempt for attempt in self._running if attempt.task.done()]
        self._running = [attempt for attempt in self._running if not attempt.task.done()]
        answers = [attempt.task.result() for attempt in ended]
        return next((answer for answer in answers if answer is not None), None)

    def _is_check_due(self) -> bool:
        return self._next_check_s is not None and now_s() >= self._next_check_s

    async def _check_latest(self) -> None:
        latest = self._running[-1]
        if not latest.is_late:
            latest.is_late = True
            self._source.record_late(latest.worker, now_s() - latest.started_s)
        spare = self._source.spare_worker(latest.worker)
        if spare is not None and self._source.spend_hedge_budget():
            self._start(spare)
            return
        abandon_s = latest.started_s + ABANDON_FRACTION * (self._deadline_s - latest.started_s)
        if now_s() < abandon_s:
            self._next_check_s = abandon_s
            return
        self._next_check_s = None
        if spare is not None and len(self._running) == 1:
            await self._replace(latest, spare)

    async def _replace(self, attempt: _Attempt[Answer], worker: Worker) -> None:
        """Cancel an attempt and start one at another worker."""
        self._source.record_abandoned(attempt.worker)
        self._running.remove(attempt)
        await cancel_all(attempt.task)
        self._start(worker)
