"""Record of the waits of one run: for a slot, and at each worker for the first event."""

from collections import deque
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.dispatch_statistics import DispatchStatistics, WaitKind
from hollowrack.forwarding.types import WorkerIncarnation

# Bounds the length of the log line of a run that is refused repeatedly.
MAX_ATTEMPTS_LOGGED = 6


@dataclass
class _Attempt:
    """One attempt of a run at a worker.

    Attributes:
        incarnation: Incarnation that the attempt was sent to.
        queued_s: Time spent waiting for the slot, in seconds.
        sent_s: Start of the attempt, on the loop's clock.
        first_event_s: Latency of the first event, in seconds; ``None`` if none was received.
        refusal: Why the worker did not run it; ``None`` if it may have run.
    """

    incarnation: WorkerIncarnation
    queued_s: float
    sent_s: float
    first_event_s: float | None = None
    refusal: NotRunReason | None = None

    def describe(self) -> str:
        """Describe the waits of the attempt for a log line."""
        if self.refusal is not None:
            outcome = f"not run ({self.refusal.value})"
        elif self.first_event_s is None:
            outcome = "no event"
        else:
            outcome = f"first event after {self.first_event_s:.2f} s"
        return f"queue {self.queued_s:.2f} s, worker {self.incarnation} {outcome}"


class RunWaits:
    """Records the waits of one run and adds them to the statistics of all runs.

    Args:
        service: Name of the service that runs it.
        statistics: Statistics of all runs of this node.
    """

    def __init__(self, service: str, statistics: DispatchStatistics) -> None:
        self._service = service
        self._statistics = statistics
        self._attempts: deque[_Attempt] = deque(maxlen=MAX_ATTEMPTS_LOGGED)
        self._num_attempts = 0
        self._num_refusals = 0
        self._is_at_worker = False

    @property
    def is_at_worker(self) -> bool:
        """Whether an attempt currently has a slot at a worker."""
        return self._is_at_worker

    def record_start(self, incarnation: WorkerIncarnation, queued_s: float) -> None:
        """Record the start of an attempt after ``queued_s`` seconds in the queue."""
        self._attempts.append(_Attempt(incarnation, queued_s, now_s()))
        self._num_attempts += 1
        self._is_at_worker = True
        self._statistics.num_running[self._service] += 1

    def record_event(self) -> None:
        """Record an event of the current attempt."""
        attempt = self._attempts[-1]
        if attempt.first_event_s is None:
            attempt.first_event_s = now_s() - attempt.sent_s
            self._statistics.record_wait(WaitKind.FIRST_EVENT, attempt.first_event_s)

    def record_not_run(self, reason: NotRunReason) -> None:
        """Record that the worker certainly did not run the current attempt."""
        self._attempts[-1].refusal = reason
        self._num_refusals += 1
        self._statistics.num_refusals[(self._service, reason)] += 1

    def record_end(self) -> None:
        """Record the end of the current attempt."""
        self._is_at_worker = False
        self._statistics.num_running[self._service] -= 1

    def describe(self) -> str:
        """Describe the waits of the latest attempts, in order, for a log line."""
        num_omitted = self._num_attempts - len(self._attempts)
        earlier = [f"{num_omitted} attempts before"] if num_omitted else []
        descriptions = [attempt.describe() for attempt in self._attempts]
        return f"{self._num_refusals} refusals; " + "; ".join([*earlier, *descriptions])
