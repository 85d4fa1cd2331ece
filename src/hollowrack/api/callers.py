"""Callers' API: OpenAI-compatible completions, service pools and lookup of finished answers.

Headers: ``X-Request-Id`` identifies a request (generated if absent), ``Idempotency-Key`` identifies
a request that must run at most once, ``X-Tenant`` is its tenant and ``X-Timeout-S`` its timeout in
seconds.
"""

import asyncio
import json
import math
import uuid
from typing import Literal

from pydantic import Field
from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Message, Receive, Scope, Send

from hollowrack.api.responses import (
    RequestBody,
    problem_body,
    problem_response,
    read_body,
    read_json,
)
from hollowrack.clients.engine import TokenChunk
from hollowrack.clock import now_s
from hollowrack.observability.metrics import NodeMetrics
from hollowrack.requests.gateway import CompletionCall, Gateway, ServiceCall
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import Problem, ResultCode
from hollowrack.tasks import cancel_all

DEFAULT_TIMEOUT_S = 120.0
MAX_TIMEOUT_S = 3600.0
MAX_TOKENS_LIMIT = 131_072
MAX_IDENTIFIER_LENGTH = 200
DEFAULT_TENANT = "default"
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class CompletionBody(RequestBody):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = Field(default=256, ge=1, le=MAX_TOKENS_LIMIT)
    seed: int = Field(default=0, ge=0, lt=2**63)
    stream: bool = False


class ChatMessage(RequestBody):
    """One message of a chat."""

    role: Literal["system", "user", "assistant"]
    content: str


class ChatBody(RequestBody):
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    max_tokens: int = Field(default=256, ge=1, le=MAX_TOKENS_LIMIT)
    seed: int = Field(default=0, ge=0, lt=2**63)
    stream: bool = False

    def prompt(self) -> str:
        """Return the messages as one prompt."""
        return "".join(f"<{entry.role}>{entry.content}" for entry in self.messages) + "<assistant>"


class _CallHeaders:
    """The validated headers of a call.

    Raises:
        ValueError: If a header is invalid.
    """

    def __init__(self, request: Request) -> None:
        headers = request.headers
        key = headers.get("Idempotency-Key")
        self.is_unsafe = key is not None
        self.request_id = key or headers.get("X-Request-Id") or uuid.uuid4().hex
        if len(self.request_id) > MAX_IDENTIFIER_LENGTH:
            raise ValueError(
                f"the request identifier is longer than {MAX_IDENTIFIER_LENGTH} characters"
            )
        self.tenant = headers.get("X-Tenant", DEFAULT_TENANT)[:MAX_IDENTIFIER_LENGTH]
        self.timeout_s = float(headers.get("X-Timeout-S", DEFAULT_TIMEOUT_S))
        if not math.isfinite(self.timeout_s) or not 0 < self.timeout_s <= MAX_TIMEOUT_S:
            raise ValueError(f"X-Timeout-S must be above 0 and at most {MAX_TIMEOUT_S}")


class CallerApi:
    """Handlers of the callers' API.

    Args:
        gateway: Runs the requests.
        metrics: Metrics of the node.
        max_body_bytes: Maximum size of a request body.
    """

    def __init__(self, gateway: Gateway, metrics: NodeMetrics, max_body_bytes: int) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes

    def routes(self) -> list[Route]:
        """Return the routes of the API."""
        return [
            Route("/v1/completions", self._completions, methods=["POST"]),
            Route("/v1/chat/completions", self._chat, methods=["POST"]),
            Route("/v1/models", self._models, methods=["GET"]),
            Route("/v1/requests/{request_id:path}", self._read_answer, methods=["GET"]),
            Route("/v1/services/{pool}/{path:path}", self._service, methods=SERVICE_METHODS),
        ]

    async def _completions(self, request: Request) -> Response:
        body = await read_json(request, CompletionBody, self._max_body_bytes)
        if isinstance(body, Failure):
            return self._problem_response("completions", body.failure())
        values = body.unwrap()
        return await self._complete(request, values, values.prompt, is_chat=False)

    async def _chat(self, request: Request) -> Response:
        body = await read_json(request, ChatBody, self._max_body_bytes)
        if isinstance(body, Failure):
            return self._problem_response("completions", body.failure())
        values = body.unwrap()
        return await self._complete(request, values, values.prompt(), is_chat=True)

    async def _complete(
        self, request: Request, body: CompletionBody | ChatBody, prompt: str, is_chat: bool
    ) -> Response:
        headers = self._headers(request)
        if isinstance(headers, Failure):
            return self._problem_response("completions", headers.failure())
        call_headers = headers.unwrap()
        call = CompletionCall(
            request_id=call_headers.request_id,
            tenant=call_headers.tenant,
            model=body.model,
            prompt=prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
            timeout_s=call_headers.timeout_s,
            is_unsafe=call_headers.is_unsafe,
            is_chat=is_chat,
        )
        if body.stream:
            return CompletionStream(call, self._gateway, self._metrics)
        started_s = now_s()
        result = await self._gateway.complete(call)
        return self._response("completions", call.request_id, started_s, result)

    async def _service(self, request: Request) -> Response:
        headers = self._headers(request)
        if isinstance(headers, Failure):
            return self._problem_response("services", headers.failure())
        body = await read_body(request, self._max_body_bytes)
        if isinstance(body, Failure):
            return self._problem_response("services", body.failure())
        call_headers = headers.unwrap()
        path = request.path_params["path"]
        if request.url.query:
            path = f"{path}?{request.url.query}"
        call = ServiceCall(
            request_id=call_headers.request_id,
            tenant=call_headers.tenant,
            pool=request.path_params["pool"],
            method=request.method,
            path=path,
            headers=request.headers,
            body=body.unwrap(),
            is_unsafe=call_headers.is_unsafe,
        )
        started_s = now_s()
        result = await self._gateway.call_service(call)
        return self._response("services", call.request_id, started_s, result)

    async def _read_answer(self, request: Request) -> Response:
        request_id = request.path_params["request_id"]
        result = await self._gateway.read(request_id)
        return self._response("requests", request_id, now_s(), result)

    async def _models(self, request: Request) -> Response:
        del request
        bundle = self._gateway.bundle
        models = sorted(bundle.models) if bundle is not None else []
        data = [{"id": model, "object": "model"} for model in models]
        return JSONResponse({"object": "list", "data": data})

    def _headers(self, request: Request) -> Result[_CallHeaders, Problem]:
        try:
            return Success(_CallHeaders(request))
        except ValueError as error:
            return Failure(Problem(ResultCode.BAD_REQUEST, f"{error}.", "headers"))

    def _response(
        self,
        endpoint: str,
        request_id: str,
        started_s: float,
        result: Result[RecordedAnswer, Problem],
    ) -> Response:
        if isinstance(result, Failure):
            return self._problem_response(endpoint, result.failure(), request_id)
        answer = result.unwrap()
        self._metrics.requests.labels(face=endpoint, code=ResultCode.OK.name).inc()
        self._metrics.request_seconds.labels(face=endpoint).observe(now_s() - started_s)
        return Response(
            answer.body,
            status_code=answer.http_status,
            media_type=answer.content_type,
            headers={"X-Request-Id": request_id},
        )

    def _problem_response(self, endpoint: str, problem: Problem, request_id: str = "") -> Response:
        self._metrics.requests.labels(face=endpoint, code=problem.code.name).inc()
        response = problem_response(problem)
        if request_id:
            response.headers["X-Request-Id"] = request_id
        return response


