"""Capacity orders and the stored capacity plan."""

from dataclasses import dataclass
from typing import Protocol

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.messages.codec import message


@message("capacity.zone")
@dataclass(frozen=True)
class ZoneCapacity:
    """The planned number of workers of a service in a zone.

    Attributes:
        service: Name of the service.
        zone: Name of the zone.
        num_workers: Number of regular workers.
        num_spot_workers: Number of cheaper workers that the platform may reclaim at short notice.
    """

    service: str
    zone: str
    num_workers: int
    num_spot_workers: int = 0


@message("capacity.plan")
@dataclass(frozen=True)
class CapacityPlan:
    """Record of the planned capacity in the coordination store.

    Attributes:
        zones: One entry per service and zone.
    """

    zones: tuple[ZoneCapacity, ...]


@dataclass(frozen=True)
class CapacityOrder:
    """An order to the platform; regular and spot workers are ordered separately.

    Attributes:
        service: Name of the service.
        zone: Name of the zone.
        num_workers: Total number of workers of this kind in the zone.
        is_spot: Whether spot workers are ordered.
    """

    service: str
    zone: str
    num_workers: int
    is_spot: bool = False


class CapacityClient(Protocol):
    """Sends capacity orders to the platform."""

    async def order_capacity(self, holder: DutyHolder, order: CapacityOrder) -> DutyOutcome:
        """Send one order; a repeat has no effect."""
