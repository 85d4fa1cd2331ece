"""What nodes say to each other about changes in the store."""

from dataclasses import dataclass

from hollowrack.coordination.store import KeyChange, Listing, RemovedKey, StoredItem
from hollowrack.messages.codec import message

# What a node that itself asks the store may lag behind it: one short watch, its pause and a margin.
MAX_MIRROR_AGE_S = 0.9


@message("feed.watch")
@dataclass(frozen=True)
class WatchRequest:
    """A watch, or a listing, that another node is asked for.

    Attributes:
        prefix: Prefix of the keys.
        after_revision: Store revision the asking node has reached.
        wait_s: Longest wait, in seconds.
        max_age_s: How long ago the store itself may have answered at the most, in seconds.
        wants_listing: Whether all keys are wanted instead of changes.
    """

    prefix: str
    after_revision: int
    wait_s: float
    max_age_s: float = MAX_MIRROR_AGE_S
    wants_listing: bool = False


@message("feed.change")
@dataclass(frozen=True)
class SharedChange:
    """A key as it was written, or removed (``value`` is ``None``).

    Attributes:
        key: Its name.
        value: Its value.
        revision: Store revision of the change; 0 from a node that does not tell it.
        lease: Lease the key goes with.
    """

    key: str
    value: bytes | None
    revision: int = 0
    lease: int = 0

    @staticmethod
    def of(change: KeyChange) -> "SharedChange":
        """Return a change as nodes tell it to each other."""
        if isinstance(change, RemovedKey):
            return SharedChange(change.key, None, change.revision)
        return SharedChange(change.key, change.value, change.revision, change.lease)

    def as_stored(self) -> KeyChange:
        """Return the change as the store would tell it."""
        if self.value is None:
            return RemovedKey(self.key, self.revision)
        return StoredItem(self.key, self.value, self.revision, self.lease)


@message("feed.changes")
@dataclass(frozen=True)
class SharedChanges:
    """Changes behind the asking node's revision, or all keys.

    Attributes:
        changes: The changes, oldest first; all keys for a listing.
        revision: Store revision reached.
        is_history_gone: Whether the asking node has to list again.
        is_stale: Whether this node's mirror is too old.
        age_s: How long ago the store itself answered, in seconds.
        held_s: How long the question was held before this answer, in seconds.
    """

    changes: tuple[SharedChange, ...] = ()
    revision: int = 0
    is_history_gone: bool = False
    is_stale: bool = False
    age_s: float = 0.0
    held_s: float = 0.0

    def as_of_s(self, asked_s: float) -> float:
        """Return when the store held just this, on the asking node's clock, at the earliest.

        Args:
            asked_s: When the question was sent.
        """
        # The answer was made after the time that it was held, at the earliest.
        return asked_s + self.held_s - self.age_s

    def items(self) -> tuple[KeyChange, ...]:
        """Return the changes as the store would tell them."""
        return tuple(change.as_stored() for change in self.changes)

    def listed(self) -> Listing:
        """Return the keys of an answer to a question for all keys."""
        items = tuple(item for item in self.items() if isinstance(item, StoredItem))
        return Listing(items, self.revision)

    def validation_error(self, is_listing: bool) -> str | None:
        """What makes the answer unusable; ``None`` if nothing does.

        Args:
            is_listing: Whether all keys were asked for: some may be newer than the listing.
        """
        for change in self.changes:
            if change.revision <= 0:
                return f"the change of {change.key} has no revision"
            if change.revision > self.revision and not is_listing:
                return f"the change of {change.key} is newer than revision {self.revision}"
        return None
