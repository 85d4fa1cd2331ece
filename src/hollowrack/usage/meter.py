"""Counter of the tenants' requests that workers began through this node."""

import asyncio

from hollowrack.usage.counts import UsageCounts
from hollowrack.usage.types import PushedCounts
from hollowrack.usage.wall_clock import WallClock

# Requests are counted at their end, and clocks of nodes differ; later counts may be too late.
WINDOW_GRACE_S = 2.5


class UsageMeter:
    """Counts requests by tenant and window for one process.

    Args:
        process: Name of this process.
        clock: Time of day, which determines the window of a request.
        window_s: Length of a window, in seconds; ``None`` if usage is not reported.
        keeps_decided: Whether counts of decided windows are kept for some time.

    Attributes:
        counts: The counts known to this node, including those of other processes.
        num_counted: Number of requests counted by this process.
        misdirected: For each process whose counts came with such a message, the value of
            ``num_misdirected`` after the last one.
        num_misdirected: Number of messages with counts whose sender knew another leader than this
            node, so that this node must push the counts to the leader.
        changed: Set whenever a request is counted or a misdirected message is received.
    """

    def __init__(
        self,
        process: str,
        clock: WallClock,
        window_s: float | None,
        keeps_decided: bool = False,
    ) -> None:
        self.num_counted = 0
        self.num_misdirected = 0
        self.misdirected: dict[str, int] = {}
        self.changed = asyncio.Event()
        self._process = process
        self.counts = UsageCounts(keeps_decided)
        self._clock = clock
        self._window_s = window_s

    def time_s(self) -> float:
        """Return the current time of day, in seconds since 1970."""
        return self._clock.time_s()

    def update_complete(self) -> int:
        """Record which windows this process has counted; returns the first one that is not."""
        if self._window_s is None:
            return 0
        before = int((self.time_s() - WINDOW_GRACE_S) // self._window_s)
        self.counts.record_complete(self._process, before)
        return before

    def receive(self, pushed: PushedCounts, leader: str | None) -> None:
        """Merge counts that another process has pushed.

        Args:
            pushed: The counts.
            leader: Name of the leader's process as known to this node; ``None`` if unknown.
        """
        for counts in pushed.counts:
            self.counts.merge(counts)
        if pushed.leader != leader:
            self.num_misdirected += 1
            for counts in pushed.counts:
                self.misdirected[counts.process] = self.num_misdirected
            self.changed.set()

    def remove_forwarded(self, num_misdirected: int) -> None:
        """Forget the processes of the first misdirected messages, as the leader has their counts.

        Args:
            num_misdirected: Value of the attribute when these counts were pushed to the leader.
        """
        self.misdirected = {
            process: number
            for process, number in self.misdirected.items()
            if number > num_misdirected
        }

    def record_request(self, tenant: str | None, begun_s: float) -> None:
        """Count a request that a worker has begun.

        Args:
            tenant: The request's tenant; requests without a tenant are not counted.
            begun_s: When the request was sent to the worker, in terms of :meth:`time_s`.
        """
        if tenant is None or self._window_s is None:
            return
        self.counts.add(self._process, int(begun_s // self._window_s), tenant)
        self.num_counted += 1
        self.changed.set()
