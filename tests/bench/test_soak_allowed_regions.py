"""The checks of a soak must find work outside its allowed regions, and allow for changes."""

import random

import pytest

from hollowrack.coordination.store import StoredItem
from hollowrack.jobs.job_log import OPEN_PREFIX
from hollowrack.jobs.job_regions import REGIONS_PREFIX, JobRegionsRecord
from hollowrack.messages import codec
from hollowrack_bench import soak_allowed_regions
from hollowrack_bench.soak_allowed_regions import (
    PLAIN_PREFIX,
    REGIONAL_JOBS_PREFIX,
    JobEntries,
    RegionalWork,
    RegionFindings,
    RegionRestrictions,
)
from hollowrack_bench.soak_operator import SoakOperator
from hollowrack_standins.users_platform import PlatformStoreStandin, WorkerArrival

KEPT_S = 0.6
JOB = "regional-job-1"


class UnconnectedOperator(SoakOperator):
    """An operator whose configurations are not written to a store."""

    def _write(self) -> None:
        pass


def restricted(monkeypatch: pytest.MonkeyPatch, *changes: tuple[float, str]) -> RegionRestrictions:
    """Return restrictions of both routes that changed at these times to these regions."""
    routes = [{"path-prefix": prefix} for prefix in (PLAIN_PREFIX, REGIONAL_JOBS_PREFIX)]
    operator = UnconnectedOperator(PlatformStoreStandin(), {"routes": routes}, random.Random(1))
    restrictions = RegionRestrictions(operator, random.Random(1))
    for at_s, regions in changes:
        monkeypatch.setattr(soak_allowed_regions, "now_s", lambda at_s=at_s: at_s)
        for prefix in (PLAIN_PREFIX, REGIONAL_JOBS_PREFIX):
            restrictions._restrict(prefix, frozenset(regions.split()))
    return restrictions


def check_arrival(
    restrictions: RegionRestrictions,
    name: str,
    at_s: float,
    zone: str,
    *,
    sent_s: float = 0.0,
    disturbances: tuple[tuple[float, float], ...] = (),
) -> RegionFindings:
    work = RegionalWork(restrictions, KEPT_S, disturbances)
    arrival = WorkerArrival(at_s, zone, "w1", name)
    return work.check([arrival], JobEntries(), {name: sent_s})


@pytest.mark.parametrize("name", ["regional-plain-1", f"{JOB}.3", f"{JOB}.score-3"])
@pytest.mark.parametrize(
    ("at_s", "zone", "is_outside"),
    [
        (14.9, "z3", False),
        (15.7, "z3", True),
        (15.7, "z2", False),
        (30.1, "z3", False),
        (34.9, "z1", False),
        (35.7, "z1", True),
        (35.7, "z4", False),
        (50.1, "z1", False),
    ],
)
def test_arrival_outside_the_allowed_regions_is_found_once_a_change_must_be_in_force(
    monkeypatch: pytest.MonkeyPatch, name: str, at_s: float, zone: str, is_outside: bool
) -> None:
    restrictions = restricted(monkeypatch, (10.0, "r1"), (30.0, "r2"), (50.0, "r1 r2"))
    findings = check_arrival(restrictions, name, at_s, zone, sent_s=at_s)
    assert bool(findings.outside) is is_outside


def test_request_that_was_sent_before_a_change_keeps_its_regions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    restrictions = restricted(monkeypatch, (10.0, "r1"))
    late = check_arrival(restrictions, "regional-plain-1", 16.0, "z3", sent_s=14.0)
    assert (late.outside, sum(late.num_checked.values())) == ([], 0)


@pytest.mark.parametrize(
    ("disturbance", "is_outside"), [((12.0, 14.0), False), ((8.0, 9.0), False), ((1.0, 4.0), True)]
)
def test_change_may_come_late_where_a_node_is_not_connected(
    monkeypatch: pytest.MonkeyPatch, disturbance: tuple[float, float], is_outside: bool
) -> None:
    """A node knows the lists of when the disturbance began until 4 s after its end."""
    restrictions = restricted(monkeypatch, (9.5, "r1"))
    findings = check_arrival(restrictions, f"{JOB}.3", 14.6, "z3", disturbances=(disturbance,))
    assert bool(findings.outside) is is_outside


def test_disturbance_does_not_excuse_a_region_that_was_never_allowed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    restrictions = restricted(monkeypatch, (10.0, "r1"))
    findings = check_arrival(restrictions, f"{JOB}.3", 30.0, "z3", disturbances=((25.0, 29.0),))
    assert findings.outside == [(f"{JOB}.3", "reached w1 in region r2, allowed: r1")]


@pytest.mark.parametrize(
    ("stored", "owners", "texts"),
    [
        ("r1", ["edge-0"], []),
        ("r1", ["edge-0", "edge-2"], []),
        ("r1", ["edge-0", "edge-1"], ["owned by edge-1 in region r2, allowed: r1"]),
        ("r2", ["edge-1"], ["stored with regions r2, allowed: r1"]),
        ("", ["edge-0"], ["stored with regions r1, r2, allowed: r1"]),
    ],
)
def test_job_stored_or_owned_outside_its_regions_is_found(
    monkeypatch: pytest.MonkeyPatch, stored: str, owners: list[str], texts: list[str]
) -> None:
    restrictions = restricted(monkeypatch, (10.0, "r1"), (40.0, "r2"))
    entries = JobEntries()
    key = f"ana%2F{JOB}"
    if stored:
        record = codec.encode(JobRegionsRecord(tuple(stored.split())))
        entries.record(StoredItem(REGIONS_PREFIX + key, record, 1, 0))
    # Later owners are written after the regions of the route have changed.
    for at_s, node in zip((20.0, 50.0), owners, strict=False):
        monkeypatch.setattr(soak_allowed_regions, "now_s", lambda at_s=at_s: at_s)
        entries.record(StoredItem(OPEN_PREFIX + key, f"{node}#12".encode(), 2, 0))
    findings = RegionalWork(restrictions, KEPT_S, []).check([], entries, {JOB: 19.0})
    assert [text for _, text in findings.outside] == texts
    assert findings.num_checked["owner"] == len(owners)


def test_unreadable_record_allows_no_region(monkeypatch: pytest.MonkeyPatch) -> None:
    restrictions = restricted(monkeypatch)
    monkeypatch.setattr(soak_allowed_regions, "now_s", lambda: 20.0)
    entries = JobEntries()
    entries.record(StoredItem(f"{REGIONS_PREFIX}ana%2F{JOB}", b"\xff", 1, 0))
    entries.record(StoredItem(f"{OPEN_PREFIX}ana%2F{JOB}", b"edge-0#12", 1, 0))
    findings = RegionalWork(restrictions, KEPT_S, []).check([], entries, {JOB: 19.0})
    assert [text for _, text in findings.outside] == ["owned by edge-0 in region r1, allowed: none"]
