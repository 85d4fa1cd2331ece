"""Where one run may go next after workers broke it off before they made anything of it."""

import random
from collections.abc import Callable

from hollowrack.backoff import Backoff
from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation

# A connection that broke for a moment costs a run no more than this, in seconds.
INITIAL_BACKOFF_S = 0.05
# A run that every worker breaks off is sent again every two seconds at most; a caller whose workers
# are sound again waits no longer than that, and an item is never long at no worker.
MAX_BACKOFF_S = 2.0
# A worker that has not broken the run off is no worse for what others did, in seconds.
MAX_OTHER_WORKER_BACKOFF_S = 0.3


class RunRetryPolicy:
    """Paces one run: pauses grow while no worker makes an event of it.

    A worker that has not broken the run off may have it soon, until so many different ones have:
    then the run is likely to be the cause.

    Args:
        max_suspects: How many workers must have broken the run off for that.
        max_workers: Most workers that the run may begin at, without those that are gone; ``None``
            for any number.
        is_known: Whether a life of a worker is the one that is there.
        rng: Source of the jitter.
    """

    def __init__(
        self,
        max_suspects: int,
        max_workers: int | None,
        is_known: Callable[[WorkerIncarnation], bool],
        rng: random.Random,
    ) -> None:
        self._max_suspects = max_suspects
        self._max_workers = max_workers
        self._is_known = is_known
        self._backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._began_at: set[WorkerIncarnation] = set()
        self._broke_off: set[WorkerIncarnation] = set()
        self._any_from_s = -float("inf")
        self._others_from_s = -float("inf")

    @property
    def are_restricted(self) -> bool:
        """Whether there is a worker at which the run may not begin, or not yet."""
        if self._broke_off:
            return True
        return self._max_workers is not None and len(self._began_there()) >= self._max_workers

    def record_start(self, worker: Worker) -> None:
        """The run may have begun at a worker."""
        self._began_at.add(worker.incarnation)

    def record_unreachable(self, worker: Worker) -> None:
        """A worker is gone, or cut off: nothing of the run is left there."""
        self._began_at.discard(worker.incarnation)

    def record_progress(self) -> None:
        """A worker has made an event: earlier breaks say nothing about the run."""
        if self._broke_off:
            self._backoff.reset()
            self._broke_off.clear()

    def record_no_progress(self, worker: Worker) -> None:
        """A worker broke the run off, or fell silent, before it made an event."""
        self._broke_off.add(worker.incarnation)
        pause_s = self._backoff.next_delay_s()
        self._any_from_s = now_s() + pause_s
        self._others_from_s = now_s() + min(pause_s, MAX_OTHER_WORKER_BACKOFF_S)

    def may_begin(self, worker: Worker) -> bool:
        """Whether the run may begin at a worker now."""
        if not self._has_workers_left(worker):
            return False
        is_other = worker.incarnation not in self._broke_off
        if is_other and len(self._broke_off) < self._max_suspects:
            return now_s() >= self._others_from_s
        return now_s() >= self._any_from_s

    def may_leave(self, worker: Worker) -> bool:
        """Whether the run may go on at another worker than this one."""
        if self._max_workers is None:
            return True
        others = self._began_there() - {worker.incarnation}
        return bool(others) or self._max_workers > 1

    def _has_workers_left(self, worker: Worker) -> bool:
        if self._max_workers is None or worker.incarnation in self._began_at:
            return True
        return len(self._began_there()) < self._max_workers

    def _began_there(self) -> set[WorkerIncarnation]:
        return {life for life in self._began_at if self._is_known(life)}
