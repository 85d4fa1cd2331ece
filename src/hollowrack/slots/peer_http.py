"""HTTP transport of slot reports between nodes."""

from collections.abc import Callable

import aiohttp
from starlette.routing import Route

from hollowrack.messages.node_http import (
    NodeNoResponseError,
    NodeUnreachableError,
    call_node,
    message_route,
)
from hollowrack.slots.types import SlotAnswer, SlotGrant, SlotRefusal, SlotReport

SLOTS_PATH = "/slots"
# Nodes are a few milliseconds apart. A later answer is useless, as the next report is already due.
REPORT_TIMEOUT_S = 0.5


class HttpSlotPeers:
    """Client of the slot arbiter over HTTP; implements :class:`SlotPeers`.

    Args:
        session: HTTP session for requests to other nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def report(self, address: str, report: SlotReport) -> SlotAnswer | None:
        """Send a report; ``None`` without a valid answer. The caller logs failures."""
        try:
            answer = await call_node(self._session, address, SLOTS_PATH, report, REPORT_TIMEOUT_S)
        except (NodeUnreachableError, NodeNoResponseError):
            return None
        return answer if isinstance(answer, SlotGrant | SlotRefusal) else None


def slot_routes(answer: Callable[[SlotReport], SlotAnswer]) -> list[Route]:
    """Return the HTTP route that receives reports of other nodes.

    Args:
        answer: Handles a report and returns the answer to send.
    """

    async def receive_report(report: SlotReport) -> SlotAnswer:
        return answer(report)

    return [message_route(SLOTS_PATH, (SlotReport,), receive_report)]
