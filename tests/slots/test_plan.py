"""Guards against plans that exceed capacity, starve an owner, or move running items."""

import time

from hypothesis import given
from hypothesis import strategies as st

from hollowrack.slots.plan import OwnerDemand, SlotPlan, WorkDemand, plan_slots

INCARNATIONS = [f"e{index}@1" for index in range(22)]
CAPACITY = dict.fromkeys(INCARNATIONS, 6)
NO_DEADLINE = float("inf")


def work(
    num_waiting: int,
    num_running: int = 0,
    priority: int = 1,
    due_in_s: float = NO_DEADLINE,
    incarnations: list[str] | None = None,
) -> WorkDemand:
    return WorkDemand(
        priority,
        due_in_s,
        num_running,
        num_waiting,
        INCARNATIONS if incarnations is None else incarnations,
    )


def total(plan: SlotPlan, owner: str) -> int:
    return sum(plan.slots[owner].values())


def check_capacity(plan: SlotPlan, capacity: dict[str, int]) -> None:
    for incarnation, slots in capacity.items():
        assert sum(plan.at(owner, incarnation) for owner in plan.slots) == slots


def test_burst_of_one_owner_gets_all_slots() -> None:
    plan = plan_slots(CAPACITY, {"a": OwnerDemand({}, [work(500)]), "b": OwnerDemand({}, [])})
    assert total(plan, "a") == 132
    assert plan.is_contended
    assert plan.num_unplaced == 500 - 132


def test_uncontended_work_is_spread_and_remaining_slots_are_distributed() -> None:
    plan = plan_slots(
        CAPACITY, {"a": OwnerDemand({}, [work(44)]), "b": OwnerDemand({}, [work(44)])}
    )
    assert not plan.is_contended
    check_capacity(plan, CAPACITY)
    assert {plan.at(owner, incarnation) for owner in "ab" for incarnation in INCARNATIONS} <= {
        2,
        3,
        4,
    }
    assert total(plan, "a") == total(plan, "b") == 66


def test_contended_owners_keep_a_floor_and_earliest_deadline_goes_first() -> None:
    owners = {
        name: OwnerDemand({}, [work(99, due_in_s=due_in_s)])
        for name, due_in_s in (("a", 30.0), ("b", 10.0), ("c", 40.0), ("d", 20.0))
    }
    plan = plan_slots(CAPACITY, owners)
    check_capacity(plan, CAPACITY)
    assert total(plan, "b") == 99
    assert total(plan, "d") == 132 - 99 - 2 * 8
    assert total(plan, "a") == total(plan, "c") == 8


def test_priority_takes_precedence_over_deadline() -> None:
    owners = {
        "late": OwnerDemand({}, [work(200, priority=2, due_in_s=1.0)]),
        "first": OwnerDemand({}, [work(200, priority=0)]),
    }
    plan = plan_slots(CAPACITY, owners)
    assert total(plan, "first") == 132 - 16
    assert total(plan, "late") == 16


def test_running_items_keep_their_slots_when_half_of_the_workers_leave_and_return() -> None:
    running = dict.fromkeys(INCARNATIONS, 3)
    owners = {
        "a": OwnerDemand(running, [work(50, 66)]),
        "b": OwnerDemand(running, [work(50, 66)]),
    }
    half = dict.fromkeys(INCARNATIONS[:11], 6)
    for capacity in (CAPACITY, half, CAPACITY):
        plan = plan_slots(capacity, owners)
        check_capacity(plan, capacity)
        # The floor of "b" is planned first, then the running items of "a".
        assert all(plan.at("a", incarnation) >= 3 for incarnation in capacity)
    assert all(plan.at("b", incarnation) == 3 for incarnation in INCARNATIONS)


def test_owner_with_few_eligible_workers_gets_its_floor_there() -> None:
    few = INCARNATIONS[:2]
    owners = {
        "wide": OwnerDemand({}, [work(500, due_in_s=1.0)]),
        "few": OwnerDemand({}, [work(20, due_in_s=90.0, incarnations=few)]),
    }
    plan = plan_slots(CAPACITY, owners)
    assert sum(plan.at("few", incarnation) for incarnation in few) == 12
    assert total(plan, "wide") == 120


def test_new_work_uses_free_slots_before_it_displaces_running_items() -> None:
    running = {INCARNATIONS[0]: 6, INCARNATIONS[1]: 2}
    owners = {
        "runs": OwnerDemand(running, [work(0, 8, due_in_s=90.0)]),
        "urgent": OwnerDemand({}, [work(4, due_in_s=1.0)]),
    }
    plan = plan_slots({INCARNATIONS[0]: 6, INCARNATIONS[1]: 6}, owners)
    assert plan.at("runs", INCARNATIONS[0]) == 6
    assert plan.at("urgent", INCARNATIONS[1]) == 4


OWNER_DEMANDS = st.builds(
    OwnerDemand,
    st.dictionaries(st.sampled_from("uvwxyz"), st.integers(0, 9)),
    st.lists(
        st.builds(
            WorkDemand,
            st.integers(0, 2),
            st.sampled_from([-3.0, 0.0, 5.0, NO_DEADLINE]),
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
def test_every_slot_is_planned_exactly_once(
    capacity: dict[str, int], owners: dict[str, OwnerDemand]
) -> None:
    plan = plan_slots(capacity, owners)
    if owners:
        check_capacity(plan, capacity)
    assert all(count >= 0 for slots in plan.slots.values() for count in slots.values())
    assert plan == plan_slots(capacity, owners)


def plan_time_s(num_jobs: int, num_incarnations: int) -> float:
    incarnations = [f"e{index}@1" for index in range(num_incarnations)]
    owners = {
        f"o{index}": OwnerDemand(
            dict.fromkeys(incarnations, 1),
            [work(200, num_incarnations, due_in_s=float(index), incarnations=incarnations)],
        )
        for index in range(num_jobs)
    }
    start_s = time.perf_counter()
    plan_slots(dict.fromkeys(incarnations, 6), owners)
    return time.perf_counter() - start_s


if __name__ == "__main__":
    for size in ((4, 22), (16, 44), (64, 600)):
        print(size, f"{1000 * min(plan_time_s(*size) for _ in range(5)):.2f} ms")
