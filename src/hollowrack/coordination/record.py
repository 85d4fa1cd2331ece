"""A typed record in the coordination store, replaced by compare-and-swap.

Every write is conditional on the revision that the writer has seen, so concurrent writers cannot
overwrite each other.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

from absl import logging
from returns.result import Failure

from hollowrack.coordination.store import (
    ABSENT_REVISION,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    NotDone,
    Put,
    StoredItem,
    Unknown,
)
from hollowrack.messages import codec
from hollowrack.results import Problem, ResultCode

Value = TypeVar("Value")


class Record(Generic[Value]):
    """A typed record and its newest value known to this node.

    Args:
        store: Holds the record.
        key: The record's key.
        kind: Type of the value, a registered message.
        on_change: Called with each newer value.

    Attributes:
        value: The newest value seen; ``None`` if none has been seen yet.
    """

    def __init__(
        self,
        store: CoordinationStore,
        key: str,
        kind: type[Value],
        on_change: Callable[[Value], None] = lambda _: None,
    ) -> None:
        self.value: Value | None = None
        self._store = store
        self._key = key
        self._kind = kind
        self._on_change = on_change
        self._revision = ABSENT_REVISION
        # Whether the outcome of this node's last write is unknown.
        self._is_write_unknown = False

    def update(self, item: StoredItem | None) -> None:
        """Update from the stored item, as seen by a mirror or a failed write.

        If the key was removed, the value is kept and the next write must create the key.
        """
        if item is None:
            self._revision = ABSENT_REVISION
            return
        if item.revision <= self._revision:
            return
        decoded = codec.decode(item.value)
        if isinstance(decoded, Failure) or not isinstance(decoded.unwrap(), self._kind):
            detail = "the value is not a record of the expected type and is not replaced."
            logging.error("%s", Problem(ResultCode.ENTRY_UNREADABLE, detail, self._key))
            return
        self._revision = item.revision
        self.value = decoded.unwrap()
        self._on_change(decoded.unwrap())

    async def ensure_current(self) -> bool:
        """Read the record if a write's outcome is unknown; returns whether the value is current."""
        if self._is_write_unknown:
            item = await self._store.get(self._key)
            if isinstance(item, NotDone | Unknown):
                return False
            self.update(item)
            self._is_write_unknown = False
        return True

    async def replace(self, value: Value) -> bool:
        """Replace the newest value seen; returns whether that certainly succeeded."""
        encoded = codec.encode(value)
        condition = Condition(self._key, self._revision)
        outcome = await self._store.transact([condition], [Put(self._key, encoded)])
        if isinstance(outcome, Committed):
            self.update(StoredItem(self._key, encoded, outcome.revision))
            return True
        if isinstance(outcome, Conflict):
            self.update(next(iter(outcome.current), None))
        else:
            # The write may have been applied or may be applied later; it is read before a retry.
            self._is_write_unknown = isinstance(outcome, Unknown)
        logging.warning("record %s: not replaced, %s", self._key, type(outcome).__name__)
        return False
