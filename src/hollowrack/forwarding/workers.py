"""The workers this node knows, what it has in flight at each, and direct evidence about them."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.worker_event_intervals import WorkerEventIntervals
from hollowrack.forwarding.worker_load import WorkerLoads

BUSY_PAUSE_S = 0.06
MAX_BUSY_PAUSE_S = 0.24
UNREACHABLE_PAUSE_S = 0.5
MAX_UNREACHABLE_PAUSE_S = 4.0
FAILURE_PAUSE_S = 0.15
REMOTE_ZONE_PENALTY = 0.06
# A full worker is taken for that much slower than an empty one when runs are placed.
PLACING_LOAD_WEIGHT = 0.25
FAILURE_DECAY = 0.5
FAILURE_WEIGHT = 2.0


@dataclass
class _Evidence:
    """What this node has seen of one life of a worker."""

    num_in_flight: int = 0
    paused_until_s: float = -float("inf")
    num_failures_in_a_row: int = 0
    num_refusals_in_a_row: int = 0
    failure_score: float = 0.0


Eligible = Callable[[Worker], bool]


def both(first: Eligible, second: Eligible) -> Eligible:
    """Return the condition that two conditions hold."""
    return lambda worker: first(worker) and second(worker)


class WorkerDirectory:
    """Workers by service, with the load and the failures seen from this node.

    One life of each identity is known. All that was seen belongs to the life in which it was seen.

    Args:
        zone: This node's zone; near workers are preferred when equally loaded.
        rng: Source of all random choices.

    Attributes:
        loads: How soon each worker should answer a plain request.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._workers: dict[str, Worker] = {}
        self._evidence: dict[WorkerIncarnation, _Evidence] = {}
        self.loads = WorkerLoads(zone, rng, self.num_in_flight)
        self._paces = WorkerEventIntervals(self.serving)
        self._listeners: list[Callable[[], None]] = []
        self._end_listeners: list[Callable[[Worker], None]] = []

    @property
    def rng(self) -> random.Random:
        """Source of the random choices about workers."""
        return self._rng

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a worker may have become available."""
        self._listeners.append(listener)

    def on_end(self, listener: Callable[[Worker], None]) -> None:
        """Call a listener with the worker of each request that is over."""
        self._end_listeners.append(listener)

    def update(self, worker: Worker) -> None:
        """Take in a worker's newest state; that of a life before the known one is ignored."""
        known = self._workers.get(worker.id)
        if known is not None and worker.started_ms < known.started_ms:
            logging.info("worker %s: ignored, %s is known", worker.incarnation, known.incarnation)
            return
        self._workers[worker.id] = worker
        self._evidence.setdefault(worker.incarnation, _Evidence())
        if known is not None and known.incarnation != worker.incarnation:
            logging.info("worker %s: started again as %s", known.incarnation, worker.incarnation)
            self.loads.remove(known.incarnation)
            self._drop_evidence_at_rest(known)
        self._paces.invalidate_best()
        self._notify()

    def remove(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        worker = self._workers.pop(worker_id, None)
        self._paces.invalidate_best()
        if worker is not None:
            self.loads.remove(worker.incarnation)
            self._drop_evidence_at_rest(worker)

    def get(self, worker_id: str) -> Worker | None:
        """Return a worker by its identity."""
        return self._workers.get(worker_id)

    def is_current(self, life: WorkerIncarnation) -> bool:
        """Whether a life of a worker is the one that is there."""
        worker = self._workers.get(life.worker_id)
        return worker is not None and worker.incarnation == life

    def all(self) -> list[Worker]:
        """Return all workers, leaving ones included."""
        return list(self._workers.values())

    def serving(self, service: str) -> list[Worker]:
        """Return a service's workers that take new work."""
        return [
            worker
            for worker in self._workers.values()
            if worker.service == service and not worker.is_leaving
        ]

    def choose(
        self,
        service: str,
        excluded: Collection[WorkerIncarnation] = (),
    ) -> Worker | None:
        """Choose a worker of a service that should answer a request soon.

        Args:
            service: The service.
            excluded: Lives of workers not to be chosen.
        """
        candidates = [
            worker for worker in self.serving(service) if worker.incarnation not in excluded
        ]
        ready = [worker for worker in candidates if not self._is_paused(worker)]
        return self.loads.choose(ready or candidates)

    def choose_for_hedge(
        self, late: Worker, excluded: Collection[WorkerIncarnation]
    ) -> Worker | None:
        """Choose a worker for a request that is late at another one of the service.

        It has a free slot, has not failed or refused a moment ago, and is expected to answer
        sooner: where all are late, a further attempt only adds load.
        """
        candidates = [
            worker
            for worker in self.serving(late.service)
            if worker.incarnation not in excluded
            and not self._is_paused(worker)
            and self.loads.has_room(worker)
            and self.loads.is_sooner(worker, late)
        ]
        return self.loads.choose(candidates)

    def soonest_answer_s(self, service: str, work: str) -> float | None:
        """How long the soonest worker should take for a request that has to wait for a slot.

        Args:
            service: The service.
            work: What kind of work it is.

        Returns:
            The time in seconds; ``None`` if a slot is free somewhere, or nothing is known.
        """
        soonest_s: float | None = None
        for worker in self.serving(service):
            time_s = self.loads.expected_time_s(worker, work)
            if time_s is None or self.loads.has_room(worker):
                return None
            soonest_s = time_s if soonest_s is None else min(soonest_s, time_s)
        return soonest_s

    def choose_for_run(
        self,
        service: str,
        excluded: Collection[WorkerIncarnation],
        is_eligible: Eligible,
        limit: Callable[[Worker], int] | None = None,
    ) -> Worker | None:
        """Choose the fastest worker of a service that has room for a run.

        How long a run takes depends on the pace of its worker far more than on the others there;
        so those that are placed first, the longest, go to the fastest workers.

        Args:
            service: The service.
            excluded: Lives of workers not to be chosen.
            is_eligible: Further condition.
            limit: Returns how many requests this node may have in flight at a worker; ``None`` for
                its capacity.
        """
        candidates = [
            worker
            for worker in self.serving(service)
            if worker.incarnation not in excluded and is_eligible(worker)
        ]
        with_room = [worker for worker in self._usable(candidates) if self._has_room(worker, limit)]
        return min(with_room, key=self._placing_cost, default=None)

    def available_for_runs(self, service: str) -> list[Worker]:
        """Return a service's workers at which runs are placed now, full ones included."""
        return self._usable(self.serving(service))

    def has_room(self, service: str, is_eligible: Eligible, limit: Callable[[Worker], int]) -> bool:
        """Whether any worker that will do has room: if not, ``choose_place`` finds none.

        Args:
            service: The service.
            is_eligible: Which of its workers will do.
            limit: Returns how many requests this node may have in flight at a worker.
        """
        return any(
            self._has_room(worker, limit) and not self._is_paused(worker) and is_eligible(worker)
            for worker in self.serving(service)
        )

    def reserve_slot(self, worker: Worker) -> None:
        """A request goes to a worker."""
        self._evidence.setdefault(worker.incarnation, _Evidence()).num_in_flight += 1

    def release_slot(self, worker: Worker) -> None:
        """A request at a worker is over."""
        evidence = self._of(worker)
        evidence.num_in_flight -= 1
        if not self.is_current(worker.incarnation):
            self._drop_evidence_at_rest(worker)
            self.loads.remove(worker.incarnation)
        for listener in self._end_listeners:
            listener(worker)
        self._notify()

    def record_success(self, worker: Worker) -> None:
        """A worker answered well."""
        evidence = self._of(worker)
        evidence.num_failures_in_a_row = 0
        evidence.num_refusals_in_a_row = 0
        evidence.failure_score *= FAILURE_DECAY

    def record_latency(self, worker: Worker, seconds: float, work: str = "") -> None:
        """A worker took this long for one unit of its work: a request, or an event of a stream.

        Args:
            worker: The worker.
            seconds: How long it took.
            work: What kind of work it was; times of one kind are compared with each other.
        """
        if not self.is_current(worker.incarnation):
            return  # Nothing that is noted of a life that is over would ever be forgotten.
        self.loads.record_answer(worker, work, seconds)
        self._paces.record(worker, seconds)

    def is_much_slower(self, worker: Worker) -> bool:
        """Whether a worker has lately been much slower than the best of its service."""
        return self._paces.is_much_slower(worker)

    def time_saved_s(self, worker: Worker, other: Worker | None, num_units: float) -> float:
        """How much sooner another worker would do so many units of work, in seconds.

        Args:
            worker: The worker that does them now.
            other: The other worker; ``None`` for the fastest of the service.
            num_units: How many units.
        """
        return self._paces.time_saved_s(worker, other, num_units)

    def record_busy(self, worker: Worker) -> None:
        """A worker refused for lack of room."""
        if self._is_paused(worker):
            return  # One of many requests that were refused together.
        evidence = self._of(worker)
        pause_s = min(MAX_BUSY_PAUSE_S, BUSY_PAUSE_S * 2**evidence.num_refusals_in_a_row)
        evidence.num_refusals_in_a_row += 1
        self._pause(worker, pause_s)

    def record_failure(self, worker: Worker) -> None:
        """A worker broke an answer off or gave none."""
        self.loads.record_failure(worker)
        evidence = self._of(worker)
        evidence.num_failures_in_a_row += 1
        evidence.failure_score = evidence.failure_score * FAILURE_DECAY + 1.0
        self._pause(worker, FAILURE_PAUSE_S * evidence.num_failures_in_a_row)

    def record_unreachable(self, worker: Worker) -> None:
        """No connection to a worker could be made."""
        self.loads.record_failure(worker)
        evidence = self._of(worker)
        evidence.num_failures_in_a_row += 1
        evidence.failure_score = evidence.failure_score * FAILURE_DECAY + 1.0
        pause_s = UNREACHABLE_PAUSE_S * 2 ** min(evidence.num_failures_in_a_row - 1, 5)
        self._pause(worker, min(pause_s, MAX_UNREACHABLE_PAUSE_S))

    def record_not_run(self, worker: Worker, reason: NotRunReason) -> None:
        """A worker certainly did not run a request."""
        if reason is NotRunReason.BUSY:
            self.record_busy(worker)
        elif reason is NotRunReason.UNREACHABLE:
            self.record_unreachable(worker)
        else:
            self.record_replaced(worker)

    def record_replaced(self, worker: Worker) -> None:
        """Another incarnation answers at a worker's address: this one is gone."""
        if self.is_current(worker.incarnation):
            self.remove(worker.id)

    def num_in_flight(self, worker: Worker) -> int:
        """Return how many requests this node has at a worker."""
        return self._of(worker).num_in_flight

    def queueing_factor(self, worker: Worker) -> float:
        """How often a worker's slots are filled by what this node has there; 1 while they suffice.

        So many times longer than usual a request takes that is the last one sent there.
        """
        return max(1.0, self.num_in_flight(worker) / max(1, worker.capacity))

    def _of(self, worker: Worker) -> _Evidence:
        """What was seen of a worker; of one that is gone and at rest nothing is remembered."""
        return self._evidence.get(worker.incarnation) or _Evidence()

    def _drop_evidence_at_rest(self, worker: Worker) -> None:
        """Forget a life that is over, unless requests are still in flight there."""
        if self._of(worker).num_in_flight <= 0:
            self._evidence.pop(worker.incarnation, None)
            self._paces.remove(worker.incarnation)

    def _pause(self, worker: Worker, pause_s: float) -> None:
        evidence = self._of(worker)
        evidence.paused_until_s = max(evidence.paused_until_s, now_s() + pause_s)

    def _is_paused(self, worker: Worker) -> bool:
        return now_s() < self._of(worker).paused_until_s

    def _usable(self, workers: list[Worker]) -> list[Worker]:
        """Those of some workers that answer, without much slower ones if there are others."""
        ready = [worker for worker in workers if not self._is_paused(worker)]
        if any(not self.is_much_slower(worker) for worker in workers):
            return [worker for worker in ready if not self.is_much_slower(worker)]
        return ready

    def _has_room(self, worker: Worker, limit: Callable[[Worker], int] | None) -> bool:
        max_in_flight = max(1, worker.capacity) if limit is None else limit(worker)
        return self._of(worker).num_in_flight < max_in_flight

    def _placing_cost(self, worker: Worker) -> tuple[float, float]:
        evidence = self._of(worker)
        load = (evidence.num_in_flight + 1) / max(1, worker.capacity)
        cost = self._paces.placement_slowness(worker) + PLACING_LOAD_WEIGHT * load
        cost += FAILURE_WEIGHT * evidence.failure_score
        if worker.zone != self._zone:
            cost += REMOTE_ZONE_PENALTY
        return (cost, self._rng.random())

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
