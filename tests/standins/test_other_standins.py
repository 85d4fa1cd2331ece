"""Stand-ins of the weight store, the machine list and the service worker.

Guards against stand-ins that differ from the API they implement, or whose faults have no effect.
"""

import asyncio
import hashlib

import aiohttp
import pytest

from hollowrack.clients.machine_list import read_machine_list
from hollowrack.results import ResultCode
from hollowrack_standins.machine_list import ListedMachine, MachineListStandin
from hollowrack_standins.service_worker import ServiceWorkerStandin
from hollowrack_standins.weight_store import WeightStoreStandin


def test_weight_store_ranges_etags_and_faults() -> None:
    async def run() -> None:
        store = WeightStoreStandin(num_bytes=1000)
        url = f"http://{await store.start()}/weights/m/1"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                assert response.status == 404
            async with session.put(url) as response:
                assert response.status == 201
            async with session.get(url) as response:
                content, etag = await response.read(), response.headers["ETag"]
            assert etag == f'"{hashlib.blake2b(content, digest_size=16).hexdigest()}"'
            parts = []
            for start in range(0, 1000, 300):
                headers = {"Range": f"bytes={start}-{start + 299}"}
                async with session.get(url, headers=headers) as response:
                    assert response.status == 206
                    parts.append(await response.read())
            assert b"".join(parts) == content
            async with session.get(url, headers={"Range": "bytes=1000-"}) as response:
                assert response.status == 416
            async with session.get(url, headers={"If-None-Match": etag}) as response:
                assert response.status == 304
            store.faults.corrupts_chunks = True
            async with session.get(url) as response:
                assert await response.read() != content
            store.faults.max_calls_per_s = 0
            async with session.get(url) as response:
                assert response.status == 429 and "Retry-After" in response.headers
            store.faults.is_down = True
            async with session.get(url) as response:
                assert response.status == 503
        await store.stop()

    asyncio.run(run())


def test_machine_list_lag_and_outage() -> None:
    async def run() -> None:
        listing = MachineListStandin(lag_s=30.0)
        url = f"http://{await listing.start()}/targets"
        listing.set_machine(ListedMachine("127.0.0.1:1", "engine", "m", "z"))
        listing.set_machine(ListedMachine("127.0.0.1:2", "unknown", "m", "z"))
        async with aiohttp.ClientSession() as session:
            assert (await read_machine_list(session, url)).unwrap() == []
            listing.lag_s = 0.0
            machines = (await read_machine_list(session, url)).unwrap()
            assert [machine.address for machine in machines] == ["127.0.0.1:1"]
            listing.set_machine(ListedMachine("127.0.0.1:1", "engine", "m", "z", "leaving"))
            assert (await read_machine_list(session, url)).unwrap()[0].is_leaving
            listing.remove_machine("127.0.0.1:1")
            assert (await read_machine_list(session, url)).unwrap() == []
            listing.is_down = True
            problem = (await read_machine_list(session, url)).failure()
            assert problem.code is ResultCode.PLATFORM_UNAVAILABLE
        await listing.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("fault", "value", "num_runs", "outcome"),
    [
        ("refuses", True, 0, "503"),
        ("num_lost_answers", 1, 1, "ClientPayloadError"),
        ("num_short_answers", 1, 1, "ClientPayloadError"),
        ("num_errors", 1, 1, "500"),
        ("delay_s", 0.0, 1, "200"),
    ],
)
def test_service_worker_faults(fault: str, value: object, num_runs: int, outcome: str) -> None:
    async def run() -> None:
        worker = ServiceWorkerStandin("w")
        url = f"http://{await worker.start()}/x"
        setattr(worker.faults, fault, value)
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(url, headers={"X-Request-Id": "a"}) as response:
                    await response.read()
                    actual = str(response.status)
            except aiohttp.ClientError as error:
                actual = type(error).__name__
        assert actual == outcome
        assert worker.executions["a"] == num_runs
        await worker.stop()

    asyncio.run(run())
