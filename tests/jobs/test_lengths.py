"""Guards against wrong estimates of item lengths, which decide the order and migration of items."""

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


def test_overestimated_long_items_are_not_expected_to_be_longer_than_they_are() -> None:
    """Guards against one ratio for all lengths where long ones are overestimated most."""
    lengths = LengthEstimate()
    for tokens in range(100, 16_000, 100):
        lengths.record_item(tokens, round(tokens**0.75 / 12))
    actual = 20_000**0.75 / 12
    assert 0.9 * actual < lengths.num_events_left(20_000, 0) < 1.1 * actual
    assert lengths.num_tokens_left(20_000, 0) < 20_000


def test_a_fit_of_proportional_lengths_equals_their_ratio() -> None:
    """Guards against estimates that change where callers state exact lengths."""
    lengths = LengthEstimate()
    for tokens in range(1000, 9000, 100):
        lengths.record_item(tokens, tokens // 100)
    assert abs(lengths.num_events_left(20_000, 0) - 200) < 1
    assert abs(lengths.num_tokens_left(20_000, 0) - 20_000) < 100


def test_short_items_that_finish_first_leave_longer_expected_ones_first() -> None:
    """Guards against a node that has seen few items and expects all others to be short."""
    lengths = LengthEstimate()
    for number in range(200):
        lengths.record_item(300 + number, 7)
    estimates = [lengths.num_tokens_left(tokens, 0) for tokens in (500, 2000, 20_000)]
    assert estimates == sorted(set(estimates))
