"""Runs the membership protocol over UDP and keeps connections to other nodes."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from absl import logging
from returns.result import Failure, Result

from hollowrack.clock import now_s
from hollowrack.hashing import text_hash
from hollowrack.membership.datagrams import DatagramSealer
from hollowrack.membership.messages import Digest, DigestAnswer, Exchange
from hollowrack.membership.swim import MembershipChange, Swim
from hollowrack.membership.types import Fact, Member
from hollowrack.messages.transport import PeerConnection
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.settings.model import split_address

TICK_INTERVAL_S = 0.05
EXCHANGE_TIMEOUT_S = 2.0
MAX_POSTS_WAITING = 4096


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        del addr  # The sender's name is inside, under the cluster key.
        self._on_datagram(data)


class MembershipService:
    """Membership of one node; also its links to the others.

    Args:
        own: This node's own entry, with its bound address.
        seeds: Members to start from.
        cluster_key: The key shared by all nodes.
        seed: Seed of the protocol's random source.
    """

    def __init__(
        self, own: Member, seeds: list[Member], cluster_key: bytes, seed: int | None = None
    ) -> None:
        self._rng = random.Random(seed)
        self.swim = Swim(own, seeds, self._rng, now_s())
        self.on_change: list[Callable[[MembershipChange], None]] = []
        self.on_fact: list[Callable[[Fact], None]] = []
        self._cluster_key = cluster_key
        self._sealer = DatagramSealer(own.node, cluster_key)
        self._transport: asyncio.DatagramTransport | None = None
        self._connections: dict[str, PeerConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # -- life -------------------------------------------------------------------------------

    async def start(self) -> None:
        """Bind the datagram socket and start probing.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if the UDP address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        address = split_address(self.swim.own.address)
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramProtocol(self._receive), local_addr=address
            )
        except OSError as error:
            detail = f"udp {self.swim.own.address}: {error.strerror or error}"
            raise ProblemError(
                Problem(ResultCode.ADDRESS_UNAVAILABLE, detail, "listeners.nodes")
            ) from error
        self._spawn(self._run_timer())

    async def stop(self) -> None:
        """Stop probing and close all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
        await asyncio.gather(*(link.close() for link in self._connections.values()))

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

    def _receive(self, data: bytes) -> None:
        opened = self._sealer.open(data)
        if isinstance(opened, Failure):
            return
        datagram = opened.unwrap()
        self.swim.receive(datagram.sender, datagram.message)
        self._drain()

    def _drain(self) -> None:
        outbox, self.swim.outbox = self.swim.outbox, []
        for datagram in outbox:
            if self._transport is not None and not self._transport.is_closing():
                data = self._sealer.seal(datagram.message)
                self._transport.sendto(data, split_address(datagram.address))
        peers, self.swim.exchange_with = self.swim.exchange_with, []
        for peer in peers:
            self._spawn(self._exchange_with(peer))
        changes, self.swim.changes = self.swim.changes, []
        for change in changes:
            logging.info("member %s is %s", change.member.node, change.member.status.name)
            for listener in self.on_change:
                listener(change)
        facts, self.swim.risen_facts = self.swim.risen_facts, []
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
        if isinstance(state, Exchange):
            self._merge(state)

    def full_state(self) -> Exchange:
        """Return everything this node knows."""
        facts = tuple(Fact(name, value) for name, value in sorted(self.swim.facts.items()))
        return Exchange(tuple(self.swim.members.values()), facts)

    def answer_digest(self, digest: Digest) -> DigestAnswer:
        """Answer a peer's digest."""
        return DigestAnswer(digest.state_hash == self.swim.state_hash())

    def answer_exchange(self, state: Exchange) -> Exchange:
        """Merge a peer's state and return this node's."""
        self._merge(state)
        return self.full_state()

    def _merge(self, state: Exchange) -> None:
        self.swim.merge(state.members, state.facts)
        self._drain()

    def raise_fact(self, name: str, value: int) -> None:
        """Raise a fact for the whole fleet."""
        self.swim.raise_fact(name, value)
        self._drain()

    # -- NodeLinks --------------------------------------------------------------------------

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        """Send a message to a node and wait for its answer; see ``PeerConnection.request``."""
        connection = self._connection(node)
        if connection is None:
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "unknown node", node))
        return await connection.request(message, timeout_s)

    def post(self, node: str, message: object) -> None:
        """Send a message that may be lost."""
        connection = self._connection(node)
        if connection is not None and len(self._tasks) < MAX_POSTS_WAITING:
            self._spawn(connection.send(message))

    def is_reachable(self, node: str) -> bool:
        """Whether a node is believed to run in a zone that answers."""
        return self.swim.is_reachable(node)

    def incarnation_of(self, node: str) -> str | None:
        """The incarnation a node announced last, if any is known."""
        member = self.swim.members.get(node)
        return (member.incarnation or None) if member is not None else None

    def is_retiring(self, node: str) -> bool:
        """Whether a node is leaving, was declared dead by its own zone, or was never heard of."""
        member = self.swim.members.get(node)
        return member is None or not member.takes_work

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        """Live nodes by rendezvous hash of ``key``, the zones taking turns."""
        by_zone: dict[str, list[tuple[int, str]]] = {}
        for member in self.swim.members.values():
            if member.takes_work and member.incarnation:
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

    def _connection(self, node: str) -> PeerConnection | None:
        member = self.swim.members.get(node)
        if member is None:
            return None
        connection = self._connections.get(member.address)
        if connection is None:
            connection = PeerConnection(split_address(member.address), self._cluster_key)
            self._connections[member.address] = connection
        return connection
