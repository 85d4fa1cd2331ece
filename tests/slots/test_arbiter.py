"""What the arbiter answers: to whom it grants, when, and what it refuses."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import pytest

from hollowrack.results import ResultCode
from hollowrack.slots.allocator import FIRST_REPORT_TIMEOUT_S, GRANT_TTL_S
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import OpenWork, SlotGrant, SlotRefusal, SlotReport
from tests.slots.helpers import SERVICE, FakeLeadership, View, make_arbiter, make_worker

LIVES = ("e0@1", "e1@1")
CAPACITY = 4
# Beyond the time in which a new leader listens only.
SETTLED_S = 10.0


class Arbitration:
    """One arbiter before two workers, and what its owners last heard of it."""

    def __init__(self, *owners: str) -> None:
        self.view = View(
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
            LIVES,
            in_flight,
            limits,
            (work,),
        )
        return replace(report, **changes)

    def ask(
        self, owner: str, num_waiting: int, in_flight: tuple[int, ...] = (0, 0), **changes: Any
    ) -> tuple[int | None, ...]:
        """Report, and return the limits granted."""
        answer = self.arbiter.answer(
            self.report(owner, num_waiting, in_flight, **changes), self.now_s
        )
        assert isinstance(answer, SlotGrant), answer
        self.grants[owner] = answer
        return answer.limits

    def refusal(self, report: SlotReport) -> ResultCode:
        answer = self.arbiter.answer(report, self.now_s)
        assert isinstance(answer, SlotRefusal), answer
        return ResultCode(answer.code)


def test_a_slot_moves_once_its_owner_has_said_that_it_is_free() -> None:
    arbitration = Arbitration()
    assert arbitration.ask("a", 20) == (4, 4)
    assert arbitration.ask("b", 20) == (0, 0)
    # The lower grant is on the way: until it is in force the former one may be spent.
    assert arbitration.ask("a", 16, (4, 4)) == (4, 0)
    assert arbitration.ask("b", 20) == (0, 0)
    # It is in force, but what runs still takes the slots.
    assert arbitration.ask("a", 16, (4, 4)) == (4, 0)
    assert arbitration.ask("b", 20) == (0, 0)
    arbitration.ask("a", 16, (4, 3))
    assert arbitration.ask("b", 20) == (0, 1)
    assert arbitration.grants["b"].num_owed == 3


def test_a_leaving_owner_frees_its_slots_at_once() -> None:
    arbitration = Arbitration()
    arbitration.ask("a", 20)
    leaving = {"lives": (), "in_flight": (), "limits": (), "work": (), "is_leaving": True}
    arbitration.ask("a", 0, **leaving)
    assert arbitration.ask("b", 20) == (4, 4)


def test_slots_of_an_owner_that_is_silent_are_free_once_its_grant_has_ended() -> None:
    arbitration = Arbitration()
    arbitration.ask("a", 20)
    arbitration.ask("b", 20)
    arbitration.now_s += GRANT_TTL_S - 0.1
    assert arbitration.ask("b", 20) == (0, 0)
    arbitration.now_s += 0.2
    assert arbitration.ask("b", 20) == (4, 4)


def test_a_leader_that_may_not_act_listens_and_grants_nothing() -> None:
    arbitration = Arbitration("a", "b")
    arbitration.leadership.may_act = False
    assert arbitration.refusal(arbitration.report("a", 20, (3, 1))) is ResultCode.NOT_LEADER
    arbitration.leadership.may_act = True
    # It knows of what the other has: it need not wait for it.
    assert arbitration.ask("b", 20) == (1, 3)


def test_a_new_leader_grants_equal_shares_beside_owners_that_it_has_not_heard_of() -> None:
    arbitration = Arbitration("a", "b")
    shares = tuple(equal_share(life, CAPACITY, "a", "ab") for life in LIVES)
    assert arbitration.ask("a", 20) == shares == (2, 2)
    arbitration.now_s += FIRST_REPORT_TIMEOUT_S + 0.01
    assert arbitration.ask("a", 20) == (4, 4)


def test_a_node_that_leads_no_longer_or_not_yet_grants_nothing() -> None:
    arbitration = Arbitration()
    arbitration.leadership.fencing_token = None
    assert arbitration.refusal(arbitration.report("a", 20)) is ResultCode.NOT_LEADER


def test_slots_of_a_service_that_are_not_shared_are_not_granted() -> None:
    arbitration = Arbitration()
    arbitration.view.workers.clear()
    assert arbitration.refusal(arbitration.report("a", 20)) is ResultCode.NO_BACK_END


BAD_REPORTS: Mapping[str, Mapping[str, Any]] = {
    "no owner": {"owner": ""},
    "long owner": {"owner": "x" * 300},
    "negative count": {"in_flight": (-1, 0)},
    "huge count": {"in_flight": (10**9, 0)},
    "counts missing": {"in_flight": (1,)},
    "limits missing": {"limits": ()},
    "life twice": {"lives": ("e0@1", "e0@1")},
    "life unknown to the report": {"work": (OpenWork(1, None, 0, 1, (2,)),)},
    "lives repeated": {"work": (OpenWork(1, None, 0, 1, (0, 1, 0)),)},
    "not a number": {"work": (OpenWork(1, float("nan"), 0, 1, (0,)),)},
    "infinite": {"work": (OpenWork(1, float("inf"), 0, 1, (0,)),)},
    "negative work": {"work": (OpenWork(1, None, 0, -1, (0,)),)},
    "negative priority": {"work": (OpenWork(-1, None, 0, 1, (0,)),)},
    "too much work": {"work": (OpenWork(1, None, 0, 1, (0,)),) * 600},
    "too many lives": {"lives": tuple(str(index) for index in range(5000))},
    "late": {"number": 1},
}


@pytest.mark.parametrize("name", sorted(BAD_REPORTS))
def test_an_absurd_report_is_refused_and_changes_nothing(name: str) -> None:
    arbitration = Arbitration()
    arbitration.ask("a", 4)
    arbitration.ask("a", 4, (2, 2))
    arbitration.ask("b", 0)
    bad = replace(arbitration.report("a", 4, (2, 2)), **BAD_REPORTS[name])
    assert arbitration.refusal(bad) is ResultCode.MESSAGE_INVALID
    assert arbitration.arbiter.num_refused == 1
    before = arbitration.grants["a"].limits
    assert arbitration.ask("a", 4, (2, 2)) == before


def test_an_owner_that_lies_gets_no_more_than_the_workers_that_the_arbiter_knows() -> None:
    arbitration = Arbitration()
    lives = ("e0@1", "e1@1", "invented")
    work = (OpenWork(0, -1000.0, 0, 100_000, (0, 1, 2)),)
    limits = (100_000, 100_000, 100_000)
    changes = {"lives": lives, "in_flight": (0, 0, 0), "limits": limits, "work": work}
    assert arbitration.ask("liar", 0, **changes) == (4, 4, None)
    # The truth of others is taken in: the floor of each is planned, though not free yet.
    assert arbitration.ask("b", 20) == (0, 0)
    assert arbitration.grants["b"].num_owed >= 1


def test_a_repeated_line_is_written_once_an_interval() -> None:
    pace = LogIntervalLimiter(1.0)
    assert [pace.allow(time_s) for time_s in (0.0, 0.5, 0.99, 1.0, 1.5, 2.5)] == [
        True,
        False,
        False,
        True,
        False,
        True,
    ]
