"""Plain requests of one node to workers in two regions, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall, NotRunError, NotRunReason
from hollowrack.forwarding.forwarder import CompleteAnswer, Forwarder
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.regions.distance import ZoneDistances
from hollowrack.regions.topology import RegionTopology
from hollowrack_standins.back_ends import (
    NO_ANSWER_DELAY_S,
    AnswerStandin,
    BackEndsStandin,
    WorkerBehaviour,
)
from tests.forwarding.helpers import make_meter, make_request, make_route, make_table

TOPOLOGY = RegionTopology({"a1": "a", "a2": "a", "b1": "b"}, "a1")
ONE_REGION = RegionTopology({}, "a1")
ZONES = ("a1", "a2", "b1")
OBJECTIVE_S = 0.206
WORK_S = 0.12
NUM_SLOTS = 4
LINK_S = 0.04
CONNECT_TIMEOUT_S = 0.5


class RegionalBackEnds(BackEndsStandin):
    """Workers of which those in other regions are behind a link."""

    def __init__(self) -> None:
        super().__init__()
        self.link_s = LINK_S
        self.is_cut = False
        self.loss = 0.0
        self.rng = random.Random(7)
        self.distances = ZoneDistances("a1", TOPOLOGY)

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> AnswerStandin:
        """Send a request; see :class:`BackEndClient`."""
        is_far = self.distances.is_in_other_region(worker.zone)
        if is_far and self.is_cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise NotRunError(NotRunReason.UNREACHABLE)
        if is_far and self.rng.random() < self.loss:
            await asyncio.sleep(NO_ANSWER_DELAY_S)
        link_s = self.link_s if is_far else 0.0
        await asyncio.sleep(link_s / 2)
        answer = await super().open(worker, call, time_left_s, after_event, is_repeatable)
        try:
            await asyncio.sleep(link_s / 2)
        except asyncio.CancelledError:
            answer.abort()
            raise
        return answer


@dataclass(frozen=True)
class Outcome:
    """Outcome of one request.

    Attributes:
        sent_s: When it was sent, on the loop's clock.
        latency_s: Its latency, in seconds; infinite without an answer.
        is_far: Whether it reached a worker of another region.
    """

    sent_s: float
    latency_s: float
    is_far: bool


class RegionalLoad:
    """Callers of one node.

    Args:
        topology: Regions as known to the node.
        num_workers: Number of workers in each zone.
    """

    def __init__(self, topology: RegionTopology, num_workers: int = 2) -> None:
        self.rng = random.Random(5)
        self.back_ends = RegionalBackEnds()
        self.directory = WorkerDirectory("a1", random.Random(1), topology)
        self.workers = [
            Worker(f"{zone}-{index}", "svc", "127.0.0.1:1", zone, NUM_SLOTS)
            for zone in ZONES
            for index in range(num_workers)
        ]
        for worker in self.workers:
            self.directory.update(worker)
            self.back_ends.behaviours[worker.id] = WorkerBehaviour(
                work_s=WORK_S, num_slots=NUM_SLOTS, reports_load=True
            )
        self.route = make_route(target_latency_s=OBJECTIVE_S, timeout_s=2.0)
        self.forwarder = Forwarder(
            make_table(self.route),
            self.directory,
            self.back_ends,
            make_meter(),
            Quarantine(self.back_ends),
            random.Random(2),
        )
        self.outcomes: list[Outcome] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def set_work(self, zone: str, work_s: float) -> None:
        """Set the work time of a zone's workers, in seconds."""
        for worker in self.workers:
            if worker.zone == zone:
                behaviour = self.back_ends.behaviours[worker.id]
                self.back_ends.behaviours[worker.id] = replace(behaviour, work_s=work_s)

    async def send(self, utilization: float, seconds: float) -> list[Outcome]:
        """Send requests at a fraction of the slots of the own region; returns their outcomes.

        The first ones are sent at regular intervals plus jitter, the last one ``seconds`` later.
        """
        num_slots = NUM_SLOTS * sum(worker.zone != "b1" for worker in self.workers)
        interval_s = WORK_S / (num_slots * utilization)
        start_s, first = now_s(), len(self.outcomes)
        while now_s() < start_s + seconds:
            task = asyncio.create_task(self._send_one(len(self.outcomes) + len(self._tasks)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval_s * self.rng.uniform(0.5, 1.5))
        if self._tasks:
            await asyncio.wait(self._tasks)
        return self.outcomes[first:]

    async def _send_one(self, number: int) -> None:
        request_id = f"q{number}-{now_s():.6f}"
        sent_s = now_s()
        answer = await self.forwarder.forward(make_request(self.route, request_id))
        latency_s = now_s() - sent_s if isinstance(answer, CompleteAnswer) else float("inf")
        workers = self.back_ends.worker_ids_by_request.get(request_id, [])
        is_far = any(worker.startswith("b1") for worker in workers)
        self.outcomes.append(Outcome(sent_s, latency_s, is_far))


def fraction(outcomes: list[Outcome], condition: Callable[[Outcome], bool]) -> float:
    """Return the fraction of outcomes that meet a condition."""
    return sum(map(condition, outcomes)) / len(outcomes)


def far_fraction(outcomes: list[Outcome]) -> float:
    """Return the fraction of requests that reached a worker of another region."""
    return fraction(outcomes, lambda outcome: outcome.is_far)


def late_fraction(outcomes: list[Outcome]) -> float:
    """Return the fraction of requests that took longer than the objective."""
    return fraction(outcomes, lambda outcome: outcome.latency_s > OBJECTIVE_S)
