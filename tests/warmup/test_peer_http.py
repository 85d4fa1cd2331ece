"""Guards against permit messages that are altered by their transport over HTTP."""

import asyncio

import aiohttp
from starlette.applications import Starlette

from hollowrack.api.server import HttpServer
from hollowrack.warmup.peer_http import PERMITS_PATH, HttpPermitPeers, permit_routes
from hollowrack.warmup.types import (
    PermitAnswer,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
    PermitWant,
)

REQUEST = PermitRequest("a#1", 3, (PermitWant("svc", "w", 5, 2, 1, 4),))
GRANT = PermitGrant("b#1", 5, 3, (1,), 0.1)
REFUSAL = PermitRefusal(703, "this node is not the leader")


def test_requests_and_answers_are_transferred_intact_and_other_bodies_rejected() -> None:
    received: list[PermitRequest] = []
    answers: list[PermitAnswer] = [GRANT, REFUSAL]

    def answer(request: PermitRequest) -> PermitAnswer:
        received.append(request)
        return answers[len(received) - 1]

    async def main() -> None:
        server = HttpServer(Starlette(routes=permit_routes(answer)), "127.0.0.1:0", "test", 10)
        await server.start()
        async with aiohttp.ClientSession() as session:
            peers = HttpPermitPeers(session)
            assert await peers.request(server.address, REQUEST) == GRANT
            assert await peers.request(server.address, REQUEST) == REFUSAL
            url = f"http://{server.address}{PERMITS_PATH}"
            async with session.post(url, data=b"x") as response:
                assert response.status == 400
                assert "expected PermitRequest" in await response.text()
            await server.abort()
            assert await peers.request(server.address, REQUEST) is None

    asyncio.run(main())
    assert received == [REQUEST, REQUEST]
