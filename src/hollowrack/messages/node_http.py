"""Typed messages between nodes over HTTP: request and answer are CBOR bodies of a POST."""

from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.messages import codec
from hollowrack.messages.idle_connections import MIN_SILENCE_S, close_idle_on_timeout
from hollowrack.results import DESCRIPTIONS, ResultCode

# Many times the round trip between nodes; a partitioned node never completes the handshake.
CONNECT_TIMEOUT_S = 0.3
MEDIA_TYPE = "application/cbor"


class NodeUnreachableError(Exception):
    """No connection was established, so the node has not received the request."""


class NodeNoResponseError(Exception):
    """No complete answer arrived in time.

    Whether the node has handled the request is unknown.
    """


async def call_node(
    session: aiohttp.ClientSession, address: str, path: str, request: object, timeout_s: float
) -> Any:
    """Send a message to a node and return the answer.

    Args:
        session: HTTP session for requests between nodes.
        address: ``IP:PORT`` of the node.
        path: Path of the route that handles the message.
        request: A registered message.
        timeout_s: Timeout of the whole call, in seconds.

    Returns:
        The decoded answer; ``None`` if the body is not a valid message.

    Raises:
        NodeUnreachableError: If the request was not sent.
        NodeNoResponseError: If the request may have been sent and no complete answer arrived.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    body = codec.encode(request)
    url = f"http://{address}{path}"
    # The node may use the whole timeout; connections are closed only when it expires.
    expected_wait_s = timeout_s - MIN_SILENCE_S
    try:
        with close_idle_on_timeout(session, url, expected_wait_s):
            async with session.post(url, data=body, timeout=timeout) as response:
                return codec.decode(await response.read()).value_or(None)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NodeUnreachableError(type(error).__name__) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise NodeNoResponseError(type(error).__name__) from error


def message_route(
    path: str, message_types: tuple[type, ...], handler: Callable[[Any], Awaitable[object]]
) -> Route:
    """Return a route that handles messages of other nodes.

    A body that is not a message of these types is rejected with ``MESSAGE_INVALID``.

    Args:
        path: Path of the route.
        message_types: Types of messages that the route accepts.
        handler: Handles a message and returns the answer, a registered message.
    """

    async def handle(request: Request) -> Response:
        message = codec.decode(await request.body()).value_or(None)
        if not isinstance(message, message_types):
            expected = " or ".join(kind.__name__ for kind in message_types)
            detail = f"[{int(ResultCode.MESSAGE_INVALID)}] expected {expected}"
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(detail, status_code=status)
        return Response(codec.encode(await handler(message)), media_type=MEDIA_TYPE)

    return Route(path, handle, methods=["POST"])
