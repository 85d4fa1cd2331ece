"""Client of service workers: unary HTTP requests."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import aiohttp

from hollowrack.requests.types import RecordedAnswer

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# A worker that did not run a request answers 429, or 503 with this header.
NOT_RUN_HEADER = "X-Not-Run"
_FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key", "X-Request-Id")


@dataclass(frozen=True)
class ServiceRequest:
    """Request to a service pool.

    Attributes:
        request_id: Identifier of the request.
        tenant: Tenant of the caller.
        pool: Name of the service pool.
        method: HTTP method.
        path: Path and query, relative to the worker's root.
        headers: Headers of the caller's request.
        body: Body of the caller's request.
        is_safe: Whether the request may be retried after it may have run.
        zone: Zone of this node.
        timeout_s: Timeout of the request, in seconds.
    """

    request_id: str
    tenant: str
    pool: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    is_safe: bool
    zone: str
    timeout_s: float


class ServiceUnreachableError(Exception):
    """No connection was established, so the worker has not received the request."""


class ServiceRefusedError(Exception):
    """The worker rejected the request without running it."""


class ServiceNoResponseError(Exception):
    """The request was sent, but no complete answer arrived; it may have run."""


class ServiceClient(Protocol):
    """Sends requests to service workers."""

    async def send(self, request: ServiceRequest, address: str, timeout_s: float) -> RecordedAnswer:
        """Send a request to one worker and return the complete answer.

        Raises:
            ServiceUnreachableError: If the request was not sent.
            ServiceRefusedError: If the worker did not run the request.
            ServiceNoResponseError: If the request may have run.
        """


class HttpServiceClient:
    """Client of service workers over HTTP.

    Args:
        session: HTTP session for safe requests.
        fresh_session: HTTP session for other requests, which never reuses a connection: the worker
            may close an idle connection while a request is sent, which leaves the outcome unknown.
    """

    def __init__(
        self, session: aiohttp.ClientSession, fresh_session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session

    async def send(self, request: ServiceRequest, address: str, timeout_s: float) -> RecordedAnswer:
        """Send a request; see :class:`ServiceClient`."""
        try:
            return await self._send(request, address, timeout_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ServiceUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServiceNoResponseError(f"{type(error).__name__}: {error}") from error

    async def _send(
        self, request: ServiceRequest, address: str, timeout_s: float
    ) -> RecordedAnswer:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = {
            name: request.headers[name] for name in _FORWARDED_HEADERS if name in request.headers
        }
        session = self._session if request.is_safe else self._fresh_session
        url = f"http://{address}/{request.path.lstrip('/')}"
        async with session.request(
            request.method, url, data=request.body, headers=headers, timeout=timeout
        ) as response:
            if _is_refusal(response):
                raise ServiceRefusedError(f"HTTP {response.status}")
            body = await _read_bounded(response)
            content_type = response.headers.get("Content-Type", "application/octet-stream")
            return RecordedAnswer(response.status, content_type, body)


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return True
    return response.status == HTTPStatus.SERVICE_UNAVAILABLE and NOT_RUN_HEADER in response.headers


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    parts: list[bytes] = []
    num_bytes = 0
    async for part in response.content.iter_any():
        num_bytes += len(part)
        if num_bytes > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
    return b"".join(parts)
