"""Statistics of the interval between events of workers' streams, used to place runs.

The interval is a property of the worker. The latency of a plain request depends on the request as
well: it is recorded here too, but :mod:`hollowrack.forwarding.worker_load` places plain requests.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation

# Number of intervals stored per worker, the last seconds of one with a few runs, and number of
# events between updates of their median, which is too expensive to update at each event.
WINDOW_SIZE = 64
EVENTS_BETWEEN_MEDIANS = 8
# Time constant of the decay of recent slowness, so that a slow worker is tried again.
SLOWNESS_DECAY_TIME_S = 6.0
# Smaller factors are treated as noise.
MIN_SLOWNESS = 1.3
# Slowness from which on runs leave a worker: a run makes more progress at any other one.
MUCH_SLOWER_THRESHOLD = 2.5
# Time constant of the decay of the slowness used to place runs. Longer than
# ``SLOWNESS_DECAY_TIME_S``, as the inherent speed of a worker rarely changes.
PLACEMENT_DECAY_TIME_S = 30.0
# Smaller factors are treated as noise when runs are placed. Lower than ``MIN_SLOWNESS``, as lasting
# differences show in many events.
MIN_PLACEMENT_SLOWNESS = 1.1
# Lower bound of intervals that are divided by.
MIN_INTERVAL_S = 0.001
MAX_SLOWNESS = 10.0


@dataclass
class _IntervalStats:
    """Event intervals of one incarnation of a worker.

    Attributes:
        intervals_s: The latest intervals, in seconds.
        num_recorded: Number of all intervals so far.
        median_s: Median when it was last updated, in seconds; ``None`` before the first update.
        recorded_s: When the latest interval was recorded, on the loop's clock.
    """

    intervals_s: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SIZE))
    num_recorded: int = 0
    median_s: float | None = None
    recorded_s: float = 0.0


class WorkerEventIntervals:
    """Tracks event intervals of workers relative to the fastest worker of their service.

    Args:
        serving: Returns a service's workers that accept new requests.
    """

    def __init__(self, serving: Callable[[str], list[Worker]]) -> None:
        self._serving = serving
        self._intervals: dict[WorkerIncarnation, _IntervalStats] = {}
        self._best_intervals_s: dict[str, float] = {}

    def record(self, worker: Worker, seconds: float) -> None:
        """Record the interval before one event, or the latency of a plain request, in seconds."""
        stats = self._intervals.setdefault(worker.incarnation, _IntervalStats())
        stats.intervals_s.append(seconds)
        stats.recorded_s = now_s()
        stats.num_recorded += 1
        if stats.num_recorded % EVENTS_BETWEEN_MEDIANS == 0:
            # Unlike the mean, the median ignores short stalls, such as the loading of weights.
            stats.median_s = median(stats.intervals_s)
            self._best_intervals_s.clear()

    def invalidate_best(self) -> None:
        """Discard the cached best intervals, after workers were added or removed."""
        self._best_intervals_s.clear()

    def remove(self, incarnation: WorkerIncarnation) -> None:
        """Remove the intervals of an incarnation that has ended."""
        self._intervals.pop(incarnation, None)

    def is_much_slower(self, worker: Worker) -> bool:
        """Whether a worker has recently been much slower than the fastest of its service."""
        return self._slowness(worker, SLOWNESS_DECAY_TIME_S, MIN_SLOWNESS) >= MUCH_SLOWER_THRESHOLD

    def placement_slowness(self, worker: Worker) -> float:
        """Return a worker's interval as a multiple of the best of its service."""
        return self._slowness(worker, PLACEMENT_DECAY_TIME_S, MIN_PLACEMENT_SLOWNESS)

    def time_saved_s(self, worker: Worker, other: Worker | None, num_events: float) -> float:
        """Return the time saved by moving a run to another worker, in seconds.

        Args:
            worker: The current worker of the run.
            other: The other worker; ``None`` for the fastest of the service.
            num_events: Number of remaining events of the run.
        """
        interval_s = self._known_interval_s(worker)
        if interval_s is None:
            return 0.0
        other_slowness = 1.0 if other is None else self.placement_slowness(other)
        return num_events * interval_s * (1.0 - other_slowness / self.placement_slowness(worker))

    def _slowness(self, worker: Worker, decay_s: float, threshold: float) -> float:
        """Return a worker's interval divided by the best; 1 if unknown or below ``threshold``."""
        stats = self._intervals.get(worker.incarnation)
        if stats is None or stats.median_s is None:
            return 1.0
        best_s = max(self._best_interval_s(worker.service), MIN_INTERVAL_S)
        ratio = max(1.0, min(MAX_SLOWNESS, stats.median_s / best_s))
        decay = math.exp(-(now_s() - stats.recorded_s) / decay_s)
        slowness = 1.0 + (ratio - 1.0) * decay
        return slowness if slowness >= threshold else 1.0

    def _best_interval_s(self, service: str) -> float:
        """Return the shortest known interval of a service, in seconds; infinite if unknown."""
        if service not in self._best_intervals_s:
            medians_s = [self._known_interval_s(worker) for worker in self._serving(service)]
            known = [interval_s for interval_s in medians_s if interval_s is not None]
            self._best_intervals_s[service] = min(known, default=float("inf"))
        return self._best_intervals_s[service]

    def _known_interval_s(self, worker: Worker) -> float | None:
        stats = self._intervals.get(worker.incarnation)
        return None if stats is None else stats.median_s
