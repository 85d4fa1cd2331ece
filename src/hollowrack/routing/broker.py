"""Placement brokers: one node a zone and pool places all requests on that zone's engines.

Load reports are old by the time they arrive, and nodes that decide by the same old report fill the
same room several times. The broker counts every placement itself, so it knows the load of its
engines without waiting for a report. It is chosen by rendezvous hash among the zone's live nodes;
its counts are soft state that nodes restate every second, so a new broker knows them soon. Nothing
that must hold rests on it: a node that gets no answer places by what it knows itself.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from hollowrack.admission.controller import AdmissionController
from hollowrack.clock import now_s
from hollowrack.membership.service import MembershipService
from hollowrack.membership.swim import MembershipChange
from hollowrack.messages.codec import message
from hollowrack.results import Problem, ResultCode, result_of, value_or_raise
from hollowrack.routing.local_placer import LocalPlacer, PlacerParts
from hollowrack.routing.placement import Placement, PlacementOutcome, PlacementRequest
from hollowrack.routing.types import BackEndKind, BackEndStatus, Priority, RouteRequest
from hollowrack.tasks import cancel_all

REPORT_INTERVAL_S = 1.0
PLACE_TIMEOUT_MARGIN_S = 0.5
MAX_REMOTE_ZONES = 2
# A placement that its node has not restated for this long is taken for finished.
PLACEMENT_TTL_S = 3.0


@message("placement.place")
@dataclass(frozen=True)
class PlaceRequest:
    """Asks a broker to place a request on the engines of its zone."""

    node: str
    zone: str
    request: PlacementRequest


@message("placement.done")
@dataclass(frozen=True)
class PlacementDone:
    """Tells a broker that a placement ended."""

    placement: Placement
    outcome: PlacementOutcome
    service_s: float


@message("placement.held")
@dataclass(frozen=True)
class PlacementReport:
    """Everything a node has placed on the engines of one zone and pool."""

    node: str
    zone: str
    placements: tuple[Placement, ...]


def broker_key(pool: str, zone: str) -> str:
    """Return the rendezvous key of the broker of a zone's engines."""
    return f"broker/{pool}/{zone}"


@dataclass
class _Held:
    placement: Placement
    node: str
    restated_s: float


@dataclass
class _Zone:
    """What the broker keeps for one zone."""

    placer: LocalPlacer
    admission: AdmissionController
    held: dict[str, _Held] = field(default_factory=dict)


