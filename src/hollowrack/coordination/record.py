"""One record in the coordination store that is only replaced as it was last seen.

Whoever replaces it names the revision it has seen, so two writers never build on the same record.
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
    """A typed record, as this node has seen it last.

    Args:
        store: The coordination store.
        key: Its key.
        kind: Type of its value, a registered message.
        on_change: Called with each newer value.

    Attributes:
        value: The newest value seen; ``None`` if there is none yet.
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
        # Whether a write of this node may have been done without its knowledge.
        self._is_unsure = False

    def update(self, item: StoredItem | None) -> None:
        """Take in what the store holds, as a mirror or a failed write shows it.

        The value outlives its key: what was decided stays so, and the next write names no revision.
        """
        if item is None:
            self._revision = ABSENT_REVISION
            return
        if item.revision <= self._revision:
            return
        decoded = codec.decode(item.value)
        if isinstance(decoded, Failure) or not isinstance(decoded.unwrap(), self._kind):
            detail = "it is no record of its kind, and is not replaced."
            logging.error("%s", Problem(ResultCode.ENTRY_UNREADABLE, detail, self._key))
            return
        self._revision = item.revision
        self.value = decoded.unwrap()
        self._on_change(decoded.unwrap())

    async def ensure_current(self) -> bool:
        """Whether the newest value may be built upon; reads it if a write's outcome is unknown."""
        if self._is_unsure:
            item = await self._store.get(self._key)
            if isinstance(item, NotDone | Unknown):
                return False
            self.update(item)
            self._is_unsure = False
        return True

    async def replace(self, value: Value) -> bool:
        """Replace the value that was seen last; returns whether that is certain."""
        encoded = codec.encode(value)
        condition = Condition(self._key, self._revision)
        outcome = await self._store.transact([condition], [Put(self._key, encoded)])
        if isinstance(outcome, Committed):
            self.update(StoredItem(self._key, encoded, outcome.revision))
            return True
        if isinstance(outcome, Conflict):
            self.update(next(iter(outcome.current), None))
        else:
            # It may be done, or be done later: it is looked for before another attempt.
            self._is_unsure = isinstance(outcome, Unknown)
        logging.warning("record %s: not replaced, %s", self._key, type(outcome).__name__)
        return False
