"""Nodes with cold workers on virtual time, with faults of leaders, nodes and messages."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall, NotRunError, NotRunReason, OpenAnswer
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank, WorkKind
from hollowrack.forwarding.forwarder import CompleteAnswer, Forwarder, ForwardOutcome
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.send_guard import GuardedBackEnds
from hollowrack.forwarding.types import RoutingConfiguration, Service, Worker
from hollowrack.forwarding.workers import WorkerDirectory, any_worker
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.warmup.control import ColdWorkerControl, WarmupConnections
from hollowrack.warmup.types import MAX_CONNECT_S, PermitAnswer, PermitRequest, WarmupBounds
from hollowrack_standins.back_ends import BackEndsStandin
from tests.forwarding.helpers import make_meter, make_request, make_route

SERVICE = "svc"
BOUNDS = WarmupBounds(1.5, 5.0)


def make_worker(
    name: str, cold_remaining_s: float | None = 0.0, started_ms: int = 1, capacity: int = 64
) -> Worker:
    return Worker(
        name,
        SERVICE,
        "127.0.0.1:1",
        "z1",
        capacity,
        started_ms=started_ms,
        cold_remaining_s=cold_remaining_s,
    )


@dataclass
class FakeLeadership:
    """Leadership state of one node, set by the test."""

    fencing_token: int | None = None
    leading_since_s: float = float("inf")

    @property
    def is_leader(self) -> bool:
        return self.fencing_token is not None


@dataclass(frozen=True)
class Arrival:
    """A request received by a worker.

    Attributes:
        arrived_s: When it arrived.
        sent_s: When the node started to send it.
        needed_permit: Whether the node knew at the send that the worker was cold.
        request_id: Identifier of the request.
        node: Name of the node that sent it.
    """

    arrived_s: float
    sent_s: float
    needed_permit: bool
    request_id: str
    node: str


@dataclass
class NetworkFaults:
    """Faults of messages between nodes and of connections to workers."""

    lost_share: float = 0.0
    max_delay_s: float = 0.002
    max_connect_s: float = 0.002
    states_cold_in_answers: bool = False


class FleetNode:
    """One node: choice of workers, guard, permits, and a view of the leader."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        rng = random.Random(f"{fleet.seed}|{name}")
        self.name = name
        self.leadership = FakeLeadership()
        self.known_leader: str | None = None
        self.frozen_until_s = -float("inf")
        self.workers = WorkerDirectory("z1", rng)
        self.routes = RouteTable()
        service = Service(
            SERVICE, 1000, cold_start_s=8.0, cold_requests_per_s=fleet.cold_requests_per_s
        )
        self.routes.apply(RoutingConfiguration(1, (fleet.route,), {SERVICE: service}))
        self.queue = DispatchQueue(self.workers)
        self.client = FleetClient(fleet, self)
        self.back_ends = GuardedBackEnds(self.client)
        self.forwarder = Forwarder(
            self.routes,
            self.workers,
            self.back_ends,
            make_meter(),
            Quarantine(self.back_ends),
            rng,
        )
        self.control: ColdWorkerControl | None = None
        if fleet.bounds is not None:
            self.control = ColdWorkerControl(
                name,
                WarmupConnections(fleet.bounds, FleetPeers(fleet, self), lambda: 1e9),
                self.leadership,
                self,
                self.routes,
                self.workers,
                self.queue,
                self.back_ends,
                rng,
            )
            self.forwarder.cold_admission = self.control.admission

    def leader(self) -> str | None:
        return self.known_leader

    def leader_address(self) -> str | None:
        return None if self.known_leader == self.name else self.known_leader

    def update(self, worker: Worker) -> None:
        if self.control is not None:
            self.control.record_entry(worker, self.workers.get(worker.id))
        self.workers.update(worker)

    async def resumed(self) -> None:
        """Wait until the node is not frozen."""
        await asyncio.sleep(max(0.0, self.frozen_until_s - now_s()))

    async def send_plain(self, request_id: str, priority: int = 1) -> ForwardOutcome:
        route = make_route(priority=priority, timeout_s=2.0)
        return await self.forwarder.forward(make_request(route, request_id))

    async def send_run(self, request_id: str, kind: WorkKind = WorkKind.JOB_ITEM) -> bool:
        """Run an item; returns whether it reached a worker."""
        rank = DispatchRank(1, kind)
        call = make_request(make_route(), request_id).call
        while True:
            worker = await self.queue.acquire(SERVICE, lambda: rank, any_worker, frozenset())
            answer: OpenAnswer | None = None
            try:
                answer = await self.back_ends.open(worker, call, 10.0)
                await answer.read()
            except NotRunError:
                await asyncio.sleep(0.02)
                continue
            finally:
                if answer is not None:
                    answer.abort()
                self.workers.release_slot(worker)
            return True


