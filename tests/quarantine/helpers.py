"""Fleet whose workers restart some seconds after each crash, and callers that resend a request."""

import asyncio
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, replace

from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.forwarder import CompleteAnswer, ForwardOutcome, ForwardRequest
from hollowrack.forwarding.types import Worker
from hollowrack_standins.coordination_store import StoreFaults
from tests.jobs.helpers import HOST, MODEL, Fleet

RESTART_DELAY_S = 3.2
CRASHING = b"crashes each worker that starts it"
# Connected nodes must know of a crash within this time.
PROPAGATION_TIMEOUT_S = 3.0
MAX_CRASHES = 3
MAX_LATE_RUNS = 3


@dataclass(frozen=True)
class Attempt:
    """One attempt of a caller: its node, time of sending and outcome."""

    request_id: str
    node: str
    sent_s: float
    outcome: ForwardOutcome


class CrashingFleet(Fleet):
    """Nodes in front of workers that crash under :data:`CRASHING` and are replaced.

    Args:
        num_nodes: Number of nodes.
        num_scorers: Number of workers that answer plain requests.
        num_engines: Number of workers that run generations.
        keeps_identities: Whether workers restart under the same identity.
        restart_delay_s: Time between a crash and the restart, in seconds.
    """

    def __init__(
        self,
        num_nodes: int,
        num_scorers: int = 3,
        num_engines: int = 4,
        keeps_identities: bool = False,
        restart_delay_s: float = RESTART_DELAY_S,
    ) -> None:
        self._sequence_numbers = itertools.count()
        self._keeps_identities = keeps_identities
        self._restart_delay_s = restart_delay_s
        self.rng = random.Random(num_nodes)
        self.present: dict[str, Worker] = {}
        self._unfinished: defaultdict[str, set[str]] = defaultdict(set)
        for index in range(num_scorers):
            self._add(Worker(f"s{index}", "scorers", "127.0.0.1:1", "z1", 4))
        for index in range(num_engines):
            engine = Worker(f"e{index}", "engines", "127.0.0.1:1", "z1", 4, False, {MODEL: 1})
            self._add(engine)
        super().__init__(num_nodes)
        self.back_ends.crashing_bodies.add(CRASHING)
        self.back_ends.on_crash = self._schedule_restart

    def start(
        self, name: str, faults: StoreFaults | None = None, is_configured: bool = True
    ) -> EdgeNode:
        """Start a node that knows the workers that are present."""
        node = super().start(name, faults, is_configured)
        for worker in node.workers.all():
            node.worker_removed(worker.id)
        for worker in self.present.values():
            node.worker_changed(worker)
        return node

    def _add(self, worker: Worker) -> None:
        self.present[worker.id] = worker

    def _schedule_restart(self, worker: Worker) -> None:
        asyncio.get_running_loop().call_later(
            self._restart_delay_s, self._replace_or_restart, worker
        )

    def _replace_or_restart(self, worker: Worker) -> None:
        if self._keeps_identities:
            self._restart_same_identity(worker)
            return
        successor = replace(
            worker, id=f"{worker.id.partition('.')[0]}.{next(self._sequence_numbers)}"
        )
        self.present.pop(worker.id)
        self._add(successor)
        for node in self.nodes.values():
            node.worker_removed(worker.id)
            node.worker_changed(successor)

    def _restart_same_identity(self, worker: Worker) -> None:
        """Restart a worker under the same identity: its entry is updated, not removed."""
        successor = replace(worker, started_ms=worker.started_ms + 1000)
        self.back_ends.restart(successor)
        self._add(successor)
        for node in self.nodes.values():
            node.worker_changed(successor)

    async def send(self, node: str, body: bytes, target: str = "/s/x") -> Attempt:
        """Send a plain request to one node."""
        request_id = f"q{next(self._sequence_numbers)}"
        sent_s = now_s()
        call = BackEndCall(request_id, "POST", target, (("Host", HOST),), body)
        route = self.nodes[node].routes.lookup(HOST, target)
        assert route is not None
        route = replace(route, max_attempts=2)
        request = ForwardRequest(call, route, sent_s + 1.5)
        unfinished = self._unfinished[node]
        unfinished.add(request_id)
        try:
            outcome = await self.nodes[node].forwarder.forward(request)
        finally:
            unfinished.discard(request_id)
        return Attempt(request_id, node, sent_s, outcome)

    async def kill(self, name: str) -> None:
        """Kill a node: what it has sent runs on, and it sends nothing more to workers."""
        self.back_ends.blocked_requests |= self._unfinished.pop(name, set())
        await super().kill(name)

    async def send_with_retries(self, body: bytes, max_attempts: int = 2) -> list[Attempt]:
        """Send a request to random nodes until it succeeds, as a caller with retries does."""
        attempts: list[Attempt] = []
        while len(attempts) < max_attempts and not (attempts and is_success(attempts[-1].outcome)):
            attempts.append(await self.send(self.rng.choice(sorted(self.nodes)), body))
        return attempts

    async def send_repeatedly(
        self, body: bytes, seconds: float, interval_s: float
    ) -> list[Attempt]:
        """Send a request repeatedly for some time, as persistent callers do."""
        attempts: list[Attempt] = []
        end_s = now_s() + seconds
        while now_s() < end_s:
            attempts += await self.send_with_retries(body)
            await asyncio.sleep(interval_s * self.rng.uniform(0.5, 1.5))
        return attempts

    def third_crash_s(self, body: bytes = CRASHING) -> float:
        """Time of the third crash under a body; infinite with fewer crashes."""
        crashes = [crash.at_s for crash in self.back_ends.crashes if crash.body == body]
        return crashes[MAX_CRASHES - 1] if len(crashes) >= MAX_CRASHES else float("inf")

    def num_crashes(self, body: bytes = CRASHING) -> int:
        """Return the number of worker crashes under a body."""
        return sum(crash.body == body for crash in self.back_ends.crashes)

    def num_late_runs(self, attempts: list[Attempt]) -> int:
        """Return the runs in attempts sent when all nodes must already know of the third crash."""
        return sum(
            len(self.back_ends.worker_ids_by_request.get(attempt.request_id, ()))
            for attempt in attempts
            if attempt.sent_s > self.third_crash_s() + PROPAGATION_TIMEOUT_S
        )


def is_success(outcome: ForwardOutcome) -> bool:
    """Return whether a worker answered with status 200."""
    return isinstance(outcome, CompleteAnswer) and outcome.status == 200
