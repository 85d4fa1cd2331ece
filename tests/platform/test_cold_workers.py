"""Guards against misread fields about cold workers, and against limits where none are set."""

import asyncio
import json
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from hollowrack.platform.cold_time import MALFORMED_PER_LOG_LINE, ColdTimeDecoder
from hollowrack.platform.configuration import decode_configuration, decode_worker
from hollowrack.platform.settings import read_process_settings
from hollowrack.results import ResultCode
from hollowrack.warmup.coldness import MAX_COLD_S
from hollowrack.warmup.control import ColdWorkerCondition
from hollowrack.warmup.peer_http import PERMITS_PATH
from hollowrack.warmup.types import WarmupBounds
from tests.platform.helpers import CONFIGURATION, System, run_system, until
from tests.platform.test_store_entries import ENTRY

SETTINGS: dict[str, Any] = {"node-name": "n", "zone": "z", "platform": {"address": "a:1"}}
MISTYPED: tuple[Any, ...] = (None, True, "text", "7", [], [1], {}, {"a": 1})
OUT_OF_BOUNDS: tuple[Any, ...] = (-1, -0.001, 1e308, 10**30)


def write_settings(folder: Path, bounds: dict[str, Any]) -> Path:
    path = folder / "node.json"
    path.write_text(json.dumps(SETTINGS | {"bounds": bounds}))
    return path


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        ({}, None),
        ({"cold-overage": None, "cold-slack": None}, None),
        ({"cold-overage": 1.5, "cold-slack": 5}, WarmupBounds(1.5, 5.0)),
        # Where the rule exists at all, the missing half is the strictest.
        ({"cold-overage": 2}, WarmupBounds(2.0, 0.0)),
        ({"cold-slack": 3}, WarmupBounds(1.0, 3.0)),
    ],
)
def test_bounds_are_read_from_the_settings(
    tmp_path: Path, bounds: dict[str, Any], expected: WarmupBounds | None
) -> None:
    settings = read_process_settings(write_settings(tmp_path, bounds)).unwrap()
    assert settings.bounds.warmup == expected


@pytest.mark.parametrize("name", ["cold-overage", "cold-slack"])
@pytest.mark.parametrize("value", [*MISTYPED[1:], *OUT_OF_BOUNDS])
def test_invalid_bounds_report_the_field(tmp_path: Path, name: str, value: Any) -> None:
    checked = read_process_settings(write_settings(tmp_path, {name: value}))
    assert isinstance(checked, Failure)
    assert checked.failure().code is ResultCode.SETTINGS_INVALID
    assert checked.failure().place == f"bounds.{name}"


def decode_service(fields: dict[str, Any]) -> Any:
    services = [{"name": "svc"} | fields]
    return decode_configuration(json.dumps(CONFIGURATION | {"services": services}).encode())


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        ({"cold-start-s": 0, "cold-per-s": 0}, (0.0, 0.0)),
        ({"cold-start-s": 8, "cold-per-s": 1.5}, (8.0, 1.5)),
        ({"cold-start-s": 7200}, (MAX_COLD_S, 0.0)),
    ],
)
def test_rate_and_time_of_a_service_are_decoded(
    fields: dict[str, Any], expected: tuple[float, float]
) -> None:
    service = decode_service(fields).unwrap().services["svc"]
    assert (service.cold_start_s, service.cold_requests_per_s) == expected


@pytest.mark.parametrize("name", ["cold-start-s", "cold-per-s"])
@pytest.mark.parametrize("value", [*MISTYPED, *OUT_OF_BOUNDS])
def test_invalid_rate_or_time_rejects_the_configuration_with_its_place(
    name: str, value: Any
) -> None:
    decoded = decode_service({name: value})
    assert isinstance(decoded, Failure)
    problem = decoded.failure()
    assert problem.code is ResultCode.PLATFORM_ANSWER_INVALID
    assert problem.place == "op/config"
    assert f"services.svc.{name}" in problem.detail


@pytest.mark.parametrize(
    ("fields", "expected_s"),
    [
        ({}, None),
        ({"cold-remaining-ms": None}, None),
        ({"cold-remaining-ms": 0}, 0.0),
        ({"cold-remaining-ms": 1500}, 1.5),
        ({"cold-remaining-ms": 3_600_000}, MAX_COLD_S),
    ],
)
def test_remaining_time_of_an_entry_is_decoded(
    fields: dict[str, Any], expected_s: float | None
) -> None:
    entry = {name: value for name, value in ENTRY.items() if name != "cold-remaining-ms"} | fields
    decoded = decode_worker("servers/i-1", json.dumps(entry).encode())
    assert isinstance(decoded, Success)
    assert decoded.unwrap().cold_remaining_s == expected_s


