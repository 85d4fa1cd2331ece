"""Test system over loopback: stand-ins for store and workers, and real edge processes."""

import asyncio
import base64
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from multidict import CIMultiDictProxy

from hollowrack.platform.edge_process import EdgeProcess
from hollowrack.platform.settings import ProcessSettings
from hollowrack_bench.free_ports import free_address
from hollowrack_standins.users_platform import (
    PlatformStoreStandin,
    PlatformWorkerStandin,
    WorkerRecords,
)

HOST = "h.example"
MODEL = "m"
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "plain",
            "hostname": HOST,
            "path-prefix": "/plain/",
            "route-type": "safe",
            "timeout-ms": 3000,
            "target-latency-ms": 300,
            "priority": 2,
            "service": "svc",
            "max-attempts": 3,
        },
        {
            "name": "once",
            "hostname": HOST,
            "path-prefix": "/once/",
            "route-type": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": 300,
            "priority": 2,
            "service": "svc",
            "max-attempts": 3,
        },
        {
            "name": "stream",
            "hostname": HOST,
            "path-prefix": "/stream/",
            "route-type": "streaming",
            "resumable": True,
            "timeout-ms": 9000,
            "target-latency-ms": 300,
            "priority": 2,
            "service": "llm",
            "max-attempts": 3,
        },
        {
            "name": "jobs",
            "hostname": HOST,
            "path-prefix": "/jobs/",
            "route-type": "rollout",
            "target-latency-ms": 400,
            "result-deadline-ms": 7500,
            "queue-ttl-s": 40,
            "priority": 1,
            "service": "llm",
            "max-attempts": 3,
        },
    ],
    "services": [
        {"name": "svc", "health-path": "/healthz", "max-connections": 100},
        {
            "name": "llm",
            "health-path": "/healthz",
            "max-connections": 100,
            "engine": {"models": [{"name": MODEL}]},
        },
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 100_000,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


async def until(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    """Poll until a condition holds.

    Raises:
        TimeoutError: If it does not hold within ``timeout_s`` seconds.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.02)


def job_body(name: str, num_items: int = 6, min_version: int = 1) -> dict[str, Any]:
    items = [
        {
            "id": f"{name}.i{index}",
            "path": "/jobs/x",
            "headers": {"Model": MODEL, "Token-Count": "10,20", "Prefix-Hash": f"a:5,b{index}:5"},
            "body": base64.b64encode(f"prompt {index}".encode()).decode(),
            "tokens": 30,
            "group": f"g{index // 2}",
            "scorer": {
                "id": f"{name}.s{index}",
                "hostname": HOST,
                "path": "/plain/score",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for index in range(num_items)
    ]
    return {
        "step": 0,
        "model": MODEL,
        "min-version": min_version,
        "desired": num_items // 2,
        "requests": items,
    }


@dataclass
class Answer:
    """Response as received by a client."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


@dataclass
class System:
    """Stand-ins and edge processes of a running test system."""

    store: PlatformStoreStandin
    workers: dict[str, PlatformWorkerStandin]
    worker_records: WorkerRecords
    edges: dict[str, EdgeProcess] = field(default_factory=dict)
    addresses: dict[str, tuple[str, str]] = field(default_factory=dict)

    async def start_edge(
        self, name: str, changes: dict[str, Any] | None = None, stops_at_once: bool = False
    ) -> EdgeProcess:
        """Start an edge process; ``stops_at_once`` requests its stop before it has started."""
        frontend, readiness = free_address(), free_address()
        settings = ProcessSettings.model_validate(
            {
                "node-name": name,
                "zone": "z1",
                "listen": {
                    "frontend": frontend,
                    "readiness": readiness,
                    "control-plane": free_address(),
                },
                "bounds": {"lease-ms": 300},
                "platform": {"address": self.store.server.address},
            }
            | (changes or {})
        )
        edge = EdgeProcess(settings, seed=sum(name.encode()))
        if stops_at_once:
            edge.start_stop()
        await edge.start()
        self.edges[name] = edge
        self.addresses[name] = (frontend, readiness)
        return edge

    async def send(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        node: str = "n0",
        request_id: str = "q1",
    ) -> Answer:
        base = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "5000"}
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method,
                f"http://{self.addresses[node][0]}{path}",
                data=body,
                headers=base | (headers or {}),
            ) as response,
        ):
            return Answer(response.status, response.headers, await response.read())

    async def is_ready(self, node: str) -> bool:
        url = f"http://{self.addresses[node][1]}/api/readyz"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status == 200

    async def read_job(self, job_id: str, num_items: int, node: str = "n0") -> list[Any]:
        results: list[Any] = []
        async with asyncio.timeout(30.0):
            while len(results) < num_items:
                path = f"/api/lots/{job_id}?after-revision={len(results)}"
                answer = await self.send(path, "GET", headers={"Wait-Ms": "500"}, node=node)
                if answer.status != 200:
                    await asyncio.sleep(0.1)
                    continue
                page = answer.json()
                assert page["total"] == num_items
                assert page["next-page-token"] == len(results) + len(page["results"])
                results.extend(page["results"])
        return results

    async def wait_until_ready(self, node: str) -> None:
        async with asyncio.timeout(10.0):
            while not await self.is_ready(node):  # noqa: ASYNC110 (no event)
                await asyncio.sleep(0.02)
        await until(lambda: len(self.edges[node].node.workers.all()) == len(self.workers))


def run_system(scenario: Callable[[System], Awaitable[None]], num_edges: int = 1) -> None:
    """Run a scenario against a new system with ``num_edges`` ready edge processes."""

    async def main() -> None:
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        store = PlatformStoreStandin()
        await store.server.start()
        ledger = WorkerRecords()
        workers = {
            name: PlatformWorkerStandin(name, service, ledger, model)
            for name, service, model in (
                ("s0", "svc", ""),
                ("s1", "svc", ""),
                ("e0", "llm", MODEL),
                ("e1", "llm", MODEL),
            )
        }
        store.put("op/config", CONFIGURATION)
        for worker in workers.values():
            await worker.server.start()
            store.put(f"servers/{worker.id}", worker.entry())
        system = System(store, workers, ledger)
        for index in range(num_edges):
            await system.start_edge(f"n{index}")
            await system.wait_until_ready(f"n{index}")
        try:
            await scenario(system)
        finally:
            for edge in system.edges.values():
                await edge.kill()
            for worker in workers.values():
                await worker.server.crash()
            await store.server.crash()

    asyncio.run(main())
