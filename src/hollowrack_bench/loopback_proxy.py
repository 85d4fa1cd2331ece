"""A TCP proxy on loopback between two processes, which harms the connections that go through it."""

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum

from hollowrack.tasks import cancel_all

CHUNK_BYTES = 65_536
MAX_DELAY_S = 0.4
MAX_REPEAT_DELAY_S = 0.3
LOSS_PROBABILITY = 0.35
_ANSWER_BEGIN = b"HTTP/1.1 "
_HEAD_END = b"\r\n\r\n"
_LENGTH = b"content-length:"


class LinkFault(Enum):
    """What a proxy does to its connections.

    A connection that was silenced stays so after the fault: its bytes are gone.
    """

    NONE = "passes everything on"
    DELAYED = "holds every piece up"
    RESET = "resets connections, open and new"
    SILENT = "swallows all bytes"
    LOSSY = "swallows all bytes of some new connections"
    NO_REQUESTS = "swallows what clients send"
    NO_ANSWERS = "swallows what servers send"
    REPEATED = "sends whole answers a second time, late"


class LoopbackProxy:
    """Passes connections on to one address.

    Args:
        target: ``IP:PORT`` it passes them on to.
        rng: Source of delays.

    Attributes:
        address: ``IP:PORT`` it listens at.
        fault: What it does to them; may change at any time.
    """

    def __init__(self, target: str, rng: random.Random) -> None:
        self.address = ""
        self.fault = LinkFault.NONE
        self._target = target
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._num_accepted = 0
        self._num_silenced = 0

    async def start(self) -> str:
        """Start listening on a free port; returns the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Drop the listener and all connections."""
        if self._server is not None:
            self._server.close()
        await cancel_all(*self._connections)
        # Aborted transports are closed by the loop's next turn.
        await asyncio.sleep(0)

    def set_fault(self, fault: LinkFault) -> None:
        """Begin a fault, or end it with :attr:`LinkFault.NONE`."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for connection in self._connections:
                connection.cancel()

    def blackhole_open_connections(self) -> None:
        """Swallow from now on all bytes of the connections that are open; new ones work."""
        self._num_silenced = self._num_accepted

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._connect(reader, writer)
        except (asyncio.CancelledError, OSError):
            # Both ends of a harmed connection see a reset, as of a broken link.
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
        is_lost = self.fault is LinkFault.LOSSY and self._rng.random() < LOSS_PROBABILITY
        host, _, port = self._target.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, server_writer, True, is_lost, number))
                group.create_task(self._pass(server_reader, writer, False, is_lost, number))
        except* OSError:
            _reset(writer)
        finally:
            _reset(server_writer)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
        is_silenced: bool,
        number: int,
    ) -> None:
        """Pass one direction of a connection, told by its number, on until its sender ends it."""
        while chunk := await reader.read(CHUNK_BYTES):
            is_silenced = is_silenced or self._swallows(is_request)
            is_silenced = is_silenced or number <= self._num_silenced
            if is_silenced:
                continue
            if self.fault is LinkFault.DELAYED:
                await asyncio.sleep(self._rng.uniform(0.0, MAX_DELAY_S))
            writer.write(chunk)
            await writer.drain()
            if self.fault is LinkFault.REPEATED and not is_request and _is_whole_answer(chunk):
                await asyncio.sleep(self._rng.uniform(0.0, MAX_REPEAT_DELAY_S))
                writer.write(chunk)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    def _swallows(self, is_request: bool) -> bool:
        one_way = LinkFault.NO_REQUESTS if is_request else LinkFault.NO_ANSWERS
        return self.fault in (LinkFault.SILENT, one_way)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Drop a connection so that its other end sees a reset."""
    connected: socket.socket | None = writer.get_extra_info("socket")
    if connected is not None and connected.fileno() >= 0:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _is_whole_answer(chunk: bytes) -> bool:
    """Whether these bytes are one HTTP answer of a stated length, from its first to its last."""
    head, found, body = chunk.partition(_HEAD_END)
    if not found or not head.startswith(_ANSWER_BEGIN):
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(_LENGTH):
            return int(line.removeprefix(_LENGTH)) == len(body)
    return False
