"""Incarnations of workers must be distinguished in entries, in reports and after a restart."""

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from returns.result import Failure, Success

from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.platform.configuration import decode_worker
from hollowrack.platform.worker_client import PlatformWorkers, worker_session
from hollowrack.results import ResultCode
from hollowrack_standins.users_platform import (
    PlatformWorkerFaults,
    PlatformWorkerStandin,
    WorkerRecords,
)
from tests.platform.helpers import System, run_system, until

ENTRY = {"service": "svc", "address": "127.0.0.1:1", "zone": "z1", "capacity": 8, "state": "ready"}
CRASHING = b"crashes each incarnation that runs it"


@pytest.mark.parametrize(
    ("fields", "started_ms"), [({"born": 1_790_000_000_000}, 1_790_000_000_000), ({}, 0)]
)
def test_entry_identifies_the_incarnation(fields: dict[str, Any], started_ms: int) -> None:
    decoded = decode_worker("servers/w0", json.dumps(ENTRY | fields).encode())
    assert isinstance(decoded, Success)
    assert decoded.unwrap().incarnation == WorkerIncarnation("w0", started_ms)


@pytest.mark.parametrize("born", ["1790000000000", 1.5, True, None, [1]])
def test_entry_with_an_invalid_start_time_is_rejected(born: object) -> None:
    decoded = decode_worker("servers/w0", json.dumps(ENTRY | {"born": born}).encode())
    assert isinstance(decoded, Failure)
    assert decoded.failure().code is ResultCode.ENTRY_UNREADABLE
    assert decoded.failure().place == "servers/w0"


def with_worker(
    scenario: Callable[[PlatformWorkers, PlatformWorkerStandin, Worker], Awaitable[None]],
) -> None:
    async def main() -> None:
        standin = PlatformWorkerStandin("w0", "svc", WorkerRecords(), "m")
        await standin.server.start()
        entry = json.dumps(standin.entry()).encode()
        worker = decode_worker("servers/w0", entry).unwrap()
        async with worker_session() as session, worker_session(force_close=True) as fresh:
            await scenario(PlatformWorkers(session, fresh), standin, worker)
        await standin.server.stop()

    asyncio.run(main())


def test_newer_incarnation_shows_that_a_worker_has_ended() -> None:
    async def scenario(
        workers: PlatformWorkers, standin: PlatformWorkerStandin, worker: Worker
    ) -> None:
        assert not await workers.has_crashed(worker)
        standin.begin_incarnation(version=1)
        assert await workers.has_crashed(worker)
        assert not await workers.has_crashed(replace(worker, started_ms=standin.started_ms))
        assert not await workers.has_crashed(replace(worker, started_ms=0))

    with_worker(scenario)


def test_report_identifies_the_incarnation() -> None:
    async def scenario(
        workers: PlatformWorkers, standin: PlatformWorkerStandin, worker: Worker
    ) -> None:
        standin.begin_incarnation(version=3)
        report = await workers.report(worker)
        assert report is not None
        assert report.started_ms == standin.started_ms > worker.started_ms
        assert report.model_versions == {"m": 3}

    with_worker(scenario)


@pytest.mark.parametrize(
    "changes",
    [{"born": "x"}, {"born": None}, {"sequence": None}, {"models": 5}, {"models": ["m"]}],
    ids=str,
)
def test_malformed_report_yields_none(changes: dict[str, object]) -> None:
    report = {"models": [], "busy": False, "sequence": 0, "born": 1} | changes

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(report).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with worker_session() as session, worker_session(force_close=True) as fresh:
            worker = Worker("w0", "svc", f"{host}:{port}", "z1", 1)
            assert await PlatformWorkers(session, fresh).report(worker) is None
        server.close()

    asyncio.run(main())


def test_restarted_worker_receives_a_new_order() -> None:
    async def scenario(system: System) -> None:
        system.store.put("op/version/m", {"model": "m", "version": 2})
        await until(lambda: all(system.workers[name].version == 2 for name in ("e0", "e1")))
        restarted = system.workers["e0"]
        num_orders = len(system.worker_records.orders)
        restarted.begin_incarnation(version=1)
        system.store.put(f"servers/{restarted.id}", restarted.entry())
        await until(lambda: restarted.version == 2)
        assert [order[0] for order in system.worker_records.orders[num_orders:]] == [restarted.id]

    run_system(scenario, num_edges=2)


def test_request_is_quarantined_after_crashing_three_incarnations() -> None:
    async def scenario(system: System) -> None:
        request_numbers = itertools.count()
        worker = system.workers.pop("s0")
        system.store.remove(f"servers/{system.workers['s1'].id}")
        worker.faults = PlatformWorkerFaults(crashes_on=CRASHING)
        nodes = [edge.node for edge in system.edges.values()]
        await until(lambda: all(len(node.workers.serving("svc")) == 1 for node in nodes))
        for _ in range(3):
            answer = await system.send(
                "/plain/x", body=CRASHING, request_id=f"q{next(request_numbers)}"
            )
            assert answer.status == 502
            assert worker.crash_task is not None
            await worker.crash_task
            worker.crash_task = None
            worker.begin_incarnation(version=1)
            await worker.server.start()
            system.store.put(f"servers/{worker.id}", worker.entry())
            await until(lambda: all(_has_current_incarnation(node, worker) for node in nodes))
        await until(lambda: all(node.quarantine.registry.num_quarantined for node in nodes))
        answer = await system.send("/plain/x", body=CRASHING, request_id="late", node="n1")
        assert answer.json()["error"]["code"] == ResultCode.REQUEST_QUARANTINED
        assert (await system.send("/plain/x", body=b"sound", request_id="sound")).status == 200
        system.workers["s0"] = worker

    run_system(scenario, num_edges=2)


def _has_current_incarnation(node: EdgeNode, standin: PlatformWorkerStandin) -> bool:
    """Return whether a node has read the entry of a worker's current incarnation."""
    known = node.workers.get(standin.id)
    return known is not None and known.started_ms == standin.started_ms
