"""What a replica must remember across a restart, and the two places it can be kept."""

from dataclasses import dataclass
from typing import Protocol

from hollowrack.messages.codec import message
from hollowrack.replication.messages import Snapshot
from hollowrack.replication.types import Ballot, Membership


@message("journal.promised")
@dataclass(frozen=True)
class Promised:
    """The replica promised a ballot in a membership."""

    ballot: Ballot
    membership: Membership


@message("journal.adopted")
@dataclass(frozen=True)
class Adopted:
    """The replica took over a leader's log after ``after_index``, all or nothing."""

    ballot: Ballot
    membership: Membership
    snapshot: Snapshot | None
    after_index: int
    entries: tuple[bytes, ...]


@message("journal.appended")
@dataclass(frozen=True)
class Appended:
    """The replica appended entries after ``after_index`` in its accepted ballot."""

    after_index: int
    entries: tuple[bytes, ...]


@message("journal.compacted")
@dataclass(frozen=True)
class Compacted:
    """The replica replaced its first entries by a snapshot; holds all there is to remember.

    A storage may drop every earlier record.
    """

    promised: Ballot
    accepted_ballot: Ballot
    membership: Membership
    snapshot: Snapshot
    entries: tuple[bytes, ...]


StorageRecord = Promised | Adopted | Appended | Compacted


class Storage(Protocol):
    """Receives records in order; they must be durable before any message goes out."""

    def record(self, record: StorageRecord) -> None:
        """Take one record."""

    def flush(self) -> None:
        """Make all records durable."""

    def close(self) -> None:
        """Give up the place where the records are kept."""


class MemoryStorage:
    """For a node without a data directory: nothing survives, and nothing claims to."""

    def record(self, record: StorageRecord) -> None:
        """Ignore the record: the replica itself is the only copy."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
