"""A request that crashes its workers must be quarantined on every edge process."""

import asyncio
import itertools
from dataclasses import replace

import aiohttp

from hollowrack_standins.users_platform import PlatformWorkerFaults
from tests.platform.helpers import Answer, System, run_system, until

CRASHING = b"crashes each worker that runs it"
QUARANTINE_CRASH_THRESHOLD = 3
_sequence_numbers = itertools.count()


async def restart_crashed_workers(system: System) -> None:
    """Restart crashed workers with new identities at their addresses."""
    for name, worker in list(system.workers.items()):
        if worker.crash_task is not None:
            await worker.crash_task
            worker.crash_task = None
            system.store.remove(f"servers/{worker.id}")
            worker.id = f"{name}.{next(_sequence_numbers)}"
            await worker.server.start()
            system.store.put(f"servers/{worker.id}", worker.entry())
    ids = {worker.id for worker in system.workers.values()}
    for edge in system.edges.values():
        await until(lambda node=edge.node: {worker.id for worker in node.workers.all()} == ids)


async def send(system: System, node: str, path: str, body: bytes) -> Answer:
    return await system.send(path, body=body, node=node, request_id=f"q{next(_sequence_numbers)}")


def num_runs(system: System) -> int:
    """Return how often a worker started to run the crashing request."""
    return sum(
        count
        for request_id, count in system.worker_records.executions.items()
        if system.worker_records.bodies[request_id] == CRASHING
    )


async def metric(system: System, node: str, name: str) -> float:
    address = system.edges[node].peers_address
    url = f"http://{address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        lines = (await response.text()).splitlines()
    return next(float(line.split()[-1]) for line in lines if line.startswith(f"{name} "))


def test_all_nodes_refuse_a_request_after_three_crashes() -> None:
    async def scenario(system: System) -> None:
        for name in ("s0", "s1"):
            system.workers[name].faults = PlatformWorkerFaults(crashes_on=CRASHING)
        nodes = itertools.cycle(system.edges)
        while num_runs(system) < QUARANTINE_CRASH_THRESHOLD:
            assert (await send(system, next(nodes), "/plain/x", CRASHING)).status in (502, 503)
            await restart_crashed_workers(system)
        registries = [edge.node.quarantine.registry for edge in system.edges.values()]
        await until(lambda: all(registry.num_quarantined == 1 for registry in registries))
        num_before = num_runs(system)
        for node in system.edges:
            answer = await send(system, node, "/plain/x", CRASHING)
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 60.0
            assert answer.json()["error"]["code"] == 310
            assert (await send(system, node, "/plain/x", b"sound")).status == 200
            assert await metric(system, node, "hollowrack_requests_quarantined") == 1.0
        assert num_runs(system) == num_before <= QUARANTINE_CRASH_THRESHOLD + 1

        await system.start_edge("late")
        await system.wait_until_ready("late")
        registry = system.edges["late"].node.quarantine.registry
        await until(lambda: registry.num_quarantined == 1)
        assert (await send(system, "late", "/plain/x", CRASHING)).status == 503
        assert num_runs(system) == num_before

    run_system(scenario, num_edges=3)


def test_stream_that_crashes_workers_is_refused() -> None:
    async def scenario(system: System) -> None:
        for name in ("e0", "e1"):
            system.workers[name].faults = PlatformWorkerFaults(crashes_on=CRASHING)
        headers = {"Token-Count": "1,2"}

        async def stream(node: str) -> int:
            request_id = f"q{next(_sequence_numbers)}"
            try:
                async with asyncio.timeout(2.0):
                    sent = system.send("/stream/x", "POST", CRASHING, headers, node, request_id)
                    return (await sent).status
            except TimeoutError:
                return 0

        nodes = itertools.cycle(system.edges)
        while num_runs(system) < QUARANTINE_CRASH_THRESHOLD:
            await stream(next(nodes))
            await restart_crashed_workers(system)
        registries = [edge.node.quarantine.registry for edge in system.edges.values()]
        await until(lambda: all(registry.num_quarantined == 1 for registry in registries))
        num_before = num_runs(system)
        assert [await stream(node) for node in system.edges] == [503, 503]
        assert num_runs(system) == num_before

    run_system(scenario, num_edges=2)


def test_broken_responses_of_a_live_worker_do_not_count_as_crashes() -> None:
    async def scenario(system: System) -> None:
        for name in ("s0", "s1"):
            system.workers[name].faults = replace(PlatformWorkerFaults(), num_short=20)
        for _ in range(8):
            await send(system, "n0", "/plain/x", b"unlucky")
        assert system.edges["n0"].node.quarantine.registry.num_suspects == 0
        assert (await send(system, "n0", "/plain/x", b"unlucky")).status in (200, 502)

    run_system(scenario)
