"""Reports on slots between nodes over HTTP."""

from collections.abc import Callable

import aiohttp
from starlette.routing import Route

from hollowrack.messages.node_http import (
    NodeSilentError,
    NodeUnreachableError,
    ask_node,
    question_route,
)
from hollowrack.slots.types import SlotAnswer, SlotGrant, SlotRefusal, SlotReport

SLOTS_PATH = "/slots"
# Nodes are a few milliseconds apart. A later answer is of no use, as the next report is due.
REPORT_TIMEOUT_S = 0.5


class HttpSlotPeers:
    """Reports to other nodes; see :class:`SlotPeers`.

    Args:
        session: HTTP session for nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def report(self, address: str, report: SlotReport) -> SlotAnswer | None:
        """Report to the arbiter; its caller logs that there was no answer."""
        try:
            answer = await ask_node(self._session, address, SLOTS_PATH, report, REPORT_TIMEOUT_S)
        except (NodeUnreachableError, NodeSilentError):
            return None
        return answer if isinstance(answer, SlotGrant | SlotRefusal) else None


def slot_routes(answer: Callable[[SlotReport], SlotAnswer]) -> list[Route]:
    """Return the route that answers reports of other nodes.

    Args:
        answer: Answers a report.
    """

    async def take(report: SlotReport) -> SlotAnswer:
        return answer(report)

    return [question_route(SLOTS_PATH, (SlotReport,), take)]
