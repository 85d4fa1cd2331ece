"""Runs the membership protocol over the network; also a node's links to the others."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from absl import logging
from returns.result import Failure, Result

from hollowrack.clock import now_s
from hollowrack.hashing import text_hash
from hollowrack.membership.messages import Digest, DigestAnswer, FullState, GossipMessage
from hollowrack.membership.network import NodeNetwork
from hollowrack.membership.swim import MembershipChange, Swim
from hollowrack.membership.types import Fact, Member
from hollowrack.results import Problem, ResultCode
from hollowrack.tasks import cancel_all

TICK_INTERVAL_S = 0.05
EXCHANGE_TIMEOUT_S = 2.0
MAX_PENDING_TASKS = 4096


class MembershipService:
    """Membership of one node; also its links to the others.

    Args:
        own: This node's own entry, with its bound address.
        seeds: Members to start from.
        network: The node's open network.
        seed: Seed of the protocol's random source.
    """

    def __init__(
        self, own: Member, seeds: list[Member], network: NodeNetwork, seed: int | None = None
    ) -> None:
        self._rng = random.Random(seed)
        self.swim = Swim(own, seeds, self._rng, now_s())
        self.on_change: list[Callable[[MembershipChange], None]] = []
        self.on_fact: list[Callable[[Fact], None]] = []
        self._network = network
        self._tasks: set[asyncio.Task[None]] = set()

    # -- life -------------------------------------------------------------------------------

    def start(self) -> None:
        """Start probing."""
        self._spawn(self._run_timer())

    async def stop(self) -> None:
        """Stop probing and give up all messages under way."""
        tasks = list(self._tasks)
        await cancel_all(*tasks)

    def leave(self) -> None:
        """Announce a planned stop to the fleet."""
        self.swim.leave()
        self._drain()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.swim.tick(now_s())
            self._drain()

    def receive(self, sender: str, message: GossipMessage) -> None:
        """Handle a datagram from a node."""
        self.swim.receive(sender, message)
        self._drain()

    def _drain(self) -> None:
        outbox, self.swim.outbox = self.swim.outbox, []
        for datagram in outbox:
            self._network.send_datagram(datagram.address, datagram.message)
        peers, self.swim.exchange_peers = self.swim.exchange_peers, []
        for peer in peers:
            self._spawn(self._exchange_with(peer))
        changes, self.swim.changes = self.swim.changes, []
        for change in changes:
            logging.info("member %s is %s", change.member.node, change.member.status.name)
            for listener in self.on_change:
                listener(change)
        facts, self.swim.raised_facts = self.swim.raised_facts, []
        for fact in facts:
            for fact_listener in self.on_fact:
                fact_listener(fact)

    # -- full exchanges ---------------------------------------------------------------------

    async def _exchange_with(self, peer: str) -> None:
        digest = Digest(self.swim.state_hash())
        compared = await self.request(peer, digest, EXCHANGE_TIMEOUT_S)
        answer = compared.value_or(None)
        if not isinstance(answer, DigestAnswer) or answer.is_same:
            return
        exchanged = await self.request(peer, self.full_state(), EXCHANGE_TIMEOUT_S)
        state = exchanged.value_or(None)
        if isinstance(state, FullState):
            self._merge(state)

    def full_state(self) -> FullState:
        """Return everything this node knows."""
        facts = tuple(Fact(name, value) for name, value in sorted(self.swim.facts.items()))
        return FullState(tuple(self.swim.members.values()), facts)

    def answer_digest(self, digest: Digest) -> DigestAnswer:
        """Answer a peer's digest."""
        return DigestAnswer(digest.state_hash == self.swim.state_hash())

    def answer_exchange(self, state: FullState) -> FullState:
        """Merge a peer's state and return this node's."""
        self._merge(state)
        return self.full_state()

    def _merge(self, state: FullState) -> None:
        self.swim.merge(state.members, state.facts)
        self._drain()

    def raise_fact(self, name: str, value: int) -> None:
        """Raise a fact for the whole fleet."""
        self.swim.raise_fact(name, value)
        self._drain()

    # -- NodeLinks --------------------------------------------------------------------------

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        """Send a message to a node and wait for its answer; see ``PeerConnection.request``."""
        member = self.swim.members.get(node)
        if member is None:
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "unknown node", node))
        return await self._network.request(member.address, message, timeout_s)

    def post(self, node: str, message: object) -> None:
        """Send a message that may be lost."""
        member = self.swim.members.get(node)
        if member is not None and len(self._tasks) < MAX_PENDING_TASKS:
            self._spawn(self._network.send(member.address, message))

    def is_reachable(self, node: str) -> bool:
        """Whether a node is believed to run in a zone that answers."""
        return self.swim.is_reachable(node)

    def incarnation_of(self, node: str) -> str | None:
        """The incarnation a node announced last, if any is known."""
        member = self.swim.members.get(node)
        return (member.incarnation or None) if member is not None else None

    def is_leaving_or_dead(self, node: str) -> bool:
        """Whether a node is leaving, was declared dead by its own zone, or was never heard of."""
        member = self.swim.members.get(node)
        return member is None or not member.accepts_work

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        """Live nodes by rendezvous hash of ``key``, the zones taking turns."""
        by_zone: dict[str, list[tuple[int, str]]] = {}
        for member in self.swim.members.values():
            if member.accepts_work and member.incarnation:
                weight = text_hash(f"{key}\n{member.node}")
                by_zone.setdefault(member.zone, []).append((weight, member.node))
        preferred = sorted(by_zone.pop(preferred_zone or "", []), reverse=True)
        queues = sorted((sorted(nodes, reverse=True) for nodes in by_zone.values()), reverse=True)
        ordered = [node for _, node in preferred]
        while any(queues):
            for queue in queues:
                if queue:
                    ordered.append(queue.pop(0)[1])
        return ordered
