"""How soon each worker should answer, by what this node has seen of it, and a choice by that.

For this load: workers of one service that differ in speed, or turn slow for seconds, and that many
nodes use at once without seeing each other's requests.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import LoadReport
from hollowrack.forwarding.types import Worker, WorkerIncarnation

# What is known of a worker's speed fades within this time, in seconds: workers turn slow for
# seconds, and one that is avoided shows in no other way that it is fast again.
FADE_S = 6.0
# Share of the newest answer in a worker's slowness. Speeds that change with each answer even out.
ANSWER_SHARE = 0.3
# Share of a request that is late: it tells more, as nearly all answers come sooner.
LATE_FRACTION = 0.7
# Share of the newest answer in the usual time of a route, which changes rarely; the first answers
# share evenly.
USUAL_TIME_SHARE = 0.05
# Differences below this factor are chance, and a preference for them would fill single workers.
MIN_FACTOR = 1.3
# One extreme answer, a request that was suspended or a cached one, counts no more than this factor.
MAX_FACTOR = 10.0
# A worker that has just failed is avoided as if it were this many times slower. That is forgotten
# within 8 s, as one that has failed for good is taken from the list of workers by then.
FAILURE_PENALTY = 2.5
# Load that a worker tells holds for about as long as a plain request lasts, in seconds.
REPORT_FADE_S = 0.1
# An answer from another zone takes a few milliseconds longer and crosses metered links.
REMOTE_FACTOR = 1.25
# What remains of faded knowledge must not decide: expected times within this factor are equal.
NEARLY_EQUAL = 1.05
# Routes whose usual time is remembered: those in use lately, out of possibly thousands.
MAX_ROUTES = 64
# An answer from a cache may take no time at all; in seconds.
MIN_TIME_S = 0.001


class _FadingFactor:
    """A factor that fades to 1 while nothing new is taken in."""

    def __init__(self) -> None:
        self._log = 0.0
        self._noted_s = -math.inf

    @property
    def value(self) -> float:
        """The factor now; 1 if it is hardly different."""
        log_factor = self._faded()
        return math.exp(log_factor) if abs(log_factor) >= math.log(MIN_FACTOR) else 1.0

    def take_in(self, factor: float, share: float) -> None:
        """Move towards a new factor by a share of the way."""
        bounded = max(1.0 / MAX_FACTOR, min(MAX_FACTOR, factor))
        known = self._faded()
        self._log = known + share * (math.log(bounded) - known)
        self._noted_s = now_s()

    def _faded(self) -> float:
        return self._log * math.exp(-(now_s() - self._noted_s) / FADE_S)


@dataclass
class _Seen:
    """What this node has seen of one worker.

    Attributes:
        slowness: Its times against the usual ones.
        penalty: Keeps requests from it after failures.
        num_of_others: Requests of other nodes there, by its latest report.
        report_at_s: When that came.
    """

    slowness: _FadingFactor = field(default_factory=_FadingFactor)
    penalty: _FadingFactor = field(default_factory=_FadingFactor)
    num_of_others: int = 0
    report_at_s: float = -math.inf


@dataclass
class _UsualTime:
    """How long answers of one route take at all workers of a service, as a logarithm."""

    log_s: float = 0.0
    num_answers: int = 0

    def note(self, log_s: float) -> None:
        self.num_answers += 1
        share = max(USUAL_TIME_SHARE, 1.0 / self.num_answers)
        self.log_s += share * (log_s - self.log_s)


class WorkerLoads:
    """What one node knows of the speed and the load of workers.

    Args:
        zone: This node's zone; near workers are preferred between equals.
        rng: Source of all random choices.
        num_in_flight: How many requests this node has at a worker.
    """

    def __init__(
        self, zone: str, rng: random.Random, num_in_flight: Callable[[Worker], int]
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._num_in_flight = num_in_flight
        self._seen: dict[WorkerIncarnation, _Seen] = {}
        self._usual_times: OrderedDict[tuple[str, str], _UsualTime] = OrderedDict()

    @property
    def num_known(self) -> int:
        """Of how many workers something is remembered."""
        return len(self._seen)

    def remove(self, life: WorkerIncarnation) -> None:
        """A worker is gone."""
        self._seen.pop(life, None)

    def record_answer(self, worker: Worker, route: str, seconds: float) -> None:
        """A worker took this long for one unit of a route's work, in seconds.

        Args:
            worker: The worker.
            route: The route's name; times are compared with others of the same work only.
            seconds: How long it took.
        """
        log_s = math.log(max(MIN_TIME_S, seconds))
        key = (worker.service, route)
        usual = self._usual_times.setdefault(key, _UsualTime())
        usual.note(log_s)
        self._usual_times.move_to_end(key)
        if len(self._usual_times) > MAX_ROUTES:
            self._usual_times.popitem(last=False)
        seen = self._of(worker)
        seen.slowness.take_in(math.exp(log_s - usual.log_s), ANSWER_SHARE)
        seen.penalty.take_in(1.0, ANSWER_SHARE)

    def record_late(self, worker: Worker, route: str, seconds: float) -> None:
        """A worker has not answered after this long, in seconds, when nearly all others have."""
        usual = self._usual_times.get((worker.service, route))
        factor = MAX_FACTOR if usual is None else seconds / math.exp(usual.log_s)
        self._of(worker).slowness.take_in(factor, LATE_FRACTION)

    def record_failure(self, worker: Worker) -> None:
        """A worker broke an answer off, gave none or could not be reached."""
        self._of(worker).penalty.take_in(FAILURE_PENALTY, 1.0)

    def record_report(self, worker: Worker, report: LoadReport) -> None:
        """A worker told its load."""
        seen = self._of(worker)
        num_all = report.num_running + report.num_waiting
        seen.num_of_others = max(0, num_all - self._num_in_flight(worker))
        seen.report_at_s = now_s()

    def choose(self, workers: Sequence[Worker]) -> Worker | None:
        """Choose a worker: the better of two drawn, each the likelier the sooner it should answer.

        Drawing keeps nodes that know the same from going to the same worker together. Workers of
        other zones are drawn only once one of them should answer sooner than all near ones: each
        costs a connection of its own, and its answers cross metered links.
        """
        workers = self._near_unless_slower(workers)
        if len(workers) <= 1:
            return workers[0] if workers else None
        times = [self._relative_time(worker) for worker in workers]
        first = self._draw(times, None)
        second = self._draw(times, first)
        is_better = times[second] * NEARLY_EQUAL < times[first]
        return workers[second if is_better else first]

    def _near_unless_slower(self, workers: Sequence[Worker]) -> Sequence[Worker]:
        near = [worker for worker in workers if worker.zone == self._zone]
        if not near or len(near) == len(workers):
            return workers
        far = (worker for worker in workers if worker.zone != self._zone)
        soonest_far = min(self._relative_time(worker) for worker in far)
        soonest_near = min(self._relative_time(worker) for worker in near)
        return near if soonest_near <= soonest_far else workers

    def is_sooner(self, worker: Worker, other: Worker) -> bool:
        """Whether a worker should answer clearly sooner than another one."""
        return self._relative_time(worker) * NEARLY_EQUAL < self._relative_time(other)

    def has_room(self, worker: Worker) -> bool:
        """Whether a worker has a free slot, as far as known."""
        return self._num_at(worker) < worker.capacity

    def expected_time_s(self, worker: Worker, route: str) -> float | None:
        """How long a request that comes now should take, in seconds; ``None`` if nothing is known.

        That is its work and the wait for a slot behind what is in flight.
        """
        usual = self._usual_times.get((worker.service, route))
        if usual is None:
            return None
        num_turns = max(1.0, (self._num_at(worker) + 1) / max(1, worker.capacity))
        seen = self._seen.get(worker.incarnation)
        slowness = 1.0 if seen is None else seen.slowness.value
        return num_turns * math.exp(usual.log_s) * slowness

    def _draw(self, times: Sequence[float], excluded: int | None) -> int:
        weights = [0.0 if index == excluded else 1.0 / time_ for index, time_ in enumerate(times)]
        return self._rng.choices(range(len(times)), weights)[0]

    def _relative_time(self, worker: Worker) -> float:
        """Expected time of an answer as a multiple of an idle worker's usual one."""
        load = self._num_at(worker) / max(1, worker.capacity)
        distance = 1.0 if worker.zone == self._zone else REMOTE_FACTOR
        seen = self._seen.get(worker.incarnation)
        avoidance = 1.0 if seen is None else seen.slowness.value * seen.penalty.value
        return (1.0 + load) * avoidance * distance

    def _num_at(self, worker: Worker) -> float:
        """Requests at a worker, of this node and, as far as known, of others."""
        num_own = self._num_in_flight(worker)
        seen = self._seen.get(worker.incarnation)
        if seen is None:
            return num_own
        fading = math.exp(-(now_s() - seen.report_at_s) / REPORT_FADE_S)
        return num_own + seen.num_of_others * fading

    def _of(self, worker: Worker) -> _Seen:
        return self._seen.setdefault(worker.incarnation, _Seen())
