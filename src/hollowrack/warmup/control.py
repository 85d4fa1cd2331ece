"""Limits on requests to cold workers, of one node: countdowns, permits, arbiter, wired together."""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import WorkKind
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.send_guard import GuardedBackEnds
from hollowrack.forwarding.slot_limits import FullCapacityLimits
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.warmup.admission import ColdStartAdmission
from hollowrack.warmup.arbiter import LeadershipView, PermitArbiter
from hollowrack.warmup.coldness import ColdWorkers
from hollowrack.warmup.demand import Demand, DemandPlanner
from hollowrack.warmup.permits import PermitStore, RecentSends
from hollowrack.warmup.requester import PermitRequester
from hollowrack.warmup.types import PermitAnswer, PermitPeers, PermitRequest, WarmupBounds


@dataclass(frozen=True)
class WarmupConnections:
    """Bound and transport of the limits on cold workers.

    Attributes:
        bounds: Limit on the requests that a cold worker receives.
        peers: Sends permit requests to other nodes.
        time_of_day_s: Returns the machine's time of day, in seconds since 1970.
    """

    bounds: WarmupBounds
    peers: PermitPeers
    time_of_day_s: Callable[[], float] = time.time


class LeaderView(Protocol):
    """The leader, as known to this node."""

    def leader(self) -> str | None:
        """Return the name of the leader's process; ``None`` if none is known."""

    def leader_address(self) -> str | None:
        """Return the leader's address; ``None`` if this node leads or the leader is unknown."""


class ColdWorkerCondition:
    """Allows one request to a cold worker for each permit; implements :class:`SendCondition`.

    Args:
        is_limited: Whether a service limits the requests to its cold workers.
        is_cold: Whether a worker is cold and its service limits cold workers.
        permits: Permits held by this node.
        recent_sends: Records requests sent without a permit.
    """

    def __init__(
        self,
        is_limited: Callable[[str], bool],
        is_cold: Callable[[Worker], bool],
        permits: PermitStore,
        recent_sends: RecentSends,
    ) -> None:
        self._is_limited = is_limited
        self._is_cold = is_cold
        self._permits = permits
        self._recent_sends = recent_sends

    def allows(self, worker: Worker, call: BackEndCall) -> bool:
        """Whether a request may be sent now; uses a permit if the worker is cold."""
        if not self._is_limited(worker.service):
            return True
        if self._is_cold(worker):
            return self._permits.use(worker, call.request_id)
        self._recent_sends.record(worker.incarnation)
        return True


