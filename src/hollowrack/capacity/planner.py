"""Decides how many workers a service should have in each zone: pure decisions."""

from collections import Counter
from collections.abc import Iterable, Sequence

from hollowrack.capacity.types import CapacityOrder, CapacityPlan, ZoneCapacity
from hollowrack.forwarding.types import ScalingLimits, Service, Worker


def plan_as_found(services: Iterable[Service], workers: Sequence[Worker]) -> CapacityPlan:
    """Plan to hold what is there, within the limits of each service.

    Args:
        services: All services; those without limits are not ours to order.
        workers: The workers that take new work.
    """
    found = Counter((worker.service, worker.zone) for worker in workers)
    return CapacityPlan(
        tuple(
            ZoneCapacity(service.name, zone, _within(service.scaling, found[(service.name, zone)]))
            for service in services
            if service.scaling is not None
            for zone in sorted(service.scaling.zone_prices)
            if found[(service.name, zone)]
        )
    )


def _within(limits: ScalingLimits, num_workers: int) -> int:
    return min(limits.max_workers, max(limits.min_workers, num_workers))


def orders_of(plan: CapacityPlan) -> list[CapacityOrder]:
    """Return the orders that a plan amounts to."""
    orders: list[CapacityOrder] = []
    for zone in plan.zones:
        orders.append(CapacityOrder(zone.service, zone.zone, zone.num_workers))
        if zone.num_spot_workers:
            orders.append(
                CapacityOrder(zone.service, zone.zone, zone.num_spot_workers, is_spot=True)
            )
    return orders
