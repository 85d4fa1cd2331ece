"""A stand-in's HTTP server that can crash and come back on the same address."""

from starlette.applications import Starlette
from starlette.routing import Route

from hollowrack.api.server import HttpServer

MAX_CONNECTIONS = 10_000


class StandinServer:
    """Serves the routes of one stand-in.

    Args:
        routes: Its routes.
        address: ``IP:PORT``; port 0 takes a free one and keeps it over restarts.
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
        """Stop after open requests had a moment to finish."""
        server, self._server = self._server, None
        if server is not None:
            await server.stop()

    async def crash(self) -> None:
        """Drop the listener and all connections at once."""
        server, self._server = self._server, None
        if server is not None:
            await server.abort()
