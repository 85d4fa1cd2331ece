"""Scheduling order of work that waits for slots at workers."""

from enum import IntEnum
from typing import NamedTuple

NO_DEADLINE_S = float("inf")


class WorkKind(IntEnum):
    """Origin of the work; lower values go first at equal priority."""

    CALLER_STREAM = 0
    JOB_ITEM = 1


class Usefulness(IntEnum):
    """Value of the result of waiting work; lower values go first at equal priority."""

    IN_TIME = 0
    LATE = 1
    SURPLUS = 2


class DispatchRank(NamedTuple):
    """Sort key of waiting work, compared field by field; the lowest goes first.

    Attributes:
        priority: Priority of the route, 0 is the highest.
        kind: Streams of callers go before items of jobs.
        usefulness: Work whose result is late, or that the trainer does not need for now, goes after
            the rest, so that it delays no other work.
        due_s: When the job's results are due, on the loop's clock; for a job whose groups run
            concurrently, the latest start of the item with which its result is in time.
        sequence: Number of the job on this node; of jobs with the same due time the earlier one
            goes first.
        group_rank: Rank of the item's group within its job.
        negated_tokens_left: Expected number of remaining tokens, negated: the longest item of a
            group starts first.
    """

    priority: int
    kind: WorkKind = WorkKind.CALLER_STREAM
    usefulness: Usefulness = Usefulness.IN_TIME
    due_s: float = NO_DEADLINE_S
    sequence: int = 0
    group_rank: int = 0
    negated_tokens_left: int = 0
