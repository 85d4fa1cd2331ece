"""Configuration store with the etcd v3 JSON gateway API: range, txn, put, lease and watch.

Faults: outage, delayed answers, a rate limit, writes that take effect and lose their answer, and a
restore from an older copy.
"""

import asyncio
import base64
import copy
import json
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from hollowrack_standins.server import StandinServer

_RATE_WINDOW_S = 1.0


@dataclass
class StoreFaults:
    """Faults of the store.

    Attributes:
        is_down: Whether every call is answered 503.
        delay_s: Delay of every answer, in seconds.
        max_calls_per_s: Rate above which calls are answered 429; ``None`` for no limit.
        lost_answer_share: Fraction of writes that take effect and are answered 504.
    """

    is_down: bool = False
    delay_s: float = 0.0
    max_calls_per_s: int | None = None
    lost_answer_share: float = 0.0


@dataclass
class StoredKey:
    """Value and metadata of a key, as in etcd.

    Attributes:
        create_revision: Revision of the store at which the key was created.
        mod_revision: Revision of the store at which the key was last written.
        version: Number of writes since the key was created.
        lease: Identifier of its lease; 0 for none.
    """

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass
class StoreState:
    """Content of the store.

    Attributes:
        lease_expiries_s: Expiry by lease identifier, in seconds on the clock of the callers.
        lease_ttls_s: Lifetime by lease identifier, in seconds.
    """

    keys: dict[bytes, StoredKey] = field(default_factory=dict)
    revision: int = 1
    lease_expiries_s: dict[int, float] = field(default_factory=dict)
    lease_ttls_s: dict[int, float] = field(default_factory=dict)


