"""Guards against wrong estimates of item lengths, which decide the order and moves of items."""

from hollowrack.jobs.length_estimate import LengthEstimate


def test_estimate_is_zero_before_the_first_item_has_finished() -> None:
    assert LengthEstimate().num_events_left(500, 0) == 0.0


def test_expected_tokens_are_converted_by_the_observed_ratio() -> None:
    lengths = LengthEstimate()
    for tokens, events in ((500, 12), (1500, 28), (1000, 20)):
        lengths.record_item(tokens, events)
    assert round(lengths.num_events_left(1000, 0)) == 20
    assert round(lengths.num_events_left(1000, 15)) == 5


def test_items_without_expected_tokens_use_the_average_length() -> None:
    lengths = LengthEstimate()
    for events in (10, 20, 30):
        lengths.record_item(0, events)
    assert round(lengths.num_events_left(0, 0)) == 20


def test_an_item_beyond_its_estimate_is_expected_to_grow_by_a_fraction() -> None:
    lengths = LengthEstimate()
    lengths.record_item(100, 10)
    assert lengths.num_events_left(100, 40) == 10.0


def test_estimates_follow_recent_items() -> None:
    lengths = LengthEstimate()
    for _ in range(500):
        lengths.record_item(100, 10)
    for _ in range(500):
        lengths.record_item(100, 20)
    assert 19 < lengths.num_events_left(100, 0) <= 20
