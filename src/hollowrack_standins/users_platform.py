"""Stand-ins of the store and the workers of the users' platform over HTTP.

The store serves :class:`CoordinationStoreCore`. A worker streams events like an engine, answers
plain requests like a scorer, and loads weight versions.
"""

import asyncio
import base64
import json
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from hollowrack.coordination.store import (
    Committed,
    Condition,
    Conflict,
    HistoryGone,
    LeaseGone,
    Put,
    RemovedKey,
    StoredItem,
)
from hollowrack.platform import names
from hollowrack_standins.coordination_store import CoordinationStoreCore
from hollowrack_standins.server import StandinServer

METHODS = ["GET", "POST", "PUT", "DELETE"]
MS_PER_S = 1000
LOAD_TIME_S = 0.05
EVENT_INTERVAL_S = 0.002
# Additional time of a plain request at a cold worker.
COLD_DELAY_S = 0.15
PAGE_SIZE = 3
# Start time of the first incarnation of a worker, in milliseconds since the epoch.
FIRST_START_MS = 1_700_000_000_000
START_TIME_STEP_MS = 1000


@dataclass
class PlatformFaults:
    """Faults of the store.

    Attributes:
        status: HTTP status of every answer; ``None`` for the status of the call's outcome.
        num_lost_answers: Number of next writes that take effect and whose connections are reset.
        answers_nonsense: Whether every answer is invalid JSON.
    """

    status: int | None = None
    num_lost_answers: int = 0
    answers_nonsense: bool = False


