"""What the product needs of a coordination store, as typed calls and answers.

A write has three possible ends besides success: a condition did not hold (:class:`Conflict`),
nothing was done (:class:`NotDone`), or nobody can tell (:class:`Unknown`): the write may have been
done, or may be done later if its condition still holds.
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
    """One key as it stands in the store.

    Attributes:
        key: Its name.
        value: Its value.
        revision: Store revision of its last change.
        lease: Lease it goes with; ``NO_LEASE`` if none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = NO_LEASE


@message("store.listing")
@dataclass(frozen=True)
class Listing:
    """All keys below a prefix and the store revision up to which changes are included."""

    items: tuple[StoredItem, ...]
    revision: int


@message("store.removed")
@dataclass(frozen=True)
class RemovedKey:
    """One key that the store holds no longer.

    Attributes:
        key: Its name.
        revision: Store revision of its removal.
    """

    key: str
    revision: int


KeyChange = StoredItem | RemovedKey


@message("store.changes")
@dataclass(frozen=True)
class Changes:
    """Changes below a prefix, in any order: each one's revision tells what it is newer than.

    Attributes:
        items: Keys written and keys removed.
        revision: All changes up to this store revision are included; continue watching after it.
    """

    items: tuple[KeyChange, ...]
    revision: int


@message("store.committed")
@dataclass(frozen=True)
class Committed:
    """A write was done at this store revision."""

    revision: int


@message("store.conflict")
@dataclass(frozen=True)
class Conflict:
    """A condition of a write did not hold; nothing was done.

    Attributes:
        current: The conditioned keys that exist, as they are now.
    """

    current: tuple[StoredItem, ...]


@message("store.lease_gone")
@dataclass(frozen=True)
class LeaseGone:
    """The lease named by a write or a renewal is over; nothing was done."""


@message("store.not_done")
@dataclass(frozen=True)
class NotDone:
    """The store refused or could not be reached before anything was sent."""

    reason: str


@message("store.unknown")
@dataclass(frozen=True)
class Unknown:
    """No answer came: the write may have been done, or may be done later."""

    reason: str


@message("store.history_gone")
@dataclass(frozen=True)
class HistoryGone:
    """The changes asked for are no longer kept: list again."""


@message("store.granted_lease")
@dataclass(frozen=True)
class GrantedLease:
    """A lease, with the time to live that the store applies, in seconds."""

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
    """A key must have this revision; ``ABSENT_REVISION`` demands that it does not exist."""

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
        """Do all writes if all conditions hold, else none."""

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Open a lease."""

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease."""

    async def end_lease(self, lease: int) -> None:
        """End a lease with its keys; a lost answer is left to the lease's own end."""


async def create_key(store: CoordinationStore, key: str, value: bytes) -> WriteOutcome:
    """Create a key that must not exist yet."""
    return await store.transact([Condition(key)], [Put(key, value)])