class ColdWorkerControl:
    """Limits the requests that cold workers receive from this node.

    Exists only where the settings bound these requests. Services without a rate are not limited.

    Args:
        owner: Name of this process.
        connections: Bound and transport.
        leadership: Leadership state of this node.
        live: The leader, as known to this node.
        routes: Routes in force.
        workers: Directory of known workers.
        queue: Dispatch queue of runs.
        back_ends: Client of workers, which gets a condition.
        rng: Source of the jitter of retry times.

    Attributes:
        coldness: Countdowns of cold workers.
        permits: Permits held by this node.
        admission: Has requests wait for permits.
        arbiter: Grants permits while this node is the leader.
        requester: Asks for permits.
    """

    def __init__(
        self,
        owner: str,
        connections: WarmupConnections,
        leadership: LeadershipView,
        live: LeaderView,
        routes: RouteTable,
        workers: WorkerDirectory,
        queue: DispatchQueue,
        back_ends: GuardedBackEnds,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._bounds = connections.bounds
        self._peers = connections.peers
        self._live = live
        self._routes = routes
        self._workers = workers
        self._queue = queue
        self.coldness = ColdWorkers(self._cold_start_s, connections.time_of_day_s)
        self.permits = PermitStore()
        recent_sends = RecentSends()
        self.arbiter = PermitArbiter(owner, leadership, connections.bounds, self._requests_per_s)
        self.requester = PermitRequester(
            owner,
            DemandPlanner(owner, workers, self.permits, self.is_cold),
            self.permits,
            recent_sends,
            self._demands,
            self._ask,
            self._assign_permits,
        )
        self.admission = ColdStartAdmission(
            workers,
            self.permits,
            self._is_limited,
            self.is_cold,
            self.coldness.remaining_s,
            self._max_grants,
            self.requester.request_permits,
            self._run_demands,
            rng,
        )
        workers.limit_cold_workers(
            lambda worker: not self.is_cold(worker),
            lambda worker: self.permits.num_free(worker) > 0,
        )
        queue.on_assigned(self._reserve_permit)
        queue.on_unassigned(self._request_for_runs)
        back_ends.conditions.append(
            ColdWorkerCondition(self._is_limited, self.is_cold, self.permits, recent_sends)
        )

    def start(self) -> None:
        """Start asking for permits when requests need them."""
        self.requester.start()

    async def stop(self) -> None:
        """Stop asking for permits."""
        await self.requester.stop()

    def answer(self, request: PermitRequest) -> PermitAnswer:
        """Answer a permit request of another node."""
        return self.arbiter.answer(request, now_s())

    def record_entry(self, worker: Worker, known: Worker | None) -> None:
        """Record a worker's entry; see :meth:`ColdWorkers.record_entry`."""
        was_cold = self.is_cold(worker)
        self.coldness.record_entry(worker, known)
        self._log_change(worker, was_cold, "its entry")

    def record_answer(self, worker: Worker, seconds: float) -> None:
        """Record the remaining time that a worker stated with an answer, in seconds."""
        was_cold = self.is_cold(worker)
        self.coldness.record_answer(worker, seconds)
        self._log_change(worker, was_cold, "an answer")

    def is_cold(self, worker: Worker) -> bool:
        """Whether a worker is cold and its service limits the requests to cold workers."""
        # Called for each worker of each choice: the cheap conditions come first.
        return (
            self.coldness.has_countdowns()
            and self._is_limited(worker.service)
            and self.coldness.remaining_s(worker) > 0.0
        )

    def num_cold(self) -> Counter[str]:
        """Return the number of cold workers by service."""
        return Counter(worker.service for worker in self._workers.all() if self.is_cold(worker))

    def _log_change(self, worker: Worker, was_cold: bool, source: str) -> None:
        is_cold = self.is_cold(worker)
        if is_cold and not was_cold:
            logging.info(
                "worker %s: cold for %.2f s by %s, needs permits",
                worker.incarnation,
                self.coldness.remaining_s(worker),
                source,
            )
        elif was_cold and not is_cold:
            logging.info("worker %s: warm by %s", worker.incarnation, source)

    def _is_limited(self, service: str) -> bool:
        return self._requests_per_s(service) > 0.0

    def _requests_per_s(self, service_name: str) -> float:
        service = self._routes.service(service_name)
        return 0.0 if service is None else service.cold_requests_per_s

    def _cold_start_s(self, service_name: str) -> float:
        service = self._routes.service(service_name)
        return 0.0 if service is None else service.cold_start_s

    def _max_grants(self, service: str) -> int:
        return self._bounds.max_grants(self._requests_per_s(service))

    def _demands(self) -> list[Demand]:
        return [*self.admission.demands(), *self._run_demands()]

    def _run_demands(self) -> list[Demand]:
        """Return the demands of the runs in the dispatch queue."""
        limit_by_kind = {
            WorkKind.CALLER_STREAM: FullCapacityLimits().limit,
            WorkKind.JOB_ITEM: self._queue.limits.limit,
        }
        return [
            Demand(
                group.priority,
                self.admission.num_waiting + group.kind,
                number,
                group.service,
                group.is_eligible,
                limit_by_kind[group.kind],
            )
            for group, number in self._queue.waiting_groups().items()
            if self._is_limited(group.service)
        ]

    def _request_for_runs(self) -> None:
        # Each worker has a countdown for some time after its start, also where none is ever cold.
        if self.coldness.has_countdowns() and any(map(self.is_cold, self._workers.all())):
            self.requester.request_permits()

    def _reserve_permit(self, worker: Worker) -> None:
        if self.is_cold(worker):
            self.permits.reserve(worker)

    def _assign_permits(self) -> None:
        self.admission.assign_permits()
        self._queue.schedule_dispatch()

    async def _ask(self, request: PermitRequest) -> PermitAnswer | None:
        if self._live.leader() == self._owner:
            return self.answer(request)
        address = self._live.leader_address()
        return None if address is None else await self._peers.request(address, request)
