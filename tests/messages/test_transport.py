"""Unauthenticated peers, malformed input and lost or late answers must yield errors, not hangs."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import cbor2
import pytest

from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.messages.transport import PeerConnection, PeerServer
from hollowrack.results import Problem, ProblemError, ResultCode

KEY = b"k" * 32
TIMEOUT_S = 5.0


@message("test.echo")
@dataclass(frozen=True)
class Echo:
    text: str
    number: int = 0


async def _echo(request: Any) -> object:
    if request.text == "refuse":
        raise ProblemError(Problem(ResultCode.NOT_LEADER, "n2", "g", retry_after_s=1.5))
    if request.text == "stall":
        await asyncio.sleep(3600)
    return request


def _run(test: Callable[[PeerServer, int], Awaitable[None]]) -> None:
    async def run() -> None:
        server = PeerServer(KEY, _echo)
        port = await server.start("127.0.0.1", 0)
        try:
            await test(server, port)
        finally:
            await server.stop()

    asyncio.run(run())


def test_concurrent_requests_get_their_own_answers() -> None:
    async def test(server: PeerServer, port: int) -> None:
        connection = PeerConnection(("127.0.0.1", port), KEY)
        requests = [connection.request(Echo("x", number), TIMEOUT_S) for number in range(50)]
        answers = await asyncio.gather(*requests)
        assert [answer.unwrap().number for answer in answers] == list(range(50))
        await connection.close()

    _run(test)


def test_problem_is_returned_with_all_fields() -> None:
    async def test(server: PeerServer, port: int) -> None:
        connection = PeerConnection(("127.0.0.1", port), KEY)
        problem = (await connection.request(Echo("refuse"), TIMEOUT_S)).failure()
        assert problem == Problem(ResultCode.NOT_LEADER, "n2", "g", 1.5)
        await connection.close()

    _run(test)


def test_timeout_is_unreachable_and_later_requests_succeed() -> None:
    async def test(server: PeerServer, port: int) -> None:
        connection = PeerConnection(("127.0.0.1", port), KEY)
        problem = (await connection.request(Echo("stall"), 0.05)).failure()
        assert problem.code is ResultCode.PEER_UNREACHABLE
        assert (await connection.request(Echo("x"), TIMEOUT_S)).unwrap() == Echo("x")
        await connection.close()

    _run(test)


def test_peer_with_wrong_key_is_rejected_and_counted() -> None:
    async def test(server: PeerServer, port: int) -> None:
        connection = PeerConnection(("127.0.0.1", port), b"f" * 32)
        problem = (await connection.request(Echo("x"), TIMEOUT_S)).failure()
        assert problem.code in (ResultCode.PEER_UNAUTHENTICATED, ResultCode.PEER_UNREACHABLE)
        assert server.num_rejected == 1
        await connection.close()

    _run(test)


def test_pending_requests_fail_when_server_stops_and_client_reconnects() -> None:
    async def run() -> None:
        server = PeerServer(KEY, _echo)
        port = await server.start("127.0.0.1", 0)
        connection = PeerConnection(("127.0.0.1", port), KEY)
        pending = asyncio.create_task(connection.request(Echo("stall"), TIMEOUT_S))
        await asyncio.sleep(0.1)
        await server.stop()
        assert (await pending).failure().code is ResultCode.PEER_UNREACHABLE
        new_server = PeerServer(KEY, _echo)
        await new_server.start("127.0.0.1", port)
        assert (await connection.request(Echo("x"), TIMEOUT_S)).unwrap() == Echo("x")
        await connection.close()
        await new_server.stop()

    asyncio.run(run())


@pytest.mark.parametrize("data", [b"", b"\x00" * 100, b"GET / HTTP/1.1\r\n\r\n" * 10])
def test_invalid_handshake_is_rejected(data: bytes) -> None:
    async def test(server: PeerServer, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.write_eof()
        await reader.read()
        writer.close()
        assert server.num_rejected == 1

    _run(test)


@pytest.mark.parametrize(
    ("envelope", "place"),
    [
        (b"\xff", "envelope"),
        (cbor2.dumps("text"), "envelope"),
        (cbor2.dumps([9, "test.echo", {}]), "version"),
        (cbor2.dumps([codec.WIRE_VERSION, "nobody", {}]), "name"),
        (cbor2.dumps([codec.WIRE_VERSION, ["list"], {}]), "name"),
        (cbor2.dumps([codec.WIRE_VERSION, "test.echo", {}]), "test.echo.text"),
        (cbor2.dumps([codec.WIRE_VERSION, "test.echo", {"text": [1]}]), "test.echo.text"),
    ],
)
def test_malformed_message_names_invalid_part(envelope: bytes, place: str) -> None:
    problem = codec.decode(envelope).failure()
    assert (problem.code, problem.place) == (ResultCode.MESSAGE_INVALID, place)