class PlatformStoreStandin:
    """Serves the store over HTTP."""

    def __init__(self) -> None:
        self.core = CoordinationStoreCore()
        self.faults = PlatformFaults()
        self.server = StandinServer(
            [
                Route(names.KV_KEY_PATH, self._get, methods=["GET"]),
                Route(names.KV_RANGE_PATH, self._range, methods=["GET"]),
                Route(names.KV_WATCH_PATH, self._watch, methods=["GET"]),
                Route(names.KV_TXN_PATH, self._txn, methods=["POST"]),
                Route(names.KV_LEASE_PATH, self._grant_lease, methods=["POST"]),
                Route(names.KV_KEEP_PATH + "{lease}", self._renew_lease, methods=["POST"]),
                Route(names.KV_LEASE_END_PATH + "{lease}", self._end_lease, methods=["DELETE"]),
            ]
        )

    def put(self, key: str, content: object) -> None:
        """Write a key with JSON content, as operators, trainers and workers do."""
        self.core.transact([], [Put(key, json.dumps(content).encode())], [])

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write a key with any content, which may be invalid."""
        self.core.transact([], [Put(key, value)], [])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.core.transact([], [], [key])

    def read(self, key: str) -> Any:
        """Return the JSON content of a key; ``None`` if it does not exist."""
        item = self.core.items.get(key)
        return None if item is None else json.loads(item.value)

    async def _get(self, request: Request) -> Response:
        item = self.core.items.get(request.query_params["key"])
        if item is None:
            return self._answer({}, 404)
        return self._answer(_encode_item(item) | {"at": self.core.revision})

    async def _range(self, request: Request) -> Response:
        prefix = request.query_params["path-prefix"]
        after = request.query_params.get("after-revision", "")
        keys = [key for key in sorted(self.core.items) if key.startswith(prefix) and key > after]
        page = [_encode_item(self.core.items[key]) for key in keys[:PAGE_SIZE]]
        has_more = len(keys) > PAGE_SIZE
        return self._answer({"requests": page, "more": has_more, "at": self.core.revision})

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(query["wait-ms"]) / MS_PER_S
        while True:
            changes = self.core.changes(query["path-prefix"], int(query["after-revision"]))
            if isinstance(changes, HistoryGone):
                return self._answer({}, 410)
            if changes.items or loop.time() >= deadline_s or self.faults.status is not None:
                events = [
                    {"key": change.key, "revision": change.revision, "gone": True}
                    if isinstance(change, RemovedKey)
                    else _encode_item(change)
                    for change in changes.items
                ]
                return self._answer({"events": events, "at": changes.revision})
            await self.core.wait_for_change(deadline_s - loop.time())

    async def _txn(self, request: Request) -> Response:
        if self.faults.status is not None:
            return self._answer({})
        body = await request.json()
        conditions = [Condition(row["key"], row["revision"]) for row in body["expected-revision"]]
        puts = [
            Put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["put"]
        ]
        outcome = self.core.transact(conditions, puts, body["remove"])
        if self.faults.num_lost_answers:
            self.faults.num_lost_answers -= 1
            raise ConnectionResetError("fault: connection reset before the answer was sent")
        if isinstance(outcome, Committed):
            return self._answer({"revision": outcome.revision})
        if isinstance(outcome, Conflict):
            return self._answer({"requests": [_encode_item(item) for item in outcome.current]}, 412)
        return self._answer({}, 404)

    async def _grant_lease(self, request: Request) -> Response:
        body = await request.json()
        granted = self.core.grant(body["ttl-ms"] / MS_PER_S)
        return self._answer({"lease": granted.lease, "ttl-ms": int(granted.ttl_s * MS_PER_S)})

    async def _renew_lease(self, request: Request) -> Response:
        renewed = self.core.renew(int(request.path_params["lease"]))
        if isinstance(renewed, LeaseGone):
            return self._answer({}, 404)
        return self._answer({"ttl-ms": int(renewed.ttl_s * MS_PER_S)})

    async def _end_lease(self, request: Request) -> Response:
        self.core.end(int(request.path_params["lease"]))
        return self._answer({})

    def _answer(self, content: object, status: int = 200) -> Response:
        if self.faults.answers_nonsense:
            return PlainTextResponse("<html>nonsense", status_code=200)
        return JSONResponse(content, status_code=self.faults.status or status)


def _encode_item(item: StoredItem) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": item.lease,
    }


@dataclass
class PlatformWorkerFaults:
    """Faults of one worker.

    Attributes:
        sheds: Whether requests are refused as not executed.
        wrong_id: Whether answers have the identifier of another request.
        breaks_streams: Number of next streams that are disconnected within their third event.
        num_errors: Number of next requests that run and are answered 500.
        num_short: Number of next plain answers that are disconnected within their body.
        ignores_orders: Number of next orders that are executed without an answer.
        delay_s: Time of a plain request, in seconds.
        crashes_on: Prefix of the bodies that crash the worker; empty for none.
    """

    sheds: bool = False
    wrong_id: bool = False
    breaks_streams: int = 0
    num_errors: int = 0
    num_short: int = 0
    ignores_orders: int = 0
    delay_s: float = 0.0
    crashes_on: bytes = b""


@dataclass(frozen=True)
class WorkerArrival:
    """A request that reached a worker and was not answered 421.

    Attributes:
        at_s: Time of its arrival, on the loop's clock.
        zone: Zone of the worker.
        worker_id: Identifier of the worker.
        name: Identifier of the request, or the path if it has none.
    """

    at_s: float
    zone: str
    worker_id: str
    name: str


@dataclass
class WorkerRecords:
    """Requests and orders received by the workers of one test.

    Attributes:
        executions: Number of executions by request identifier.
        failures: Number of answers 500 by request identifier.
        headers: Headers of the last execution by request identifier.
        bodies: Body of the last execution by request identifier.
        orders: Worker, holder, fencing token, model and version of each accepted order.
        crashes: Body of the request and time on the clock of the event loop, in seconds, of each
            crash.
        arrivals: All requests that reached workers and were not answered 421.
        arrival_times: Unix times, in seconds, of the requests that each worker received,
            misdirected ones excepted, by the worker's identifier.
    """

    executions: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    orders: list[tuple[str, str, int, str, int]] = field(default_factory=list)
    crashes: list[tuple[bytes, float]] = field(default_factory=list)
    arrivals: list[WorkerArrival] = field(default_factory=list)
    arrival_times: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


class PlatformWorkerStandin:
    """Serves one worker over HTTP: streams if ``Token-Count`` is sent, else plain answers."""

    def __init__(
        self, worker_id: str, service: str, records: WorkerRecords, model: str = ""
    ) -> None:
        self.id = worker_id
        self.service = service
        self.records = records
        self.model = model
        self.zone = "z1"
        self.version = 1
        self.num_orders = 0
        self.is_busy = False
        self.started_ms = FIRST_START_MS
        self.zone = "z1"
        # Address in its store entry; empty for the address of its server.
        self.advertised_address = ""
        self.num_events = 6
        # Unix time until which the worker is cold, in seconds, and the time that its entry states.
        self.cold_until_s = 0.0
        self.cold_s = 0.0
        self.faults = PlatformWorkerFaults()
        # Task that crashes the worker; ``None`` until a request causes a crash.
        self.crash_task: asyncio.Task[None] | None = None
        self.server = StandinServer(
            [
                Route(names.REPORT_PATH, self._handle_report, methods=["GET"]),
                Route(names.ORDER_PATH, self._handle_order, methods=["POST"]),
                Route("/{path:path}", self._handle_request, methods=METHODS),
            ]
        )

    def begin_incarnation(self, version: int) -> None:
        """Begin a new incarnation with the same identifier and none of the previous state."""
        self.started_ms += START_TIME_STEP_MS
        self.version = version
        self.num_orders = 0
        self.is_busy = False

    def turn_cold(self, seconds: float) -> None:
        """Make the worker cold from now on for some seconds."""
        self.cold_s = seconds
        self.cold_until_s = time.time() + seconds

    @property
    def cold_remaining_ms(self) -> int:
        """How much longer it is cold, in milliseconds; 0 if it is not."""
        return max(0, round((self.cold_until_s - time.time()) * MS_PER_S))

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the content of the worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.advertised_address or self.server.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": state,
            # Written once: nodes count down from when they first see it.
            "cold-remaining-ms": round(self.cold_s * MS_PER_S) if self.cold_remaining_ms else 0,
            "models": self._models(),
            "sequence": 1,
            names.STARTED_MS: self.started_ms,
        }

    def _models(self) -> list[dict[str, object]]:
        if not self.model:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def _record_arrival(self, name: str, at_s: float | None = None) -> None:
        arrived_s = asyncio.get_running_loop().time() if at_s is None else at_s
        self.records.arrivals.append(WorkerArrival(arrived_s, self.zone, self.id, name))

    async def _handle_report(self, request: Request) -> Response:
        self._record_arrival(request.url.path)
        content = {
            "models": self._models(),
            "busy": self.is_busy,
            "sequence": self.num_orders,
            names.STARTED_MS: self.started_ms,
        }
        return JSONResponse(content)

    async def _handle_order(self, request: Request) -> Response:
        self._record_arrival(request.url.path)
        body = await request.json()
        if body["expected-revision"] != self.num_orders or self.is_busy:
            return JSONResponse({}, status_code=409)
        if body["version"] <= self.version:
            return JSONResponse({})
        self.num_orders += 1
        self.records.orders.append(
            (self.id, body["holder"], body["fence"], body["model"], body["version"])
        )
        self.is_busy = True
        asyncio.get_running_loop().call_later(
            LOAD_TIME_S, self._finish_load, self.started_ms, body["version"]
        )
        if self.faults.ignores_orders:
            self.faults.ignores_orders -= 1
            raise ConnectionResetError("fault: connection reset before the answer was sent")
        return JSONResponse({}, status_code=202)

    def _finish_load(self, started_ms: int, version: int) -> None:
        if started_ms != self.started_ms:
            return
        self.version = version
        self.is_busy = False

    async def _handle_request(self, request: Request) -> Response:
        received_s = time.time()
        request_id = request.headers[names.REQUEST_ID]
        arrived_s = asyncio.get_running_loop().time()
        body = await request.body()
        expected = request.headers.get(names.EXPECT_INSTANCE)
        if expected not in (None, self.id):
            return self._refuse(request_id, 421)
        self._record_arrival(request_id, arrived_s)
        self.records.arrival_times[self.id].append(received_s)
        if self.faults.sheds:
            return self._refuse(request_id, 503)
        self.records.executions[request_id] += 1
        self.records.headers[request_id] = dict(request.headers)
        self.records.bodies[request_id] = body
        if self.faults.crashes_on and body.startswith(self.faults.crashes_on):
            if self.crash_task is None:
                self.records.crashes.append((body, asyncio.get_running_loop().time()))
                self.crash_task = asyncio.create_task(self.server.crash())
            await asyncio.shield(self.crash_task)
            return StreamingResponse(_truncated_body(b""), headers=self._headers(request_id))
        headers = self._headers("another" if self.faults.wrong_id else request_id)
        if self.faults.num_errors:
            self.faults.num_errors -= 1
            self.records.failures[request_id] += 1
            return PlainTextResponse("failed", status_code=500, headers=headers)
        if "token-count" in request.headers:
            after = int(request.headers.get(names.LAST_EVENT_ID, "0"))
            stream = self._events(request_id, after)
            return StreamingResponse(stream, headers=headers, media_type="text/event-stream")
        await asyncio.sleep(self.faults.delay_s)
        if self.cold_remaining_ms:
            await asyncio.sleep(COLD_DELAY_S)
        if self.faults.num_short:
            self.faults.num_short -= 1
            return StreamingResponse(_truncated_body(b"part"), headers=headers)
        return PlainTextResponse(f"{request_id} by {self.id}", headers=headers)

    def _refuse(self, request_id: str, status: int) -> Response:
        headers = {names.REQUEST_ID: request_id, names.NOT_EXECUTED: "1"}
        return PlainTextResponse("", status_code=status, headers=headers)

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {
            names.REQUEST_ID: request_id,
            names.SIGNATURE: f"stamp-{self.id}-{request_id}",
            names.WEIGHT_VERSIONS: str(self.version),
            "Custom": "kept",
        }
        if self.cold_remaining_ms:
            headers[names.COLD_REMAINING_MS] = str(self.cold_remaining_ms)
        return headers

    async def _events(self, request_id: str, after: int) -> Any:
        is_truncated = bool(self.faults.breaks_streams)
        self.faults.breaks_streams -= int(is_truncated)
        for number in range(after + 1, self.num_events + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            if is_truncated and number == after + 3:
                yield event[: len(event) // 2]
                raise ConnectionResetError("fault: connection reset within the body")
            yield event


async def _truncated_body(part: bytes) -> Any:
    yield part
    raise ConnectionResetError("fault: connection reset within the body")
