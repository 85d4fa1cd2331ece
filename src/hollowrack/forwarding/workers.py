"""Directory of workers with this node's in-flight requests and observations of failures."""

import random
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.worker_event_intervals import WorkerEventIntervals
from hollowrack.forwarding.worker_load import LatencyObjective, WorkerLoads
from hollowrack.regions.conditions import RegionCondition
from hollowrack.regions.distance import Distance, ZoneDistances
from hollowrack.regions.topology import RegionTopology

BUSY_BACKOFF_S = 0.06
MAX_BUSY_BACKOFF_S = 0.24
UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 4.0
FAILURE_BACKOFF_S = 0.15
# Cost of a worker in another zone when runs are placed; a slowness of 1 costs 1.
REMOTE_ZONE_PENALTY = 0.06
# Cost of a worker in another region when runs are placed, beside the measured additional time in
# seconds. More than full load and another zone together: slots of the own region are used first.
OTHER_REGION_PENALTY = 0.4
# Cost of a full worker compared with an idle one when runs are placed.
PLACEMENT_LOAD_WEIGHT = 0.25
# Factor of the failure score at each success, and of its previous value at each failure.
FAILURE_DECAY = 0.5
# Cost per unit of the failure score when runs are placed.
FAILURE_WEIGHT = 2.0


@dataclass
class _Observations:
    """This node's requests to one incarnation of a worker and the failures it observed.

    Attributes:
        num_in_flight: Requests of this node in flight there.
        backoff_until_s: End of the backoff, on the loop's clock.
        num_consecutive_failures: Failures since the last success, unreachable ones included.
        num_consecutive_refusals: Refusals since the last success; concurrent ones count once.
        failure_score: Decaying sum of failures, by :data:`FAILURE_DECAY`.
        last_answer_s: When it last answered, on the loop's clock; minus infinity if it never did or
            could not be reached since.
    """

    num_in_flight: int = 0
    backoff_until_s: float = -float("inf")
    num_consecutive_failures: int = 0
    num_consecutive_refusals: int = 0
    failure_score: float = 0.0
    last_answer_s: float = -float("inf")


Eligible = Callable[[Worker], bool]


def any_worker(worker: Worker) -> bool:
    """Condition that every worker meets."""
    del worker
    return True


def both(first: Eligible, second: Eligible) -> Eligible:
    """Return the conjunction of two conditions."""
    return lambda worker: first(worker) and second(worker)


