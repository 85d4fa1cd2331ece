"""Replication of this node's usage counts to the leader, which reports them, and to one more node.

Counts are replicated soon, as a process may end at any time. The second node pushes them to the
next leader, so that no count is lost with the leader. It also pushes counts of a process that does
not know the current leader, since that process may end before it does.

If the delay of reports is bounded, a process that may not reach the current leader pushes its
counts to several processes and names no leader, so that each of them pushes the counts on to the
leader that it knows. These processes may be of an earlier version. It also pushes to several
processes while one of its targets does not acknowledge the counts.
"""

import asyncio
import contextlib
from collections.abc import Callable

from hollowrack.clock import now_s
from hollowrack.tasks import cancel_all
from hollowrack.usage.meter import UsageMeter
from hollowrack.usage.types import ProcessCounts, PushedCounts, UsagePeers

# Counts made within this interval are sent in one message.
BATCH_INTERVAL_S = 0.2
# Longest time until a new leader is noticed.
POLL_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.5
# Number of processes besides the leader that get the counts if the leader may not get them. With a
# third of the processes refused by the store, all four are refused in one of 100 cases.
NUM_FALLBACKS = 4
# Interval between messages to each of the additional processes.
ADDITIONAL_PUSH_INTERVAL_S = 0.5


class UsageReplicator:
    """Pushes this process's counts, and to a new leader all known counts, to other processes.

    Args:
        process: Name of this process.
        meter: Provides the counts and signals new ones.
        targets: Returns the addresses of the processes to push to, by process name: the leader and
            a number of others, the preferred one first.
        leader: Returns the name of the leader's process; ``None`` if unknown.
        peers: Pushes counts to other nodes.
        may_lack_leader: Whether this node's view may lack a newer leader; ``None`` if counts are
            always pushed to the known leader and one other process.
    """

    def __init__(
        self,
        process: str,
        meter: UsageMeter,
        targets: Callable[[int], dict[str, str]],
        leader: Callable[[], str | None],
        peers: UsagePeers,
        may_lack_leader: Callable[[], bool] | None = None,
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
        # The first window whose counts may be incomplete, as each target has acknowledged it.
        self._complete_pushed: dict[str, int] = {}
        self._may_lack_leader = may_lack_leader
        # Targets that did not acknowledge the last message to them.
        self._unreached: set[str] = set()
        # Whether the leader may not get the counts that are pushed to it.
        self._is_leader_unsure = False
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
        leader = self._leader()
        if leader != self._last_leader:
            self._complete_pushed.clear()
        if leader in {self._process, None} or leader != self._last_leader:
            # A new leader gets all counts.
            self._meter.misdirected.clear()
        is_bounded = self._may_lack_leader is not None
        self._is_leader_unsure = self._may_lack_leader is not None and (
            self._may_lack_leader() or leader in self._unreached
        )
        must_add = self._is_leader_unsure or (is_bounded and bool(self._unreached))
        targets = self._targets(NUM_FALLBACKS if must_add else 1)
        self._unreached &= targets.keys()
        self._num_pushed = {
            process: number
            for process, number in self._num_pushed.items()
            if process in targets and (process != leader or leader == self._last_leader)
        }
        self._last_leader = leader
        others = [process for process in targets if process != leader]
        await asyncio.gather(
            *(
                self._push(process, address, is_additional=process in others[1:])
                for process, address in targets.items()
            )
        )

    async def _push(self, process: str, address: str, is_additional: bool) -> None:
        num_counted = self._meter.num_counted
        num_pushed = self._num_pushed.get(process)
        complete_before = self._meter.update_complete()
        # The leader, which decides windows, must know which counts are complete.
        is_leader = process == self._last_leader
        must_state_complete = is_leader or self._is_leader_unsure
        num_misdirected = self._meter.num_misdirected
        must_forward = is_leader and num_misdirected > self._num_forwarded
        must_push = (
            num_pushed != num_counted
            or must_forward
            or (must_state_complete and complete_before > self._complete_pushed.get(process, 0))
        )
        if not must_push or now_s() < self._retry_from_s.get(process, 0.0):
            return
        counts = self._counts_for(is_new=num_pushed is None, must_forward=must_forward)
        named_leader = None if self._is_leader_unsure else self._last_leader
        pushed = PushedCounts(counts, named_leader or "")
        is_acknowledged = not counts or await self._peers.push(address, pushed)
        if not is_acknowledged:
            self._unreached.add(process)
            self._retry_from_s[process] = now_s() + RETRY_INTERVAL_S
            return
        self._unreached.discard(process)
        self._num_pushed[process] = num_counted
        if must_state_complete:
            self._complete_pushed[process] = complete_before
        if is_leader:
            self._num_forwarded = num_misdirected
            self._meter.remove_forwarded(num_misdirected)
        if is_additional:
            self._retry_from_s[process] = now_s() + ADDITIONAL_PUSH_INTERVAL_S

    def _counts_for(self, is_new: bool, must_forward: bool) -> tuple[ProcessCounts, ...]:
        """Return the counts to push to a target.

        Args:
            is_new: Whether the target is new; it gets all counts, including those of processes that
                may have ended.
            must_forward: Whether the target must get the counts of misdirected messages.
        """
        if is_new or (must_forward and self._may_lack_leader is None):
            counts = self._counts.all()
        else:
            forwarded = [
                self._counts.of(process)
                for process, number in self._meter.misdirected.items()
                if must_forward and number > self._num_forwarded and process != self._process
            ]
            counts = (self._counts.of(self._process), *forwarded)
        return tuple(entry for entry in counts if entry.windows or entry.complete_before)
