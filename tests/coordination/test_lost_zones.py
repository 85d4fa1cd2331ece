"""Guards against nodes that receive no changes after a zone was lost or partitioned."""

import asyncio
from typing import Any

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.feed_http import ANSWER_GRACE_S
from hollowrack.coordination.relay import RelayedCall, RelayedOutcome
from hollowrack.coordination.relay_http import ANSWER_TIMEOUT_S
from hollowrack.coordination.store import Unknown
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack_bench.virtual_time import run_virtual
from tests.coordination.change_fleet import ChangeFleet

ZONES = ("z1", "z2", "z3")
# Three of them hold sessions, the others are observers of these.
NUM_PER_ZONE = 5
SETTLE_S = 12.0
PARTITION_S = 6.0
LOSS_S = 1.5
# Propagation limit of deployments that are large enough to have observers.
MAX_DELAY_S = 3.0


class ZonedFleet(ChangeFleet):
    """Nodes in three zones, one of which can be cut off from the store and from the others."""

    def __init__(self, seed: int) -> None:
        self.cut_zone: str | None = None
        super().__init__(0, seed, MAX_DELAY_S)
        for zone in ZONES:
            for index in range(NUM_PER_ZONE):
                self.start(f"{zone}-{index}-{seed}")

    def zone_of(self, name: str) -> str:
        return name.partition("-")[0]

    def link_of(self, name: str) -> Any:
        return ZoneLink(self, name)

    def names_in(self, zone: str) -> list[str]:
        return [name for name in self.nodes if self.zone_of(name) == zone]

    def is_connected(self, name: str, other: str) -> bool:
        zones = {self.zone_of(name), self.zone_of(other)}
        return len(zones) == 1 or self.cut_zone not in zones

    def observers(self) -> list[str]:
        return [name for name, node in self.nodes.items() if not node.node.session.is_held]

    async def check_reached(self, names: list[str], version: int, limit_s: float) -> float:
        """Check that nodes have a version within a time; returns how long it took."""
        from_s = now_s()
        while missing := [name for name in names if self.version_of(name) < version]:
            assert now_s() < from_s + limit_s, missing
            await asyncio.sleep(0.02)
        return now_s() - from_s


class ZoneLink:
    """Requests of one node to others, which get no answer across a cut."""

    def __init__(self, fleet: ZonedFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        if self._fleet.is_connected(self._name, address):
            answer = await self._fleet.watch(address, request)
            if self._fleet.is_connected(self._name, address):
                return answer
        await asyncio.sleep(request.wait_s + ANSWER_GRACE_S)
        return None

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        if self._fleet.is_connected(self._name, address):
            return await self._fleet.relay(address, call)
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        return Unknown("cut off")


async def settled_fleet(seed: int, is_leader_zone: bool) -> tuple[ZonedFleet, str]:
    """Return a fleet with a leader, and the zone that fails."""
    fleet = ZonedFleet(seed)
    await asyncio.sleep(SETTLE_S)
    leader_zone = fleet.zone_of(fleet.leader())
    zone = next(zone for zone in ZONES if (zone == leader_zone) == is_leader_zone)
    observers = set(fleet.observers())
    assert all(observers.intersection(fleet.names_in(name)) for name in ZONES)
    return fleet, zone


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kind", ["silent", "refuses"])
@pytest.mark.parametrize("is_leader_zone", [False, True])
def test_partitioned_zone_receives_changes_within_limit_after_it_heals(
    seed: int, kind: str, is_leader_zone: bool
) -> None:
    async def main() -> None:
        fleet, zone = await settled_fleet(seed, is_leader_zone)
        cut = fleet.names_in(zone)
        others = [name for name in fleet.nodes if name not in cut]
        fleet.cut_zone = zone
        fleet.fail_store(cut, kind)
        await asyncio.sleep(PARTITION_S - MAX_DELAY_S)
        fleet.change()
        # Meanwhile the other zones receive changes, also without their leader.
        took_s = await fleet.check_reached(others, 2, MAX_DELAY_S)
        await asyncio.sleep(MAX_DELAY_S - took_s)
        assert all(fleet.version_of(name) == 1 for name in cut)
        fleet.cut_zone = None
        fleet.restore_store()
        await fleet.check_reached(cut, 2, MAX_DELAY_S)
        fleet.change()
        await fleet.check_reached(list(fleet.nodes), 3, MAX_DELAY_S)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_leader_zone", [False, True])
def test_changes_arrive_within_limit_when_a_zone_is_lost_and_returns(
    seed: int, is_leader_zone: bool
) -> None:
    async def main() -> None:
        fleet, zone = await settled_fleet(seed, is_leader_zone)
        lost = fleet.names_in(zone)
        others = [name for name in fleet.nodes if name not in lost]
        for name in lost:
            await fleet.nodes.pop(name).kill()
        fleet.change()
        took_s = await fleet.check_reached(others, 2, MAX_DELAY_S)
        await asyncio.sleep(max(0.0, LOSS_S - took_s))
        for name in lost:
            fleet.start(name)
        await fleet.check_reached(lost, 2, MAX_DELAY_S)
        fleet.change()
        await fleet.check_reached(list(fleet.nodes), 3, MAX_DELAY_S)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(4))
def test_observers_whose_hosts_are_all_lost_receive_changes_within_limit(seed: int) -> None:
    async def main() -> None:
        fleet, zone = await settled_fleet(seed, is_leader_zone=True)
        observers = set(fleet.observers())
        for name in fleet.names_in(zone):
            if name not in observers:
                await fleet.nodes.pop(name).kill()
        fleet.change()
        await fleet.check_reached(list(fleet.nodes), 2, MAX_DELAY_S)
        await fleet.stop()

    run_virtual(main())
