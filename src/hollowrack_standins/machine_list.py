"""Machine list in the format of Prometheus HTTP service discovery, with a configurable lag."""

import time
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from hollowrack_standins.server import StandinServer


@dataclass(frozen=True)
class ListedMachine:
    """A machine in the list.

    Attributes:
        address: ``IP:PORT``; the other fields are its labels.
        kind: ``engine`` or ``service``; clients skip machines of other kinds.
        pool: Name of the model (engine) or of the service pool (service).
        state: ``live`` or ``leaving``.
    """

    address: str
    kind: str
    pool: str
    zone: str
    state: str = "live"


class MachineListStandin:
    """Serves the list over HTTP.

    Args:
        address: ``IP:PORT`` to listen on.
        lag_s: Age of the list that readers get, in seconds.
    """

    def __init__(self, address: str = "127.0.0.1:0", lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.is_down = False
        self._history: list[tuple[float, dict[str, ListedMachine]]] = [(0.0, {})]
        self.server = StandinServer(
            [
                Route("/targets", self._targets, methods=["GET"]),
                Route("/machines", self._register, methods=["POST"]),
            ],
            address,
        )

    async def start(self) -> str:
        """Start serving and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self.server.stop()

    def set_machine(self, machine: ListedMachine) -> None:
        """Add or replace a machine; readers get the change after the lag."""
        current = dict(self._history[-1][1])
        current[machine.address] = machine
        self._history.append((time.monotonic(), current))

    def remove_machine(self, address: str) -> None:
        """Remove a machine; readers get the change after the lag."""
        current = dict(self._history[-1][1])
        current.pop(address, None)
        self._history.append((time.monotonic(), current))

    def _visible(self) -> dict[str, ListedMachine]:
        visible_until_s = time.monotonic() - self.lag_s
        visible: dict[str, ListedMachine] = {}
        for at_s, machines in self._history:
            if at_s > visible_until_s:
                break
            visible = machines
        return visible

    async def _targets(self, request: Request) -> Response:
        del request
        if self.is_down:
            return PlainTextResponse("unavailable", status_code=503)
        return JSONResponse(
            [
                {
                    "targets": [machine.address],
                    "labels": {
                        "kind": machine.kind,
                        "pool": machine.pool,
                        "zone": machine.zone,
                        "state": machine.state,
                    },
                }
                for machine in self._visible().values()
            ]
        )

    async def _register(self, request: Request) -> Response:
        body = await request.json()
        try:
            self.set_machine(ListedMachine(**body))
        except TypeError as error:
            return PlainTextResponse(str(error), status_code=400)
        return JSONResponse({})
