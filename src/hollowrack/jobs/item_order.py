"""Decides in which order the items of a job should run, from what its trainer waits for.

Answers the load of several jobs on too little room: each trainer waits for most of its groups, but
not for all, and a group is worth most to it if it is whole when the job is due. If all groups that
it waits for fit the time left, they run together, the longest item first, which ends them soonest.
If not, none would be whole in time that way: then they are completed one after the other, those
nearest to whole first. Groups that can no longer be whole in time make way for those that can, also
of other jobs: under lasting overload each job would otherwise wait for one that is late already.
Groups that the trainer can do without come last.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isinf
from typing import NamedTuple

from hollowrack.forwarding.dispatch_rank import Usefulness
from hollowrack.jobs.types import Job

# Trainers bring unfinished groups back at the head of a later job, at most half of those that they
# wait for, and need them whatever else is whole.
MAX_RETURNED_FRACTION = 0.5
# A group is taken for late once the time left is less than this share of what its longest item
# should take. Expected lengths are often twice what comes out, and a long item that is put back for
# nothing is the one that makes its group late.
LATE_FRACTION = 0.5
# Groups go one after the other only if the work is this many times what fits: below that the
# longest items, not the room, decide when a job is whole, and they must not wait.
OVERLOAD_FACTOR = 1.5
# Places stand idle while the last items run, and expected lengths are guesses.
USABLE_FRACTION = 0.9


@dataclass(frozen=True)
class ItemRank:
    """Place of an item in the order of its job.

    Attributes:
        is_surplus: Whether the trainer can do without the item's group.
        group_rank: Place of its group; 0 for all needed groups if they fit the time left.
        group_time_s: How long its group still takes at least, in seconds: its longest item.
    """

    is_surplus: bool = False
    group_rank: int = 0
    group_time_s: float = 0.0

    def usefulness(self, time_left_s: float) -> Usefulness:
        """Return what the item's result is worth, if it begins now.

        Args:
            time_left_s: Time until the job is due, in seconds.
        """
        if self.is_surplus:
            return Usefulness.SURPLUS
        is_late = time_left_s < LATE_FRACTION * self.group_time_s
        return Usefulness.LATE if is_late else Usefulness.IN_TIME


@dataclass(frozen=True)
class CapacityForecast:
    """What can be generated of a job until it is due.

    Attributes:
        time_left_s: Time until then, in seconds; infinite if it is never due.
        num_slots: How many places at workers the job has or may have now.
        tokens_per_s: How fast each generates; 0 while that is not known.
    """

    time_left_s: float
    num_slots: int
    tokens_per_s: float

    def fits(self, num_tokens: int) -> bool:
        """Whether all places can generate so many tokens in time, or nearly.

        They do not as long as the pace is unknown, so that a new node completes a group early.
        """
        if isinf(self.time_left_s):
            return True
        usable_s = USABLE_FRACTION * max(0.0, self.time_left_s)
        return num_tokens <= OVERLOAD_FACTOR * usable_s * self.num_slots * self.tokens_per_s

    def generation_time_s(self, num_tokens: int) -> float:
        """How long one place takes for so many tokens, in seconds; 0 while that is not known."""
        return num_tokens / self.tokens_per_s if self.tokens_per_s > 0.0 else 0.0


class _Nearness(NamedTuple):
    """How far a group is from being whole; the lowest is nearest."""

    num_tokens_left: int
    num_items_left: int
    position: int
    num_longest: int


def order_items(
    job: Job, tokens_left: Mapping[str, int], capacity: CapacityForecast
) -> dict[str, ItemRank]:
    """Return the place of each unfinished item.

    Args:
        job: The job.
        tokens_left: Tokens still expected of each unfinished item, by its identifier; 0 where that
            is not known.
        capacity: What can be generated of the job until it is due.
    """
    if not job.num_desired_groups:
        return {item_id: ItemRank() for item_id in tokens_left}
    distances = _distances(job, tokens_left)
    nearest_first = sorted(distances, key=lambda group: distances[group])
    needed = _needed_groups(job, nearest_first, distances)
    fit_together = capacity.fits(sum(distances[group].num_tokens_left for group in needed))
    places = {
        group: ItemRank(
            group not in needed,
            0 if fit_together and group in needed else place,
            capacity.generation_time_s(distances[group].num_longest),
        )
        for place, group in enumerate(nearest_first, start=1)
    }
    return {item.id: places[item.group] for item in job.items if item.id in tokens_left}


def _distances(job: Job, tokens_left: Mapping[str, int]) -> dict[str, _Nearness]:
    """How far each group is from being whole, in the order of the job."""
    left: defaultdict[str, list[int]] = defaultdict(list)
    for item in job.items:
        left[item.group] += [tokens_left[item.id]] if item.id in tokens_left else []
    return {
        group: _Nearness(sum(tokens), len(tokens), position, max(tokens, default=0))
        for position, (group, tokens) in enumerate(left.items())
    }


def _needed_groups(
    job: Job, order: Sequence[str], distances: Mapping[str, _Nearness]
) -> frozenset[str]:
    """The groups that the trainer should get: the head of the job, then the nearest to whole."""
    num_head = int(job.num_desired_groups * MAX_RETURNED_FRACTION)
    head = [group for group in order if distances[group].position < num_head]
    others = [group for group in order if distances[group].position >= num_head]
    return frozenset([*head, *others][: job.num_desired_groups])
