"""An ordinary service worker that counts how often each request ran."""

import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from hollowrack_standins.server import StandinServer

_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@dataclass
class WorkerFaults:
    """Switches for the faults of a worker.

    Attributes:
        refuses: Requests are refused with a promise that they did not run.
        delay_s: Time a request takes.
        num_lost_answers: The next answers are lost after the request ran.
        num_short_answers: The next answers end before their length.
        num_errors: The next requests run and are answered 500.
    """

    refuses: bool = False
    delay_s: float = 0.002
    num_lost_answers: int = 0
    num_short_answers: int = 0
    num_errors: int = 0


class _LostAnswer(Response):
    """Closes the connection after the head of an answer: nobody learns what it was."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        raise ConnectionResetError("the answer is lost")


class ServiceWorkerStandin:
    """One worker.

    Args:
        name: Its name, in every answer.
        address: ``IP:PORT`` to listen on.
        executions: Counts of executions by request identifier; may be shared by workers.
    """

    def __init__(
        self,
        name: str,
        address: str = "127.0.0.1:0",
        executions: Counter[str] | None = None,
    ) -> None:
        self.faults = WorkerFaults()
        self.executions: Counter[str] = executions if executions is not None else Counter()
        self.num_requests = 0
        self._name = name
        self.server = StandinServer([Route("/{path:path}", self._serve, methods=_METHODS)], address)

    async def start(self) -> str:
        """Start and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop."""
        await self.server.stop()

    async def crash(self) -> None:
        """Drop the listener and all connections at once."""
        await self.server.crash()

    async def _serve(self, request: Request) -> Response:
        if self.faults.refuses:
            headers = {"X-Not-Run": "1", "Retry-After": "1"}
            return PlainTextResponse("refused", status_code=503, headers=headers)
        body = await request.body()
        self.num_requests += 1
        identifier = request.headers.get("Idempotency-Key") or request.headers.get("X-Request-Id")
        if identifier is not None:
            self.executions[identifier] += 1
        await asyncio.sleep(self.faults.delay_s)
        if self._take("num_lost_answers"):
            return _LostAnswer()
        answer = {
            "worker": self._name,
            "path": request.path_params["path"],
            "identifier": identifier,
            "body_hash": hashlib.blake2b(body, digest_size=8).hexdigest(),
        }
        if self._take("num_errors"):
            return JSONResponse(answer, status_code=500)
        response = JSONResponse(answer)
        if self._take("num_short_answers"):
            response.headers["Content-Length"] = str(len(response.body) + 10)
        return response

    def _take(self, name: str) -> bool:
        remaining: int = getattr(self.faults, name)
        if remaining:
            setattr(self.faults, name, remaining - 1)
        return remaining > 0
