"""A network in memory: latency by zone, cuts between zones, lost datagrams, dead addresses."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from hollowrack.membership.messages import GossipMessage
from hollowrack.membership.network import OnDatagram, OnRequest
from hollowrack.messages import codec
from hollowrack.results import Problem, ProblemError, ResultCode

SAME_ZONE_LATENCY_S = 0.0002


@dataclass
class SimulationState:
    """Everything that the hollow parts share.

    Attributes:
        rng: Source of all randomness of the network.
        zone_latency_s: One-way latency between different zones.
        datagram_loss: Share of datagrams that are lost.
        partitioned_zones: Zones that nobody outside reaches.
        counts_bytes: Whether messages are encoded to count their bytes.
        sent_bytes: Bytes sent by node, if counted.
        sent_messages: Messages sent by node.
    """

    rng: random.Random
    zone_latency_s: float = 0.0005
    datagram_loss: float = 0.0
    partitioned_zones: set[str] = field(default_factory=set)
    counts_bytes: bool = False
    sent_bytes: Counter[str] = field(default_factory=Counter)
    sent_messages: Counter[str] = field(default_factory=Counter)
    endpoints: dict[str, "SimulatedNetwork"] = field(default_factory=dict)
    ports: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def latency_s(self, zone: str, other_zone: str) -> float:
        """One-way latency between two zones."""
        return SAME_ZONE_LATENCY_S if zone == other_zone else self.zone_latency_s

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        """Whether two zones cannot reach each other."""
        return zone != other_zone and bool({zone, other_zone} & self.partitioned_zones)

    def record_message(self, node: str, message: object) -> None:
        """Account for a message sent by a node."""
        self.sent_messages[node] += 1
        if self.counts_bytes:
            self.sent_bytes[node] += len(codec.encode(message))


class SimulatedNetwork:
    """One node's access to the network in memory; implements ``NodeNetwork``.

    Args:
        world: The world it is part of.
        node: Name of the node.
        zone: Zone of the node.
    """

    def __init__(self, world: SimulationState, node: str, zone: str) -> None:
        self._world = world
        self._node = node
        self.zone = zone
        self.address = ""
        self._on_datagram: OnDatagram | None = None
        self._on_request: OnRequest | None = None
        self.is_paused = False
        self._handling: set[asyncio.Task[object]] = set()

    async def open(self, on_datagram: OnDatagram, on_request: OnRequest) -> str:
        """Register under a fresh address."""
        self._on_datagram, self._on_request = on_datagram, on_request
        self.address = f"10.0.0.1:{next(self._world.ports)}"
        self._world.endpoints[self.address] = self
        return self.address

    def send_datagram(self, address: str, message: GossipMessage) -> None:
        """Deliver a datagram after the latency, unless it is lost."""
        world = self._world
        world.record_message(self._node, message)
        target = world.endpoints.get(address)
        if target is None or self.is_paused or world.is_partitioned(self.zone, target.zone):
            return
        if world.datagram_loss and world.rng.random() < world.datagram_loss:
            return
        latency_s = world.latency_s(self.zone, target.zone)
        loop = asyncio.get_running_loop()
        loop.call_later(latency_s, target.receive_datagram, self._node, message)

    def receive_datagram(self, sender: str, message: GossipMessage) -> None:
        """Hand a datagram to the node, if it still runs."""
        if self._on_datagram is not None and not self.is_paused:
            self._on_datagram(sender, message)

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Problem]:
        """Send a request; a dead peer refuses at once, a cut or paused one stays silent."""
        world = self._world
        world.record_message(self._node, message)
        target = world.endpoints.get(address)
        unreachable: Result[Any, Problem] = Failure(
            Problem(ResultCode.PEER_UNREACHABLE, "no answer", address)
        )
        if target is None:
            await asyncio.sleep(SAME_ZONE_LATENCY_S)
            return unreachable
        if world.is_partitioned(self.zone, target.zone) or target.is_paused or self.is_paused:
            await asyncio.sleep(timeout_s)
            return unreachable
        latency_s = world.latency_s(self.zone, target.zone)
        await asyncio.sleep(latency_s)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await target.handle(message)
        except ProblemError as error:
            return Failure(error.problem)
        except TimeoutError:
            return unreachable
        if answer is None or world.is_partitioned(self.zone, target.zone):
            await asyncio.sleep(latency_s)
            return unreachable
        world.record_message(target._node, answer)
        await asyncio.sleep(latency_s)
        return Success(answer)

    async def send(self, address: str, message: object) -> None:
        """Deliver a message that needs no answer."""
        world = self._world
        world.record_message(self._node, message)
        target = world.endpoints.get(address)
        if target is None or self.is_paused or world.is_partitioned(self.zone, target.zone):
            return
        await asyncio.sleep(world.latency_s(self.zone, target.zone))
        if not target.is_paused:
            try:
                await target.handle(message)
            except ProblemError:
                return

    async def handle(self, message: object) -> object | None:
        """Let the node handle a request; ``None`` if it dies meanwhile."""
        if self._on_request is None:
            return None
        task: asyncio.Task[object] = asyncio.ensure_future(self._on_request(message))
        self._handling.add(task)
        try:
            await asyncio.wait({task})
            return None if task.cancelled() else task.result()
        finally:
            self._handling.discard(task)
            if not task.done():
                task.cancel()

    async def close(self) -> None:
        """Disappear from the network; requests being handled get no answer."""
        self._world.endpoints.pop(self.address, None)
        self._on_datagram = None
        self._on_request = None
        for task in list(self._handling):
            task.cancel()
