"""Client of the configuration store, which speaks the etcd v3 JSON gateway.

Every write of this project creates a key that did not exist (one key per revision or epoch), so
that a write whose answer was lost is resolved by sending it again: the second answer is decisive.
"""

import asyncio
import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
from returns.result import Failure, Result, Success

from hollowrack.clients.http import request_json
from hollowrack.results import Problem, ResultCode

REQUEST_TIMEOUT_S = 2.0
MAX_CREATE_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True)
class StoredValue:
    """A key of the store with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int


class StoreCall(Protocol):
    """Sends one call to the store, for example ``kv/range``, and returns the JSON answer."""

    async def __call__(self, method: str, body: dict[str, Any]) -> Result[Any, Problem]:
        """Fail with ``PLATFORM_UNAVAILABLE`` if the call may or may not have taken effect."""


class HttpStoreCall:
    """Calls the store over HTTP.

    Args:
        session: HTTP session to use.
        endpoints: Base URLs of the store; tried in order, the last good one first.
    """

    def __init__(self, session: aiohttp.ClientSession, endpoints: Sequence[str]) -> None:
        self._session = session
        self._endpoints = list(endpoints)

    async def __call__(self, method: str, body: dict[str, Any]) -> Result[Any, Problem]:
        """Call the first endpoint that answers."""
        result: Result[Any, Problem] = Failure(
            Problem(ResultCode.PLATFORM_UNAVAILABLE, "no endpoint is configured", "config_store")
        )
        for endpoint in list(self._endpoints):
            url = f"{endpoint}/v3/{method}"
            result = await request_json(self._session, "POST", url, REQUEST_TIMEOUT_S, body)
            if isinstance(result, Success):
                self._prefer(endpoint)
                return result
        return result

    def _prefer(self, endpoint: str) -> None:
        if self._endpoints[0] != endpoint:
            self._endpoints.remove(endpoint)
            self._endpoints.insert(0, endpoint)


class ConfigStoreClient:
    """Typed access to the configuration store.

    Args:
        call: Sends one call.
    """

    def __init__(self, call: StoreCall) -> None:
        self._call = call

    async def read(self, key: str) -> Result[StoredValue | None, Problem]:
        """Read one key; ``None`` if it does not exist."""
        answer = await self._call("kv/range", {"key": _encode(key.encode())})
        return answer.bind(_decode_range).map(lambda values: values[0] if values else None)

    async def read_prefix(self, prefix: str) -> Result[list[StoredValue], Problem]:
        """Read all keys that start with ``prefix``, in key order."""
        return (await self._call("kv/range", _prefix_body(prefix))).bind(_decode_range)

    async def read_last(self, prefix: str) -> Result[StoredValue | None, Problem]:
        """Read the key with the greatest name below ``prefix``."""
        body = _prefix_body(prefix) | {
            "limit": "1",
            "sort_order": "DESCEND",
            "sort_target": "KEY",
        }
        answer = await self._call("kv/range", body)
        return answer.bind(_decode_range).map(lambda values: values[0] if values else None)

    async def create(
        self, key: str, value: bytes, required_key: str | None = None
    ) -> Result[bool, Problem]:
        """Create ``key`` if it does not exist; optionally only if ``required_key`` exists.

        Returns:
            ``True`` if the key now holds this very value, ``False`` if it holds another one or the
            required key is missing. A lost answer is resolved by asking again, so the only
            failures are those of a store that stays unreachable; the write may then still land.
        """
        result: Result[bool, Problem] = Success(False)
        for attempt in range(MAX_CREATE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_INTERVAL_S * attempt)
            result = await self._create_once(key, value, required_key)
            if isinstance(result, Success):
                return result
        return result

    async def put(self, key: str, value: bytes) -> Result[None, Problem]:
        """Write a key whatever it held; for values that only ever rise."""
        body = {"key": _encode(key.encode()), "value": _encode(value)}
        return (await self._call("kv/put", body)).map(lambda _: None)

    async def delete_prefix(self, prefix: str) -> Result[None, Problem]:
        """Delete all keys below ``prefix``."""
        return (await self._call("kv/deleterange", _prefix_body(prefix))).map(lambda _: None)

    async def _create_once(
        self, key: str, value: bytes, required_key: str | None
    ) -> Result[bool, Problem]:
        encoded_key = _encode(key.encode())
        compare: list[dict[str, str]] = [
            {"key": encoded_key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}
        ]
        if required_key is not None:
            compare.append(
                {
                    "key": _encode(required_key.encode()),
                    "target": "CREATE",
                    "result": "GREATER",
                    "create_revision": "0",
                }
            )
        body = {
            "compare": compare,
            "success": [{"request_put": {"key": encoded_key, "value": _encode(value)}}],
            "failure": [{"request_range": {"key": encoded_key}}],
        }
        return (await self._call("kv/txn", body)).bind(lambda answer: _decode_create(answer, value))


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _prefix_body(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _encode(start), "range_end": _encode(end)}


def _decode_range(answer: Any) -> Result[list[StoredValue], Problem]:
    try:
        return Success([_decode_value(entry) for entry in answer.get("kvs", [])])
    except (AttributeError, KeyError, ValueError, TypeError) as error:
        return _invalid(error)


def _decode_value(entry: Any) -> StoredValue:
    return StoredValue(
        key=base64.b64decode(entry["key"]).decode(),
        value=base64.b64decode(entry.get("value", "")),
        mod_revision=int(entry["mod_revision"]),
    )


def _decode_create(answer: Any, value: bytes) -> Result[bool, Problem]:
    try:
        if answer.get("succeeded", False):
            return Success(True)
        found = answer["responses"][0]["response_range"].get("kvs", [])
        return Success(bool(found) and _decode_value(found[0]).value == value)
    except (AttributeError, KeyError, IndexError, ValueError, TypeError) as error:
        return _invalid(error)


def _invalid(error: Exception) -> Failure[Problem]:
    detail = f"{type(error).__name__}: {error}"
    return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, "config_store"))
