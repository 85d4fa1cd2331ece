"""What has become of the attempts of one request, and what may be told to its caller by that."""

from absl import logging

from hollowrack.forwarding.back_end import BackEndCall, NotRunReason
from hollowrack.forwarding.types import Route, Worker, WorkerIncarnation
from hollowrack.results import Problem, ResultCode

MAX_REFUSALS = 6
RETRY_AFTER_S = 0.5


class AttemptHistory:
    """The attempts of one request; several may be under way at once.

    Args:
        call: The request.
        route: Its route.

    Attributes:
        tried: Lives of workers that it was sent to.
        possibly_ran_at: Those among them that may have run it.
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
        """The request goes to a worker, which counts as having run it until proved otherwise."""
        self.tried.add(worker.incarnation)
        self.possibly_ran_at.add(worker.incarnation)

    def record_failure(self, worker: Worker, reason: str) -> None:
        """A worker may have run the request, and gave no good answer."""
        self._entries.append(f"{worker.incarnation}: {reason}")
        logging.info("request %s: worker %s: %s", self._request_id, worker.incarnation, reason)

    def record_not_run(self, worker: Worker, reason: NotRunReason) -> None:
        """A worker certainly did not run the request."""
        self._entries.append(f"{worker.incarnation}: {reason.value}")
        self.possibly_ran_at.discard(worker.incarnation)
        self._num_refusals += 1

    def no_worker_left(self) -> Problem:
        """What the caller is told when no worker may be tried any more."""
        return self._problem("no whole answer came", "no worker took the request")

    def out_of_time(self) -> Problem:
        """What the caller is told when the time is up."""
        return self._problem("the time is up", "the time is up")

    def _problem(self, reason_if_run: str, reason_if_not_run: str) -> Problem:
        if self.possibly_ran_at:
            detail = f"{reason_if_run} ({self._told()})"
            return Problem(ResultCode.OUTCOME_UNKNOWN, detail, self._request_id)
        detail = f"{reason_if_not_run} ({self._told()})"
        return Problem(ResultCode.NO_BACK_END, detail, self._request_id, RETRY_AFTER_S)

    def _told(self) -> str:
        """What became of the attempts, for the log."""
        at_work = sorted(
            life
            for life in map(str, self.possibly_ran_at)
            if not any(life in entry for entry in self._entries)
        )
        entries = [*self._entries, *(f"{life}: no answer yet" for life in at_work)]
        return "; ".join(entries) or "no worker is known"
