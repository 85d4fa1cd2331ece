"""API keys must authenticate tenants, and clients must not be able to impersonate a tenant."""

import json
import logging
from typing import Any

import pytest
from returns.result import Failure, Success

from hollowrack.jobs.types import scoped_job_id
from hollowrack.platform.configuration import decode_configuration
from hollowrack.platform.job_format import decode_job
from hollowrack.platform.worker_client import forwarded_headers
from hollowrack.results import ResultCode
from tests.platform.helpers import CONFIGURATION, HOST, System, job_body, run_system, until

TENANTS = [
    {"name": "ana", "api-keys": ["ka1", "ka2"], "priority": 0},
    {"name": "bob", "api-keys": ["kb1"]},
    {"name": "eve", "api-keys": []},
]


def with_tenants(version: int, tenants: list[dict[str, Any]] = TENANTS) -> dict[str, Any]:
    routes = [*CONFIGURATION["routes"]]
    routes.append(routes[0] | {"name": "open", "path-prefix": "/open/", "public": True})
    return CONFIGURATION | {"version": version, "routes": routes, "tenants": tenants}


def authorization(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


async def apply_configuration(system: System, configuration: dict[str, Any]) -> None:
    system.store.put("op/config", configuration)
    version = configuration["version"]
    await until(lambda: all(edge.node.routes.version == version for edge in system.edges.values()))


SYSTEM_HEADERS = {
    "another tenant's name": ("Tenant", "bob"),
    "another tenant's name in another case": ("tEnAnT", "bob"),
    "a priority at the worker": ("Request-Priority", "0"),
    "a version to check": ("Expect-Version", "9"),
    "a reservation": ("Hold", "h1"),
    "the KV cache of another request": ("Kv-From", "127.0.0.1:1/x"),
    "the KV cache of a worker": ("Kv-Fetch", "127.0.0.1:1"),
    "a backup at another worker": ("Kv-Backup", "127.0.0.1:1"),
    "a pinned KV cache": ("Pin-Ms", "4000"),
    "another worker": ("Expect-Instance", "s9"),
    "a later deadline": ("Deadline-Ms", "999999"),
    "a hop-by-hop header": ("Keep-Alive", "9"),
}


@pytest.mark.parametrize("name", sorted(SYSTEM_HEADERS))
def test_headers_set_by_the_system_are_not_forwarded(name: str) -> None:
    forged = SYSTEM_HEADERS[name]
    assert forwarded_headers([("Model", "m"), forged, forged]) == (("Model", "m"),)


def test_headers_listed_in_connection_are_not_forwarded() -> None:
    headers = [
        ("Host", HOST),
        ("Connection", "close, X-Secret"),
        ("Connection", "Host"),
        ("x-secret", "s"),
        ("Other", "o"),
    ]
    assert forwarded_headers(headers) == (("Host", HOST), ("Other", "o"))


def test_credentials_for_the_system_are_not_forwarded() -> None:
    headers = (("authorization", "Bearer k"), ("Other", "o"))
    assert forwarded_headers(headers) == headers
    assert forwarded_headers(headers, has_credentials=True) == (("Other", "o"),)


def test_tenant_and_key_headers_of_items_are_dropped() -> None:
    body = job_body("j1")
    body["requests"][0]["headers"] |= {"Tenant": "bob", "Authorization": "Bearer kb1"}
    job = decode_job("j1", HOST, "/jobs/j1", json.dumps(body).encode(), "ana").unwrap()
    assert job.tenant == "ana"
    assert job.id == "ana/j1"
    assert {name for name, _ in job.items[0].headers} == {"Model", "Token-Count", "Prefix-Hash"}


def test_scoped_job_ids_of_tenants_do_not_collide() -> None:
    pairs = [(None, "a/b"), ("a", "b"), ("a/b", "c"), ("a", "b/c"), ("a%2Fb", "c")]
    assert len({scoped_job_id(tenant, job_id) for tenant, job_id in pairs[1:]}) == 4


BAD_TENANTS = {
    "no name": [{"api-keys": ["k1"]}],
    "an empty name": [{"name": "", "api-keys": ["k1"]}],
    "an empty key": [{"name": "a", "api-keys": ["k1", " "]}],
    "a key that is not a string": [{"name": "a", "api-keys": [{"k1": 1}]}],
    "a duplicate key": [{"name": "a", "api-keys": ["k1"]}, {"name": "b", "api-keys": ["k1"]}],
    "a priority that is not a number": [{"name": "a", "api-keys": ["k1"], "priority": "first"}],
    "not a list": 5,
}


@pytest.mark.parametrize("name", sorted(BAD_TENANTS))
def test_invalid_tenants_are_rejected_without_leaking_keys(name: str) -> None:
    content = CONFIGURATION | {"tenants": BAD_TENANTS[name]}
    decoded = decode_configuration(json.dumps(content).encode())
    assert isinstance(decoded, Failure)
    assert decoded.failure().code is ResultCode.PLATFORM_ANSWER_INVALID
    assert "k1" not in str(decoded.failure())


def test_tenants_and_public_routes_are_decoded() -> None:
    decoded = decode_configuration(json.dumps(with_tenants(4)).encode())
    assert isinstance(decoded, Success)
    configuration = decoded.unwrap()
    assert [route.is_public for route in configuration.routes] == [False] * 4 + [True]
    tenant = configuration.tenants.with_key("ka2")
    assert tenant is not None
    assert (tenant.name, tenant.priority) == ("ana", 0)


def test_request_runs_for_the_tenant_of_its_key() -> None:
    async def scenario(system: System) -> None:
        await apply_configuration(system, with_tenants(4))
        forged = {"Tenant": "bob", "Request-Priority": "0", "X-Other": "o"}
        for key, tenant, priority in (("ka2", "ana", "0"), ("kb1", "bob", "2")):
            answer = await system.send(
                "/plain/x", headers=authorization(key) | forged, request_id=key
            )
            assert answer.status == 200
            seen = system.worker_records.headers[key]
            assert seen["tenant"] == tenant
            assert seen["request-priority"] == priority
            assert seen["x-other"] == "o"
            assert "authorization" not in seen

    run_system(scenario)


@pytest.mark.parametrize(
    "headers",
    [{}, authorization("none"), {"Authorization": "Basic ka1"}, {"Authorization": "ka1"}],
    ids=["no key", "unknown", "another scheme", "no scheme"],
)
def test_requests_without_a_valid_key_are_rejected(headers: dict[str, str]) -> None:
    async def scenario(system: System) -> None:
        await apply_configuration(system, with_tenants(4))
        body = json.dumps(job_body("j1")).encode()
        calls = [
            ("/plain/x", "POST", b""),
            ("/stream/x", "POST", b""),
            ("/jobs/j1", "POST", body),
            ("/api/lots/j1", "GET", b""),
            ("/api/lots/j1", "DELETE", b""),
            ("/api/items/j1?id=j1.i0", "GET", b""),
        ]
        for index, (path, method, content) in enumerate(calls):
            answer = await system.send(path, method, content, headers, request_id=f"q{index}")
            assert answer.status == 401
            assert answer.headers["WWW-Authenticate"] == "Bearer"
            assert answer.json()["error"]["code"] in (
                int(ResultCode.KEY_MISSING),
                int(ResultCode.KEY_UNKNOWN),
            )
        assert not system.worker_records.executions
        assert (await system.send("/open/x", headers=headers, request_id="open")).status == 200
        assert "tenant" not in system.worker_records.headers["open"]
        assert "authorization" not in system.worker_records.headers["open"]
        assert (await system.send("/none/x", headers=headers)).status == 404

    run_system(scenario)


def test_revoked_key_is_rejected_while_its_jobs_continue() -> None:
    async def scenario(system: System) -> None:
        await apply_configuration(system, with_tenants(4))
        body = json.dumps(job_body("j1")).encode()
        submitted = await system.send("/jobs/j1", body=body, headers=authorization("ka1"))
        assert submitted.status == 202
        tenants_without_ka1 = [TENANTS[0] | {"api-keys": ["ka2"]}, *TENANTS[1:]]
        await apply_configuration(system, with_tenants(5, tenants_without_ka1))
        assert (await system.send("/plain/x", headers=authorization("ka1"))).status == 401
        assert (await system.send("/plain/x", headers=authorization("ka2"))).status == 200

        async def num_results() -> int:
            answer = await system.send(
                "/api/lots/q1", "GET", headers=authorization("ka2") | {"Wait-Ms": "500"}, node="n1"
            )
            return len(answer.json()["results"]) if answer.status == 200 else 0

        while await num_results() < 6:
            pass
        tenants = {system.worker_records.headers[f"j1.i{index}"]["tenant"] for index in range(6)}
        assert tenants == {"ana"}
        scorers = [system.worker_records.headers[f"j1.s{index}"] for index in range(6)]
        assert all("tenant" not in seen for seen in scorers)

    run_system(scenario, num_edges=2)


def test_jobs_are_isolated_between_tenants() -> None:
    async def scenario(system: System) -> None:
        await apply_configuration(system, with_tenants(4))
        body = json.dumps(job_body("j1")).encode()
        for node in ("n0", "n1"):
            answer = await system.send(
                "/jobs/j1", body=body, headers=authorization("ka1"), node=node
            )
            assert answer.status == 202
        for node in ("n0", "n1"):
            for path, method in (
                ("/api/lots/q1", "GET"),
                ("/api/lots/ana/q1", "GET"),
                ("/api/lots/ana%2Fq1", "GET"),
                ("/api/lots/q1", "DELETE"),
                ("/api/items/q1?id=j1.i0", "GET"),
            ):
                answer = await system.send(path, method, headers=authorization("kb1"), node=node)
                assert answer.status == 404, path
            own = await system.send("/api/lots/q1", "GET", headers=authorization("ka2"), node=node)
            assert own.status == 200
        # Another tenant can use the same identifier.
        other = await system.send("/jobs/j1", body=body, headers=authorization("kb1"))
        assert other.status == 202
        ended = await system.send("/api/lots/q1", "DELETE", headers=authorization("kb1"))
        assert ended.status == 200
        own = await system.send("/api/lots/q1", "GET", headers=authorization("ka1"))
        assert own.status == 200

    run_system(scenario, num_edges=2)


def test_taken_over_job_keeps_its_tenant_after_key_revocation() -> None:
    async def scenario(system: System) -> None:
        await apply_configuration(system, with_tenants(4))
        for name in ("e0", "e1"):
            system.workers[name].faults.sheds = True
        body = json.dumps(job_body("j1")).encode()
        assert (
            await system.send("/jobs/j1", body=body, headers=authorization("ka1"))
        ).status == 202
        tenants_without_ka1 = [TENANTS[0] | {"api-keys": ["ka2"]}, *TENANTS[1:]]
        await apply_configuration(system, with_tenants(5, tenants_without_ka1))
        owner = next(name for name, edge in system.edges.items() if edge.node.jobs.num_running)
        await system.edges.pop(owner).kill()
        survivor = next(iter(system.edges))
        await until(lambda: system.edges[survivor].node.jobs.num_running > 0)
        for name in ("e0", "e1"):
            system.workers[name].faults.sheds = False
        await until(lambda: all(f"j1.i{n}" in system.worker_records.headers for n in range(6)))
        assert {system.worker_records.headers[f"j1.i{n}"]["tenant"] for n in range(6)} == {"ana"}

    run_system(scenario, num_edges=2)


@pytest.mark.parametrize("refuses", [True, False])
def test_isolated_node_rejects_keys_only_if_configured(refuses: bool) -> None:
    async def scenario(system: System) -> None:
        bounds = {"lease-ms": 300, "revoke-partitioned": refuses, "revoke-ms": 2000}
        await system.start_edge("c0", {"bounds": bounds})
        await system.wait_until_ready("c0")
        await apply_configuration(system, with_tenants(4))
        assert (
            await system.send("/plain/x", headers=authorization("ka1"), node="c0")
        ).status == 200
        system.store.faults.status = 503
        await until(lambda: system.edges["c0"].node.configuration_age_s > 1.6)
        answer = await system.send(
            "/plain/x", headers=authorization("ka1"), node="c0", request_id="q2"
        )
        assert answer.status == (503 if refuses else 200)
        assert system.worker_records.executions["q2"] == (0 if refuses else 1)
        if refuses:
            assert answer.json()["error"]["code"] == int(ResultCode.CONFIGURATION_OLD)
            assert "Retry-After" in answer.headers
        public = await system.send("/open/x", node="c0", request_id="q3")
        assert public.status == 200
        system.store.faults.status = None
        await until(lambda: system.edges["c0"].node.configuration_age_s < 1.0)
        again = await system.send(
            "/plain/x", headers=authorization("ka1"), node="c0", request_id="q4"
        )
        assert again.status == 200

    run_system(scenario, num_edges=0)


@pytest.mark.parametrize(
    ("path", "key"), [("/new/x", "ka1"), ("/plain/x", "new-key"), ("/api/lots/j9", "new-key")]
)
def test_isolated_node_does_not_reject_unknown_routes_and_keys_definitively(
    path: str, key: str
) -> None:
    async def scenario(system: System) -> None:
        await system.start_edge("c0")
        await system.wait_until_ready("c0")
        await apply_configuration(system, with_tenants(4))
        definitive = await system.send(path, headers=authorization(key), node="c0")
        assert definitive.status in (401, 404)
        system.store.faults.status = 503
        await until(lambda: system.edges["c0"].node.is_configuration_stale)
        answer = await system.send(path, headers=authorization(key), node="c0", request_id="q2")
        assert answer.status == 503
        assert answer.json()["error"]["code"] == int(ResultCode.CONFIGURATION_OLD)
        assert "Retry-After" in answer.headers
        system.store.faults.status = None
        await until(lambda: not system.edges["c0"].node.is_configuration_stale)
        again = await system.send(path, headers=authorization(key), node="c0", request_id="q3")
        assert again.status == definitive.status
        assert system.worker_records.executions["q2"] == 0

    run_system(scenario, num_edges=0)


def test_keys_are_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario(system: System) -> None:
        await apply_configuration(system, with_tenants(4))
        for key in ("ka1", "ku1"):
            await system.send("/plain/x", headers=authorization(key), request_id=f"id-{key[1]}")
        system.store.put("op/config", with_tenants(5, [{"name": "", "api-keys": ["ka1"]}]))
        system.store.put("op/config", with_tenants(6))
        await until(lambda: system.edges["n0"].node.routes.version == 6)

    with caplog.at_level(logging.DEBUG):
        run_system(scenario)
    assert not any(key in caplog.text for key in ("ka1", "ku1", "kb1"))
