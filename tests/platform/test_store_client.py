"""Malformed responses of the store must yield ``Unknown`` and never raise."""

import asyncio
import base64
import json
from typing import Any

import pytest

from hollowrack.coordination.store import Listing, Unknown
from hollowrack.platform.http_session import client_session
from hollowrack.platform.store_client import PlatformStore

MALFORMED = (
    b"{}",
    b"[]",
    b"7",
    b"null",
    b"\xff{",
    b"[" * 100_000,
    b'{"requests": 5, "events": 5, "at": 1}',
    b'{"requests": [5], "events": [{}], "at": 1, "lease": 1, "ttl-ms": "x"}',
    b'{"requests": [], "events": [], "at": Infinity, "lease": NaN, "revision": Infinity}',
)


async def outcomes_of(body: bytes) -> list[Any]:
    """Return the outcome of each call when the store responds with these bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with client_session() as session:
        store = PlatformStore(session, f"{host}:{port}")
        outcomes = [
            await store.get("k"),
            await store.list_prefix("k/"),
            await store.watch("k/", 1, 0.1),
            await store.transact([], []),
            await store.grant_lease(5.0),
            await store.renew_lease(3),
        ]
    server.close()
    return outcomes


@pytest.mark.parametrize("body", MALFORMED, ids=lambda body: body[:30].decode("latin-1"))
def test_malformed_response_yields_unknown(body: bytes) -> None:
    outcomes = asyncio.run(outcomes_of(body))
    assert [type(outcome) for outcome in outcomes] == [Unknown] * len(outcomes)


def test_undecodable_value_does_not_affect_other_entries() -> None:
    entries = [
        {"key": "k/a", "value": "%", "revision": 1},
        {"key": "k/b", "value": base64.b64encode(b"good").decode(), "revision": 2},
        {"key": "k/c", "value": 5, "revision": 3},
    ]
    body = json.dumps({"requests": entries, "more": False, "at": 3}).encode()
    listing = asyncio.run(outcomes_of(body))[1]
    assert isinstance(listing, Listing)
    assert [item.value for item in listing.items] == [b"", b"good", b""]
