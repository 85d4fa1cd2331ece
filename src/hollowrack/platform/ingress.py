"""The platform's face towards clients and trainers: requests in, answers out."""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import parse_qs, unquote

from absl import logging
from returns.result import Failure, Result
from starlette.types import Message, Receive, Scope, Send

from hollowrack.api.responses import problem_body
from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall, Headers
from hollowrack.forwarding.forwarder import ForwardRequest
from hollowrack.forwarding.stream_forwarder import StreamForwarder, StreamHead
from hollowrack.forwarding.types import Route, RouteKind
from hollowrack.jobs.types import scoped_job_id
from hollowrack.platform import names
from hollowrack.platform.job_format import decode_job, encode_page
from hollowrack.platform.worker_client import forwarded_headers
from hollowrack.results import DESCRIPTIONS, Problem, ResultCode
from hollowrack.tenants.authentication import authenticate
from hollowrack.tenants.types import Tenant

MS_PER_S = 1000
MAX_WAIT_S = 1.0
HTTP_OK = 200
HTTP_ACCEPTED = 202
JSON_HEADERS: Headers = (("Content-Type", "application/json"),)
NOT_CONFIGURED_RETRY_AFTER_S = 0.5

Value = TypeVar("Value")


class CallerLeftError(Exception):
    """The client closed its connection."""


class ReadinessApp:
    """Answers whether this node takes clients."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer 200 or 503."""
        del receive
        if scope["type"] == "http":
            status = HTTP_OK if self._node.is_ready else 503
            await _send_whole(send, status, (), b"")


