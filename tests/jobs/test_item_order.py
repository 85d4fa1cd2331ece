"""Guards against a wrong choice or order of the groups that a trainer needs."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.dispatch_rank import Usefulness
from hollowrack.jobs.item_order import USABLE_FRACTION, CapacityForecast, ItemRank, order_items
from hollowrack.jobs.types import Job, JobItem

# The throughput is unknown before the first items have finished.
UNKNOWN_THROUGHPUT = CapacityForecast(time_left_s=7.0, num_slots=1, tokens_per_s=0.0)


def make_job(num_groups: int, num_desired: int, group_size: int = 2) -> Job:
    items = tuple(
        JobItem(f"g{group}.{index}", "/m/x", (), b"", f"g{group}")
        for group in range(num_groups)
        for index in range(group_size)
    )
    return Job("j", "h", "/m/", items, num_desired_groups=num_desired)


def ranks_by_group(
    job: Job, tokens: dict[str, int], capacity: CapacityForecast = UNKNOWN_THROUGHPUT
) -> dict[str, ItemRank]:
    """Ranks by group, given the tokens left of each item of a group."""
    left = {item.id: tokens[item.group] for item in job.items if item.group in tokens}
    ranks = order_items(job, left, capacity)
    return {item_id.partition(".")[0]: rank for item_id, rank in ranks.items()}


def surplus_groups(job: Job, tokens: dict[str, int]) -> set[str]:
    return {group for group, rank in ranks_by_group(job, tokens).items() if rank.is_surplus}


def test_the_longest_groups_are_surplus() -> None:
    job = make_job(5, num_desired=4)
    tokens = {"g0": 90, "g1": 500, "g2": 10, "g3": 400, "g4": 20}
    ranks = ranks_by_group(job, tokens)
    assert sorted(ranks, key=lambda group: ranks[group].group_rank) == [
        "g2",
        "g4",
        "g0",
        "g3",
        "g1",
    ]
    # The first two groups may be resubmitted ones, which are needed whatever their length.
    assert surplus_groups(job, tokens) == {"g3"}


def test_a_resubmitted_group_is_needed_even_if_others_are_complete() -> None:
    job = make_job(5, num_desired=4)
    assert surplus_groups(job, {"g0": 900, "g4": 10}) == {"g4"}


def test_a_surplus_group_becomes_needed_when_another_grows_longer() -> None:
    job = make_job(4, num_desired=3)
    tokens = {"g0": 10, "g1": 10, "g2": 40, "g3": 50}
    assert surplus_groups(job, tokens) == {"g3"}
    assert surplus_groups(job, tokens | {"g2": 60}) == {"g2"}


def test_needed_groups_run_concurrently_only_if_all_fit_the_time_left() -> None:
    job = make_job(4, num_desired=3)
    tokens = {"g0": 10, "g1": 30, "g2": 20, "g3": 50}
    # Two items per group: 120 tokens in the three needed groups.
    capacity = CapacityForecast(time_left_s=6.0 / USABLE_FRACTION, num_slots=2, tokens_per_s=10.0)
    concurrent = ranks_by_group(job, tokens, capacity)
    assert [concurrent[group].group_rank for group in ("g0", "g1", "g2")] == [0, 0, 0]
    assert concurrent["g3"] == ItemRank(is_surplus=True, group_rank=4, group_time_s=5.0)
    sequential = ranks_by_group(job, tokens, replace(capacity, num_slots=1))
    assert [sequential[group].group_rank for group in ("g0", "g2", "g1")] == [1, 2, 3]


def test_a_group_is_late_if_its_longest_item_takes_twice_the_time_left() -> None:
    job = make_job(3, num_desired=2)
    capacity = CapacityForecast(time_left_s=4.0, num_slots=2, tokens_per_s=10.0)
    ranks = ranks_by_group(job, {"g0": 50, "g1": 30, "g2": 60}, capacity)
    assert ranks["g0"].usefulness(2.5) is Usefulness.IN_TIME
    assert {group: rank.usefulness(2.4) for group, rank in ranks.items()} == {
        "g0": Usefulness.LATE,
        "g1": Usefulness.IN_TIME,
        "g2": Usefulness.SURPLUS,
    }
    assert ranks["g1"].usefulness(1.4) is Usefulness.LATE


def test_a_job_without_deadline_runs_its_needed_groups_concurrently() -> None:
    job = make_job(3, num_desired=2)
    no_deadline = CapacityForecast(time_left_s=float("inf"), num_slots=1, tokens_per_s=10.0)
    ranks = ranks_by_group(job, {"g0": 5000, "g1": 10, "g2": 9000}, no_deadline)
    assert ranks["g0"].group_rank == ranks["g1"].group_rank == 0
    assert ranks["g0"].usefulness(no_deadline.time_left_s) is Usefulness.IN_TIME
    assert ranks["g2"].is_surplus


def test_remaining_groups_are_surplus_once_enough_are_complete() -> None:
    job = make_job(6, num_desired=2)
    assert surplus_groups(job, {"g1": 10, "g3": 5}) == {"g1", "g3"}


def test_without_expected_lengths_groups_with_fewer_items_left_are_needed_first() -> None:
    job = make_job(3, num_desired=2)
    left = {item.id: 0 for item in job.items if item.id != "g2.0"}
    ranks = order_items(job, left, UNKNOWN_THROUGHPUT)
    assert ranks["g2.1"] == ItemRank(is_surplus=False, group_rank=0)
    assert ranks["g0.0"] == ItemRank(is_surplus=False, group_rank=0)
    assert ranks["g1.0"] == ItemRank(is_surplus=True, group_rank=3)


def test_a_job_whose_trainer_waits_for_all_items_does_not_rank_groups() -> None:
    job = replace(make_job(3, num_desired=0))
    assert set(ranks_by_group(job, {"g0": 1, "g1": 9, "g2": 5}).values()) == {ItemRank()}


@given(st.integers(1, 8), st.integers(0, 10), st.lists(st.integers(0, 99), max_size=16))
def test_every_item_has_a_rank_and_enough_groups_are_needed(
    num_groups: int, num_desired: int, tokens: list[int]
) -> None:
    job = make_job(num_groups, num_desired)
    left = {item.id: count for item, count in zip(job.items, tokens, strict=False)}
    ranks = order_items(job, left, UNKNOWN_THROUGHPUT)
    assert ranks.keys() == left.keys()
    open_groups = {item.group for item in job.items if item.id in left}
    needed = {item.group for item in job.items if item.id in ranks} - {
        item.group for item in job.items if item.id in ranks and ranks[item.id].is_surplus
    }
    num_complete = num_groups - len(open_groups)
    assert num_complete + len(needed) >= min(num_groups, num_desired)