class FleetClient:
    """Sends requests to the fleet's workers and records when they arrive."""

    def __init__(self, fleet: "Fleet", node: FleetNode) -> None:
        self._fleet = fleet
        self._node = node

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> OpenAnswer:
        fleet, control, sent_s = self._fleet, self._node.control, now_s()
        needed_permit = control is not None and control.is_cold(worker)
        connect_s = fleet.rng.uniform(0.0, fleet.faults.max_connect_s)
        if connect_s > MAX_CONNECT_S:
            await asyncio.sleep(MAX_CONNECT_S)
            raise NotRunError(NotRunReason.UNREACHABLE)
        await asyncio.sleep(connect_s)
        arrival = Arrival(now_s(), sent_s, needed_permit, call.request_id, self._node.name)
        fleet.arrivals[worker.id].append(arrival)
        answer = await fleet.back_ends.open(worker, call, time_left_s, after_event, is_repeatable)
        if fleet.faults.states_cold_in_answers and control is not None:
            control.record_answer(worker, fleet.cold_remaining_s(worker.id))
        return answer

    async def has_crashed(self, worker: Worker) -> bool:
        return False


class FleetPeers:
    """Sends permit requests between nodes; they may be lost, late or received by a frozen node."""

    def __init__(self, fleet: "Fleet", node: FleetNode) -> None:
        self._fleet = fleet
        self._node = node

    async def request(self, address: str, request: PermitRequest) -> PermitAnswer | None:
        fleet = self._fleet
        fleet.num_requests += 1
        receiver = fleet.nodes.get(address)
        await fleet.delay_message()
        if receiver is None or fleet.is_lost() or fleet.is_cut(self._node.name, address):
            await asyncio.sleep(0.4)
            return None
        await receiver.resumed()
        control = receiver.control
        answer = None if control is None else control.answer(request)
        await fleet.delay_message()
        await asyncio.sleep(max(0.0, fleet.answers_held_until_s - now_s()))
        if fleet.is_lost() or fleet.is_cut(self._node.name, address):
            await asyncio.sleep(0.4)
            return None
        # A frozen node reads the answer once it runs again. No time-out of the client applies, so
        # that the expiry of permits alone has to reject late answers.
        await self._node.resumed()
        return answer


