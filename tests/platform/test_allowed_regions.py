"""Guards against an invalid list of allowed regions that is read as any region."""

import asyncio
import json
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from hollowrack.coordination.store import Put
from hollowrack.platform.configuration import decode_configuration
from hollowrack.platform.settings import ProcessSettings, read_process_settings
from hollowrack.platform.store_feed import PlatformFeed
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.platform.helpers import CONFIGURATION, System, job_body, run_system, until
from tests.platform.test_store_entries import JSON_VALUES, RecordingListener, as_json, make_feed

REGIONS = frozenset({"r1", "r2"})
TENANTS = [{"name": "ana", "api-keys": ["ka"]}, {"name": "bob", "api-keys": ["kb"]}]
INVALID: dict[str, Any] = {
    "null": None,
    "true": True,
    "false": False,
    "an integer": 7,
    "a number": 7.5,
    "1e308": 1e308,
    "a string": "r1",
    "an empty string": "",
    "an empty list": [],
    "an object": {"r1": True},
    "an empty object": {},
    "a list with null": ["r1", None],
    "a list with a number": [1e308],
    "a list with a boolean": [True],
    "a list in a list": [["r1"]],
    "a list with an object": [{"name": "r1"}],
    "an unknown region": ["r9"],
    "an unknown region beside a known one": ["r1", "r9"],
    "a region in another case": ["R1"],
    "an empty region": [""],
    "an empty region beside a known one": ["r1", ""],
    "a zone": ["z1"],
    "a region with spaces": ["r1 "],
    "a long region": ["r" * 100_000],
    "many unknown regions": [f"r{n}" for n in range(3, 10_000)],
    "a control character": ["r1\r\n"],
    "a lone surrogate": ["\ud800"],
}


def with_regions(place: str, *values: Any, version: int = 4) -> dict[str, Any]:
    """Return a configuration with a list of regions of the second route or tenant."""
    routes, tenants = [dict(route) for route in CONFIGURATION["routes"]], [dict(t) for t in TENANTS]
    entry = routes[1] if place == "routes" else tenants[1]
    for value in values:
        entry["allowed-regions"] = value
    return CONFIGURATION | {"version": version, "routes": routes, "tenants": tenants}


def check_rejected(problem: Problem, place: str) -> None:
    assert problem.code is ResultCode.ALLOWED_REGIONS_INVALID
    assert problem.place == f"op/config {place}[1].allowed-regions"
    assert problem.remedy
    assert str(problem).isascii()
    assert str(problem).isprintable()
    assert len(str(problem)) < 1000


@pytest.mark.parametrize("place", ["routes", "tenants"])
@pytest.mark.parametrize("name", sorted(INVALID))
def test_invalid_list_rejects_the_whole_configuration(place: str, name: str) -> None:
    value = json.dumps(with_regions(place, INVALID[name])).encode()
    decoded = decode_configuration(value, REGIONS)
    assert isinstance(decoded, Failure)
    check_rejected(decoded.failure(), place)


@pytest.mark.parametrize("place", ["routes", "tenants"])
def test_regions_are_unknown_if_the_settings_name_none(place: str) -> None:
    decoded = decode_configuration(json.dumps(with_regions(place, ["r1"])).encode())
    assert isinstance(decoded, Failure)
    check_rejected(decoded.failure(), place)


@pytest.mark.parametrize("place", ["routes", "tenants"])
@pytest.mark.parametrize("value", [b"1e999", b"NaN", b"Infinity", b"-1e999", b"[1e999]"])
def test_numbers_outside_of_json_reject_the_configuration(place: str, value: bytes) -> None:
    content = json.dumps(with_regions(place, "PLACEHOLDER")).encode()
    decoded = decode_configuration(content.replace(b'"PLACEHOLDER"', value), REGIONS)
    assert isinstance(decoded, Failure)
    assert decoded.failure().code in (
        ResultCode.PLATFORM_ANSWER_INVALID,
        ResultCode.ALLOWED_REGIONS_INVALID,
    )


