"""HTTP server of a stand-in, which can crash and restart on the same address."""

from starlette.applications import Starlette
from starlette.routing import Route

from hollowrack.api.server import HttpServer

MAX_CONNECTIONS = 10_000


class StandinServer:
    """Serves the routes of one stand-in.

    Args:
        routes: Routes of the API, served again after each restart.
        address: ``IP:PORT`` to listen on; port 0 selects a free port, which restarts reuse.
    """

    def __init__(self, routes: list[Route], address: str = "127.0.0.1:0") -> None:
        self._routes = routes
        self._server: HttpServer | None = None
        self.address = address

    async def start(self) -> str:
        """Start serving and return the bound address."""
        app = Starlette(routes=self._routes)
        self._server = HttpServer(app, self.address, "standin", MAX_CONNECTIONS)
        self.address = self._server.address
        await self._server.start()
        return self.address

    async def stop(self) -> None:
        """Stop gracefully: open requests may finish within the graceful-stop timeout."""
        server, self._server = self._server, None
        if server is not None:
            await server.stop()

    async def crash(self) -> None:
        """Close the listener and all connections immediately."""
        server, self._server = self._server, None
        if server is not None:
            await server.abort()
