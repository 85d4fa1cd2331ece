"""Builders of workers, routes, directories and forwarders for the forwarding tests."""

import random

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.forwarder import Forwarder, ForwardRequest
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import (
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    Target,
    Worker,
)
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.wall_clock import WallClock
from hollowrack_standins.back_ends import BackEndsStandin

HOST = "h.example"


def make_worker(
    name: str, service: str = "svc", capacity: int = 4, versions: dict[str, int] | None = None
) -> Worker:
    return Worker(name, service, f"127.0.0.1:{9000}", "z1", capacity, False, versions or {})


def make_route(kind: RouteKind = RouteKind.SAFE, prefix: str = "/a/", **changes: object) -> Route:
    values: dict[str, object] = {
        "name": f"r-{prefix}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "targets": (Target("svc", 1.0),),
        "max_attempts": 3,
        "timeout_s": 2.0,
        "target_latency_s": 0.2,
        "priority": 1,
    }
    return Route(**(values | changes))  # type: ignore[arg-type]


def make_table(*routes: Route, version: int = 1, models: tuple[str, ...] = ()) -> RouteTable:
    table = RouteTable()
    services = {"svc": Service("svc", 100, models), "score": Service("score", 100)}
    table.apply(RoutingConfiguration(version, routes, services))
    return table


def make_directory(*workers: Worker) -> WorkerDirectory:
    directory = WorkerDirectory("z1", random.Random(1))
    for worker in workers:
        directory.update(worker)
    return directory


def make_request(
    route: Route, request_id: str = "q1", deadline_s: float | None = None
) -> ForwardRequest:
    call = BackEndCall(request_id, "POST", f"{route.prefix}x", (("Host", HOST),), b"body")
    return ForwardRequest(call, route, deadline_s)


def make_forwarder(
    route: Route, back_ends: BackEndsStandin, num_workers: int = 3
) -> tuple[Forwarder, WorkerDirectory]:
    directory = make_directory(*(make_worker(f"w{index}") for index in range(num_workers)))
    quarantine = Quarantine(back_ends)
    table, rng = make_table(route), random.Random(1)
    return Forwarder(table, directory, back_ends, make_meter(), quarantine, rng), directory


def make_meter(window_s: float | None = None) -> UsageMeter:
    clock = WallClock(lambda: 0.0, lambda: 0.0)
    return UsageMeter("p1", clock, window_s)
