"""What unfinished items have generated so far, kept so that it outlives the owner of their job.

Each owner writes records of its own under a key of its own, so owners never overwrite each other.
A record holds only what came since the one before. Events of one item are joined only within one
run of one writer: texts of two runs are never mixed. Records are hints that save work: a missing or
late one costs time and nothing else, as results are listed under conditions of their own.
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
# One record stays well below what the store takes as one value.
MAX_RECORD_BYTES = 400_000


@message("job.kept-event")
@dataclass(frozen=True)
class SavedEvent:
    """One event as it is kept.

    Attributes:
        number: Its identifier in its stream.
        data: Its data.
        weight_version: Version that made it; ``None`` if the worker did not tell.
    """

    number: int
    data: str
    weight_version: int | None = None


@message("job.item-progress")
@dataclass(frozen=True)
class ItemProgress:
    """Events of one item, from a position on.

    Attributes:
        item_id: The item.
        run: Which run of the item at its writer, counted from 0.
        position: How many events of that run come before these.
        events: The events.
    """

    item_id: str
    run: int
    position: int
    events: tuple[SavedEvent, ...]


@message("job.progress")
@dataclass(frozen=True)
class ProgressRecord:
    """What some items of a job have generated since their writer's record before."""

    items: tuple[ItemProgress, ...]


@message("job.remainder")
@dataclass(frozen=True)
class JobRemainder:
    """What the former owner of a job holds that may not be in the store.

    Attributes:
        items: All events of the items that it had begun.
        results: Results that are not listed.
    """

    items: tuple[ItemProgress, ...] = ()
    results: tuple[ItemResult, ...] = ()


# Events of unfinished items, by item identifier.
SavedEvents = dict[str, tuple[VersionedEvent, ...]]


def to_saved_event(event: VersionedEvent) -> SavedEvent:
    """Return an event as it is kept."""
    return SavedEvent(event.event.number, event.event.data, event.weight_version)


def _versioned(event: SavedEvent) -> VersionedEvent:
    return VersionedEvent(StreamEvent(event.number, event.data, {}, b""), event.weight_version)


class ProgressLog:
    """Writes and reads the progress of jobs.

    Args:
        store: The coordination store.
        owner: Name and incarnation of this process.
    """

    def __init__(self, store: CoordinationStore, owner: str) -> None:
        self._store = store
        self._writer = xxhash.xxh64_hexdigest(owner.encode())

    def make_put(self, job_id: str, number: int, items: Sequence[ItemProgress]) -> Put:
        """Return the write of one record.

        Args:
            job_id: The job.
            number: Number of the record among those of this process; names it.
            items: What came since the record before.
        """
        key = f"{progress_prefix(job_id)}{self._writer}/{number:06d}"
        return Put(key, codec.encode(ProgressRecord(tuple(items))))

    async def save(self, record: Put) -> bool:
        """Write one record; returns whether that is certain."""
        return isinstance(await self._store.transact([], [record]), Committed)

    async def load(self, job_id: str) -> list[list[ItemProgress]]:
        """Read what each writer has kept of a job's items; empty if the store cannot tell."""
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
        written: What each writer has written, in the order of its records.
    """
    longest: SavedEvents = {}
    for parts in written:
        runs: dict[tuple[str, int], list[SavedEvent]] = {}
        for part in parts:
            events = runs.setdefault((part.item_id, part.run), [])
            # A record that was written twice repeats events; one that is missing ends the run.
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
