"""Replication of suspects between nodes, through records in the coordination store.

All nodes watch the records, so that restarted nodes know them as well. Only crashes of workers
cause store calls.
"""

import asyncio
import contextlib
import random
from urllib.parse import quote, unquote

from absl import logging

from hollowrack.backoff import Backoff
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.store import (
    ABSENT_REVISION,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    Put,
    StoredItem,
)
from hollowrack.messages import codec
from hollowrack.quarantine.registry import SuspectRegistry
from hollowrack.quarantine.types import SuspectChange, SuspectRecord, make_record
from hollowrack.results import ResultCode
from hollowrack.tasks import cancel_all

# Delay before changes are written, so that all requests interrupted by one crash are written in one
# pass. A crash that is not in the store is lost if this process ends.
BATCH_DELAY_S = 0.01
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
# Interval at which the leader removes expired records.
EXPIRY_POLL_INTERVAL_S = 60.0


class SuspectReplicator:
    """Keeps the suspects of one node and the records in the store in sync.

    Args:
        prefix: Key prefix of the records.
        store: Coordination store.
        registry: Suspects known to this node.
        leadership: Leadership state of this node; the leader removes expired records.
        rng: Source of the backoff jitter.
    """

    def __init__(
        self,
        prefix: str,
        store: CoordinationStore,
        registry: SuspectRegistry,
        leadership: Leadership,
        rng: random.Random,
    ) -> None:
        self._prefix = prefix
        self._store = store
        self._registry = registry
        self._leadership = leadership
        self._backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that writes changes of suspects to the store."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop that task without writing pending changes."""
        await cancel_all(self._task)

    def apply_change(self, key: str, item: StoredItem | None) -> bool:
        """Apply a changed key.

        Args:
            key: Key that was written or removed.
            item: Its new content; ``None`` if it was removed.

        Returns:
            Whether the key is that of a suspect's record.
        """
        if not key.startswith(self._prefix):
            return False
        fingerprint = unquote(key.removeprefix(self._prefix))
        if item is None:
            self._registry.remove_record(fingerprint)
            return True
        record = codec.decode(item.value).value_or(None)
        if isinstance(record, SuspectRecord):
            self._registry.update_from_record(fingerprint, record.crashes(), item.revision)
        else:
            logging.error(
                "[%d] record %s is not a suspect record, ignored: remove its key",
                int(ResultCode.MESSAGE_INVALID),
                key,
            )
        return True

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXPIRY_POLL_INTERVAL_S):
                    await self._registry.changed.wait()
            self._registry.changed.clear()
            await asyncio.sleep(BATCH_DELAY_S)
            await self._write_changes()

    async def _write_changes(self) -> None:
        changes = self._registry.pending_changes()
        if self._leadership.is_leader:
            changes += self._registry.expired_records()
        for change in changes:
            if await self._write_change(change):
                self._backoff.reset()
            else:
                self._registry.changed.set()
                await asyncio.sleep(self._backoff.next_delay_s())

    async def _write_change(self, change: SuspectChange) -> bool:
        """Write or remove one record at its known revision; returns whether the store answered."""
        key = self._prefix + quote(change.fingerprint, safe="")
        condition = Condition(key, change.revision)
        if change.crashes:
            value = codec.encode(make_record(change.crashes))
            outcome = await self._store.transact([condition], [Put(key, value)])
        else:
            outcome = await self._store.transact([condition], [], [key])
        if isinstance(outcome, Committed):
            self._apply_written(change, outcome.revision)
            return True
        if isinstance(outcome, Conflict):
            self._apply_conflict(change, outcome)
            return True
        logging.info(
            "suspect %s: change not written to the store, will be retried: %s",
            change.fingerprint,
            outcome,
        )
        return False

    def _apply_written(self, change: SuspectChange, revision: int) -> None:
        if change.crashes:
            self._registry.update_from_record(change.fingerprint, change.crashes, revision)
        else:
            self._registry.remove_record(change.fingerprint)

    def _apply_conflict(self, change: SuspectChange, conflict: Conflict) -> None:
        """Apply the record that another node has written meanwhile, and schedule another write."""
        for item in conflict.current:
            self.apply_change(item.key, item)
        if not conflict.current and change.revision != ABSENT_REVISION:
            self._registry.remove_record(change.fingerprint)
        self._registry.changed.set()
