"""Client of the platform's workers: requests, reports and version orders."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
from absl import logging
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

from hollowrack.forwarding.back_end import (
    BackEndCall,
    BrokenAnswerError,
    Headers,
    LoadReport,
    NotRunError,
    NotRunReason,
)
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.types import Worker
from hollowrack.messages.idle_connections import close_idle_on_timeout
from hollowrack.platform import names
from hollowrack.platform.cold_time import ColdTimeDecoder
from hollowrack.platform.configuration import model_versions, started_ms
from hollowrack.platform.http_session import client_session
from hollowrack.platform.load_report import LoadReportDecoder
from hollowrack.weights.version_reconciler import OrderOutcome, VersionOrder, WorkerReport

CONNECT_TIMEOUT_S = 0.5
# New connections are billed. Below the 10 s after which workers close idle connections, as stated
# in their Keep-Alive headers.
IDLE_CONNECTION_TIMEOUT_S = 9.5
# Expected wait for the response headers. Idle connections are closed only if a request is cancelled
# or times out ``idle_connections.MIN_SILENCE_S`` after it, because client disconnects and hedges
# cancel requests on healthy connections early.
EXPECTED_RESPONSE_S = 0.5
REPORT_TIMEOUT_S = 0.8
ORDER_TIMEOUT_S = 0.8
MS_PER_S = 1000
ORDER_METHOD = "retain"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only the system sets. A client could otherwise impersonate another tenant, raise its
# priority at the worker, or read the KV cache of another request.
_SET_BY_SYSTEM = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.KV_CACHE_BACKUP,
        names.KV_CACHE_FETCH,
        names.KV_CACHE_FROM,
        names.KV_CACHE_PIN,
        names.REQUEST_ID,
        names.REQUEST_PRIORITY,
        names.RESERVATION,
        names.TENANT,
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | _SET_BY_SYSTEM
_RESPONSE_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)
# Errors raised while decoding JSON with missing or invalid fields.
_DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
_NO_AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


def forwarded_headers(headers: Sequence[tuple[str, str]], has_credentials: bool = False) -> Headers:
    """Return the client's headers that may be forwarded to a worker.

    Drops hop-by-hop headers, including those listed in ``Connection``, and headers that only the
    system sets.

    Args:
        headers: Headers of the client.
        has_credentials: Whether credentials in them belong to the system and must be dropped.
    """
    excluded = _NOT_FORWARDED | _connection_options(headers)
    if has_credentials:
        excluded |= {names.CREDENTIALS.lower()}
    return tuple((name, value) for name, value in headers if name.lower() not in excluded)


def _connection_options(headers: Sequence[tuple[str, str]]) -> frozenset[str]:
    """Return the header names listed in ``Connection``, in lower case, without ``host``."""
    listed = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return frozenset(listed - {"host"})


def announced_version(event: StreamEvent) -> int | None:
    """Return the weight version announced by an event; ``None`` if it announces none."""
    value = event.fields.get(names.WEIGHT_VERSIONS_FIELD, "")
    return int(value) if value.isdigit() else None


class _TrackedResponse(aiohttp.ClientResponse):
    """HTTP response that records how its connection ended.

    aiohttp treats a response without a length as complete even if its connection breaks.
    """

    _ended: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Start reading the response; called by aiohttp."""
        if connection.protocol is not None:
            self._ended = connection.protocol.closed
        if self._ended is not None:
            # Added once per connection: each callback keeps the context of a request until the
            # connection is closed, and a busy connection may stay open for hours.
            self._ended.remove_done_callback(_consume_exception)
            self._ended.add_done_callback(_consume_exception)
        return await super().start(connection)

    def check_end(self) -> None:
        """Check that a response that was read to its end is complete.

        Raises:
            BrokenAnswerError: If the response has no length and its connection broke.
        """
        if self.content_length is not None or "Transfer-Encoding" in self.headers:
            return
        if self._ended is None or (self._ended.done() and self._ended.exception() is not None):
            raise BrokenAnswerError("response without a length: the connection broke")


