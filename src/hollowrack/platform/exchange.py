"""A client's request and its response over ASGI."""

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qs

from absl import logging
from starlette.types import Message, Receive, Scope, Send

from hollowrack.api.responses import problem_body
from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall, Headers
from hollowrack.forwarding.forwarder import ForwardRequest
from hollowrack.forwarding.types import Route
from hollowrack.platform import names
from hollowrack.platform.worker_client import forwarded_headers
from hollowrack.regions.allowed_regions import intersection
from hollowrack.results import DESCRIPTIONS, Problem, ResultCode
from hollowrack.tenants.types import Tenant

MS_PER_S = 1000
# Upper bound of the wait that clients can request.
MAX_WAIT_S = 1.0
JSON_HEADERS: Headers = (("Content-Type", "application/json"),)

Value = TypeVar("Value")


class ClientDisconnectedError(Exception):
    """The client closed its connection before the response was complete."""


class Exchange:
    """One HTTP request and its response.

    Args:
        scope: ASGI scope of the request.
        receive: Receives the body and the disconnect message.
        send: Sends the response.
        node: Node that serves the request.
        answers: Counters of responses by name of the result code.

    Attributes:
        method: HTTP method.
        path: Raw path without the query.
        has_started: Whether the response has started.
        may_have_run: Whether work for the request has begun.
    """

    def __init__(
        self, scope: Scope, receive: Receive, send: Send, node: EdgeNode, answers: Counter[str]
    ) -> None:
        self._answers = answers
        self.method: str = scope["method"]
        self.path: str = scope["raw_path"].decode("latin-1")
        self._query: str = scope["query_string"].decode("latin-1")
        self._headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        )
        self._values_by_name = {name.lower(): value for name, value in self._headers}
        self._receive = receive
        self._send = send
        self._node = node
        self._received_s = now_s()
        self.has_started = False
        self.may_have_run = False

    @property
    def host(self) -> str:
        """Value of the ``Host`` header in lower case."""
        return self._header("host").lower()

    @property
    def request_id(self) -> str:
        """Identifier that the client gave this request."""
        return self._header(names.REQUEST_ID)

    @property
    def wait_s(self) -> float:
        """Requested wait for new results, in seconds, bounded by ``MAX_WAIT_S``."""
        wait = self._header(names.WAIT_MS)
        return min(MAX_WAIT_S, int(wait) / MS_PER_S) if wait.isdigit() else 0.0

    @property
    def last_event(self) -> int | None:
        """Number of the event after which a stream resumes; ``None`` to start at the beginning."""
        number = self._header(names.LAST_EVENT_ID)
        return int(number) if number.isdigit() else None

    @property
    def credentials(self) -> list[str]:
        """Values of all credential headers."""
        name = names.CREDENTIALS.lower()
        return [value for header, value in self._headers if header.lower() == name]

    def query_value(self, name: str) -> str:
        """Return a query parameter; empty if it is absent."""
        return parse_qs(self._query).get(name, [""])[0]

    def query_int(self, name: str) -> int | None:
        """Return a query parameter; 0 if absent, ``None`` if not a non-negative integer."""
        value = self.query_value(name)
        if not value:
            return 0
        return int(value) if value.isdigit() else None

    def forward_request(self, route: Route, body: bytes, tenant: Tenant | None) -> ForwardRequest:
        """Build the request that is forwarded to a worker."""
        target = f"{self.path}?{self._query}" if self._query else self.path
        call = BackEndCall(
            self.request_id,
            self.method,
            target,
            forwarded_headers(self._headers, has_credentials=bool(self._node.routes.tenants)),
            body,
            route.priority if tenant is None or tenant.priority is None else tenant.priority,
            None if tenant is None else tenant.name,
            intersection(
                (route.allowed_regions, None if tenant is None else tenant.allowed_regions)
            ),
        )
        deadline = self._header(names.DEADLINE_MS)
        deadline_s = self._received_s + int(deadline) / MS_PER_S if deadline.isdigit() else None
        return ForwardRequest(call, route, deadline_s)

    async def read_body(self, max_bytes: int) -> bytes | Problem:
        """Read the whole body; returns ``BODY_TOO_LARGE`` if it exceeds the limit.

        Raises:
            ClientDisconnectedError: If the client disconnects first.
        """
        parts: list[bytes] = []
        num_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError
            part = message.get("body", b"")
            num_bytes += len(part)
            if num_bytes > max_bytes:
                detail = f"request body exceeds {max_bytes} bytes"
                return Problem(ResultCode.BODY_TOO_LARGE, detail, "body")
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def run_while_connected(self, work: Awaitable[Value]) -> Value:
        """Await work; cancel it as soon as the client disconnects.

        Raises:
            ClientDisconnectedError: If the client disconnects before the work is done.
        """
        self.may_have_run = True
        work_task = asyncio.ensure_future(work)
        disconnect_task = asyncio.ensure_future(self._wait_for_disconnect())
        try:
            await asyncio.wait({work_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
            if work_task.done():
                return work_task.result()
            raise ClientDisconnectedError
        finally:
            for task in (work_task, disconnect_task):
                if not task.done():
                    task.cancel()
            await asyncio.gather(work_task, disconnect_task, return_exceptions=True)

    async def _wait_for_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response and count it as ``OK``."""
        self._answers[ResultCode.OK.name] += 1
        await self._send_answer(status, headers, body)

    async def _send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.has_started = True
        await send_complete(self._send, status, (*headers, *self._connection_headers()), body)

    async def send_problem(self, problem: Problem) -> None:
        """Send the error response for a problem, and log it."""
        headers = JSON_HEADERS
        if problem.retry_after_s is not None:
            headers = (*headers, (names.RETRY_AFTER, f"{problem.retry_after_s:g}"))
        if DESCRIPTIONS[problem.code].http_status == HTTPStatus.UNAUTHORIZED:
            headers = (*headers, (names.CHALLENGE, names.CHALLENGE_VALUE))
        logging.info("request %s: %s", self.request_id, problem)
        self._answers[problem.code.name] += 1
        status = DESCRIPTIONS[problem.code].http_status
        await self._send_answer(status, headers, json.dumps(problem_body(problem)).encode())

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a streamed response."""
        self._answers[ResultCode.OK.name] += 1
        self.has_started = True
        message = _head(status, (*headers, *self._connection_headers()))
        await self._send(message)

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of a streamed response."""
        await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def finish(self) -> None:
        """Complete a streamed response."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    def _connection_headers(self) -> Headers:
        return (("Connection", "close"),) if self._node.is_stopping else ()

    def _header(self, name: str) -> str:
        return self._values_by_name.get(name.lower(), "")


def _head(status: int, headers: Headers) -> Message:
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    return {"type": "http.response.start", "status": status, "headers": encoded}


async def send_complete(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a response whose body is known in full."""
    await send(_head(status, (*headers, ("Content-Length", str(len(body))))))
    await send({"type": "http.response.body", "body": body})