@pytest.mark.parametrize(
    ("value", "expected_s"), [("0", 0.0), ("1500", 1.5), (" 2.5e3 ", 2.5), ("3600000", MAX_COLD_S)]
)
def test_remaining_time_of_an_answer_is_decoded(value: str, expected_s: float) -> None:
    assert ColdTimeDecoder().decode(value, "w") == expected_s


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e308", "soon", "1_000", "\u0661", "9" * 5000, "5,6", "0x5"]
)
def test_malformed_time_of_an_answer_is_ignored_and_counted(
    value: str, caplog: pytest.LogCaptureFixture
) -> None:
    decoder = ColdTimeDecoder()
    for _ in range(MALFORMED_PER_LOG_LINE):
        assert decoder.decode(value, "w7") is None
    assert decoder.num_malformed == MALFORMED_PER_LOG_LINE
    (line,) = caplog.messages
    assert "802" in line
    assert "worker w7, header Cold-Ms" in line
    assert "Remedy" in line


@given(st.text())
def test_arbitrary_times_of_answers_do_not_raise(value: str) -> None:
    ColdTimeDecoder().decode(value, "w")


BOUNDS = {"lease-ms": 300, "cold-overage": 1.5, "cold-slack": 5}
LIMITED = CONFIGURATION | {
    "version": 4,
    "services": [
        CONFIGURATION["services"][0] | {"cold-start-s": 8, "cold-per-s": 2},
        *CONFIGURATION["services"][1:],
    ],
}


async def apply_limits(system: System) -> None:
    system.store.put("op/config", LIMITED)
    await until(lambda: all(edge.node.routes.version == 4 for edge in system.edges.values()))


def test_cold_workers_are_known_from_entries_and_answers_and_get_permits_only() -> None:
    async def scenario(system: System) -> None:
        edge = await system.start_edge("n9", {"bounds": BOUNDS})
        control = edge.node.cold_workers
        assert control is not None
        await apply_limits(system)
        await until(lambda: edge.node.is_ready)
        # The first worker states it in its entry, the other one only in its answers.
        system.workers["s0"].turn_cold(30.0)
        system.store.put("servers/s0", system.workers["s0"].entry())
        await until(lambda: control.num_cold()["svc"] == 1)
        system.workers["s1"].turn_cold(30.0)
        answer = await system.send("/plain/x", node="n9", request_id="first")
        assert answer.status == 200
        assert control.num_cold()["svc"] == 2
        answers = await asyncio.gather(
            *(system.send("/plain/x", node="n9", request_id=f"r{index}") for index in range(30))
        )
        statuses = [answer.status for answer in answers]
        assert set(statuses) <= {200, 503}
        assert statuses.count(503) >= 20
        refused = next(answer for answer in answers if answer.status == 503)
        assert refused.json()["error"]["code"] == ResultCode.WORKERS_COLD
        assert float(refused.headers["Retry-After"]) > 0.0
        num_received = sum(map(len, system.worker_records.arrival_times.values()))
        assert num_received - 1 <= control.permits.num_used["svc"]
        url = f"http://{edge.peers_address}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            text = await response.text()
        assert 'hollowrack_cold_workers{service="svc"} 2.0' in text
        assert 'hollowrack_cold_permits_total{service="svc",state="asked"}' in text

    run_system(scenario)


def test_nothing_is_limited_where_the_settings_have_no_bound() -> None:
    async def scenario(system: System) -> None:
        edge = system.edges["n0"]
        assert edge.node.cold_workers is None
        conditions = edge.node.back_ends.conditions
        assert not any(isinstance(condition, ColdWorkerCondition) for condition in conditions)
        await apply_limits(system)
        for worker in system.workers.values():
            worker.turn_cold(30.0)
            system.store.put(f"servers/{worker.id}", worker.entry())
        answers = await asyncio.gather(
            *(system.send("/plain/x", request_id=f"r{index}") for index in range(30))
        )
        assert {answer.status for answer in answers} == {200}
        async with aiohttp.ClientSession() as session:
            url = f"http://{edge.peers_address}{PERMITS_PATH}"
            async with session.post(url, data=b"") as response:
                assert response.status == 404
            async with session.get(f"http://{edge.peers_address}/metrics") as response:
                assert "hollowrack_cold" not in await response.text()

    run_system(scenario)
