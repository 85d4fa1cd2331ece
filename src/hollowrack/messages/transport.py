"""Transport of messages between nodes over TCP, authenticated with the cluster key.

Handshake: each side sends a random challenge and proves that it knows the cluster key with a keyed
hash over both challenges. Every frame carries a keyed hash over its sequence number and payload, so
forged, replayed and missing frames are detected within a connection.

Frame: 4-byte length, 16-byte tag, payload. Payload: CBOR ``[correlation_id, kind, message]``.
"""

import asyncio
import hashlib
import hmac
import itertools
import os
import struct
from collections.abc import Awaitable, Callable
from enum import IntEnum
from typing import Any

import cbor2
from absl import logging
from returns.result import Failure, Result

from hollowrack.messages import codec
from hollowrack.results import Problem, ProblemError, ResultCode, value_or_raise
from hollowrack.tasks import cancel_all

MAX_FRAME_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 5.0
_CHALLENGE_BYTES = 32
_TAG_BYTES = 16
_LENGTH = struct.Struct("!I")
_SEQUENCE = struct.Struct("!Q")

Handler = Callable[[Any], Awaitable[object]]


class FrameKind(IntEnum):
    """Kind of a frame's payload."""

    REQUEST = 0
    ANSWER = 1
    PROBLEM = 2
    ONE_WAY = 3


