"""The waits of one run in their order: for a place, and at each worker for the first event."""

from collections import deque
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.dispatch_statistics import DispatchStatistics, WaitKind
from hollowrack.forwarding.types import WorkerIncarnation

# Keeps the log line of a run that is refused again and again short.
MAX_ATTEMPTS_TOLD = 6


@dataclass
class _Attempt:
    """One attempt of a run at a worker.

    Attributes:
        life: The worker.
        queued_s: How long its place was waited for, in seconds.
        sent_s: When the attempt began, on the loop's clock.
        first_event_s: How long the first event took, in seconds; ``None`` if none came.
        refusal: Why the worker did not run it; ``None`` if it may have.
    """

    life: WorkerIncarnation
    queued_s: float
    sent_s: float
    first_event_s: float | None = None
    refusal: NotRunReason | None = None

    def describe(self) -> str:
        """Return its waits for a log line."""
        if self.refusal is not None:
            outcome = f"not run ({self.refusal.value})"
        elif self.first_event_s is None:
            outcome = "no event"
        else:
            outcome = f"first event after {self.first_event_s:.2f} s"
        return f"queue {self.queued_s:.2f} s, worker {self.life} {outcome}"


class RunWaits:
    """Follows one run.

    Args:
        service: The service that runs it.
        statistics: Counts the waits of all runs.
    """

    def __init__(self, service: str, statistics: DispatchStatistics) -> None:
        self._service = service
        self._statistics = statistics
        self._attempts: deque[_Attempt] = deque(maxlen=MAX_ATTEMPTS_TOLD)
        self._num_attempts = 0
        self._num_refusals = 0
        self._is_at_worker = False

    @property
    def is_at_worker(self) -> bool:
        """Whether an attempt has a place at a worker now."""
        return self._is_at_worker

    def record_start(self, life: WorkerIncarnation, queued_s: float) -> None:
        """An attempt begins at a worker, whose place was waited for so many seconds."""
        self._attempts.append(_Attempt(life, queued_s, now_s()))
        self._num_attempts += 1
        self._is_at_worker = True
        self._statistics.num_running[self._service] += 1

    def record_event(self) -> None:
        """The worker has sent an event."""
        attempt = self._attempts[-1]
        if attempt.first_event_s is None:
            attempt.first_event_s = now_s() - attempt.sent_s
            self._statistics.record_wait(WaitKind.FIRST_EVENT, attempt.first_event_s)

    def record_not_run(self, reason: NotRunReason) -> None:
        """The worker certainly did not run the attempt."""
        self._attempts[-1].refusal = reason
        self._num_refusals += 1
        self._statistics.num_refusals[(self._service, reason)] += 1

    def record_end(self) -> None:
        """The attempt has left its worker."""
        self._is_at_worker = False
        self._statistics.num_running[self._service] -= 1

    def describe(self) -> str:
        """Return the waits in order for a log line; of many attempts only the last."""
        num_left_out = self._num_attempts - len(self._attempts)
        earlier = [f"{num_left_out} attempts before"] if num_left_out else []
        told = [attempt.describe() for attempt in self._attempts]
        return f"{self._num_refusals} refusals; " + "; ".join([*earlier, *told])
