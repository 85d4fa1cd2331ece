"""The plan of slots, without owners or a network."""

import time

from hypothesis import given
from hypothesis import strategies as st

from hollowrack.slots.plan import OwnerDemand, SlotPlan, WorkDemand, plan_slots

LIVES = [f"e{index}@1" for index in range(22)]
CAPACITY = dict.fromkeys(LIVES, 6)
NEVER = float("inf")


def work(
    num_waiting: int,
    num_running: int = 0,
    priority: int = 1,
    due_in_s: float = NEVER,
    lives: list[str] | None = None,
) -> WorkDemand:
    return WorkDemand(
        priority, due_in_s, num_running, num_waiting, LIVES if lives is None else lives
    )


def total(plan: SlotPlan, owner: str) -> int:
    return sum(plan.slots[owner].values())


def check_capacity(plan: SlotPlan, capacity: dict[str, int]) -> None:
    for life, slots in capacity.items():
        assert sum(plan.at(owner, life) for owner in plan.slots) == slots


def test_one_owners_burst_takes_all_slots_evenly() -> None:
    plan = plan_slots(CAPACITY, {"a": OwnerDemand({}, [work(500)]), "b": OwnerDemand({}, [])})
    assert total(plan, "a") == 132
    assert plan.is_contended
    assert plan.num_unplaced == 500 - 132


def test_work_that_fits_is_spread_over_all_workers_and_the_rest_is_dealt_out() -> None:
    plan = plan_slots(
        CAPACITY, {"a": OwnerDemand({}, [work(44)]), "b": OwnerDemand({}, [work(44)])}
    )
    assert not plan.is_contended
    check_capacity(plan, CAPACITY)
    assert {plan.at(owner, life) for owner in "ab" for life in LIVES} <= {2, 3, 4}
    assert total(plan, "a") == total(plan, "b") == 66


def test_four_owners_with_three_times_the_room_keep_a_floor_and_the_earliest_due_is_served() -> (
    None
):
    owners = {
        name: OwnerDemand({}, [work(99, due_in_s=due_in_s)])
        for name, due_in_s in (("a", 30.0), ("b", 10.0), ("c", 40.0), ("d", 20.0))
    }
    plan = plan_slots(CAPACITY, owners)
    check_capacity(plan, CAPACITY)
    assert total(plan, "b") == 99
    assert total(plan, "d") == 132 - 99 - 2 * 8
    assert total(plan, "a") == total(plan, "c") == 8


def test_priority_goes_before_the_time_until_due() -> None:
    owners = {
        "late": OwnerDemand({}, [work(200, priority=2, due_in_s=1.0)]),
        "first": OwnerDemand({}, [work(200, priority=0)]),
    }
    plan = plan_slots(CAPACITY, owners)
    assert total(plan, "first") == 132 - 16
    assert total(plan, "late") == 16


def test_running_items_keep_their_slots_when_half_of_the_workers_are_lost_and_come_back() -> None:
    running = dict.fromkeys(LIVES, 3)
    owners = {
        "a": OwnerDemand(running, [work(50, 66)]),
        "b": OwnerDemand(running, [work(50, 66)]),
    }
    half = dict.fromkeys(LIVES[:11], 6)
    for capacity in (CAPACITY, half, CAPACITY):
        plan = plan_slots(capacity, owners)
        check_capacity(plan, capacity)
        # The floor of the later one comes first, then the running items of the other.
        assert all(plan.at("a", life) >= 3 for life in capacity)
    assert all(plan.at("b", life) == 3 for life in LIVES)


def test_an_owner_that_can_use_few_workers_gets_its_floor_there() -> None:
    few = LIVES[:2]
    owners = {
        "wide": OwnerDemand({}, [work(500, due_in_s=1.0)]),
        "few": OwnerDemand({}, [work(20, due_in_s=90.0, lives=few)]),
    }
    plan = plan_slots(CAPACITY, owners)
    assert sum(plan.at("few", life) for life in few) == 12
    assert total(plan, "wide") == 120


def test_new_work_goes_to_free_slots_before_it_displaces_running_items() -> None:
    running = {LIVES[0]: 6, LIVES[1]: 2}
    owners = {
        "runs": OwnerDemand(running, [work(0, 8, due_in_s=90.0)]),
        "urgent": OwnerDemand({}, [work(4, due_in_s=1.0)]),
    }
    plan = plan_slots({LIVES[0]: 6, LIVES[1]: 6}, owners)
    assert plan.at("runs", LIVES[0]) == 6
    assert plan.at("urgent", LIVES[1]) == 4


OWNER_DEMANDS = st.builds(
    OwnerDemand,
    st.dictionaries(st.sampled_from("uvwxyz"), st.integers(0, 9)),
    st.lists(
        st.builds(
            WorkDemand,
            st.integers(0, 2),
            st.sampled_from([-3.0, 0.0, 5.0, NEVER]),
            st.integers(0, 9),
            st.integers(0, 30),
            st.lists(st.sampled_from("uvwxyz"), unique=True),
        ),
        max_size=3,
    ),
)


@given(
    st.dictionaries(st.sampled_from("uvwxy"), st.integers(0, 6)),
    st.dictionaries(st.sampled_from("abcd"), OWNER_DEMANDS),
)
def test_every_slot_is_planned_once(
    capacity: dict[str, int], owners: dict[str, OwnerDemand]
) -> None:
    plan = plan_slots(capacity, owners)
    if owners:
        check_capacity(plan, capacity)
    assert all(count >= 0 for slots in plan.slots.values() for count in slots.values())
    assert plan == plan_slots(capacity, owners)


def plan_time_s(num_jobs: int, num_lives: int) -> float:
    lives = [f"e{index}@1" for index in range(num_lives)]
    owners = {
        f"o{index}": OwnerDemand(
            dict.fromkeys(lives, 1), [work(200, num_lives, due_in_s=float(index), lives=lives)]
        )
        for index in range(num_jobs)
    }
    began_s = time.perf_counter()
    plan_slots(dict.fromkeys(lives, 6), owners)
    return time.perf_counter() - began_s


if __name__ == "__main__":
    for size in ((4, 22), (16, 44), (64, 600)):
        print(size, f"{1000 * min(plan_time_s(*size) for _ in range(5)):.2f} ms")
