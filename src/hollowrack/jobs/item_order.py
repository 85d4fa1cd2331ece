"""Order of the items of a job, by the groups that its trainer needs.

A trainer waits for most of the job's groups, not for all, and a group must be complete by the job's
deadline. If all needed groups fit the remaining time, they run concurrently, the longest item
first. Otherwise they are completed one after the other, those with the fewest tokens left first,
because run concurrently none would be complete in time. Groups that can no longer meet the deadline
rank below those that can, including those of other jobs: under sustained overload, each job would
otherwise wait for a group that is late already. Groups that the trainer does not need rank last.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isinf
from typing import NamedTuple

from hollowrack.forwarding.dispatch_rank import Usefulness
from hollowrack.jobs.types import Job

# Trainers resubmit unfinished groups at the head of a later job: at most this fraction of the
# groups that they wait for. Resubmitted groups are always needed.
MAX_RESUBMITTED_FRACTION = 0.5
# A group counts as late when the remaining time is below this fraction of the expected time of its
# longest item. Expected lengths are often twice the actual ones, and postponing a long item by
# mistake makes its group late.
LATE_FRACTION = 0.5
# Groups run one after the other only if the work exceeds the capacity by this factor. Below it, the
# longest items determine when a job is complete and must not wait.
OVERLOAD_FACTOR = 1.5
# Slots are idle while the last items run, and expected lengths are inaccurate.
USABLE_FRACTION = 0.9


@dataclass(frozen=True)
class ItemRank:
    """Rank of an item in the order of its job.

    Attributes:
        is_surplus: Whether the trainer does not need the item's group.
        group_rank: Rank of its group from 1; 0 for all needed groups if they run concurrently.
        group_time_s: Expected time left of the longest item of its group, in seconds; 0 if unknown.
    """

    is_surplus: bool = False
    group_rank: int = 0
    group_time_s: float = 0.0

    def usefulness(self, time_left_s: float) -> Usefulness:
        """Return how useful the item's result is if the item starts now.

        Args:
            time_left_s: Time until the job's deadline, in seconds.
        """
        if self.is_surplus:
            return Usefulness.SURPLUS
        is_late = time_left_s < LATE_FRACTION * self.group_time_s
        return Usefulness.LATE if is_late else Usefulness.IN_TIME


@dataclass(frozen=True)
class CapacityForecast:
    """Tokens that can be generated for a job before its deadline.

    Attributes:
        time_left_s: Time until the deadline, in seconds; infinite if there is none.
        num_slots: Slots that the job holds or could get now.
        tokens_per_s: Throughput of each slot; 0 while unknown.
    """

    time_left_s: float
    num_slots: int
    tokens_per_s: float

    def fits(self, num_tokens: int) -> bool:
        """Whether the tokens are at most ``OVERLOAD_FACTOR`` times the capacity in the time left.

        Always ``True`` without a deadline. With one, ``False`` while the throughput is unknown, so
        that a new node completes groups one by one.

        Args:
            num_tokens: Tokens to be generated.
        """
        if isinf(self.time_left_s):
            return True
        usable_s = USABLE_FRACTION * max(0.0, self.time_left_s)
        return num_tokens <= OVERLOAD_FACTOR * usable_s * self.num_slots * self.tokens_per_s

    def generation_time_s(self, num_tokens: int) -> float:
        """Time that one slot takes to generate these tokens, in seconds; 0 while unknown."""
        return num_tokens / self.tokens_per_s if self.tokens_per_s > 0.0 else 0.0


class _WorkLeft(NamedTuple):
    """Work left of a group, as a sort key: the lowest is nearest to complete."""

    num_tokens_left: int
    num_items_left: int
    position: int
    longest_item_tokens: int


def order_items(
    job: Job, tokens_left: Mapping[str, int], capacity: CapacityForecast
) -> dict[str, ItemRank]:
    """Return the rank of each unfinished item by its identifier.

    Args:
        job: The job.
        tokens_left: Tokens still expected of each unfinished item, by its identifier; 0 where
            unknown.
        capacity: Tokens that can be generated before the job's deadline.
    """
    if not job.num_desired_groups:
        return {item_id: ItemRank() for item_id in tokens_left}
    work_left = _work_left_by_group(job, tokens_left)
    by_work_left = sorted(work_left, key=lambda group: work_left[group])
    needed = _needed_groups(job, by_work_left, work_left)
    fit_together = capacity.fits(sum(work_left[group].num_tokens_left for group in needed))
    ranks = {
        group: ItemRank(
            group not in needed,
            0 if fit_together and group in needed else rank,
            capacity.generation_time_s(work_left[group].longest_item_tokens),
        )
        for rank, group in enumerate(by_work_left, start=1)
    }
    return {item.id: ranks[item.group] for item in job.items if item.id in tokens_left}


def _work_left_by_group(job: Job, tokens_left: Mapping[str, int]) -> dict[str, _WorkLeft]:
    """Work left of each group, in the order of the job."""
    left: defaultdict[str, list[int]] = defaultdict(list)
    for item in job.items:
        left[item.group] += [tokens_left[item.id]] if item.id in tokens_left else []
    return {
        group: _WorkLeft(sum(tokens), len(tokens), position, max(tokens, default=0))
        for position, (group, tokens) in enumerate(left.items())
    }


def _needed_groups(
    job: Job, by_work_left: Sequence[str], work_left: Mapping[str, _WorkLeft]
) -> frozenset[str]:
    """The groups that the trainer needs: the head of the job, then those nearest to complete."""
    num_head = int(job.num_desired_groups * MAX_RESUBMITTED_FRACTION)
    head = [group for group in by_work_left if work_left[group].position < num_head]
    others = [group for group in by_work_left if work_left[group].position >= num_head]
    return frozenset([*head, *others][: job.num_desired_groups])
