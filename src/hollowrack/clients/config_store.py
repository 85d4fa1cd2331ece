"""Client of the configuration store, over the etcd v3 JSON gateway.

Creating a key is idempotent (one key per revision or epoch): a write whose answer was lost is
retried, and the answer to the retry states the outcome.
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
    """A key and its value, with the store's revision of the last modification."""

    key: str
    value: bytes
    mod_revision: int


class StoreCall(Protocol):
    """Sends one call to the store and returns the decoded JSON answer."""

    async def __call__(self, method: str, body: dict[str, Any]) -> Result[Any, Problem]:
        """Send one call.

        Args:
            method: Path of the call below ``/v3/``, for example ``kv/range``.
            body: Body of the request.

        Returns:
            The answer. Fails with ``PLATFORM_UNAVAILABLE`` if the outcome is unknown.
        """


class HttpStoreCall:
    """Calls the store over HTTP, with failover between its endpoints.

    Args:
        session: HTTP session for the calls.
        endpoints: Base URLs of the store, tried in order; the one that answered last is tried
            first.
    """

    def __init__(self, session: aiohttp.ClientSession, endpoints: Sequence[str]) -> None:
        self._session = session
        self._endpoints = list(endpoints)

    async def __call__(self, method: str, body: dict[str, Any]) -> Result[Any, Problem]:
        """Call the endpoints in order until one answers."""
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
    """Client that reads and writes keys of the configuration store.

    Args:
        call: Sends one call to the store.
    """

    def __init__(self, call: StoreCall) -> None:
        self._call = call

    async def read(self, key: str) -> Result[StoredValue | None, Problem]:
        """Read a key; returns ``None`` if it does not exist."""
        answer = await self._call("kv/range", {"key": _encode(key.encode())})
        return answer.bind(_decode_range).map(lambda values: values[0] if values else None)

    async def read_prefix(self, prefix: str) -> Result[list[StoredValue], Problem]:
        """Read all keys that start with ``prefix``, in key order."""
        return (await self._call("kv/range", _prefix_body(prefix))).bind(_decode_range)

    async def read_last(self, prefix: str) -> Result[StoredValue | None, Problem]:
        """Read the last key in key order that starts with ``prefix``."""
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
        """Create ``key`` if it does not exist and ``required_key``, if given, does.

        Retries up to ``MAX_CREATE_ATTEMPTS`` times, with linear backoff.

        Returns:
            ``True`` if the key holds ``value``, ``False`` if it holds another value or the
            required key does not exist. After a failure, the write may still take effect.
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
        """Write a key unconditionally; only for values that increase monotonically."""
        body = {"key": _encode(key.encode()), "value": _encode(value)}
        return (await self._call("kv/put", body)).map(lambda _: None)

    async def delete_prefix(self, prefix: str) -> Result[None, Problem]:
        """Delete all keys that start with ``prefix``."""
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
        entries = answer["responses"][0]["response_range"].get("kvs", [])
        return Success(bool(entries) and _decode_value(entries[0]).value == value)
    except (AttributeError, KeyError, IndexError, ValueError, TypeError) as error:
        return _invalid(error)


def _invalid(error: Exception) -> Failure[Problem]:
    detail = f"{type(error).__name__}: {error}"
    return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, "config_store"))
