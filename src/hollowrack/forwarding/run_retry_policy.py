"""Retry policy of a run: at which workers and when it may be tried again after failures."""

import random
from collections.abc import Callable

from hollowrack.backoff import Backoff
from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation

# Bounds the delay of a run after a brief connection failure.
INITIAL_BACKOFF_S = 0.05
# Also bounds the delay after all workers have recovered.
MAX_BACKOFF_S = 2.0
# Upper bound of the backoff before a retry at a worker that has not failed the run yet. Failures of
# other workers say nothing about it.
MAX_OTHER_WORKER_BACKOFF_S = 0.3


class RunRetryPolicy:
    """Decides at which workers and when a run may be retried.

    The backoff grows while no worker produces an event. A worker that has not failed the run may be
    tried sooner, unless so many different workers have failed it that the run itself is the likely
    cause.

    Args:
        max_failed_workers: Number of failed workers from which on the backoff applies to all
            workers.
        max_workers: Maximum number of current incarnations that the run may start at; ``None`` for
            no limit.
        is_current: Returns whether an incarnation is the current one of its worker.
        rng: Random number generator for the jitter of the backoff.
    """

    def __init__(
        self,
        max_failed_workers: int,
        max_workers: int | None,
        is_current: Callable[[WorkerIncarnation], bool],
        rng: random.Random,
    ) -> None:
        self._max_failed_workers = max_failed_workers
        self._max_workers = max_workers
        self._is_current = is_current
        self._backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._started_at: set[WorkerIncarnation] = set()
        self._failed_at: set[WorkerIncarnation] = set()
        self._retry_any_from_s = -float("inf")
        self._retry_others_from_s = -float("inf")

    @property
    def is_restricted(self) -> bool:
        """Whether there may be workers at which the run may not start now."""
        if self._failed_at:
            return True
        return (
            self._max_workers is not None and len(self._current_started_at()) >= self._max_workers
        )

    def record_start(self, worker: Worker) -> None:
        """Record that the run may have started at a worker."""
        self._started_at.add(worker.incarnation)

    def record_unreachable(self, worker: Worker) -> None:
        """Record that a worker cannot be reached: the run is not in progress there any more."""
        self._started_at.discard(worker.incarnation)

    def record_progress(self) -> None:
        """Reset the backoff because a worker has produced an event."""
        if self._failed_at:
            self._backoff.reset()
            self._failed_at.clear()

    def record_no_progress(self, worker: Worker) -> None:
        """Record that a worker failed or timed out before it produced an event."""
        self._failed_at.add(worker.incarnation)
        backoff_s = self._backoff.next_delay_s()
        self._retry_any_from_s = now_s() + backoff_s
        self._retry_others_from_s = now_s() + min(backoff_s, MAX_OTHER_WORKER_BACKOFF_S)

    def may_begin(self, worker: Worker) -> bool:
        """Whether the run may start at a worker now."""
        if not self._is_within_max_workers(worker):
            return False
        has_not_failed = worker.incarnation not in self._failed_at
        if has_not_failed and len(self._failed_at) < self._max_failed_workers:
            return now_s() >= self._retry_others_from_s
        return now_s() >= self._retry_any_from_s

    def may_leave(self, worker: Worker) -> bool:
        """Whether the run may leave a worker and continue at another one."""
        if self._max_workers is None:
            return True
        others = self._current_started_at() - {worker.incarnation}
        return bool(others) or self._max_workers > 1

    def _is_within_max_workers(self, worker: Worker) -> bool:
        if self._max_workers is None or worker.incarnation in self._started_at:
            return True
        return len(self._current_started_at()) < self._max_workers

    def _current_started_at(self) -> set[WorkerIncarnation]:
        return {incarnation for incarnation in self._started_at if self._is_current(incarnation)}
