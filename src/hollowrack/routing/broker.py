"""Placement brokers: one node per zone and pool places all requests on that zone's engines.

Load reports lag, and nodes that decide by the same stale report overcommit the same slots. The
broker counts every placement, so it knows the load of its engines without waiting for a report. It
is selected by rendezvous hashing among the zone's live nodes. Its counts are soft state, rebuilt
from the nodes' periodic reports. Correctness does not depend on it: a node that gets no answer
places requests by its own view.
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
from hollowrack.routing.local_placer import LocalPlacer, PlacerDependencies
from hollowrack.routing.placement import Placement, PlacementOutcome, PlacementRequest
from hollowrack.routing.types import BackEndKind, BackEndStatus, Priority, RouteRequest
from hollowrack.tasks import cancel_all

REPORT_INTERVAL_S = 1.0
PLACE_TIMEOUT_MARGIN_S = 0.5
MAX_REMOTE_ZONES = 2
# A placement that its node has not reported for this long is considered finished.
PLACEMENT_TTL_S = 3.0


@message("placement.place")
@dataclass(frozen=True)
class PlaceRequest:
    """Request to a broker to place a request on the engines of a zone."""

    node: str
    zone: str
    request: PlacementRequest


@message("placement.done")
@dataclass(frozen=True)
class PlacementDone:
    """Notifies a broker that a placement ended.

    Attributes:
        placement: The placement.
        outcome: How it ended.
        service_s: Duration of the attempt, in seconds.
    """

    placement: Placement
    outcome: PlacementOutcome
    service_s: float


@message("placement.held")
@dataclass(frozen=True)
class PlacementReport:
    """Report of all placements that a node has in progress on the engines of one zone and pool."""

    node: str
    zone: str
    placements: tuple[Placement, ...]


def broker_key(pool: str, zone: str) -> str:
    """Return the rendezvous key of the broker of a zone's engines."""
    return f"broker/{pool}/{zone}"


@dataclass
class _ActivePlacement:
    """A placement in progress.

    Attributes:
        placement: The placement.
        node: Node that requested it.
        last_report_s: Time of the node's last report of it, in seconds on the monotonic clock.
    """

    placement: Placement
    node: str
    last_report_s: float


@dataclass
class _Zone:
    """The broker's state for one zone.

    Attributes:
        placer: Places requests on the zone's engines.
        admission: Admission controller of the zone.
        active: Placements in progress, by placement identifier.
    """

    placer: LocalPlacer
    admission: AdmissionController
    active: dict[str, _ActivePlacement] = field(default_factory=dict)