@pytest.mark.parametrize("place", ["routes", "tenants"])
def test_list_nested_too_deeply_is_rejected(place: str) -> None:
    content = json.dumps(with_regions(place, "PLACEHOLDER")).encode()
    for depth in (100, 900, 100_000):
        value = content.replace(b'"PLACEHOLDER"', b"[" * depth + b"]" * depth)
        assert isinstance(decode_configuration(value, REGIONS), Failure)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ((), None),
        ((["r1"],), frozenset({"r1"})),
        ((["r2", "r1"],), REGIONS),
        ((["r1", "r1"],), frozenset({"r1"})),
    ],
)
def test_valid_lists_are_decoded(
    values: tuple[list[str], ...], expected: frozenset[str] | None
) -> None:
    of_route = decode_configuration(json.dumps(with_regions("routes", *values)).encode(), REGIONS)
    regions = [route.allowed_regions for route in of_route.unwrap().routes]
    assert regions == [None, expected, None, None]
    of_tenant = decode_configuration(json.dumps(with_regions("tenants", *values)).encode(), REGIONS)
    tenants = of_tenant.unwrap().tenants
    assert tenants.allowed_regions_of("bob") == expected
    assert tenants.allowed_regions_of("ana") is None
    assert tenants.allowed_regions_of(None) is None
    assert tenants.allowed_regions_of("other") is None


@pytest.mark.parametrize("place", ["routes", "tenants"])
@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(JSON_VALUES | st.lists(st.sampled_from(["r1", "r2", "r9", "", 1, None])))
def test_any_other_value_is_rejected(place: str, value: Any) -> None:
    decoded = decode_configuration(json.dumps(with_regions(place, value)).encode(), REGIONS)
    is_valid = isinstance(value, list) and bool(value) and all(v in ("r1", "r2") for v in value)
    assert isinstance(decoded, Success) is is_valid
    if isinstance(decoded, Failure):
        problem = decoded.failure()
        # A value that is not JSON, such as NaN, is rejected by the parser of the whole entry.
        if problem.code is not ResultCode.PLATFORM_ANSWER_INVALID:
            check_rejected(problem, place)


@settings(
    derandomize=True,
    max_examples=10_000,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.binary(max_size=60), st.sampled_from(["all", "routes", "tenants"]))
def test_drawn_bytes_are_a_numbered_error_or_valid_regions(drawn: bytes, place: str) -> None:
    if place == "all":
        value = drawn
    else:
        content = json.dumps(with_regions(place, "PLACEHOLDER")).encode()
        value = content.replace(b'"PLACEHOLDER"', drawn)
    decoded = decode_configuration(value, REGIONS)
    if isinstance(decoded, Failure):
        problem = decoded.failure()
        assert problem.code in (
            ResultCode.PLATFORM_ANSWER_INVALID,
            ResultCode.ALLOWED_REGIONS_INVALID,
        )
        assert problem.place.startswith("op/config")
        assert problem.remedy
        return
    configuration = decoded.unwrap()
    lists = [configuration.routes[1].allowed_regions]
    lists.append(configuration.tenants.allowed_regions_of("bob"))
    assert any(regions is not None and regions <= REGIONS and regions for regions in lists)


async def pass_to_feed(values: list[bytes]) -> tuple[RecordingListener, PlatformFeed]:
    """Write values of the configuration's key one after the other and return what was received."""
    core = CoordinationStoreCore()
    recorded = RecordingListener()
    feed = make_feed(core, recorded)
    feed._regions = REGIONS
    feed.start()
    for value in values:
        core.transact([], [Put("op/config", value)], [])
        # Longer than the interval of the watch, so that no value is skipped.
        await asyncio.sleep(0.5)
    await feed.stop()
    return recorded, feed


def test_configuration_in_force_stays_while_later_ones_are_invalid() -> None:
    async def main() -> None:
        invalid = [
            as_json(with_regions(place, value, version=5))
            for value in INVALID.values()
            for place in ("routes", "tenants")
        ]
        values = [
            as_json(with_regions("routes", ["r1"])),
            *invalid,
            as_json(with_regions("routes", ["r2"], version=6)),
        ]
        recorded, feed = await pass_to_feed(values)
        assert recorded.configuration_versions == [4, 6]
        assert feed.unreadable.num_by_prefix == {"op/": len(invalid)}

    run_virtual(main())


SETTINGS: dict[str, Any] = {"node-name": "n", "zone": "z1", "platform": {"address": "a:1"}}