class Fleet:
    """Several nodes before the same workers."""

    def __init__(
        self,
        seed: int,
        num_nodes: int,
        cold_requests_per_s: float,
        bounds: WarmupBounds | None = BOUNDS,
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.cold_requests_per_s = cold_requests_per_s
        self.bounds = bounds
        self.route = make_route()
        self.faults = NetworkFaults()
        self.back_ends = BackEndsStandin()
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        self.num_requests = 0
        # Nodes of a zone that is cut off from the others.
        self.cut_off: set[str] = set()
        # Answers of leaders are held back until this time and then arrive at once.
        self.answers_held_until_s = -float("inf")
        self.outcomes: dict[str, ForwardOutcome] = {}
        self.cold_until_s: dict[str, float] = {}
        self.nodes = {f"n{index}": FleetNode(self, f"n{index}") for index in range(num_nodes)}
        self._tasks: set[asyncio.Task[object]] = set()
        self._num_sent = 0
        for node in self.nodes.values():
            if node.control is not None:
                node.control.start()

    def elect(self, name: str, token: int, is_known: bool = True) -> None:
        """Make a node a leader; an earlier leader may go on as one."""
        self.nodes[name].leadership.fencing_token = token
        self.nodes[name].leadership.leading_since_s = now_s()
        if is_known:
            for node in self.nodes.values():
                node.known_leader = name

    def cold_remaining_s(self, worker_id: str) -> float:
        return max(0.0, self.cold_until_s.get(worker_id, 0.0) - now_s())

    def is_lost(self) -> bool:
        return self.rng.random() < self.faults.lost_share

    def is_cut(self, sender: str, receiver: str) -> bool:
        return (sender in self.cut_off) != (receiver in self.cut_off)

    async def restart(self, name: str, seconds: float) -> None:
        """Kill a node and start it again after a time, with a new process."""
        former = self.nodes.pop(name)
        if former.control is not None:
            await former.control.stop()
        await asyncio.sleep(seconds)
        node = self.nodes[name] = FleetNode(self, name)
        if node.control is not None:
            node.control.start()

    async def delay_message(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, self.faults.max_delay_s))

    def update_all(self, worker: Worker) -> None:
        for node in self.nodes.values():
            node.update(worker)

    def turn_cold(
        self, worker: Worker, seconds: float, max_delay_s: float, started_ms: int | None = None
    ) -> Worker:
        """Make a worker cold; nodes learn of it within a time, each at its own."""
        self.cold_until_s[worker.id] = now_s() + seconds
        changed = make_worker(
            worker.id, seconds, worker.started_ms if started_ms is None else started_ms
        )
        for node in self.nodes.values():
            delay_s = self.rng.uniform(0.0, max_delay_s)
            asyncio.get_running_loop().call_later(delay_s, node.update, changed)
        return changed

    def start_plain(self, node: FleetNode, priority: int = 1) -> None:
        """Send a plain request in the background."""
        self._num_sent += 1
        request_id = f"q{self._num_sent}"
        self._start(self._record(node, request_id, priority))

    def start_run(self, node: FleetNode, kind: WorkKind = WorkKind.JOB_ITEM) -> None:
        """Run an item in the background."""
        self._num_sent += 1
        self._start(node.send_run(f"q{self._num_sent}", kind))

    async def _record(self, node: FleetNode, request_id: str, priority: int) -> None:
        self.outcomes[request_id] = await node.send_plain(request_id, priority)

    def _start(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type, var-annotated]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_load(
        self, duration_s: float, requests_per_s: float, run_share: float = 0.3
    ) -> None:
        """Send requests at random nodes; their answers are not waited for."""
        end_s = now_s() + duration_s
        while now_s() < end_s:
            await asyncio.sleep(self.rng.expovariate(requests_per_s))
            node = self.rng.choice(list(self.nodes.values()))
            if now_s() < node.frozen_until_s:
                continue
            if self.rng.random() < run_share:
                self.start_run(node, self.rng.choice(list(WorkKind)))
            else:
                self.start_plain(node, self.rng.randrange(3))

    async def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes.values():
            if node.control is not None:
                await node.control.stop()


def max_in_one_second(times_s: list[float]) -> int:
    """Return the highest number of times in any half-open interval of one second."""
    ordered = sorted(times_s)
    highest, first = 0, 0
    for index, time_s in enumerate(ordered):
        while ordered[first] <= time_s - 1.0:
            first += 1
        highest = max(highest, index - first + 1)
    return highest


def excesses(fleet: Fleet, num_leaders: int = 2) -> list[str]:
    """Return the workers that received more requests in one second than the bound.

    Counts the requests of nodes that knew at the send that the worker was cold. Each leader that
    acts at the same time has half of the bound.
    """
    bound = BOUNDS.max_requests(fleet.cold_requests_per_s) * num_leaders / 2
    found = []
    for worker_id, arrivals in fleet.arrivals.items():
        highest = max_in_one_second([at.arrived_s for at in arrivals if at.needed_permit])
        if highest > bound:
            found.append(f"{worker_id}: {highest} in one second, bound {bound}")
    return found


def num_answered(outcomes: Mapping[str, ForwardOutcome]) -> int:
    return sum(isinstance(outcome, CompleteAnswer) for outcome in outcomes.values())
