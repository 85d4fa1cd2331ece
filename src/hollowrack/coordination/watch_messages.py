"""Messages between nodes for watches of each other's mirrors."""

from dataclasses import dataclass

from hollowrack.coordination.store import KeyChange, Listing, RemovedKey, StoredItem
from hollowrack.messages.codec import message

# Wait and interval of one short watch, and a margin.
MAX_MIRROR_AGE_S = 0.9


@message("feed.watch")
@dataclass(frozen=True)
class WatchRequest:
    """A request to another node for changes below a prefix, or for all keys.

    Attributes:
        prefix: Prefix of the keys.
        after_revision: Store revision that the requesting node has reached.
        wait_s: Longest wait for a change, in seconds.
        max_age_s: Longest allowed time since the store itself answered, in seconds.
        wants_listing: Whether all keys are requested instead of changes.
    """

    prefix: str
    after_revision: int
    wait_s: float
    max_age_s: float = MAX_MIRROR_AGE_S
    wants_listing: bool = False


@message("feed.change")
@dataclass(frozen=True)
class SharedChange:
    """A key that was written or removed.

    Attributes:
        key: Name of the key.
        value: The value written; ``None`` if the key was removed.
        revision: Store revision of the change; 0 from a node that does not send it.
        lease: Lease that the key is bound to; 0 if none.
    """

    key: str
    value: bytes | None
    revision: int = 0
    lease: int = 0

    @staticmethod
    def of(change: KeyChange) -> "SharedChange":
        """Convert a change of the store."""
        if isinstance(change, RemovedKey):
            return SharedChange(change.key, None, change.revision)
        return SharedChange(change.key, change.value, change.revision, change.lease)

    def as_stored(self) -> KeyChange:
        """Convert to a change of the store."""
        if self.value is None:
            return RemovedKey(self.key, self.revision)
        return StoredItem(self.key, self.value, self.revision, self.lease)


@message("feed.changes")
@dataclass(frozen=True)
class SharedChanges:
    """The answer to a :class:`WatchRequest`: changes after its revision, or all keys.

    Attributes:
        changes: The changes, oldest first; all keys for a listing.
        revision: Store revision up to which all changes are included.
        is_history_gone: Whether the requested changes are no longer in the history, so that the
            requesting node has to list again.
        is_stale: Whether the answering node's mirror is older than requested.
        age_s: Time since the store itself answered, in seconds.
        held_s: Time for which the request waited before this answer, in seconds.
        other_prefixes: The answering node's other mirrors, by prefix: the revision of the last
            change, and the time since the store answered, in seconds. ``None`` from a node that
            does not send them.
    """

    changes: tuple[SharedChange, ...] = ()
    revision: int = 0
    is_history_gone: bool = False
    is_stale: bool = False
    age_s: float = 0.0
    held_s: float = 0.0
    other_prefixes: dict[str, tuple[int, float]] | None = None

    def as_of_s(self, sent_s: float, age_s: float | None = None) -> float:
        """Return the earliest time at which the store was in a state that this answer describes.

        Args:
            sent_s: When the request was sent, on the requesting node's clock.
            age_s: Age of the state at the time of the answer, in seconds; ``None`` for the age of
                the requested prefix.

        Returns:
            The time on the requesting node's clock.
        """
        # The answer was produced ``held_s`` after the request was sent, at the earliest.
        return sent_s + self.held_s - (self.age_s if age_s is None else age_s)

    def items(self) -> tuple[KeyChange, ...]:
        """Return the changes as changes of the store."""
        return tuple(change.as_stored() for change in self.changes)

    def listed(self) -> Listing:
        """Return the answer to a request for all keys as a listing of the store."""
        items = tuple(item for item in self.items() if isinstance(item, StoredItem))
        return Listing(items, self.revision)

    def validation_error(self, is_listing: bool) -> str | None:
        """Why the answer is invalid; ``None`` if it is valid.

        Args:
            is_listing: Whether all keys were requested; keys of a listing may be newer than its
                revision.
        """
        for change in self.changes:
            if change.revision <= 0:
                return f"the change of {change.key} has no revision"
            if change.revision > self.revision and not is_listing:
                return f"the change of {change.key} is newer than revision {self.revision}"
        return None
