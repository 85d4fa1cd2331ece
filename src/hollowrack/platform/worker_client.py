"""Calls of the platform's workers: requests, reports and orders."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Sequence
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
from hollowrack.messages.idle_connections import noticing_silence
from hollowrack.platform import names
from hollowrack.platform.configuration import model_versions, started_ms
from hollowrack.platform.http_session import client_session
from hollowrack.platform.load_report import LoadReportDecoder
from hollowrack.weights.version_reconciler import OrderOutcome, VersionOrder, WorkerReport

CONNECT_TIMEOUT_S = 0.5
# New connections to workers are paid for. Workers close idle ones after 10 s, by
# their Keep-Alive headers; one that a worker has closed earlier is not used again.
IDLE_CONNECTION_TIMEOUT_S = 9.5
# Callers that hang up and second attempts that win end a request to a sound worker as well. Only
# one that was given this long, in seconds, is taken for silent: most answers begin sooner, and a
# connection that is closed for nothing is paid for again.
MIN_SILENCE_S = 0.5
REPORT_TIMEOUT_S = 0.8
ORDER_TIMEOUT_S = 0.8
MS_PER_S = 1000
ORDER_METHOD = "retain"

_OF_ONE_CONNECTION = frozenset(
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
# What only the system tells a worker. From a caller they would name another tenant, go before
# others in the worker's queue, or go on from what another request has left in its memory.
_SET_BY_SYSTEM = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.MEMORY_BACKUP,
        names.MEMORY_FETCH,
        names.MEMORY_FROM,
        names.MEMORY_PIN,
        names.REQUEST_ID,
        names.REQUEST_PRIORITY,
        names.RESERVATION,
        names.TENANT,
    )
)
_NOT_FORWARDED = _OF_ONE_CONNECTION | _SET_BY_SYSTEM
_NOT_RETURNED = frozenset({"connection", "keep-alive", "transfer-encoding", "content-length"})
# What reading another program's JSON may come to: a field is missing, or of another type or size.
_UNREADABLE = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
_NO_AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


def forwarded_headers(headers: Sequence[tuple[str, str]], has_credentials: bool = False) -> Headers:
    """Return a caller's headers as a worker may see them.

    Left out are those of the caller's connection, which its ``Connection`` header may extend, and
    those that only the system sets.

    Args:
        headers: The caller's headers.
        has_credentials: Whether credentials in them are meant for the system.
    """
    left_out = _NOT_FORWARDED | _listed_of_connection(headers)
    if has_credentials:
        left_out |= {names.CREDENTIALS.lower()}
    return tuple((name, value) for name, value in headers if name.lower() not in left_out)


def _listed_of_connection(headers: Sequence[tuple[str, str]]) -> frozenset[str]:
    """Names of the headers that a caller declares to be of its connection; never its host."""
    listed = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return frozenset(listed - {"host"})


def announced_version(event: StreamEvent) -> int | None:
    """Return the weight version that an event announces, if it does."""
    value = event.fields.get(names.WEIGHT_VERSIONS_FIELD, "")
    return int(value) if value.isdigit() else None


class _TrackedResponse(aiohttp.ClientResponse):
    """A response that knows how its connection ended.

    The client library takes an answer without a length for whole however its connection ends.
    """

    _ended: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Begin to read the answer; called by the client library."""
        if connection.protocol is not None:
            self._ended = connection.protocol.closed
        if self._ended is not None:
            self._ended.add_done_callback(_retrieve_error)
        return await super().start(connection)

    def check_end(self) -> None:
        """Check an answer that was read to its end.

        Raises:
            BrokenAnswerError: If it states no length and its connection broke.
        """
        if self.content_length is not None or "Transfer-Encoding" in self.headers:
            return
        if self._ended is None or (self._ended.done() and self._ended.exception() is not None):
            raise BrokenAnswerError("the answer has no length and its connection broke")


def _retrieve_error(ended: asyncio.Future[None]) -> None:
    if not ended.cancelled():
        ended.exception()


def worker_session(force_close: bool = False) -> aiohttp.ClientSession:
    """Return an HTTP session for workers.

    Args:
        force_close: Whether every request has a connection of its own.
    """
    session = client_session(force_close, _TrackedResponse, IDLE_CONNECTION_TIMEOUT_S)
    # The library would send a GET once more by itself when a kept connection breaks. Such a run is
    # counted by nobody, and a worker that ended under the first one would pass for not reached.
    session._retry_connection = False
    return session


