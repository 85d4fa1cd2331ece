"""Fleet of nodes in two regions that records which nodes receive jobs, progress or results."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from hollowrack.coordination.relay import RelayedCall, RelayedOutcome, make_relayed_call
from hollowrack.coordination.store import (
    Changes,
    Condition,
    Conflict,
    CoordinationStore,
    GrantedLease,
    HistoryGone,
    LeaseGone,
    Listing,
    NotDone,
    Put,
    StoredItem,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from hollowrack.jobs.job_regions import RegionalJob
from hollowrack.jobs.peer_jobs import JobPage, ReadJobRequest
from hollowrack.jobs.progress import JobRemainder
from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack.results import Problem, ResultCode
from hollowrack_standins.coordination_store import StoreFaults
from tests.jobs.helpers import Fleet

NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})
BOTH = NORTH | SOUTH
ZONE_REGIONS = {"z1": "north", "z2": "south"}


class RegionFleet(Fleet):
    """A fleet in two regions.

    Args:
        num_north: Number of nodes in the first region, which are named ``n0`` and so on.
        num_south: Number of nodes in the second region, which are named ``s0`` and so on.
        shares_changes: Whether only some nodes of each zone hold a session.

    Attributes:
        allowed: Regions allowed by any submission of a job, by job name; ``None`` for all.
        clients: Nodes that a client connected to about a job.
        received: Nodes that received anything of a job, by job name.
        is_cut: Whether the link between the regions is down.
        checks_relayed_calls: Whether relaying nodes refuse calls that they must not make; nodes of
            an earlier version make all calls.
        violations: Arrivals at nodes that the job's regions forbid.
    """

    def __init__(
        self, num_north: int = 2, num_south: int = 2, shares_changes: bool = False
    ) -> None:
        self.allowed: dict[str, frozenset[str] | None] = {}
        self.clients: dict[str, set[str]] = defaultdict(set)
        self.received: dict[str, set[str]] = defaultdict(set)
        self.violations: list[str] = []
        self.is_cut = False
        self.checks_relayed_calls = True
        names = [f"n{index}" for index in range(num_north)]
        names += [f"s{index}" for index in range(num_south)]
        zones = {name: "z1" if name.startswith("n") else "z2" for name in names}
        super().__init__(
            0,
            uses_preferred_owner=True,
            shares_changes=shares_changes,
            zone_regions=ZONE_REGIONS,
            zones=zones,
        )
        self.relays = True
        for name in names:
            self.start(name)

    def region_of(self, name: str) -> str:
        """Return the region of a node."""
        return self.zone_regions[self.zones[name]]

    async def submit_at(
        self, name: str, job: Job, allowed_regions: frozenset[str] | None
    ) -> Problem | None:
        """Submit a job as a client that is connected to a node."""
        self.clients[job.id].add(name)
        earlier = self.allowed.get(job.id, frozenset())
        # Each submission is a request of its own, with the regions allowed when it arrives.
        both = None if earlier is None or allowed_regions is None else earlier | allowed_regions
        self.allowed[job.id] = both
        return await self.nodes[name].jobs.submit(job, allowed_regions)

    def is_connected(self, sender: str, receiver: str) -> bool:
        """Whether messages pass between two nodes."""
        return not self.is_cut or self.region_of(sender) == self.region_of(receiver)

    def record(self, name: str, where: str, values: Iterable[bytes]) -> None:
        """Record what a node receives; identifiers of items occur in values only."""
        data = b"\0".join(values)
        for job_id, allowed in self.allowed.items():
            if f"{job_id}.i".encode() not in data:
                continue
            self.received[job_id].add(name)
            is_allowed = allowed is None or self.region_of(name) in allowed
            if not is_allowed and name not in self.clients[job_id]:
                self.violations.append(f"{job_id} at {name}: {where}")

    def make_store(self, name: str, faults: StoreFaults) -> CoordinationStore:
        return RecordingStore(self, name, faults)

    def make_peers(self, name: str) -> Any:
        return RecordingPeers(self, name)


class RecordingStore:
    """A node's client of the store that records the values in answers."""

    def __init__(self, fleet: RegionFleet, name: str, faults: StoreFaults) -> None:
        self._fleet = fleet
        self._name = name
        self._store = fleet.core.make_client(faults)

    def _record(self, items: Sequence[Any]) -> None:
        values = [item.value for item in items if isinstance(item, StoredItem)]
        self._fleet.record(self._name, "from the store", values)

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        answer = await self._store.get(key)
        self._record([answer])
        return answer

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        answer = await self._store.list_prefix(prefix)
        if isinstance(answer, Listing):
            self._record(answer.items)
        return answer

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        answer = await self._store.watch(prefix, after_revision, wait_s)
        if isinstance(answer, Changes):
            self._record(answer.items)
        return answer

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        answer = await self._store.transact(conditions, puts, removes)
        if isinstance(answer, Conflict):
            self._record(answer.current)
        return answer

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        return await self._store.renew_lease(lease)

    async def end_lease(self, lease: int) -> None:
        await self._store.end_lease(lease)


