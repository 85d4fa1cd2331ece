"""Requests, streams, jobs, orders and stops must work end to end through real edge processes."""

import asyncio
import json
from dataclasses import replace
from functools import partial

import aiohttp
import pytest

from hollowrack_standins.users_platform import PlatformWorkerFaults
from tests.platform.helpers import CONFIGURATION, System, job_body, run_system, until

HEALTHY = PlatformWorkerFaults()


def all_have_version(system: System, version: int) -> bool:
    return all(system.workers[name].version == version for name in ("e0", "e1"))


def test_plain_request_is_forwarded_unchanged() -> None:
    async def scenario(system: System) -> None:
        answer = await system.send("/plain/a%2Fb?c=d&e", body=b"x" * 5000, headers={"Other": "o"})
        assert answer.status == 200
        assert answer.body.startswith(b"q1 by s")
        assert answer.headers["Server-Stamp"].startswith("stamp-s")
        assert answer.headers["Request-Id"] == "q1"
        assert answer.headers["Custom"] == "kept"
        seen = system.worker_records.headers["q1"]
        assert seen["other"] == "o"
        assert seen["host"] == "h.example"
        assert 0 < int(seen["deadline-ms"]) <= 3000
        assert seen["expect-instance"] in system.workers
        assert system.worker_records.bodies["q1"] == b"x" * 5000

    run_system(scenario)


@pytest.mark.parametrize(
    "fault",
    [{"sheds": True}, {"wrong_id": True}, {"num_errors": 9}, {"num_short": 9}, {"delay_s": 9.0}],
    ids=str,
)
def test_safe_request_is_retried_at_another_worker(fault: dict[str, object]) -> None:
    async def scenario(system: System) -> None:
        system.workers["s0"].faults = replace(HEALTHY, **fault)  # type: ignore[arg-type]
        for number in range(4):
            answer = await system.send("/plain/x", request_id=f"q{number}")
            assert answer.status == 200
            assert answer.body == f"q{number} by s1".encode()

    run_system(scenario)


@pytest.mark.parametrize(
    ("fault", "status", "num_runs"),
    [({"sheds": True}, 503, 0), ({"wrong_id": True}, 502, 1), ({"num_short": 9}, 502, 1)],
)
def test_unsafe_request_runs_at_most_once(
    fault: dict[str, object], status: int, num_runs: int
) -> None:
    async def scenario(system: System) -> None:
        for name in ("s0", "s1"):
            system.workers[name].faults = replace(HEALTHY, **fault)  # type: ignore[arg-type]
        answer = await system.send("/once/x")
        assert answer.status == status
        assert "Server-Stamp" not in answer.headers
        assert system.worker_records.executions["q1"] == num_runs
        assert ("Retry-After" in answer.headers) == (status == 503)

    run_system(scenario)


def test_stream_resumes_at_another_worker_with_the_first_headers() -> None:
    async def scenario(system: System) -> None:
        system.workers["e0"].faults = replace(HEALTHY, breaks_streams=99)
        for number in range(3):
            name = f"q{number}"
            headers = {"Token-Count": "1,2"}
            answer = await system.send("/stream/x", headers=headers, request_id=name)
            assert answer.status == 200
            expected = "".join(f"id: {n}\ndata: {name}.{n}\n\n" for n in range(1, 7))
            assert answer.body.decode() == expected
            assert answer.headers["Server-Stamp"].endswith(name)

    run_system(scenario)


def test_job_results_are_readable_at_every_node() -> None:
    async def scenario(system: System) -> None:
        system.workers["e0"].faults = replace(HEALTHY, breaks_streams=2)
        body = json.dumps(job_body("j1")).encode()
        for node in ("n0", "n1"):
            assert (
                await system.send("/jobs/j1", body=body, request_id="j1", node=node)
            ).status == 202
        readings = [await system.read_job("j1", 6, node) for node in ("n0", "n1")]
        assert readings[0] == readings[1]
        for result in readings[0]:
            assert result["state"] == "complete"
            assert result["text"] == "\n".join(f"{result['id']}.{n}" for n in range(1, 7))
            assert result["versions"] == [1]
            assert result["score"].endswith(result["id"].replace(".i", ".s"))
        # The service of the items has routes with two priorities; scorer calls have none.
        assert system.worker_records.headers["j1.i0"]["request-priority"] == "1"
        assert "request-priority" not in system.worker_records.headers["j1.s0"]
        item = await system.send("/api/items/j1?id=j1.i2", "GET", node="n1")
        assert item.body == b"prompt 2"
        for node in ("n0", "n1", "n1"):
            assert (await system.send("/api/lots/j1", "DELETE", node=node)).status == 200

    run_system(scenario, num_edges=2)


