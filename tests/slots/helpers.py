"""Slot owners and arbiters for tests without nodes or a network."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.slots.arbiter import SlotArbiter
from hollowrack.slots.holder import SlotHolder
from hollowrack.slots.types import OpenWork

SERVICE = "engines"


def make_worker(name: str, capacity: int, started_ms: int = 1) -> Worker:
    return Worker(name, SERVICE, "127.0.0.1:1", "z1", capacity, started_ms=started_ms)


@dataclass
class FakeLeadership:
    """Leadership state of one node, set by the test."""

    fencing_token: int | None = None
    may_act: bool = False


@dataclass
class FleetView:
    """Job owners and workers as known to all nodes; a test may let it lag behind the fleet."""

    owners: set[str] = field(default_factory=set)
    workers: dict[str, Worker] = field(default_factory=dict)

    def capacity(self, service: str) -> Mapping[str, int]:
        return {str(worker.incarnation): worker.capacity for worker in self.workers.values()}


def make_arbiter(name: str, leadership: FakeLeadership, view: FleetView) -> SlotArbiter:
    return SlotArbiter(name, leadership, view.capacity, lambda: view.owners)


class FakeOwner:
    """Slot owner and source of its own open work; starts requests up to its limits."""

    def __init__(self, name: str, view: FleetView) -> None:
        self.name = name
        self.num_waiting = 0
        self.num_running = 1
        self.eligible_worker_ids: set[str] | None = None
        self.due_in_s: float | None = None
        self.workers = WorkerDirectory("z1", random.Random(name))
        for worker in view.workers.values():
            self.workers.update(worker)
        self.holder = SlotHolder(name, self.workers, lambda _: True, lambda: view.owners, self)

    def has_waiting(self, service: str) -> bool:
        return self.num_waiting > 0

    def open_work(self, service: str, incarnations: Mapping[str, int]) -> list[OpenWork]:
        workers = [worker for worker in self.workers.all() if self._is_eligible(worker)]
        eligible = tuple(incarnations[str(worker.incarnation)] for worker in workers)
        return [OpenWork(1, self.due_in_s, self.total_in_flight(), self.num_waiting, eligible)]

    def start_all(self) -> None:
        """Start waiting items while slots are free."""
        for worker in self.workers.all():
            while self.num_waiting and self._is_eligible(worker) and self._has_free_slot(worker):
                self.workers.reserve_slot(worker)
                self.num_waiting -= 1

    def finish_one_per_worker(self) -> None:
        """Finish one request at each worker that has any."""
        for worker in self.workers.all():
            if self.workers.num_in_flight(worker):
                self.workers.release_slot(worker)

    def in_flight(self, worker: Worker) -> int:
        return self.workers.num_in_flight(worker)

    def total_in_flight(self) -> int:
        return sum(map(self.workers.num_in_flight, self.workers.all()))

    def total_limit(self) -> int:
        return sum(map(self.holder.limit, self.workers.all()))

    def holds_grant(self) -> bool:
        return self.holder.usage(SERVICE).grant_age_s is not None

    def _has_free_slot(self, worker: Worker) -> bool:
        return self.workers.num_in_flight(worker) < self.holder.limit(worker)

    def _is_eligible(self, worker: Worker) -> bool:
        return self.eligible_worker_ids is None or worker.id in self.eligible_worker_ids
