"""Fleet of nodes in three zones, each with a worker, one of which is lost or partitioned."""

import asyncio
from dataclasses import replace
from typing import Any

from hollowrack.coordination.feed_http import ANSWER_GRACE_S
from hollowrack.coordination.relay import RelayedCall, RelayedOutcome
from hollowrack.coordination.store import Unknown
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.edge_connections import EdgeConnections
from hollowrack.forwarding.back_end import BackEndCall, NotRunError, NotRunReason, OpenAnswer
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.peer_jobs import JobPage, ReadJobRequest
from hollowrack.jobs.progress import JobRemainder
from hollowrack.jobs.types import Job
from hollowrack.results import Problem, ResultCode
from hollowrack.slots.types import SlotAnswer, SlotReport
from tests.jobs.helpers import Fleet

ZONES = ("z1", "z2", "z3")
# Time after which nodes are configured, hold sessions where needed and have a leader that may act.
SETTLE_S = 12.0
NO_ANSWER_S = 0.5


class ZoneFleet(Fleet):
    """Nodes named ``z1-0`` and so on.

    Args:
        num_per_zone: Number of nodes of each zone.
        shares_changes: Whether only three nodes of each zone hold sessions.
    """

    def __init__(self, num_per_zone: int = 2, shares_changes: bool = False) -> None:
        self.cut_zone: str | None = None
        zones = {f"{zone}-{index}": zone for zone in ZONES for index in range(num_per_zone)}
        super().__init__(
            0,
            uses_preferred_owner=False,
            shares_changes=shares_changes,
            shares_slots=True,
            zone_regions=dict.fromkeys(ZONES, "one"),
            zones=zones,
        )
        self.relays = True
        for name in zones:
            self.start(name)

    def connect(self, name: str, connections: EdgeConnections) -> EdgeConnections:
        link: Any = ZoneLink(self, name)
        return replace(
            connections, back_ends=link, peer_jobs=link, feed=link, relay=link, slots=link
        )

    def is_connected(self, zone: str, other: str) -> bool:
        """Whether messages pass between two zones."""
        return zone == other or self.cut_zone not in (zone, other)

    def names_in(self, zone: str) -> list[str]:
        """Return the running nodes of a zone."""
        return [name for name in self.nodes if self.zones[name] == zone]

    def acting_leaders(self) -> list[str]:
        """Return the nodes that may act as leaders now."""
        return [name for name, node in self.nodes.items() if node.leadership.may_act]

    def workers_in(self, zone: str) -> list[Worker]:
        """Return the workers of a zone as any node knows them."""
        node = next(iter(self.nodes.values()))
        return [worker for worker in node.workers.all() if worker.zone == zone]

    async def partition(self, zone: str, seconds: float, kind: str = "is_silent") -> None:
        """Cut a zone off from the store, the other zones and their workers for a time."""
        names = self.names_in(zone)
        self.cut_zone = zone
        for name in names:
            setattr(self.faults[name], kind, True)
        await asyncio.sleep(seconds)
        self.cut_zone = None
        for name in names:
            setattr(self.faults[name], kind, False)

    async def lose(self, zone: str, seconds: float) -> None:
        """Kill the nodes and workers of a zone and start them again after a time."""
        names, workers = self.names_in(zone), self.workers_in(zone)
        for worker in workers:
            self.back_ends.crash(worker)
        for name in names:
            await self.kill(name)
        await asyncio.sleep(seconds)
        for name in names:
            self.start(name)
        for worker in workers:
            restarted = replace(worker, started_ms=worker.started_ms + 1)
            self.back_ends.restart(restarted)
            for node in self.nodes.values():
                node.worker_changed(restarted)

    async def fail_zone(self, zone: str, failure: str) -> None:
        """Lose a zone for 1.5 s or partition it for 6 s."""
        if failure == "lost":
            await self.lose(zone, 1.5)
        else:
            await self.partition(zone, 6.0, failure)


class ZoneLink:
    """Connections of one node, which fail while its zone or that of the receiver is cut off."""

    def __init__(self, fleet: ZoneFleet, name: str) -> None:
        self._fleet = fleet
        self._zone = fleet.zones[name]

    def _reaches(self, address: str) -> bool:
        return self._fleet.is_connected(self._zone, self._fleet.zones[address])

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        answer = await self._fleet.feed.watch(address, request) if self._reaches(address) else None
        if self._reaches(address):
            return answer
        await asyncio.sleep(request.wait_s + ANSWER_GRACE_S)
        return None

    async def report(self, address: str, report: SlotReport) -> SlotAnswer | None:
        assert self._fleet.slots is not None
        return await self._fleet.slots.report(address, report) if self._reaches(address) else None

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        answer = await self._fleet.relay(address, call) if self._reaches(address) else None
        return answer if answer is not None and self._reaches(address) else Unknown("cut off")

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        if not self._reaches(address):
            return Problem(ResultCode.JOB_NOT_STORED, "cut off", address)
        return await self._fleet.submit(address, job, timeout_s)

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
        return await self._fleet.read(address, request) if self._reaches(address) else None

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        if not self._reaches(address):
            return JobRemainder()
        return await self._fleet.remainder(address, job_id)

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> OpenAnswer:
        if not self._fleet.is_connected(self._zone, worker.zone):
            await asyncio.sleep(NO_ANSWER_S)
            raise NotRunError(NotRunReason.UNREACHABLE)
        back_ends = self._fleet.back_ends
        return await back_ends.open(worker, call, time_left_s, after_event, is_repeatable)

    async def has_crashed(self, worker: Worker) -> bool:
        is_connected = self._fleet.is_connected(self._zone, worker.zone)
        return is_connected and await self._fleet.back_ends.has_crashed(worker)
