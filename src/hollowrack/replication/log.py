"""The log of one replica: a snapshot and the entries after it."""

from hollowrack.replication.messages import Snapshot


class ReplicaLog:
    """Entries numbered from one; those up to the snapshot's index are dropped.

    Attributes:
        snapshot: State of everything before the first kept entry.
        entries: Commands after the snapshot, in order.
    """

    def __init__(self) -> None:
        self.snapshot = Snapshot(0, b"")
        self.entries: list[bytes] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self.entries)

    def entry(self, index: int) -> bytes:
        """Return the command at ``index``, which must be kept."""
        return self.entries[index - self.snapshot.index - 1]

    def after(self, index: int) -> tuple[bytes, ...]:
        """Return all commands after ``index``, which must not be below the snapshot."""
        return tuple(self.entries[index - self.snapshot.index :])

    def append(self, command: bytes) -> None:
        """Append one command."""
        self.entries.append(command)

    def replace_after(self, index: int, entries: tuple[bytes, ...]) -> None:
        """Drop everything after ``index`` and put ``entries`` there."""
        del self.entries[index - self.snapshot.index :]
        self.entries.extend(entries)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot."""
        self.snapshot = snapshot
        self.entries = []

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries that a snapshot of this replica's own state covers."""
        del self.entries[: snapshot.index - self.snapshot.index]
        self.snapshot = snapshot
