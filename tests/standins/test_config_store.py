"""Configuration store stand-in behind the real client.

Guards against a stand-in that differs from the etcd API, or whose faults have no effect.
"""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest

from hollowrack.clients.config_store import ConfigStoreClient, HttpStoreCall
from hollowrack.results import ResultCode
from hollowrack_standins.config_store import ConfigStoreStandin, KeyValueCore


@asynccontextmanager
async def _store() -> AsyncIterator[tuple[ConfigStoreStandin, ConfigStoreClient]]:
    standin = ConfigStoreStandin(seed=3)
    address = await standin.start()
    async with aiohttp.ClientSession() as session:
        yield standin, ConfigStoreClient(HttpStoreCall(session, [f"http://{address}"]))
    await standin.stop()


def _run(test: Callable[[ConfigStoreStandin, ConfigStoreClient], Awaitable[None]]) -> None:
    async def run() -> None:
        async with _store() as (standin, client):
            await test(standin, client)

    asyncio.run(run())


def test_create_writes_a_key_only_once() -> None:
    async def test(standin: ConfigStoreStandin, client: ConfigStoreClient) -> None:
        assert (await client.create("a/1", b"first")).unwrap()
        assert not (await client.create("a/1", b"second")).unwrap()
        assert (await client.create("a/1", b"first")).unwrap(), (
            "a retry with the same value succeeds"
        )
        stored = (await client.read("a/1")).unwrap()
        assert stored is not None and stored.value == b"first"
        assert not (await client.create("a/3", b"x", required_key="a/2")).unwrap()
        assert (await client.create("a/2", b"x", required_key="a/1")).unwrap()

    _run(test)


def test_prefix_reads_are_sorted_and_deletable() -> None:
    async def test(standin: ConfigStoreStandin, client: ConfigStoreClient) -> None:
        for number in (3, 1, 2):
            await client.put(f"p/{number}", str(number).encode())
        await client.put("q/9", b"other")
        keys = [stored.key for stored in (await client.read_prefix("p/")).unwrap()]
        assert keys == ["p/1", "p/2", "p/3"]
        last = (await client.read_last("p/")).unwrap()
        assert last is not None and last.value == b"3"
        await client.delete_prefix("p/")
        assert (await client.read_prefix("p/")).unwrap() == []

    _run(test)


@pytest.mark.parametrize(
    ("fault", "value", "code"),
    [
        ("is_down", True, ResultCode.PLATFORM_UNAVAILABLE),
        ("max_calls_per_s", 0, ResultCode.PLATFORM_THROTTLED),
        ("delay_s", 5.0, ResultCode.PLATFORM_UNAVAILABLE),
    ],
)
def test_faults_map_to_result_codes(fault: str, value: object, code: ResultCode) -> None:
    async def test(standin: ConfigStoreStandin, client: ConfigStoreClient) -> None:
        setattr(standin.faults, fault, value)
        assert (await client.read("a")).failure().code is code

    _run(test)


def test_create_succeeds_after_lost_answers() -> None:
    async def test(standin: ConfigStoreStandin, client: ConfigStoreClient) -> None:
        standin.faults.lost_answer_share = 0.5
        outcomes = [await client.create(f"k/{number}", b"mine") for number in range(20)]
        assert all(outcome.unwrap() for outcome in outcomes)
        standin.faults.lost_answer_share = 0.0
        assert len((await client.read_prefix("k/")).unwrap()) == 20

    _run(test)


def test_restore_returns_earlier_content() -> None:
    async def test(standin: ConfigStoreStandin, client: ConfigStoreClient) -> None:
        await client.put("a", b"old")
        snapshot = standin.copy_state()
        await client.put("a", b"new")
        standin.restore_state(snapshot)
        stored = (await client.read("a")).unwrap()
        assert stored is not None and stored.value == b"old"

    _run(test)


def test_watch_streams_changes() -> None:
    async def run() -> None:
        standin = ConfigStoreStandin()
        address = await standin.start()
        body = {"create_request": {"key": _base64("w/"), "range_end": _base64("w0")}}
        async with aiohttp.ClientSession() as session:
            client = ConfigStoreClient(HttpStoreCall(session, [f"http://{address}"]))
            async with session.post(f"http://{address}/v3/watch", json=body) as response:
                assert json.loads(await response.content.readline())["result"]["created"]
                await client.put("w/1", b"x")
                event = json.loads(await response.content.readline())["result"]["events"][0]
                assert base64.b64decode(event["kv"]["key"]) == b"w/1"
        await standin.stop()

    asyncio.run(run())


def test_lease_expiry_deletes_its_keys() -> None:
    core = KeyValueCore()
    lease = core.grant({"TTL": "10"}, now_s=0.0)["ID"]
    core.put({"key": _base64("owner"), "value": _base64("me"), "lease": lease})
    core.keep_alive({"ID": lease}, now_s=8.0)
    core.expire(now_s=17.0)
    assert core.range({"key": _base64("owner")})["count"] == "1"
    core.expire(now_s=18.5)
    assert core.range({"key": _base64("owner")})["count"] == "0"
    assert core.keep_alive({"ID": lease}, now_s=19.0)["result"]["TTL"] == "0"


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
