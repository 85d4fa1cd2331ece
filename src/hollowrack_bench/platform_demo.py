"""Demo on the users' platform in one process: store, workers, trainer and edge nodes on loopback.

A trainer runs steps beside plain requests while an edge node is killed and a worker breaks its
streams; the results that the trainer reads are checked.
"""

import asyncio
import base64
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack.platform.edge_process import EdgeProcess
from hollowrack.platform.settings import ProcessSettings
from hollowrack.tasks import cancel_all
from hollowrack_bench.free_ports import free_address
from hollowrack_standins.users_platform import (
    PlatformStoreStandin,
    PlatformWorkerStandin,
    WorkerRecords,
)

HOST = "demo.example"
MODEL = "quote"
JOBS_PREFIX = "/jobs/"
NUM_EDGES = 3
NUM_STEPS = 4
NUM_ITEMS = 16
NUM_EVENTS = 40
START_TIMEOUT_S = 40.0
STEP_TIMEOUT_S = 40.0
# Items that have waited this long may be given up.
QUEUE_TTL_S = 40
RETRY_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 9.0
READ_WAIT_MS = 500
HTTP_OK = 200
HTTP_ACCEPTED = 202
KILLED_EDGE = "edge-0"
STEP_WITH_KILL = 1


def configuration() -> dict[str, Any]:
    """Return the operators' configuration of the demo."""
    common = {"hostname": HOST, "priority": 1, "max-attempts": 3, "target-latency-ms": 300}
    return {
        "version": 1,
        "routes": [
            common
            | {"path-prefix": JOBS_PREFIX, "route-type": "rollout", "service": "engines"}
            | {"result-deadline-ms": 7500, "queue-ttl-s": QUEUE_TTL_S},
            common
            | {"path-prefix": "/prices/", "route-type": "safe", "service": "prices"}
            | {"timeout-ms": 2000},
        ],
        "services": [
            {"name": "engines", "engine": {"models": [{"name": MODEL}]}},
            {"name": "prices"},
        ],
    }


@dataclass
class PlatformDemoOutcome:
    """Outcome of a demo or soak.

    Attributes:
        rows: Report rows, by name.
        violations: Violated guarantees, one description each.
        evidence: Log lines about each violation, by violation; empty for demos.
    """

    rows: dict[str, str] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    evidence: dict[str, list[str]] = field(default_factory=dict)


