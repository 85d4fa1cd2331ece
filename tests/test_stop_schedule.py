"""Guards against requests that a stopping node accepts although it cannot complete them."""

from hypothesis import given
from hypothesis import strategies as st

from hollowrack.stop_schedule import StopSchedule

# A cut is excused if the request was sent within this time after the signal and if its worker was
# still at work in the last sixth of the grace period.
EXCUSED_SEND_S = 3.0
EXCUSED_CUT_FRACTION = 5.0 / 6.0


@given(st.floats(0.2, 120.0), st.floats(0.0, 1.0), st.floats(0.0, 60.0))
def test_accepted_requests_are_complete_or_excused_for_any_grace_period(
    grace_s: float, arrival_fraction: float, longest_s: float
) -> None:
    schedule = StopSchedule(100.0, grace_s)
    arrival_s = 100.0 + arrival_fraction * grace_s
    latest_end_s = arrival_s + longest_s
    assert schedule.requests_end_s < 100.0 + grace_s
    assert schedule.listen_until_s < schedule.requests_end_s
    if schedule.accepts(arrival_s, latest_end_s) and latest_end_s > schedule.requests_end_s:
        assert arrival_s <= 100.0 + EXCUSED_SEND_S
        assert schedule.requests_end_s >= 100.0 + EXCUSED_CUT_FRACTION * grace_s


@given(st.floats(0.2, 120.0), st.floats(0.0, 1.0))
def test_requests_of_unknown_duration_are_accepted_only_at_first(
    grace_s: float, arrival_fraction: float
) -> None:
    schedule = StopSchedule(100.0, grace_s)
    arrival_s = 100.0 + arrival_fraction * grace_s
    assert schedule.accepts(arrival_s) == (arrival_s <= schedule.accept_until_s)
    assert schedule.accept_until_s <= schedule.listen_until_s
