"""Guards against connections held open by slow or idle callers, and work for absent callers."""

import asyncio
import json
import socket
from pathlib import Path

import aiohttp
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from hollowrack.api.server import HttpServer
from hollowrack.results import ResultCode
from hollowrack_bench.local_fleet import MODEL, FleetConfig, LocalFleet

READ_TIMEOUT_S = 0.3


async def _echo(request: Request) -> PlainTextResponse:
    return PlainTextResponse((await request.body()).decode())


async def _server() -> HttpServer:
    app = Starlette(routes=[Route("/echo", _echo, methods=["POST"])])
    server = HttpServer(app, "127.0.0.1:0", "test", 1000, READ_TIMEOUT_S)
    await server.start()
    return server


def test_incomplete_request_is_answered_408_and_closed() -> None:
    async def run() -> None:
        server = await _server()
        host, port = server.address.split(":")
        for start in (b"", b"POST /echo HTTP/1.1\r\nHost: x\r\n", _head(100) + b"12"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(start)
            answer = await asyncio.wait_for(reader.read(), timeout=20)
            assert answer.startswith(b"HTTP/1.1 408")
            error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
            assert error["code"] == int(ResultCode.CALLER_TOO_SLOW)
            writer.close()
        await server.stop()

    asyncio.run(run())


def test_accepted_connections_have_nagle_disabled() -> None:
    """Without TCP_NODELAY a small answer may wait for a delayed acknowledgement of 40 ms."""

    async def run() -> None:
        server = await _server()
        assert server._socket.proto == socket.IPPROTO_TCP
        await server.stop()

    asyncio.run(run())


def test_slow_requests_and_idle_keep_alive_connections_are_served() -> None:
    async def run() -> None:
        server = await _server()
        host, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(3):
            writer.write(_head(4) + b"ab")
            await asyncio.sleep(READ_TIMEOUT_S / 3)
            writer.write(b"cd")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout=20)
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(4) == b"abcd"
            await asyncio.sleep(2 * READ_TIMEOUT_S)
        writer.close()
        await server.stop()

    asyncio.run(run())


def test_idle_connections_do_not_block_others() -> None:
    async def run() -> None:
        server = await _server()
        host, port = server.address.split(":")
        idle = [await asyncio.open_connection(host, int(port)) for _ in range(500)]
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{server.address}/echo", data=b"hi") as response,
        ):
            assert await response.text() == "hi"
        closed = [asyncio.wait_for(reader.read(), timeout=20) for reader, _ in idle]
        answers = await asyncio.gather(*closed)
        assert all(answer.startswith(b"HTTP/1.1 408") for answer in answers)
        for _, writer in idle:
            writer.close()
        await server.stop()

    asyncio.run(run())


def _head(length: int) -> bytes:
    return f"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n".encode()


def test_stream_is_cancelled_at_engine_when_caller_disconnects(tmp_path: Path) -> None:
    async def run() -> None:
        config = FleetConfig(zones=("a",), num_nodes_per_zone=1, num_engines=1, num_workers=1)
        fleet = LocalFleet(config, tmp_path)
        await fleet.start()
        engine = fleet.engines[0]
        engine.core.faults.is_paused = True
        body = {"model": MODEL, "prompt": "p", "stream": True}
        async with aiohttp.ClientSession() as session:
            call = asyncio.create_task(session.post(f"{fleet.urls()[0]}/v1/completions", json=body))
            await fleet.wait_until(
                lambda: not engine.core.is_idle, "the engine received no request"
            )
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
        await fleet.wait_until(
            lambda: engine.core.is_idle, "the generation was not cancelled at the engine"
        )
        assert engine.num_cancelled == 1
        await fleet.stop()

    asyncio.run(run())
