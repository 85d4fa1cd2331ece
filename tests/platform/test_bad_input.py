"""Malformed requests, jobs, settings and store entries must yield numbered errors."""

import base64
import json
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure, Success

from hollowrack.coordination.store import Put
from hollowrack.platform.configuration import decode_configuration, decode_worker
from hollowrack.platform.job_format import decode_job
from hollowrack.platform.settings import read_process_settings
from hollowrack.results import ResultCode
from tests.platform.helpers import CONFIGURATION, System, job_body, run_system, until


def changed_job(**changes: Any) -> bytes:
    return json.dumps(job_body("j1") | changes).encode()


def with_item(**changes: Any) -> bytes:
    body = job_body("j1")
    body["requests"][1] |= changes
    return json.dumps(body).encode()


BAD_JOBS = {
    "not JSON": b"{",
    "not an object": b"[1]",
    "empty": b"",
    "not UTF-8": b"\xff\xfe",
    "no items": changed_job(requests=[]),
    "items missing": b"{}",
    "items not a list": changed_job(requests=5),
    "item not an object": changed_job(requests=[5]),
    "duplicate identifier": with_item(id="j1.i0"),
    "no path": changed_job(requests=[{"id": "a"}]),
    "body not base64": with_item(body="%%%"),
    "headers not an object": with_item(headers=[1]),
    "scorer without path": with_item(scorer={"id": "s"}),
    "version not a number": changed_job(**{"min-version": "x"}),
}


@pytest.mark.parametrize("name", sorted(BAD_JOBS))
def test_malformed_job_is_rejected_with_the_invalid_field(name: str) -> None:
    decoded = decode_job("j1", "h.example", "/jobs/j1", BAD_JOBS[name])
    assert isinstance(decoded, Failure)
    assert decoded.failure().code is ResultCode.BAD_REQUEST
    assert decoded.failure().place


def test_valid_job_is_decoded() -> None:
    decoded = decode_job("j1", "h.example", "/jobs/j1", changed_job())
    job = decoded.unwrap()
    assert [item.id for item in job.items] == [f"j1.i{index}" for index in range(6)]
    assert job.items[0].body == b"prompt 0"
    assert job.items[0].scorer is not None
    assert job.min_version == 1


@pytest.mark.parametrize(
    ("path", "method", "body", "status", "code"),
    [
        ("/none/x", "POST", b"", 404, ResultCode.UNKNOWN_ROUTE),
        ("/plain", "POST", b"", 404, ResultCode.UNKNOWN_ROUTE),
        ("/plain/x", "POST", b"x" * 100_001, 413, ResultCode.BODY_TOO_LARGE),
        ("/jobs/x", "POST", b"{", 400, ResultCode.BAD_REQUEST),
        ("/jobs/x", "POST", changed_job(requests=[]), 400, ResultCode.BAD_REQUEST),
        ("/api/lots/none", "GET", b"", 404, ResultCode.UNKNOWN_JOB),
        ("/api/lots/none", "DELETE", b"", 404, ResultCode.UNKNOWN_JOB),
        ("/api/lots/none?after-revision=x", "GET", b"", 400, ResultCode.BAD_REQUEST),
        ("/api/lots/none?after-revision=-1", "GET", b"", 400, ResultCode.BAD_REQUEST),
        ("/api/items/none?id=a", "GET", b"", 404, ResultCode.UNKNOWN_JOB),
        ("/api/items/none", "GET", b"", 404, ResultCode.UNKNOWN_JOB),
    ],
)
def test_invalid_requests_get_numbered_errors(
    path: str, method: str, body: bytes, status: int, code: ResultCode
) -> None:
    async def scenario(system: System) -> None:
        answer = await system.send(path, method, body)
        assert answer.status == status
        error = answer.json()["error"]
        assert error["code"] == int(code)
        assert error["remedy"]
        assert not system.worker_records.executions
        assert (await system.send("/plain/x", request_id="after")).status == 200

    run_system(scenario)


@pytest.mark.parametrize("fault", ["status 503", "status 429", "status 500", "nonsense"])
def test_plain_requests_are_served_while_the_store_fails(fault: str) -> None:
    async def scenario(system: System) -> None:
        if fault == "nonsense":
            system.store.faults.answers_nonsense = True
        else:
            system.store.faults.status = int(fault.removeprefix("status "))
        assert (await system.send("/plain/x", request_id="during")).status == 200
        answer = await system.send("/api/lots/j9", "GET")
        assert answer.status == 503
        assert answer.json()["error"]["code"] == ResultCode.JOB_UNSURE
        system.store.faults.status = None
        system.store.faults.answers_nonsense = False
        assert (await system.send("/plain/x", request_id="after")).status == 200

    run_system(scenario)


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b"\xff", b'{"version": "x"}', b'{"version": 4, "routes": [{}]}'],
)
def test_malformed_configuration_is_rejected(value: bytes) -> None:
    decoded = decode_configuration(value)
    assert isinstance(decoded, Failure)
    assert decoded.failure().place == "op/config"


