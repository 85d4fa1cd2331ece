"""Which permits this node's waiting requests need, and at which cold workers."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, WorkerDirectory
from hollowrack.hashing import text_hash
from hollowrack.warmup.permits import PermitStore

# Upper limit of the runs of one group that permits are asked for at a time.
MAX_RUNS_PER_GROUP = 64
# Time for which a worker whose permits were refused comes after the others.
REFUSAL_MEMORY_S = 0.3


class Demand(NamedTuple):
    """Requests that wait for the same workers.

    Attributes:
        priority: Priority of their routes, 0 first.
        order: Breaks ties between equal priorities.
        number: How many they are.
        service: Name of the service.
        is_eligible: Condition that the worker has to meet.
        limit: Returns how many requests this node may have in flight at a worker.
    """

    priority: int
    order: int
    number: int
    service: str
    is_eligible: Eligible
    limit: Callable[[Worker], int]


class WorkerWant(NamedTuple):
    """Permits that are needed for one worker.

    Attributes:
        worker: The worker.
        priority: Priority of the requests, 0 first.
        number: How many are needed.
    """

    worker: Worker
    priority: int
    number: int


class DemandPlanner:
    """Assigns waiting requests to cold workers.

    Args:
        owner: Name of this process; nodes prefer different workers.
        workers: Directory of workers.
        permits: Permits held by this node.
        is_cold: Whether a worker is cold and its service limits cold workers.
    """

    def __init__(
        self,
        owner: str,
        workers: WorkerDirectory,
        permits: PermitStore,
        is_cold: Callable[[Worker], bool],
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._permits = permits
        self._is_cold = is_cold
        self._refused_until_s: dict[WorkerIncarnation, float] = {}

    def record_refusal(self, worker: Worker) -> None:
        """Record that no permit was granted for a worker."""
        now = now_s()
        self._refused_until_s = {
            key: until_s for key, until_s in self._refused_until_s.items() if until_s > now
        }
        self._refused_until_s[worker.incarnation] = now + REFUSAL_MEMORY_S

    def wants(self, demands: Iterable[Demand]) -> list[WorkerWant]:
        """Return the permits to ask for, in order of rank.

        Args:
            demands: Requests that wait, of all services.
        """
        by_key: dict[WorkerIncarnation, Worker] = {}
        numbers: Counter[tuple[WorkerIncarnation, int]] = Counter()
        planned: Counter[WorkerIncarnation] = Counter()
        num_free: dict[WorkerIncarnation, int] = {}
        for demand in sorted(demands, key=lambda demand: (demand.priority, demand.order)):
            candidates = self._candidates(demand)
            for worker in candidates:
                by_key[worker.incarnation] = worker
                num_free.setdefault(worker.incarnation, self._permits.num_free(worker))
            for _ in range(min(demand.number, MAX_RUNS_PER_GROUP)):
                chosen = self._choose(demand, candidates, planned)
                if chosen is None:
                    break
                planned[chosen.incarnation] += 1
                if num_free[chosen.incarnation] > 0:
                    num_free[chosen.incarnation] -= 1
                else:
                    numbers[(chosen.incarnation, demand.priority)] += 1
        return [
            WorkerWant(by_key[key], priority, number) for (key, priority), number in numbers.items()
        ]

    def _candidates(self, demand: Demand) -> list[Worker]:
        return [
            worker
            for worker in self._workers.allowed(demand.service, demand.is_eligible)
            if self._is_cold(worker)
        ]

    def _choose(
        self, demand: Demand, candidates: list[Worker], planned: Counter[WorkerIncarnation]
    ) -> Worker | None:
        with_room = [
            worker
            for worker in candidates
            if self._workers.num_in_flight(worker) + planned[worker.incarnation]
            < demand.limit(worker)
        ]
        return min(
            with_room,
            key=lambda worker: self._cost(worker, planned[worker.incarnation]),
            default=None,
        )

    def _cost(self, worker: Worker, num_planned: int) -> tuple[bool, int, int]:
        refused_until_s = self._refused_until_s.get(worker.incarnation, -float("inf"))
        is_refused = now_s() < refused_until_s
        # Workers with a free permit come first, as they need none of the leader's.
        num_missing = num_planned - self._permits.num_free(worker)
        return (is_refused, num_missing, text_hash(f"{self._owner}|{worker.incarnation}"))
