"""Placements: a request's place on one back end, from the decision until it ends."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from hollowrack.messages.codec import message
from hollowrack.results import Problem
from hollowrack.routing.types import RouteRequest


class PlacementOutcome(Enum):
    """How a placement ended, as evidence about its back end."""

    SUCCESS = "success"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class PlacementRequest:
    """What is to be placed.

    Attributes:
        request_id: Request the placement is for.
        tenant: Whose request it is.
        route: What kind of back end it needs.
        timeout_s: Time left until it need not start, in seconds.
        attempt: Number of the attempt; only the first is subject to admission.
        may_queue: Whether it may wait for room.
    """

    request_id: str
    tenant: str
    route: RouteRequest
    timeout_s: float
    attempt: int = 0
    may_queue: bool = True

    @property
    def needs_admission(self) -> bool:
        """Whether room must be found for it; retries keep the room of the first attempt."""
        return self.attempt == 0


@message("placement.placement")
@dataclass(frozen=True)
class Placement:
    """A request's place.

    Attributes:
        placement_id: Unique name, ``<node>/<number>``.
        request_id: The request.
        address: The back end.
        pool: Its pool.
        zone: Its zone.
        is_training: Whether the request gives way to live ones.
    """

    placement_id: str
    request_id: str
    address: str
    pool: str
    zone: str
    is_training: bool


class Placer(Protocol):
    """Finds places and learns how they ended."""

    async def place(self, request: PlacementRequest) -> Result[Placement, Problem]:
        """Find a place; fails with a "not run" code."""

    def finish(self, placement: Placement, outcome: PlacementOutcome, service_s: float) -> None:
        """Give a place back; must be called once for each."""