@pytest.mark.parametrize(
    ("changes", "region"),
    [
        ({}, None),
        ({"region": "r1"}, "r1"),
        ({"zones": {"z1": "r1", "z2": "r2"}}, "r1"),
        ({"zones": {"z1": "r1"}, "region": "r1"}, "r1"),
        ({"zones": {"z2": "r2"}, "region": "r1"}, "r1"),
        ({"zones": {"z2": "r2"}}, None),
        ({"zones": {}}, None),
    ],
)
def test_region_of_this_machine_is_read(changes: dict[str, Any], region: str | None) -> None:
    node = ProcessSettings.model_validate(SETTINGS | changes)
    assert RegionTopology(node.zones, node.zone, node.region).own_region == region


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        *(({"region": value}, "region") for value in (None, True, 7, 7.5, 1e308, [], {})),
        *(({"zones": value}, "zones") for value in (None, True, 7, 7.5, 1e308, "z1", ["z1"])),
        *(({"zones": {"z1": value}}, "zones.z1") for value in (None, True, 7, 1e308, [], {})),
        ({"zones": {"z1": "r2"}, "region": "r1"}, "zones"),
    ],
)
def test_invalid_regions_of_the_settings_are_reported(
    tmp_path: Any, changes: dict[str, Any], place: str
) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS | changes))
    checked = read_process_settings(path)
    assert isinstance(checked, Failure)
    problem = checked.failure()
    assert (problem.code, problem.place) == (ResultCode.SETTINGS_INVALID, place)
    assert problem.remedy


NODE_SETTINGS = {"zones": {"z1": "r1", "z2": "r2"}, "region": "r1"}


def test_requests_of_a_node_stay_in_the_regions_of_route_and_tenant() -> None:
    async def scenario(system: System) -> None:
        for name in ("s1", "e1"):
            system.store.put(f"servers/{name}", system.workers[name].entry() | {"zone": "z2"})
        await system.start_edge("c0", NODE_SETTINGS)
        # Owner of jobs that c0 may not own.
        await system.start_edge("c1", NODE_SETTINGS | {"zone": "z2", "region": "r2"})
        for name in ("c0", "c1"):
            await system.wait_until_ready(name)
        node = system.edges["c0"].node
        routes = [
            route | {"allowed-regions": ["r2"]} if route["name"] != "jobs" else route
            for route in CONFIGURATION["routes"]
        ]
        tenants = [
            {"name": "ana", "api-keys": ["ka"]},
            {"name": "bob", "api-keys": ["kb"], "allowed-regions": ["r1"]},
        ]
        content = CONFIGURATION | {"version": 4, "routes": routes, "tenants": tenants}
        system.store.put("op/config", content)
        await until(lambda: all(e.node.routes.version == 4 for e in system.edges.values()))
        await until(lambda: {w.zone for w in node.workers.all()} == {"z1", "z2"})
        ana = {"Authorization": "Bearer ka"}
        bob = {"Authorization": "Bearer kb"}
        for number in range(8):
            answer = await system.send("/plain/x", headers=ana, node="c0", request_id=f"a{number}")
            assert answer.body.endswith(b"by s1")
            headers = ana | {"Token-Count": "1,2"}
            stream = await system.send(
                "/stream/x", headers=headers, node="c0", request_id=f"t{number}"
            )
            assert stream.headers["Server-Stamp"].startswith("stamp-e1")
        for path in ("/plain/x", "/once/x", "/stream/x"):
            refused = await system.send(path, headers=bob, node="c0", request_id="b")
            assert refused.status == 503
            assert refused.json()["error"]["code"] == int(ResultCode.NO_WORKER_IN_REGIONS)
            assert refused.headers["Retry-After"] == "2"
        assert "b" not in system.worker_records.headers
        assert system.worker_records.executions["b"] == 0
        # An invalid list leaves the one in force.
        system.store.put("op/config", with_regions("routes", [], version=5))
        unreadable = system.edges["c0"]._feed.unreadable
        await until(lambda: unreadable.num_by_prefix["op/"] == 1)
        assert node.routes.version == 4
        # The tenant allows r1 only, where the generation may run, but no scorer call: the job could
        # never be completed, and no node may hold all of it.
        body = json.dumps(job_body("j2")).encode()
        refused = await system.send("/jobs/j2", body=body, headers=bob, node="c0", request_id="j2")
        assert refused.status == 503
        assert refused.json()["error"]["code"] == int(ResultCode.JOB_REGIONS_UNAVAILABLE)
        body = json.dumps(job_body("j1")).encode()
        submitted = await system.send(
            "/jobs/j1", body=body, headers=ana, node="c0", request_id="j1"
        )
        assert submitted.status == 202
        executions = system.worker_records.executions
        await until(lambda: all(executions[f"j1.s{n}"] for n in range(6)))
        assert not any(executions[f"j2.{kind}{n}"] for kind in "is" for n in range(6))

    run_system(scenario, num_edges=0)
