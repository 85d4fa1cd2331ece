"""Serves a Starlette application with uvicorn inside the node's own event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from math import ceil

import uvicorn
from starlette.types import ASGIApp

from hollowrack.api.read_timeout_protocol import make_read_timeout_protocol
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.settings.model import split_address

START_POLL_INTERVAL_S = 0.01
LISTEN_BACKLOG = 1024
DEFAULT_READ_TIMEOUT_S = 30.0
DEFAULT_IDLE_TIMEOUT_S = 30.0
DEFAULT_GRACEFUL_STOP_TIMEOUT_S = 5.0


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do not touch the process's signal handlers."""
        yield


class HttpServer:
    """One HTTP listener.

    Args:
        app: The application.
        address: ``IP:PORT`` to listen on; port 0 takes a free one.
        place: The settings key, for errors.
        max_connections: Most connections at once; more are answered 503.
        read_timeout_s: Longest time to read one request, in seconds.
        idle_timeout_s: Longest rest of a kept connection, in seconds.
        graceful_stop_s: Longest time that open requests have at a stop, in seconds.
    """

    def __init__(
        self,
        app: ASGIApp,
        address: str,
        place: str,
        max_connections: int,
        read_timeout_s: float = DEFAULT_READ_TIMEOUT_S,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        graceful_stop_s: float = DEFAULT_GRACEFUL_STOP_TIMEOUT_S,
    ) -> None:
        self._socket = _bind(address, place)
        host, port = self._socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=make_read_timeout_protocol(read_timeout_s),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            limit_concurrency=max_connections,
            date_header=False,
            timeout_keep_alive=ceil(idle_timeout_s),
            timeout_graceful_shutdown=ceil(graceful_stop_s),
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start serving and return once connections are accepted."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started and not self._task.done():  # noqa: ASYNC110 (no event)
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stop accepting, let open requests finish for a moment, then close."""
        self._server.should_exit = True
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()

    async def abort(self) -> None:
        """Close everything at once, as a crash would."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()


def _bind(address: str, place: str) -> socket.socket:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only for sockets whose protocol says TCP.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        detail = f"{address}: {error.strerror or error}."
        raise ProblemError(Problem(ResultCode.ADDRESS_UNAVAILABLE, detail, place)) from error
    listener.setblocking(False)
    return listener
