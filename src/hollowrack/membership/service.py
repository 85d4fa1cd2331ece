"""Membership service: runs the membership protocol of a node over the network."""

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
    """Runs the membership protocol of one node and implements its links to the other nodes.

    Args:
        own: Member entry of this node, with its bound address.
        seeds: Initial members.
        network: Open network of the node.
        seed: Seed of the random source; ``None`` for a random one.

    Attributes:
        on_change: Listeners that are called with each status change of a member.
        on_fact: Listeners that are called with each raised fact.
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

    # -- start and stop ---------------------------------------------------------------------

    def start(self) -> None:
        """Start probing."""
        self._spawn(self._run_timer())

    async def stop(self) -> None:
        """Stop probing and cancel all pending messages."""
        tasks = list(self._tasks)
        await cancel_all(*tasks)

    def leave(self) -> None:
        """Announce a planned stop to all nodes."""
        self.swim.leave()
        self._process_outputs()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.swim.tick(now_s())
            self._process_outputs()

    def receive(self, sender: str, message: GossipMessage) -> None:
        """Handle a datagram of another node."""
        self.swim.receive(sender, message)
        self._process_outputs()

    def _process_outputs(self) -> None:
        outbox, self.swim.outbox = self.swim.outbox, []
        for datagram in outbox:
            self._network.send_datagram(datagram.address, datagram.message)
        peers, self.swim.exchange_peers = self.swim.exchange_peers, []
        for peer in peers:
            self._spawn(self._exchange_state(peer))
        changes, self.swim.changes = self.swim.changes, []
        for change in changes:
            logging.info(
                "member %s: status changed to %s", change.member.node, change.member.status.name
            )
            for listener in self.on_change:
                listener(change)
        facts, self.swim.raised_facts = self.swim.raised_facts, []
        for fact in facts:
            for fact_listener in self.on_fact:
                fact_listener(fact)

    # -- full-state exchange ----------------------------------------------------------------

    async def _exchange_state(self, peer: str) -> None:
        digest = Digest(self.swim.state_hash())
        digest_result = await self.request(peer, digest, EXCHANGE_TIMEOUT_S)
        answer = digest_result.value_or(None)
        if not isinstance(answer, DigestAnswer) or answer.is_same:
            return
        exchange_result = await self.request(peer, self.full_state(), EXCHANGE_TIMEOUT_S)
        state = exchange_result.value_or(None)
        if isinstance(state, FullState):
            self._merge(state)

    def full_state(self) -> FullState:
        """Return all members and facts known to this node."""
        facts = tuple(Fact(name, value) for name, value in sorted(self.swim.facts.items()))
        return FullState(tuple(self.swim.members.values()), facts)

    def answer_digest(self, digest: Digest) -> DigestAnswer:
        """Compare a peer's digest with this node's."""
        return DigestAnswer(digest.state_hash == self.swim.state_hash())

    def answer_exchange(self, state: FullState) -> FullState:
        """Merge a peer's state and return the resulting state of this node."""
        self._merge(state)
        return self.full_state()

    def _merge(self, state: FullState) -> None:
        self.swim.merge(state.members, state.facts)
        self._process_outputs()

    def raise_fact(self, name: str, value: int) -> None:
        """Raise the value of a fact on all nodes; ignored unless it is higher."""
        self.swim.raise_fact(name, value)
        self._process_outputs()

    # -- NodeLinks --------------------------------------------------------------------------

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        """Send a request to a node and wait for its answer; see ``PeerConnection.request``."""
        member = self.swim.members.get(node)
        if member is None:
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "node is not a known member", node))
        return await self._network.request(member.address, message, timeout_s)

    def post(self, node: str, message: object) -> None:
        """Send a one-way message; dropped if too many tasks are pending."""
        member = self.swim.members.get(node)
        if member is not None and len(self._tasks) < MAX_PENDING_TASKS:
            self._spawn(self._network.send(member.address, message))

    def is_reachable(self, node: str) -> bool:
        """Whether a node is not known to be dead and its zone is reachable."""
        return self.swim.is_reachable(node)

    def incarnation_of(self, node: str) -> str | None:
        """Return the last incarnation announced by a node; ``None`` if unknown."""
        member = self.swim.members.get(node)
        return (member.incarnation or None) if member is not None else None

    def is_leaving_or_dead(self, node: str) -> bool:
        """Whether a node is leaving, declared dead by its own zone, or unknown."""
        member = self.swim.members.get(node)
        return member is None or not member.accepts_work

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        """Return the live nodes by rendezvous hash of ``key``, alternating between zones."""
        nodes_by_zone: dict[str, list[tuple[int, str]]] = {}
        for member in self.swim.members.values():
            if member.accepts_work and member.incarnation:
                weight = text_hash(f"{key}\n{member.node}")
                nodes_by_zone.setdefault(member.zone, []).append((weight, member.node))
        preferred = sorted(nodes_by_zone.pop(preferred_zone or "", []), reverse=True)
        queues = sorted(
            (sorted(nodes, reverse=True) for nodes in nodes_by_zone.values()), reverse=True
        )
        ordered = [node for _, node in preferred]
        while any(queues):
            for queue in queues:
                if queue:
                    ordered.append(queue.pop(0)[1])
        return ordered
