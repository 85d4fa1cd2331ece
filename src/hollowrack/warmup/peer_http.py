"""HTTP transport of permit requests between nodes."""

from collections.abc import Callable

import aiohttp
from starlette.routing import Route

from hollowrack.messages.node_http import (
    NodeNoResponseError,
    NodeUnreachableError,
    call_node,
    message_route,
)
from hollowrack.warmup.types import (
    PERMIT_TTL_S,
    PermitAnswer,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
)

PERMITS_PATH = "/cold-permits"


class HttpPermitPeers:
    """Client of the permit arbiter over HTTP; implements :class:`PermitPeers`.

    Args:
        session: HTTP session for requests to other nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def request(self, address: str, request: PermitRequest) -> PermitAnswer | None:
        """Send a request; ``None`` without a valid answer before its permits would expire."""
        try:
            answer = await call_node(self._session, address, PERMITS_PATH, request, PERMIT_TTL_S)
        except (NodeUnreachableError, NodeNoResponseError):
            return None
        return answer if isinstance(answer, PermitGrant | PermitRefusal) else None


def permit_routes(answer: Callable[[PermitRequest], PermitAnswer]) -> list[Route]:
    """Return the HTTP route that receives permit requests of other nodes.

    Args:
        answer: Handles a request and returns the answer to send.
    """

    async def receive_request(request: PermitRequest) -> PermitAnswer:
        return answer(request)

    return [message_route(PERMITS_PATH, (PermitRequest,), receive_request)]
