"""Load balancer for plain requests: expected latencies of workers and the choice by them.

Designed for workers of one service that differ in speed or become slow for some seconds, and that
are shared by many nodes which do not see each other's requests.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import LoadReport
from hollowrack.forwarding.region_links import DEFAULT_EXTRA_S, UNREACHABLE_EXTRA_S, RegionLinks
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.regions.distance import ZoneDistances
from hollowrack.regions.topology import RegionTopology

# Time constant of the exponential decay of slowness and penalties. A worker that is avoided gets no
# requests that could show its recovery, so old observations have to expire.
DECAY_TIME_S = 6.0
# Weight of the latest answer in a worker's slowness; evens out speeds that vary with each answer.
ANSWER_WEIGHT = 0.3
# Weight of a late request, which is stronger evidence than a single answer, as nearly all answers
# arrive earlier.
LATE_WEIGHT = 0.7
# Weight of the latest answer in the typical latency of a route, which rarely changes; the first
# answers weigh equally.
ROUTE_LATENCY_WEIGHT = 0.05
# Smaller factors are treated as noise. A preference based on them would fill single workers.
MIN_FACTOR = 1.3
# Bounds the effect of a single outlier, such as a suspended process or a cached answer.
MAX_FACTOR = 10.0
# Slowness assumed of a worker that has just failed. It decays below ``MIN_FACTOR``
# within 8 s.
FAILURE_PENALTY = 2.5
# Time constant of the decay of load reports, about the latency of a plain request.
REPORT_DECAY_TIME_S = 0.1
# Cost of a worker in another zone: a latency higher by a few milliseconds, and metered traffic.
REMOTE_FACTOR = 1.25
# Cost of a worker in another region while no latency of the route is known.
OTHER_REGION_FACTOR = 1.5
# Largest slowness of a worker that is in time where no latency objective or latency is known.
MAX_SLOWNESS_IN_TIME = 2.0
# Expected latencies within this factor count as equal, so that remainders of decayed observations
# do not determine the choice.
EQUALITY_FACTOR = 1.05
# Number of routes whose typical latency is stored; the least recently used are evicted.
MAX_ROUTES = 64
# Lower bound of latencies, since their logarithm is taken.
MIN_LATENCY_S = 0.001


class _DecayingFactor:
    """A factor that decays exponentially to 1 between updates."""

    def __init__(self) -> None:
        self._log = 0.0
        self._updated_s = -math.inf

    @property
    def value(self) -> float:
        """The current factor; exactly 1 if it differs from 1 by less than ``MIN_FACTOR``."""
        log_factor = self._decayed_log()
        return math.exp(log_factor) if abs(log_factor) >= math.log(MIN_FACTOR) else 1.0

    def update(self, factor: float, weight: float) -> None:
        """Update the moving average by a new factor with a weight from 0 to 1."""
        bounded = max(1.0 / MAX_FACTOR, min(MAX_FACTOR, factor))
        current = self._decayed_log()
        self._log = current + weight * (math.log(bounded) - current)
        self._updated_s = now_s()

    def _decayed_log(self) -> float:
        return self._log * math.exp(-(now_s() - self._updated_s) / DECAY_TIME_S)


@dataclass
class _WorkerStats:
    """This node's observations of one worker.

    Attributes:
        slowness: Ratio of its latencies to the typical ones.
        penalty: Additional factor after failures.
        num_other_requests: Requests of other nodes there, from its latest load report.
        report_received_s: When that report was received, on the loop's clock.
    """

    slowness: _DecayingFactor = field(default_factory=_DecayingFactor)
    penalty: _DecayingFactor = field(default_factory=_DecayingFactor)
    num_other_requests: int = 0
    report_received_s: float = -math.inf


@dataclass
class _RouteLatency:
    """Moving average of the logarithm of one route's latencies at all workers of a service.

    Attributes:
        log_s: The average.
        num_answers: Number of latencies in it.
        is_of_own_region: Whether all of them are from workers of the own region.
    """

    log_s: float = 0.0
    num_answers: int = 0
    is_of_own_region: bool = True

    def record(self, log_s: float) -> None:
        self.num_answers += 1
        weight = max(ROUTE_LATENCY_WEIGHT, 1.0 / self.num_answers)
        self.log_s += weight * (log_s - self.log_s)


@dataclass(frozen=True)
class LatencyObjective:
    """The latency that a plain request should have.

    Attributes:
        route: Name of its route.
        target_s: The latency, in seconds.
    """

    route: str
    target_s: float


class WorkerLoads:
    """Tracks the speed and the load of workers and chooses among them.

    Args:
        zone: This node's zone, whose workers are preferred.
        rng: Random number generator for the choices.
        num_in_flight: Returns how many requests this node has in flight at a worker.
        distances: Distances of zones; by default, all other zones are in the own region.

    Attributes:
        links: Additional times of requests to other regions.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        num_in_flight: Callable[[Worker], int],
        distances: ZoneDistances | None = None,
    ) -> None:
        self._zone = zone
        self._distances = distances or ZoneDistances(zone, RegionTopology())
        self.links = RegionLinks(self._distances)
        self._rng = rng
        self._num_in_flight = num_in_flight
        self._stats: dict[WorkerIncarnation, _WorkerStats] = {}
        self._route_latencies: OrderedDict[tuple[str, str], _RouteLatency] = OrderedDict()

    @property
    def num_known(self) -> int:
        """Number of incarnations with stored state."""
        return len(self._stats)

    def remove(self, incarnation: WorkerIncarnation) -> None:
        """Remove the state of an incarnation that has ended."""
        self._stats.pop(incarnation, None)

    def record_answer(self, worker: Worker, route: str, seconds: float) -> None:
        """Record the latency of a request or the interval before an event of a stream.

        Args:
            worker: The worker that answered.
            route: Name of the route, empty for events of streams; latencies are compared within one
                route only.
            seconds: Latency or interval, in seconds.
        """
        key = (worker.service, route)
        if route and self._distances.is_in_other_region(worker.zone):
            seconds = self._record_link(worker, key, seconds)
            if key in self._route_latencies and self._route_latencies[key].is_of_own_region:
                self._record_ratio(worker, seconds / math.exp(self._route_latencies[key].log_s))
                return
            self._route_latencies.setdefault(key, _RouteLatency(is_of_own_region=False))
        elif key in self._route_latencies and not self._route_latencies[key].is_of_own_region:
            del self._route_latencies[key]
        log_s = math.log(max(MIN_LATENCY_S, seconds))
        route_latency = self._route_latencies.setdefault(key, _RouteLatency())
        route_latency.record(log_s)
        self._route_latencies.move_to_end(key)
        if len(self._route_latencies) > MAX_ROUTES:
            self._route_latencies.popitem(last=False)
        self._record_ratio(worker, math.exp(log_s - route_latency.log_s))

    def _record_ratio(self, worker: Worker, ratio: float) -> None:
        """Record the ratio of a worker's latency to the typical one."""
        stats = self._stats_of(worker)
        stats.slowness.update(ratio, ANSWER_WEIGHT)
        stats.penalty.update(1.0, ANSWER_WEIGHT)

    def _record_link(self, worker: Worker, key: tuple[str, str], seconds: float) -> float:
        """Record how much longer a request to another region took; returns the rest, in seconds.

        Only latencies of the own region show what the link adds.
        """
        extra_s = self.links.extra_s(worker.zone)
        route_latency = self._route_latencies.get(key)
        if route_latency is not None and route_latency.is_of_own_region:
            self.links.record(worker.zone, seconds - math.exp(route_latency.log_s))
        return max(MIN_LATENCY_S, seconds - extra_s)

    def record_unreachable(self, worker: Worker) -> None:
        """Record that no connection to a worker could be established."""
        self.links.record(worker.zone, UNREACHABLE_EXTRA_S)

    def record_late(self, worker: Worker, route: str, seconds: float) -> None:
        """Record that a worker has not answered a request after so many seconds."""
        key = (worker.service, route)
        if self._distances.is_in_other_region(worker.zone):
            seconds = self._record_link(worker, key, seconds)
        route_latency = self._route_latencies.get(key)
        factor = MAX_FACTOR if route_latency is None else seconds / math.exp(route_latency.log_s)
        self._stats_of(worker).slowness.update(factor, LATE_WEIGHT)

    def record_failure(self, worker: Worker) -> None:
        """Record that a worker sent an incomplete answer, none, or could not be reached."""
        self._stats_of(worker).penalty.update(FAILURE_PENALTY, 1.0)

    def record_report(self, worker: Worker, report: LoadReport) -> None:
        """Record the load that a worker reported."""
        stats = self._stats_of(worker)
        num_all = report.num_running + report.num_waiting
        stats.num_other_requests = max(0, num_all - self._num_in_flight(worker))
        stats.report_received_s = now_s()

    def choose(
        self, workers: Sequence[Worker], objective: LatencyObjective | None = None
    ) -> Worker | None:
        """Choose the better of two workers drawn with weights inverse to their expected latency.

        The random draw keeps nodes with equal observations from choosing the same worker. Workers
        of other zones are considered only if one of them is expected to answer sooner than all
        local ones, since they need connections of their own and cause metered traffic. Workers of
        other regions are considered only if none of the own region is expected to answer in time.

        Args:
            workers: The workers to choose from.
            objective: What counts as in time; ``None`` for a worker with a free slot.
        """
        if self._distances.has_other_regions:
            workers = self._nearest_in_time(workers, objective)
        workers = self._local_unless_slower(workers, objective)
        if len(workers) <= 1:
            return workers[0] if workers else None
        latencies = [self._relative_latency(worker, objective) for worker in workers]
        first = self._draw(latencies, None)
        second = self._draw(latencies, first)
        is_better = latencies[second] * EQUALITY_FACTOR < latencies[first]
        return workers[second if is_better else first]

    def _nearest_in_time(
        self, workers: Sequence[Worker], objective: LatencyObjective | None
    ) -> Sequence[Worker]:
        """Return the workers of the own region, or else of other regions, that answer in time.

        If there are none, the objective cannot be met, or typical latencies contain waits for
        slots. Then workers of the own region with a free slot come first, and else the region where
        an answer is expected sooner.
        """
        near = [worker for worker in workers if not self._distances.is_in_other_region(worker.zone)]
        if not near or len(near) == len(workers):
            return workers
        far = [worker for worker in workers if self._distances.is_in_other_region(worker.zone)]
        for tier in (near, far):
            in_time = [worker for worker in tier if self._is_in_time(worker, objective)]
            if in_time:
                return in_time
        free = [worker for worker in near if self._is_in_time(worker, None)]
        if free:
            return free
        lowest_near = min(self._relative_latency(worker, objective) for worker in near)
        lowest_far = min(self._relative_latency(worker, objective) for worker in far)
        return near if lowest_near <= lowest_far else far

    def _is_in_time(self, worker: Worker, objective: LatencyObjective | None) -> bool:
        """Whether a worker is expected to answer a request in time, even after a wait for a slot.

        Slots that become free one after the other are not counted on: a request that finds all of
        them taken is assumed to wait for as long as it runs.
        """
        route_latency = (
            None
            if objective is None
            else self._route_latencies.get((worker.service, objective.route))
        )
        if objective is None or route_latency is None:
            return self.has_free_slot(worker) and self._avoidance(worker) <= MAX_SLOWNESS_IN_TIME
        num_slots = max(1, worker.capacity)
        num_rounds = 1 + math.ceil(max(0.0, self._num_requests(worker) + 1 - num_slots) / num_slots)
        latency_s = num_rounds * math.exp(route_latency.log_s) * self._avoidance(worker)
        return latency_s + self.links.extra_s(worker.zone) <= objective.target_s

    def _local_unless_slower(
        self, workers: Sequence[Worker], objective: LatencyObjective | None
    ) -> Sequence[Worker]:
        local = [worker for worker in workers if worker.zone == self._zone]
        if not local or len(local) == len(workers):
            return workers
        remote = (worker for worker in workers if worker.zone != self._zone)
        lowest_remote = min(self._relative_latency(worker, objective) for worker in remote)
        lowest_local = min(self._relative_latency(worker, objective) for worker in local)
        return local if lowest_local <= lowest_remote else workers

    def is_sooner(
        self, worker: Worker, other: Worker, objective: LatencyObjective | None = None
    ) -> bool:
        """Whether a worker is expected to answer clearly sooner than another one."""
        latency = self._relative_latency(worker, objective)
        return latency * EQUALITY_FACTOR < self._relative_latency(other, objective)

    def has_free_slot(self, worker: Worker) -> bool:
        """Whether a worker has a free slot, as far as this node knows."""
        return self._num_requests(worker) < worker.capacity

    def expected_latency_s(self, worker: Worker, route: str) -> float | None:
        """Return the expected latency of a request sent now, including the wait for a slot.

        Returns:
            The latency in seconds; ``None`` if no latency of the route is known.
        """
        route_latency = self._route_latencies.get((worker.service, route))
        if route_latency is None:
            return None
        queueing_factor = max(1.0, (self._num_requests(worker) + 1) / max(1, worker.capacity))
        stats = self._stats.get(worker.incarnation)
        slowness = 1.0 if stats is None else stats.slowness.value
        latency_s = queueing_factor * math.exp(route_latency.log_s) * slowness
        if self._distances.is_in_other_region(worker.zone):
            latency_s += self.links.extra_s(worker.zone)
        return latency_s

    def _draw(self, latencies: Sequence[float], excluded: int | None) -> int:
        weights = [
            0.0 if index == excluded else 1.0 / latency for index, latency in enumerate(latencies)
        ]
        return self._rng.choices(range(len(latencies)), weights)[0]

    def _relative_latency(self, worker: Worker, objective: LatencyObjective | None = None) -> float:
        """Expected latency as a multiple of the typical latency at an idle worker."""
        load = self._num_requests(worker) / max(1, worker.capacity)
        zone_factor = 1.0 if worker.zone == self._zone else REMOTE_FACTOR
        if self._distances.is_in_other_region(worker.zone):
            return (1.0 + load) * self._avoidance(worker) + self._relative_extra(worker, objective)
        return (1.0 + load) * self._avoidance(worker) * zone_factor

    def _avoidance(self, worker: Worker) -> float:
        stats = self._stats.get(worker.incarnation)
        return 1.0 if stats is None else stats.slowness.value * stats.penalty.value

    def _relative_extra(self, worker: Worker, objective: LatencyObjective | None) -> float:
        """Additional time at a worker of another region, as a multiple of the typical latency."""
        key = None if objective is None else (worker.service, objective.route)
        route_latency = None if key is None else self._route_latencies.get(key)
        if route_latency is None:
            slowdown = self.links.extra_s(worker.zone) / DEFAULT_EXTRA_S
            return (OTHER_REGION_FACTOR - 1.0) * slowdown
        extra_s = self.links.extra_s(worker.zone)
        return max(REMOTE_FACTOR - 1.0, extra_s / math.exp(route_latency.log_s))

    def _num_requests(self, worker: Worker) -> float:
        """Number of requests at a worker: this node's and, by its load report, other nodes'."""
        num_own = self._num_in_flight(worker)
        stats = self._stats.get(worker.incarnation)
        if stats is None:
            return num_own
        decay = math.exp(-(now_s() - stats.report_received_s) / REPORT_DECAY_TIME_S)
        return num_own + stats.num_other_requests * decay

    def _stats_of(self, worker: Worker) -> _WorkerStats:
        return self._stats.setdefault(worker.incarnation, _WorkerStats())