def _consume_exception(ended: asyncio.Future[None]) -> None:
    if not ended.cancelled():
        ended.exception()


def worker_session(force_close: bool = False) -> aiohttp.ClientSession:
    """Return an HTTP session for workers.

    Args:
        force_close: Whether to use a new connection for every request.
    """
    session = client_session(force_close, _TrackedResponse, IDLE_CONNECTION_TIMEOUT_S)
    # Prevents aiohttp from resending a GET when a reused connection breaks. The resend would not be
    # counted as an attempt and would hide a crash of the worker.
    session._retry_connection = False
    return session


class WorkerAnswer:
    """Response whose headers have arrived; implements :class:`OpenAnswer`.

    Args:
        response: Response of aiohttp.
        load_report: Load reported in the headers; ``None`` if there is none.
    """

    def __init__(self, response: _TrackedResponse, load_report: LoadReport | None) -> None:
        self._response = response
        self.load_report = load_report
        self.status = response.status
        self.headers: Headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _RESPONSE_HOP_BY_HOP
        )
        self.signature = response.headers.get(names.SIGNATURE)
        version = response.headers.get(names.WEIGHT_VERSIONS, "")
        self.weight_version = int(version) if version.isdigit() else None

    async def read(self) -> bytes:
        """Read the whole body."""
        try:
            body = await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenAnswerError(f"response ended early: {type(error).__name__}") from error
        self._response.check_end()
        return body

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenAnswerError(f"response ended early: {type(error).__name__}") from error
        self._response.check_end()

    def abort(self) -> None:
        """Close the connection, unless the response was read completely."""
        self._response.close()


class PlatformWorkers:
    """Client of workers: sends requests and version orders and reads reports.

    Args:
        session: HTTP session for repeatable requests, from :func:`worker_session`.
        fresh_session: HTTP session for other requests, which never reuses a connection.

    Attributes:
        load_reports: Decoder of the load that workers report.
        on_cold_time: Called with the remaining warm-up time, in seconds, that a worker states with
            an answer; ``None`` if cold workers are not limited.
    """

    def __init__(
        self, session: aiohttp.ClientSession, fresh_session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session
        self.load_reports = LoadReportDecoder()
        self.on_cold_time: Callable[[Worker, float], None] | None = None
        self._cold_times = ColdTimeDecoder()

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> WorkerAnswer:
        """Send a request; see :class:`BackEndClient`."""
        session = self._session if is_repeatable else self._fresh_session
        try:
            with close_idle_on_timeout(session, f"http://{worker.address}", EXPECTED_RESPONSE_S):
                response = await session.request(
                    call.method,
                    URL(f"http://{worker.address}{call.target}", encoded=True),
                    data=call.body or None,
                    headers=_request_headers(worker, call, time_left_s, after_event),
                    skip_auto_headers=_NO_AUTOMATIC_HEADERS,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotRunError(NotRunReason.UNREACHABLE) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise BrokenAnswerError(type(error).__name__) from error
        self._record_cold_time(worker, response)
        try:
            await _check_answer(response, call.request_id)
        except BaseException:
            response.close()
            raise
        if not isinstance(response, _TrackedResponse):
            raise TypeError("the session was not created by worker_session()")
        load_value = response.headers.get(names.LOAD_REPORT)
        return WorkerAnswer(response, self.load_reports.decode(load_value, worker.id))

    def _record_cold_time(self, worker: Worker, response: aiohttp.ClientResponse) -> None:
        # A misdirected request was answered by another worker.
        if self.on_cold_time is None or response.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        value = response.headers.get(names.COLD_REMAINING_MS)
        seconds = self._cold_times.decode(value, worker.id)
        if seconds is not None:
            self.on_cold_time(worker, seconds)

    async def has_crashed(self, worker: Worker) -> bool:
        """Return whether an incarnation of a worker has ended; see :class:`BackEndClient`."""
        # A report identifies the incarnation; an open port may belong to another process.
        if worker.started_ms:
            report = await self.report(worker)
            if report is not None:
                return report.started_ms > worker.started_ms
        return await _refuses_connections(worker)

    async def report(self, worker: Worker) -> WorkerReport | None:
        """Read a worker's report; ``None`` if it is unavailable or malformed."""
        try:
            status, body = await self._exchange(worker, "GET", names.REPORT_PATH, REPORT_TIMEOUT_S)
            if status != HTTPStatus.OK:
                return None
            versions = model_versions(body.get("models"))
            num_orders, is_busy = int(body["sequence"]), bool(body["busy"])
            return WorkerReport(num_orders, is_busy, versions, started_ms(body))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logging.info(
                "worker %s: report request failed: %s", worker.incarnation, type(error).__name__
            )
        except _DECODE_ERRORS as error:
            logging.warning(
                "worker %s: malformed report: %s", worker.incarnation, type(error).__name__
            )
        return None

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        """Send a version order to a worker."""
        body = {
            "op": "version",
            "model": order.load.model,
            "version": order.load.version,
            "method": ORDER_METHOD,
            "holder": order.holder,
            "fence": order.fencing_token,
            "expected-revision": order.num_orders,
        }
        try:
            status, _ = await self._exchange(
                order.load.worker, "POST", names.ORDER_PATH, ORDER_TIMEOUT_S, body
            )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, RecursionError):
            return OrderOutcome.UNKNOWN
        if status == HTTPStatus.ACCEPTED:
            return OrderOutcome.ACCEPTED
        return OrderOutcome.ALREADY_LOADED if status == HTTPStatus.OK else OrderOutcome.REFUSED

    async def _exchange(
        self, worker: Worker, method: str, path: str, timeout_s: float, body: object = None
    ) -> tuple[int, Any]:
        url = f"http://{worker.address}{path}"
        with close_idle_on_timeout(self._session, url):
            async with self._session.request(
                method,
                url,
                json=body,
                headers={names.EXPECT_INSTANCE: worker.id},
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S),
            ) as response:
                self._record_cold_time(worker, response)
                data = await response.read()
        return response.status, json.loads(data) if data.startswith(b"{") else {}


