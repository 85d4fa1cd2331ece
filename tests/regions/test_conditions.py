"""Guards against workers of forbidden or unknown regions that pass a condition on regions."""

import pytest

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import Worker
from hollowrack.regions.allowed_regions import (
    RETRY_AFTER_S,
    AllowedRegions,
    intersection,
    no_worker_problem,
)
from hollowrack.regions.conditions import RegionCondition, RegionSendCondition
from hollowrack.regions.topology import RegionTopology
from hollowrack.results import DESCRIPTIONS, Execution, ResultCode

TOPOLOGY = RegionTopology({"z1": "r1", "z2": "r2", "z3": ""}, "z1")
R1, R2, BOTH = frozenset({"r1"}), frozenset({"r2"}), frozenset({"r1", "r2"})


def worker_in(zone: str) -> Worker:
    return Worker(f"w-{zone}", "svc", "127.0.0.1:1", zone, 4)


def call(allowed_regions: AllowedRegions) -> BackEndCall:
    return BackEndCall("q1", "POST", "/x", (), b"", allowed_regions=allowed_regions)


@pytest.mark.parametrize(
    ("restrictions", "expected"),
    [
        ((), None),
        ((None, None), None),
        ((None, R1), R1),
        ((BOTH, R1), R1),
        ((R1, R2), frozenset()),
        ((R1, None, R1), R1),
        ((frozenset(), None), frozenset()),
    ],
)
def test_regions_must_be_in_every_list(
    restrictions: tuple[AllowedRegions, ...], expected: AllowedRegions
) -> None:
    assert intersection(restrictions) == expected


@pytest.mark.parametrize(
    ("zone", "allowed_regions", "is_allowed"),
    [
        ("z1", R1, True),
        ("z1", R2, False),
        ("z1", BOTH, True),
        ("z1", frozenset(), False),
        ("z1", None, True),
        ("unknown", BOTH, False),
        ("unknown", None, True),
        ("z3", BOTH, False),
        ("z3", frozenset({""}), False),
        ("", BOTH, False),
    ],
)
def test_only_workers_in_allowed_regions_are_permitted(
    zone: str, allowed_regions: AllowedRegions, is_allowed: bool
) -> None:
    condition = RegionSendCondition(TOPOLOGY)
    assert condition.allows(worker_in(zone), call(allowed_regions)) is is_allowed
    if allowed_regions is not None:
        assert RegionCondition(TOPOLOGY, allowed_regions)(worker_in(zone)) is is_allowed


def test_conditions_for_equal_regions_are_equal() -> None:
    """Waiters share a search only if their conditions are equal and hashable."""
    first = RegionCondition(TOPOLOGY, frozenset({"r2", "r1"}))
    second = RegionCondition(RegionTopology(dict(TOPOLOGY.zone_regions)), BOTH)
    assert first == second
    assert hash(first) == hash(second)
    assert len({first, second, RegionCondition(TOPOLOGY, R1)}) == 2


def test_own_region_is_the_stated_one_or_that_of_the_zone() -> None:
    assert RegionTopology({"z1": "r1"}, "z1").own_region == "r1"
    assert RegionTopology({}, "z1", "r1").own_region == "r1"
    assert RegionTopology({"z2": "r1"}, "z1").own_region is None
    assert TOPOLOGY.regions == BOTH


@pytest.mark.parametrize("allowed_regions", [R1, frozenset()])
def test_refusal_is_certainly_not_run_and_names_a_time(allowed_regions: frozenset[str]) -> None:
    problem = no_worker_problem("svc", allowed_regions, "q1")
    assert problem.code is ResultCode.NO_WORKER_IN_REGIONS
    assert DESCRIPTIONS[problem.code].execution is Execution.NOT_RUN
    assert DESCRIPTIONS[problem.code].http_status == 503
    assert problem.retry_after_s == RETRY_AFTER_S
    assert "svc" in problem.detail
