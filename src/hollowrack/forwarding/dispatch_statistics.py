"""Counts what runs, is refused and how long work waits, at a cost that a hot path can bear."""

import bisect
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hollowrack.forwarding.back_end import NotRunReason

# From what nobody notices to a trainer's patience; half of the buckets lie around the few seconds
# within which results are due.
BUCKET_BOUNDS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class WaitKind(Enum):
    """What is waited for; the value is the label of the metric."""

    NODE_QUEUE = "node_queue"
    FIRST_EVENT = "first_event"
    WHOLE_ITEM = "whole_item"
    LISTING = "listing"


@dataclass
class WaitHistogram:
    """Waits counted by their length.

    Attributes:
        counts: Waits of each bucket; the last has no upper bound.
        sum_s: All waits together, in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1))
    sum_s: float = 0.0

    def record(self, seconds: float) -> None:
        """Count one wait."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class DispatchStatistics:
    """What one node has seen of its runs.

    Attributes:
        waits: Waits by place.
        num_running: Runs that have a place at a worker now, by service.
        num_refusals: Runs that workers certainly did not begin, by service and reason.
    """

    def __init__(self) -> None:
        self.waits = {place: WaitHistogram() for place in WaitKind}
        self.num_running: Counter[str] = Counter()
        self.num_refusals: Counter[tuple[str, NotRunReason]] = Counter()

    def record_wait(self, place: WaitKind, seconds: float) -> None:
        """Count one wait."""
        self.waits[place].record(seconds)
