"""Storage for the events of unfinished items, from which a job's next owner resumes them.

Each owner writes records under keys of its own, so owners never overwrite each other. A record
holds only the events since the previous one. Events of an item are joined only within one run of
one writer: texts of two runs are never mixed. A missing or late record only costs repeated work,
because results are listed under their own conditions.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from urllib.parse import quote

import xxhash

from hollowrack.coordination.store import Committed, CoordinationStore, Listing, Put
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.resumable_run import VersionedEvent
from hollowrack.jobs.types import ItemResult
from hollowrack.messages import codec
from hollowrack.messages.codec import message

PROGRESS_PREFIX = "hollowrack/progress/"
# Well below the store's limit for one value.
MAX_RECORD_BYTES = 400_000


@message("job.kept-event")
@dataclass(frozen=True)
class SavedEvent:
    """One event as it is stored.

    Attributes:
        number: Identifier in its event stream.
        data: Payload of the event.
        weight_version: Weight version that generated it; ``None`` if the worker did not state it.
    """

    number: int
    data: str
    weight_version: int | None = None


@message("job.item-progress")
@dataclass(frozen=True)
class ItemProgress:
    """Consecutive events of one item.

    Attributes:
        item_id: Identifier of the item in its job.
        run: Run of the item at its writer, counted from 0; each restart begins a new one.
        position: Number of events of that run that precede these.
        events: The events in order.
    """

    item_id: str
    run: int
    position: int
    events: tuple[SavedEvent, ...]


@message("job.progress")
@dataclass(frozen=True)
class ProgressRecord:
    """Events of some items of a job since the writer's previous record."""

    items: tuple[ItemProgress, ...]


@message("job.remainder")
@dataclass(frozen=True)
class JobRemainder:
    """State of a job at its former owner that may be missing from the store.

    Attributes:
        items: All events of the unfinished items that have started.
        results: Results that are not listed yet.
    """

    items: tuple[ItemProgress, ...] = ()
    results: tuple[ItemResult, ...] = ()


# Stored events of unfinished items, by item identifier.
SavedEvents = dict[str, tuple[VersionedEvent, ...]]


def to_saved_event(event: VersionedEvent) -> SavedEvent:
    """Convert an event to its stored form."""
    return SavedEvent(event.event.number, event.event.data, event.weight_version)


def _versioned(event: SavedEvent) -> VersionedEvent:
    return VersionedEvent(StreamEvent(event.number, event.data, {}, b""), event.weight_version)


class ProgressLog:
    """Writes and reads the progress records of jobs.

    Args:
        store: The coordination store.
        owner: Owner name of this process; determines the keys that it writes.
    """

    def __init__(self, store: CoordinationStore, owner: str) -> None:
        self._store = store
        self._writer = xxhash.xxh64_hexdigest(owner.encode())

    def make_put(self, job_id: str, number: int, items: Sequence[ItemProgress]) -> Put:
        """Build the write of one record.

        Args:
            job_id: Identifier of the job.
            number: Number of the record among those of this process; part of its key.
            items: Events since the previous record.
        """
        key = f"{progress_prefix(job_id)}{self._writer}/{number:06d}"
        return Put(key, codec.encode(ProgressRecord(tuple(items))))

    async def save(self, record: Put) -> bool:
        """Write one record; ``False`` if the write failed or its outcome is unknown."""
        return isinstance(await self._store.transact([], [record]), Committed)

    async def load(self, job_id: str) -> list[list[ItemProgress]]:
        """Read the records of each writer of a job; empty if the store is unavailable."""
        prefix = progress_prefix(job_id)
        listing = await self._store.list_prefix(prefix)
        if not isinstance(listing, Listing):
            return []
        by_writer: dict[str, list[ItemProgress]] = {}
        for item in sorted(listing.items, key=lambda item: item.key):
            record = codec.decode(item.value).value_or(None)
            if isinstance(record, ProgressRecord):
                writer = item.key.removeprefix(prefix).partition("/")[0]
                by_writer.setdefault(writer, []).extend(record.items)
        return list(by_writer.values())


def longest_runs(written: Iterable[Sequence[ItemProgress]]) -> SavedEvents:
    """Join the records of each writer, and return the longest run of each item.

    Args:
        written: Records of each writer, in the order in which it wrote them.
    """
    longest: SavedEvents = {}
    for parts in written:
        runs: dict[tuple[str, int], list[SavedEvent]] = {}
        for part in parts:
            events = runs.setdefault((part.item_id, part.run), [])
            # A record that was written twice repeats events; a missing one ends the run.
            if part.position <= len(events):
                events.extend(part.events[len(events) - part.position :])
        for (item_id, _), events in runs.items():
            if len(events) > len(longest.get(item_id, ())) and _is_gapless(events):
                longest[item_id] = tuple(_versioned(event) for event in events)
    return longest


def _is_gapless(events: Sequence[SavedEvent]) -> bool:
    first = events[0].number
    return all(event.number == first + index for index, event in enumerate(events))


def progress_prefix(job_id: str) -> str:
    """Return the prefix of all records of a job."""
    return f"{PROGRESS_PREFIX}{quote(job_id, safe='')}/"
