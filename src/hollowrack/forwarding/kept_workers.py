"""Workers that stay in use for a short time after their entries expired during a store outage.

A worker cannot renew its entry while the store is unavailable, so the store may remove the entries
of workers that run. They write them again within about two seconds of the store's return. Until
then, a node keeps the workers in use that answered it shortly before.

Time bounds hold for nodes that have been connected to the store for the contact time. A call that
failed shows that this node was not connected at some time after the call was sent. No worker is
kept longer than the contact time after the last failed call, so no bound is exceeded.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall, NotRunReason
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory

# Time after the store's return in which running workers have written their entries again.
KEEP_S = 2.0
# An entry is removed after three missed heartbeats of 1.2 s. A shorter interruption makes a running
# worker miss no more than one of them.
MIN_INTERRUPTION_S = 1.2
# Only workers that answered this node within this time are known to run.
MAX_ANSWER_AGE_S = 5.0
# Time between the last check of a request and its arrival: connecting takes up to 0.5 s.
SEND_MARGIN_S = 0.6


class KeepOutcome(Enum):
    """How the time in which a worker was kept ended.

    Attributes:
        RETURNED: Its entry was written again.
        RESTARTED: The entry of another incarnation was written.
        UNREACHABLE: No connection could be established, or another worker has its address.
        UNREADABLE: An entry was written that cannot be decoded.
        EXPIRED: Its entry was still missing at the end of the time.
    """

    RETURNED = "returned"
    RESTARTED = "restarted"
    UNREACHABLE = "unreachable"
    UNREADABLE = "unreadable"
    EXPIRED = "expired"


@dataclass(frozen=True)
class _Kept:
    """A kept worker.

    Attributes:
        worker: The worker as in its last entry.
        since_s: When its entry was found missing, on the loop's clock.
        until_s: When it is removed if its entry is still missing, on the loop's clock.
    """

    worker: Worker
    since_s: float
    until_s: float


class KeptWorkers:
    """Decides which workers are kept after an interruption of this node's view of the store.

    Implements :class:`hollowrack.forwarding.send_guard.SendCondition`.

    Args:
        workers: Directory of workers; kept ones stay there.
        contact_s: Time for which a node must have been connected to the store so that time bounds
            hold, in seconds.

    Attributes:
        num_by_outcome: Number of workers that were kept, by what became of them.
    """

    def __init__(self, workers: WorkerDirectory, contact_s: float) -> None:
        self.num_by_outcome: Counter[KeepOutcome] = Counter()
        self._workers = workers
        self._contact_s = contact_s
        self._kept: dict[str, _Kept] = {}
        # Latest time as of which the store is known to have answered.
        self._answered_s = -float("inf")
        # The first failed call since the store answered: when it was sent and when it failed.
        self._first_failure: tuple[float, float] | None = None
        # When the last call was sent that shows an interruption; ``None`` without one.
        self._failed_s: float | None = None
        self._returned_s = -float("inf")
        # When the call was sent that showed the interruption before the last return.
        self._returned_after_s: float | None = None
        self._until_s = -float("inf")
        # Workers whose entries were written since the last return.
        self._written: set[str] = set()

    @property
    def num_kept(self) -> int:
        """Number of workers that are kept now."""
        return len(self._kept)

    def record_store_failure(self, sent_s: float, is_refused: bool) -> None:
        """Record that a call of this node to the store failed.

        The first call without an answer may be that of a connection that broke unnoticed long
        before. It closes the other idle connections, so a call that is sent afterwards and fails as
        well shows that the store cannot be reached.

        Args:
            sent_s: When it was sent, on the loop's clock.
            is_refused: Whether the store refused it or could not be connected to.
        """
        if sent_s <= self._answered_s:
            return
        is_first = self._first_failure is None
        if self._first_failure is None:
            self._first_failure = (sent_s, now_s())
        if is_refused or (not is_first and sent_s >= self._first_failure[1]):
            # Calls of different lengths end in any order.
            self._failed_s = max(sent_s, self._failed_s or sent_s)

    def record_store_answer(self, at_s: float) -> None:
        """Record that the store is known to have answered at a time on the loop's clock."""
        if self._failed_s is not None and at_s > self._failed_s:
            self._record_return(self._failed_s, at_s)
            self._first_failure = self._failed_s = None
        elif self._first_failure is not None and at_s > self._first_failure[0]:
            # The store answered after the first failure, so calls failed for another reason.
            self._first_failure = self._failed_s = None
        self._answered_s = max(self._answered_s, at_s)

    def keep(self, worker_id: str) -> float | None:
        """Decide about a worker whose entry was removed.

        Returns:
            Until when it is kept, on the loop's clock; ``None`` if it has to be removed now.
        """
        self._record_news()
        worker = self._workers.get(worker_id)
        now = now_s()
        if worker is None or worker.is_leaving or worker_id in self._written:
            return None
        answer_age_s = now - self._workers.last_answer_s(worker)
        if now >= self._until_s or answer_age_s > MAX_ANSWER_AGE_S:
            return None
        self._kept[worker_id] = _Kept(worker, now, self._until_s)
        logging.info(
            "worker %s: entry missing after an interruption of the store, kept for up to %.2f s, "
            "as it answered %.2f s ago",
            worker.incarnation,
            self._until_s - now,
            answer_age_s,
        )
        return self._until_s

    def record_entry(self, worker: Worker) -> None:
        """Record a worker's entry, before it is applied to the directory.

        A kept worker of another incarnation is removed first, so that the directory applies the
        entry although it may have started earlier.
        """
        self._record_news()
        if now_s() < self._until_s:
            self._written.add(worker.id)
        kept = self._kept.get(worker.id)
        if kept is None:
            return
        if kept.worker.incarnation == worker.incarnation:
            self._end(worker.id, KeepOutcome.RETURNED)
        else:
            self._end(worker.id, KeepOutcome.RESTARTED)
            self._workers.remove(worker.id)

    def record_unreadable(self, worker_id: str) -> None:
        """Record that a worker's entry cannot be decoded; the worker is removed."""
        self._end(worker_id, KeepOutcome.UNREADABLE)

    def record_not_run(self, worker: Worker, reason: NotRunReason) -> None:
        """Remove a kept worker that cannot be reached at its address."""
        kept = self._kept.get(worker.id)
        if kept is None or kept.worker.incarnation != worker.incarnation:
            return
        if reason in (NotRunReason.UNREACHABLE, NotRunReason.REPLACED):
            self._end(worker.id, KeepOutcome.UNREACHABLE)
            self._workers.remove(worker.id)

    def end_until(self, until_s: float) -> list[str]:
        """End the keeping of all workers that were kept until a time; returns their identities."""
        ended = [name for name, kept in self._kept.items() if kept.until_s <= until_s]
        for worker_id in ended:
            self._end(worker_id, KeepOutcome.EXPIRED)
        return ended

    def allows(self, worker: Worker, call: BackEndCall) -> bool:
        """Whether a request may be sent; the end of the keeping may be processed late."""
        del call
        kept = self._kept.get(worker.id)
        if kept is None or kept.worker.incarnation != worker.incarnation:
            return True
        return now_s() < kept.until_s

    def _record_news(self) -> None:
        """Count a change of an entry after an interruption as the store's return.

        Other nodes may pass on changes before this node learns when the store answered them.
        """
        if self._failed_s is not None:
            self._record_return(self._failed_s, now_s())

    def _record_return(self, failed_s: float, at_s: float) -> None:
        now = now_s()
        # The time of a first return goes on if the store fails again meanwhile.
        if at_s - self._answered_s < MIN_INTERRUPTION_S or now < self._returned_s + KEEP_S:
            return
        # Changes may arrive for longer than the time without a newer answer of the store.
        if failed_s == self._returned_after_s:
            return
        self._returned_s = now
        self._returned_after_s = failed_s
        self._until_s = min(now + KEEP_S, failed_s + self._contact_s - SEND_MARGIN_S)
        self._written.clear()

    def _end(self, worker_id: str, outcome: KeepOutcome) -> None:
        kept = self._kept.pop(worker_id, None)
        if kept is None:
            return
        self.num_by_outcome[outcome] += 1
        logging.info(
            "worker %s: no longer kept after %.2f s: %s",
            kept.worker.incarnation,
            now_s() - kept.since_s,
            outcome.value,
        )
