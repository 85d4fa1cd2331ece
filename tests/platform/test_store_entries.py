"""Invalid store entries must be rejected as a whole without affecting valid ones."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from hollowrack.coordination.store import Put, StoredItem
from hollowrack.forwarding.types import RoutingConfiguration, Worker
from hollowrack.platform.configuration import (
    MAX_LOGGED_DETAIL_LENGTH,
    check_retirement,
    decode_configuration,
    decode_target_version,
    decode_worker,
)
from hollowrack.platform.store_feed import PlatformFeed
from hollowrack.results import ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.platform.helpers import CONFIGURATION, System, run_system, until

ENTRY: dict[str, Any] = {
    "service": "svc",
    "address": "127.0.0.1:9000",
    "zone": "z1",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 1,
    "stage": "both",
    "models": [{"name": "m", "version": 2, "adapters": []}],
}
REQUIRED = ("service", "address", "zone", "capacity", "state")
# One value of each JSON type.
VALUES: tuple[Any, ...] = (None, True, 7, 7.5, "text", [], [1], {}, {"a": 1})
# Values of a valid type by field; ``None`` stands for a field that may be null.
ALLOWED: dict[str, tuple[Any, ...]] = {
    "service": ("text",),
    "zone": ("text",),
    "version": (None, 7, 7.5, "text"),
    "capacity": (7,),
    "cold-remaining-ms": (None, 7, 7.5),
    "sequence": (None, 7),
    "stage": (None, "text"),
    "models": (None, []),
}
OUT_OF_BOUNDS: tuple[tuple[str, Any], ...] = (
    ("service", ""),
    ("service", "s" * 201),
    ("service", "\ud800"),
    ("address", "127.0.0.1"),
    ("address", "127.0.0.1:0"),
    ("address", "127.0.0.1:65536"),
    ("address", "127.0.0.1:-1"),
    ("address", "127.0.0.1:80x"),
    ("address", "127.0.0.1:9000/path"),
    ("address", "h.example:9000"),
    ("address", "256.0.0.1:9000"),
    ("address", "a@127.0.0.1:9000"),
    ("zone", ""),
    ("capacity", 0),
    ("capacity", -3),
    ("capacity", 1_000_000_000),
    ("capacity", 8.0),
    ("state", "retired"),
    ("state", "READY"),
    ("state", ""),
    ("cold-remaining-ms", -1),
    ("cold-remaining-ms", 86_400_001),
    ("cold-remaining-ms", 1e308),
    ("sequence", -1),
    ("sequence", 2**60),
    ("models", [{"version": 2}]),
    ("models", [{"name": "m"}]),
    ("models", [{"name": "m", "version": "2"}]),
    ("models", [{"name": "m", "version": -1}]),
    ("models", [{"name": "m", "version": 2.0}]),
    ("models", [{"name": 5, "version": 2}]),
    ("models", ["m"]),
)
UNDECODABLE_VALUES = {
    "empty": b"",
    "not JSON": b"{",
    "not UTF-8": b"\xff\xfe\x00",
    "a list": b"[]",
    "a number": b"7",
    "null": b"null",
    "infinite": json.dumps(ENTRY | {"capacity": float("inf")}).encode(),
    "not a number": json.dumps(ENTRY | {"capacity": float("nan")}).encode(),
    "infinite in an unused field": json.dumps(ENTRY | {"new": float("inf")}).encode(),
    "a time that is not a number": json.dumps(ENTRY | {"cold-remaining-ms": float("nan")}).encode(),
    "out of the range of a float": json.dumps(ENTRY).encode().replace(b"8", b"1e999"),
    "huge": json.dumps(ENTRY).encode().replace(b"8", b"9" * 5000),
    "deep": b"[" * 100_000,
    "deep in a field": b'{"service": ' + b'{"a":' * 100_000,
}


def decode(entry: dict[str, Any], key: str = "servers/i-1") -> Success[Worker] | Failure[Any]:
    return decode_worker(key, json.dumps(entry).encode())  # type: ignore[return-value]


def test_valid_worker_entry_is_decoded() -> None:
    worker = decode(ENTRY | {"new": {"a": 1}}).unwrap()
    assert worker == Worker(
        "i-1", "svc", "127.0.0.1:9000", "z1", 8, False, {"m": 2}, cold_remaining_s=0.0
    )
    assert decode(ENTRY | {"state": "draining"}).unwrap().is_leaving
    assert decode(ENTRY | {"address": "[::1]:80"}).unwrap().address == "[::1]:80"


@pytest.mark.parametrize("name", sorted(ENTRY))
def test_required_fields_must_be_present(name: str) -> None:
    entry = {other: value for other, value in ENTRY.items() if other != name}
    assert isinstance(decode(entry), Failure) == (name in REQUIRED)


@pytest.mark.parametrize("name", sorted(ENTRY))
def test_mistyped_field_rejects_the_entry(name: str) -> None:
    for value in VALUES:
        decoded = decode(ENTRY | {name: value})
        is_allowed = any(
            value == allowed and type(value) is type(allowed) for allowed in ALLOWED.get(name, ())
        )
        assert isinstance(decoded, Success) == is_allowed, value
        if isinstance(decoded, Failure):
            problem = decoded.failure()
            assert problem.code is ResultCode.ENTRY_UNREADABLE
            assert problem.place == "servers/i-1"
            assert f"{name}" in problem.detail


@pytest.mark.parametrize(("name", "value"), OUT_OF_BOUNDS)
def test_out_of_range_field_rejects_the_entry(name: str, value: object) -> None:
    problem = decode(ENTRY | {name: value}).failure()
    assert name in problem.detail


@pytest.mark.parametrize("name", sorted(UNDECODABLE_VALUES))
def test_undecodable_bytes_are_rejected(name: str) -> None:
    assert isinstance(decode_worker("servers/i-1", UNDECODABLE_VALUES[name]), Failure)
    assert isinstance(decode_configuration(UNDECODABLE_VALUES[name]), Failure)
    assert isinstance(decode_target_version("op/version/m", UNDECODABLE_VALUES[name]), Failure)
    assert isinstance(check_retirement("op/retire/n", UNDECODABLE_VALUES[name]), Failure)


@pytest.mark.parametrize("worker_id", ["", "a b", "a\r\nX: y", "\u00e9", "\ud800", "x" * 300])
def test_invalid_identity_in_the_key_is_rejected(worker_id: str) -> None:
    problem = decode(ENTRY, f"servers/{worker_id}").failure()
    assert len(problem.place) < 210
    assert str(problem).isascii()
    assert str(problem).isprintable()


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary() | st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON_VALUES))
def test_decoders_do_not_raise_for_arbitrary_entries(drawn: bytes | dict[str, Any]) -> None:
    value = drawn if isinstance(drawn, bytes) else json.dumps(ENTRY | drawn).encode()
    for decoded in (
        decode_worker("servers/i-1", value),
        decode_configuration(value),
        decode_target_version("op/version/m", value),
        check_retirement("op/retire/n", value),
    ):
        if isinstance(decoded, Failure):
            assert len(decoded.failure().detail) <= MAX_LOGGED_DETAIL_LENGTH + len("....")


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.dictionaries(st.sampled_from(sorted(CONFIGURATION)), JSON_VALUES, min_size=1))
def test_configuration_decoder_does_not_raise_for_arbitrary_fields(drawn: dict[str, Any]) -> None:
    decode_configuration(json.dumps(CONFIGURATION | drawn).encode())


@pytest.mark.parametrize(
    ("entry", "is_valid"),
    [
        ({"model": "m", "version": 2}, True),
        ({"model": 5, "version": 2}, False),
        ({"model": "m", "version": "2"}, False),
        ({"model": "m", "version": True}, False),
        ({"model": "m", "version": 2.0}, False),
        ({"model": "m", "version": 0}, False),
        ({"model": "m", "version": 10**30}, False),
        ({"model": "m"}, False),
        ({"version": 2}, False),
    ],
)
def test_announced_version_requires_a_model_and_an_integer(
    entry: dict[str, Any], is_valid: bool
) -> None:
    decoded = decode_target_version("op/version/m", json.dumps(entry).encode())
    assert isinstance(decoded, Success) == is_valid


@dataclass
class RecordingListener:
    """Feed listener that records what it receives."""

    workers: dict[str, Worker] = field(default_factory=dict)
    configuration_versions: list[int] = field(default_factory=list)
    target_versions: list[tuple[str, int]] = field(default_factory=list)
    retired: list[str] = field(default_factory=list)
    evacuated: set[str] = field(default_factory=set)

    def configuration_changed(self, configuration: RoutingConfiguration) -> None:
        self.configuration_versions.append(configuration.version)

    def worker_changed(self, worker: Worker) -> None:
        self.workers[worker.id] = worker

    def worker_removed(self, worker_id: str) -> None:
        self.workers.pop(worker_id, None)

    def worker_entry_removed(self, worker_id: str) -> None:
        self.workers.pop(worker_id, None)

    def target_version_changed(self, model: str, version: int) -> None:
        self.target_versions.append((model, version))

    def retirement_requested(self, node: str) -> None:
        self.retired.append(node)

    def zone_evacuated(self, zone: str) -> None:
        self.evacuated.add(zone)

    def evacuation_lifted(self, zone: str) -> None:
        self.evacuated.discard(zone)

    def watch_interrupted(self) -> None:
        pass


def make_feed(core: CoordinationStoreCore, recorded: RecordingListener) -> PlatformFeed:
    started = asyncio.Event()
    started.set()
    return PlatformFeed(core.make_client(), recorded, 0.1, 0.1, 0.5, 0.5, random.Random(1), started)


def as_json(value: object) -> bytes:
    return json.dumps(value).encode()


def test_undecodable_entry_removes_its_worker_only() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        recorded = RecordingListener()
        feed = make_feed(core, recorded)
        puts = [
            Put("servers/a", as_json(ENTRY)),
            Put("servers/b", as_json(ENTRY)),
            Put("op/config", as_json(CONFIGURATION)),
        ]
        core.transact([], puts, [])
        feed.start()
        await asyncio.sleep(1.0)
        assert set(recorded.workers) == {"a", "b"}
        for value in UNDECODABLE_VALUES.values():
            keys = ("servers/a", "servers/c", "op/config", "op/version/m", "op/retire/n")
            core.transact([], [Put(key, value) for key in keys], [])
            await asyncio.sleep(0.5)
            assert set(recorded.workers) == {"b"}
        assert (recorded.configuration_versions, recorded.target_versions, recorded.retired) == (
            [3],
            [],
            [],
        )
        puts = [
            Put("servers/a", as_json(ENTRY)),
            Put("op/config", as_json(CONFIGURATION | {"version": 4})),
            Put("op/version/m", as_json({"model": "m", "version": 2})),
            Put("op/retire/n", as_json({"duration-s": 5})),
        ]
        core.transact([], puts, [])
        await asyncio.sleep(1.0)
        assert set(recorded.workers) == {"a", "b"}
        assert (recorded.configuration_versions, recorded.target_versions, recorded.retired) == (
            [3, 4],
            [("m", 2)],
            ["n"],
        )
        assert feed.unreadable.num_by_prefix == {
            "servers/": 2 * len(UNDECODABLE_VALUES),
            "op/": 3 * len(UNDECODABLE_VALUES),
        }
        await feed.stop()

    run_virtual(main())


def test_unreadable_entries_are_logged_once_and_rate_limited(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        feed = make_feed(CoordinationStoreCore(), RecordingListener())
        for revision in range(50):
            feed.workers._on_change("servers/a", StoredItem("servers/a", b"{", revision))
        assert caplog.text.count("servers/a") == 1
        for number in range(200):
            feed.workers._on_change(f"servers/{number}", StoredItem("k", b"\xff" * 5000, 1))

    caplog.set_level("INFO", logger="absl")
    run_virtual(main())
    assert 10 <= len(caplog.records) <= 20
    assert max(len(record.getMessage()) for record in caplog.records) < 1000
    assert "[807 ENTRY_UNREADABLE] at servers/a" in caplog.text
    assert "Remedy" in caplog.text


def test_node_serves_with_the_remaining_valid_workers() -> None:
    async def scenario(system: System) -> None:
        workers = system.edges["n0"].node.workers
        other_service_entry = dict(system.workers["s0"].entry()) | {"service": "unknown"}
        system.store.put("servers/other", other_service_entry)
        system.store.put("servers/broken", system.workers["s0"].entry() | {"capacity": "6"})
        system.store.put("servers/s0", system.workers["s0"].entry() | {"state": "retired"})
        await until(lambda: workers.get("s0") is None and workers.get("other") is not None)
        for number in range(8):
            answer = await system.send("/plain/x", request_id=f"q{number}")
            assert answer.status == 200
            assert answer.body.endswith(b"by s1")
        assert workers.get("broken") is None
        url = f"http://{system.edges['n0'].peers_address}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            assert 'unreadable_entries_total{prefix="servers/"} 2.0' in await response.text()
        system.store.put("servers/s0", system.workers["s0"].entry())
        await until(lambda: workers.get("s0") is not None)

    run_system(scenario)
