"""Guards against slot reports and answers that are altered by their transport over HTTP."""

import asyncio

import aiohttp
from starlette.applications import Starlette

from hollowrack.api.server import HttpServer
from hollowrack.slots.peer_http import SLOTS_PATH, HttpSlotPeers, slot_routes
from hollowrack.slots.types import OpenWork, SlotAnswer, SlotGrant, SlotRefusal, SlotReport

WORK = OpenWork(1, None, 1, 2, (0,))
REPORT = SlotReport("a#1", "engines", 3, 5, 2, ("e0@1", "e1@1"), (1, 0), (2, 2), (WORK,))
GRANT = SlotGrant("b#1", 5, "engines", 3, 3.0, (2, None), True, True, 1)
REFUSAL = SlotRefusal(703, "this node does not lead")


def test_reports_and_answers_are_transferred_intact_and_other_bodies_rejected() -> None:
    received: list[SlotReport] = []
    answers: list[SlotAnswer] = [GRANT, REFUSAL]

    def answer(report: SlotReport) -> SlotAnswer:
        received.append(report)
        return answers[len(received) - 1]

    async def main() -> None:
        server = HttpServer(Starlette(routes=slot_routes(answer)), "127.0.0.1:0", "test", 10)
        await server.start()
        async with aiohttp.ClientSession() as session:
            peers = HttpSlotPeers(session)
            assert await peers.report(server.address, REPORT) == GRANT
            assert await peers.report(server.address, REPORT) == REFUSAL
            async with session.post(f"http://{server.address}{SLOTS_PATH}", data=b"x") as response:
                assert response.status == 400
                assert "expected SlotReport" in await response.text()
            await server.abort()
            assert await peers.report(server.address, REPORT) is None

    asyncio.run(main())
    assert received == [REPORT, REPORT]
