"""Client of the platform's key-value service, used as the coordination store."""

import base64
import functools
import json
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar

import aiohttp
from yarl import URL

from hollowrack.coordination.store import (
    Changes,
    Committed,
    Condition,
    Conflict,
    GrantedLease,
    HistoryGone,
    KeyChange,
    LeaseGone,
    Listing,
    NotDone,
    Put,
    RemovedKey,
    StoredItem,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from hollowrack.messages.idle_connections import close_idle_on_timeout
from hollowrack.platform import names

CALL_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.6
# Added to the wait of a watch; a slow store answers within 0.25 s. A watch over a lost connection
# delays changes by up to this time.
WATCH_TIMEOUT_MARGIN_S = 0.8
MS_PER_S = 1000


Built = TypeVar("Built")


@dataclass(frozen=True)
class _Page:
    """A page of a listing."""

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool


class PlatformStore:
    """Client of the platform's store over HTTP; implements :class:`CoordinationStore`.

    Args:
        session: HTTP session used by this client only.
        address: ``IP:PORT`` of the store.

    Attributes:
        num_calls: Number of calls by kind.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"
        self.num_calls: Counter[str] = Counter()

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key; returns ``None`` if it does not exist."""
        answer = await self._call("get", "GET", names.KV_KEY_PATH, {"key": key})
        if isinstance(answer, NotDone | Unknown):
            return answer
        status, body = answer
        if status == HTTPStatus.NOT_FOUND:
            return None
        if status != HTTPStatus.OK:
            return Unknown(f"status {status}")
        return _checked(lambda: _item(body))

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys with a prefix, page by page; the revision is that of the first page."""
        items: list[StoredItem] = []
        revision: int | None = None
        query = {"path-prefix": prefix}
        while True:
            answer = await self._call(
                f"list {_call_prefix(prefix)}", "GET", names.KV_RANGE_PATH, query
            )
            if isinstance(answer, NotDone | Unknown):
                return answer
            status, body = answer
            if status != HTTPStatus.OK:
                return Unknown(f"status {status}")
            page = _checked(functools.partial(_page, body))
            if isinstance(page, Unknown):
                return page
            # The pages are not one snapshot. A watch from the first page's revision receives all
            # changes made between pages.
            revision = page.revision if revision is None else revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                return Listing(tuple(items), revision)
            query = {"path-prefix": prefix, "after-revision": page.items[-1].key}

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait for changes of keys with a prefix."""
        query = {
            "path-prefix": prefix,
            "after-revision": str(after_revision),
            "wait-ms": str(int(wait_s * MS_PER_S)),
        }
        answer = await self._call(
            f"watch {_call_prefix(prefix)}",
            "GET",
            names.KV_WATCH_PATH,
            query,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
            expected_wait_s=wait_s,
        )
        if isinstance(answer, NotDone | Unknown):
            return answer
        status, body = answer
        if status == HTTPStatus.GONE:
            return HistoryGone()
        if status != HTTPStatus.OK:
            return Unknown(f"status {status}")
        return _checked(
            lambda: Changes(tuple(_change(entry) for entry in body["events"]), int(body["at"]))
        )

    async def transact(
        self,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        removes: Sequence[str] = (),
    ) -> WriteOutcome:
        """Apply all writes atomically if all conditions hold."""
        request = {
            "expected-revision": [
                {"key": condition.key, "revision": condition.revision} for condition in conditions
            ],
            "put": [_put(put) for put in puts],
            "remove": list(removes),
        }
        answer = await self._call("transact", "POST", names.KV_TXN_PATH, body=request)
        if isinstance(answer, NotDone | Unknown):
            return answer
        status, body = answer
        if status == HTTPStatus.OK:
            return _checked(lambda: Committed(int(body["revision"])))
        if status == HTTPStatus.PRECONDITION_FAILED:
            return _checked(
                lambda: Conflict(
                    tuple(_item(entry) for entry in body["requests"] if _exists(entry))
                )
            )
        if status == HTTPStatus.NOT_FOUND:
            return LeaseGone()
        return Unknown(f"status {status}")

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Grant a lease."""
        request = {"ttl-ms": int(ttl_s * MS_PER_S)}
        answer = await self._call("grant", "POST", names.KV_LEASE_PATH, body=request)
        if isinstance(answer, NotDone | Unknown):
            return answer
        status, body = answer
        if status != HTTPStatus.OK:
            return Unknown(f"status {status}")
        return _checked(lambda: GrantedLease(int(body["lease"]), body["ttl-ms"] / MS_PER_S))

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease."""
        answer = await self._call("renew", "POST", f"{names.KV_KEEP_PATH}{lease}")
        if isinstance(answer, NotDone | Unknown):
            return answer
        status, body = answer
        if status == HTTPStatus.NOT_FOUND:
            return LeaseGone()
        if status != HTTPStatus.OK:
            return Unknown(f"status {status}")
        return _checked(lambda: GrantedLease(lease, body["ttl-ms"] / MS_PER_S))

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease."""
        await self._call("end lease", "DELETE", f"{names.KV_LEASE_END_PATH}{lease}")

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        body: object = None,
        expected_wait_s: float = 0.0,
    ) -> tuple[int, Any] | Unavailable:
        """Send a request and return the status and the decoded body.

        Args:
            kind: Key of the call in ``num_calls``.
            method: HTTP method.
            path: Path of the request.
            query: Query parameters.
            timeout_s: Timeout of the request, in seconds.
            body: Body, sent as JSON.
            expected_wait_s: Time that the store may take to answer by protocol, in seconds.
        """
        self.num_calls[kind] += 1
        url = URL(self._base + path)
        if query:
            url = url.with_query(query)
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            with close_idle_on_timeout(self._session, url, expected_wait_s):
                async with self._session.request(
                    method, url, json=body, timeout=timeout
                ) as response:
                    data = await response.read()
            if response.status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
                return NotDone(f"status {response.status}")
            return response.status, json.loads(data) if data else {}
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotDone(type(error).__name__)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, RecursionError) as error:
            return Unknown(type(error).__name__)


def _call_prefix(prefix: str) -> str:
    """Return the first two parts of a prefix, without the identifier of a job."""
    return "/".join(prefix.split("/")[:2])


def _put(put: Put) -> dict[str, object]:
    entry: dict[str, object] = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        entry["lease"] = put.lease
    return entry


def _exists(entry: dict[str, Any]) -> bool:
    return bool(entry.get("revision")) and "value" in entry


def _change(entry: dict[str, Any]) -> KeyChange:
    if entry.get("gone"):
        return RemovedKey(entry["key"], int(entry["revision"]))
    return _item(entry)


def _page(body: Any) -> _Page:
    items = tuple(_item(entry) for entry in body["requests"])
    return _Page(items, int(body["at"]), bool(body.get("more")))


def _checked(build: Callable[[], Built]) -> Built | Unknown:
    """Build the result from a response; returns ``Unknown`` if the response is malformed."""
    try:
        return build()
    except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        return Unknown(f"malformed response: {type(error).__name__}")


def _value(entry: dict[str, Any]) -> bytes:
    """Return the bytes of an entry; empty if undecodable, so that only this entry is affected."""
    try:
        return base64.b64decode(entry["value"])
    except (ValueError, TypeError):
        return b""


def _item(entry: dict[str, Any]) -> StoredItem:
    return StoredItem(
        entry["key"],
        _value(entry),
        int(entry["revision"]),
        int(entry.get("lease") or 0),
    )
