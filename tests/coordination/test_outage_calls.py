"""Store outages: a fleet overloads the failing store, or receives changes late afterwards."""

import asyncio

from hollowrack.coordination.store import Put
from hollowrack_bench.virtual_time import run_virtual
from tests.coordination.test_shared_sessions import SharingFleet

NUM_NODES = 20
OUTAGE_S = 6.0
MAX_CHANGE_DELAY_S = 2.0
MAX_WATCHES_PER_NODE_PER_S = 2.0


def _refuse(fleet: SharingFleet, refuses: bool) -> None:
    for node in fleet.nodes.values():
        node.faults.refuses = refuses


def test_calls_to_refusing_store_back_off() -> None:
    async def main() -> float:
        fleet = SharingFleet(NUM_NODES)
        await asyncio.sleep(5.0)
        _refuse(fleet, True)
        before = fleet.core.num_watches
        await asyncio.sleep(OUTAGE_S)
        num_watches = fleet.core.num_watches - before
        await fleet.stop()
        return num_watches / NUM_NODES / OUTAGE_S

    assert run_virtual(main()) <= MAX_WATCHES_PER_NODE_PER_S


def test_all_nodes_receive_changes_in_time_after_outage() -> None:
    async def main() -> None:
        fleet = SharingFleet(NUM_NODES)
        await asyncio.sleep(5.0)
        _refuse(fleet, True)
        await asyncio.sleep(OUTAGE_S)
        fleet.core.transact([], [Put("op/config", b"7")], [])
        _refuse(fleet, False)
        await asyncio.sleep(MAX_CHANGE_DELAY_S)
        for node in fleet.nodes.values():
            assert node.sentinel.items["op/config"].value == b"7"
        await asyncio.sleep(MAX_CHANGE_DELAY_S)
        assert fleet.known_peers() == {NUM_NODES - 1}
        await fleet.stop()

    run_virtual(main())
