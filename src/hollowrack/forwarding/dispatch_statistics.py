"""Counters of running and refused runs and histograms of waits, cheap enough for hot paths."""

import bisect
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from hollowrack.forwarding.back_end import NotRunReason

# From waits that callers do not notice to the longest that trainers accept; finest around the few
# seconds within which results are due.
BUCKET_BOUNDS_S = (0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class WaitKind(Enum):
    """What work waits for; the value is the label of the metric.

    Attributes:
        NODE_QUEUE: A slot at a worker, in the queue of this node.
        FIRST_EVENT: The first event from the worker of an attempt.
        WHOLE_ITEM: The end of an item of a job, from its start on this node.
        LISTING: The listing of the result of an item that has ended.
    """

    NODE_QUEUE = "node_queue"
    FIRST_EVENT = "first_event"
    WHOLE_ITEM = "whole_item"
    LISTING = "listing"


@dataclass
class WaitHistogram:
    """Histogram of the lengths of waits.

    Attributes:
        counts: Number of waits per bucket of :data:`BUCKET_BOUNDS_S`; the last is unbounded.
        sum_s: Sum of all waits, in seconds.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1))
    sum_s: float = 0.0

    def record(self, seconds: float) -> None:
        """Record one wait, in seconds."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class DispatchStatistics:
    """Statistics of the runs of one node.

    Attributes:
        waits: Histogram for each kind of wait.
        num_running: Number of runs that currently have a slot at a worker, by service.
        num_refusals: Number of attempts that workers certainly did not run, by service and reason.
    """

    def __init__(self) -> None:
        self.waits = {kind: WaitHistogram() for kind in WaitKind}
        self.num_running: Counter[str] = Counter()
        self.num_refusals: Counter[tuple[str, NotRunReason]] = Counter()

    def record_wait(self, kind: WaitKind, seconds: float) -> None:
        """Record one wait, in seconds."""
        self.waits[kind].record(seconds)
