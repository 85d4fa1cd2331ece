"""Placements: the assignment of a request to a back end, from the decision until its end."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from hollowrack.messages.codec import message
from hollowrack.results import Problem
from hollowrack.routing.types import RouteRequest


class PlacementOutcome(Enum):
    """How a placement ended; input of the back end's circuit breaker."""

    SUCCESS = "success"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class PlacementRequest:
    """A request for a placement.

    Attributes:
        request_id: Identifier of the request to place.
        tenant: Tenant of the request.
        route: Requirements on the back end.
        timeout_s: Time until the deadline for its start, in seconds.
        attempt: Number of the attempt, from 0; only the first is subject to admission.
        may_queue: Whether it may wait for a slot.
    """

    request_id: str
    tenant: str
    route: RouteRequest
    timeout_s: float
    attempt: int = 0
    may_queue: bool = True

    @property
    def needs_admission(self) -> bool:
        """Whether it is subject to admission; only the first attempt is."""
        return self.attempt == 0


@message("placement.placement")
@dataclass(frozen=True)
class Placement:
    """Assignment of a request to a back end.

    Attributes:
        placement_id: Unique identifier, ``<node>/<number>``.
        request_id: Identifier of the request.
        address: Address of the back end.
        pool: Pool of the back end.
        zone: Zone of the back end.
        is_training: Whether the request has training priority, below that of live requests.
    """

    placement_id: str
    request_id: str
    address: str
    pool: str
    zone: str
    is_training: bool


class Placer(Protocol):
    """Places requests on back ends and tracks the placements until their end."""

    async def place(self, request: PlacementRequest) -> Result[Placement, Problem]:
        """Place a request; fails with a "not run" code."""

    def finish(self, placement: Placement, outcome: PlacementOutcome, service_s: float) -> None:
        """Release a placement; must be called exactly once for each."""
