"""Event streams in pieces of any size, and bytes that are none."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.event_stream import EventStreamError, EventStreamParser

STREAM = b"id: 1\nweight-version: 3\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\nid: 3\ndata:\n\n"


@given(st.lists(st.integers(1, 20), min_size=1, max_size=60))
def test_events_are_the_same_however_the_bytes_are_cut(sizes: list[int]) -> None:
    parser = EventStreamParser()
    events = []
    rest = STREAM
    for size in sizes:
        events.extend(parser.feed(rest[:size]))
        rest = rest[size:]
    events.extend(parser.feed(rest))
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
def test_bytes_that_are_no_events_are_an_error(data: bytes) -> None:
    with pytest.raises(EventStreamError):
        EventStreamParser().feed(data)


def test_an_unfinished_event_is_noticed() -> None:
    parser = EventStreamParser()
    assert parser.feed(b"id: 1\ndata: a") == []
    assert parser.has_partial_event


def test_an_endless_event_is_refused() -> None:
    parser = EventStreamParser()
    with pytest.raises(EventStreamError):
        for _ in range(100):
            parser.feed(b"x" * 100_000)