def test_lost_store_response_does_not_lose_a_job() -> None:
    async def scenario(system: System) -> None:
        system.store.faults.num_lost_answers = 1
        body = json.dumps(job_body("j1")).encode()
        assert (await system.send("/jobs/j1", body=body, request_id="j1")).status == 202
        assert len(await system.read_job("j1", 6)) == 6

    run_system(scenario)


def test_announced_versions_are_ordered_by_one_lease_holder() -> None:
    async def scenario(system: System) -> None:
        system.workers["e0"].faults = replace(HEALTHY, ignores_orders=1)
        for version in (2, 3):
            system.store.put(f"op/version/{'m'}", {"model": "m", "version": version})
            await until(partial(all_have_version, system, version))
        assert (
            len({(holder, fence) for _, holder, fence, _, _ in system.worker_records.orders}) == 1
        )
        assert len(system.worker_records.orders) == 4

    run_system(scenario, num_edges=2)


def test_retired_machine_is_reported() -> None:
    async def scenario(system: System) -> None:
        system.store.put("op/retire/storage-1", {"duration-s": 5})
        await until(lambda: system.store.read("status/retire/storage-1") is not None)
        assert system.store.read("status/retire/storage-1") == {"state": "complete"}

    run_system(scenario)


def test_draining_worker_receives_no_requests() -> None:
    async def scenario(system: System) -> None:
        draining = system.workers["s0"]
        system.store.put(f"servers/{draining.id}", draining.entry("draining"))
        await until(lambda: len(system.edges["n0"].node.workers.serving("svc")) == 1)
        for number in range(6):
            answer = await system.send("/plain/x", request_id=f"q{number}")
            assert answer.body.endswith(b"by s1")

    run_system(scenario)


def test_graceful_stop_completes_requests_in_progress() -> None:
    async def scenario(system: System) -> None:
        system.workers["s0"].faults = replace(HEALTHY, delay_s=1.0)
        system.workers["s1"].faults = replace(HEALTHY, delay_s=1.0)
        requests = [
            asyncio.create_task(system.send("/once/x", request_id=f"q{number}"))
            for number in range(5)
        ]
        await asyncio.sleep(0.3)
        system.edges["n0"].start_stop()
        await asyncio.sleep(0.1)
        assert not await system.is_ready("n0")
        requests.append(asyncio.create_task(system.send("/once/x", request_id="late")))
        answers = await asyncio.gather(*requests)
        assert [answer.status for answer in answers] == [200] * 6
        assert answers[-1].headers["Connection"] == "close"
        async with asyncio.timeout(8.0):
            await system.edges["n0"].stopped.wait()
        system.edges.clear()

    run_system(scenario)


def test_stop_during_startup_runs_after_the_start() -> None:
    async def scenario(system: System) -> None:
        edge = await system.start_edge("late", stops_at_once=True)
        async with asyncio.timeout(10.0):
            await edge.stopped.wait()
        assert edge.node.is_stopping

    run_system(scenario, num_edges=1)


def test_followers_receive_configurations_from_the_leader() -> None:
    async def scenario(system: System) -> None:
        nodes = [edge.node for edge in system.edges.values()]
        await until(lambda: sum(node.live.leader_address() is not None for node in nodes) == 2)
        follower = next(edge for edge in system.edges.values() if edge.node.live.leader_address())
        await asyncio.sleep(0.7)
        before = follower.num_store_calls("watch op/")
        system.store.put("op/config", CONFIGURATION | {"version": 9})
        await until(lambda: all(node.routes.version == 9 for node in nodes))
        await asyncio.sleep(1.5)
        assert follower.num_store_calls("watch op/") == before

    run_system(scenario, num_edges=3)


def test_metrics_endpoint_uses_the_text_format() -> None:
    async def scenario(system: System) -> None:
        await system.send("/plain/x")
        await system.send("/nowhere/x", request_id="q2")
        edge = system.edges["n0"]
        url = f"http://{edge.peers_address}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            text = await response.text()
        assert 'hollowrack_answers_total{code="OK"} 1.0' in text
        assert 'hollowrack_answers_total{code="UNKNOWN_ROUTE"} 1.0' in text
        assert "hollowrack_configuration_version 3.0" in text
        assert 'hollowrack_workers{service="svc",state="serving"} 2.0' in text
        assert 'hollowrack_store_calls_total{kind="grant"} 1.0' in text

    run_system(scenario)
