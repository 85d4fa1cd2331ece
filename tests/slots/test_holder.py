"""How much an owner may have in flight with a grant, without one and under a wrong one."""

import asyncio
from collections.abc import Callable

import pytest

from hollowrack.clock import now_s
from hollowrack.slots.holder import FIRST_GRANT_TIMEOUT_S
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import SlotGrant, SlotReport
from hollowrack_bench.virtual_time import VirtualTimeLoop
from tests.slots.helpers import SERVICE, FakeOwner, View, make_worker

WORKER = make_worker("e0", 6)


class Holding:
    """One owner beside another one, on virtual time."""

    def __init__(self) -> None:
        self.loop = VirtualTimeLoop()
        self.view = View({"a", "b"}, {WORKER.id: WORKER})
        self.owner = FakeOwner("a", self.view)
        self.holder = self.owner.holder

    def __del__(self) -> None:
        self.loop.close()

    def run(self, action: Callable[[], object]) -> object:
        async def act() -> object:
            return action()

        return self.loop.run_until_complete(act())

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def limit(self) -> object:
        return self.run(lambda: self.holder.limit(WORKER))

    def grant(self, limit: int | None, token: int = 5, ttl_s: float = 3.0) -> object:
        """Report, and take a grant in answer."""

        def act() -> bool:
            report = self.holder.report(SERVICE)
            return self.holder.accept(answer_to(report, limit, token, ttl_s))

        return self.run(act)


def answer_to(
    report: SlotReport, limit: int | None, token: int = 5, ttl_s: float = 3.0
) -> SlotGrant:
    return SlotGrant("x", token, SERVICE, report.number, ttl_s, (limit,), True, True, 0)


def test_nothing_is_placed_until_the_first_grant_or_until_none_comes() -> None:
    holding = Holding()
    assert holding.limit() == 0
    holding.wait(FIRST_GRANT_TIMEOUT_S + 0.01)
    assert holding.limit() == 3


def test_a_grant_lasts_from_when_it_was_asked_for_and_then_an_equal_share_holds() -> None:
    holding = Holding()
    assert holding.grant(5)
    assert holding.limit() == 5
    holding.wait(2.9)
    assert holding.limit() == 5
    holding.wait(0.2)
    assert holding.limit() == 3


def test_an_owner_that_is_alone_has_all_slots_without_a_leader() -> None:
    holding = Holding()
    holding.view.owners.discard("b")
    holding.limit()
    holding.wait(FIRST_GRANT_TIMEOUT_S + 0.01)
    assert holding.limit() == WORKER.capacity


def test_a_node_without_jobs_shares_nothing() -> None:
    holding = Holding()
    holding.grant(1)
    holding.owner.num_running = 0
    assert holding.limit() == WORKER.capacity


def test_a_worker_that_the_grant_does_not_name_is_not_used() -> None:
    holding = Holding()
    holding.grant(None)
    assert holding.limit() == 0


@pytest.mark.parametrize("token", [0, 4])
def test_a_grant_of_an_earlier_leader_is_refused(token: int) -> None:
    holding = Holding()
    holding.owner.num_waiting = 9
    holding.grant(2)
    assert not holding.grant(6, token)
    assert holding.limit() == 2
    assert holding.holder.num_refused == 1


@pytest.mark.parametrize("ttl_s", [0.0, -1.0, float("nan"), float("inf"), 60.0])
def test_a_grant_that_lasts_absurdly_long_or_not_at_all_is_refused(ttl_s: float) -> None:
    holding = Holding()
    assert not holding.grant(6, ttl_s=ttl_s)


def test_only_the_answer_to_the_last_report_is_taken_and_none_after_leaving() -> None:
    holding = Holding()

    def act() -> None:
        first = holding.holder.report(SERVICE)
        second = holding.holder.report(SERVICE)
        assert not holding.holder.accept(answer_to(first, 6))
        assert holding.holder.accept(answer_to(second, 4))
        third = holding.holder.report(SERVICE)
        left = holding.holder.leave(SERVICE)
        assert left is not None
        assert left.is_leaving
        assert holding.holder.leave(SERVICE) is None
        assert not holding.holder.accept(answer_to(third, 6))

    holding.run(act)


def test_unused_slots_are_given_up_with_the_report_while_work_of_others_waits() -> None:
    holding = Holding()
    holding.grant(5)
    holding.owner.workers.reserve_slot(WORKER)
    report = holding.run(lambda: holding.holder.report(SERVICE))
    assert isinstance(report, SlotReport)
    assert report.in_flight == report.limits == (1,)
    assert holding.limit() == 1


def test_a_freed_slot_is_reported_at_once_if_others_wait_and_this_node_has_no_use_for_it() -> None:
    holding = Holding()
    urgent: list[float] = []
    holding.holder.on_urgent(lambda: urgent.append(now_s()))
    holding.owner.workers.reserve_slot(WORKER)
    holding.owner.workers.reserve_slot(WORKER)
    holding.owner.num_waiting = 3
    holding.grant(2)
    holding.run(lambda: holding.owner.workers.release_slot(WORKER))
    assert not urgent
    holding.owner.num_waiting = 0
    holding.run(lambda: holding.owner.workers.release_slot(WORKER))
    assert len(urgent) == 1


@pytest.mark.parametrize(("capacity", "num_owners"), [(6, 4), (4, 3), (6, 1), (1, 1), (8, 8)])
def test_equal_shares_add_up_to_the_capacity(capacity: int, num_owners: int) -> None:
    owners = [f"o{index}" for index in range(num_owners)]
    for life in ("e0@1", "e1@1", "e2@1"):
        shares = [equal_share(life, capacity, owner, owners) for owner in owners]
        assert sum(shares) == capacity
        assert max(shares) - min(shares) <= 1
