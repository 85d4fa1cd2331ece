"""Client of a model engine: OpenAI-style token streams, load reports and fenced orders."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

import aiohttp
from prometheus_client.parser import text_string_to_metric_families
from returns.result import Failure, Result, Success

from hollowrack.clients.http import request_json, retry_after_s
from hollowrack.results import Problem, ResultCode

CONTROL_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
METRICS_TIMEOUT_S = 1.0
_EVENT_PREFIX = b"data: "
_EVENT_END = b"\n\n"
_DONE = b"[DONE]"
# With these an engine says that it did not take the generation.
_REFUSAL_STATUSES = frozenset(
    {
        HTTPStatus.NOT_FOUND,
        HTTPStatus.CONFLICT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclass(frozen=True)
class GenerationRequest:
    """One generation as sent to an engine.

    Attributes:
        request_id: Identifier, for cancelling.
        model: Model name.
        prompt: Text to continue.
        max_tokens: Longest answer, in tokens.
        priority: Lower goes first.
        seed: Makes a repetition of the generation draw the same tokens.
        resume_text: Text generated so far, to be continued.
        resume_num_tokens: Its length in tokens.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    seed: int = 0
    resume_text: str = ""
    resume_num_tokens: int = 0


@dataclass(frozen=True)
class TokenChunk:
    """One event of a stream.

    Attributes:
        text: New text.
        token_index: Index of the chunk's first token within the answer.
        num_tokens: Tokens in the chunk.
        weight_version: Version that produced them.
        incarnation: The engine's life, which changes when it restarts.
        finish_reason: Set on the last chunk.
    """

    text: str
    token_index: int
    num_tokens: int
    weight_version: int
    incarnation: str
    finish_reason: str | None


@dataclass(frozen=True)
class EngineState:
    """What an engine says of itself on its control endpoint."""

    incarnation: str
    status: str
    model: str
    weight_version: int
    num_slots: int
    fencing_token: int


@dataclass(frozen=True)
class EngineLoad:
    """An engine's load report; it lags.

    Attributes:
        num_running: Requests in the batch.
        num_waiting: Requests waiting for a slot.
        num_live: Those of both with the highest priority.
    """

    num_running: int
    num_waiting: int
    num_live: int


@dataclass(frozen=True)
class CacheEvents:
    """A batch of prefix cache events of one engine.

    Attributes:
        incarnation: The engine's life; a new one starts with an empty cache.
        first_sequence: Sequence number of the first event.
        stored: Blocks added, in event order.
        removed: Blocks evicted.
        num_events: Events in the batch.
    """

    incarnation: str
    first_sequence: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]
    num_events: int


class EngineRefusedError(Exception):
    """The engine refused a generation without running it."""

    def __init__(self, detail: str, retry_after_s: float | None) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class StreamBrokenError(Exception):
    """A stream ended before its end marker."""


class EngineUnreachableError(Exception):
    """No connection could be made, so nothing was sent."""


def _generation_body(request: GenerationRequest) -> dict[str, Any]:
    return {
        "request_id": request.request_id,
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "priority": request.priority,
        "seed": request.seed,
        "resume_text": request.resume_text,
        "resume_num_tokens": request.resume_num_tokens,
        "stream": True,
    }


class EngineClient(Protocol):
    """What the system needs of one engine; see :class:`HttpEngineClient`."""

    def generate(
        self, request: GenerationRequest, idle_timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[list[TokenChunk]]]:
        """Open a stream of chunks."""

    async def read_state(self) -> Result[EngineState, Problem]:
        """Read the engine's control state."""

    async def read_load(self) -> Result[EngineLoad, Problem]:
        """Read the engine's load report."""

    async def read_cache_events(self, first_sequence: int) -> Result[CacheEvents, Problem]:
        """Read the cache events from a sequence number on."""

    async def order_version(
        self, model: str, weight_version: int, fencing_token: int, incarnation: str
    ) -> Result[None, Problem]:
        """Order the engine to switch to a weight version."""


MakeEngineClient = Callable[[str], EngineClient]


