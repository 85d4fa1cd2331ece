"""Counts the requests of tenants that workers began by way of this node."""

import asyncio

from hollowrack.usage.counts import UsageCounts
from hollowrack.usage.wall_clock import WallClock


class UsageMeter:
    """Counts for one process.

    Args:
        process: Name of this process.
        clock: The time of day.
        window_s: Length of a window, in seconds; ``None`` where usage is not reported.

    Attributes:
        counts: What this node holds, of other processes as well.
        num_counted: How many requests were counted.
        changed: Set whenever one was.
    """

    def __init__(self, process: str, clock: WallClock, window_s: float | None) -> None:
        self.num_counted = 0
        self.changed = asyncio.Event()
        self._process = process
        self.counts = UsageCounts()
        self._clock = clock
        self._window_s = window_s

    def time_s(self) -> float:
        """Return the time of day at which a request goes to a worker, in seconds since 1970."""
        return self._clock.time_s()

    def record_request(self, tenant: str | None, begun_s: float) -> None:
        """A worker has begun a request.

        Args:
            tenant: Whose it is; requests of nobody are not counted.
            begun_s: When, as :meth:`time_s` tells it.
        """
        if tenant is None or self._window_s is None:
            return
        self.counts.add(self._process, int(begun_s // self._window_s), tenant)
        self.num_counted += 1
        self.changed.set()
