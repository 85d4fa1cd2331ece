"""Guards against invalid input that crashes a node or gets an error without code and place."""

import asyncio
import json
from pathlib import Path
from typing import Any

import aiohttp

from hollowrack.results import ResultCode
from hollowrack_bench.local_fleet import MODEL, SERVICE_POOL, FleetConfig, LocalFleet

RUN = {"run": "r", "model": MODEL, "max_staleness_versions": 1}
PROMPT = {"prompt": "p", "text": "t", "num_samples": 1, "max_tokens": 4}
COMPLETION = {"model": MODEL, "prompt": "p"}

# (method, path, body or raw bytes, headers, expected code, expected place)
CASES: list[tuple[str, str, Any, dict[str, str], ResultCode, str]] = [
    ("POST", "/v1/completions", b"{", {}, ResultCode.BAD_REQUEST, "body"),
    ("POST", "/v1/completions", b"[" * 100_000, {}, ResultCode.BAD_REQUEST, "body"),
    ("POST", "/v1/completions", [], {}, ResultCode.BAD_REQUEST, "body"),
    ("POST", "/v1/completions", {"model": MODEL}, {}, ResultCode.BAD_REQUEST, "prompt"),
    (
        "POST",
        "/v1/completions",
        COMPLETION | {"max_tokens": 0},
        {},
        ResultCode.BAD_REQUEST,
        "max_tokens",
    ),
    ("POST", "/v1/completions", COMPLETION | {"colour": 1}, {}, ResultCode.BAD_REQUEST, "colour"),
    ("POST", "/v1/completions", COMPLETION | {"model": "x"}, {}, ResultCode.UNKNOWN_MODEL, "x"),
    (
        "POST",
        "/v1/completions",
        COMPLETION | {"model": "x", "stream": True},
        {},
        ResultCode.UNKNOWN_MODEL,
        "x",
    ),
    ("POST", "/v1/completions", b"x" * 2_000_000, {}, ResultCode.BODY_TOO_LARGE, "body"),
    (
        "POST",
        "/v1/completions",
        COMPLETION,
        {"X-Timeout-S": "soon"},
        ResultCode.BAD_REQUEST,
        "headers",
    ),
    (
        "POST",
        "/v1/completions",
        COMPLETION,
        {"X-Timeout-S": "nan"},
        ResultCode.BAD_REQUEST,
        "headers",
    ),
    (
        "POST",
        "/v1/completions",
        COMPLETION,
        {"X-Request-Id": "x" * 300},
        ResultCode.BAD_REQUEST,
        "headers",
    ),
    (
        "POST",
        "/v1/chat/completions",
        {"model": MODEL, "messages": []},
        {},
        ResultCode.BAD_REQUEST,
        "messages",
    ),
    ("GET", "/v1/services/nowhere/x", None, {}, ResultCode.UNKNOWN_POOL, "nowhere"),
    (
        "POST",
        f"/v1/services/{SERVICE_POOL}/x",
        b"x" * 2_000_000,
        {},
        ResultCode.BODY_TOO_LARGE,
        "body",
    ),
    ("GET", "/v1/requests/never-seen", None, {}, ResultCode.UNKNOWN_REQUEST, "never-seen"),
    ("POST", "/v1/runs", RUN | {"run": "a b"}, {}, ResultCode.BAD_REQUEST, "run"),
    ("POST", "/v1/runs", RUN | {"max_staleness_versions": 9}, {}, ResultCode.RUN_CONFLICT, "r"),
    ("GET", "/v1/runs/nobody", None, {}, ResultCode.UNKNOWN_RUN, "nobody"),
    ("GET", "/v1/runs/nobody/samples?step=0", None, {}, ResultCode.UNKNOWN_RUN, "nobody"),
    ("GET", "/v1/runs/r/samples", None, {}, ResultCode.BAD_REQUEST, "step"),
    ("GET", "/v1/runs/r/samples?step=0&cursor=x", None, {}, ResultCode.BAD_REQUEST, "cursor"),
    ("GET", "/v1/runs/r/samples?step=0&limit=0", None, {}, ResultCode.BAD_REQUEST, "query"),
    ("GET", "/v1/runs/r/samples?step=0&wait_s=nan", None, {}, ResultCode.BAD_REQUEST, "wait_s"),
    ("GET", "/v1/runs/r/samples?step=0&cursor=99", None, {}, ResultCode.CURSOR_INVALID, "cursor"),
    ("GET", "/v1/runs/r/samples?step=7", None, {}, ResultCode.STEP_UNKNOWN, "step"),
    (
        "POST",
        "/v1/runs/r/steps",
        {"step": 0, "prompts": [PROMPT | {"text": "o"}]},
        {},
        ResultCode.STEP_CONFLICT,
        "r",
    ),
    (
        "POST",
        "/v1/runs/r/steps",
        {"step": 1, "prompts": [PROMPT, PROMPT]},
        {},
        ResultCode.STEP_CONFLICT,
        "r",
    ),
    ("POST", "/v1/runs/r/steps", {"step": 1, "prompts": []}, {}, ResultCode.BAD_REQUEST, "prompts"),
    ("POST", "/v1/runs/r/acknowledge", {"cursor": 99}, {}, ResultCode.CURSOR_INVALID, "r"),
    ("POST", "/v1/runs/r/version", {"version": 0}, {}, ResultCode.VERSION_REGRESSED, "r"),
]