class HttpEngineClient:
    """Talks to one engine over HTTP.

    Args:
        session: HTTP session to use.
        address: ``IP:PORT`` of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    @asynccontextmanager
    async def generate(
        self, request: GenerationRequest, idle_timeout_s: float
    ) -> AsyncIterator[AsyncIterator[list[TokenChunk]]]:
        """Open a stream; yields batches of chunks as they arrive.

        Leaving the context before the end closes the connection, which cancels the generation.

        Raises:
            EngineUnreachableError: No connection, nothing sent.
            EngineRefusedError: The engine refused without running.
            StreamBrokenError: The stream broke, stalled for ``idle_timeout_s`` or was malformed.
        """
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S, sock_read=idle_timeout_s)
        url = f"{self._base_url}/v1/completions"
        try:
            async with self._session.post(
                url, json=_generation_body(request), timeout=timeout
            ) as response:
                await _check_accepted(response)
                yield _read_chunks(response)
        except aiohttp.ClientConnectorError as error:
            raise EngineUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise EngineUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StreamBrokenError(f"{type(error).__name__}: {error}") from error

    async def read_state(self) -> Result[EngineState, Problem]:
        """Read the engine's control state."""
        answer = await request_json(
            self._session, "GET", f"{self._base_url}/control/state", CONTROL_TIMEOUT_S
        )
        return answer.bind(_decode_state)

    async def read_load(self) -> Result[EngineLoad, Problem]:
        """Read the engine's load report from its metrics."""
        timeout = aiohttp.ClientTimeout(total=METRICS_TIMEOUT_S)
        url = f"{self._base_url}/metrics"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, type(error).__name__, url))
        return _decode_load(text, url)

    async def read_cache_events(self, first_sequence: int) -> Result[CacheEvents, Problem]:
        """Read the cache events from a sequence number on; they are late and may have gaps."""
        url = f"{self._base_url}/cache/events?first_sequence={first_sequence}"
        answer = await request_json(self._session, "GET", url, METRICS_TIMEOUT_S)
        return answer.bind(_decode_cache_events)

    async def order_version(
        self, model: str, weight_version: int, fencing_token: int, incarnation: str
    ) -> Result[None, Problem]:
        """Order the engine to switch to a weight version.

        The order names the engine's incarnation too: an engine that restarted has forgotten the
        highest token, and must not take an order that was meant for its earlier life.

        Fails with ``ORDER_FENCED`` if the engine saw a newer token, ``SWAP_FAILED`` if the swap
        failed partway, or ``PLATFORM_UNAVAILABLE`` if no answer came.
        """
        body = {
            "model": model,
            "weight_version": weight_version,
            "fencing_token": fencing_token,
            "incarnation": incarnation,
        }
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        url = f"{self._base_url}/control/load"
        try:
            async with self._session.post(url, json=body, timeout=timeout) as response:
                if response.status == HTTPStatus.OK:
                    return Success(None)
                fenced = response.status == HTTPStatus.CONFLICT
                code = ResultCode.ORDER_FENCED if fenced else ResultCode.SWAP_FAILED
                return Failure(Problem(code, (await response.text())[:200], url))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, type(error).__name__, url))


async def _check_accepted(response: aiohttp.ClientResponse) -> None:
    if response.status == HTTPStatus.OK:
        return
    detail = (await response.text())[:200]
    if response.status in _REFUSAL_STATUSES:
        raise EngineRefusedError(detail, retry_after_s(response.headers))
    raise StreamBrokenError(f"HTTP {response.status}: {detail}")


async def _read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[list[TokenChunk]]:
    buffer = b""
    async for data in response.content.iter_any():
        buffer += data
        *events, buffer = buffer.split(_EVENT_END)
        chunks = [_decode_chunk(event) for event in events if not event.endswith(_DONE)]
        if chunks:
            yield chunks
        if len(chunks) < len(events):
            return
    raise StreamBrokenError("the stream ended without its end marker")


def _decode_chunk(event: bytes) -> TokenChunk:
    try:
        body = json.loads(event.removeprefix(_EVENT_PREFIX))
        choice = body["choices"][0]
        extension = body["hollowrack"]
        return TokenChunk(
            text=choice["text"],
            token_index=extension["token_index"],
            num_tokens=extension["num_tokens"],
            weight_version=extension["weight_version"],
            incarnation=extension["incarnation"],
            finish_reason=choice["finish_reason"],
        )
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise StreamBrokenError(f"malformed event: {error!r}") from error


def _decode_state(answer: Any) -> Result[EngineState, Problem]:
    try:
        return Success(
            EngineState(
                incarnation=str(answer["incarnation"]),
                status=str(answer["status"]),
                model=str(answer["model"]),
                weight_version=int(answer["weight_version"]),
                num_slots=int(answer["num_slots"]),
                fencing_token=int(answer["fencing_token"]),
            )
        )
    except (KeyError, ValueError, TypeError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, "engine state"))


def _decode_cache_events(answer: Any) -> Result[CacheEvents, Problem]:
    try:
        return Success(
            CacheEvents(
                incarnation=str(answer["incarnation"]),
                first_sequence=int(answer["first_sequence"]),
                stored=tuple(int(block) for block in answer["stored"]),
                removed=tuple(int(block) for block in answer["removed"]),
                num_events=int(answer["num_events"]),
            )
        )
    except (KeyError, ValueError, TypeError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, "cache events"))


def _decode_load(text: str, url: str) -> Result[EngineLoad, Problem]:
    try:
        values = {
            sample.name: sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }
        return Success(
            EngineLoad(
                num_running=int(values["engine_num_running"]),
                num_waiting=int(values["engine_num_waiting"]),
                num_live=int(values["engine_num_live"]),
            )
        )
    except (KeyError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, url))
