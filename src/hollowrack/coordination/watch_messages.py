"""What nodes say to each other about changes in the store."""

from dataclasses import dataclass

from hollowrack.coordination.store import StoredItem
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
    """A key as it was written, or removed (``value`` is ``None``)."""

    key: str
    value: bytes | None
    revision: int = 0
    lease: int = 0


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

    def known_at_s(self, asked_s: float) -> float:
        """Return when the store held just this, on the asking node's clock, at the earliest.

        Args:
            asked_s: When the question was sent.
        """
        # The answer was made after the time that it was held, at the earliest.
        return asked_s + self.held_s - self.age_s

    def items(self) -> tuple[tuple[str, StoredItem | None], ...]:
        """Return the changes as the store would tell them."""
        return tuple(
            (
                change.key,
                None
                if change.value is None
                else StoredItem(change.key, change.value, change.revision, change.lease),
            )
            for change in self.changes
        )
