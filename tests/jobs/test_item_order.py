"""Which groups a trainer needs, and in which order they are completed."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.dispatch_rank import Usefulness
from hollowrack.jobs.item_order import USABLE_FRACTION, CapacityForecast, ItemRank, order_items
from hollowrack.jobs.types import Job, JobItem

# Before the first items have ended nobody knows how fast they are.
UNKNOWN = CapacityForecast(time_left_s=7.0, num_slots=1, tokens_per_s=0.0)


def make_job(num_groups: int, num_desired: int, group_size: int = 2) -> Job:
    items = tuple(
        JobItem(f"g{group}.{index}", "/m/x", (), b"", f"g{group}")
        for group in range(num_groups)
        for index in range(group_size)
    )
    return Job("j", "h", "/m/", items, num_desired_groups=num_desired)


def places_of(
    job: Job, tokens: dict[str, int], outlook: CapacityForecast = UNKNOWN
) -> dict[str, ItemRank]:
    """The place of each group whose items have so many tokens left each."""
    left = {item.id: tokens[item.group] for item in job.items if item.group in tokens}
    places = order_items(job, left, outlook)
    return {item_id.partition(".")[0]: place for item_id, place in places.items()}


def surplus_of(job: Job, tokens: dict[str, int]) -> set[str]:
    return {group for group, place in places_of(job, tokens).items() if place.is_surplus}


def test_the_longest_groups_are_those_that_the_trainer_can_do_without() -> None:
    job = make_job(5, num_desired=4)
    tokens = {"g0": 90, "g1": 500, "g2": 10, "g3": 400, "g4": 20}
    places = places_of(job, tokens)
    assert sorted(places, key=lambda group: places[group].group_rank) == [
        "g2",
        "g4",
        "g0",
        "g3",
        "g1",
    ]
    # Two groups at the head may have been brought back: the trainer needs them, whatever they take.
    assert surplus_of(job, tokens) == {"g3"}


def test_a_group_that_came_back_is_needed_though_others_are_whole() -> None:
    job = make_job(5, num_desired=4)
    assert surplus_of(job, {"g0": 900, "g4": 10}) == {"g4"}


def test_a_surplus_group_is_needed_once_another_outgrows_its_estimate() -> None:
    job = make_job(4, num_desired=3)
    tokens = {"g0": 10, "g1": 10, "g2": 40, "g3": 50}
    assert surplus_of(job, tokens) == {"g3"}
    assert surplus_of(job, tokens | {"g2": 60}) == {"g2"}


def test_needed_groups_run_together_only_if_all_of_them_fit_the_time_left() -> None:
    job = make_job(4, num_desired=3)
    tokens = {"g0": 10, "g1": 30, "g2": 20, "g3": 50}
    # Two items a group: 120 tokens in the three groups that are needed.
    outlook = CapacityForecast(time_left_s=6.0 / USABLE_FRACTION, num_slots=2, tokens_per_s=10.0)
    together = places_of(job, tokens, outlook)
    assert [together[group].group_rank for group in ("g0", "g1", "g2")] == [0, 0, 0]
    assert together["g3"] == ItemRank(is_surplus=True, group_rank=4, group_time_s=5.0)
    in_turn = places_of(job, tokens, replace(outlook, num_slots=1))
    assert [in_turn[group].group_rank for group in ("g0", "g2", "g1")] == [1, 2, 3]


def test_a_group_whose_longest_item_takes_twice_the_time_left_comes_late() -> None:
    job = make_job(3, num_desired=2)
    outlook = CapacityForecast(time_left_s=4.0, num_slots=2, tokens_per_s=10.0)
    places = places_of(job, {"g0": 50, "g1": 30, "g2": 60}, outlook)
    assert places["g0"].usefulness(2.5) is Usefulness.IN_TIME
    assert {group: place.usefulness(2.4) for group, place in places.items()} == {
        "g0": Usefulness.LATE,
        "g1": Usefulness.IN_TIME,
        "g2": Usefulness.SURPLUS,
    }
    assert places["g1"].usefulness(1.4) is Usefulness.LATE


def test_a_job_that_is_never_due_runs_its_needed_groups_together() -> None:
    job = make_job(3, num_desired=2)
    never = CapacityForecast(time_left_s=float("inf"), num_slots=1, tokens_per_s=10.0)
    places = places_of(job, {"g0": 5000, "g1": 10, "g2": 9000}, never)
    assert places["g0"].group_rank == places["g1"].group_rank == 0
    assert places["g0"].usefulness(never.time_left_s) is Usefulness.IN_TIME
    assert places["g2"].is_surplus


def test_the_rest_is_surplus_once_enough_groups_are_whole() -> None:
    job = make_job(6, num_desired=2)
    assert surplus_of(job, {"g1": 10, "g3": 5}) == {"g1", "g3"}


def test_without_expected_lengths_groups_that_have_fewer_items_left_are_needed_first() -> None:
    job = make_job(3, num_desired=2)
    left = {item.id: 0 for item in job.items if item.id != "g2.0"}
    places = order_items(job, left, UNKNOWN)
    assert places["g2.1"] == ItemRank(is_surplus=False, group_rank=0)
    assert places["g0.0"] == ItemRank(is_surplus=False, group_rank=0)
    assert places["g1.0"] == ItemRank(is_surplus=True, group_rank=3)


def test_a_job_whose_trainer_waits_for_all_its_items_has_no_order_of_groups() -> None:
    job = replace(make_job(3, num_desired=0))
    assert set(places_of(job, {"g0": 1, "g1": 9, "g2": 5}).values()) == {ItemRank()}


@given(st.integers(1, 8), st.integers(0, 10), st.lists(st.integers(0, 99), max_size=16))
def test_no_item_is_dropped_and_never_too_few_groups_are_needed(
    num_groups: int, num_desired: int, tokens: list[int]
) -> None:
    job = make_job(num_groups, num_desired)
    left = {item.id: count for item, count in zip(job.items, tokens, strict=False)}
    places = order_items(job, left, UNKNOWN)
    assert places.keys() == left.keys()
    open_groups = {item.group for item in job.items if item.id in left}
    needed = {item.group for item in job.items if item.id in places} - {
        item.group for item in job.items if item.id in places and places[item.id].is_surplus
    }
    num_whole = num_groups - len(open_groups)
    assert num_whole + len(needed) >= min(num_groups, num_desired)
