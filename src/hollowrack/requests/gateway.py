"""Caller requests on one node: admission, placement, at-most-once execution and kept answers."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from http import HTTPStatus

from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.bundle.schema import Bundle
from hollowrack.clients.engine import GenerationRequest
from hollowrack.clients.service import ServiceRequest
from hollowrack.clock import now_s
from hollowrack.observability.logs import log_fields
from hollowrack.requests.at_most_once import AtMostOnceRunner, RunRequest
from hollowrack.requests.claims import ClaimStatus
from hollowrack.requests.generation import ChunkSink, GenerationPlan, GenerationRunner
from hollowrack.requests.replicated_answers import ReplicatedAnswers
from hollowrack.requests.service_forwarder import ServiceForwarder
from hollowrack.requests.types import GeneratedText, RecordedAnswer
from hollowrack.results import Problem, ResultCode
from hollowrack.routing.prefix_index import prefix_blocks
from hollowrack.routing.types import BackEndKind, Priority, RouteRequest

STOPPING_RETRY_AFTER_S = 0.5
NO_BUNDLE_RETRY_AFTER_S = 1.0
JSON_TYPE = "application/json"


@dataclass(frozen=True)
class CompletionCall:
    """A caller's generation.

    Attributes:
        request_id: Identifier; also the key of the claim if the call is unsafe.
        tenant: Whose request it is.
        model: Model name.
        prompt: Text to continue.
        max_tokens: Longest answer, in tokens.
        seed: Sampling seed.
        timeout_s: How long the caller is prepared to wait, in seconds.
        is_unsafe: Whether it may run at most once.
        is_chat: Whether the answer takes the chat form.
    """

    request_id: str
    tenant: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    timeout_s: float
    is_unsafe: bool
    is_chat: bool


@dataclass(frozen=True)
class ServiceCall:
    """A caller's request to a service pool; see ``ServiceRequest``."""

    request_id: str
    tenant: str
    pool: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    is_unsafe: bool


@dataclass(frozen=True)
class GatewayParts:
    """What a gateway is made of."""

    zone: str
    generations: GenerationRunner
    services: ServiceForwarder
    at_most_once: AtMostOnceRunner
    answers: ReplicatedAnswers


