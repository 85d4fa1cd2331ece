"""The users' platform over HTTP: its store, and workers that generate, score and take orders.

Small and for tests: the store serves :class:`CoordinationStoreCore`, and one worker speaks as an
engine and as a plain service. Faults are switches.
"""

import asyncio
import base64
import json
from collections import Counter
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
PAGE_SIZE = 3
# Starts of workers, in milliseconds since 1970.
FIRST_START_MS = 1_700_000_000_000
START_TIME_STEP_MS = 1000


@dataclass
class PlatformFaults:
    """Switches of the platform's store.

    Attributes:
        status: Every call is answered with this status; ``None`` for none.
        num_lost_answers: The next writes are done and their connections broken.
        answers_nonsense: Every answer is something else than JSON.
    """

    status: int | None = None
    num_lost_answers: int = 0
    answers_nonsense: bool = False


class PlatformStoreStandin:
    """The platform's store on a socket."""

    def __init__(self) -> None:
        self.core = CoordinationStoreCore()
        self.faults = PlatformFaults()
        self.server = StandinServer(
            [
                Route(names.KV_KEY_PATH, self._key, methods=["GET"]),
                Route(names.KV_RANGE_PATH, self._range, methods=["GET"]),
                Route(names.KV_WATCH_PATH, self._watch, methods=["GET"]),
                Route(names.KV_TXN_PATH, self._txn, methods=["POST"]),
                Route(names.KV_LEASE_PATH, self._lease, methods=["POST"]),
                Route(names.KV_KEEP_PATH + "{lease}", self._keep, methods=["POST"]),
                Route(names.KV_LEASE_END_PATH + "{lease}", self._end, methods=["DELETE"]),
            ]
        )

    def put(self, key: str, content: object) -> None:
        """Write a key, as operators, trainers and workers do."""
        self.core.transact([], [Put(key, json.dumps(content).encode())], [])

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write a key with content that need not be readable."""
        self.core.transact([], [Put(key, value)], [])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.core.transact([], [], [key])

    def read(self, key: str) -> Any:
        """Read a key's content; ``None`` if it does not exist."""
        item = self.core.items.get(key)
        return None if item is None else json.loads(item.value)

    async def _key(self, request: Request) -> Response:
        item = self.core.items.get(request.query_params["key"])
        if item is None:
            return self._answer({}, 404)
        return self._answer(_entry(item) | {"at": self.core.revision})

    async def _range(self, request: Request) -> Response:
        prefix = request.query_params["path-prefix"]
        after = request.query_params.get("after-revision", "")
        keys = [key for key in sorted(self.core.items) if key.startswith(prefix) and key > after]
        page = [_entry(self.core.items[key]) for key in keys[:PAGE_SIZE]]
        more = len(keys) > PAGE_SIZE
        return self._answer({"requests": page, "more": more, "at": self.core.revision})

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait-ms"]) / MS_PER_S
        while True:
            changes = self.core.changes(query["path-prefix"], int(query["after-revision"]))
            if isinstance(changes, HistoryGone):
                return self._answer({}, 410)
            if changes.items or loop.time() >= end_s or self.faults.status is not None:
                events = [
                    {"key": change.key, "revision": change.revision, "gone": True}
                    if isinstance(change, RemovedKey)
                    else _entry(change)
                    for change in changes.items
                ]
                return self._answer({"events": events, "at": changes.revision})
            await self.core.wait_for_change(end_s - loop.time())

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
            raise ConnectionResetError("the answer is lost")
        if isinstance(outcome, Committed):
            return self._answer({"revision": outcome.revision})
        if isinstance(outcome, Conflict):
            return self._answer({"requests": [_entry(item) for item in outcome.current]}, 412)
        return self._answer({}, 404)

    async def _lease(self, request: Request) -> Response:
        body = await request.json()
        granted = self.core.grant(body["ttl-ms"] / MS_PER_S)
        return self._answer({"lease": granted.lease, "ttl-ms": int(granted.ttl_s * MS_PER_S)})

    async def _keep(self, request: Request) -> Response:
        renewed = self.core.renew(int(request.path_params["lease"]))
        if isinstance(renewed, LeaseGone):
            return self._answer({}, 404)
        return self._answer({"ttl-ms": int(renewed.ttl_s * MS_PER_S)})

    async def _end(self, request: Request) -> Response:
        self.core.end(int(request.path_params["lease"]))
        return self._answer({})

    def _answer(self, content: object, status: int = 200) -> Response:
        if self.faults.answers_nonsense:
            return PlainTextResponse("<html>nonsense", status_code=200)
        return JSONResponse(content, status_code=self.faults.status or status)


def _entry(item: StoredItem) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": item.lease,
    }


