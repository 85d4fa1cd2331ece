"""Log of one replica: a snapshot and the entries after it."""

from hollowrack.replication.messages import Snapshot


class ReplicaLog:
    """Log entries; indexes start at 1, and entries up to the snapshot's index are removed.

    Attributes:
        snapshot: State after all removed entries.
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
        """Return the command at ``index``, which must be above the snapshot's index."""
        return self.entries[index - self.snapshot.index - 1]

    def after(self, index: int) -> tuple[bytes, ...]:
        """Return all commands after ``index``, which must not be below the snapshot's index."""
        return tuple(self.entries[index - self.snapshot.index :])

    def append(self, command: bytes) -> None:
        """Append a command."""
        self.entries.append(command)

    def replace_after(self, index: int, entries: tuple[bytes, ...]) -> None:
        """Replace all entries after ``index`` by ``entries``."""
        del self.entries[index - self.snapshot.index :]
        self.entries.extend(entries)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.entries = []

    def compact(self, snapshot: Snapshot) -> None:
        """Remove the entries covered by a snapshot of this replica's state."""
        del self.entries[: snapshot.index - self.snapshot.index]
        self.snapshot = snapshot