class IngressApp:
    """Answers clients; see the platform's page on requests and batch jobs.

    Args:
        node: The node.
        streams: Forwards streams.
        answers: Counts answers by the name of their result code.
        max_configuration_age_s: Keys are refused once the store's last answer is older than this,
            in seconds; ``None`` to serve on by the configuration that is known.
    """

    def __init__(
        self,
        node: EdgeNode,
        streams: StreamForwarder,
        answers: Counter[str],
        max_configuration_age_s: float | None = None,
    ) -> None:
        self._node = node
        self._streams = streams
        self._answers = answers
        self._max_configuration_age_s = max_configuration_age_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        exchange = _Exchange(scope, receive, send, self._node, self._answers)
        with contextlib.suppress(CallerLeftError):
            try:
                await self._answer(exchange)
            except CallerLeftError:
                raise
            except Exception:
                logging.exception("request %s failed here", exchange.request_id)
                if exchange.has_begun:
                    raise
                problem = Problem(ResultCode.INTERNAL_ERROR, "the request failed here")
                await exchange.send_problem(problem)

    async def _answer(self, exchange: "_Exchange") -> None:
        path = exchange.path
        if self._node.routes.version is None:
            await exchange.send_problem(
                Problem(
                    ResultCode.NOT_CONFIGURED,
                    "no configuration has been read yet",
                    exchange.path,
                    NOT_CONFIGURED_RETRY_AFTER_S,
                )
            )
        elif path.startswith(names.JOBS_PATH):
            await self._about_job(exchange, names.JOBS_PATH, self._job_call)
        elif path.startswith(names.ITEMS_PATH):
            await self._about_job(exchange, names.ITEMS_PATH, self._item_call)
        else:
            await self._routed(exchange)

    async def _routed(self, exchange: "_Exchange") -> None:
        routes = self._node.routes
        # A caller without a key learns no more than which paths have routes: an unknown one is
        # told as such, as whether it would need a key is not known either.
        route = routes.lookup(exchange.host, exchange.path)
        if route is None:
            await exchange.send_problem(
                Problem(ResultCode.UNKNOWN_ROUTE, f"version {routes.version}", exchange.path)
            )
            return
        caller = self._authenticate(exchange, route.is_public)
        if isinstance(caller, Failure):
            await exchange.send_problem(caller.failure())
            return
        tenant = caller.unwrap()
        body = await exchange.read_body(routes.limits.max_body_bytes)
        if isinstance(body, Problem):
            await exchange.send_problem(body)
        elif route.kind is RouteKind.JOB and exchange.method == "POST":
            await self._submit(exchange, body, tenant)
        elif route.kind is RouteKind.STREAM:
            await self._stream(exchange, exchange.forward_request(route, body, tenant))
        else:
            await self._forward(exchange, exchange.forward_request(route, body, tenant))

    def _authenticate(
        self, exchange: "_Exchange", is_public: bool
    ) -> Result[Tenant | None, Problem]:
        tenants = self._node.routes.tenants
        if tenants and not is_public and self._is_configuration_old():
            detail = "a key may have been taken away meanwhile"
            problem = Problem(
                ResultCode.CONFIGURATION_OLD, detail, "", NOT_CONFIGURED_RETRY_AFTER_S
            )
            return Failure(problem)
        return authenticate(tenants, exchange.credentials, is_public)

    def _is_configuration_old(self) -> bool:
        max_age_s = self._max_configuration_age_s
        return max_age_s is not None and self._node.configuration_age_s > max_age_s

    async def _about_job(
        self,
        exchange: "_Exchange",
        prefix: str,
        answer: Callable[["_Exchange", str], Awaitable[None]],
    ) -> None:
        """Answer a call about a job, which is looked for among those of the caller's tenant."""
        is_public = self._node.routes.has_public_jobs(exchange.host)
        caller = self._authenticate(exchange, is_public)
        if isinstance(caller, Failure):
            await exchange.send_problem(caller.failure())
            return
        tenant = caller.unwrap()
        caller_job_id = unquote(exchange.path.removeprefix(prefix))
        name = None if tenant is None else tenant.name
        await answer(exchange, scoped_job_id(name, caller_job_id))

    async def _forward(self, exchange: "_Exchange", request: ForwardRequest) -> None:
        outcome = await exchange.while_connected(self._node.forwarder.forward(request))
        if isinstance(outcome, Problem):
            await exchange.send_problem(outcome)
        else:
            await exchange.send(outcome.status, outcome.headers, outcome.body)

    async def _stream(self, exchange: "_Exchange", request: ForwardRequest) -> None:
        async with contextlib.aclosing(
            self._streams.forward(request, exchange.last_event)
        ) as parts:
            while True:
                try:
                    part = await exchange.while_connected(anext(parts))
                except StopAsyncIteration:
                    break
                if isinstance(part, Problem):
                    await exchange.send_problem(part)
                    return
                if isinstance(part, StreamHead):
                    await exchange.begin(part.status, part.headers)
                else:
                    await exchange.send_chunk(part)
        await exchange.finish()

    async def _submit(self, exchange: "_Exchange", body: bytes, tenant: Tenant | None) -> None:
        name = None if tenant is None else tenant.name
        job = decode_job(exchange.request_id, exchange.host, exchange.path, body, name)
        if isinstance(job, Failure):
            await exchange.send_problem(job.failure())
            return
        problem = await exchange.while_connected(self._node.jobs.submit(job.unwrap()))
        if problem is not None:
            await exchange.send_problem(problem)
        else:
            await exchange.send(HTTP_ACCEPTED, JSON_HEADERS, b"{}")

    async def _job_call(self, exchange: "_Exchange", job_id: str) -> None:
        if exchange.method == "DELETE":
            problem = await exchange.while_connected(self._node.jobs.end(job_id))
            if problem is not None:
                await exchange.send_problem(problem)
            else:
                await exchange.send(HTTP_OK, JSON_HEADERS, b"{}")
            return
        after = exchange.whole_number("after-revision")
        if after is None:
            problem = Problem(ResultCode.BAD_REQUEST, "must be a whole number", "after-revision")
            await exchange.send_problem(problem)
            return
        page = await exchange.while_connected(self._node.jobs.read(job_id, after, exchange.wait_s))
        if isinstance(page, Problem):
            await exchange.send_problem(page)
        else:
            await exchange.send(HTTP_OK, JSON_HEADERS, encode_page(page, after))

    async def _item_call(self, exchange: "_Exchange", job_id: str) -> None:
        item_id = exchange.query_value("id")
        item = await exchange.while_connected(self._node.jobs.item(job_id, item_id))
        if isinstance(item, Problem):
            await exchange.send_problem(item)
        else:
            headers = (("Content-Type", "application/octet-stream"),)
            await exchange.send(HTTP_OK, headers, item.body)


class _Exchange:
    """One request and its answer over ASGI."""

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

    def whole_number(self, name: str) -> int | None:
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
                raise CallerLeftError
            part = message.get("body", b"")
            num_bytes += len(part)
            if num_bytes > max_bytes:
                detail = f"the body is over {max_bytes} bytes"
                return Problem(ResultCode.BODY_TOO_LARGE, detail, "body")
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def while_connected(self, work: Awaitable[Value]) -> Value:
        """Do work, and cancel it at once if the client leaves.

        Raises:
            CallerLeftError: If the client left first.
        """
        working = asyncio.ensure_future(work)
        leaving = asyncio.ensure_future(self._until_left())
        try:
            await asyncio.wait({working, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if working.done():
                return working.result()
            raise CallerLeftError
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
        await _send_whole(self._send, status, (*headers, *self._closing()), body)

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

    async def begin(self, status: int, headers: Headers) -> None:
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


async def _send_whole(send: Send, status: int, headers: Headers, body: bytes) -> None:
    await send(_head(status, (*headers, ("Content-Length", str(len(body))))))
    await send({"type": "http.response.body", "body": body})
