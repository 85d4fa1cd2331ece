"""Network between nodes: datagrams for membership, requests for all other messages."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns.result import Failure, Result

from hollowrack.membership.datagrams import DatagramSealer
from hollowrack.membership.messages import GossipMessage
from hollowrack.messages.transport import PeerConnection, PeerServer
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.settings.address import split_address

OnDatagram = Callable[[str, GossipMessage], None]
OnRequest = Callable[[Any], Awaitable[object]]


class NodeNetwork(Protocol):
    """Interface of a node to the network; benchmarks implement it in memory."""

    async def open(self, on_datagram: OnDatagram, on_request: OnRequest) -> str:
        """Start listening and return the bound address.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if the address cannot be bound.
        """

    def send_datagram(self, address: str, message: GossipMessage) -> None:
        """Send a datagram without a delivery guarantee."""

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Problem]:
        """Send a request and wait for its answer; fails with ``PEER_UNREACHABLE`` without one."""

    async def send(self, address: str, message: object) -> None:
        """Send a one-way message without a delivery guarantee."""

    async def close(self) -> None:
        """Stop listening and close all connections."""


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        del addr  # The authenticated payload contains the sender's name.
        self._on_datagram(data)


class SocketNetwork:
    """Network over a UDP and a TCP socket on the same address and port.

    Args:
        node: Name of this node.
        address: ``IP:PORT`` to listen on; port 0 selects a free port.
        cluster_key: Key shared by all nodes.
    """

    def __init__(self, node: str, address: str, cluster_key: bytes) -> None:
        self._address = split_address(address)
        self._cluster_key = cluster_key
        self._sealer = DatagramSealer(node, cluster_key)
        self._transport: asyncio.DatagramTransport | None = None
        self._server: PeerServer | None = None
        self._connections: dict[str, PeerConnection] = {}

    async def open(self, on_datagram: OnDatagram, on_request: OnRequest) -> str:
        """Bind both sockets; see :meth:`NodeNetwork.open`."""
        host, configured_port = self._address
        self._server = PeerServer(self._cluster_key, on_request)
        port = await self._server.start(host, configured_port)

        def receive(data: bytes) -> None:
            opened = self._sealer.open(data)
            if not isinstance(opened, Failure):
                on_datagram(opened.unwrap().sender, opened.unwrap().message)

        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramProtocol(receive), local_addr=(host, port)
            )
        except OSError as error:
            await self._server.stop()
            detail = f"udp {host}:{port}: {error.strerror or error}"
            raise ProblemError(
                Problem(ResultCode.ADDRESS_UNAVAILABLE, detail, "listeners.nodes")
            ) from error
        return f"{host}:{port}"

    def send_datagram(self, address: str, message: GossipMessage) -> None:
        """Authenticate and send a datagram; dropped if the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(self._sealer.seal(message), split_address(address))

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Problem]:
        """Send a request over the connection to ``address``."""
        return await self._connection(address).request(message, timeout_s)

    async def send(self, address: str, message: object) -> None:
        """Send a message over the connection to ``address``."""
        await self._connection(address).send(message)

    async def close(self) -> None:
        """Close both sockets and all connections."""
        if self._transport is not None:
            self._transport.close()
        await asyncio.gather(*(link.close() for link in self._connections.values()))
        if self._server is not None:
            await self._server.stop()

    def _connection(self, address: str) -> PeerConnection:
        connection = self._connections.get(address)
        if connection is None:
            connection = PeerConnection(split_address(address), self._cluster_key)
            self._connections[address] = connection
        return connection
