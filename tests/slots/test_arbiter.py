"""Guards against slots granted twice, granted too early, or granted on invalid reports."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import pytest

from hollowrack.results import ResultCode
from hollowrack.slots.allocator import FIRST_REPORT_TIMEOUT_S, GRANT_TTL_S
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import OpenWork, SlotGrant, SlotRefusal, SlotReport
from tests.slots.helpers import SERVICE, FakeLeadership, FleetView, make_arbiter, make_worker

INCARNATIONS = ("e0@1", "e1@1")
CAPACITY = 4
# Longer than a new leader waits before it grants by plan.
SETTLED_S = 10.0


class ArbiterHarness:
    """One arbiter with two workers, and the last grant of each owner."""

    def __init__(self, *owners: str) -> None:
        self.view = FleetView(
            set(owners), {f"e{index}": make_worker(f"e{index}", 4) for index in (0, 1)}
        )
        self.leadership = FakeLeadership(7, may_act=True)
        self.arbiter = make_arbiter("a#1", self.leadership, self.view)
        self.arbiter.update_leadership(0.0)
        self.now_s = SETTLED_S
        self.grants: dict[str, SlotGrant] = {}
        self.numbers: dict[str, int] = {}

    def report(
        self, owner: str, num_waiting: int, in_flight: tuple[int, ...] = (0, 0), **changes: Any
    ) -> SlotReport:
        number = self.numbers[owner] = self.numbers.get(owner, 0) + 1
        grant = self.grants.get(owner)
        limits = tuple(limit or 0 for limit in grant.limits) if grant else (0, 0)
        work = OpenWork(1, None, sum(in_flight), num_waiting, (0, 1))
        report = SlotReport(
            owner,
            SERVICE,
            number,
            grant.fencing_token if grant else None,
            grant.number if grant else 0,
            INCARNATIONS,
            in_flight,
            limits,
            (work,),
        )
        return replace(report, **changes)

    def request_grant(
        self, owner: str, num_waiting: int, in_flight: tuple[int, ...] = (0, 0), **changes: Any
    ) -> tuple[int | None, ...]:
        """Send a report and return the granted limits."""
        answer = self.arbiter.answer(
            self.report(owner, num_waiting, in_flight, **changes), self.now_s
        )
        assert isinstance(answer, SlotGrant), answer
        self.grants[owner] = answer
        return answer.limits

    def refusal_code(self, report: SlotReport) -> ResultCode:
        answer = self.arbiter.answer(report, self.now_s)
        assert isinstance(answer, SlotRefusal), answer
        return ResultCode(answer.code)


def test_slot_is_reassigned_only_after_its_owner_reports_it_free() -> None:
    harness = ArbiterHarness()
    assert harness.request_grant("a", 20) == (4, 4)
    assert harness.request_grant("b", 20) == (0, 0)
    # The lower grant may not have arrived: the previous one still counts.
    assert harness.request_grant("a", 16, (4, 4)) == (4, 0)
    assert harness.request_grant("b", 20) == (0, 0)
    # The lower grant is in force, but requests in flight still occupy the slots.
    assert harness.request_grant("a", 16, (4, 4)) == (4, 0)
    assert harness.request_grant("b", 20) == (0, 0)
    harness.request_grant("a", 16, (4, 3))
    assert harness.request_grant("b", 20) == (0, 1)
    assert harness.grants["b"].num_owed == 3


def test_leaving_owner_releases_its_slots_immediately() -> None:
    harness = ArbiterHarness()
    harness.request_grant("a", 20)
    leaving = {"lives": (), "in_flight": (), "limits": (), "work": (), "is_leaving": True}
    harness.request_grant("a", 0, **leaving)
    assert harness.request_grant("b", 20) == (4, 4)


def test_slots_of_owner_without_reports_are_released_when_its_grant_expires() -> None:
    harness = ArbiterHarness()
    harness.request_grant("a", 20)
    harness.request_grant("b", 20)
    harness.now_s += GRANT_TTL_S - 0.1
    assert harness.request_grant("b", 20) == (0, 0)
    harness.now_s += 0.2
    assert harness.request_grant("b", 20) == (4, 4)


def test_leader_that_may_not_act_records_reports_and_grants_nothing() -> None:
    harness = ArbiterHarness("a", "b")
    harness.leadership.may_act = False
    assert harness.refusal_code(harness.report("a", 20, (3, 1))) is ResultCode.NOT_LEADER
    harness.leadership.may_act = True
    # The report of the other owner is known, so that there is no need to wait for it.
    assert harness.request_grant("b", 20) == (1, 3)


def test_new_leader_grants_equal_shares_while_owners_have_not_reported() -> None:
    harness = ArbiterHarness("a", "b")
    shares = tuple(equal_share(incarnation, CAPACITY, "a", "ab") for incarnation in INCARNATIONS)
    assert harness.request_grant("a", 20) == shares == (2, 2)
    harness.now_s += FIRST_REPORT_TIMEOUT_S + 0.01
    assert harness.request_grant("a", 20) == (4, 4)


def test_node_without_leadership_grants_nothing() -> None:
    harness = ArbiterHarness()
    harness.leadership.fencing_token = None
    assert harness.refusal_code(harness.report("a", 20)) is ResultCode.NOT_LEADER


def test_slots_of_unshared_service_are_not_granted() -> None:
    harness = ArbiterHarness()
    harness.view.workers.clear()
    assert harness.refusal_code(harness.report("a", 20)) is ResultCode.NO_BACK_END


INVALID_REPORTS: Mapping[str, Mapping[str, Any]] = {
    "empty owner": {"owner": ""},
    "long owner": {"owner": "x" * 300},
    "negative count": {"in_flight": (-1, 0)},
    "huge count": {"in_flight": (10**9, 0)},
    "missing counts": {"in_flight": (1,)},
    "missing limits": {"limits": ()},
    "duplicate incarnation": {"lives": ("e0@1", "e0@1")},
    "incarnation index out of range": {"work": (OpenWork(1, None, 0, 1, (2,)),)},
    "duplicate incarnation index": {"work": (OpenWork(1, None, 0, 1, (0, 1, 0)),)},
    "deadline is not a number": {"work": (OpenWork(1, float("nan"), 0, 1, (0,)),)},
    "infinite deadline": {"work": (OpenWork(1, float("inf"), 0, 1, (0,)),)},
    "negative item count": {"work": (OpenWork(1, None, 0, -1, (0,)),)},
    "negative priority": {"work": (OpenWork(-1, None, 0, 1, (0,)),)},
    "too much work": {"work": (OpenWork(1, None, 0, 1, (0,)),) * 600},
    "too many incarnations": {"lives": tuple(str(index) for index in range(5000))},
    "out of order": {"number": 1},
}


@pytest.mark.parametrize("name", sorted(INVALID_REPORTS))
def test_invalid_report_is_rejected_and_changes_nothing(name: str) -> None:
    harness = ArbiterHarness()
    harness.request_grant("a", 4)
    harness.request_grant("a", 4, (2, 2))
    harness.request_grant("b", 0)
    invalid = replace(harness.report("a", 4, (2, 2)), **INVALID_REPORTS[name])
    assert harness.refusal_code(invalid) is ResultCode.MESSAGE_INVALID
    assert harness.arbiter.num_refused == 1
    previous_limits = harness.grants["a"].limits
    assert harness.request_grant("a", 4, (2, 2)) == previous_limits


def test_owner_with_false_report_gets_at_most_the_known_capacity() -> None:
    harness = ArbiterHarness()
    incarnations = ("e0@1", "e1@1", "unknown")
    work = (OpenWork(0, -1000.0, 0, 100_000, (0, 1, 2)),)
    limits = (100_000, 100_000, 100_000)
    changes = {"lives": incarnations, "in_flight": (0, 0, 0), "limits": limits, "work": work}
    assert harness.request_grant("faulty", 0, **changes) == (4, 4, None)
    # Demand of the other owner counts: its floor is planned, although no slot is free yet.
    assert harness.request_grant("b", 20) == (0, 0)
    assert harness.grants["b"].num_owed >= 1


def test_repeated_log_line_is_written_once_per_interval() -> None:
    limiter = LogIntervalLimiter(1.0)
    assert [limiter.allow(time_s) for time_s in (0.0, 0.5, 0.99, 1.0, 1.5, 2.5)] == [
        True,
        False,
        False,
        True,
        False,
        True,
    ]