class KeyValueCore:
    """Semantics of the store without I/O; callers pass the time of a monotonic clock.

    Bodies and answers have the form of the JSON gateway.

    Attributes:
        changed: Set and replaced by a new event after each write.
    """

    def __init__(self) -> None:
        self.state = StoreState()
        self.changed = asyncio.Event()
        self._next_lease_id = 1

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle a range request."""
        found = self._select(body)
        target = body.get("sort_target", "KEY")
        if target == "MOD":
            found.sort(key=lambda entry: entry[1].mod_revision)
        if body.get("sort_order") == "DESCEND":
            found.reverse()
        limit = int(body.get("limit", 0))
        returned = found[:limit] if limit else found
        return {
            "header": self._header(),
            "kvs": [_encode_key(key, stored) for key, stored in returned],
            "count": str(len(found)),
        }

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle a put request."""
        self.state.revision += 1
        self._put(body)
        self._notify()
        return {"header": self._header()}

    def delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle a deleterange request."""
        found = self._select(body)
        for key, _ in found:
            del self.state.keys[key]
        if found:
            self.state.revision += 1
            self._notify()
        return {"header": self._header(), "deleted": str(len(found))}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Handle a txn request."""
        succeeded = all(self._is_met(entry) for entry in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        if any("request_put" in entry or "request_delete_range" in entry for entry in operations):
            self.state.revision += 1
        responses = [self._apply_operation(entry) for entry in operations]
        self._notify()
        return {"header": self._header(), "succeeded": succeeded, "responses": responses}

    def grant(self, body: dict[str, Any], now_s: float) -> dict[str, Any]:
        """Grant a lease."""
        lease = int(body.get("ID", 0)) or self._next_lease_id
        self._next_lease_id = max(self._next_lease_id, lease) + 1
        ttl_s = float(body["TTL"])
        self.state.lease_expiries_s[lease] = now_s + ttl_s
        self.state.lease_ttls_s[lease] = ttl_s
        return {"header": self._header(), "ID": str(lease), "TTL": str(body["TTL"])}

    def keep_alive(self, body: dict[str, Any], now_s: float) -> dict[str, Any]:
        """Renew a lease; a TTL of 0 in the answer means that it does not exist."""
        lease = int(body["ID"])
        self.expire(now_s)
        if lease not in self.state.lease_expiries_s:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl_s = self.state.lease_ttls_s[lease]
        self.state.lease_expiries_s[lease] = now_s + ttl_s
        return {"result": {"ID": str(lease), "TTL": str(int(ttl_s))}}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Revoke a lease and delete its keys."""
        self._revoke_lease(int(body["ID"]))
        return {"header": self._header()}

    def expire(self, now_s: float) -> None:
        """Revoke the expired leases."""
        for lease, expiry_s in list(self.state.lease_expiries_s.items()):
            if expiry_s <= now_s:
                self._revoke_lease(lease)

    def events_after(self, revision: int, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Return PUT events of the keys of a range that were written after a revision."""
        changed = [entry for entry in self._select(body) if entry[1].mod_revision > revision]
        changed.sort(key=lambda entry: entry[1].mod_revision)
        return [{"type": "PUT", "kv": _encode_key(key, stored)} for key, stored in changed]

    # -- helpers ----------------------------------------------------------------------------

    def _revoke_lease(self, lease: int) -> None:
        self.state.lease_expiries_s.pop(lease, None)
        self.state.lease_ttls_s.pop(lease, None)
        leased_keys = [key for key, stored in self.state.keys.items() if stored.lease == lease]
        for key in leased_keys:
            del self.state.keys[key]
        if leased_keys:
            self.state.revision += 1
            self._notify()

    def _select(self, body: dict[str, Any]) -> list[tuple[bytes, StoredKey]]:
        key = base64.b64decode(body["key"])
        if "range_end" not in body:
            stored = self.state.keys.get(key)
            return [(key, stored)] if stored is not None else []
        end = base64.b64decode(body["range_end"])
        return [
            (name, self.state.keys[name])
            for name in sorted(self.state.keys)
            if name >= key and (end == b"\0" or name < end)
        ]

    def _put(self, body: dict[str, Any]) -> None:
        key = base64.b64decode(body["key"])
        value = base64.b64decode(body.get("value", ""))
        revision = self.state.revision
        lease = int(body.get("lease", 0))
        previous = self.state.keys.get(key)
        if previous is None:
            self.state.keys[key] = StoredKey(value, revision, revision, 1, lease)
            return
        self.state.keys[key] = StoredKey(
            value, previous.create_revision, revision, previous.version + 1, lease
        )

    def _is_met(self, body: dict[str, Any]) -> bool:
        stored = self.state.keys.get(base64.b64decode(body["key"]))
        target = body["target"]
        if target == "VALUE":
            found: Any = stored.value if stored is not None else b""
            expected: Any = base64.b64decode(body.get("value", ""))
        else:
            attribute = {
                "CREATE": "create_revision",
                "MOD": "mod_revision",
                "VERSION": "version",
            }[target]
            found = getattr(stored, attribute) if stored is not None else 0
            expected = int(body.get(attribute, 0))
        result = body.get("result", "EQUAL")
        return bool(
            {
                "EQUAL": found == expected,
                "NOT_EQUAL": found != expected,
                "GREATER": found > expected,
                "LESS": found < expected,
            }[result]
        )

    def _apply_operation(self, body: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in body:
            self._put(body["request_put"])
            return {"response_put": {"header": self._header()}}
        if "request_delete_range" in body:
            return {"response_delete_range": self.delete_range(body["request_delete_range"])}
        return {"response_range": self.range(body["request_range"])}

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.state.revision)}


def _encode_key(key: bytes, stored: StoredKey) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(stored.value).decode(),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "version": str(stored.version),
        "lease": str(stored.lease),
    }