@dataclass
class PlatformWorkerFaults:
    """Switches of one worker.

    Attributes:
        sheds: Refuses requests as not executed.
        wrong_id: Answers with the identifier of another request.
        breaks_streams: The next streams end inside their third event.
        num_errors: The next requests run and fail.
        num_short: The next plain answers end early.
        ignores_orders: The next orders get no answer and are carried out.
        delay_s: Time of a plain request, in seconds.
        crashes_on: A request whose body begins so ends the worker; empty for none.
    """

    sheds: bool = False
    wrong_id: bool = False
    breaks_streams: int = 0
    num_errors: int = 0
    num_short: int = 0
    ignores_orders: int = 0
    delay_s: float = 0.0
    crashes_on: bytes = b""


@dataclass
class WorkerRecords:
    """What workers saw, shared by all of a test.

    Attributes:
        executions: How often each request ran.
        failures: How often workers answered each request 500.
        headers: Headers of each request's last execution.
        bodies: Body of each request's last execution.
        orders: Orders taken: worker, holder, fence, model, version.
        crashes: Bodies that ended a worker, with the time on the loop's clock.
    """

    executions: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    orders: list[tuple[str, str, int, str, int]] = field(default_factory=list)
    crashes: list[tuple[bytes, float]] = field(default_factory=list)


class PlatformWorkerStandin:
    """One worker: event streams where ``Token-Count`` is sent, plain answers elsewhere."""

    def __init__(
        self, worker_id: str, service: str, records: WorkerRecords, model: str = ""
    ) -> None:
        self.id = worker_id
        self.service = service
        self.records = records
        self.model = model
        self.version = 1
        self.num_orders = 0
        self.is_busy = False
        self.started_ms = FIRST_START_MS
        # Where others are told to reach it; its own address if empty.
        self.advertised_address = ""
        self.num_events = 6
        self.faults = PlatformWorkerFaults()
        # The task that ends it, once a request does.
        self.crash_task: asyncio.Task[None] | None = None
        self.server = StandinServer(
            [
                Route(names.REPORT_PATH, self._report, methods=["GET"]),
                Route(names.ORDER_PATH, self._order, methods=["POST"]),
                Route("/{path:path}", self._run, methods=METHODS),
            ]
        )

    def begin_incarnation(self, version: int) -> None:
        """Begin a new life under the same identity, which knows nothing of the one before."""
        self.started_ms += START_TIME_STEP_MS
        self.version = version
        self.num_orders = 0
        self.is_busy = False

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return what the worker writes into the store."""
        return {
            "service": self.service,
            "address": self.advertised_address or self.server.address,
            "zone": "z1",
            "version": "v1",
            "capacity": 8,
            "state": state,
            "cold-remaining-ms": 0,
            "models": self._models(),
            "sequence": 1,
            names.STARTED_MS: self.started_ms,
        }

    def _models(self) -> list[dict[str, object]]:
        if not self.model:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def _report(self, request: Request) -> Response:
        del request
        content = {
            "models": self._models(),
            "busy": self.is_busy,
            "sequence": self.num_orders,
            names.STARTED_MS: self.started_ms,
        }
        return JSONResponse(content)

    async def _order(self, request: Request) -> Response:
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
            LOAD_TIME_S, self._loaded, self.started_ms, body["version"]
        )
        if self.faults.ignores_orders:
            self.faults.ignores_orders -= 1
            raise ConnectionResetError("the answer is lost")
        return JSONResponse({}, status_code=202)

    def _loaded(self, started_ms: int, version: int) -> None:
        if started_ms != self.started_ms:
            return
        self.version = version
        self.is_busy = False

    async def _run(self, request: Request) -> Response:
        request_id = request.headers[names.REQUEST_ID]
        body = await request.body()
        expected = request.headers.get(names.EXPECT_INSTANCE)
        if expected not in (None, self.id):
            return self._refuse(request_id, 421)
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
            return StreamingResponse(_broken(b""), headers=self._headers(request_id))
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
        if self.faults.num_short:
            self.faults.num_short -= 1
            return StreamingResponse(_broken(b"part"), headers=headers)
        return PlainTextResponse(f"{request_id} by {self.id}", headers=headers)

    def _refuse(self, request_id: str, status: int) -> Response:
        headers = {names.REQUEST_ID: request_id, names.NOT_EXECUTED: "1"}
        return PlainTextResponse("", status_code=status, headers=headers)

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            names.REQUEST_ID: request_id,
            names.SIGNATURE: f"stamp-{self.id}-{request_id}",
            names.WEIGHT_VERSIONS: str(self.version),
            "Custom": "kept",
        }

    async def _events(self, request_id: str, after: int) -> Any:
        is_broken = bool(self.faults.breaks_streams)
        self.faults.breaks_streams -= int(is_broken)
        for number in range(after + 1, self.num_events + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            if is_broken and number == after + 3:
                yield event[: len(event) // 2]
                raise ConnectionResetError("broken off")
            yield event


async def _broken(part: bytes) -> Any:
    yield part
    raise ConnectionResetError("broken off")
