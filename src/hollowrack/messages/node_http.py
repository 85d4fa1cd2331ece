"""Typed messages between nodes over HTTP: one question and one answer, both as CBOR."""

from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.messages import codec
from hollowrack.messages.idle_connections import MIN_SILENCE_S, close_idle_on_timeout
from hollowrack.results import DESCRIPTIONS, ResultCode

# Nodes are a few milliseconds apart; one that is gone or cut off does not answer at all.
CONNECT_TIMEOUT_S = 0.3
MEDIA_TYPE = "application/cbor"


class NodeUnreachableError(Exception):
    """No connection was made: the node has not seen the question."""


class NodeNoResponseError(Exception):
    """No answer came in time or whole: what the node did is unknown."""


async def call_node(
    session: aiohttp.ClientSession, address: str, path: str, request: object, timeout_s: float
) -> Any:
    """Send a message to a node and return the message that it answers.

    Args:
        session: HTTP session for nodes.
        address: ``IP:PORT`` of the node.
        path: Path of the question.
        request: A registered message.
        timeout_s: Longest wait for the whole answer, in seconds.

    Returns:
        The answer; ``None`` if it is no message.

    Raises:
        NodeUnreachableError: If the question was not sent.
        NodeNoResponseError: If it may have been sent and no whole answer came.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    body = codec.encode(request)
    url = f"http://{address}{path}"
    # The node may take nearly all of the time: only the time-out itself shows that it is silent.
    quiet_s = timeout_s - MIN_SILENCE_S
    try:
        with close_idle_on_timeout(session, url, quiet_s):
            async with session.post(url, data=body, timeout=timeout) as response:
                return codec.decode(await response.read()).value_or(None)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NodeUnreachableError(type(error).__name__) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise NodeNoResponseError(type(error).__name__) from error


def message_route(
    path: str, message_types: tuple[type, ...], handler: Callable[[Any], Awaitable[object]]
) -> Route:
    """Return a route that answers other nodes' questions.

    Anything but a message of these kinds is refused with ``MESSAGE_INVALID``.

    Args:
        path: Path of the questions.
        message_types: Types of messages that are answered.
        handler: Returns the answer, a registered message.
    """

    async def take(request: Request) -> Response:
        question = codec.decode(await request.body()).value_or(None)
        if not isinstance(question, message_types):
            expected = " or ".join(kind.__name__ for kind in message_types)
            detail = f"[{int(ResultCode.MESSAGE_INVALID)}] expected {expected}"
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(detail, status_code=status)
        return Response(codec.encode(await handler(question)), media_type=MEDIA_TYPE)

    return Route(path, take, methods=["POST"])