class PlacementBroker:
    """Placement broker: places requests of all nodes for the zones that hash to this node.

    Args:
        parts: Dependencies of placement.
        membership: Reports which nodes have failed.
        make_admission: Creates the admission controller of a zone.
    """

    def __init__(
        self,
        parts: PlacerDependencies,
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
        """Start the removal of expired placements."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; queued requests are refused."""
        await cancel_all(self._task)
        for zone in self._zones.values():
            await zone.admission.stop()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the tenants' weights for current and future zones."""
        self._weights = weights
        for zone in self._zones.values():
            zone.admission.set_weights(weights)

    async def answer_place(self, request: PlaceRequest) -> Placement:
        """Place a request of a node and return its placement.

        Raises:
            ProblemError: With a "not run" code.
        """
        zone = self._zone(request.zone)
        placement = value_or_raise(await zone.placer.place(request.request))
        zone.active[placement.placement_id] = _ActivePlacement(placement, request.node, now_s())
        return placement

    def receive_done(self, done: PlacementDone) -> None:
        """Release a placement that ended."""
        zone = self._zone(done.placement.zone)
        if zone.active.pop(done.placement.placement_id, None) is not None:
            zone.placer.finish(done.placement, done.outcome, done.service_s)

    def receive_report(self, report: PlacementReport) -> None:
        """Reconcile with a node's report: add unknown placements, drop those it does not list."""
        zone = self._zone(report.zone)
        reported = {placement.placement_id for placement in report.placements}
        for placement in report.placements:
            active = zone.active.get(placement.placement_id)
            if active is not None:
                active.last_report_s = now_s()
            elif placement.address in self._parts.fleet.records:
                zone.active[placement.placement_id] = _ActivePlacement(
                    placement, report.node, now_s()
                )
                zone.placer.record_placement(placement)
        for placement_id, entry in list(zone.active.items()):
            # A newer placement may have been made after the report was sent.
            is_old = now_s() - entry.last_report_s >= REPORT_INTERVAL_S
            if entry.node == report.node and placement_id not in reported and is_old:
                self._drop(zone, placement_id)

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
                for placement_id, entry in list(zone.active.items()):
                    if now_s() - entry.last_report_s >= PLACEMENT_TTL_S:
                        self._drop(zone, placement_id)

    def _on_change(self, change: MembershipChange) -> None:
        if change.member.is_running:
            return
        for zone in self._zones.values():
            for placement_id, entry in list(zone.active.items()):
                if entry.node == change.member.node:
                    self._drop(zone, placement_id)

    def _drop(self, zone: _Zone, placement_id: str) -> None:
        entry = zone.active.pop(placement_id)
        zone.placer.finish(entry.placement, PlacementOutcome.ABANDONED, 0.0)


class BrokeredPlacer:
    """``Placer`` that delegates to placement brokers, the one of its own zone first.

    Args:
        parts: Dependencies of placement.
        membership: Locates brokers and sends messages to them.
        broker: The broker on this node.
        fallback: Places requests when no broker answers.
    """

    def __init__(
        self,
        parts: PlacerDependencies,
        membership: MembershipService,
        broker: PlacementBroker,
        fallback: LocalPlacer,
    ) -> None:
        self._parts = parts
        self._membership = membership
        self._broker = broker
        self._fallback = fallback
        self._active: dict[str, Placement] = {}
        # Identifiers of placements made by the fallback.
        self._local: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic reports to brokers."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic reports."""
        await cancel_all(self._task)

    async def place(self, request: PlacementRequest) -> Result[Placement, Problem]:
        """Try the own zone, then zones with free slots, then queue at the own zone.

        Places by this node's own view if a broker is unreachable.
        """
        zones = self._zones_by_free_slots(request.route)
        result: Result[Placement, Problem] | None = None
        for zone in zones:
            result = await self._place_in(zone, request, may_queue=False)
            if isinstance(result, Success):
                return result
            if result.failure().code is ResultCode.PEER_UNREACHABLE:
                return await self._place_locally(request)
        is_waiting_useful = request.route.priority is Priority.LIVE and request.may_queue
        if zones and is_waiting_useful and request.needs_admission:
            result = await self._place_in(zones[0], request, may_queue=True)
        if result is None or _is_unreachable(result):
            return await self._place_locally(request)
        return result

    def finish(self, placement: Placement, outcome: PlacementOutcome, service_s: float) -> None:
        """Release a placement at the placer that made it."""
        if placement.placement_id in self._local:
            self._local.discard(placement.placement_id)
            self._fallback.finish(placement, outcome, service_s)
            return
        self._active.pop(placement.placement_id, None)
        # Update this node's own view at once; the broker records the outcome as well.
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
        zone_request = PlacementRequest(
            request.request_id,
            request.tenant,
            route,
            request.timeout_s,
            request.attempt,
            may_queue,
        )
        placed = await self._request_placement(
            zone, PlaceRequest(self._parts.node, zone, zone_request)
        )
        if isinstance(placed, Success):
            self._active[placed.unwrap().placement_id] = placed.unwrap()
        return placed

    async def _request_placement(
        self, zone: str, request: PlaceRequest
    ) -> Result[Placement, Problem]:
        broker = self.broker_of(request.request.route.pool, zone)
        if broker is None:
            return Failure(
                Problem(
                    ResultCode.PEER_UNREACHABLE,
                    "no live node can act as the placement broker",
                    zone,
                )
            )
        if broker == self._parts.node:
            return await result_of(self._broker.answer_place(request))
        timeout_s = PLACE_TIMEOUT_MARGIN_S
        if request.request.may_queue:
            timeout_s += request.request.timeout_s
        return await self._membership.request(broker, request, timeout_s)

    def broker_of(self, pool: str, zone: str) -> str | None:
        """Return the broker of a zone's engines by this node's view of the membership."""
        candidates = self._membership.candidates(broker_key(pool, zone), zone)
        return candidates[0] if candidates else None

    def _zones_by_free_slots(self, route: RouteRequest) -> list[str]:
        """Return the own zone and the zones with the most free slots by the last reports."""
        free_slots: dict[str, float] = {}
        for back_end in self._parts.fleet.snapshot(now_s(), route.pool):
            if back_end.kind is not BackEndKind.ENGINE:
                continue
            if back_end.status is BackEndStatus.SERVING:
                num_free = back_end.num_slots - back_end.estimated_live
                free_slots[back_end.zone] = free_slots.get(back_end.zone, 0.0) + num_free
        own = [route.zone] if route.zone in free_slots else []
        others = [zone for zone in free_slots if zone != route.zone]
        others.sort(key=lambda zone: (-free_slots[zone], zone))
        reachable = [zone for zone in others if self._membership.swim.is_zone_reachable(zone)]
        return own + reachable[:MAX_REMOTE_ZONES]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            by_broker: dict[tuple[str, str], list[Placement]] = {}
            for placement in self._active.values():
                key = (placement.pool, placement.zone)
                by_broker.setdefault(key, []).append(placement)
            for (pool, zone), placements in by_broker.items():
                self._report(pool, zone, tuple(placements))

    def _report(self, pool: str, zone: str, placements: tuple[Placement, ...]) -> None:
        report = PlacementReport(self._parts.node, zone, placements)
        broker = self.broker_of(pool, zone)
        if broker == self._parts.node:
            self._broker.receive_report(report)
        elif broker is not None:
            self._membership.post(broker, report)


def _is_unreachable(result: Result[Placement, Problem]) -> bool:
    return isinstance(result, Failure) and result.failure().code is ResultCode.PEER_UNREACHABLE