async def _check_api_errors(fleet: LocalFleet) -> None:
    urls = fleet.urls()
    async with aiohttp.ClientSession() as session:
        await _post(session, urls[0], "/v1/runs", RUN | {"initial_version": 5})
        await _post(session, urls[0], "/v1/runs/r/steps", {"step": 0, "prompts": [PROMPT]})
        for number, (method, path, body, headers, code, place) in enumerate(CASES):
            url = urls[number % len(urls)] + path
            data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
            async with session.request(method, url, data=data, headers=headers) as response:
                error = (await response.json())["error"]
            assert (error["name"], error["place"]) == (code.name, place), (path, error)
            assert error["code"] == int(code) and error["remedy"]
        async with session.post(f"{urls[0]}/v1/completions", json=COMPLETION) as response:
            assert response.status == 200, "a valid request was not served after the invalid ones"
        async with session.get(f"{urls[0]}/v1/models") as response:
            assert [entry["id"] for entry in (await response.json())["data"]] == [MODEL]


async def _post(session: aiohttp.ClientSession, url: str, path: str, body: object) -> None:
    async with session.post(url + path, json=body) as response:
        assert response.status == 200, await response.text()


async def _check_operator_api(fleet: LocalFleet) -> None:
    node = next(iter(fleet.nodes.values()))
    url = f"http://{node.operators_server.address}"
    async with aiohttp.ClientSession() as session:
        for body, name in (
            ({"document": "!", "signer": "x", "signature": "!"}, "BAD_REQUEST"),
            ({"document": "", "signer": "x", "signature": ""}, "BUNDLE_SIGNER_UNKNOWN"),
            ({"document": "", "signer": "demo", "signature": ""}, "BUNDLE_SIGNATURE_INVALID"),
        ):
            async with session.post(f"{url}/v1/bundle", json=body) as response:
                assert (await response.json())["error"]["name"] == name
        async with session.post(f"{url}/v1/back-ends/127.0.0.1:1/leaving") as response:
            assert (await response.json())["error"]["name"] == "UNKNOWN_BACK_END"
        address = fleet.engines[1].server.address
        async with session.post(f"{url}/v1/back-ends/{address}/leaving") as response:
            assert response.status == 200
        await fleet.wait_until(
            lambda: all(
                other.core.fleet.records[address].is_leaving for other in fleet.nodes.values()
            ),
            "the back end was not marked as leaving on every node",
        )
        async with session.get(f"{url}/metrics") as response:
            assert "hollowrack_bundle_revision 1.0" in await response.text()
        async with session.get(f"{url}/v1/status") as response:
            assert (await response.json())["bundle_revision"] == 1


def test_invalid_input_is_rejected_with_code_and_place(tmp_path: Path) -> None:
    async def run() -> None:
        fleet = LocalFleet(FleetConfig(num_nodes_per_zone=1, num_engines=2), tmp_path)
        await fleet.start()
        try:
            await _check_api_errors(fleet)
            await _check_operator_api(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())
