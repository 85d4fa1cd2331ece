"""HTTP protocol with a read timeout, which protects a node against slow clients."""

import asyncio
import json
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hollowrack.results import DESCRIPTIONS, Problem, ResultCode


class ReadTimeoutProtocol(HttpToolsProtocol):
    """Closes connections whose request is not complete within the read timeout.

    Sends status 408 unless a response has started. Subclasses from
    :func:`make_read_timeout_protocol` set the timeout.
    """

    read_timeout_s = 10.0

    def connection_made(self, transport: Any) -> None:
        """Start the read timer for the first request."""
        super().connection_made(transport)
        self._read_timer: asyncio.TimerHandle | None = None
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the read timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start the read timer of a request."""
        super().on_message_begin()
        self._start_timer()

    def on_message_complete(self) -> None:
        """Cancel the read timer of the complete request."""
        super().on_message_complete()
        self._cancel_timer()

    def _start_timer(self) -> None:
        self._cancel_timer()
        self._read_timer = self.loop.call_later(self.read_timeout_s, self._on_read_timeout)

    def _cancel_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _on_read_timeout(self) -> None:
        if self.transport.is_closing():
            return
        is_answering = self.cycle is not None and self.cycle.response_started
        if not is_answering:
            self.transport.write(_timeout_response(self.read_timeout_s))
        self.transport.close()


def make_read_timeout_protocol(read_timeout_s: float) -> type[ReadTimeoutProtocol]:
    """Return a protocol class with a read timeout, in seconds."""
    return type("ReadTimeoutProtocol", (ReadTimeoutProtocol,), {"read_timeout_s": read_timeout_s})


def _timeout_response(read_timeout_s: float) -> bytes:
    problem = Problem(
        ResultCode.CALLER_TOO_SLOW, f"the request was not complete after {read_timeout_s:g} s"
    )
    description = DESCRIPTIONS[problem.code]
    body = json.dumps(
        {
            "error": {
                "code": int(problem.code),
                "name": problem.code.name,
                "detail": problem.detail,
                "place": "connection",
                "remedy": problem.remedy,
                "may_have_run": "no",
                "repeat": description.repeat.value,
            }
        }
    ).encode()
    head = (
        f"HTTP/1.1 {description.http_status} Request Timeout\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
