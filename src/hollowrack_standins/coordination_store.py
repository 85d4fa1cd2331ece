"""In-memory coordination store with a client and faults per node.

It uses the clock of the event loop, so that tests can run on virtual time. Faults: refused calls,
unanswered calls, writes whose answers are lost, delayed writes, and a compaction that waiting
watches are not notified of. Leases expire.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
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

JOBS_PREFIX = "hollowrack/jobs/"
LATENCY_S = 0.002
CALL_TIMEOUT_S = 1.0


@dataclass
class StoreFaults:
    """Faults of one node's access to the store.

    Attributes:
        refuses: Whether every call is refused without effect.
        is_silent: Whether every call times out without effect.
        delay_s: Additional time before every call takes effect, in seconds.
        num_lost_answers: Number of next writes that take effect and time out.
        num_late_writes: Number of next writes that time out and take effect later.
        late_by_s: Delay of such writes, in seconds.
        watch_grace_s: Time after a watch's ``wait_s`` at which a silent watch times out, in
            seconds; ``None`` for the timeout of the other calls.
    """

    refuses: bool = False
    is_silent: bool = False
    delay_s: float = 0.0
    num_lost_answers: int = 0
    num_late_writes: int = 0
    late_by_s: float = 2.0
    watch_grace_s: float | None = None


class CoordinationStoreCore:
    """Content, history and leases of the store, shared by all nodes.

    Attributes:
        num_calls: Number of calls of all nodes, including those that failed.
        num_watches: Number of calls that watch a prefix.
        num_job_reads: Number of listings and watches of job keys.
        on_write: Called with each change of a key; ``None`` for nobody.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.num_calls = 0
        self.num_watches = 0
        self.num_job_reads = 0
        self.on_write: Callable[[KeyChange], None] | None = None
        self._history: list[KeyChange] = []
        self._compacted_revision = 0
        self._lease_expiries_s: dict[int, float] = {}
        self._lease_ttls_s: dict[int, float] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()

    def make_client(self, faults: StoreFaults | None = None) -> "CoordinationStoreStandin":
        """Return one node's client of the store; ``faults`` is ``None`` for no faults."""
        return CoordinationStoreStandin(self, faults or StoreFaults())

    def compact(self) -> None:
        """Discard the history; waiting watches are not notified until the next change."""
        self._history.clear()
        self._compacted_revision = self.revision

    def put_without_notifying(self, puts: Sequence[Put]) -> None:
        """Write without notifying waiting watches, then compact."""
        changed, self._changed = self._changed, asyncio.Event()
        self.transact([], puts, [])
        self._changed = changed
        self.compact()

    def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str]
    ) -> WriteOutcome:
        """Apply all writes atomically if all conditions hold."""
        self._expire_leases()
        if not all(self._is_met(condition) for condition in conditions):
            keys = [condition.key for condition in conditions]
            return Conflict(tuple(self.items[key] for key in keys if key in self.items))
        if any(put.lease and put.lease not in self._lease_expiries_s for put in puts):
            return LeaseGone()
        self.revision += 1
        for put in puts:
            self._write(put.key, StoredItem(put.key, put.value, self.revision, put.lease))
        for key in removes:
            if key in self.items:
                self._write(key, None)
        self._notify_watches()
        return Committed(self.revision)

    def changes(self, prefix: str, after_revision: int) -> Changes | HistoryGone:
        """Return the changes of keys with a prefix after a revision."""
        self._expire_leases()
        if after_revision < self._compacted_revision:
            return HistoryGone()
        matching = [
            change
            for change in self._history
            if change.revision > after_revision and change.key.startswith(prefix)
        ]
        return Changes(tuple(matching), self.revision)

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for a write or for the next expiry of a lease, at most ``wait_s`` seconds."""
        next_expiry_s = min(self._lease_expiries_s.values(), default=float("inf")) - _now_s()
        try:
            async with asyncio.timeout(max(0.0, min(wait_s, next_expiry_s))):
                await self._changed.wait()
        except TimeoutError:
            self._expire_leases()

    def grant(self, ttl_s: float) -> GrantedLease:
        """Grant a lease of ``ttl_s`` seconds."""
        lease = next(self._lease_ids)
        self._lease_expiries_s[lease] = _now_s() + ttl_s
        self._lease_ttls_s[lease] = ttl_s
        return GrantedLease(lease, ttl_s)

    def renew(self, lease: int) -> GrantedLease | LeaseGone:
        """Renew a lease for its full lifetime."""
        self._expire_leases()
        if lease not in self._lease_expiries_s:
            return LeaseGone()
        ttl_s = self._lease_ttls_s[lease]
        self._lease_expiries_s[lease] = _now_s() + ttl_s
        return GrantedLease(lease, ttl_s)

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._lease_expiries_s.pop(lease, None)
        removed_keys = [key for key, item in self.items.items() if item.lease == lease != NO_LEASE]
        if removed_keys:
            self.revision += 1
            for key in removed_keys:
                self._write(key, None)
            self._notify_watches()

    def _expire_leases(self) -> None:
        now_s = _now_s()
        for lease in [
            lease for lease, expiry_s in self._lease_expiries_s.items() if expiry_s <= now_s
        ]:
            self.end(lease)

    def _is_met(self, condition: Condition) -> bool:
        item = self.items.get(condition.key)
        return (ABSENT_REVISION if item is None else item.revision) == condition.revision

    def _write(self, key: str, item: StoredItem | None) -> None:
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        change = RemovedKey(key, self.revision) if item is None else item
        self._history.append(change)
        if self.on_write is not None:
            self.on_write(change)

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class CoordinationStoreStandin:
    """One node's client of the store, with its own faults.

    Implements :class:`hollowrack.coordination.store.CoordinationStore`.
    """

    def __init__(self, core: CoordinationStoreCore, faults: StoreFaults) -> None:
        self._core = core
        self.faults = faults

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Return the item at a key; ``None`` if there is none."""
        failure = await self._start_call()
        return failure if failure is not None else self._core.items.get(key)

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Return all items whose keys have a prefix."""
        self._count_job_read(prefix)
        failure = await self._start_call()
        if failure is not None:
            return failure
        matching = [
            item for key, item in sorted(self._core.items.items()) if key.startswith(prefix)
        ]
        return Listing(tuple(matching), self._core.revision)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Return the changes after a revision; waits for the first one up to ``wait_s`` seconds."""
        self._core.num_watches += 1
        self._count_job_read(prefix)
        margin_s = self.faults.watch_grace_s
        failure = await self._start_call(CALL_TIMEOUT_S if margin_s is None else wait_s + margin_s)
        if failure is not None:
            return failure
        deadline_s = _now_s() + wait_s
        while True:
            changes = self._core.changes(prefix, after_revision)
            if isinstance(changes, HistoryGone) or changes.items or _now_s() >= deadline_s:
                return changes
            await self._core.wait_for_change(deadline_s - _now_s())

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        """Apply all writes atomically if all conditions hold."""
        failure = await self._start_call()
        if failure is not None:
            return failure
        if self.faults.num_late_writes:
            self.faults.num_late_writes -= 1
            asyncio.get_running_loop().call_later(
                self.faults.late_by_s, self._core.transact, conditions, puts, removes
            )
            return await _time_out()
        outcome = self._core.transact(conditions, puts, removes)
        if self.faults.num_lost_answers:
            self.faults.num_lost_answers -= 1
            return await _time_out()
        return outcome

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Grant a lease of ``ttl_s`` seconds."""
        failure = await self._start_call()
        return failure if failure is not None else self._core.grant(ttl_s)

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease for its full lifetime."""
        failure = await self._start_call()
        return failure if failure is not None else self._core.renew(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        if await self._start_call() is None:
            self._core.end(lease)

    def _count_job_read(self, prefix: str) -> None:
        self._core.num_job_reads += prefix.startswith(JOBS_PREFIX)

    async def _start_call(self, timeout_s: float = CALL_TIMEOUT_S) -> Unavailable | None:
        self._core.num_calls += 1
        await asyncio.sleep(LATENCY_S + self.faults.delay_s)
        if self.faults.refuses:
            return NotDone("fault: call refused")
        return await _time_out(timeout_s) if self.faults.is_silent else None


async def _time_out(timeout_s: float = CALL_TIMEOUT_S) -> Unknown:
    await asyncio.sleep(timeout_s)
    return Unknown("fault: no answer within the timeout")


def _now_s() -> float:
    return asyncio.get_running_loop().time()