class WorkerDirectory:
    """Chooses workers by service from the registry and this node's observations.

    Holds the latest incarnation of each worker. Observations are kept per incarnation and do not
    carry over to the next one.

    Args:
        zone: This node's zone, whose workers are preferred.
        rng: Random number generator for choices among workers.
        topology: Regions of the zones; by default, all zones are in one region.

    Attributes:
        loads: Expected latencies of plain requests by worker.
        evacuated_zones: Zones whose workers count as none for new requests. After changes,
            :meth:`evacuated_zones_changed` has to be called.
        num_refused_by_regions: Requests refused because no worker in their allowed regions was
            known, by service.
        num_sent: Number of requests sent to workers, by distance.
    """

    def __init__(
        self, zone: str, rng: random.Random, topology: RegionTopology | None = None
    ) -> None:
        self._zone = zone
        self.num_sent: Counter[Distance] = Counter()
        self._rng = rng
        self._topology = topology or RegionTopology()
        self._distances = ZoneDistances(zone, self._topology)
        self._workers: dict[str, Worker] = {}
        self._observations: dict[WorkerIncarnation, _Observations] = {}
        self.evacuated_zones: Collection[str] = ()
        self.num_refused_by_regions: Counter[str] = Counter()
        self.loads = WorkerLoads(zone, rng, self.num_in_flight, self._distances)
        self._event_intervals = WorkerEventIntervals(self.serving)
        self._listeners: list[Callable[[], None]] = []
        self._end_listeners: list[Callable[[Worker], None]] = []
        self._not_run_listeners: list[Callable[[Worker, NotRunReason], None]] = []
        self._restrictions: list[Eligible] = []
        self._is_warm: Eligible = any_worker
        self._has_permit: Eligible = any_worker

    @property
    def rng(self) -> random.Random:
        """Random number generator for choices among workers."""
        return self._rng

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a worker may have become available."""
        self._listeners.append(listener)

    def add_restriction(self, is_allowed: Eligible) -> None:
        """Register a condition on the workers that are chosen for any request."""
        self._restrictions.append(is_allowed)

    def evacuated_zones_changed(self) -> None:
        """Apply a change of the evacuated zones, after which workers may have become available."""
        self._event_intervals.invalidate_best()
        self._notify()

    def limit_cold_workers(self, is_warm: Eligible, has_permit: Eligible) -> None:
        """Restrict the choice of workers to warm ones.

        Args:
            is_warm: Whether a worker is not cold.
            has_permit: Whether a run may be placed at a cold worker now.
        """
        self._is_warm = is_warm
        self._has_permit = has_permit

    def is_warm(self, worker: Worker) -> bool:
        """Whether a worker is not cold."""
        return self._is_warm(worker)

    def on_request_end(self, listener: Callable[[Worker], None]) -> None:
        """Register a listener that is called with the worker of each request that has ended."""
        self._end_listeners.append(listener)

    def on_not_run(self, listener: Callable[[Worker, NotRunReason], None]) -> None:
        """Register a listener that is called when a worker certainly did not run a request."""
        self._not_run_listeners.append(listener)

    def update(self, worker: Worker) -> None:
        """Update the registry entry of a worker; entries of earlier incarnations are ignored."""
        known = self._workers.get(worker.id)
        if known is not None and worker.started_ms < known.started_ms:
            logging.info(
                "worker %s: earlier incarnation ignored, current is %s",
                worker.incarnation,
                known.incarnation,
            )
            return
        self._workers[worker.id] = worker
        self._observations.setdefault(worker.incarnation, _Observations())
        if known is not None and known.incarnation != worker.incarnation:
            logging.info("worker %s: restarted as %s", known.incarnation, worker.incarnation)
            self.loads.remove(known.incarnation)
            self._remove_observations_if_idle(known)
        self._event_intervals.invalidate_best()
        self._notify()

    def remove(self, worker_id: str) -> None:
        """Remove a worker that has left the registry."""
        worker = self._workers.pop(worker_id, None)
        self._event_intervals.invalidate_best()
        if worker is not None:
            self.loads.remove(worker.incarnation)
            self._remove_observations_if_idle(worker)

    def get(self, worker_id: str) -> Worker | None:
        """Return a worker by its identity; ``None`` if it is unknown."""
        return self._workers.get(worker_id)

    def is_current(self, incarnation: WorkerIncarnation) -> bool:
        """Whether an incarnation is the current one of its worker."""
        worker = self._workers.get(incarnation.worker_id)
        return worker is not None and worker.incarnation == incarnation

    def all(self) -> list[Worker]:
        """Return all workers, including those that are draining."""
        return list(self._workers.values())

    def serving(self, service: str) -> list[Worker]:
        """Return a service's workers that accept new requests and are in no evacuated zone."""
        evacuated_zones = self.evacuated_zones
        return [
            worker
            for worker in self._workers.values()
            if worker.service == service
            and not worker.is_leaving
            and worker.zone not in evacuated_zones
        ]

    def is_evacuated(self, worker: Worker) -> bool:
        """Whether a worker is in an evacuated zone."""
        return worker.zone in self.evacuated_zones

    def are_all_evacuated(self, service: str) -> bool:
        """Whether a service has workers, but all that are not leaving are in evacuated zones."""
        if not self.evacuated_zones or self.serving(service):
            return False
        return any(
            worker.service == service and not worker.is_leaving for worker in self._workers.values()
        )

    def allowed(self, service: str, is_eligible: Eligible = any_worker) -> list[Worker]:
        """Return a service's workers, cold ones too, that meet all restrictions and a condition."""
        workers = self.serving(service)
        if is_eligible is any_worker and not self._restrictions:
            return workers
        return [worker for worker in workers if is_eligible(worker) and self._is_allowed(worker)]

    @property
    def has_regions(self) -> bool:
        """Whether the settings name regions; without them no request has allowed regions."""
        return bool(self._topology.regions)

    @property
    def has_several_regions(self) -> bool:
        """Whether allowed regions can exclude a zone of the settings."""
        return self._topology.has_several_regions

    def num_of_unknown_region(self) -> int:
        """Return the number of workers whose zone has no known region; 0 without regions."""
        if not self.has_regions:
            return 0
        return sum(self._topology.region_of(worker.zone) is None for worker in self.all())

    def in_regions(self, allowed_regions: frozenset[str] | None) -> Eligible:
        """Return the condition that a worker is in one of the allowed regions.

        Conditions for the same regions are equal; ``None`` allows all regions.
        """
        if allowed_regions is None:
            return any_worker
        return RegionCondition(self._topology, allowed_regions)

    def is_any_in(self, service: str, allowed_regions: frozenset[str] | None) -> bool:
        """Whether a worker of a service in the allowed regions is known.

        Always true if all regions are allowed. Restrictions and backoffs are not considered, as
        they may end while a request waits.
        """
        if allowed_regions is None:
            return True
        return any(map(self.in_regions(allowed_regions), self.serving(service)))

    def choose(
        self,
        service: str,
        excluded: Collection[WorkerIncarnation] = (),
        is_eligible: Eligible = any_worker,
        objective: LatencyObjective | None = None,
    ) -> Worker | None:
        """Choose a warm worker for a plain request by its expected latency.

        Args:
            service: Name of the service.
            excluded: Incarnations that are not chosen.
            is_eligible: Condition that the worker has to meet.
            objective: Latency up to which workers of the own region are preferred.

        Returns:
            The worker; ``None`` if the service has no other warm workers.
        """
        candidates = [
            worker
            for worker in self.allowed(service, is_eligible)
            if worker.incarnation not in excluded and self._is_warm(worker)
        ]
        ready = [worker for worker in candidates if not self._is_backing_off(worker)]
        return self.loads.choose(ready or candidates, objective)

    def choose_for_hedge(
        self,
        late: Worker,
        excluded: Collection[WorkerIncarnation],
        is_eligible: Eligible = any_worker,
        objective: LatencyObjective | None = None,
    ) -> Worker | None:
        """Choose a worker for a hedged attempt of a request that is late at another worker.

        Only warm workers that have a free slot, are not backing off and are expected to answer
        sooner are considered: if all workers are slow, hedging only adds load.
        """
        candidates = [
            worker
            for worker in self.allowed(late.service, is_eligible)
            if worker.incarnation not in excluded
            and self._is_warm(worker)
            and not self._is_backing_off(worker)
            and self.loads.has_free_slot(worker)
            and self.loads.is_sooner(worker, late, objective)
        ]
        return self.loads.choose(candidates, objective)

    def lowest_expected_latency_s(
        self, service: str, route: str, is_eligible: Eligible = any_worker
    ) -> float | None:
        """Return the lowest expected latency of a request that has to wait for a slot.

        Args:
            service: Name of the service.
            route: Name of the request's route; latencies are tracked separately for each route.
            is_eligible: Condition that the worker has to meet.

        Returns:
            The latency in seconds at warm workers; ``None`` if any of the own region has a free
            slot, or if a latency is not known.
        """
        lowest_s: float | None = None
        for worker in self.allowed(service, is_eligible):
            if not self._is_warm(worker):
                continue
            latency_s = self.loads.expected_latency_s(worker, route)
            if latency_s is None:
                return None
            is_far = self._distances.is_in_other_region(worker.zone)
            if self.loads.has_free_slot(worker) and not is_far:
                return None
            lowest_s = latency_s if lowest_s is None else min(lowest_s, latency_s)
        return lowest_s

    def choose_for_run(
        self,
        service: str,
        excluded: Collection[WorkerIncarnation],
        is_eligible: Eligible,
        limit: Callable[[Worker], int] | None = None,
    ) -> Worker | None:
        """Choose the fastest worker of a service that has a free slot for a run.

        The duration of a run depends on the speed of its worker much more than on the load there.
        Runs are placed longest first, so that the longest go to the fastest workers.

        Args:
            service: Name of the service.
            excluded: Incarnations that are not chosen.
            is_eligible: Condition that the worker has to meet.
            limit: Returns how many requests this node may have in flight at a worker; ``None`` for
                the worker's capacity.

        Returns:
            The worker; ``None`` if there is none.
        """
        candidates = [
            worker
            for worker in self.allowed(service, is_eligible)
            if worker.incarnation not in excluded and self._may_place_run(worker)
        ]
        with_free_slot = [
            worker for worker in self._usable(candidates) if self._has_free_slot(worker, limit)
        ]
        return min(with_free_slot, key=self._placement_cost, default=None)

    def available_for_runs(self, service: str) -> list[Worker]:
        """Return the workers of a service that runs may be placed at, including full ones."""
        return self._usable(list(filter(self._may_place_run, self.allowed(service))))

    def has_free_slot(
        self, service: str, is_eligible: Eligible, limit: Callable[[Worker], int]
    ) -> bool:
        """Whether any eligible worker has a free slot; if not, ``choose_for_run`` finds none.

        Args:
            service: Name of the service.
            is_eligible: Condition that the worker has to meet.
            limit: Returns how many requests this node may have in flight at a worker.
        """
        return any(
            self._has_free_slot(worker, limit)
            and not self._is_backing_off(worker)
            and is_eligible(worker)
            and self._is_allowed(worker)
            and self._may_place_run(worker)
            for worker in self.serving(service)
        )

    def reserve_slot(self, worker: Worker) -> None:
        """Reserve a slot for a request that is sent to a worker."""
        self._observations.setdefault(worker.incarnation, _Observations()).num_in_flight += 1
        self.num_sent[self._distances.of(worker.zone)] += 1

    def release_slot(self, worker: Worker) -> None:
        """Release the slot of a request that has ended."""
        observations = self._observations_of(worker)
        observations.num_in_flight -= 1
        if not self.is_current(worker.incarnation):
            self._remove_observations_if_idle(worker)
            self.loads.remove(worker.incarnation)
        for listener in self._end_listeners:
            listener(worker)
        self._notify()

    def record_answer(self, worker: Worker) -> None:
        """Record that a worker answered, or sent a part of an answer."""
        self._observations_of(worker).last_answer_s = now_s()

    def last_answer_s(self, worker: Worker) -> float:
        """Return when a worker last answered this node, on the loop's clock.

        Returns minus infinity if it never did, or if it could not be reached since.
        """
        return self._observations_of(worker).last_answer_s

    def record_success(self, worker: Worker) -> None:
        """Record that a worker answered a request."""
        self.record_answer(worker)
        observations = self._observations_of(worker)
        observations.num_consecutive_failures = 0
        observations.num_consecutive_refusals = 0
        observations.failure_score *= FAILURE_DECAY

    def record_latency(self, worker: Worker, seconds: float, route: str = "") -> None:
        """Record the latency of a request or the interval before an event of a stream.

        Args:
            worker: The worker that answered.
            seconds: Latency or interval, in seconds.
            route: Name of the request's route, empty for events of streams; latencies are compared
                within one route only.
        """
        if not self.is_current(worker.incarnation):
            return  # State of an incarnation that has ended would never be removed.
        self.record_answer(worker)
        self.loads.record_answer(worker, route, seconds)
        if not route:
            self._event_intervals.record(worker, seconds)

    def is_much_slower(self, worker: Worker) -> bool:
        """Whether a worker has recently been much slower than the fastest of its service."""
        return self._event_intervals.is_much_slower(worker)

    def has_faster(self, worker: Worker, is_eligible: Eligible) -> bool:
        """Whether an eligible worker of the service is not much slower than its fastest one.

        Args:
            worker: A worker that is much slower.
            is_eligible: Condition that the other worker has to meet.
        """
        others = self.allowed(worker.service, is_eligible)
        return any(not self.is_much_slower(other) for other in others)

    def time_saved_s(self, worker: Worker, other: Worker | None, num_events: float) -> float:
        """Return the time saved by moving a run to another worker, in seconds.

        Args:
            worker: The current worker of the run.
            other: The other worker; ``None`` for the fastest of the service.
            num_events: Number of remaining events of the run.
        """
        return self._event_intervals.time_saved_s(worker, other, num_events)

    def record_busy(self, worker: Worker) -> None:
        """Record that a worker refused a request because it is full."""
        self.record_answer(worker)
        if self._is_backing_off(worker):
            return  # Concurrent refusals count once.
        observations = self._observations_of(worker)
        # The exponent is bounded, as a worker may refuse requests for hours.
        backoff_s = BUSY_BACKOFF_S * 2 ** min(observations.num_consecutive_refusals, 5)
        backoff_s = min(MAX_BUSY_BACKOFF_S, backoff_s)
        observations.num_consecutive_refusals += 1
        self._back_off(worker, backoff_s)

    def record_failure(self, worker: Worker) -> None:
        """Record that a worker sent an incomplete answer or none."""
        self.loads.record_failure(worker)
        observations = self._observations_of(worker)
        observations.num_consecutive_failures += 1
        observations.failure_score = observations.failure_score * FAILURE_DECAY + 1.0
        self._back_off(worker, FAILURE_BACKOFF_S * observations.num_consecutive_failures)

    def record_unreachable(self, worker: Worker) -> None:
        """Record that no connection to a worker could be established."""
        self.loads.record_failure(worker)
        self.loads.record_unreachable(worker)
        observations = self._observations_of(worker)
        observations.num_consecutive_failures += 1
        observations.failure_score = observations.failure_score * FAILURE_DECAY + 1.0
        observations.last_answer_s = -float("inf")
        backoff_s = UNREACHABLE_BACKOFF_S * 2 ** min(observations.num_consecutive_failures - 1, 5)
        self._back_off(worker, min(backoff_s, MAX_UNREACHABLE_BACKOFF_S))

    def record_not_run(self, worker: Worker, reason: NotRunReason) -> None:
        """Record that a worker certainly did not run a request."""
        if reason is NotRunReason.BUSY:
            self.record_busy(worker)
        elif reason is NotRunReason.UNREACHABLE:
            self.record_unreachable(worker)
        elif reason is NotRunReason.REPLACED:
            self.record_replaced(worker)
        for listener in self._not_run_listeners:
            listener(worker, reason)

    def record_replaced(self, worker: Worker) -> None:
        """Remove a worker at whose address another incarnation answers."""
        if self.is_current(worker.incarnation):
            self.remove(worker.id)

    def num_in_flight(self, worker: Worker) -> int:
        """Return the number of requests that this node has in flight at a worker."""
        return self._observations_of(worker).num_in_flight

    def queueing_factor(self, worker: Worker) -> float:
        """Return this node's requests in flight at a worker per slot, at least 1.

        The latest request sent there takes about this many times longer than at an idle worker.
        """
        return max(1.0, self.num_in_flight(worker) / max(1, worker.capacity))

    def has_room(self, worker: Worker) -> bool:
        """Whether a plain request sent to a worker now is expected to start at once."""
        return not self._is_backing_off(worker) and self.loads.has_free_slot(worker)

    def _observations_of(self, worker: Worker) -> _Observations:
        """Return the observations of a worker; empty ones if none are stored."""
        return self._observations.get(worker.incarnation) or _Observations()

    def _remove_observations_if_idle(self, worker: Worker) -> None:
        """Remove the observations of an ended incarnation that has no requests in flight."""
        if self._observations_of(worker).num_in_flight <= 0:
            self._observations.pop(worker.incarnation, None)
            self._event_intervals.remove(worker.incarnation)

    def _back_off(self, worker: Worker, backoff_s: float) -> None:
        observations = self._observations_of(worker)
        observations.backoff_until_s = max(observations.backoff_until_s, now_s() + backoff_s)

    def _is_allowed(self, worker: Worker) -> bool:
        return all(is_allowed(worker) for is_allowed in self._restrictions)

    def _may_place_run(self, worker: Worker) -> bool:
        return self._is_warm(worker) or self._has_permit(worker)

    def _is_backing_off(self, worker: Worker) -> bool:
        return now_s() < self._observations_of(worker).backoff_until_s

    def _usable(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers not in backoff, without much slower ones if there are others."""
        ready = [worker for worker in workers if not self._is_backing_off(worker)]
        if any(not self.is_much_slower(worker) for worker in workers):
            return [worker for worker in ready if not self.is_much_slower(worker)]
        return ready

    def _has_free_slot(self, worker: Worker, limit: Callable[[Worker], int] | None) -> bool:
        max_in_flight = max(1, worker.capacity) if limit is None else limit(worker)
        return self._observations_of(worker).num_in_flight < max_in_flight

    def _placement_cost(self, worker: Worker) -> tuple[float, float]:
        observations = self._observations_of(worker)
        load = (observations.num_in_flight + 1) / max(1, worker.capacity)
        cost = self._event_intervals.placement_slowness(worker) + PLACEMENT_LOAD_WEIGHT * load
        cost += FAILURE_WEIGHT * observations.failure_score
        if self._distances.is_in_other_region(worker.zone):
            cost += OTHER_REGION_PENALTY + self.loads.links.extra_s(worker.zone)
        elif worker.zone != self._zone:
            cost += REMOTE_ZONE_PENALTY
        return (cost, self._rng.random())

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