def test_valid_configuration_is_decoded() -> None:
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode()).unwrap()
    assert configuration.version == 3
    assert [route.prefix for route in configuration.routes] == [
        "/plain/",
        "/once/",
        "/stream/",
        "/jobs/",
    ]
    assert configuration.routes[0].timeout_s == 3.0
    assert configuration.routes[3].timeout_s is None
    assert configuration.services["llm"].models == ("m",)


def test_weights_of_split_routes_are_decoded() -> None:
    parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = {"hostname": "h", "path-prefix": "/", "route-type": "safe", "backends": parts}
    configuration = decode_configuration(json.dumps({"version": 1, "routes": [route]}).encode())
    targets = configuration.unwrap().routes[0].targets
    assert [(target.service, target.weight) for target in targets] == [("a", 90.0), ("b", 10.0)]


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"service": "s"}'])
def test_malformed_worker_entry_is_rejected(value: bytes) -> None:
    assert isinstance(decode_worker("servers/i-1", value), Failure)


@pytest.mark.parametrize(
    ("content", "code", "place"),
    [
        (None, ResultCode.SETTINGS_UNREADABLE, "node.json"),
        ("{", ResultCode.SETTINGS_UNREADABLE, "node.json"),
        ("[]", ResultCode.SETTINGS_INVALID, "node.json"),
        ("{}", ResultCode.SETTINGS_INVALID, "node-name"),
        ('{"node-name": "n", "zone": "z"}', ResultCode.SETTINGS_INVALID, "platform"),
        (
            '{"node-name": "n", "zone": "z", "platform": {"address": "a"}, "listen": 5}',
            ResultCode.SETTINGS_INVALID,
            "listen",
        ),
        (
            '{"node-name": "n", "zone": "z", "platform": {"address": "a"}, "slot-sharing": "no"}',
            ResultCode.SETTINGS_INVALID,
            "slot-sharing",
        ),
    ],
)
def test_invalid_settings_report_the_field(
    tmp_path: Path, content: str | None, code: ResultCode, place: str
) -> None:
    path = tmp_path / "node.json"
    if content is not None:
        path.write_text(content)
    checked = read_process_settings(path)
    assert isinstance(checked, Failure)
    assert checked.failure().code is code
    assert checked.failure().place == place


def test_unknown_settings_are_ignored(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    content = {"node-name": "n", "zone": "z", "platform": {"address": "a:1"}, "new": {"a": 1}}
    path.write_text(json.dumps(content))
    assert isinstance(read_process_settings(path), Success)


@pytest.mark.parametrize(("changes", "is_enabled"), [({}, True), ({"slot-sharing": False}, False)])
def test_slot_sharing_is_enabled_by_default(
    tmp_path: Path, changes: dict[str, bool], is_enabled: bool
) -> None:
    path = tmp_path / "node.json"
    path.write_text(
        json.dumps({"node-name": "n", "zone": "z", "platform": {"address": "a:1"}} | changes)
    )
    assert read_process_settings(path).unwrap().shares_slots is is_enabled


def test_binary_body_is_decoded() -> None:
    body = job_body("j1")
    body["requests"][0]["body"] = base64.b64encode(b"\x00\xff").decode()
    assert (
        decode_job("j1", "h", "/", json.dumps(body).encode()).unwrap().items[0].body == b"\x00\xff"
    )


@pytest.mark.parametrize(
    ("name", "code"),
    [
        ("older", ResultCode.CONFIGURATION_IGNORED),
        ("removed", ResultCode.CONFIGURATION_IGNORED),
        ("empty", ResultCode.PLATFORM_ANSWER_INVALID),
        ("unreadable", ResultCode.PLATFORM_ANSWER_INVALID),
    ],
)
def test_unusable_configuration_keeps_the_previous_one_and_all_items(
    name: str, code: ResultCode, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(system: System) -> None:
        for worker in system.workers.values():
            worker.num_events = 200
        body = json.dumps(job_body("j1")).encode()
        answer = await system.send("/jobs/j1", body=body, request_id="j1")
        assert answer.status == 202
        if name == "removed":
            system.store.remove("op/config")
        elif name == "older":
            system.store.put("op/config", {"version": 1, "routes": [], "services": []})
        else:
            value = b"" if name == "empty" else b"\xff{"
            system.store.core.transact([], [Put("op/config", value)], [])
        await until(lambda: f"[{int(code)} " in caplog.text)
        plain = await system.send("/plain/x", request_id="q2")
        assert plain.status == 200
        results: list[dict[str, Any]] = []
        while len(results) < len(job_body("j1")["requests"]):
            path = f"/api/lots/j1?after-revision={len(results)}"
            page = await system.send(path, method="GET", headers={"Wait-Ms": "1000"})
            results.extend(page.json()["results"])
        assert {result["state"] for result in results} == {"complete"}

    caplog.set_level("INFO", logger="absl")
    run_system(scenario, num_edges=1)
