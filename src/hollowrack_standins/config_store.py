"""A configuration store that speaks the etcd v3 JSON gateway: range, txn, put, lease and watch.

Faults: outage, slowness, a rate limit, answers lost after the change has taken effect, and a
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

_BUCKET_S = 1.0


@dataclass
class StoreFaults:
    """Switches for the faults of the store.

    Attributes:
        is_down: Every call is answered 503.
        delay_s: Added to every answer.
        max_calls_per_s: Calls over this rate are answered 429; ``None`` for no limit.
        lost_answer_share: Share of writes that take effect and lose their answer.
    """

    is_down: bool = False
    delay_s: float = 0.0
    max_calls_per_s: int | None = None
    lost_answer_share: float = 0.0


@dataclass
class StoredKey:
    """One key with etcd's bookkeeping."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass
class StoreState:
    """The whole content; copied for a restore from an older copy."""

    keys: dict[bytes, StoredKey] = field(default_factory=dict)
    revision: int = 1
    leases: dict[int, float] = field(default_factory=dict)
    lease_ttls_s: dict[int, float] = field(default_factory=dict)


class KeyValueCore:
    """The store's semantics without I/O; the clock is passed in."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.changed = asyncio.Event()
        self._next_lease = 1

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a range request."""
        found = self._select(body)
        target = body.get("sort_target", "KEY")
        if target == "MOD":
            found.sort(key=lambda entry: entry[1].mod_revision)
        if body.get("sort_order") == "DESCEND":
            found.reverse()
        limit = int(body.get("limit", 0))
        shown = found[:limit] if limit else found
        return {
            "header": self._header(),
            "kvs": [_encode_key(key, stored) for key, stored in shown],
            "count": str(len(found)),
        }

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a put request."""
        self.state.revision += 1
        self._put(body)
        self._notify()
        return {"header": self._header()}

    def delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a delete request."""
        found = self._select(body)
        for key, _ in found:
            del self.state.keys[key]
        if found:
            self.state.revision += 1
            self._notify()
        return {"header": self._header(), "deleted": str(len(found))}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a transaction."""
        succeeded = all(self._compare(entry) for entry in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        if any("request_put" in entry or "request_delete_range" in entry for entry in operations):
            self.state.revision += 1
        responses = [self._operate(entry) for entry in operations]
        self._notify()
        return {"header": self._header(), "succeeded": succeeded, "responses": responses}

    def grant(self, body: dict[str, Any], now_s: float) -> dict[str, Any]:
        """Grant a lease."""
        lease = int(body.get("ID", 0)) or self._next_lease
        self._next_lease = max(self._next_lease, lease) + 1
        ttl_s = float(body["TTL"])
        self.state.leases[lease] = now_s + ttl_s
        self.state.lease_ttls_s[lease] = ttl_s
        return {"header": self._header(), "ID": str(lease), "TTL": str(body["TTL"])}

    def keep_alive(self, body: dict[str, Any], now_s: float) -> dict[str, Any]:
        """Extend a lease; a TTL of 0 says that it is gone."""
        lease = int(body["ID"])
        self.expire(now_s)
        if lease not in self.state.leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl_s = self.state.lease_ttls_s[lease]
        self.state.leases[lease] = now_s + ttl_s
        return {"result": {"ID": str(lease), "TTL": str(int(ttl_s))}}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """End a lease and delete its keys."""
        self._end_lease(int(body["ID"]))
        return {"header": self._header()}

    def expire(self, now_s: float) -> None:
        """End the leases that ran out."""
        for lease, ends_s in list(self.state.leases.items()):
            if ends_s <= now_s:
                self._end_lease(lease)

    def events_after(self, revision: int, body: dict[str, Any]) -> list[dict[str, Any]]:
        """Return the keys of a range changed after a revision."""
        changed = [entry for entry in self._select(body) if entry[1].mod_revision > revision]
        changed.sort(key=lambda entry: entry[1].mod_revision)
        return [{"type": "PUT", "kv": _encode_key(key, stored)} for key, stored in changed]

    # -- inside -----------------------------------------------------------------------------

    def _end_lease(self, lease: int) -> None:
        self.state.leases.pop(lease, None)
        self.state.lease_ttls_s.pop(lease, None)
        owned = [key for key, stored in self.state.keys.items() if stored.lease == lease]
        for key in owned:
            del self.state.keys[key]
        if owned:
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
        known = self.state.keys.get(key)
        if known is None:
            self.state.keys[key] = StoredKey(value, revision, revision, 1, lease)
            return
        self.state.keys[key] = StoredKey(
            value, known.create_revision, revision, known.version + 1, lease
        )

    def _compare(self, body: dict[str, Any]) -> bool:
        stored = self.state.keys.get(base64.b64decode(body["key"]))
        target = body["target"]
        if target == "VALUE":
            found: Any = stored.value if stored is not None else b""
            wanted: Any = base64.b64decode(body.get("value", ""))
        else:
            attribute = {
                "CREATE": "create_revision",
                "MOD": "mod_revision",
                "VERSION": "version",
            }[target]
            found = getattr(stored, attribute) if stored is not None else 0
            wanted = int(body.get(attribute, 0))
        result = body.get("result", "EQUAL")
        return bool(
            {
                "EQUAL": found == wanted,
                "NOT_EQUAL": found != wanted,
                "GREATER": found > wanted,
                "LESS": found < wanted,
            }[result]
        )

    def _operate(self, body: dict[str, Any]) -> dict[str, Any]:
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
    """The store's HTTP face.

    Args:
        address: ``IP:PORT`` to listen on.
        seed: Seed of the lost answers.
    """

    def __init__(self, address: str = "127.0.0.1:0", seed: int = 0) -> None:
        self.core = KeyValueCore()
        self.faults = StoreFaults()
        self.num_calls = 0
        self.num_throttled = 0
        self._rng = random.Random(seed)
        self._bucket_start_s = 0.0
        self._num_in_bucket = 0
        self.server = StandinServer(self._routes(), address)

    def copy_state(self) -> StoreState:
        """Return a copy of the content."""
        return copy.deepcopy(self.core.state)

    def restore_state(self, state: StoreState) -> None:
        """Go back to an older copy."""
        self.core.state = copy.deepcopy(state)

    async def start(self) -> str:
        """Start and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop."""
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
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        try:
            answer = operation(await request.json())
        except (ValueError, KeyError, TypeError) as error:
            return JSONResponse({"error": repr(error), "code": 3}, status_code=400)
        if is_write and self._rng.random() < self.faults.lost_answer_share:
            return PlainTextResponse("the answer was lost", status_code=504)
        return JSONResponse(answer)

    async def _refusal(self) -> Response | None:
        self.num_calls += 1
        self.core.expire(time.monotonic())
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return PlainTextResponse("unavailable", status_code=503)
        if self._is_over_rate():
            self.num_throttled += 1
            return PlainTextResponse("throttled", status_code=429, headers={"Retry-After": "1"})
        return None

    def _is_over_rate(self) -> bool:
        now_s = time.monotonic()
        if now_s - self._bucket_start_s >= _BUCKET_S:
            self._bucket_start_s = now_s
            self._num_in_bucket = 0
        self._num_in_bucket += 1
        limit = self.faults.max_calls_per_s
        return limit is not None and self._num_in_bucket > limit

    async def _watch(self, request: Request) -> Response:
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
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