async def _refuses_connections(worker: Worker) -> bool:
    """Return whether a worker's address refuses connections; ``False`` if that is unknown."""
    host, _, port = worker.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError) as error:
        logging.info("worker %s: connection check failed: %s", worker.incarnation, error)
        return False
    writer.close()
    return False


def _request_headers(
    worker: Worker, call: BackEndCall, time_left_s: float, after_event: int | None
) -> CIMultiDict[str]:
    headers = CIMultiDict(forwarded_headers(call.headers))
    headers[names.REQUEST_ID] = call.request_id
    headers[names.EXPECT_INSTANCE] = worker.id
    headers[names.DEADLINE_MS] = str(max(1, int(time_left_s * MS_PER_S)))
    if call.tenant is not None:
        headers[names.TENANT] = call.tenant
    if call.priority is not None:
        headers[names.REQUEST_PRIORITY] = str(call.priority)
    if after_event is not None:
        headers[names.LAST_EVENT_ID] = str(after_event)
    return headers


async def _check_answer(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Check that the response is from a worker that ran this request.

    Raises:
        BrokenAnswerError: If the response names another request or none.
        NotRunError: If the worker has been replaced or did not run the request.
    """
    answered_id = response.headers.get(names.REQUEST_ID)
    if answered_id is not None and answered_id != request_id:
        raise BrokenAnswerError("the answer belongs to another request")
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        await _drain_body(response)
        raise NotRunError(NotRunReason.REPLACED)
    if response.headers.get(names.NOT_EXECUTED):
        await _drain_body(response)
        raise NotRunError(NotRunReason.BUSY)
    if answered_id is None:
        raise BrokenAnswerError("the response has no request identifier")


async def _drain_body(response: aiohttp.ClientResponse) -> None:
    """Read the body of a short refusal completely, so that the connection can be reused."""
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await response.read()