_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]
_DONE_EVENT = b"data: [DONE]\n\n"


class CompletionStream(Response):
    """Streams a completion as server-sent events.

    The last event before ``[DONE]`` contains the number of tokens and the version spans. A stream
    without ``[DONE]`` is incomplete. The generation is cancelled if the caller disconnects.
    """

    def __init__(self, call: CompletionCall, gateway: Gateway, metrics: NodeMetrics) -> None:
        super().__init__()
        self._call = call
        self._gateway = gateway
        self._metrics = metrics
        self._is_started = False
        self._num_tokens = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the generation until it ends or the caller disconnects."""
        started_s = now_s()
        generation = asyncio.create_task(self._run(send))
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        done, _ = await asyncio.wait({generation, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        disconnect.cancel()
        if generation not in done:
            await cancel_all(generation)
            self._metrics.requests.labels(face="completions", code="CALLER_GONE").inc()
            return
        code = generation.result()
        self._metrics.requests.labels(face="completions", code=code.name).inc()
        self._metrics.request_seconds.labels(face="completions").observe(now_s() - started_s)

    async def _run(self, send: Send) -> ResultCode:
        async def on_chunks(chunks: list[TokenChunk]) -> None:
            await self._send_start(send)
            events = b"".join(self._event(chunk) for chunk in chunks)
            await send(_body_message(events, more=True))

        result = await self._gateway.complete(self._call, on_chunks)
        if isinstance(result, Success):
            await self._send_answer(send, result.unwrap())
            return ResultCode.OK
        problem = result.failure()
        if self._is_started:
            event = b"event: error\ndata: " + json.dumps(problem_body(problem)).encode() + b"\n\n"
            await send(_body_message(event, more=False))
        else:
            await self._send_problem(send, problem)
        return problem.code

    async def _send_start(self, send: Send) -> None:
        if not self._is_started:
            self._is_started = True
            request_id = (b"x-request-id", self._call.request_id.encode())
            await send(_start_message(200, [*_STREAM_HEADERS, request_id]))

    async def _send_answer(self, send: Send, answer: RecordedAnswer) -> None:
        if self._num_tokens == 0:
            # The stored answer of another attempt is sent in one event.
            await self._send_start(send)
        await send(_body_message(b"data: " + answer.body + b"\n\n" + _DONE_EVENT, more=False))

    async def _send_problem(self, send: Send, problem: Problem) -> None:
        response = problem_response(problem)
        await send(_start_message(response.status_code, response.raw_headers))
        await send(_body_message(bytes(response.body), more=False))

    def _event(self, chunk: TokenChunk) -> bytes:
        self._num_tokens += chunk.num_tokens
        text = json.dumps(chunk.text)
        content = f'"delta":{{"content":{text}}}' if self._call.is_chat else f'"text":{text}'
        return (
            f'data: {{"id":{json.dumps(self._call.request_id)},"choices":[{{"index":0,{content},'
            f'"finish_reason":null}}],"hollowrack":{{"token_index":{chunk.token_index},'
            f'"weight_version":{chunk.weight_version}}}}}\n\n'
        ).encode()


def _start_message(status: int, headers: list[tuple[bytes, bytes]]) -> Message:
    return {"type": "http.response.start", "status": status, "headers": headers}


def _body_message(data: bytes, more: bool) -> Message:
    return {"type": "http.response.body", "body": data, "more_body": more}


async def _wait_for_disconnect(receive: Receive) -> None:
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
