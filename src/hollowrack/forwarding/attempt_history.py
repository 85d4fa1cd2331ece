"""Record of the attempts of one request, from which its final error is derived."""

from absl import logging

from hollowrack.forwarding.back_end import BackEndCall, NotRunReason
from hollowrack.forwarding.types import Route, Worker, WorkerIncarnation
from hollowrack.results import Problem, ResultCode

# Attempts that workers did not run, after which no further worker is tried.
MAX_REFUSALS = 6
# Retry time that callers receive if no worker can have run the request.
RETRY_AFTER_S = 0.5


class AttemptHistory:
    """Records the attempts of one request, several of which may be in progress concurrently.

    Args:
        call: The request.
        route: Its route, which limits the number of attempts.

    Attributes:
        tried: Incarnations that the request was sent to.
        possibly_ran_at: Those of them that may have run it.
    """

    def __init__(self, call: BackEndCall, route: Route) -> None:
        self.tried: set[WorkerIncarnation] = set()
        self.possibly_ran_at: set[WorkerIncarnation] = set()
        self._request_id = call.request_id
        self._max_attempts = route.max_attempts if route.is_idempotent else 1
        self._num_refusals = 0
        self._entries: list[str] = []

    def may_retry(self) -> bool:
        """Whether another worker may be tried."""
        return len(self.possibly_ran_at) < self._max_attempts and self._num_refusals < MAX_REFUSALS

    def record_start(self, worker: Worker) -> None:
        """Record that the request is sent to a worker, which is assumed to run it."""
        self.tried.add(worker.incarnation)
        self.possibly_ran_at.add(worker.incarnation)

    def record_failure(self, worker: Worker, reason: str) -> None:
        """Record that a worker gave no usable answer although it may have run the request."""
        self._entries.append(f"{worker.incarnation}: {reason}")
        logging.info("request %s: worker %s: %s", self._request_id, worker.incarnation, reason)

    def record_not_run(self, worker: Worker, reason: NotRunReason) -> None:
        """Record that a worker certainly did not run the request."""
        self._entries.append(f"{worker.incarnation}: {reason.value}")
        self.possibly_ran_at.discard(worker.incarnation)
        self._num_refusals += 1

    def no_worker_left(self) -> Problem:
        """Return the error for the caller when no further worker may be tried."""
        return self._problem("no complete answer was received", "no worker accepted the request")

    def deadline_exceeded(self) -> Problem:
        """Return the error for the caller when the deadline of the request has passed."""
        return self._problem("the deadline has passed", "the deadline has passed")

    def _problem(self, reason_if_run: str, reason_if_not_run: str) -> Problem:
        if self.possibly_ran_at:
            detail = f"{reason_if_run} ({self._describe_attempts()})"
            return Problem(ResultCode.OUTCOME_UNKNOWN, detail, self._request_id)
        detail = f"{reason_if_not_run} ({self._describe_attempts()})"
        return Problem(ResultCode.NO_BACK_END, detail, self._request_id, RETRY_AFTER_S)

    def _describe_attempts(self) -> str:
        """Describe the outcome of each attempt for logs and error details."""
        pending = sorted(
            incarnation
            for incarnation in map(str, self.possibly_ran_at)
            if not any(incarnation in entry for entry in self._entries)
        )
        entries = [*self._entries, *(f"{incarnation}: no answer yet" for incarnation in pending)]
        return "; ".join(entries) or "no worker is known"
