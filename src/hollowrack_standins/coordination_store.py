"""A coordination store in memory, with one view a node and the faults of a real one.

It keeps to the loop's clock, so that it runs on virtual time. Faults: refusals, silence, answers
lost after the write was done, writes done late, a dropped history of which waiting watches do not
hear, and leases that run out meanwhile.
"""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from hollowrack.coordination.store import (
    ABSENT_REVISION,
    NO_LEASE,
    Changes,
    Committed,
    Condition,
    Conflict,
    GrantedLease,
    HistoryGone,
    KeyChange,
    LeaseGone,
    Listing,
    NotDone,
    Put,
    RemovedKey,
    StoredItem,
    Unavailable,
    Unknown,
    WriteOutcome,
)

# Where jobs are kept.
JOBS_PREFIX = "hollowrack/jobs/"
LATENCY_S = 0.002
CALL_TIMEOUT_S = 1.0


@dataclass
class StoreFaults:
    """Switches for the faults of one node's view of the store.

    Attributes:
        refuses: Every call is refused; nothing is done.
        is_silent: Calls are neither done nor answered.
        num_lost_answers: The next writes are done and get no answer.
        num_late_writes: The next writes get no answer and are done late.
        late_by_s: How late.
        watch_grace_s: A watch that gets no answer is waited for this much longer than it was to
            take; ``None`` for as long as any other call.
    """

    refuses: bool = False
    is_silent: bool = False
    num_lost_answers: int = 0
    num_late_writes: int = 0
    late_by_s: float = 2.0
    watch_grace_s: float | None = None


