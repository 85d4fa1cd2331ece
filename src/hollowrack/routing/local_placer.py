"""Local placer: places requests by this node's own view of the fleet."""

import itertools
import random
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from hollowrack.admission.controller import AdmissionController, Ticket
from hollowrack.clock import now_s
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.results import Problem
from hollowrack.routing.choice import Chooser
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.placement import Placement, PlacementOutcome, PlacementRequest
from hollowrack.routing.types import Priority


@dataclass(frozen=True)
class PlacerDependencies:
    """Dependencies of placement.

    Attributes:
        node: Name of this node, the first part of placement identifiers.
        fleet: This node's view of the back ends.
        chooser: Selects a back end.
        decisions: Log of routing decisions.
        rng: Random source of the chooser.
    """

    node: str
    fleet: FleetView
    chooser: Chooser
    decisions: DecisionLog
    rng: random.Random


class LocalPlacer:
    """``Placer`` that decides without contacting other nodes.

    Args:
        parts: Dependencies of placement.
        admission: Admission controller of live requests; ``None`` to place without admission.
    """

    _numbers = itertools.count(1)

    def __init__(self, parts: PlacerDependencies, admission: AdmissionController | None) -> None:
        self._parts = parts
        self._admission = admission
        self._tickets: dict[str, Ticket] = {}

    async def place(self, request: PlacementRequest) -> Result[Placement, Problem]:
        """Admit a request and select a back end; fails with the codes of either step."""
        ticket: Ticket | None = None
        is_live = request.route.priority is Priority.LIVE
        if is_live and request.needs_admission and self._admission is not None:
            admitted = await self._admission.admit(
                request.route.pool, request.tenant, now_s() + request.timeout_s, request.may_queue
            )
            if isinstance(admitted, Failure):
                return admitted
            ticket = admitted.unwrap()
        placed = self._choose(request)
        if isinstance(placed, Success):
            self.record_placement(placed.unwrap(), ticket)
            self._parts.fleet.prefixes.record_sent(
                placed.unwrap().address, request.route.prefix_blocks
            )
        elif ticket is not None:
            ticket.release()
        return placed

    def _choose(self, request: PlacementRequest) -> Result[Placement, Problem]:
        parts = self._parts
        back_ends = parts.fleet.snapshot(now_s(), request.route.pool)
        choice = parts.chooser(request.route, back_ends, parts.fleet.prefixes, parts.rng)
        if isinstance(choice, Failure):
            return choice
        address = choice.unwrap().address
        parts.decisions.record(
            DecisionKind.ROUTE,
            request.request_id,
            address,
            attempt=request.attempt,
            cost_ms=choice.unwrap().costs_ms(),
        )
        return Success(
            Placement(
                placement_id=f"{parts.node}/{next(self._numbers)}",
                request_id=request.request_id,
                address=address,
                pool=request.route.pool,
                zone=parts.fleet.records[address].machine.zone,
                is_training=request.route.priority is Priority.TRAINING,
            )
        )

    def record_placement(self, placement: Placement, ticket: Ticket | None = None) -> None:
        """Count a placement that was made here or reported by a node."""
        self._parts.fleet.record_sent(placement.address, placement.is_training, now_s())
        if ticket is not None:
            self._tickets[placement.placement_id] = ticket

    def finish(self, placement: Placement, outcome: PlacementOutcome, service_s: float) -> None:
        """Release a placement, and update the fleet view by its outcome."""
        fleet = self._parts.fleet
        ticket = self._tickets.pop(placement.placement_id, None)
        if ticket is not None:
            ticket.release()
        fleet.record_finished(placement.address, placement.is_training)
        fleet.record_outcome(placement.address, outcome, now_s())
        if outcome is PlacementOutcome.SUCCESS and not placement.is_training:
            fleet.record_service_time(placement.pool, service_s)
