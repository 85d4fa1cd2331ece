"""Interface of the coordination store: typed calls and answers.

Besides success a write has three possible outcomes: a condition did not hold (:class:`Conflict`),
nothing was written (:class:`NotDone`), or the outcome is unknown (:class:`Unknown`): the write may
have been applied, or may be applied later if its conditions still hold.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from hollowrack.messages.codec import message

ABSENT_REVISION = 0
NO_LEASE = 0


@message("store.item")
@dataclass(frozen=True)
class StoredItem:
    """A key and its value.

    Attributes:
        revision: Store revision of the key's last change.
        lease: Lease at whose end the key is removed; ``NO_LEASE`` if none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = NO_LEASE


@message("store.listing")
@dataclass(frozen=True)
class Listing:
    """All keys below a prefix; ``revision`` is that up to which all changes are included."""

    items: tuple[StoredItem, ...]
    revision: int


@message("store.removed")
@dataclass(frozen=True)
class RemovedKey:
    """A key that was removed.

    Attributes:
        revision: Store revision of the removal.
    """

    key: str
    revision: int


KeyChange = StoredItem | RemovedKey


@message("store.changes")
@dataclass(frozen=True)
class Changes:
    """Changes below a prefix, in any order; each change has its own revision.

    Attributes:
        items: Keys written and keys removed.
        revision: All changes up to this store revision are included; the next watch continues
            after it.
    """

    items: tuple[KeyChange, ...]
    revision: int


@message("store.committed")
@dataclass(frozen=True)
class Committed:
    """A write was applied at this store revision."""

    revision: int


@message("store.conflict")
@dataclass(frozen=True)
class Conflict:
    """A condition of a write did not hold; nothing was written.

    Attributes:
        current: Current items of the keys named in the conditions, as far as they exist.
    """

    current: tuple[StoredItem, ...]


@message("store.lease_gone")
@dataclass(frozen=True)
class LeaseGone:
    """The lease named by a write or a renewal has ended; nothing was written."""


@message("store.not_done")
@dataclass(frozen=True)
class NotDone:
    """The store refused the call or could not be reached; nothing was written."""

    reason: str


@message("store.unknown")
@dataclass(frozen=True)
class Unknown:
    """No answer arrived: the call may have been executed, or may be executed later."""

    reason: str


@message("store.history_gone")
@dataclass(frozen=True)
class HistoryGone:
    """The requested changes have been compacted; the caller has to list again."""


@message("store.granted_lease")
@dataclass(frozen=True)
class GrantedLease:
    """A lease and the time to live granted by the store, in seconds."""

    lease: int
    ttl_s: float


@dataclass(frozen=True)
class Put:
    """Write one key, optionally bound to a lease."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@dataclass(frozen=True)
class Condition:
    """A key must have this revision; ``ABSENT_REVISION`` requires that it does not exist."""

    key: str
    revision: int = ABSENT_REVISION


WriteOutcome = Committed | Conflict | LeaseGone | NotDone | Unknown
Unavailable = NotDone | Unknown


class CoordinationStore(Protocol):
    """A linearizable key-value store with transactions, leases and watches."""

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key; ``None`` if it does not exist."""

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix."""

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait at most ``wait_s`` seconds for changes below a prefix."""

    async def transact(
        self,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        removes: Sequence[str] = (),
    ) -> WriteOutcome:
        """Apply all writes atomically if all conditions hold, else none."""

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Open a lease."""

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys; if the call fails, the lease expires."""


async def create_key(store: CoordinationStore, key: str, value: bytes) -> WriteOutcome:
    """Create a key that must not exist yet."""
    return await store.transact([Condition(key)], [Put(key, value)])