class WorkerAnswer:
    """An answer whose head has arrived; see :class:`OpenAnswer`."""

    def __init__(self, response: _TrackedResponse, load_report: LoadReport | None) -> None:
        self._response = response
        self.load_report = load_report
        self.status = response.status
        self.headers: Headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _NOT_RETURNED
        )
        self.signature = response.headers.get(names.SIGNATURE)
        version = response.headers.get(names.WEIGHT_VERSIONS, "")
        self.weight_version = int(version) if version.isdigit() else None

    async def read(self) -> bytes:
        """Read the whole body."""
        try:
            body = await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenAnswerError(f"the answer ends early: {type(error).__name__}") from error
        self._response.check_end()
        return body

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenAnswerError(f"the answer ends early: {type(error).__name__}") from error
        self._response.check_end()

    def abort(self) -> None:
        """Close the connection, unless the answer was read whole."""
        self._response.close()


class PlatformWorkers:
    """Sends requests, reports and orders to workers.

    Args:
        session: HTTP session for repeatable requests, from :func:`worker_session`.
        fresh_session: Another that never reuses a connection, for the others.

    Attributes:
        load_reports: Decodes what workers tell of their load.
    """

    def __init__(
        self, session: aiohttp.ClientSession, fresh_session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session
        self.load_reports = LoadReportDecoder()

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
            with noticing_silence(session, f"http://{worker.address}", MIN_SILENCE_S):
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
        try:
            await _check_answer(response, call.request_id)
        except BaseException:
            response.close()
            raise
        if not isinstance(response, _TrackedResponse):
            raise TypeError("the session is not one for workers")
        told = response.headers.get(names.LOAD_REPORT)
        return WorkerAnswer(response, self.load_reports.decode(told, worker.id))

    async def has_ended(self, worker: Worker) -> bool:
        """Whether a life of a worker is over; see :class:`BackEndClient`."""
        # A report tells which life answers; a connection tells only that something listens.
        if worker.started_ms:
            report = await self.report(worker)
            if report is not None:
                return report.started_ms > worker.started_ms
        return await _refuses_connections(worker)

    async def report(self, worker: Worker) -> WorkerReport | None:
        """Read a worker's report."""
        try:
            status, body = await self._exchange(worker, "GET", names.REPORT_PATH, REPORT_TIMEOUT_S)
            if status != HTTPStatus.OK:
                return None
            versions = model_versions(body.get("models"))
            num_orders, is_busy = int(body["sequence"]), bool(body["busy"])
            return WorkerReport(num_orders, is_busy, versions, started_ms(body))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logging.info("worker %s: no report: %s", worker.incarnation, type(error).__name__)
        except _UNREADABLE as error:
            logging.warning(
                "worker %s: its report cannot be read: %s", worker.incarnation, type(error).__name__
            )
        return None

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        """Give an order."""
        body = {
            "op": "version",
            "model": order.move.model,
            "version": order.move.version,
            "method": ORDER_METHOD,
            "holder": order.holder,
            "fence": order.fencing_token,
            "expected-revision": order.num_orders,
        }
        try:
            status, _ = await self._exchange(
                order.move.worker, "POST", names.ORDER_PATH, ORDER_TIMEOUT_S, body
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
        with noticing_silence(self._session, url):
            async with self._session.request(
                method,
                url,
                json=body,
                headers={names.EXPECT_INSTANCE: worker.id},
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S),
            ) as response:
                data = await response.read()
        return response.status, json.loads(data) if data.startswith(b"{") else {}


async def _refuses_connections(worker: Worker) -> bool:
    """Whether nothing listens at a worker's address; ``False`` if nothing can be told."""
    host, _, port = worker.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError) as error:
        logging.info("worker %s: not known whether it listens: %s", worker.incarnation, error)
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
    """Raise unless the answer is that of a worker which ran this request."""
    answered_id = response.headers.get(names.REQUEST_ID)
    if answered_id is not None and answered_id != request_id:
        raise BrokenAnswerError("the answer belongs to another request")
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        await _read_rest(response)
        raise NotRunError(NotRunReason.REPLACED)
    if response.headers.get(names.NOT_EXECUTED):
        await _read_rest(response)
        raise NotRunError(NotRunReason.BUSY)
    if answered_id is None:
        raise BrokenAnswerError("the answer names no request")


async def _read_rest(response: aiohttp.ClientResponse) -> None:
    """Read a short refusal whole, so that its connection can be kept."""
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await response.read()