class PlacementBroker:
    """The broker's side, on every node; serves the zones that hash to this node.

    Args:
        parts: What placing needs of its node.
        membership: Tells which nodes died.
        make_admission: Returns the admission controller of a zone.
    """

    def __init__(
        self,
        parts: PlacerParts,
        membership: MembershipService,
        make_admission: Callable[[str], AdmissionController],
    ) -> None:
        self._parts = parts
        self._make_admission = make_admission
        self._zones: dict[str, _Zone] = {}
        self._weights: Mapping[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        membership.on_change.append(self._on_change)

    def start(self) -> None:
        """Start forgetting what is not restated."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; requests that wait for room are refused."""
        await cancel_all(self._task)
        for zone in self._zones.values():
            await zone.admission.stop()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the tenants' shares, for zones in use and those to come."""
        self._weights = weights
        for zone in self._zones.values():
            zone.admission.set_weights(weights)

    async def answer_place(self, request: PlaceRequest) -> Placement:
        """Place a request of any node.

        Raises:
            ProblemError: With a "not run" code.
        """
        zone = self._zone(request.zone)
        placement = value_or_raise(await zone.placer.place(request.request))
        zone.held[placement.placement_id] = _Held(placement, request.node, now_s())
        return placement

    def receive_done(self, done: PlacementDone) -> None:
        """A placement ended."""
        zone = self._zone(done.placement.zone)
        if zone.held.pop(done.placement.placement_id, None) is not None:
            zone.placer.finish(done.placement, done.outcome, done.service_s)

    def receive_report(self, held: PlacementReport) -> None:
        """Compare with what a node says it holds: adopt what is new, drop what is gone."""
        zone = self._zone(held.zone)
        stated = {placement.placement_id for placement in held.placements}
        for placement in held.placements:
            known = zone.held.get(placement.placement_id)
            if known is not None:
                known.restated_s = now_s()
            elif placement.address in self._parts.fleet.records:
                zone.held[placement.placement_id] = _Held(placement, held.node, now_s())
                zone.placer.record_placement(placement)
        for name, entry in list(zone.held.items()):
            is_old = now_s() - entry.restated_s >= REPORT_INTERVAL_S
            if entry.node == held.node and name not in stated and is_old:
                self._drop(zone, name)

    def _zone(self, name: str) -> _Zone:
        zone = self._zones.get(name)
        if zone is None:
            admission = self._make_admission(name)
            admission.set_weights(self._weights)
            admission.start()
            zone = _Zone(LocalPlacer(self._parts, admission), admission)
            self._zones[name] = zone
        return zone

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for zone in self._zones.values():
                for name, entry in list(zone.held.items()):
                    if now_s() - entry.restated_s >= PLACEMENT_TTL_S:
                        self._drop(zone, name)

    def _on_change(self, change: MembershipChange) -> None:
        if change.member.is_running:
            return
        for zone in self._zones.values():
            for name, entry in list(zone.held.items()):
                if entry.node == change.member.node:
                    self._drop(zone, name)

    def _drop(self, zone: _Zone, name: str) -> None:
        entry = zone.held.pop(name)
        zone.placer.finish(entry.placement, PlacementOutcome.ABANDONED, 0.0)


class BrokeredPlacer:
    """Implements ``Placer`` by asking brokers, the own zone's first.

    Args:
        parts: What placing needs of its node.
        membership: Finds and reaches brokers.
        broker: The broker on this node.
        fallback: Places when no broker answers.
    """

    def __init__(
        self,
        parts: PlacerParts,
        membership: MembershipService,
        broker: PlacementBroker,
        fallback: LocalPlacer,
    ) -> None:
        self._parts = parts
        self._membership = membership
        self._broker = broker
        self._fallback = fallback
        self._held: dict[str, Placement] = {}
        self._local: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start restating what this node holds."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop restating."""
        await cancel_all(self._task)

    async def place(self, request: PlacementRequest) -> Result[Placement, Problem]:
        """Ask the own zone, then others with room, then wait at the own zone."""
        zones = self._zones_by_room(request.route)
        refused: Result[Placement, Problem] | None = None
        for zone in zones:
            refused = await self._place_in(zone, request, may_queue=False)
            if isinstance(refused, Success):
                return refused
            if refused.failure().code is ResultCode.PEER_UNREACHABLE:
                return await self._place_locally(request)
        is_waiting_useful = request.route.priority is Priority.LIVE and request.may_queue
        if zones and is_waiting_useful and request.needs_admission:
            refused = await self._place_in(zones[0], request, may_queue=True)
        if refused is None or _is_unreachable(refused):
            return await self._place_locally(request)
        return refused

    def finish(self, placement: Placement, outcome: PlacementOutcome, service_s: float) -> None:
        """Tell whoever placed it."""
        if placement.placement_id in self._local:
            self._local.discard(placement.placement_id)
            self._fallback.finish(placement, outcome, service_s)
            return
        self._held.pop(placement.placement_id, None)
        # Direct evidence counts here at once, too.
        self._parts.fleet.record_outcome(placement.address, outcome, now_s())
        done = PlacementDone(placement, outcome, service_s)
        broker = self.broker_of(placement.pool, placement.zone)
        if broker == self._parts.node:
            self._broker.receive_done(done)
        elif broker is not None:
            self._membership.post(broker, done)

    async def _place_locally(self, request: PlacementRequest) -> Result[Placement, Problem]:
        placed = await self._fallback.place(request)
        if isinstance(placed, Success):
            self._local.add(placed.unwrap().placement_id)
        return placed

    async def _place_in(
        self, zone: str, request: PlacementRequest, may_queue: bool
    ) -> Result[Placement, Problem]:
        route = request.route.in_zone(zone)
        asked = PlacementRequest(
            request.request_id,
            request.tenant,
            route,
            request.timeout_s,
            request.attempt,
            may_queue,
        )
        placed = await self._ask(zone, PlaceRequest(self._parts.node, zone, asked))
        if isinstance(placed, Success):
            self._held[placed.unwrap().placement_id] = placed.unwrap()
        return placed

    async def _ask(self, zone: str, request: PlaceRequest) -> Result[Placement, Problem]:
        broker = self.broker_of(request.request.route.pool, zone)
        if broker is None:
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "no node to ask", zone))
        if broker == self._parts.node:
            return await result_of(self._broker.answer_place(request))
        timeout_s = PLACE_TIMEOUT_MARGIN_S
        if request.request.may_queue:
            timeout_s += request.request.timeout_s
        return await self._membership.request(broker, request, timeout_s)

    def broker_of(self, pool: str, zone: str) -> str | None:
        """Return the node that places requests on a zone's engines, as this node sees it."""
        candidates = self._membership.candidates(broker_key(pool, zone), zone)
        return candidates[0] if candidates else None

    def _zones_by_room(self, route: RouteRequest) -> list[str]:
        """Return the own zone and the zones with most room by the last reports."""
        room: dict[str, float] = {}
        for back_end in self._parts.fleet.snapshot(now_s(), route.pool):
            if back_end.kind is not BackEndKind.ENGINE:
                continue
            if back_end.status is BackEndStatus.SERVING:
                free = back_end.num_slots - back_end.estimated_live
                room[back_end.zone] = room.get(back_end.zone, 0.0) + free
        own = [route.zone] if route.zone in room else []
        others = [zone for zone in room if zone != route.zone]
        others.sort(key=lambda zone: (-room[zone], zone))
        reachable = [zone for zone in others if self._membership.swim.is_zone_reachable(zone)]
        return own + reachable[:MAX_REMOTE_ZONES]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            by_broker: dict[tuple[str, str], list[Placement]] = {}
            for placement in self._held.values():
                key = (placement.pool, placement.zone)
                by_broker.setdefault(key, []).append(placement)
            for (pool, zone), placements in by_broker.items():
                self._restate(pool, zone, tuple(placements))

    def _restate(self, pool: str, zone: str, placements: tuple[Placement, ...]) -> None:
        held = PlacementReport(self._parts.node, zone, placements)
        broker = self.broker_of(pool, zone)
        if broker == self._parts.node:
            self._broker.receive_report(held)
        elif broker is not None:
            self._membership.post(broker, held)


def _is_unreachable(result: Result[Placement, Problem]) -> bool:
    return isinstance(result, Failure) and result.failure().code is ResultCode.PEER_UNREACHABLE
