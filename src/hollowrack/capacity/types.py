"""Capacity that is ordered, and what is kept of it in the coordination store."""

from dataclasses import dataclass
from typing import Protocol

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.messages.codec import message


@message("capacity.zone")
@dataclass(frozen=True)
class ZoneCapacity:
    """How many workers of a service a zone should hold.

    Attributes:
        service: The service.
        zone: The zone.
        num_workers: Workers that stay until they are given back.
        num_spot_workers: Cheaper ones that may be taken away at short notice.
    """

    service: str
    zone: str
    num_workers: int
    num_spot_workers: int = 0


@message("capacity.plan")
@dataclass(frozen=True)
class CapacityPlan:
    """The capacity wanted, as the coordination store keeps it: the platform does not tell it.

    Attributes:
        zones: One entry for each service and zone.
    """

    zones: tuple[ZoneCapacity, ...]


@dataclass(frozen=True)
class CapacityOrder:
    """An order as it goes to the platform. Each kind of workers is ordered on its own.

    Attributes:
        service: The service.
        zone: The zone.
        num_workers: How many workers of this kind the zone should hold.
        is_spot: Whether they are the kind that may be taken away.
    """

    service: str
    zone: str
    num_workers: int
    is_spot: bool = False


class CapacityClient(Protocol):
    """Gives orders of capacity to the platform."""

    async def order_capacity(self, holder: DutyHolder, order: CapacityOrder) -> DutyOutcome:
        """Give one order; a repeat does nothing."""
