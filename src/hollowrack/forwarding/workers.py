"""The workers this node knows, what it has in flight at each, and direct evidence about them."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker

BUSY_PAUSE_S = 0.08
UNREACHABLE_PAUSE_S = 0.5
MAX_UNREACHABLE_PAUSE_S = 4.0
FAILURE_PAUSE_S = 0.15
REMOTE_ZONE_PENALTY = 0.06
FAILURE_DECAY = 0.5
FAILURE_WEIGHT = 2.0


@dataclass
class _Evidence:
    """What this node has seen of one worker."""

    num_in_flight: int = 0
    paused_until_s: float = -float("inf")
    num_failures_in_a_row: int = 0
    failure_score: float = 0.0


Eligible = Callable[[Worker], bool]


class WorkerDirectory:
    """Workers by service, with the load and the failures seen from this node.

    Args:
        zone: This node's zone; near workers are preferred when equally loaded.
        rng: Breaks ties.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._workers: dict[str, Worker] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever a worker may have become available."""
        self._listeners.append(listener)

    def put(self, worker: Worker) -> None:
        """Take in a worker's newest state."""
        self._workers[worker.id] = worker
        self._evidence.setdefault(worker.id, _Evidence())
        self._notify()

    def remove(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self._workers.pop(worker_id, None)
        evidence = self._evidence.get(worker_id)
        if evidence is not None and evidence.num_in_flight == 0:
            del self._evidence[worker_id]

    def get(self, worker_id: str) -> Worker | None:
        """Return a worker by its identity."""
        return self._workers.get(worker_id)

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
        excluded: Collection[str] = (),
        is_eligible: Eligible | None = None,
        only_with_room: bool = False,
    ) -> Worker | None:
        """Choose the least loaded worker of a service.

        Args:
            service: The service.
            excluded: Identities of workers not to be chosen.
            is_eligible: Further condition.
            only_with_room: Whether workers at capacity, or paused, are out of the question.
        """
        candidates = [
            worker
            for worker in self.serving(service)
            if worker.id not in excluded and (is_eligible is None or is_eligible(worker))
        ]
        ready = [worker for worker in candidates if not self._is_paused(worker)]
        if only_with_room:
            candidates = [worker for worker in ready if self._load(worker) < 1.0]
        elif ready:
            candidates = ready
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def begin(self, worker: Worker) -> None:
        """A request goes to a worker."""
        self._of(worker).num_in_flight += 1

    def end(self, worker: Worker) -> None:
        """A request at a worker is over."""
        evidence = self._of(worker)
        evidence.num_in_flight -= 1
        if worker.id not in self._workers and evidence.num_in_flight <= 0:
            self._evidence.pop(worker.id, None)
        self._notify()

    def note_success(self, worker: Worker) -> None:
        """A worker answered well."""
        evidence = self._of(worker)
        evidence.num_failures_in_a_row = 0
        evidence.failure_score *= FAILURE_DECAY

    def note_busy(self, worker: Worker) -> None:
        """A worker refused for lack of room."""
        self._pause(worker, BUSY_PAUSE_S)

    def note_failure(self, worker: Worker) -> None:
        """A worker broke an answer off or gave none."""
        evidence = self._of(worker)
        evidence.num_failures_in_a_row += 1
        evidence.failure_score = evidence.failure_score * FAILURE_DECAY + 1.0
        self._pause(worker, FAILURE_PAUSE_S * evidence.num_failures_in_a_row)

    def note_unreachable(self, worker: Worker) -> None:
        """No connection to a worker could be made."""
        evidence = self._of(worker)
        evidence.num_failures_in_a_row += 1
        evidence.failure_score = evidence.failure_score * FAILURE_DECAY + 1.0
        pause_s = UNREACHABLE_PAUSE_S * 2 ** min(evidence.num_failures_in_a_row - 1, 5)
        self._pause(worker, min(pause_s, MAX_UNREACHABLE_PAUSE_S))

    def note_replaced(self, worker: Worker) -> None:
        """Another incarnation answers at a worker's address: this one is gone."""
        self.remove(worker.id)

    def num_in_flight(self, worker: Worker) -> int:
        """Return how many requests this node has at a worker."""
        return self._of(worker).num_in_flight

    def _of(self, worker: Worker) -> _Evidence:
        return self._evidence.setdefault(worker.id, _Evidence())

    def _pause(self, worker: Worker, pause_s: float) -> None:
        evidence = self._of(worker)
        evidence.paused_until_s = max(evidence.paused_until_s, now_s() + pause_s)

    def _is_paused(self, worker: Worker) -> bool:
        return now_s() < self._of(worker).paused_until_s

    def _load(self, worker: Worker) -> float:
        return self._of(worker).num_in_flight / max(1, worker.capacity)

    def _cost(self, worker: Worker) -> tuple[float, float]:
        evidence = self._of(worker)
        cost = self._load(worker) + FAILURE_WEIGHT * evidence.failure_score
        if worker.zone != self._zone:
            cost += REMOTE_ZONE_PENALTY
        return (cost, self._rng.random())

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
