"""Guards against plans beyond a service's limits, and orders for the wrong kind of workers."""

from hollowrack.capacity.planner import orders_of, plan_current_workers
from hollowrack.capacity.types import CapacityOrder, CapacityPlan, ZoneCapacity
from hollowrack.forwarding.types import ScalingLimits, Service, Worker

LIMITS = ScalingLimits(1, 3, 4.0, 0.2, {"z1": 1.0, "z2": 0.9, "z3": 1.2})
SCALED = Service("llm", 100, ("m",), LIMITS)
FIXED = Service("svc", 100)


def workers(service: str, zone: str, number: int) -> list[Worker]:
    return [
        Worker(f"{service}-{zone}-{index}", service, "127.0.0.1:1", zone, 4)
        for index in range(number)
    ]


def test_plan_keeps_current_workers_within_limits() -> None:
    found = [*workers("llm", "z1", 2), *workers("llm", "z2", 5), *workers("svc", "z1", 3)]
    plan = plan_current_workers([SCALED, FIXED], found)
    assert plan.zones == (ZoneCapacity("llm", "z1", 2), ZoneCapacity("llm", "z2", 3))


def test_plan_is_empty_without_workers() -> None:
    assert plan_current_workers([SCALED, FIXED], []).zones == ()


def test_regular_and_spot_workers_are_ordered_separately() -> None:
    plan = CapacityPlan((ZoneCapacity("llm", "z1", 2, 3), ZoneCapacity("llm", "z2", 1)))
    assert orders_of(plan) == [
        CapacityOrder("llm", "z1", 2),
        CapacityOrder("llm", "z1", 3, is_spot=True),
        CapacityOrder("llm", "z2", 1),
    ]
