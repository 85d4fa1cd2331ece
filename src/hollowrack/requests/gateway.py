"""Gateway: entry point of callers' requests at one node.

Runs generations and service requests, at most once if they are unsafe, and stores their answers.
"""

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

REFUSAL_RETRY_AFTER_S = 0.5
NO_BUNDLE_RETRY_AFTER_S = 1.0
JSON_TYPE = "application/json"


@dataclass(frozen=True)
class CompletionCall:
    """A caller's completion request.

    Attributes:
        request_id: Identifier; also the key of the claim if the request is unsafe.
        tenant: Tenant of the caller.
        model: Model name.
        prompt: Text to continue.
        max_tokens: Maximum length of the answer, in tokens.
        seed: Sampling seed.
        timeout_s: Timeout of the caller, in seconds; no attempt starts after it.
        is_unsafe: Whether it must run at most once.
        is_chat: Whether to answer in the format of chat completions.
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
class GatewayDependencies:
    """Components that a gateway uses.

    Attributes:
        zone: Zone of this node.
        generations: Runs generations.
        services: Forwards requests to service workers.
        at_most_once: Runs unsafe requests at most once.
        answers: Stores answers across the fleet.
    """

    zone: str
    generations: GenerationRunner
    services: ServiceForwarder
    at_most_once: AtMostOnceRunner
    answers: ReplicatedAnswers


class Gateway:
    """Runs callers' requests and limits their number.

    Args:
        parts: Components that it uses.
        max_requests: Maximum number of requests in progress.

    Attributes:
        bundle: The current bundle; ``None`` until one has been applied.
        is_stopping: Whether new requests are refused because the node is stopping.
        num_in_progress: Number of requests in progress.
    """

    def __init__(self, parts: GatewayDependencies, max_requests: int) -> None:
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
        """Run a generation and return the complete answer in OpenAI's format.

        If ``on_chunks`` is given, it is called with tokens as they arrive; the complete answer is
        returned in either case.
        """
        problem = self._model_problem(call.model)
        if problem is not None:
            return Failure(problem)

        async def run() -> Result[RecordedAnswer, Problem]:
            generated = await self._generate(call, on_chunks)
            return generated.map(lambda text: completion_answer(call, text))

        identity = f"completion\n{call.model}\n{call.max_tokens}\n{call.seed}\n{call.prompt}"
        return await self._run(call.request_id, call.is_unsafe, identity.encode(), run)

    async def call_service(self, call: ServiceCall) -> Result[RecordedAnswer, Problem]:
        """Forward a request to a service pool and return the complete answer."""
        bundle = self.bundle
        if bundle is None or call.pool not in bundle.pools:
            return Failure(self._not_in_bundle(ResultCode.UNKNOWN_POOL, call.pool))
        timeout_s = bundle.pools[call.pool].timeout_s

        async def run() -> Result[RecordedAnswer, Problem]:
            return await self._forward(call, timeout_s)

        identity = f"{call.method}\n{call.pool}\n{call.path}\n".encode() + call.body
        return await self._run(call.request_id, call.is_unsafe, identity, run)

    async def read(self, request_id: str) -> Result[RecordedAnswer, Problem]:
        """Return the answer of an earlier request, from any node that stores it.

        Fails with ``UNKNOWN_REQUEST``, or ``OUTCOME_UNKNOWN`` for an unsafe request without answer.
        """
        stored = await self._parts.answers.find(request_id)
        if stored is not None:
            return Success(stored)
        claim = (await self._parts.at_most_once.read(request_id)).value_or(None)
        if claim is not None and claim.answer is not None:
            return Success(claim.answer)
        if claim is not None and claim.status is ClaimStatus.HELD:
            detail = "the request is still running"
            return Failure(
                Problem(ResultCode.UNKNOWN_REQUEST, detail, request_id, retry_after_s=1.0)
            )
        if claim is not None and claim.status is not None:
            detail = "no answer is stored, and the request may have run"
            return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, detail, request_id))
        return Failure(Problem(ResultCode.UNKNOWN_REQUEST, "no answer is stored", request_id))

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; return whether that happened within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def _run(
        self, request_id: str, is_unsafe: bool, identity: bytes, run: RunRequest
    ) -> Result[RecordedAnswer, Problem]:
        if self.is_stopping:
            detail = "this node is stopping"
            return Failure(Problem(ResultCode.STOPPING, detail, request_id, REFUSAL_RETRY_AFTER_S))
        if self.num_in_progress >= self._max_requests:
            detail = f"{self.num_in_progress} requests are in progress on this node, its maximum"
            return Failure(
                Problem(ResultCode.OVERLOADED, detail, request_id, REFUSAL_RETRY_AFTER_S)
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

    def _model_problem(self, model: str) -> Problem | None:
        if self.bundle is None or model not in self.bundle.models:
            return self._not_in_bundle(ResultCode.UNKNOWN_MODEL, model)
        return None

    def _not_in_bundle(self, code: ResultCode, name: str) -> Problem:
        if self.bundle is None:
            detail = "no bundle has been applied on this node yet"
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
    """Return a generation in OpenAI's format, with the weight versions that produced it."""
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
