"""Estimates of how long items are."""

from hollowrack.jobs.lengths import LengthEstimate


def test_nothing_is_expected_before_an_item_has_ended() -> None:
    assert LengthEstimate().num_events_left(500, 0) == 0.0


def test_expected_tokens_are_turned_into_events_as_seen() -> None:
    lengths = LengthEstimate()
    for tokens, events in ((500, 12), (1500, 28), (1000, 20)):
        lengths.record_item(tokens, events)
    assert round(lengths.num_events_left(1000, 0)) == 20
    assert round(lengths.num_events_left(1000, 15)) == 5


def test_items_without_an_expectation_are_as_long_as_others() -> None:
    lengths = LengthEstimate()
    for events in (10, 20, 30):
        lengths.record_item(0, events)
    assert round(lengths.num_events_left(0, 0)) == 20


def test_an_item_that_is_longer_than_expected_goes_on_for_a_while() -> None:
    lengths = LengthEstimate()
    lengths.record_item(100, 10)
    assert lengths.num_events_left(100, 40) == 10.0


def test_estimates_follow_the_latest_items() -> None:
    lengths = LengthEstimate()
    for _ in range(500):
        lengths.record_item(100, 10)
    for _ in range(500):
        lengths.record_item(100, 20)
    assert 19 < lengths.num_events_left(100, 0) <= 20
