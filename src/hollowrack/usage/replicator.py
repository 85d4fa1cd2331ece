"""Replication of this node's usage counts to the leader, which reports them, and to one more node.

Counts are replicated soon, as a process may end at any time. The second node pushes them to the
next leader, so that no count is lost with the leader. It also pushes counts of a process that does
not know the current leader, since that process may end before it does.
"""

import asyncio
import contextlib
from collections.abc import Callable

from hollowrack.clock import now_s
from hollowrack.tasks import cancel_all
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.types import PushedCounts, UsagePeers

# Counts made within this interval are sent in one message.
BATCH_INTERVAL_S = 0.2
# Longest time until a new leader is noticed.
POLL_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.5


class UsageReplicator:
    """Pushes this process's counts, and to a new leader all known counts, to other processes.

    Args:
        process: Name of this process.
        meter: Provides the counts and signals new ones.
        targets: Returns the addresses of the processes to push to, by process name.
        leader: Returns the name of the leader's process; ``None`` if unknown.
        peers: Pushes counts to other nodes.
    """

    def __init__(
        self,
        process: str,
        meter: UsageMeter,
        targets: Callable[[], dict[str, str]],
        leader: Callable[[], str | None],
        peers: UsagePeers,
    ) -> None:
        self._process = process
        self._counts = meter.counts
        self._meter = meter
        self._targets = targets
        self._leader = leader
        self._last_leader: str | None = None
        self._peers = peers
        # Number of this process's requests that each target has acknowledged.
        self._num_pushed: dict[str, int] = {}
        # The first window whose counts may be incomplete, as the leader has acknowledged it.
        self._complete_pushed = 0
        # Number of misdirected messages whose counts the leader has acknowledged.
        self._num_forwarded = 0
        self._retry_from_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start pushing counts."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop after one last attempt to push all counts."""
        await cancel_all(self._task)
        await self._push_all()

    async def abandon(self) -> None:
        """Stop without pushing, as in a crash; for tests."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._meter.changed.wait()
                    await asyncio.sleep(BATCH_INTERVAL_S)
            self._meter.changed.clear()
            await self._push_all()

    async def _push_all(self) -> None:
        targets = self._targets()
        leader = self._leader()
        self._num_pushed = {
            process: number
            for process, number in self._num_pushed.items()
            if process in targets and (process != leader or leader == self._last_leader)
        }
        if leader != self._last_leader:
            self._complete_pushed = 0
        self._last_leader = leader
        await asyncio.gather(
            *(self._push(process, address) for process, address in targets.items())
        )

    async def _push(self, process: str, address: str) -> None:
        num_counted = self._meter.num_counted
        num_pushed = self._num_pushed.get(process)
        complete_before = self._meter.update_complete()
        # Only the leader, which decides windows, must know which counts are complete.
        is_leader = process == self._last_leader
        num_misdirected = self._meter.num_misdirected
        must_forward = is_leader and num_misdirected > self._num_forwarded
        must_push = (
            num_pushed != num_counted
            or must_forward
            or (is_leader and complete_before > self._complete_pushed)
        )
        if not must_push or now_s() < self._retry_from_s.get(process, 0.0):
            return
        # A new target gets all counts, including those of processes that may have ended.
        must_push_all = num_pushed is None or must_forward
        counts = self._counts.all() if must_push_all else (self._counts.of(self._process),)
        counts = tuple(entry for entry in counts if entry.windows or entry.complete_before)
        pushed = PushedCounts(counts, self._last_leader or "")
        if counts and not await self._peers.push(address, pushed):
            self._retry_from_s[process] = now_s() + RETRY_INTERVAL_S
            return
        self._num_pushed[process] = num_counted
        if is_leader:
            self._complete_pushed = complete_before
            self._num_forwarded = num_misdirected
