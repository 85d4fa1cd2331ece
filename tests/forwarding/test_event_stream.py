"""Guards against results that depend on chunk boundaries, and against accepting invalid bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.event_stream import EventStreamError, EventStreamParser

STREAM = b"id: 1\nweight-version: 3\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\nid: 3\ndata:\n\n"


@given(st.lists(st.integers(1, 20), min_size=1, max_size=60))
def test_events_do_not_depend_on_chunk_sizes(sizes: list[int]) -> None:
    parser = EventStreamParser()
    events = []
    remaining = STREAM
    for size in sizes:
        events.extend(parser.feed(remaining[:size]))
        remaining = remaining[size:]
    events.extend(parser.feed(remaining))
    assert [(event.number, event.data) for event in events] == [
        (1, "one"),
        (2, "two\nlines"),
        (3, ""),
    ]
    assert events[0].fields == {"weight-version": "3"}
    assert b"".join(event.raw for event in events) == STREAM
    assert not parser.has_partial_event


@pytest.mark.parametrize(
    "data", [b"data: none\n\n", b"id: x\ndata: a\n\n", b"\xff\xfe\n\n", b"HTTP/1.1 200 OK\n\n"]
)
def test_invalid_bytes_raise_error(data: bytes) -> None:
    with pytest.raises(EventStreamError):
        EventStreamParser().feed(data)


def test_partial_event_is_reported() -> None:
    parser = EventStreamParser()
    assert parser.feed(b"id: 1\ndata: a") == []
    assert parser.has_partial_event


def test_oversized_event_raises_error() -> None:
    parser = EventStreamParser()
    with pytest.raises(EventStreamError):
        for _ in range(100):
            parser.feed(b"x" * 100_000)
