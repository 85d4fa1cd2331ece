"""HTTP connections that cannot be held open by sending slowly or not at all."""

import asyncio
import json
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hollowrack.results import DESCRIPTIONS, Problem, ResultCode


class ReadTimeoutProtocol(HttpToolsProtocol):
    """Closes a connection whose request is not read whole in time; answers 408 if it still can.

    Subclasses made by :func:`guarded_protocol` set the time.
    """

    read_timeout_s = 10.0

    def connection_made(self, transport: Any) -> None:
        """Start waiting for the first request."""
        super().connection_made(transport)
        self._guard: asyncio.TimerHandle | None = None
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._disarm()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """A request begins; it must be whole in time."""
        super().on_message_begin()
        self._arm()

    def on_message_complete(self) -> None:
        """The request is whole."""
        super().on_message_complete()
        self._disarm()

    def _arm(self) -> None:
        self._disarm()
        self._guard = self.loop.call_later(self.read_timeout_s, self._give_up)

    def _disarm(self) -> None:
        if self._guard is not None:
            self._guard.cancel()
            self._guard = None

    def _give_up(self) -> None:
        if self.transport.is_closing():
            return
        is_answering = self.cycle is not None and self.cycle.response_started
        if not is_answering:
            self.transport.write(_too_slow_answer(self.read_timeout_s))
        self.transport.close()


def make_read_timeout_protocol(read_timeout_s: float) -> type[ReadTimeoutProtocol]:
    """Return the protocol with its time, in seconds."""
    return type("ReadTimeoutProtocol", (ReadTimeoutProtocol,), {"read_timeout_s": read_timeout_s})


def _too_slow_answer(read_timeout_s: float) -> bytes:
    problem = Problem(
        ResultCode.CALLER_TOO_SLOW, f"the request was not read whole in {read_timeout_s:g} s"
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
