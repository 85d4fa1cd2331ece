"""The proxy must inject exactly the fault that is set, into the right connections."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from hollowrack_bench.loopback_proxy import LinkFault, LoopbackProxy
from hollowrack_standins.server import StandinServer

# A request without an answer for this long is taken for silenced.
SILENCE_S = 0.5
# An answer that is due is waited for: on a busy machine it may take longer than the silence.
ANSWER_TIMEOUT_S = 10.0
# The same for many concurrent requests, some of which are silenced.
LOSSY_TIMEOUT_S = 3.0
BODY = b"complete answer"


async def _answer(request: Request) -> PlainTextResponse:
    del request
    return PlainTextResponse(BODY)


def run_behind_proxy(scenario: Callable[[LoopbackProxy], Awaitable[None]]) -> None:
    async def main() -> None:
        server = StandinServer([Route("/", _answer)])
        proxy = LoopbackProxy(await server.start(), random.Random(1))
        await proxy.start()
        try:
            await scenario(proxy)
        finally:
            await proxy.stop()
            await server.crash()

    asyncio.run(main())


async def fetch(proxy: LoopbackProxy, timeout_s: float = SILENCE_S) -> bytes | str:
    """Send a request over a new connection; returns the body or the kind of failure."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{proxy.address}/") as response,
        ):
            return await response.read()
    except TimeoutError:
        return "silence"
    except aiohttp.ClientError:
        return "reset"


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (LinkFault.NONE, BODY),
        (LinkFault.RESET, "reset"),
        (LinkFault.SILENT, "silence"),
        (LinkFault.NO_REQUESTS, "silence"),
        (LinkFault.NO_ANSWERS, "silence"),
        (LinkFault.REPEATED, BODY),
    ],
)
def test_fault_applies_to_new_connections_until_it_ends(
    fault: LinkFault, expected: bytes | str
) -> None:
    async def scenario(proxy: LoopbackProxy) -> None:
        proxy.set_fault(fault)
        timeout_s = SILENCE_S if expected == "silence" else ANSWER_TIMEOUT_S
        assert await fetch(proxy, timeout_s) == expected
        proxy.set_fault(LinkFault.NONE)
        assert await fetch(proxy, ANSWER_TIMEOUT_S) == BODY

    run_behind_proxy(scenario)


def test_lossy_fault_silences_only_some_connections() -> None:
    async def scenario(proxy: LoopbackProxy) -> None:
        proxy.set_fault(LinkFault.LOSSY)
        answers = await asyncio.gather(*(fetch(proxy, LOSSY_TIMEOUT_S) for _ in range(30)))
        assert set(answers) == {BODY, "silence"}

    run_behind_proxy(scenario)


def test_reset_fault_resets_open_connections() -> None:
    async def scenario(proxy: LoopbackProxy) -> None:
        host, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.1)
        proxy.set_fault(LinkFault.RESET)
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await reader.read()
        writer.close()

    run_behind_proxy(scenario)


def test_repeated_fault_repeats_complete_answers_on_the_same_connection() -> None:
    async def scenario(proxy: LoopbackProxy) -> None:
        proxy.set_fault(LinkFault.REPEATED)
        host, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            for _ in range(2):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(len(BODY)) == BODY
        writer.close()

    run_behind_proxy(scenario)


def test_silenced_open_connections_stay_silent_while_new_ones_work() -> None:
    async def scenario(proxy: LoopbackProxy) -> None:
        url = f"http://{proxy.address}/"
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url) as response:
                assert await response.read() == BODY
            proxy.silence_open_connections()
            with pytest.raises(TimeoutError):
                await session.get(url, timeout=aiohttp.ClientTimeout(total=SILENCE_S))
            async with session.get(url) as response:
                assert await response.read() == BODY

    run_behind_proxy(scenario)
