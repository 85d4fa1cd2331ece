"""Soak callers that keep using a connection until the process closes it.

They ignore announcements that the connection will be closed. A request that crosses the close may
remain unanswered, but not one that a worker has started: its answer must be sent before the
connection is closed, unless the process is killed.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11

from hollowrack.clock import now_s
from hollowrack.tasks import cancel_all

PATH = "/prices/x"
BODY = b"part"
# Interval between requests of all callers together, whatever the number of nodes.
REQUEST_INTERVAL_S = 0.0075
RECONNECT_INTERVAL_S = 0.2
ANSWER_TIMEOUT_S = 8.0
READ_SIZE = 65536


@dataclass(frozen=True)
class PlainOutcome:
    """How a plain request ended for its caller.

    Attributes:
        request_id: Identifier of the request.
        node: Node that it was sent to.
        path: Its path, which determines its route.
        status: HTTP status of the answer; 0 if there was none.
        sent_s: Time at which it was sent, on the loop's clock.
        latency_s: Time until the complete answer or its absence, in seconds.
    """

    request_id: str
    node: str
    path: str
    status: int
    sent_s: float
    latency_s: float


class ConnectionClosedError(Exception):
    """The node closed the connection before it had sent a complete answer."""


@dataclass(frozen=True)
class UnansweredRequest:
    """A request whose connection was closed without a complete answer.

    Attributes:
        request_id: Identifier of the request.
        node: Node that closed the connection.
        sent_s: Time at which it was sent, on the loop's clock.
        closed_s: Time at which the connection was closed.
    """

    request_id: str
    node: str
    sent_s: float
    closed_s: float


class KeptConnections:
    """One caller for each node, with one connection at a time.

    Args:
        addresses: Addresses of the nodes, by name, without proxies.
        headers: Returns the headers of a request, given its identifier.
        record_outcome: Called with the outcome of each request, unless its connection was closed
            before it was answered.

    Attributes:
        num_answered: Number of complete answers.
        unanswered: Requests without a complete answer, oldest first.
    """

    def __init__(
        self,
        addresses: Mapping[str, str],
        headers: Callable[[str], Mapping[str, str]],
        record_outcome: Callable[[PlainOutcome], None],
    ) -> None:
        self.num_answered = 0
        self.unanswered: list[UnansweredRequest] = []
        self._addresses = addresses
        self._headers = headers
        self._record_outcome = record_outcome
        self._num_sent = 0

    async def run(self) -> None:
        """Send requests to all nodes until cancelled."""
        callers = [asyncio.create_task(self._call(node)) for node in self._addresses]
        try:
            await asyncio.gather(*callers)
        finally:
            await cancel_all(*callers)

    async def _call(self, node: str) -> None:
        host, _, port = self._addresses[node].rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            try:
                await self._use(node, reader, writer)
            finally:
                writer.close()

    async def _use(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send requests over one connection until it is closed or an answer takes too long."""
        while True:
            self._num_sent += 1
            request_id = f"kept-{self._num_sent}"
            sent_s = now_s()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status = await self._exchange(request_id, reader, writer)
            except TimeoutError:
                self._record(request_id, node, 0, sent_s)
                return
            except (ConnectionClosedError, OSError):
                self.unanswered.append(UnansweredRequest(request_id, node, sent_s, now_s()))
                return
            self.num_answered += 1
            self._record(request_id, node, status, sent_s)
            await asyncio.sleep(REQUEST_INTERVAL_S * len(self._addresses))

    def _record(self, request_id: str, node: str, status: int, sent_s: float) -> None:
        latency_s = now_s() - sent_s
        self._record_outcome(PlainOutcome(request_id, node, PATH, status, sent_s, latency_s))

    async def _exchange(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> int:
        """Send a request and read its answer; returns the status."""
        # A new state machine for each request, as one that was told of the close sends no more.
        connection = h11.Connection(h11.CLIENT)
        headers = [*self._headers(request_id).items(), ("Content-Length", str(len(BODY)))]
        request = h11.Request(method="POST", target=PATH, headers=headers)
        writer.write(connection.send(request) or b"")
        writer.write(connection.send(h11.Data(data=BODY)) or b"")
        await writer.drain()
        connection.send(h11.EndOfMessage())
        status = 0
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            if isinstance(event, h11.EndOfMessage):
                return status
            if event is h11.NEED_DATA:
                received = await reader.read(READ_SIZE)
                if not received:
                    raise ConnectionClosedError
                connection.receive_data(received)


def lost_requests(
    unanswered: list[UnansweredRequest],
    executions: Mapping[str, int],
    kill_times_s: Mapping[str, list[float]],
) -> list[UnansweredRequest]:
    """Return the unanswered requests that a worker has started and no kill explains.

    Args:
        unanswered: Requests without a complete answer.
        executions: Number of executions started by workers, by request identifier.
        kill_times_s: Times at which processes were killed, by node.
    """
    return [
        request
        for request in unanswered
        if executions.get(request.request_id, 0)
        and not any(
            request.sent_s <= killed_s <= request.closed_s
            for killed_s in kill_times_s.get(request.node, ())
        )
    ]
