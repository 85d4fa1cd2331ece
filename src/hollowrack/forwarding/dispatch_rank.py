"""The order in which waiting work is given places at workers."""

from enum import IntEnum
from typing import NamedTuple

NEVER_DUE_S = float("inf")


class WorkKind(IntEnum):
    """Who waits for the work; lower values go first at equal priority."""

    CALLER_STREAM = 0
    JOB_ITEM = 1


class Usefulness(IntEnum):
    """What the result of waiting work is worth; lower values go first at equal priority."""

    IN_TIME = 0
    LATE = 1
    SURPLUS = 2


class DispatchRank(NamedTuple):
    """What decides who goes first, compared field by field; the lowest goes first.

    Attributes:
        priority: Priority of the route, 0 first.
        kind: A caller reads its stream now and goes before items.
        usefulness: Results that come late are worth less, those that a trainer can do without
            nothing for now; neither should make others late.
        due_s: When the job's results are due, on the loop's clock; where its groups run together,
            when the item has to begin for that.
        sequence: Number of the job on this node; of jobs that are due together the earlier goes
            first.
        group_rank: Place of the item's group among those of its job.
        minus_tokens_left: Tokens still expected, negated: the longest item of a group goes first,
            as what starts last should not be what takes longest.
    """

    priority: int
    kind: WorkKind = WorkKind.CALLER_STREAM
    usefulness: Usefulness = Usefulness.IN_TIME
    due_s: float = NEVER_DUE_S
    sequence: int = 0
    group_rank: int = 0
    minus_tokens_left: int = 0
