"""How fast workers generate, by what this node has seen of their streams, for placing runs.

Plain requests are chosen for by :mod:`hollowrack.forwarding.worker_load`: their times vary with the
request, while events of one service come at the pace of their worker.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation

# Events of the last seconds of a worker with a few runs, of which the median is taken now and then:
# taking it at each event would cost more than it tells.
NUM_PACES_KEPT = 64
NUM_PACES_BETWEEN_MEDIANS = 8
# What is known of a worker's pace fades, in seconds, so that a slow one is tried again.
PACE_FADE_S = 6.0
# Differences below this factor are chance.
MIN_SLOWNESS = 1.3
# A run at such a worker is better off anywhere else.
MUCH_SLOWER = 2.5
# How fast a worker is by itself changes rarely: for placing runs it is remembered for longer.
PLACING_FADE_S = 30.0
# Lasting differences show in many events, so that smaller ones count than for lately.
MIN_PLACING_SLOWNESS = 1.1
# Bounds of what is divided: a pace of nought, and a worker that hardly moves, in seconds and times.
MIN_PACE_S = 0.001
MAX_SLOWNESS = 10.0


@dataclass
class _Pace:
    """What was seen of one life of a worker.

    Attributes:
        paces_s: The latest times of one unit of work, in seconds.
        num_noted: How many there were in all.
        pace_s: Their median when it was last taken; ``None`` before.
        noted_s: When the newest came, on the loop's clock.
    """

    paces_s: deque[float] = field(default_factory=lambda: deque(maxlen=NUM_PACES_KEPT))
    num_noted: int = 0
    pace_s: float | None = None
    noted_s: float = 0.0


class WorkerEventIntervals:
    """Paces of all workers, as multiples of the best of their service.

    Args:
        serving: Returns a service's workers that take new work.
    """

    def __init__(self, serving: Callable[[str], list[Worker]]) -> None:
        self._serving = serving
        self._paces: dict[WorkerIncarnation, _Pace] = {}
        self._best_paces_s: dict[str, float] = {}

    def record(self, worker: Worker, seconds: float) -> None:
        """A worker took this long for one unit of its work."""
        pace = self._paces.setdefault(worker.incarnation, _Pace())
        pace.paces_s.append(seconds)
        pace.noted_s = now_s()
        pace.num_noted += 1
        if pace.num_noted % NUM_PACES_BETWEEN_MEDIANS == 0:
            # The median, as a worker that loads weights holds all its runs up for a moment.
            pace.pace_s = median(pace.paces_s)
            self._best_paces_s.clear()

    def invalidate_best(self) -> None:
        """Workers came or went: the best of a service may be another one."""
        self._best_paces_s.clear()

    def remove(self, life: WorkerIncarnation) -> None:
        """A life of a worker is over."""
        self._paces.pop(life, None)

    def is_much_slower(self, worker: Worker) -> bool:
        """Whether a worker has lately been much slower than the best of its service."""
        return self._slowness(worker, PACE_FADE_S, MIN_SLOWNESS) >= MUCH_SLOWER

    def placement_slowness(self, worker: Worker) -> float:
        """A worker's own pace as a multiple of the best of its service."""
        return self._slowness(worker, PLACING_FADE_S, MIN_PLACING_SLOWNESS)

    def time_saved_s(self, worker: Worker, other: Worker | None, num_units: float) -> float:
        """How much sooner another worker would do so many units of work, in seconds.

        Args:
            worker: The worker that does them now.
            other: The other worker; ``None`` for the fastest of the service.
            num_units: How many units.
        """
        pace_s = self._known_pace_s(worker)
        if pace_s is None:
            return 0.0
        other_slowness = 1.0 if other is None else self.placement_slowness(other)
        return num_units * pace_s * (1.0 - other_slowness / self.placement_slowness(worker))

    def _slowness(self, worker: Worker, fade_s: float, least: float) -> float:
        """A worker's pace against the best; 1 if nothing is known or it is less than ``least``."""
        pace = self._paces.get(worker.incarnation)
        if pace is None or pace.pace_s is None:
            return 1.0
        best_s = max(self._best_pace_s(worker.service), MIN_PACE_S)
        ratio = max(1.0, min(MAX_SLOWNESS, pace.pace_s / best_s))
        fading = math.exp(-(now_s() - pace.noted_s) / fade_s)
        slowness = 1.0 + (ratio - 1.0) * fading
        return slowness if slowness >= least else 1.0

    def _best_pace_s(self, service: str) -> float:
        """The best pace known in a service, in seconds; infinite if none is."""
        if service not in self._best_paces_s:
            paces = [self._known_pace_s(worker) for worker in self._serving(service)]
            known = [pace_s for pace_s in paces if pace_s is not None]
            self._best_paces_s[service] = min(known, default=float("inf"))
        return self._best_paces_s[service]

    def _known_pace_s(self, worker: Worker) -> float | None:
        pace = self._paces.get(worker.incarnation)
        return None if pace is None else pace.pace_s
