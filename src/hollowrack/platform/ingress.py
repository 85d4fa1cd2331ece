"""ASGI applications for client and trainer requests and for readiness checks."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from absl import logging
from returns.result import Failure, Result
from starlette.types import Receive, Scope, Send

from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.forwarder import ForwardRequest, request_deadline_s
from hollowrack.forwarding.stream_forwarder import StreamForwarder, StreamHead
from hollowrack.forwarding.types import Route, RouteKind
from hollowrack.jobs.types import scoped_job_id
from hollowrack.platform import names
from hollowrack.platform.exchange import (
    JSON_HEADERS,
    ClientDisconnectedError,
    Exchange,
    send_complete,
)
from hollowrack.platform.job_format import decode_job, encode_page
from hollowrack.regions.allowed_regions import intersection
from hollowrack.results import Problem, ResultCode
from hollowrack.tenants.authentication import authenticate
from hollowrack.tenants.types import Tenant

HTTP_OK = 200
HTTP_ACCEPTED = 202
# A node reads its first configuration within a second of its start; other nodes have theirs.
NOT_CONFIGURED_RETRY_AFTER_S = 0.5
# Other nodes are ready when this one refuses requests, and new connections reach only those.
STOPPING_RETRY_AFTER_S = 0.0


class ReadinessApp:
    """Readiness endpoint: reports whether this node accepts client requests."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond with 200 if the node is ready, otherwise with 503."""
        del receive
        if scope["type"] == "http":
            status = HTTP_OK if self._node.is_ready else 503
            await send_complete(send, status, (), b"")