class ConfigStoreStandin:
    """Serves :class:`KeyValueCore` over HTTP.

    Args:
        address: ``IP:PORT`` to listen on.
        seed: Seed of the choice of writes whose answers are lost.
    """

    def __init__(self, address: str = "127.0.0.1:0", seed: int = 0) -> None:
        self.core = KeyValueCore()
        self.faults = StoreFaults()
        self.num_calls = 0
        self.num_throttled = 0
        self._rng = random.Random(seed)
        self._window_start_s = 0.0
        self._num_calls_in_window = 0
        self.server = StandinServer(self._routes(), address)

    def copy_state(self) -> StoreState:
        """Return a copy of the content, for :meth:`restore_state`."""
        return copy.deepcopy(self.core.state)

    def restore_state(self, state: StoreState) -> None:
        """Replace the content with an earlier copy; open watches are not notified."""
        self.core.state = copy.deepcopy(state)

    async def start(self) -> str:
        """Start serving and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self.server.stop()

    def _routes(self) -> list[Route]:
        return [
            Route("/v3/kv/range", self._range, methods=["POST"]),
            Route("/v3/kv/put", self._put, methods=["POST"]),
            Route("/v3/kv/deleterange", self._delete, methods=["POST"]),
            Route("/v3/kv/txn", self._txn, methods=["POST"]),
            Route("/v3/lease/grant", self._grant, methods=["POST"]),
            Route("/v3/lease/keepalive", self._keep_alive, methods=["POST"]),
            Route("/v3/lease/revoke", self._revoke, methods=["POST"]),
            Route("/v3/watch", self._watch, methods=["POST"]),
            Route("/faults", self._set_faults, methods=["POST"]),
        ]

    async def _range(self, request: Request) -> Response:
        return await self._answer(request, self.core.range, is_write=False)

    async def _put(self, request: Request) -> Response:
        return await self._answer(request, self.core.put, is_write=True)

    async def _delete(self, request: Request) -> Response:
        return await self._answer(request, self.core.delete_range, is_write=True)

    async def _txn(self, request: Request) -> Response:
        return await self._answer(request, self.core.txn, is_write=True)

    async def _grant(self, request: Request) -> Response:
        return await self._answer(
            request, lambda body: self.core.grant(body, time.monotonic()), is_write=True
        )

    async def _keep_alive(self, request: Request) -> Response:
        return await self._answer(
            request, lambda body: self.core.keep_alive(body, time.monotonic()), is_write=True
        )

    async def _revoke(self, request: Request) -> Response:
        return await self._answer(request, self.core.revoke, is_write=True)

    async def _answer(self, request: Request, operation: Any, is_write: bool) -> Response:
        fault_response = await self._fault_response()
        if fault_response is not None:
            return fault_response
        try:
            answer = operation(await request.json())
        except (ValueError, KeyError, TypeError) as error:
            return JSONResponse({"error": repr(error), "code": 3}, status_code=400)
        if is_write and self._rng.random() < self.faults.lost_answer_share:
            return PlainTextResponse("the answer was lost", status_code=504)
        return JSONResponse(answer)

    async def _fault_response(self) -> Response | None:
        self.num_calls += 1
        self.core.expire(time.monotonic())
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return PlainTextResponse("unavailable", status_code=503)
        if self._is_over_rate_limit():
            self.num_throttled += 1
            return PlainTextResponse("throttled", status_code=429, headers={"Retry-After": "1"})
        return None

    def _is_over_rate_limit(self) -> bool:
        now_s = time.monotonic()
        if now_s - self._window_start_s >= _RATE_WINDOW_S:
            self._window_start_s = now_s
            self._num_calls_in_window = 0
        self._num_calls_in_window += 1
        limit = self.faults.max_calls_per_s
        return limit is not None and self._num_calls_in_window > limit

    async def _watch(self, request: Request) -> Response:
        fault_response = await self._fault_response()
        if fault_response is not None:
            return fault_response
        body = (await request.json())["create_request"]
        return StreamingResponse(self._watch_events(body), media_type="application/json")

    async def _watch_events(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        revision = int(body.get("start_revision", self.core.state.revision + 1)) - 1
        yield _watch_line({"created": True, "watch_id": "0"})
        while not self.faults.is_down:
            changed = self.core.changed
            events = self.core.events_after(revision, body)
            if events:
                revision = self.core.state.revision
                yield _watch_line({"events": events})
            await changed.wait()

    async def _set_faults(self, request: Request) -> Response:
        for name, value in (await request.json()).items():
            if not hasattr(self.faults, name):
                return PlainTextResponse(f"no fault {name!r}", status_code=400)
            setattr(self.faults, name, value)
        return JSONResponse({})


def _watch_line(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"
