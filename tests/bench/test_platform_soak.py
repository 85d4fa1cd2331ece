"""The soak of real edge processes: a short one, and whether its checks find what they are for."""

import asyncio

import pytest

from hollowrack_bench.platform_soak import PlatformSoak, run_soak

Order = tuple[str, str, int, str, int]


def test_a_short_soak_breaks_no_promise() -> None:
    outcome = asyncio.run(run_soak(duration_s=6.0, seed=1))
    assert outcome.broken == []
    assert int(outcome.rows["steps taken"]) > 0


@pytest.mark.parametrize(
    ("orders", "is_broken"),
    [
        ([("w1", "a", 3, "m", 2), ("w2", "a", 3, "m", 2), ("w1", "b", 9, "m", 3)], False),
        ([("w1", "a", 3, "m", 2), ("w1", "b", 3, "m", 3)], True),
        ([("w1", "b", 9, "m", 2), ("w1", "a", 3, "m", 3)], True),
    ],
)
def test_orders_of_two_holders_or_an_older_fence_are_found(
    orders: list[Order], is_broken: bool
) -> None:
    soak = PlatformSoak(0.0, 1)
    soak.ledger.orders.extend(orders)
    soak.check_orders()
    assert bool(soak.outcome.broken) is is_broken


@pytest.mark.parametrize(
    ("num_runs", "is_refused", "is_broken"),
    [(0, True, False), (1, False, False), (2, False, True), (1, True, True)],
)
def test_unsafe_requests_that_run_twice_or_although_refused_are_found(
    num_runs: int, is_refused: bool, is_broken: bool
) -> None:
    soak = PlatformSoak(0.0, 1)
    soak.ledger.executions["once-1"] = num_runs
    if is_refused:
        soak.refused_unsafe.add("once-1")
    soak.check_unsafe()
    assert bool(soak.outcome.broken) is is_broken