class PlatformDemo:
    """Runs the platform, its edge nodes and one trainer, and checks the results.

    Attributes:
        step_timeout_s: Timeout of a step, in seconds.
    """

    step_timeout_s = STEP_TIMEOUT_S

    def __init__(self) -> None:
        self._store = PlatformStoreStandin()
        self.worker_records = WorkerRecords()
        self._workers = [
            PlatformWorkerStandin(f"engine-{index}", "engines", self.worker_records, MODEL)
            for index in range(3)
        ]
        self._workers += [
            PlatformWorkerStandin(f"price-{index}", "prices", self.worker_records)
            for index in range(2)
        ]
        self._edges: dict[str, EdgeProcess] = {}
        self._addresses: dict[str, str] = {}
        self._num_calls = 0
        # Sent with every request in addition to its own headers.
        self._caller_headers: dict[str, str] = {}
        self._num_plain_by_status: Counter[int] = Counter()
        self.outcome = PlatformDemoOutcome()

    async def run(self) -> PlatformDemoOutcome:
        """Run the demo and return its outcome."""
        await self._start()
        load_tasks = [
            asyncio.create_task(self._send_plain_requests()),
            asyncio.create_task(self._write_entries()),
        ]
        try:
            step_times_s = [await self._step(step) for step in range(NUM_STEPS)]
        finally:
            await cancel_all(*load_tasks)
            await self._stop()
        versions = {worker.version for worker in self._workers if worker.model}
        self.outcome.rows = {
            "steps taken": str(len(step_times_s)),
            "longest step, s": f"{max(step_times_s):.1f}",
            "plain requests by status": str(dict(self._num_plain_by_status)),
            "weight versions at the end": str(sorted(versions)),
            "orders given": str(len(self.worker_records.orders)),
            "holders of orders": str(len({holder for _, holder, *_ in self.worker_records.orders})),
        }
        return self.outcome

    async def _start(self) -> None:
        await self._store.server.start()
        self._store.put(names.CONFIGURATION_KEY, self._configuration())
        for worker in self._workers:
            worker.num_events = NUM_EVENTS
            # An outgoing connection could take an ephemeral port while the worker is down.
            worker.server.address = free_address()
            await self._start_worker(worker)
            self._store.put(names.WORKERS_PREFIX + worker.id, worker.entry())
        self._workers[0].faults.breaks_streams = NUM_ITEMS
        for name in self._edge_names():
            await self._start_edge(name)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._all_ready():  # noqa: ASYNC110 (no event)
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _start_worker(self, worker: PlatformWorkerStandin) -> None:
        await worker.server.start()

    def _configuration(self) -> dict[str, Any]:
        return configuration()

    def _edge_names(self) -> list[str]:
        return [f"edge-{index}" for index in range(NUM_EDGES)]

    async def _all_ready(self) -> bool:
        return all(edge.node.is_ready for edge in self._edges.values())

    async def _start_edge(self, name: str) -> None:
        listen = {key: free_address() for key in ("frontend", "readiness", "control-plane")}
        settings = ProcessSettings.model_validate(
            {
                "node-name": name,
                "zone": "z1",
                "listen": listen,
                "platform": {"address": self._store.server.address},
            }
        )
        edge = EdgeProcess(settings)
        await edge.start()
        self._edges[name] = edge
        self._addresses[name] = listen["frontend"]

    async def _stop(self) -> None:
        for edge in self._edges.values():
            await edge.kill()
        for worker in self._workers:
            await worker.server.crash()
        await self._store.server.crash()

    async def _step(self, step: int) -> float:
        """Run one trainer step; returns its duration, in seconds."""
        job_id = f"step-{step}"
        started_s = now_s()
        prefix = await self._prepare_step(step)
        body = json.dumps(job_content(job_id, max(1, step), prefix)).encode()
        async with asyncio.timeout(self.step_timeout_s):
            await self._call_until("POST", f"{prefix}{job_id}", HTTP_ACCEPTED, job_id, body)
            await self._after_submit(step)
            results = await self._read(job_id)
            await self._call_until("DELETE", names.JOBS_PATH + job_id, HTTP_OK)
        self._check_results(job_id, results)
        version = {"model": MODEL, "version": step + 2}
        self._store.put(names.TARGET_VERSION_PREFIX + MODEL, version)
        return now_s() - started_s

    async def _prepare_step(self, step: int) -> str:
        """Return the route prefix under which a step's job is submitted."""
        del step
        return JOBS_PREFIX

    async def _after_submit(self, step: int) -> None:
        if step == STEP_WITH_KILL:
            await self._edges.pop(KILLED_EDGE).kill()
            del self._addresses[KILLED_EDGE]

    async def _call_until(
        self, method: str, path: str, expected_status: int, request_id: str = "", body: bytes = b""
    ) -> None:
        """Repeat a request, each time at another edge, until it returns the expected status."""
        while (await self._call(method, path, request_id, body))[0] != expected_status:  # noqa: ASYNC110
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read(self, job_id: str) -> list[dict[str, Any]]:
        results: list[dict[str, Any]] = []
        while len(results) < NUM_ITEMS:
            path = f"{names.JOBS_PATH}{job_id}?after-revision={len(results)}"
            status, body = await self._call("GET", path, "")
            if status == HTTP_OK:
                results.extend(json.loads(body)["results"])
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
        return results

    def _check_results(self, job_id: str, results: list[dict[str, Any]]) -> None:
        ids = [result["id"] for result in results]
        if sorted(ids) != sorted(f"{job_id}.{index}" for index in range(NUM_ITEMS)):
            self.outcome.violations.append(f"{job_id}: items lost or duplicated")
        for result in results:
            self._check_complete_result(result)

    def _check_complete_result(self, result: dict[str, Any]) -> None:
        text = "\n".join(f"{result['id']}.{n}" for n in range(1, NUM_EVENTS + 1))
        if result["state"] != names.RESULT_COMPLETE or result["text"] != text:
            self.outcome.violations.append(f"{result['id']}: state is not complete, or wrong text")
        if not result.get("versions") or not result.get("score"):
            self.outcome.violations.append(f"{result['id']}: versions or score missing")

    async def _write_entries(self) -> None:
        """Write each worker's store entry whenever it changes."""
        written = {worker.id: worker.entry() for worker in self._workers}
        while True:
            await asyncio.sleep(RETRY_INTERVAL_S)
            for worker in self._workers:
                if worker.crash_task is None and worker.entry() != written.get(worker.id):
                    written[worker.id] = worker.entry()
                    self._store.put(names.WORKERS_PREFIX + worker.id, worker.entry())

    async def _send_plain_requests(self) -> None:
        number = 0
        while True:
            number += 1
            status, body = await self._call("POST", "/prices/x", f"plain-{number}", b"part")
            self._num_plain_by_status[status] += 1
            if status == HTTP_OK and not body.startswith(f"plain-{number} by ".encode()):
                self.outcome.violations.append(f"plain-{number}: got the answer of another request")
            await asyncio.sleep(RETRY_INTERVAL_S / 4)

    async def _call(
        self, method: str, path: str, request_id: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send a request to the next edge; returns status 0 if there is no answer."""
        return await self._call_at(self._next_edge(), method, path, request_id, body)

    def _next_edge(self) -> str:
        edges = sorted(self._addresses)
        self._num_calls += 1
        return edges[self._num_calls % len(edges)]

    def _headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a request, including those sent with all requests."""
        return self._caller_headers | {
            "Host": HOST,
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: "8000",
            names.WAIT_MS: str(READ_WAIT_MS),
        }

    async def _call_at(
        self, edge: str, method: str, path: str, request_id: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send a request to one edge; returns status 0 if there is no answer."""
        address = self._addresses[edge]
        headers = self._headers(request_id)
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_S)) as session,
                session.request(
                    method, f"http://{address}{path}", data=body, headers=headers
                ) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""


def job_content(job_id: str, min_version: int, prefix: str) -> dict[str, Any]:
    """Return the body of a job of ``NUM_ITEMS`` items.

    Args:
        job_id: Identifier of the job.
        min_version: Oldest weight version that its items may be generated with.
        prefix: Path prefix of its route.
    """
    body = base64.b64encode(b"prompt").decode()
    items = [
        {
            "id": f"{job_id}.{index}",
            "path": f"{prefix}x",
            "headers": {"Model": MODEL, "Token-Count": "10,40"},
            "body": body,
            "group": f"group-{index // 4}",
            "scorer": {
                "id": f"{job_id}.score-{index}",
                "hostname": HOST,
                "path": "/prices/score",
                "body": body,
            },
        }
        for index in range(NUM_ITEMS)
    ]
    return {"model": MODEL, "min-version": min_version, "requests": items}
