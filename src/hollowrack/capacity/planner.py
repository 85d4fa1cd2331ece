"""Planning of the number of workers per service and zone, as pure functions."""

from collections import Counter
from collections.abc import Iterable, Sequence

from hollowrack.capacity.types import CapacityOrder, CapacityPlan, ZoneCapacity
from hollowrack.forwarding.types import ScalingLimits, Service, Worker


def plan_current_workers(services: Iterable[Service], workers: Sequence[Worker]) -> CapacityPlan:
    """Return a plan that keeps the current number of workers, within each service's limits.

    Args:
        services: All services; capacity of those without scaling limits is not ordered.
        workers: The workers that accept new work.
    """
    found = Counter((worker.service, worker.zone) for worker in workers)
    return CapacityPlan(
        tuple(
            ZoneCapacity(service.name, zone, _clamp(service.scaling, found[(service.name, zone)]))
            for service in services
            if service.scaling is not None
            for zone in sorted(service.scaling.zone_prices)
            if found[(service.name, zone)]
        )
    )


def _clamp(limits: ScalingLimits, num_workers: int) -> int:
    return min(limits.max_workers, max(limits.min_workers, num_workers))


def orders_of(plan: CapacityPlan) -> list[CapacityOrder]:
    """Return the orders of a plan."""
    orders: list[CapacityOrder] = []
    for zone in plan.zones:
        orders.append(CapacityOrder(zone.service, zone.zone, zone.num_workers))
        if zone.num_spot_workers:
            orders.append(
                CapacityOrder(zone.service, zone.zone, zone.num_spot_workers, is_spot=True)
            )
    return orders
