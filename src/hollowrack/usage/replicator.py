"""Hands this node's counts to the leader, which reports them, and to one more node.

A process may end at any moment, so what it has counted leaves it soon. The other node hands what it
holds to the next leader, so that the loss of the leader loses no count.
"""

import asyncio
import contextlib
from collections.abc import Callable

from hollowrack.clock import now_s
from hollowrack.tasks import cancel_all
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.types import PushedCounts, UsagePeers

# Requests that begin close together leave by one message.
BATCH_INTERVAL_S = 0.2
# A new leader is seen by the node within this time after its entry.
POLL_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.5


class UsageReplicator:
    """Keeps a few other nodes informed.

    Args:
        process: Name of this process.
        meter: Holds the counts, and tells when there are more.
        targets: Returns the processes to be informed, with their addresses.
        leader: Returns the process that leads, if that is known.
        peers: Hands counts over.
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
        self._informed_leader: str | None = None
        self._peers = peers
        # How many of this process's requests each target knows of.
        self._num_told: dict[str, int] = {}
        self._retry_from_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start informing."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop informing, once what is held has been handed over if that is possible at once."""
        await cancel_all(self._task)
        await self._inform()

    async def abandon(self) -> None:
        """Stop at once, as a crash would."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._meter.changed.wait()
                    await asyncio.sleep(BATCH_INTERVAL_S)
            self._meter.changed.clear()
            await self._inform()

    async def _inform(self) -> None:
        targets = self._targets()
        leader = self._leader()
        self._num_told = {
            process: number
            for process, number in self._num_told.items()
            if process in targets and (process != leader or leader == self._informed_leader)
        }
        self._informed_leader = leader
        await asyncio.gather(
            *(self._tell(process, address) for process, address in targets.items())
        )

    async def _tell(self, process: str, address: str) -> None:
        num_counted = self._meter.num_counted
        num_told = self._num_told.get(process)
        if num_told == num_counted or now_s() < self._retry_from_s.get(process, 0.0):
            return
        # A new leader is told all, also of processes that may have ended.
        is_new = num_told is None
        counts = self._counts.all() if is_new else (self._counts.of(self._process),)
        counts = tuple(one for one in counts if one.windows)
        if counts and not await self._peers.push(address, PushedCounts(counts)):
            self._retry_from_s[process] = now_s() + RETRY_INTERVAL_S
            return
        self._num_told[process] = num_counted
