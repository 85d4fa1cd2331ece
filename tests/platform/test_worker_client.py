"""Answers that state no length: they end with their connection, cleanly or not."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from hollowrack.forwarding.back_end import BackEndCall, BrokenAnswerError
from hollowrack.forwarding.types import Worker
from hollowrack.platform.worker_client import PlatformWorkers, worker_session

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Stamp: s\r\nConnection: close\r\n\r\n"
BODY = b"the whole body"
CALL = BackEndCall("q1", "POST", "/a", (), b"asked")
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


async def _answer(after_head_s: float, is_reset: bool) -> bytes:
    """Return what the client makes of an answer whose connection ends in one way or another."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(CALL.body)
        writer.write(HEAD + BODY)
        await writer.drain()
        await asyncio.sleep(after_head_s)
        if is_reset:
            sock: socket.socket = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()
        else:
            writer.close()

    return await _with_server(serve)


async def _with_server(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> bytes:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    session, fresh_session = worker_session(), worker_session(force_close=True)
    try:
        workers = PlatformWorkers(session, fresh_session)
        opened = await workers.open(Worker("w", "svc", address, "z", 1), CALL, 5.0)
        try:
            return await opened.read()
        finally:
            opened.abort()
    finally:
        await session.close()
        await fresh_session.close()
        server.close()


@pytest.mark.parametrize("after_head_s", [0.0, 0.05])
def test_an_answer_without_a_length_that_ends_cleanly_is_whole(after_head_s: float) -> None:
    assert asyncio.run(_answer(after_head_s, is_reset=False)) == BODY


def test_an_answer_without_a_length_that_is_reset_is_broken() -> None:
    with pytest.raises(BrokenAnswerError):
        asyncio.run(_answer(0.05, is_reset=True))