class RecordingPeers:
    """One node's client of the other nodes; requests pass only where the link is up."""

    def __init__(self, fleet: RegionFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def _reaches(self, address: str) -> bool:
        is_running = {self._name, address} <= self._fleet.nodes.keys()
        return is_running and self._fleet.is_connected(self._name, address)

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        return await self._submit(address, job, None, timeout_s)

    async def submit_in_regions(
        self, address: str, job: RegionalJob, timeout_s: float
    ) -> Problem | None:
        received: RegionalJob = codec.decode(codec.encode(job)).unwrap()
        regions = frozenset(received.allowed_regions)
        return await self._submit(address, received.job, regions, timeout_s)

    async def _submit(
        self, address: str, job: Job, regions: frozenset[str] | None, timeout_s: float
    ) -> Problem | None:
        if not self._reaches(address):
            await asyncio.sleep(0.3)
            return Problem(ResultCode.JOB_NOT_STORED, "no connection", address)
        self._fleet.record(address, "submitted", [codec.encode(job)])
        try:
            async with asyncio.timeout(timeout_s):
                return await self._fleet.nodes[address].jobs.submit_here(job, regions)
        except TimeoutError:
            return Problem(ResultCode.OUTCOME_UNKNOWN, "no answer", address)

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
        if not self._reaches(address):
            return None
        page = await self._fleet.nodes[address].jobs.answer_peer(request)
        self._fleet.record(self._name, "read from the owner", [codec.encode(page)])
        return page if page.is_owner else None

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        if not self._reaches(address):
            return JobRemainder()
        remainder = self._fleet.nodes[address].jobs.remainder(job_id)
        self._fleet.record(self._name, "remainder", [codec.encode(remainder)])
        return remainder

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        if not self._reaches(address):
            return NotDone("no connection")
        await asyncio.sleep(0.001)
        if not self._reaches(address):
            return Unknown("connection lost")
        node = self._fleet.nodes[address]
        self._fleet.record(address, "relayed call", values_of(call))
        is_checked = self._fleet.checks_relayed_calls
        if is_checked and not node.relay_restriction.permits_here(call):
            return NotDone("not permitted")
        store = self._fleet.make_store(address, self._fleet.faults[address])
        answer = await make_relayed_call(store, call)
        if not self._reaches(address):
            return Unknown("connection lost")
        self._fleet.record(self._name, "relayed answer", values_of(answer))
        return answer


def values_of(message: object) -> list[bytes]:
    """Return the values in a store call or its answer; keys contain only identifiers of jobs."""
    items: Sequence[Any] = ()
    if isinstance(message, Listing | Changes):
        items = message.items
    elif isinstance(message, Conflict):
        items = message.current
    elif isinstance(message, StoredItem):
        items = (message,)
    else:
        items = getattr(message, "puts", ())
    return [item.value for item in items if hasattr(item, "value")]


def owner_region(fleet: RegionFleet, job: Job) -> Mapping[str, str]:
    """Return the nodes that run a job with their regions."""
    return {name: fleet.region_of(name) for name in fleet.owners_of(job)}
