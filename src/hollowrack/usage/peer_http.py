"""Hands counts of usage to other nodes over HTTP."""

from collections.abc import Callable

import aiohttp
from absl import logging
from starlette.routing import Route

from hollowrack.messages.node_http import (
    NodeSilentError,
    NodeUnreachableError,
    ask_node,
    question_route,
)
from hollowrack.usage.types import CountsTaken, ProcessCounts, PushedCounts

PUSH_PATH = "/counts"
# Nodes are a few milliseconds apart; a node that is silent for longer is frozen or cut off.
PUSH_TIMEOUT_S = 0.8


class HttpUsagePeers:
    """Hands counts over; see :class:`UsagePeers`.

    Args:
        session: HTTP session for nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def push(self, address: str, pushed: PushedCounts) -> bool:
        """Hand counts over."""
        try:
            answer = await ask_node(self._session, address, PUSH_PATH, pushed, PUSH_TIMEOUT_S)
        except (NodeUnreachableError, NodeSilentError) as error:
            logging.info("usage counts: not taken by the node at %s: %s", address, error)
            return False
        return isinstance(answer, CountsTaken)


def usage_routes(merge: Callable[[ProcessCounts], None]) -> list[Route]:
    """Return the route that takes counts of other nodes."""

    async def take(pushed: PushedCounts) -> CountsTaken:
        for counts in pushed.counts:
            merge(counts)
        return CountsTaken()

    return [question_route(PUSH_PATH, (PushedCounts,), take)]