class CoordinationStoreCore:
    """The store's content, its history and its leases."""

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.num_calls = 0
        self.num_watches = 0
        self.num_job_reads = 0
        self._history: list[KeyChange] = []
        self._forgotten_revision = 0
        self._lease_ends_s: dict[int, float] = {}
        self._lease_ttls_s: dict[int, float] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()

    def view(self, faults: StoreFaults | None = None) -> "CoordinationStoreStandin":
        """Return a node's access to the store, with faults of its own."""
        return CoordinationStoreStandin(self, faults or StoreFaults())

    def compact(self) -> None:
        """Drop the history; watches that wait hear of it with the next change only."""
        self._history.clear()
        self._forgotten_revision = self.revision

    def put_without_notifying(self, puts: Sequence[Put]) -> None:
        """Write so that watches which wait hear nothing, and drop the history."""
        changed, self._changed = self._changed, asyncio.Event()
        self.transact([], puts, [])
        self._changed = changed
        self.compact()

    def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str]
    ) -> WriteOutcome:
        """Do all writes if all conditions hold."""
        self._expire()
        if not all(self._holds(condition) for condition in conditions):
            keys = [condition.key for condition in conditions]
            return Conflict(tuple(self.items[key] for key in keys if key in self.items))
        if any(put.lease and put.lease not in self._lease_ends_s for put in puts):
            return LeaseGone()
        self.revision += 1
        for put in puts:
            self._write(put.key, StoredItem(put.key, put.value, self.revision, put.lease))
        for key in removes:
            if key in self.items:
                self._write(key, None)
        self._wake()
        return Committed(self.revision)

    def changes(self, prefix: str, after_revision: int) -> Changes | HistoryGone:
        """Return the changes below a prefix."""
        self._expire()
        if after_revision < self._forgotten_revision:
            return HistoryGone()
        found = [
            change
            for change in self._history
            if change.revision > after_revision and change.key.startswith(prefix)
        ]
        return Changes(tuple(found), self.revision)

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait until something is written or a lease may have run out."""
        next_end_s = min(self._lease_ends_s.values(), default=float("inf")) - _now_s()
        try:
            async with asyncio.timeout(max(0.0, min(wait_s, next_end_s))):
                await self._changed.wait()
        except TimeoutError:
            self._expire()

    def grant(self, ttl_s: float) -> GrantedLease:
        """Open a lease."""
        lease = next(self._lease_numbers)
        self._lease_ends_s[lease] = _now_s() + ttl_s
        self._lease_ttls_s[lease] = ttl_s
        return GrantedLease(lease, ttl_s)

    def renew(self, lease: int) -> GrantedLease | LeaseGone:
        """Renew a lease."""
        self._expire()
        if lease not in self._lease_ends_s:
            return LeaseGone()
        ttl_s = self._lease_ttls_s[lease]
        self._lease_ends_s[lease] = _now_s() + ttl_s
        return GrantedLease(lease, ttl_s)

    def end(self, lease: int) -> None:
        """End a lease with its keys."""
        self._lease_ends_s.pop(lease, None)
        gone = [key for key, item in self.items.items() if item.lease == lease != NO_LEASE]
        if gone:
            self.revision += 1
            for key in gone:
                self._write(key, None)
            self._wake()

    def _expire(self) -> None:
        now = _now_s()
        for lease in [lease for lease, end_s in self._lease_ends_s.items() if end_s <= now]:
            self.end(lease)

    def _holds(self, condition: Condition) -> bool:
        item = self.items.get(condition.key)
        return (ABSENT_REVISION if item is None else item.revision) == condition.revision

    def _write(self, key: str, item: StoredItem | None) -> None:
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self._history.append(RemovedKey(key, self.revision) if item is None else item)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class CoordinationStoreStandin:
    """One node's access; see :class:`hollowrack.coordination.store.CoordinationStore`."""

    def __init__(self, core: CoordinationStoreCore, faults: StoreFaults) -> None:
        self._core = core
        self.faults = faults

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key."""
        failure = await self._begin()
        return failure if failure is not None else self._core.items.get(key)

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix."""
        self._count_job_read(prefix)
        failure = await self._begin()
        if failure is not None:
            return failure
        found = [item for key, item in sorted(self._core.items.items()) if key.startswith(prefix)]
        return Listing(tuple(found), self._core.revision)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait for changes below a prefix."""
        self._core.num_watches += 1
        self._count_job_read(prefix)
        grace_s = self.faults.watch_grace_s
        failure = await self._begin(CALL_TIMEOUT_S if grace_s is None else wait_s + grace_s)
        if failure is not None:
            return failure
        end_s = _now_s() + wait_s
        while True:
            changes = self._core.changes(prefix, after_revision)
            if isinstance(changes, HistoryGone) or changes.items or _now_s() >= end_s:
                return changes
            await self._core.wait_for_change(end_s - _now_s())

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        """Do all writes if all conditions hold."""
        failure = await self._begin()
        if failure is not None:
            return failure
        if self.faults.num_late_writes:
            self.faults.num_late_writes -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_by_s, self._core.transact, conditions, puts, removes
            )
            return await _no_answer()
        outcome = self._core.transact(conditions, puts, removes)
        if self.faults.num_lost_answers:
            self.faults.num_lost_answers -= 1
            return await _no_answer()
        return outcome

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Open a lease."""
        failure = await self._begin()
        return failure if failure is not None else self._core.grant(ttl_s)

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease."""
        failure = await self._begin()
        return failure if failure is not None else self._core.renew(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        if await self._begin() is None:
            self._core.end(lease)

    def _count_job_read(self, prefix: str) -> None:
        self._core.num_job_reads += prefix.startswith(JOBS_PREFIX)

    async def _begin(self, timeout_s: float = CALL_TIMEOUT_S) -> Unavailable | None:
        self._core.num_calls += 1
        await asyncio.sleep(LATENCY_S)
        if self.faults.refuses:
            return NotDone("refused")
        return await _no_answer(timeout_s) if self.faults.is_silent else None


async def _no_answer(timeout_s: float = CALL_TIMEOUT_S) -> Unknown:
    await asyncio.sleep(timeout_s)
    return Unknown("no answer")


def _now_s() -> float:
    return asyncio.get_running_loop().time()
