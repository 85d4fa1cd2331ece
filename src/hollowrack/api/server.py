"""HTTP server: runs an ASGI application with uvicorn in the current event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from math import ceil

import uvicorn
from starlette.types import ASGIApp

from hollowrack.api.read_timeout_protocol import make_read_timeout_protocol
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.settings.address import split_address

START_POLL_INTERVAL_S = 0.01
LISTEN_BACKLOG = 1024
DEFAULT_READ_TIMEOUT_S = 30.0
DEFAULT_IDLE_TIMEOUT_S = 30.0
DEFAULT_GRACEFUL_STOP_TIMEOUT_S = 5.0
# Time for which uvicorn waits after it has closed idle connections.
SHUTDOWN_OVERHEAD_S = 0.1


class _EmbeddedServer(uvicorn.Server):
    """Uvicorn server that leaves signals to the process and is told to exit by an event.

    Attributes:
        exit_requested: Ends the server when it is set.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.exit_requested = asyncio.Event()

    async def main_loop(self) -> None:
        """Wait for the end; the periodic tasks of uvicorn's own loop are not used here."""
        await self.on_tick(0)
        await self.exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers of the process unchanged."""
        yield


class HttpServer:
    """One HTTP listener.

    Args:
        app: The ASGI application.
        address: ``IP:PORT`` to listen on; port 0 selects a free port.
        place: Settings key of the address, reported in errors.
        max_connections: Maximum number of connections; further ones receive status 503.
        read_timeout_s: Timeout for reading one request, in seconds.
        idle_timeout_s: Keep-alive timeout of idle connections, in seconds; rounded up to
            an integer.
        graceful_stop_s: Maximum time for open requests to finish at a stop, in seconds; rounded up
            to an integer. :meth:`stop` may be given another one.
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
        """Start the server; returns once it accepts connections."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started and not self._task.done():  # noqa: ASYNC110 (no event)
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def stop(self, graceful_stop_s: float | None = None) -> None:
        """Stop accepting connections, let open requests finish within the timeout, then close.

        Args:
            graceful_stop_s: Maximum time until open requests are cancelled, in seconds; ``None``
                for the server's own.
        """
        if graceful_stop_s is not None:
            timeout_s = max(0.0, graceful_stop_s - SHUTDOWN_OVERHEAD_S)
            # Uvicorn passes it to asyncio, which takes fractions.
            self._server.config.timeout_graceful_shutdown = timeout_s  # type: ignore[assignment]
        await self._exit()

    async def abort(self) -> None:
        """Close all connections immediately, without waiting for open requests."""
        self._server.force_exit = True
        await self._exit()

    async def _exit(self) -> None:
        self._server.should_exit = True
        self._server.exit_requested.set()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
        self._socket.close()


def _bind(address: str, place: str) -> socket.socket:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol is IPPROTO_TCP.
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
