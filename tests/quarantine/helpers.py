"""A fleet whose workers come back some seconds after each end, and callers of one request."""

import asyncio
import itertools
import random
from dataclasses import dataclass, replace

from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.forwarder import ForwardOutcome, ForwardRequest, WholeAnswer
from hollowrack.forwarding.types import Worker
from hollowrack_standins.coordination_store import StoreFaults
from tests.jobs.helpers import HOST, MODEL, Fleet

DOWN_S = 3.2
CRASHING = b"ends each worker that begins to run it"
# Nodes that hear of each other must know of an end by then.
CONTACT_S = 3.0
MAX_ENDS = 3
MAX_LATE_RUNS = 3


@dataclass(frozen=True)
class Try:
    """One try of a caller: when and where it was sent, and what came of it."""

    request_id: str
    node: str
    sent_s: float
    outcome: ForwardOutcome


class CrashingFleet(Fleet):
    """Nodes before workers that end under :data:`CRASHING` and come back as new ones.

    Args:
        num_nodes: How many.
        num_scorers: Workers of the service that answers plain requests.
        num_engines: Workers that generate.
        keeps_identities: Whether workers come back under the identities that they had.
        down_s: How long workers are away, in seconds.
    """

    def __init__(
        self,
        num_nodes: int,
        num_scorers: int = 3,
        num_engines: int = 4,
        keeps_identities: bool = False,
        down_s: float = DOWN_S,
    ) -> None:
        self._numbers = itertools.count()
        self._keeps_identities = keeps_identities
        self._down_s = down_s
        self.rng = random.Random(num_nodes)
        self.present: dict[str, Worker] = {}
        for index in range(num_scorers):
            self._add(Worker(f"s{index}", "scorers", "127.0.0.1:1", "z1", 4))
        for index in range(num_engines):
            engine = Worker(f"e{index}", "engines", "127.0.0.1:1", "z1", 4, False, {MODEL: 1})
            self._add(engine)
        super().__init__(num_nodes)
        self.back_ends.crashing_bodies.add(CRASHING)
        self.back_ends.on_end = self._come_back_later

    def start(
        self, name: str, faults: StoreFaults | None = None, is_configured: bool = True
    ) -> EdgeNode:
        """Start a node that knows the workers there are now."""
        node = super().start(name, faults, is_configured)
        for worker in node.workers.all():
            node.worker_removed(worker.id)
        for worker in self.present.values():
            node.worker_changed(worker)
        return node

    def _add(self, worker: Worker) -> None:
        self.present[worker.id] = worker

    def _come_back_later(self, worker: Worker) -> None:
        asyncio.get_running_loop().call_later(self._down_s, self._come_back, worker)

    def _come_back(self, worker: Worker) -> None:
        if self._keeps_identities:
            self._start_again(worker)
            return
        successor = replace(worker, id=f"{worker.id.partition('.')[0]}.{next(self._numbers)}")
        self.present.pop(worker.id)
        self._add(successor)
        for node in self.nodes.values():
            node.worker_removed(worker.id)
            node.worker_changed(successor)

    def _start_again(self, worker: Worker) -> None:
        """Start a worker under the identity that it had; its entry changes and does not go."""
        successor = replace(worker, started_ms=worker.started_ms + 1000)
        self.back_ends.restart(successor)
        self._add(successor)
        for node in self.nodes.values():
            node.worker_changed(successor)

    async def send(self, node: str, body: bytes, target: str = "/s/x") -> Try:
        """Send a plain request to a node."""
        request_id = f"q{next(self._numbers)}"
        sent_s = now_s()
        call = BackEndCall(request_id, "POST", target, (("Host", HOST),), body)
        route = self.nodes[node].routes.lookup(HOST, target)
        assert route is not None
        route = replace(route, max_attempts=2)
        request = ForwardRequest(call, route, sent_s + 1.5)
        return Try(request_id, node, sent_s, await self.nodes[node].forwarder.forward(request))

    async def send_until_served(self, body: bytes, num_tries: int = 2) -> list[Try]:
        """Send a request to one node after another, as a caller that tries again does."""
        tries: list[Try] = []
        while len(tries) < num_tries and not (tries and is_good(tries[-1].outcome)):
            tries.append(await self.send(self.rng.choice(sorted(self.nodes)), body))
        return tries

    async def send_again_and_again(self, body: bytes, seconds: float, pause_s: float) -> list[Try]:
        """Send a request for a while, as callers that come back do."""
        tries: list[Try] = []
        end_s = now_s() + seconds
        while now_s() < end_s:
            tries += await self.send_until_served(body)
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
        return tries

    def third_end_s(self, body: bytes = CRASHING) -> float:
        """When the third worker ended under a body; infinite if fewer did."""
        ends = [end.at_s for end in self.back_ends.ends if end.body == body]
        return ends[MAX_ENDS - 1] if len(ends) >= MAX_ENDS else float("inf")

    def num_ends(self, body: bytes = CRASHING) -> int:
        """How many workers ended under a body."""
        return sum(end.body == body for end in self.back_ends.ends)

    def num_late_runs(self, tries: list[Try]) -> int:
        """How often workers began a request later than all nodes must know of its third end."""
        return sum(
            len(self.back_ends.ran_at.get(one.request_id, ()))
            for one in tries
            if one.sent_s > self.third_end_s() + CONTACT_S
        )


def is_good(outcome: ForwardOutcome) -> bool:
    """Whether a worker answered well."""
    return isinstance(outcome, WholeAnswer) and outcome.status == 200
