"""Owners and arbiters of slots without nodes or a network."""

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
    """A node's view of its own leadership."""

    fencing_token: int | None = None
    may_act: bool = False


@dataclass
class View:
    """What nodes see of the fleet; each may see it late."""

    owners: set[str] = field(default_factory=set)
    workers: dict[str, Worker] = field(default_factory=dict)

    def capacity(self, service: str) -> Mapping[str, int]:
        return {str(worker.incarnation): worker.capacity for worker in self.workers.values()}


def make_arbiter(name: str, leadership: FakeLeadership, view: View) -> SlotArbiter:
    return SlotArbiter(name, leadership, view.capacity, lambda: view.owners)


class FakeOwner:
    """An owner with as much work as it is told; it starts as much as it may."""

    def __init__(self, name: str, view: View) -> None:
        self.name = name
        self.num_waiting = 0
        self.num_running = 1
        self.may_use: set[str] | None = None
        self.due_in_s: float | None = None
        self.workers = WorkerDirectory("z1", random.Random(name))
        for worker in view.workers.values():
            self.workers.update(worker)
        self.holder = SlotHolder(name, self.workers, lambda _: True, lambda: view.owners, self)

    def has_waiting(self, service: str) -> bool:
        return self.num_waiting > 0

    def open_work(self, service: str, lives: Mapping[str, int]) -> list[OpenWork]:
        workers = [worker for worker in self.workers.all() if self._may_run_at(worker)]
        eligible = tuple(lives[str(worker.incarnation)] for worker in workers)
        return [OpenWork(1, self.due_in_s, self.total_in_flight(), self.num_waiting, eligible)]

    def begin_all(self) -> None:
        """Begin whatever waits and has a slot."""
        for worker in self.workers.all():
            while self.num_waiting and self._may_run_at(worker) and self._has_room(worker):
                self.workers.reserve_slot(worker)
                self.num_waiting -= 1

    def end_one_each(self) -> None:
        """End a request at each worker that has any."""
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

    def _has_room(self, worker: Worker) -> bool:
        return self.workers.num_in_flight(worker) < self.holder.limit(worker)

    def _may_run_at(self, worker: Worker) -> bool:
        return self.may_use is None or worker.id in self.may_use
