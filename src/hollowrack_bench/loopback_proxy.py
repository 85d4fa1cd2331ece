"""TCP proxy on loopback that injects faults into the connections passing through it."""

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum

from hollowrack.tasks import cancel_all
from hollowrack_bench.free_ports import free_address

CHUNK_BYTES = 65_536
MAX_DELAY_S = 0.4
MAX_REPEAT_DELAY_S = 0.3
LOSS_PROBABILITY = 0.35
_ANSWER_BEGIN = b"HTTP/1.1 "
_HEAD_END = b"\r\n\r\n"
_LENGTH = b"content-length:"


class LinkFault(Enum):
    """Faults that a proxy injects.

    A connection whose bytes were discarded stays without data after the fault has ended.
    """

    NONE = "forwards everything"
    DELAYED = "delays every chunk"
    RESET = "resets connections, open and new"
    SILENT = "discards all bytes"
    LOSSY = "discards all bytes of some new connections"
    NO_REQUESTS = "discards what clients send"
    NO_ANSWERS = "discards what servers send"
    REPEATED = "sends complete answers a second time after a delay"


class LoopbackProxy:
    """Forwards connections to one address.

    Args:
        target: ``IP:PORT`` to forward to.
        rng: Source of delays and lost connections.
        max_delay_s: Longest delay of a chunk while the link is delayed, in seconds.

    Attributes:
        address: ``IP:PORT`` of the listener; empty before the start.
        fault: Current fault; applies to open connections too.
    """

    def __init__(self, target: str, rng: random.Random, max_delay_s: float = MAX_DELAY_S) -> None:
        self.address = ""
        self.fault = LinkFault.NONE
        self._target = target
        self._rng = rng
        self._max_delay_s = max_delay_s
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._num_accepted = 0
        # Connections whose number is at most this one forward no further bytes.
        self._last_silenced_number = 0

    async def start(self) -> str:
        """Start listening on a free port; returns the address."""
        # An outgoing connection could take an ephemeral port while connections are refused.
        self.address = free_address()
        await self.accept_connections()
        return self.address

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        await cancel_all(*self._connections)
        # Aborted transports are closed in the next iteration of the event loop.
        await asyncio.sleep(0)

    def refuse_connections(self) -> None:
        """Close the listener, so that new connections are refused as by an ended process."""
        if self._server is not None:
            self._server.close()

    async def accept_connections(self) -> None:
        """Listen again on the same address if the listener is closed."""
        if self._server is not None and self._server.is_serving():
            return
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def set_fault(self, fault: LinkFault) -> None:
        """Set the current fault; :attr:`LinkFault.NONE` ends it."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for connection in self._connections:
                connection.cancel()

    def silence_open_connections(self) -> None:
        """Discard all further bytes of the connections open now; new connections work."""
        self._last_silenced_number = self._num_accepted

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._connect(reader, writer)
        except (asyncio.CancelledError, OSError):
            # Both ends see a connection reset, as with a broken link.
            _reset(writer)
        finally:
            writer.close()
            self._connections.discard(task)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        self._num_accepted += 1
        number = self._num_accepted
        is_silenced = self.fault is LinkFault.LOSSY and self._rng.random() < LOSS_PROBABILITY
        client_port = writer.get_extra_info("peername")[1]
        host, _, port = self._target_of(client_port).rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, server_writer, True, is_silenced, number))
                group.create_task(self._forward(server_reader, writer, False, is_silenced, number))
        except* OSError:
            _reset(writer)
        finally:
            _reset(server_writer)

    def _target_of(self, client_port: int) -> str:
        """Return the address to forward a connection to, given its client's port."""
        del client_port
        return self._target

    def _observe_request(self, chunk: bytes) -> None:
        """Called with all bytes that clients send, also those that are discarded."""

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
        is_silenced: bool,
        number: int,
    ) -> None:
        """Forward one direction of a connection until its sender closes it.

        Args:
            reader: Side to read from.
            writer: Side to write to.
            is_request: Whether the direction is from client to server.
            is_silenced: Whether the bytes are discarded.
            number: Number of the connection, in order of acceptance.
        """
        while chunk := await reader.read(CHUNK_BYTES):
            if is_request:
                self._observe_request(chunk)
            is_silenced = is_silenced or self._discards(is_request)
            is_silenced = is_silenced or number <= self._last_silenced_number
            if is_silenced:
                continue
            if self.fault is LinkFault.DELAYED:
                await asyncio.sleep(self._rng.uniform(0.0, self._max_delay_s))
            writer.write(chunk)
            await writer.drain()
            if self.fault is LinkFault.REPEATED and not is_request and _is_complete_answer(chunk):
                await asyncio.sleep(self._rng.uniform(0.0, MAX_REPEAT_DELAY_S))
                writer.write(chunk)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    def _discards(self, is_request: bool) -> bool:
        one_way = LinkFault.NO_REQUESTS if is_request else LinkFault.NO_ANSWERS
        return self.fault in (LinkFault.SILENT, one_way)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection so that the other end sees a reset."""
    connected: socket.socket | None = writer.get_extra_info("socket")
    if connected is not None and connected.fileno() >= 0:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _is_complete_answer(chunk: bytes) -> bool:
    """Whether the chunk is exactly one HTTP answer with a ``Content-Length``."""
    head, found, body = chunk.partition(_HEAD_END)
    if not found or not head.startswith(_ANSWER_BEGIN):
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(_LENGTH):
            return int(line.removeprefix(_LENGTH)) == len(body)
    return False
