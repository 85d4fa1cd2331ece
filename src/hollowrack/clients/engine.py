"""Client of a model engine: token streams, load reports, cache events and load orders."""

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
# Statuses by which an engine rejects a generation without running it.
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
    """Generation request to an engine.

    Attributes:
        request_id: Identifier of the request.
        model: Name of the model.
        prompt: Text to continue.
        max_tokens: Maximum length of the answer, in tokens.
        priority: Scheduling priority; lower values are scheduled first.
        seed: Sampling seed; a retry with the same seed generates the same tokens.
        resume_text: Text that an earlier attempt generated, to be continued.
        resume_num_tokens: Length of ``resume_text``, in tokens.
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
    """One event of a token stream.

    Attributes:
        text: Text of the chunk.
        token_index: Index of the chunk's first token within the answer.
        num_tokens: Number of tokens in the chunk.
        weight_version: Weight version that generated the tokens.
        incarnation: Incarnation of the engine; changes when the engine restarts.
        finish_reason: Reason for the end of the stream; ``None`` before the last chunk.
    """

    text: str
    token_index: int
    num_tokens: int
    weight_version: int
    incarnation: str
    finish_reason: str | None


@dataclass(frozen=True)
class EngineState:
    """State of an engine, as reported by its control endpoint.

    Attributes:
        incarnation: Incarnation of the engine; changes when the engine restarts.
        status: Status of the engine, for example ``serving`` or ``swapping``.
        model: Name of the loaded model.
        weight_version: Loaded weight version.
        num_slots: Maximum number of requests in the engine's batch.
        fencing_token: Highest fencing token that this incarnation has received.
    """

    incarnation: str
    status: str
    model: str
    weight_version: int
    num_slots: int
    fencing_token: int


@dataclass(frozen=True)
class EngineLoad:
    """Load report of an engine; delayed by the engine's reporting lag.

    Attributes:
        num_running: Requests in the engine's batch.
        num_waiting: Requests queued for a slot.
        num_live: Running and queued requests with the highest priority.
    """

    num_running: int
    num_waiting: int
    num_live: int


@dataclass(frozen=True)
class CacheEvents:
    """A batch of prefix cache events of one engine.

    Attributes:
        incarnation: Incarnation of the engine; a new one starts with an empty cache.
        first_sequence: Sequence number of the first event.
        stored: Hashes of the blocks added, in event order.
        removed: Hashes of the blocks evicted, in event order.
        num_events: Number of events in the batch.
    """

    incarnation: str
    first_sequence: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]
    num_events: int


class EngineRefusedError(Exception):
    """The engine rejected a generation without running it.

    Attributes:
        retry_after_s: Delay before a retry, from the response's header, in seconds.
    """

    def __init__(self, detail: str, retry_after_s: float | None) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class StreamBrokenError(Exception):
    """The stream of a generation that may have run failed before its end marker."""


class EngineUnreachableError(Exception):
    """No connection was established, so the engine has not received the request."""


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
    """Interface of a client of one engine; see :class:`HttpEngineClient`."""

    def generate(
        self, request: GenerationRequest, idle_timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[list[TokenChunk]]]:
        """Start a generation; yields a stream of batches of chunks."""

    async def read_state(self) -> Result[EngineState, Problem]:
        """Read the engine's control state."""

    async def read_load(self) -> Result[EngineLoad, Problem]:
        """Read the engine's load report."""

    async def read_cache_events(self, first_sequence: int) -> Result[CacheEvents, Problem]:
        """Read the cache events from ``first_sequence`` on."""

    async def order_version(
        self, model: str, weight_version: int, fencing_token: int, incarnation: str
    ) -> Result[None, Problem]:
        """Order the engine to load a weight version."""


MakeEngineClient = Callable[[str], EngineClient]


class HttpEngineClient:
    """Client of one engine over HTTP.

    Args:
        session: HTTP session for the requests.
        address: ``IP:PORT`` of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    @asynccontextmanager
    async def generate(
        self, request: GenerationRequest, idle_timeout_s: float
    ) -> AsyncIterator[AsyncIterator[list[TokenChunk]]]:
        """Start a generation; yields a stream of batches of chunks, as they arrive.

        Leaving the context before the end of the stream closes the connection, which cancels the
        generation.

        Raises:
            EngineUnreachableError: If no connection was established.
            EngineRefusedError: If the engine rejected the request without running it.
            StreamBrokenError: If the connection was lost, no data arrived for ``idle_timeout_s``
                seconds, or an event was malformed.
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
        """Read the engine's load report from its Prometheus metrics."""
        timeout = aiohttp.ClientTimeout(total=METRICS_TIMEOUT_S)
        url = f"{self._base_url}/metrics"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, type(error).__name__, url))
        return _decode_load(text, url)

    async def read_cache_events(self, first_sequence: int) -> Result[CacheEvents, Problem]:
        """Read the cache events from ``first_sequence`` on.

        Events arrive with a delay, and some may be missing.
        """
        url = f"{self._base_url}/cache/events?first_sequence={first_sequence}"
        answer = await request_json(self._session, "GET", url, METRICS_TIMEOUT_S)
        return answer.bind(_decode_cache_events)

    async def order_version(
        self, model: str, weight_version: int, fencing_token: int, incarnation: str
    ) -> Result[None, Problem]:
        """Order the engine to load a weight version.

        The order names the engine's incarnation, since a restart resets the highest fencing token
        that the engine has seen: it rejects orders to an earlier incarnation.

        Fails with ``ORDER_FENCED`` if the engine has seen a newer token or is another incarnation,
        ``SWAP_FAILED`` if loading failed, or ``PLATFORM_UNAVAILABLE`` if no answer arrived.
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
    raise StreamBrokenError("the stream ended without an end marker")


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
        raise StreamBrokenError(f"malformed stream event: {error!r}") from error


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
