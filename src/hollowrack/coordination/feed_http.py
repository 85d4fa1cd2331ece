"""Followers' watches over HTTP, with CBOR bodies."""

import asyncio
from dataclasses import replace

import aiohttp
from returns.result import Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.coordination.sharing import MirrorFeed, SharedChanges, WatchRequest
from hollowrack.messages import codec
from hollowrack.results import DESCRIPTIONS, ResultCode

FEED_PATH = "/feed"
MAX_WAIT_S = 30.0
ANSWER_GRACE_S = 0.35
CONNECT_TIMEOUT_S = 0.3


class HttpFeedClient:
    """Sends watches to other nodes; see :class:`hollowrack.coordination.sharing.FeedClient`.

    Args:
        session: HTTP session for nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Return the node's answer; ``None`` if there was none in time."""
        timeout = aiohttp.ClientTimeout(
            total=request.wait_s + ANSWER_GRACE_S, sock_connect=CONNECT_TIMEOUT_S
        )
        url = f"http://{address}{FEED_PATH}"
        try:
            async with self._session.post(
                url, data=codec.encode(request), timeout=timeout
            ) as response:
                decoded = codec.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        if isinstance(decoded, Success) and isinstance(decoded.unwrap(), SharedChanges):
            answer: SharedChanges = decoded.unwrap()
            return answer
        return None


def feed_routes(feed: MirrorFeed) -> list[Route]:
    """Return the routes that answer other nodes' watches."""

    async def watch(request: Request) -> Response:
        decoded = codec.decode(await request.body())
        if not isinstance(decoded, Success) or not isinstance(decoded.unwrap(), WatchRequest):
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(f"[{int(ResultCode.MESSAGE_INVALID)}] no watch", status_code=status)
        asked: WatchRequest = decoded.unwrap()
        wait_s = min(MAX_WAIT_S, max(0.0, asked.wait_s))
        async with asyncio.timeout(wait_s + MAX_WAIT_S):
            answer = await feed.watch(replace(asked, wait_s=wait_s))
        return Response(codec.encode(answer), media_type="application/cbor")

    return [Route(FEED_PATH, watch, methods=["POST"])]
