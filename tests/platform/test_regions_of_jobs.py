"""Guards against jobs at nodes outside their allowed regions, between real edge processes."""

import asyncio
import json
from dataclasses import replace
from functools import partial

from hollowrack.coordination.relay import RelayedList
from hollowrack.coordination.relay_http import HttpRelayClient
from hollowrack.coordination.store import Listing, NotDone
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import RouteKind
from hollowrack.jobs.job_regions import RegionalJob
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.peer_jobs import HttpPeerJobs
from hollowrack.jobs.types import Job
from hollowrack.platform.http_session import client_session
from hollowrack.platform.job_format import decode_job
from hollowrack.results import ResultCode
from tests.platform.helpers import HOST, System, job_body, run_system, until

NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})
REGIONS = {"zones": {"z1": "north", "z2": "south"}}


def _job(name: str) -> Job:
    return decode_job(name, HOST, "/jobs/x", json.dumps(job_body(name)).encode()).unwrap()


def _owners(system: System, job: Job) -> list[str]:
    return [name for name, edge in system.edges.items() if edge.node.jobs.owns(job.id)]


async def _start_regions(system: System) -> dict[str, EdgeNode]:
    """Start two nodes in each of two regions, beside the first one that has none."""
    for name, zone in (("a0", "z1"), ("a1", "z1"), ("b0", "z2"), ("b1", "z2")):
        await system.start_edge(name, {"zone": zone} | REGIONS)
    for name in system.edges:
        await system.wait_until_ready(name)
    nodes = {name: edge.node for name, edge in system.edges.items()}
    await until(lambda: all(len(node.live.nodes) == len(nodes) for node in nodes.values()))
    return nodes


def test_a_job_is_sent_to_owned_and_read_from_a_node_in_its_regions() -> None:
    async def scenario(system: System) -> None:
        nodes = await _start_regions(system)
        for client_node in ("a0", "b1"):
            job = _job(f"job-{client_node}")
            assert await nodes[client_node].jobs.submit(job, SOUTH) is None
            assert set(_owners(system, job)) <= {"b0", "b1"}
            for node in nodes.values():
                await until(partial(node.live.regions.is_stored, job.id))
                assert node.live.regions.allowed_regions(job.id) == SOUTH
            results = 0
            while results < len(job.items):
                page = await nodes["a0"].jobs.read(job.id, results, 1.0)
                assert isinstance(page, ResultPage)
                results += len(page.results)
        problem = await nodes["n0"].jobs.submit(_job("job-n0"), SOUTH)
        assert problem is not None
        assert problem.code is ResultCode.JOB_REGIONS_UNAVAILABLE

    run_system(scenario)


def _restrict_jobs(node: EdgeNode, allowed_regions: frozenset[str]) -> None:
    configuration = node.routes._configuration
    assert configuration is not None
    routes = tuple(
        replace(route, allowed_regions=allowed_regions) if route.kind is RouteKind.JOB else route
        for route in configuration.routes
    )
    node.configuration_changed(replace(configuration, version=99, routes=routes))


def test_a_clients_job_is_accepted_or_refused_by_the_regions_of_its_route() -> None:
    async def scenario(system: System) -> None:
        nodes = await _start_regions(system)
        for worker in system.workers.values():
            worker.zone = "z2"
            system.store.put(f"servers/{worker.id}", worker.entry())
        await until(
            lambda: all(
                worker.zone == "z2" for node in nodes.values() for worker in node.workers.all()
            )
        )
        for node in nodes.values():
            _restrict_jobs(node, SOUTH)
        body = json.dumps(job_body("j1")).encode()
        accepted = await system.send("/jobs/x", body=body, node="a0", request_id="j1")
        assert accepted.status == 202
        assert len(await system.read_job("j1", 6, node="a0")) == 6
        assert nodes["a0"].live.regions.allowed_regions("j1") == SOUTH
        assert "j1" not in nodes["a0"].jobs._runners
        refused = await system.send("/jobs/x", body=body, node="n0", request_id="j2")
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0.0
        assert not any("j2" in key for key in _store_keys(nodes["a0"]))

    run_system(scenario)


def _store_keys(node: EdgeNode) -> list[str]:
    return list(node._live_mirror.items)


def test_a_node_outside_the_regions_refuses_jobs_and_relayed_calls_of_others() -> None:
    async def scenario(system: System) -> None:
        nodes = await _start_regions(system)
        session = client_session()
        peers, relay = HttpPeerJobs(session), HttpRelayClient(session)
        address = {name: edge.peers_address for name, edge in system.edges.items()}
        job = RegionalJob(_job("j1"), ("north",))
        refused = await peers.submit_in_regions(address["b0"], job, 2.0)
        assert refused is not None
        assert refused.code is ResultCode.JOB_REGIONS_UNAVAILABLE
        assert await peers.submit_in_regions(address["a0"], job, 2.0) is None
        await until(lambda: all(node.live.regions.is_stored("j1") for node in nodes.values()))
        call = RelayedList("hollowrack/jobs/j1/")
        assert isinstance(await relay.relay(address["b0"], call), NotDone)
        assert isinstance(await relay.relay(address["a1"], call), Listing)
        await session.close()

    run_system(scenario)


def test_a_job_moves_inside_its_regions_when_its_owner_is_killed() -> None:
    async def scenario(system: System) -> None:
        nodes = await _start_regions(system)
        job = _job("j1")
        for worker in ("e0", "e1"):
            system.workers[worker].faults.sheds = True
        assert await nodes["a0"].jobs.submit(job, SOUTH) is None
        await until(lambda: len(_owners(system, job)) == 1)
        (owner,) = _owners(system, job)
        await system.edges.pop(owner).kill()
        async with asyncio.timeout(15.0):
            await until(lambda: len(_owners(system, job)) == 1)
        assert set(_owners(system, job)) <= {"b0", "b1"}

    run_system(scenario)
