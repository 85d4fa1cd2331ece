"""Tells all nodes which requests ended workers, by records in the coordination store.

All nodes follow the records, so that a node which starts, or comes back, knows them as well, and a
loss of all nodes loses none. Only an end of a worker costs a call; sound requests cost none.
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
from hollowrack.quarantine.types import SuspectChange, SuspectRecord
from hollowrack.results import ResultCode
from hollowrack.tasks import cancel_all

# A look-up that lost its worker is answered by the next one within this time and costs no call.
# All nodes must know of an end within three seconds; a watch brings a record in under one.
BATCH_DELAY_S = 0.25
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
# How often the leader looks for records whose time is over, in seconds.
EXPIRY_POLL_INTERVAL_S = 60.0


class SuspectReplicator:
    """Keeps one node's register and the store's records alike.

    Args:
        prefix: Prefix of the records' keys.
        store: The coordination store.
        register: The node's register.
        leadership: The leader removes records whose time is over.
        rng: Source of the retry jitter.
    """

    def __init__(
        self,
        prefix: str,
        store: CoordinationStore,
        register: SuspectRegistry,
        leadership: Leadership,
        rng: random.Random,
    ) -> None:
        self._prefix = prefix
        self._store = store
        self._register = register
        self._leadership = leadership
        self._backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start telling."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop telling."""
        await cancel_all(self._task)

    def apply_change(self, key: str, item: StoredItem | None) -> bool:
        """Take in a key that was written or removed; returns whether it is one of the records'."""
        if not key.startswith(self._prefix):
            return False
        fingerprint = unquote(key.removeprefix(self._prefix))
        if item is None:
            self._register.remove_record(fingerprint)
            return True
        record = codec.decode(item.value).value_or(None)
        if isinstance(record, SuspectRecord):
            self._register.update_from_record(fingerprint, record.ended_workers, item.revision)
        else:
            logging.error(
                "[%d] record %s is no suspect and is left out: remove its key",
                int(ResultCode.MESSAGE_INVALID),
                key,
            )
        return True

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXPIRY_POLL_INTERVAL_S):
                    await self._register.changed.wait()
            self._register.changed.clear()
            await asyncio.sleep(BATCH_DELAY_S)
            await self._tell_all()

    async def _tell_all(self) -> None:
        changes = self._register.changes()
        if self._leadership.is_leader:
            changes += self._register.overdue()
        for change in changes:
            if await self._tell(change):
                self._backoff.reset()
            else:
                self._register.changed.set()
                await asyncio.sleep(self._backoff.next_delay_s())

    async def _tell(self, change: SuspectChange) -> bool:
        """Write or remove one record, as it was last seen; returns whether it was answered."""
        key = self._prefix + quote(change.fingerprint, safe="")
        condition = Condition(key, change.revision)
        if change.ended_workers:
            value = codec.encode(SuspectRecord(tuple(sorted(change.ended_workers))))
            outcome = await self._store.transact([condition], [Put(key, value)])
        else:
            outcome = await self._store.transact([condition], [], [key])
        if isinstance(outcome, Committed):
            self._take_written(change, outcome.revision)
            return True
        if isinstance(outcome, Conflict):
            self._take_current(change, outcome)
            return True
        logging.info("suspect %s: not told, %s", change.fingerprint, outcome)
        return False

    def _take_written(self, change: SuspectChange, revision: int) -> None:
        if change.ended_workers:
            self._register.update_from_record(change.fingerprint, change.ended_workers, revision)
        else:
            self._register.remove_record(change.fingerprint)

    def _take_current(self, change: SuspectChange, conflict: Conflict) -> None:
        """Another node has told something meanwhile: what is still missing is told after it."""
        for item in conflict.current:
            self.apply_change(item.key, item)
        if not conflict.current and change.revision != ABSENT_REVISION:
            self._register.remove_record(change.fingerprint)
        self._register.changed.set()
