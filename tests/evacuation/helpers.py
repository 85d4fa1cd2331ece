"""An edge node with workers in two zones, whose zones can be evacuated."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.forwarder import ForwardRequest
from hollowrack.forwarding.stream_forwarder import StreamForwarder
from hollowrack.forwarding.types import Route, RouteKind, RoutingConfiguration, Target, Worker
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import MODEL, Fleet, configuration

HOST = "h.example"
NEAR, FAR = "z1", "z2"
# In virtual time: a request that waits forever fails its test.
SCENARIO_TIMEOUT_S = 300.0


@dataclass
class Scene:
    """A node and its workers: ``e0``, ``s0`` in zone ``z1`` and ``e1``, ``s1`` in ``z2``."""

    fleet: Fleet
    node: EdgeNode
    streams: StreamForwarder = field(init=False)

    def __post_init__(self) -> None:
        node = self.node
        self.streams = StreamForwarder(
            node.routes,
            node.workers,
            node.back_ends,
            node.queue,
            lambda _: None,
            node.usage,
            node.quarantine,
        )

    def worker_ids(self, request_id: str) -> list[str]:
        """Return the workers that ran a request, in order."""
        return self.fleet.back_ends.worker_ids_by_request.get(request_id, [])


def worker(name: str, zone: str, capacity: int = 4) -> Worker:
    """Return a generating worker (``e...``) or a scoring one."""
    if name.startswith("e"):
        return Worker(name, "engines", "127.0.0.1:1", zone, capacity, False, {MODEL: 1})
    return Worker(name, "scorers", "127.0.0.1:1", zone, capacity)


def with_routes(base: RoutingConfiguration) -> RoutingConfiguration:
    """Return the configuration of the fleet with routes of the other kinds."""

    def route(kind: RouteKind, service: str, **changes: Any) -> Route:
        name = f"{kind.value}{len(changes)}"
        targets = (Target(service, 1.0),)
        return Route(name, HOST, f"/{name}/", kind, targets, 3, 5.0, 0.2, 1, **changes)

    routes = (
        route(RouteKind.SAFE, "scorers"),
        route(RouteKind.UNSAFE, "scorers"),
        route(RouteKind.STREAM, "engines"),
        route(RouteKind.STREAM, "engines", is_resumable=True),
    )
    return RoutingConfiguration(base.version + 1, (*base.routes, *routes), base.services)


def make_request(prefix: str, request_id: str) -> ForwardRequest:
    """Return a request to the route with a prefix, such as ``safe0``."""
    route = next(
        route for route in with_routes(configuration()).routes if route.prefix == f"/{prefix}/"
    )
    call = BackEndCall(request_id, "POST", f"/{prefix}/x", (("Host", HOST),), b"body")
    return ForwardRequest(call, route, None)


def run_scene(scenario: Callable[[Scene], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario in virtual time."""

    async def main() -> None:
        random.seed(1)
        fleet = Fleet(1)
        node = fleet.nodes["n0"]
        node.configuration_changed(with_routes(configuration()))
        for name in ("e0", "s0"):
            node.worker_changed(worker(name, NEAR))
        for name in ("e1", "s1"):
            node.worker_changed(worker(name, FAR))
        scene = Scene(fleet, node)
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await scenario(scene)
        await fleet.stop()

    run_virtual(main())
