"""Which worker incarnations are cold, and for how much longer."""

from collections.abc import Callable
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation

# Upper limit of the time for which an entry or an answer counts a worker as cold.
MAX_COLD_S = 600.0
# Difference between the clocks of two machines up to which a start counts as recent.
MAX_CLOCK_DIFFERENCE_S = 1.0
MS_PER_S = 1000.0


@dataclass
class _Countdown:
    """Times until which an incarnation is cold, on the loop's clock.

    Kept apart by source: an entry may reach this node later than an answer although it was written
    before the worker turned cold, and must not end what the answer said.

    Attributes:
        entry_until_s: Given by the latest entry.
        answer_until_s: Given by answers; the latest time of all.
        assumed_start_s: Start of an incarnation whose entry states no time; infinitely long ago if
            it states one.
    """

    entry_until_s: float = -float("inf")
    answer_until_s: float = -float("inf")
    assumed_start_s: float = -float("inf")

    def until_s(self, cold_start_s: float) -> float:
        """Return the latest of the times, on the loop's clock."""
        assumed_until_s = self.assumed_start_s + min(MAX_COLD_S, cold_start_s)
        return max(self.entry_until_s, self.answer_until_s, assumed_until_s)


class ColdWorkers:
    """Counts the remaining time of cold workers down on the loop's clock.

    An entry that states a time, also 0, is believed. An incarnation whose entry states none is cold
    for the service's ``cold_start_s`` from its start, if the start is known and recent: if it
    follows an earlier incarnation that this node knew, it counts as just started; otherwise the
    wall clock decides.

    Args:
        cold_start_s: Returns how long a new worker of a service is cold, in seconds.
        time_of_day_s: Returns the machine's time of day, in seconds since 1970.
    """

    def __init__(
        self, cold_start_s: Callable[[str], float], time_of_day_s: Callable[[], float]
    ) -> None:
        self._cold_start_s = cold_start_s
        self._time_of_day_s = time_of_day_s
        self._countdowns: dict[WorkerIncarnation, _Countdown] = {}

    def record_entry(self, worker: Worker, known: Worker | None) -> None:
        """Record a worker's entry that is newer than all entries of it seen before.

        The mirror of the entries passes on each revision once, so an entry that arrives again
        unchanged does not restart the countdown.

        Args:
            worker: The worker as in the entry.
            known: The worker as known before; ``None`` if it was unknown.
        """
        if known is not None and worker.started_ms < known.started_ms:
            return
        countdown = self._countdowns.get(worker.incarnation, _Countdown())
        if worker.cold_remaining_s is not None:
            seconds = min(MAX_COLD_S, worker.cold_remaining_s)
            countdown.entry_until_s = now_s() + seconds if seconds > 0.0 else -float("inf")
            countdown.assumed_start_s = -float("inf")
        else:
            countdown.entry_until_s = -float("inf")
            if known is None or known.incarnation != worker.incarnation:
                countdown.assumed_start_s = self._assumed_start_s(worker, known)
        self._store(worker.incarnation, countdown)

    def record_answer(self, worker: Worker, seconds: float) -> None:
        """Record the remaining time that a worker stated with an answer, in seconds."""
        if seconds <= 0.0:
            return
        countdown = self._countdowns.get(worker.incarnation, _Countdown())
        until_s = now_s() + min(MAX_COLD_S, seconds)
        countdown.answer_until_s = max(countdown.answer_until_s, until_s)
        self._store(worker.incarnation, countdown)

    def remaining_s(self, worker: Worker) -> float:
        """Return how much longer a worker is cold, in seconds; 0 if it is not."""
        countdown = self._countdowns.get(worker.incarnation)
        if countdown is None:
            return 0.0
        remaining_s = countdown.until_s(self._cold_start_s(worker.service)) - now_s()
        return max(0.0, remaining_s)

    def has_countdowns(self) -> bool:
        """Whether any worker may be cold."""
        return bool(self._countdowns)

    def _assumed_start_s(self, worker: Worker, known: Worker | None) -> float:
        """Return the start of an incarnation, on the loop's clock; infinitely long ago if unknown.

        The configuration, and with it ``cold_start_s``, may arrive after the entry.
        """
        if worker.started_ms == 0:
            return -float("inf")
        if known is not None and known.started_ms:
            return now_s()
        age_s = self._time_of_day_s() - worker.started_ms / MS_PER_S
        return now_s() - max(0.0, age_s - MAX_CLOCK_DIFFERENCE_S)

    def _store(self, incarnation: WorkerIncarnation, countdown: _Countdown) -> None:
        """Store a countdown and remove those that have ended."""
        self._countdowns[incarnation] = countdown
        now = now_s()
        ended = [key for key, kept in self._countdowns.items() if kept.until_s(MAX_COLD_S) <= now]
        for key in ended:
            del self._countdowns[key]
