"""Broken or truncated worker responses must not pass as complete, nor be retried implicitly."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from hollowrack.forwarding.back_end import BackEndCall, BrokenAnswerError, LoadReport, NotRunError
from hollowrack.forwarding.types import Worker
from hollowrack.platform import worker_client
from hollowrack.platform.worker_client import PlatformWorkers, worker_session
from tests.forwarding.helpers import make_worker

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Stamp: s\r\nConnection: close\r\n\r\n"
BODY = b"the whole body"
CALL = BackEndCall("q1", "POST", "/a", (), b"asked")
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


async def _read_without_length(after_head_s: float, is_reset: bool) -> bytes:
    """Read a response without a length whose connection is closed or reset."""

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
def test_response_without_length_is_complete_after_a_clean_close(after_head_s: float) -> None:
    assert asyncio.run(_read_without_length(after_head_s, is_reset=False)) == BODY


def test_response_without_length_is_broken_after_a_reset() -> None:
    with pytest.raises(BrokenAnswerError):
        asyncio.run(_read_without_length(0.05, is_reset=True))


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (b"Load-Report: 5,12,6,350\r\n", LoadReport(5, 12)),
        (b"Load-Report: 5\r\n", None),
        (b"", None),
    ],
)
def test_load_report_of_a_response_is_decoded(header: bytes, expected: LoadReport | None) -> None:
    async def main() -> LoadReport | None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" + header)
            writer.write(b"Content-Length: 2\r\n\r\nok")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        async with worker_session() as session, worker_session(force_close=True) as fresh:
            workers = PlatformWorkers(session, fresh)
            call = BackEndCall("q1", "GET", "/a/x", (), b"")
            opened = await workers.open(replace(make_worker("w0"), address=address), call, 1.0)
            assert await opened.read() == b"ok"
        server.close()
        return opened.load_report

    assert asyncio.run(main()) == expected


async def _run_twice_on_one_connection(method: str) -> tuple[int, Exception | None]:
    """Send two requests over one connection, which the worker closes during the second.

    Returns:
        Number of runs that started, and the error of the second request.
    """
    num_runs = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal num_runs
        while await reader.readuntil(b"\r\n\r\n"):
            num_runs += 1
            if num_runs > 1:
                break
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    worker = replace(make_worker("w0"), address=f"{host}:{port}")
    async with worker_session() as session, worker_session(force_close=True) as fresh:
        workers = PlatformWorkers(session, fresh)
        call = BackEndCall("q1", method, "/a/x", (), b"")
        first = await workers.open(worker, call, 1.0)
        assert await first.read() == b"ok"
        try:
            await workers.open(worker, call, 1.0)
        except (BrokenAnswerError, NotRunError) as error:
            return num_runs, error
        finally:
            server.close()
    return num_runs, None


@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
def test_requests_are_not_resent_implicitly(method: str) -> None:
    num_runs, error = asyncio.run(_run_twice_on_one_connection(method))
    assert num_runs == 2
    assert isinstance(error, BrokenAnswerError)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b"{",
        b'{"models": 5, "sequence": 1, "busy": false}',
        b'{"models": ["m"], "sequence": 1, "busy": false}',
        b'{"models": [], "sequence": null, "busy": false}',
        b'{"models": [], "sequence": Infinity, "busy": false}',
        b'{"a":' * 100_000,
    ],
    ids=lambda body: body[:40].decode(),
)
def test_malformed_report_yields_none(body: bytes) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)
        await writer.drain()
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        async with worker_session() as session, worker_session(force_close=True) as fresh:
            workers = PlatformWorkers(session, fresh)
            assert await workers.report(Worker("w", "svc", address, "z", 1)) is None
        server.close()

    asyncio.run(main())


def test_requests_over_one_connection_leave_one_callback(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every request left a callback with its context on a connection that stayed open."""
    num_requests = 5
    ended: list[asyncio.Future[None]] = []
    monkeypatch.setattr(worker_client, "_consume_exception", ended.append)
    num_connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal num_connections
        num_connections += 1
        for _ in range(num_requests):
            await reader.readuntil(CALL.body)
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        session = worker_session()
        workers = PlatformWorkers(session, session)
        for _ in range(num_requests):
            opened = await workers.open(Worker("w", "svc", address, "z", 1), CALL, 5.0)
            await opened.read()
        await session.close()
        await asyncio.sleep(0)
        server.close()

    asyncio.run(run())
    assert num_connections == 1
    assert len(ended) == 1
