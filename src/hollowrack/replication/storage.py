"""Durable records of a replica, and the interface of their storage."""

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
    """The replica adopted a leader's log after ``after_index``."""

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
    """The replica compacted its log; the record contains its whole state.

    A storage may remove all earlier records.
    """

    promised: Ballot
    accepted_ballot: Ballot
    membership: Membership
    snapshot: Snapshot
    entries: tuple[bytes, ...]


StorageRecord = Promised | Adopted | Appended | Compacted


class Storage(Protocol):
    """Stores records in order; they must be durable before the replica's messages are sent."""

    def record(self, record: StorageRecord) -> None:
        """Append a record."""

    def flush(self) -> None:
        """Make all records durable."""

    def close(self) -> None:
        """Release the underlying resources."""


class MemoryStorage:
    """Storage of a node without a data directory; stores nothing."""

    def record(self, record: StorageRecord) -> None:
        """Ignore the record."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
