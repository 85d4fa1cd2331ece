"""HTTP client and route for usage counts pushed between nodes."""

from collections.abc import Callable

import aiohttp
from absl import logging
from starlette.routing import Route

from hollowrack.messages.node_http import (
    NodeNoResponseError,
    NodeUnreachableError,
    call_node,
    message_route,
)
from hollowrack.usage.types import CountsTaken, PushedCounts

PUSH_PATH = "/counts"
# Nodes are a few milliseconds apart; one that takes longer is frozen or unreachable.
PUSH_TIMEOUT_S = 0.8


class HttpUsagePeers:
    """Pushes counts over HTTP; see :class:`hollowrack.usage.types.UsagePeers`.

    Args:
        session: HTTP session for requests between nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def push(self, address: str, pushed: PushedCounts) -> bool:
        """Push counts; returns whether the other node acknowledged them."""
        try:
            answer = await call_node(self._session, address, PUSH_PATH, pushed, PUSH_TIMEOUT_S)
        except (NodeUnreachableError, NodeNoResponseError) as error:
            logging.info("usage counts: push to node at %s failed: %s", address, error)
            return False
        return isinstance(answer, CountsTaken)


def usage_routes(receive_counts: Callable[[PushedCounts], None]) -> list[Route]:
    """Return the HTTP route that receives counts of other nodes."""

    async def receive(pushed: PushedCounts) -> CountsTaken:
        receive_counts(pushed)
        return CountsTaken()

    return [message_route(PUSH_PATH, (PushedCounts,), receive)]
