"""What is kept of unfinished items: joined rightly, whatever was lost, late or written twice."""

import random
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.resumable_run import VersionedEvent
from hollowrack.jobs.progress import (
    ItemProgress,
    ProgressLog,
    ProgressRecord,
    SavedEvent,
    longest_runs,
    progress_prefix,
    to_saved_event,
)
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults


def events_of(run: str, first: int, last: int) -> tuple[SavedEvent, ...]:
    """Events with these numbers, as one run made them."""
    return tuple(SavedEvent(number, f"{run}.{number}", 3) for number in range(first, last + 1))


def part(run: int, position: int, last: int, writer: str = "a") -> ItemProgress:
    """What a writer's run made behind a position."""
    return ItemProgress("i", run, position, events_of(f"{writer}{run}", position + 1, last))


@pytest.mark.parametrize(
    ("written", "text"),
    [
        ([[]], []),
        ([[part(0, 0, 3), part(0, 3, 5)]], ["a0.1", "a0.2", "a0.3", "a0.4", "a0.5"]),
        ([[part(0, 0, 3), part(0, 0, 4)]], ["a0.1", "a0.2", "a0.3", "a0.4"]),
        ([[part(0, 0, 3), part(0, 1, 2)]], ["a0.1", "a0.2", "a0.3"]),
        ([[part(0, 0, 2), part(0, 4, 6)]], ["a0.1", "a0.2"]),
        ([[part(0, 2, 6)]], []),
        ([[part(0, 0, 4), part(1, 0, 2)]], ["a0.1", "a0.2", "a0.3", "a0.4"]),
        ([[part(0, 0, 2)], [part(0, 0, 3, "b")]], ["b0.1", "b0.2", "b0.3"]),
        ([[part(0, 0, 2)], [part(0, 2, 9, "b")]], ["a0.1", "a0.2"]),
    ],
    ids=[
        "nothing",
        "joined",
        "written twice",
        "older one later",
        "one missing",
        "beginning missing",
        "two runs",
        "two writers",
        "a run behind another writer's",
    ],
)
def test_records_are_joined_within_one_run_of_one_writer(
    written: list[list[ItemProgress]], text: list[str]
) -> None:
    kept = longest_runs(written)
    assert [event.event.data for event in kept.get("i", ())] == text


def test_events_with_a_gap_between_their_numbers_are_not_used() -> None:
    events = (SavedEvent(1, "x"), SavedEvent(3, "z"))
    assert longest_runs([[ItemProgress("i", 0, 0, events)]]) == {}


@given(st.integers(0, 2**32))
def test_whatever_is_lost_what_is_kept_begins_one_run(seed: int) -> None:
    rng = random.Random(seed)
    runs = {}
    written = []
    for writer in range(3):
        parts = []
        for run in range(2):
            length = rng.randint(1, 30)
            events = runs[writer, run] = events_of(f"{writer}/{run}", 1, length)
            cuts = sorted({0, length, *(rng.randrange(length) for _ in range(4))})
            for low, high in pairwise(cuts):
                start = max(0, low - rng.randint(0, 2))
                parts.append(ItemProgress("i", run, start, events[start:high]))
        kept_parts = [one for one in parts if rng.random() < 0.8]
        written.append(kept_parts + rng.sample(kept_parts, len(kept_parts) // 2))
    kept = longest_runs(written).get("i", ())
    as_kept = tuple(to_saved_event(event) for event in kept)
    assert any(run[: len(as_kept)] == as_kept for run in runs.values())


def test_progress_goes_through_the_store() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = StoreFaults()
        first = ProgressLog(core.view(faults), "n0#1")
        assert await first.save(first.make_put("j", 0, [part(0, 0, 2)]))
        assert await first.save(first.make_put("j", 1, [part(0, 2, 5)]))
        other = ProgressLog(core.view(StoreFaults()), "n1#1")
        assert await other.save(other.make_put("j", 0, [part(0, 0, 1)]))
        kept = longest_runs(await ProgressLog(core.view(StoreFaults()), "n2#1").load("j"))
        assert kept["i"] == tuple(
            VersionedEvent(StreamEvent(number, f"a0.{number}", {}, b""), 3)
            for number in range(1, 6)
        )
        assert await first.load("other") == []
        faults.refuses = True
        assert not await first.save(first.make_put("j", 2, [part(0, 5, 6)]))
        assert await first.load("j") == []

    run_virtual(main())


def test_jobs_whose_names_begin_alike_are_kept_apart() -> None:
    assert not progress_prefix("j10").startswith(progress_prefix("j1"))
    assert ProgressRecord(()) == ProgressRecord(())
