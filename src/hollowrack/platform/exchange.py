"""One client's request and its answer over ASGI."""

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
from hollowrack.results import DESCRIPTIONS, Problem, ResultCode
from hollowrack.tenants.types import Tenant

MS_PER_S = 1000
# Clients ask for answers to be held this long at the most.
MAX_WAIT_S = 1.0
JSON_HEADERS: Headers = (("Content-Type", "application/json"),)

Value = TypeVar("Value")


class ClientDisconnectedError(Exception):
    """The client closed its connection."""


class Exchange:
    """One request and its answer.

    Args:
        scope: The request's head.
        receive: Receives its body, and its client's leaving.
        send: Sends its answer.
        node: The node that answers.
        answers: Counts answers by the name of their result code.

    Attributes:
        method: HTTP method.
        path: Path as the client sent it, without the query.
        has_begun: Whether the answer has begun.
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
        self._by_name = {name.lower(): value for name, value in self._headers}
        self._receive = receive
        self._send = send
        self._node = node
        self._received_s = now_s()
        self.has_begun = False

    @property
    def host(self) -> str:
        """The host asked for."""
        return self._header("host").lower()

    @property
    def request_id(self) -> str:
        """The client's identifier of this attempt."""
        return self._header(names.REQUEST_ID)

    @property
    def wait_s(self) -> float:
        """How long an answer may be held until there is something to tell, in seconds."""
        wait = self._header(names.WAIT_MS)
        return min(MAX_WAIT_S, int(wait) / MS_PER_S) if wait.isdigit() else 0.0

    @property
    def last_event(self) -> int | None:
        """The event behind which a stream is to go on."""
        number = self._header(names.LAST_EVENT_ID)
        return int(number) if number.isdigit() else None

    @property
    def credentials(self) -> list[str]:
        """The values of all credential headers."""
        name = names.CREDENTIALS.lower()
        return [value for header, value in self._headers if header.lower() == name]

    def query_value(self, name: str) -> str:
        """Return a query parameter, or an empty text."""
        return parse_qs(self._query).get(name, [""])[0]

    def query_int(self, name: str) -> int | None:
        """Return a query parameter as a number, 0 if it is absent, ``None`` if it is none."""
        value = self.query_value(name)
        if not value:
            return 0
        return int(value) if value.isdigit() else None

    def forward_request(self, route: Route, body: bytes, tenant: Tenant | None) -> ForwardRequest:
        """Build the request that goes to a worker."""
        target = f"{self.path}?{self._query}" if self._query else self.path
        call = BackEndCall(
            self.request_id,
            self.method,
            target,
            forwarded_headers(self._headers, has_credentials=bool(self._node.routes.tenants)),
            body,
            route.priority if tenant is None or tenant.priority is None else tenant.priority,
            None if tenant is None else tenant.name,
        )
        deadline = self._header(names.DEADLINE_MS)
        deadline_s = self._received_s + int(deadline) / MS_PER_S if deadline.isdigit() else None
        return ForwardRequest(call, route, deadline_s)

    async def read_body(self, max_bytes: int) -> bytes | Problem:
        """Read the whole body, up to a limit."""
        parts: list[bytes] = []
        num_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError
            part = message.get("body", b"")
            num_bytes += len(part)
            if num_bytes > max_bytes:
                detail = f"the body is over {max_bytes} bytes"
                return Problem(ResultCode.BODY_TOO_LARGE, detail, "body")
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def run_while_connected(self, work: Awaitable[Value]) -> Value:
        """Do work, and cancel it at once if the client leaves.

        Raises:
            ClientDisconnectedError: If the client left first.
        """
        working = asyncio.ensure_future(work)
        leaving = asyncio.ensure_future(self._until_left())
        try:
            await asyncio.wait({working, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if working.done():
                return working.result()
            raise ClientDisconnectedError
        finally:
            for task in (working, leaving):
                if not task.done():
                    task.cancel()
            await asyncio.gather(working, leaving, return_exceptions=True)

    async def _until_left(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        self._answers[ResultCode.OK.name] += 1
        await self._send_answer(status, headers, body)

    async def _send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.has_begun = True
        await send_whole(self._send, status, (*headers, *self._closing()), body)

    async def send_problem(self, problem: Problem) -> None:
        """Send the answer that stands for a problem."""
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
        """Send the head of a streamed answer."""
        self._answers[ResultCode.OK.name] += 1
        self.has_begun = True
        message = _head(status, (*headers, *self._closing()))
        await self._send(message)

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a piece of a streamed answer."""
        await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def finish(self) -> None:
        """End a streamed answer as complete."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    def _closing(self) -> Headers:
        return (("Connection", "close"),) if self._node.is_stopping else ()

    def _header(self, name: str) -> str:
        return self._by_name.get(name.lower(), "")


def _head(status: int, headers: Headers) -> Message:
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    return {"type": "http.response.start", "status": status, "headers": encoded}


async def send_whole(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send an answer whose body is known."""
    await send(_head(status, (*headers, ("Content-Length", str(len(body))))))
    await send({"type": "http.response.body", "body": body})
