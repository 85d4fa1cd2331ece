"""Guards workers that are kept after an outage of the store, over real connections.

A kept worker's address may belong to another worker by then, which answers 421.
"""

import asyncio

import pytest

from hollowrack.forwarding.kept_workers import KeepOutcome
from tests.platform.helpers import System, run_system, until

OUTAGE_S = 2.0
SETTINGS = {"bounds": {"lease-ms": 300, "contact-ms": 4000}}


@pytest.mark.parametrize("is_reused", [False, True])
def test_request_reaches_a_kept_worker_only_if_the_address_is_still_its_own(
    is_reused: bool,
) -> None:
    async def scenario(system: System) -> None:
        await system.start_edge("n9", SETTINGS)
        await system.wait_until_ready("n9")
        node = system.edges["n9"].node
        assert (await system.send("/plain/x", node="n9", request_id="q1")).status == 200
        system.store.faults.status = 503
        await asyncio.sleep(OUTAGE_S)
        # Until both workers have answered.
        num_sent = 0
        async with asyncio.timeout(10.0):
            while not {"s0", "s1"} <= {at.worker_id for at in system.worker_records.arrivals}:
                num_sent += 1
                await system.send("/plain/x", node="n9", request_id=f"p{num_sent}")
        system.store.remove("servers/s0")
        system.store.remove("servers/s1")
        if is_reused:
            system.workers["s0"].id = "other"
            system.workers["s1"].id = "another"
        system.store.faults.status = None
        await until(lambda: node.kept_workers.num_kept == 2)
        answer = await system.send("/plain/x", node="n9", request_id="q2")
        assert answer.status == (503 if is_reused else 200)
        if is_reused:
            assert node.kept_workers.num_by_outcome == {KeepOutcome.UNREACHABLE: 2}
            assert not system.worker_records.executions["q2"]
        else:
            await until(lambda: node.kept_workers.num_kept == 0)
            assert node.kept_workers.num_by_outcome == {KeepOutcome.EXPIRED: 2}

    run_system(scenario, num_edges=0)
