"""Worker of a plain service that counts the executions of each request."""

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
    """Faults of a worker.

    Attributes:
        refuses: Whether requests are refused with a header that states that they did not run.
        delay_s: Time that a request takes, in seconds.
        num_lost_answers: Number of next requests that run and whose answers are lost.
        num_short_answers: Number of next answers shorter than their content length.
        num_errors: Number of next requests that run and are answered 500.
    """

    refuses: bool = False
    delay_s: float = 0.002
    num_lost_answers: int = 0
    num_short_answers: int = 0
    num_errors: int = 0


class _LostAnswer(Response):
    """Closes the connection after the head of an answer, before its body."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        raise ConnectionResetError("fault: connection reset before the body was sent")


class ServiceWorkerStandin:
    """Serves one worker over HTTP.

    Args:
        name: Name of the worker, contained in the body of its answers.
        address: ``IP:PORT`` to listen on.
        executions: Number of executions by request identifier; may be shared by workers. ``None``
            for a counter of its own.
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
        """Start serving and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self.server.stop()

    async def crash(self) -> None:
        """Close the listener and all connections immediately."""
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
        if self._use_fault("num_lost_answers"):
            return _LostAnswer()
        answer = {
            "worker": self._name,
            "path": request.path_params["path"],
            "identifier": identifier,
            "body_hash": hashlib.blake2b(body, digest_size=8).hexdigest(),
        }
        if self._use_fault("num_errors"):
            return JSONResponse(answer, status_code=500)
        response = JSONResponse(answer)
        if self._use_fault("num_short_answers"):
            response.headers["Content-Length"] = str(len(response.body) + 10)
        return response

    def _use_fault(self, name: str) -> bool:
        remaining: int = getattr(self.faults, name)
        if remaining:
            setattr(self.faults, name, remaining - 1)
        return remaining > 0
