"""Guards against wrong limits of an owner with a valid, expired, missing or invalid grant."""

import asyncio
from collections.abc import Callable

import pytest

from hollowrack.clock import now_s
from hollowrack.slots.holder import FIRST_GRANT_TIMEOUT_S
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import SlotGrant, SlotReport
from hollowrack_bench.virtual_time import VirtualTimeLoop
from tests.slots.helpers import SERVICE, FakeOwner, FleetView, make_worker

WORKER = make_worker("e0", 6)


class HolderHarness:
    """One owner next to another known owner, in virtual time."""

    def __init__(self) -> None:
        self.loop = VirtualTimeLoop()
        self.view = FleetView({"a", "b"}, {WORKER.id: WORKER})
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
        """Send a report and accept a grant as its answer."""

        def act() -> bool:
            report = self.holder.report(SERVICE)
            return self.holder.accept(answer_to(report, limit, token, ttl_s))

        return self.run(act)


def answer_to(
    report: SlotReport, limit: int | None, token: int = 5, ttl_s: float = 3.0
) -> SlotGrant:
    return SlotGrant("x", token, SERVICE, report.number, ttl_s, (limit,), True, True, 0)


def test_limit_is_zero_until_first_grant_or_its_timeout() -> None:
    harness = HolderHarness()
    assert harness.limit() == 0
    harness.wait(FIRST_GRANT_TIMEOUT_S + 0.01)
    assert harness.limit() == 3


def test_grant_lifetime_starts_at_the_report_and_equal_share_follows() -> None:
    harness = HolderHarness()
    assert harness.grant(5)
    assert harness.limit() == 5
    harness.wait(2.9)
    assert harness.limit() == 5
    harness.wait(0.2)
    assert harness.limit() == 3


def test_only_owner_has_all_slots_without_a_leader() -> None:
    harness = HolderHarness()
    harness.view.owners.discard("b")
    harness.limit()
    harness.wait(FIRST_GRANT_TIMEOUT_S + 0.01)
    assert harness.limit() == WORKER.capacity


def test_node_without_jobs_is_not_limited() -> None:
    harness = HolderHarness()
    harness.grant(1)
    harness.owner.num_running = 0
    assert harness.limit() == WORKER.capacity


def test_worker_missing_in_the_grant_is_not_used() -> None:
    harness = HolderHarness()
    harness.grant(None)
    assert harness.limit() == 0


@pytest.mark.parametrize("token", [0, 4])
def test_grant_with_lower_fencing_token_is_rejected(token: int) -> None:
    harness = HolderHarness()
    harness.owner.num_waiting = 9
    harness.grant(2)
    assert not harness.grant(6, token)
    assert harness.limit() == 2
    assert harness.holder.num_refused == 1


@pytest.mark.parametrize("ttl_s", [0.0, -1.0, float("nan"), float("inf"), 60.0])
def test_grant_with_invalid_ttl_is_rejected(ttl_s: float) -> None:
    harness = HolderHarness()
    assert not harness.grant(6, ttl_s=ttl_s)


def test_only_the_answer_to_the_last_report_is_accepted_and_none_after_leaving() -> None:
    harness = HolderHarness()

    def act() -> None:
        first = harness.holder.report(SERVICE)
        second = harness.holder.report(SERVICE)
        assert not harness.holder.accept(answer_to(first, 6))
        assert harness.holder.accept(answer_to(second, 4))
        third = harness.holder.report(SERVICE)
        leaving = harness.holder.leave(SERVICE)
        assert leaving is not None
        assert leaving.is_leaving
        assert harness.holder.leave(SERVICE) is None
        assert not harness.holder.accept(answer_to(third, 6))

    harness.run(act)


def test_unused_slots_are_released_with_the_report_while_others_wait() -> None:
    harness = HolderHarness()
    harness.grant(5)
    harness.owner.workers.reserve_slot(WORKER)
    report = harness.run(lambda: harness.holder.report(SERVICE))
    assert isinstance(report, SlotReport)
    assert report.in_flight == report.limits == (1,)
    assert harness.limit() == 1


def test_free_slot_is_reported_immediately_only_if_not_needed_here() -> None:
    harness = HolderHarness()
    urgent_times_s: list[float] = []
    harness.holder.on_urgent(lambda: urgent_times_s.append(now_s()))
    harness.owner.workers.reserve_slot(WORKER)
    harness.owner.workers.reserve_slot(WORKER)
    harness.owner.num_waiting = 3
    harness.grant(2)
    harness.run(lambda: harness.owner.workers.release_slot(WORKER))
    assert not urgent_times_s
    harness.owner.num_waiting = 0
    harness.run(lambda: harness.owner.workers.release_slot(WORKER))
    assert len(urgent_times_s) == 1


@pytest.mark.parametrize(("capacity", "num_owners"), [(6, 4), (4, 3), (6, 1), (1, 1), (8, 8)])
def test_equal_shares_sum_to_the_capacity(capacity: int, num_owners: int) -> None:
    owners = [f"o{index}" for index in range(num_owners)]
    for incarnation in ("e0@1", "e1@1", "e2@1"):
        shares = [equal_share(incarnation, capacity, owner, owners) for owner in owners]
        assert sum(shares) == capacity
        assert max(shares) - min(shares) <= 1
