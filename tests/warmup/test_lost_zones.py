"""Guards cold workers against too many requests when the zone of the leader or of holders fails."""

import asyncio

import pytest

from hollowrack.clock import now_s
from hollowrack_bench.virtual_time import run_virtual
from tests.warmup.fleet import Fleet, excesses, make_worker

NUM_NODES = 6
# A zone of the leader and a holder, and a zone of holders.
LEADER_ZONE = ("n0", "n1")
OTHER_ZONE = ("n4", "n5")
LEASE_S = 2.0
PARTITION_S = 6.0
COLD_S = 60.0
RATE = 12.0


async def loaded_fleet(seed: int) -> tuple[Fleet, asyncio.Task[None]]:
    """Return nodes under load in front of a cold worker, led by ``n0``."""
    fleet = Fleet(seed, NUM_NODES, RATE)
    fleet.elect("n0", 1)
    fleet.update_all(make_worker("w0", COLD_S))
    load = asyncio.create_task(fleet.run_load(14.0, 100.0))
    await asyncio.sleep(4.0)
    return fleet, load


def num_arrivals(fleet: Fleet, names: tuple[str, ...], from_s: float) -> int:
    return sum(at.node in names and at.arrived_s >= from_s for at in fleet.arrivals["w0"])


@pytest.mark.parametrize("seed", range(3))
def test_permits_stay_within_the_bound_when_the_zone_of_the_leader_is_partitioned(
    seed: int,
) -> None:
    """The former leader grants in its zone until its lease ends; another is elected meanwhile."""

    async def main() -> None:
        fleet, load = await loaded_fleet(seed)
        fleet.cut_off.update(LEADER_ZONE)
        cut_s = now_s()
        await asyncio.sleep(LEASE_S)
        assert num_arrivals(fleet, LEADER_ZONE, cut_s)
        fleet.elect("n2", 2, is_known=False)
        for name in set(fleet.nodes).difference(LEADER_ZONE):
            fleet.nodes[name].known_leader = "n2"
        fleet.nodes["n0"].leadership.fencing_token = None
        await asyncio.sleep(PARTITION_S - LEASE_S)
        assert num_arrivals(fleet, ("n2", "n3", "n4", "n5"), cut_s + LEASE_S)
        fleet.cut_off.clear()
        healed_s = now_s()
        for name in LEADER_ZONE:
            fleet.nodes[name].known_leader = "n2"
        await load
        assert num_arrivals(fleet, LEADER_ZONE, healed_s)
        # One leader at a time: half of the bound.
        assert not excesses(fleet, num_leaders=1)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
def test_permits_stay_within_the_bound_when_a_zone_of_holders_is_partitioned(seed: int) -> None:
    async def main() -> None:
        fleet, load = await loaded_fleet(seed)
        fleet.cut_off.update(OTHER_ZONE)
        cut_s = now_s()
        await asyncio.sleep(PARTITION_S)
        # Permits are used within 0.4 s; afterwards the zone sends the cold worker nothing.
        assert not num_arrivals(fleet, OTHER_ZONE, cut_s + 1.0)
        fleet.cut_off.clear()
        await load
        assert num_arrivals(fleet, OTHER_ZONE, cut_s + PARTITION_S)
        assert not excesses(fleet, num_leaders=1)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("zone", [LEADER_ZONE, OTHER_ZONE])
@pytest.mark.parametrize("loss_s", [0.3, 1.5])
def test_permits_stay_within_the_bound_when_a_zone_is_lost_and_returns(
    seed: int, zone: tuple[str, ...], loss_s: float
) -> None:
    """A leader that leads again at once must not grant beside the permits of its former process."""

    async def main() -> None:
        fleet, load = await loaded_fleet(seed)
        await asyncio.gather(*(fleet.restart(name, loss_s) for name in zone))
        returned_s = now_s()
        for name in zone:
            fleet.nodes[name].update(make_worker("w0", COLD_S - returned_s))
        if "n0" in zone:
            fleet.elect("n0", 2)
        for node in fleet.nodes.values():
            node.known_leader = "n0"
        await load
        assert num_arrivals(fleet, zone, returned_s)
        assert not excesses(fleet, num_leaders=1)
        await fleet.stop()

    run_virtual(main())
