"""HTTP client and route for watches of other nodes' mirrors."""

import asyncio
from dataclasses import replace

import aiohttp
from starlette.routing import Route

from hollowrack.coordination.mirror_feed import MirrorFeed
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.messages.node_http import (
    NodeNoResponseError,
    NodeUnreachableError,
    call_node,
    message_route,
)

FEED_PATH = "/feed"
MAX_WAIT_S = 30.0
ANSWER_GRACE_S = 0.35


class HttpFeedClient:
    """Sends watches over HTTP; see :class:`hollowrack.coordination.shared_store.FeedClient`.

    Args:
        session: HTTP session for requests between nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Return the node's answer; ``None`` if it was unreachable or did not answer in time."""
        total_s = request.wait_s + ANSWER_GRACE_S
        try:
            answer = await call_node(self._session, address, FEED_PATH, request, total_s)
        except (NodeUnreachableError, NodeNoResponseError):
            return None
        return answer if isinstance(answer, SharedChanges) else None


def feed_routes(feed: MirrorFeed) -> list[Route]:
    """Return the HTTP routes that answer other nodes' watches."""

    async def watch(requested: WatchRequest) -> SharedChanges:
        wait_s = min(MAX_WAIT_S, max(0.0, requested.wait_s))
        async with asyncio.timeout(wait_s + MAX_WAIT_S):
            return await feed.watch(replace(requested, wait_s=wait_s))

    return [message_route(FEED_PATH, (WatchRequest,), watch)]