class SecureChannel:
    """Authenticated connection that sends and verifies frames.

    Args:
        reader: Input stream, after the handshake.
        writer: Output stream.
        send_key: Authenticates the frames that this side sends.
        receive_key: Authenticates the frames that the other side sends.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        send_key: bytes,
        receive_key: bytes,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._send_key = send_key
        self._receive_key = receive_key
        self._num_sent = 0
        self._num_received = 0

    async def send(self, correlation_id: int, kind: FrameKind, body: bytes) -> None:
        """Send one frame and wait until the write buffer has room."""
        payload = cbor2.dumps([correlation_id, int(kind), body])
        tag = _tag(self._send_key, self._num_sent, payload)
        self._num_sent += 1
        self._writer.write(_LENGTH.pack(len(payload)) + tag + payload)
        await self._writer.drain()

    async def receive(self) -> tuple[int, FrameKind, bytes]:
        """Receive one frame as ``(correlation_id, kind, body)``.

        Raises:
            ProblemError: ``MESSAGE_INVALID`` if the frame is too long, malformed or not authentic.
            asyncio.IncompleteReadError: If the connection was closed.
        """
        header = await self._reader.readexactly(_LENGTH.size + _TAG_BYTES)
        (length,) = _LENGTH.unpack_from(header)
        if length > MAX_FRAME_BYTES:
            raise _invalid(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
        payload = await self._reader.readexactly(length)
        expected = _tag(self._receive_key, self._num_received, payload)
        self._num_received += 1
        if not hmac.compare_digest(expected, header[_LENGTH.size :]):
            raise _invalid("frame authentication tag does not match")
        try:
            correlation_id, kind, body = cbor2.loads(payload)
            return int(correlation_id), FrameKind(kind), bytes(body)
        except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
            raise _invalid(f"malformed frame payload: {error}") from error

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()


def _invalid(detail: str) -> ProblemError:
    return ProblemError(Problem(ResultCode.MESSAGE_INVALID, detail, "frame"))


def _tag(key: bytes, sequence: int, payload: bytes) -> bytes:
    digest = hashlib.blake2b(_SEQUENCE.pack(sequence), key=key, digest_size=_TAG_BYTES)
    digest.update(payload)
    return digest.digest()


def _derive(cluster_key: bytes, purpose: bytes, client: bytes, server: bytes) -> bytes:
    return hmac.new(cluster_key, purpose + client + server, hashlib.sha256).digest()


async def _open_channel(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    cluster_key: bytes,
    is_client: bool,
) -> SecureChannel:
    own_challenge = os.urandom(_CHALLENGE_BYTES)
    writer.write(own_challenge)
    await writer.drain()
    peer_challenge = await reader.readexactly(_CHALLENGE_BYTES)
    client, server = (
        (own_challenge, peer_challenge) if is_client else (peer_challenge, own_challenge)
    )
    client_proof = _derive(cluster_key, b"client-proof", client, server)
    server_proof = _derive(cluster_key, b"server-proof", client, server)
    own_proof, peer_proof = (
        (client_proof, server_proof) if is_client else (server_proof, client_proof)
    )
    writer.write(own_proof)
    await writer.drain()
    received = await reader.readexactly(len(peer_proof))
    if not hmac.compare_digest(received, peer_proof):
        raise ProblemError(
            Problem(
                ResultCode.PEER_UNAUTHENTICATED,
                "the peer's proof of the cluster key does not match",
            )
        )
    client_key = _derive(cluster_key, b"client-frames", client, server)
    server_key = _derive(cluster_key, b"server-frames", client, server)
    keys = (client_key, server_key) if is_client else (server_key, client_key)
    return SecureChannel(reader, writer, *keys)


class PeerServer:
    """Server that accepts connections of other nodes and answers their requests.

    Args:
        cluster_key: Key shared by all nodes.
        handler: Called with each decoded message; returns the answer message, or raises
            :class:`~hollowrack.results.ProblemError` to answer with a problem.

    Attributes:
        num_rejected: Connections closed after a failed handshake or an invalid frame.
    """

    def __init__(self, cluster_key: bytes, handler: Handler) -> None:
        self._cluster_key = cluster_key
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._channels: set[SecureChannel] = set()
        self.num_rejected = 0

    async def start(self, host: str, port: int) -> int:
        """Start listening on ``host:port`` and return the bound port.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if the address cannot be bound.
        """
        try:
            self._server = await asyncio.start_server(self._serve, host, port)
        except OSError as error:
            detail = f"{host}:{port}: {error.strerror or error}"
            raise ProblemError(
                Problem(ResultCode.ADDRESS_UNAVAILABLE, detail, "listeners.nodes")
            ) from error
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    async def stop(self) -> None:
        """Stop listening, close all connections and cancel the requests in progress."""
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            channel.close()
        tasks = list(self._tasks)
        await cancel_all(*tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                channel = await _open_channel(reader, writer, self._cluster_key, is_client=False)
        except (ProblemError, OSError, asyncio.IncompleteReadError, TimeoutError):
            self.num_rejected += 1
            writer.close()
            return
        self._channels.add(channel)
        try:
            await self._serve_frames(channel)
        except ProblemError as error:
            self.num_rejected += 1
            logging.warning("closing the connection of a peer after an invalid frame: %s", error)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._channels.discard(channel)
            channel.close()

    async def _serve_frames(self, channel: SecureChannel) -> None:
        while True:
            correlation_id, kind, body = await channel.receive()
            task = asyncio.create_task(self._answer(channel, correlation_id, kind, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, channel: SecureChannel, correlation_id: int, kind: FrameKind, body: bytes
    ) -> None:
        try:
            answer = await self._handler(value_or_raise(codec.decode(body)))
            reply_kind, reply = FrameKind.ANSWER, codec.encode(answer)
        except ProblemError as error:
            reply_kind, reply = FrameKind.PROBLEM, _encode_problem(error.problem)
        except Exception:
            # Without an answer, the peer would wait until its timeout.
            logging.exception("the handler of a peer's request failed")
            problem = Problem(ResultCode.INTERNAL_ERROR, "the request failed at the peer")
            reply_kind, reply = FrameKind.PROBLEM, _encode_problem(problem)
        if kind is FrameKind.ONE_WAY:
            return
        try:
            await channel.send(correlation_id, reply_kind, reply)
        except OSError:
            logging.debug("the connection of a peer was closed before the answer was sent")


def _encode_problem(problem: Problem) -> bytes:
    return cbor2.dumps([int(problem.code), problem.detail, problem.place, problem.retry_after_s])


def _decode_problem(body: bytes) -> Problem:
    code, detail, place, retry_after_s = cbor2.loads(body)
    return Problem(ResultCode(code), detail, place, retry_after_s)


class PeerConnection:
    """Client connection to one other node, opened on demand and shared by all requests to it.

    Args:
        address: ``(host, port)`` of the peer's listener for nodes.
        cluster_key: Key shared by all nodes.
    """

    def __init__(self, address: tuple[str, int], cluster_key: bytes) -> None:
        self._address = address
        self._cluster_key = cluster_key
        self._channel: SecureChannel | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._pending: dict[int, asyncio.Future[Result[Any, Problem]]] = {}
        self._correlation_ids = itertools.count(1)
        self._connecting = asyncio.Lock()

    async def request(self, message: object, timeout_s: float) -> Result[Any, Problem]:
        """Send a message and return the peer's answer.

        Fails with ``PEER_UNREACHABLE`` if no answer arrives within ``timeout_s`` seconds; the peer
        may still have handled the message.
        """
        try:
            async with asyncio.timeout(timeout_s):
                channel = await self._connected()
                correlation_id = next(self._correlation_ids)
                future: asyncio.Future[Result[Any, Problem]] = (
                    asyncio.get_running_loop().create_future()
                )
                self._pending[correlation_id] = future
                try:
                    body = codec.encode(message)
                    await channel.send(correlation_id, FrameKind.REQUEST, body)
                    return await future
                finally:
                    self._pending.pop(correlation_id, None)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            return self._unreachable(type(error).__name__)
        except ProblemError as error:
            return Failure(error.problem)

    async def send(self, message: object) -> None:
        """Send a message without an answer; failures are not reported."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                channel = await self._connected()
                await channel.send(0, FrameKind.ONE_WAY, codec.encode(message))
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ProblemError):
            self._drop()

    async def close(self) -> None:
        """Close the connection; pending requests fail with ``PEER_UNREACHABLE``."""
        task = self._reader_task
        self._drop()
        if task is not None:
            await cancel_all(task)

    def _unreachable(self, reason: str) -> Failure[Problem]:
        host, port = self._address
        return Failure(Problem(ResultCode.PEER_UNREACHABLE, reason, f"{host}:{port}"))

    async def _connected(self) -> SecureChannel:
        async with self._connecting:
            if self._channel is None:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self._address)
                    try:
                        self._channel = await _open_channel(
                            reader, writer, self._cluster_key, is_client=True
                        )
                    except BaseException:
                        writer.close()
                        raise
                self._reader_task = asyncio.create_task(self._read_answers(self._channel))
            return self._channel

    async def _read_answers(self, channel: SecureChannel) -> None:
        try:
            while True:
                correlation_id, kind, body = await channel.receive()
                future = self._pending.pop(correlation_id, None)
                if future is None or future.done():
                    continue  # The request has timed out or was cancelled.
                if kind is FrameKind.PROBLEM:
                    future.set_result(Failure(_decode_problem(body)))
                else:
                    future.set_result(codec.decode(body))
        except (OSError, asyncio.IncompleteReadError, ProblemError, ValueError):
            pass
        finally:
            if self._channel is channel:
                self._drop()

    def _drop(self) -> None:
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.close()
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_result(self._unreachable("connection lost"))