class Gateway:
    """Runs caller requests.

    Args:
        parts: The parts of the node it uses.
        max_requests: Most requests in progress at once.
    """

    def __init__(self, parts: GatewayParts, max_requests: int) -> None:
        self._parts = parts
        self._max_requests = max_requests
        self.bundle: Bundle | None = None
        self.is_stopping = False
        self.num_in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def complete(
        self, call: CompletionCall, on_chunks: ChunkSink | None = None
    ) -> Result[RecordedAnswer, Problem]:
        """Run a generation and return the whole answer in the caller's form.

        With ``on_chunks`` tokens are passed on as they come; the answer is returned all the same.
        """
        problem = self._check_model(call.model)
        if problem is not None:
            return Failure(problem)

        async def run() -> Result[RecordedAnswer, Problem]:
            generated = await self._generate(call, on_chunks)
            return generated.map(lambda text: completion_answer(call, text))

        identity = f"completion\n{call.model}\n{call.max_tokens}\n{call.seed}\n{call.prompt}"
        return await self._run(call.request_id, call.is_unsafe, identity.encode(), run)

    async def call_service(self, call: ServiceCall) -> Result[RecordedAnswer, Problem]:
        """Forward a request to a service pool and return the whole answer."""
        bundle = self.bundle
        if bundle is None or call.pool not in bundle.pools:
            return Failure(self._unknown(ResultCode.UNKNOWN_POOL, call.pool))
        timeout_s = bundle.pools[call.pool].timeout_s

        async def run() -> Result[RecordedAnswer, Problem]:
            return await self._forward(call, timeout_s)

        identity = f"{call.method}\n{call.pool}\n{call.path}\n".encode() + call.body
        return await self._run(call.request_id, call.is_unsafe, identity, run)

    async def read(self, request_id: str) -> Result[RecordedAnswer, Problem]:
        """Return the answer of an earlier request, from any node that keeps it.

        Fails with ``UNKNOWN_REQUEST``, or ``OUTCOME_UNKNOWN`` for an unsafe request without answer.
        """
        kept = await self._parts.answers.find(request_id)
        if kept is not None:
            return Success(kept)
        claim = (await self._parts.at_most_once.read(request_id)).value_or(None)
        if claim is not None and claim.answer is not None:
            return Success(claim.answer)
        if claim is not None and claim.status is ClaimStatus.HELD:
            detail = "the request is still running"
            return Failure(
                Problem(ResultCode.UNKNOWN_REQUEST, detail, request_id, retry_after_s=1.0)
            )
        if claim is not None and claim.status is not None:
            detail = "no answer is kept, and the request may have run"
            return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, detail, request_id))
        return Failure(Problem(ResultCode.UNKNOWN_REQUEST, "no answer is kept", request_id))

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; returns whether that came about in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    # -- inside -----------------------------------------------------------------------------

    async def _run(
        self, request_id: str, is_unsafe: bool, identity: bytes, run: RunRequest
    ) -> Result[RecordedAnswer, Problem]:
        if self.is_stopping:
            detail = "this node is stopping"
            return Failure(Problem(ResultCode.STOPPING, detail, request_id, STOPPING_RETRY_AFTER_S))
        if self.num_in_progress >= self._max_requests:
            detail = f"{self.num_in_progress} requests are in progress on this node"
            return Failure(
                Problem(ResultCode.OVERLOADED, detail, request_id, STOPPING_RETRY_AFTER_S)
            )
        self.num_in_progress += 1
        self._idle.clear()
        try:
            with log_fields(request=request_id):
                if is_unsafe:
                    result = await self._parts.at_most_once.run(request_id, identity, run)
                else:
                    result = await run()
                _log_result(result)
        finally:
            self.num_in_progress -= 1
            if not self.num_in_progress:
                self._idle.set()
        if isinstance(result, Success):
            self._parts.answers.add(request_id, result.unwrap())
        return result

    async def _generate(
        self, call: CompletionCall, on_chunks: ChunkSink | None
    ) -> Result[GeneratedText, Problem]:
        deadline_s = now_s() + call.timeout_s
        return await self._parts.generations.run(self._generation_plan(call, deadline_s, on_chunks))

    def _generation_plan(
        self, call: CompletionCall, deadline_s: float, on_chunks: ChunkSink | None
    ) -> GenerationPlan:
        return GenerationPlan(
            generation=GenerationRequest(
                request_id=call.request_id,
                model=call.model,
                prompt=call.prompt,
                max_tokens=call.max_tokens,
                priority=Priority.LIVE.value,
                seed=call.seed,
            ),
            route=RouteRequest(
                kind=BackEndKind.ENGINE,
                pool=call.model,
                zone=self._parts.zone,
                prefix_blocks=prefix_blocks(call.prompt),
            ),
            deadline_s=deadline_s,
            tenant=call.tenant,
            on_chunks=on_chunks,
        )

    async def _forward(
        self, call: ServiceCall, timeout_s: float
    ) -> Result[RecordedAnswer, Problem]:
        return await self._parts.services.forward(
            ServiceRequest(
                request_id=call.request_id,
                tenant=call.tenant,
                pool=call.pool,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
                is_safe=call.method in SAFE_METHODS,
                zone=self._parts.zone,
                timeout_s=timeout_s,
            )
        )

    def _check_model(self, model: str) -> Problem | None:
        if self.bundle is None or model not in self.bundle.models:
            return self._unknown(ResultCode.UNKNOWN_MODEL, model)
        return None

    def _unknown(self, code: ResultCode, name: str) -> Problem:
        if self.bundle is None:
            detail = "no bundle is in force on this node yet"
            return Problem(ResultCode.NO_BACK_END, detail, name, NO_BUNDLE_RETRY_AFTER_S)
        return Problem(code, f"{name!r} is not in bundle revision {self.bundle.revision}", name)


def _log_result(result: Result[RecordedAnswer, Problem]) -> None:
    if isinstance(result, Failure):
        problem = result.failure()
        logging.info("request failed: %d %s", problem.code, problem.code.name)
    else:
        logging.debug("request answered: %d bytes", len(result.unwrap().body))


SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def completion_answer(call: CompletionCall, generated: GeneratedText) -> RecordedAnswer:
    """Return a generation in the OpenAI form, with the weight versions that produced it."""
    choice: dict[str, object] = {"index": 0, "finish_reason": generated.finish_reason}
    if call.is_chat:
        choice["message"] = {"role": "assistant", "content": generated.text}
    else:
        choice["text"] = generated.text
    body = {
        "id": call.request_id,
        "object": "chat.completion" if call.is_chat else "text_completion",
        "model": call.model,
        "choices": [choice],
        "usage": {"completion_tokens": generated.num_tokens},
        "hollowrack": {
            "num_tokens": generated.num_tokens,
            "spans": [asdict(span) for span in generated.spans],
        },
    }
    return RecordedAnswer(HTTPStatus.OK, JSON_TYPE, json.dumps(body).encode())