class IngressApp:
    """Serves client requests: plain requests, streams and jobs.

    Args:
        node: Node that serves the requests.
        streams: Forwarder of streams.
        answers: Counters of responses by name of the result code.
        max_configuration_age_s: Age of the configuration above which API keys are refused, in
            seconds; ``None`` to accept keys at any age.
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
        """Serve one request."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send, self._node, self._answers)
        with contextlib.suppress(ClientDisconnectedError):
            try:
                await self._answer(exchange)
            except ClientDisconnectedError:
                raise
            except asyncio.CancelledError:
                if exchange.has_started:
                    raise
                if exchange.may_have_run:
                    problem = _interrupted_problem(exchange.request_id)
                else:
                    problem = _stopping_problem(exchange.request_id)
                await exchange.send_problem(problem)
            except Exception:
                logging.exception("request %s failed with an unexpected error", exchange.request_id)
                if exchange.has_started:
                    raise
                problem = Problem(
                    ResultCode.INTERNAL_ERROR, "the request failed with an internal error"
                )
                await exchange.send_problem(problem)

    async def _answer(self, exchange: Exchange) -> None:
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
            await self._authenticated_job_call(exchange, names.JOBS_PATH, self._job_call)
        elif path.startswith(names.ITEMS_PATH):
            await self._authenticated_job_call(exchange, names.ITEMS_PATH, self._item_call)
        else:
            await self._serve_route(exchange)

    async def _serve_route(self, exchange: Exchange) -> None:
        routes = self._node.routes
        # An unknown path is reported as such without authentication, because it has no route that
        # says whether a key is required.
        route = routes.lookup(exchange.host, exchange.path)
        if route is None:
            problem = Problem(ResultCode.UNKNOWN_ROUTE, routes.describe(), exchange.path)
            await exchange.send_problem(self._problem_unless_stale(problem))
            return
        caller = self._authenticate(exchange, route.is_public)
        if isinstance(caller, Failure):
            await exchange.send_problem(caller.failure())
            return
        tenant = caller.unwrap()
        body = await exchange.read_body(routes.limits.max_body_bytes)
        if isinstance(body, Problem):
            await exchange.send_problem(body)
            return
        request = exchange.forward_request(route, body, tenant)
        is_submission = route.kind is RouteKind.JOB and exchange.method == "POST"
        if not self._accepts(None if is_submission else request_deadline_s(request)):
            await exchange.send_problem(_stopping_problem(exchange.request_id))
        elif is_submission:
            await self._submit(exchange, route, body, tenant)
        elif route.kind is RouteKind.STREAM:
            await self._stream(exchange, request)
        else:
            await self._forward(exchange, request)

    def _accepts(self, latest_end_s: float | None = None) -> bool:
        """Whether a request that has been read now can be answered before the process stops.

        Args:
            latest_end_s: Time by which it is answered or has failed by itself; ``None`` if unknown.
        """
        schedule = self._node.stop_schedule
        return schedule is None or schedule.accepts(now_s(), latest_end_s)

    def _authenticate(self, exchange: Exchange, is_public: bool) -> Result[Tenant | None, Problem]:
        tenants = self._node.routes.tenants
        if tenants and not is_public and self._is_configuration_too_old():
            detail = "the key may have been revoked since the configuration was read"
            problem = Problem(
                ResultCode.CONFIGURATION_OLD, detail, "", NOT_CONFIGURED_RETRY_AFTER_S
            )
            return Failure(problem)
        return authenticate(tenants, exchange.credentials, is_public).alt(
            self._problem_unless_stale
        )

    def _problem_unless_stale(self, problem: Problem) -> Problem:
        """Return the problem, or ``CONFIGURATION_OLD`` while the configuration may be stale.

        A key or route missing from a stale configuration may exist by now, and clients do not
        retry a request after a definitive error.
        """
        if not self._node.is_configuration_stale:
            return problem
        detail = f"{problem.code.name} according to {self._node.routes.describe()}"
        return Problem(
            ResultCode.CONFIGURATION_OLD, detail, problem.place, NOT_CONFIGURED_RETRY_AFTER_S
        )

    def _is_configuration_too_old(self) -> bool:
        max_age_s = self._max_configuration_age_s
        return max_age_s is not None and self._node.configuration_age_s > max_age_s

    async def _authenticated_job_call(
        self,
        exchange: Exchange,
        prefix: str,
        handler: Callable[[Exchange, str], Awaitable[None]],
    ) -> None:
        """Serve a call about a job after authentication; only the tenant's own jobs are visible."""
        is_public = self._node.routes.has_public_jobs(exchange.host)
        caller = self._authenticate(exchange, is_public)
        if isinstance(caller, Failure):
            await exchange.send_problem(caller.failure())
            return
        if not self._accepts():
            await exchange.send_problem(_stopping_problem(exchange.request_id))
            return
        tenant = caller.unwrap()
        caller_job_id = unquote(exchange.path.removeprefix(prefix))
        name = None if tenant is None else tenant.name
        await handler(exchange, scoped_job_id(name, caller_job_id))

    async def _forward(self, exchange: Exchange, request: ForwardRequest) -> None:
        outcome = await exchange.run_while_connected(self._node.forwarder.forward(request))
        if isinstance(outcome, Problem):
            await exchange.send_problem(outcome)
        else:
            await exchange.send(outcome.status, outcome.headers, outcome.body)

    async def _stream(self, exchange: Exchange, request: ForwardRequest) -> None:
        async with contextlib.aclosing(
            self._streams.forward(request, exchange.last_event)
        ) as parts:
            while True:
                try:
                    part = await exchange.run_while_connected(anext(parts))
                except StopAsyncIteration:
                    break
                if isinstance(part, Problem):
                    await exchange.send_problem(part)
                    return
                if isinstance(part, StreamHead):
                    await exchange.start_stream(part.status, part.headers)
                else:
                    await exchange.send_chunk(part)
        await exchange.finish()

    async def _submit(
        self, exchange: Exchange, route: Route, body: bytes, tenant: Tenant | None
    ) -> None:
        name = None if tenant is None else tenant.name
        job = decode_job(exchange.request_id, exchange.host, exchange.path, body, name)
        if isinstance(job, Failure):
            await exchange.send_problem(job.failure())
            return
        allowed_regions = intersection(
            (route.allowed_regions, None if tenant is None else tenant.allowed_regions)
        )
        submission = self._node.jobs.submit(job.unwrap(), allowed_regions)
        problem = await exchange.run_while_connected(submission)
        if problem is not None:
            await exchange.send_problem(problem)
        else:
            await exchange.send(HTTP_ACCEPTED, JSON_HEADERS, b"{}")

    async def _job_call(self, exchange: Exchange, job_id: str) -> None:
        if exchange.method == "DELETE":
            problem = await exchange.run_while_connected(self._node.jobs.end(job_id))
            if problem is not None:
                await exchange.send_problem(problem)
            else:
                await exchange.send(HTTP_OK, JSON_HEADERS, b"{}")
            return
        after = exchange.query_int("after-revision")
        if after is None:
            problem = Problem(
                ResultCode.BAD_REQUEST, "must be a non-negative integer", "after-revision"
            )
            await exchange.send_problem(problem)
            return
        page = await exchange.run_while_connected(
            self._node.jobs.read(job_id, after, exchange.wait_s)
        )
        if isinstance(page, Problem):
            await exchange.send_problem(page)
        else:
            await exchange.send(HTTP_OK, JSON_HEADERS, encode_page(page, after))

    async def _item_call(self, exchange: Exchange, job_id: str) -> None:
        item_id = exchange.query_value("id")
        item = await exchange.run_while_connected(self._node.jobs.item(job_id, item_id))
        if isinstance(item, Problem):
            await exchange.send_problem(item)
        else:
            headers = (("Content-Type", "application/octet-stream"),)
            await exchange.send(HTTP_OK, headers, item.body)


def _stopping_problem(request_id: str) -> Problem:
    """Return the problem of a request that arrives too late to be complete before a stop."""
    detail = "this node stops before the request could be complete"
    return Problem(ResultCode.STOPPING, detail, request_id, STOPPING_RETRY_AFTER_S)


def _interrupted_problem(request_id: str) -> Problem:
    """Return the problem of a request that was not complete at the end of a stop."""
    detail = "this node stopped before the request was complete"
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail, request_id)
