"""Guards against windows decided too late to be delivered in time, or before counts can arrive."""

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.usage.meter import WINDOW_GRACE_S
from hollowrack.usage.types import WindowReport
from hollowrack.usage.window_schedule import (
    DECISION_RESERVE_S,
    DELIVERY_RESERVE_S,
    MISSING_COUNTS_TIMEOUT_S,
    NEW_LEADER_WAIT_S,
    LeaderState,
    WindowSchedule,
)

WINDOW_S = 5.0
LATE_S = 10.0
BOUNDED = WindowSchedule(WINDOW_S, LATE_S)
UNBOUNDED = WindowSchedule(WINDOW_S)
LAST_DECISION_S = LATE_S - DECISION_RESERVE_S - DELIVERY_RESERVE_S
OLD_TERM_S = 100.0
WINDOW = 7
END_S = (WINDOW + 1) * WINDOW_S


def nothing_missing(window: int) -> bool:
    del window
    return False


def all_missing(window: int) -> bool:
    del window
    return True


def num_decided(
    schedule: WindowSchedule,
    after_s: float,
    is_missing: Callable[[int], bool] = all_missing,
    term_age_s: float = OLD_TERM_S,
    acts_in_s: float = 0.0,
    first_window: int = WINDOW,
    max_windows: int = 8,
) -> int:
    state = LeaderState(END_S + after_s, term_age_s, acts_in_s)
    return schedule.num_to_decide(first_window, state, is_missing, max_windows)


@given(
    after_s=st.floats(-6.0, 30.0),
    term_age_s=st.floats(0.0, 30.0),
    is_missing=st.booleans(),
    acts_in_s=st.floats(0.0, 9.0),
)
@settings(max_examples=500, derandomize=True, deadline=None)
def test_without_a_bound_the_rule_is_that_of_earlier_versions(
    after_s: float, term_age_s: float, is_missing: bool, acts_in_s: float
) -> None:
    overdue_s = (END_S + after_s) - (WINDOW + 1) * WINDOW_S - 2.5
    waits = is_missing and min(overdue_s, term_age_s) < 5.0
    expected = overdue_s >= 0.0 and term_age_s >= 1.5 and not waits
    missing = all_missing if is_missing else nothing_missing
    assert num_decided(UNBOUNDED, after_s, missing, term_age_s, acts_in_s) == expected


def test_without_a_bound_reports_are_delivered_in_order() -> None:
    reports = [WindowReport(window, {}) for window in (1, 2, 3)]
    chosen = UNBOUNDED.next_delivery(reports, {1}, {2: 99.0}, 40.0, 0.0)
    assert chosen == reports[1]
    assert UNBOUNDED.next_delivery(reports, {1, 2, 3}, {}, 40.0, 0.0) is None


def test_complete_window_is_decided_after_the_grace() -> None:
    assert num_decided(BOUNDED, WINDOW_GRACE_S - 0.1, nothing_missing) == 0
    assert num_decided(BOUNDED, WINDOW_GRACE_S, nothing_missing) == 1


@pytest.mark.parametrize("term_age_s", [0.0, 1.0, 4.9, OLD_TERM_S])
def test_incomplete_window_is_decided_while_it_can_be_delivered(term_age_s: float) -> None:
    """A new leader waited 5 s from its election, also when the report was late by then."""
    assert num_decided(BOUNDED, LAST_DECISION_S - 0.1, term_age_s=term_age_s) == 0
    assert num_decided(BOUNDED, LAST_DECISION_S, term_age_s=term_age_s) == 1
    assert num_decided(BOUNDED, LATE_S - 0.1, term_age_s=term_age_s) == 1


def test_late_window_waits_for_counts() -> None:
    """A report that is late anyway must not lack counts that arrive soon."""
    assert num_decided(BOUNDED, 11.0, term_age_s=2.0) == 0
    assert num_decided(BOUNDED, 11.0, nothing_missing, term_age_s=2.0) == 2
    assert num_decided(BOUNDED, 11.0, term_age_s=MISSING_COUNTS_TIMEOUT_S) == 1


def test_late_window_does_not_delay_one_that_can_be_in_time() -> None:
    """Windows are decided in order: each poll decided one, and each waited for its counts."""
    after_s = 3 * WINDOW_S + LAST_DECISION_S
    assert num_decided(BOUNDED, after_s, term_age_s=0.0) == 4
    assert num_decided(BOUNDED, after_s, term_age_s=0.0, max_windows=2) == 2


def test_new_leader_decides_before_it_may_deliver() -> None:
    """A leader began to wait for counts only when its handover had ended."""
    term_age_s = NEW_LEADER_WAIT_S + 0.1
    arguments = {"term_age_s": term_age_s, "is_missing": nothing_missing}
    assert num_decided(BOUNDED, 5.0, acts_in_s=DECISION_RESERVE_S + 0.1, **arguments) == 0  # type: ignore[arg-type]
    assert num_decided(BOUNDED, 5.0, acts_in_s=DECISION_RESERVE_S, **arguments) == 1  # type: ignore[arg-type]


def test_window_that_is_late_after_the_handover_waits_for_counts() -> None:
    assert num_decided(BOUNDED, 9.5, term_age_s=2.0, acts_in_s=1.0) == 0


def test_window_in_progress_is_never_decided() -> None:
    assert num_decided(BOUNDED, -0.1, nothing_missing) == 0
    assert num_decided(WindowSchedule(WINDOW_S, 1.0), -0.1) == 0


def test_short_bound_leaves_time_to_count() -> None:
    short = WindowSchedule(WINDOW_S, 2.0)
    assert num_decided(short, 0.9) == 0
    assert num_decided(short, 1.0) == 1


def test_reports_that_can_be_in_time_are_delivered_first() -> None:
    """After an outage, late reports took the time of those that could still be in time."""
    reports = [WindowReport(window, {}) for window in range(4)]
    time_s = 2 * WINDOW_S + LATE_S + 0.1
    order = []
    delivered: set[int] = set()
    while report := BOUNDED.next_delivery(reports, delivered, {}, time_s, 0.0):
        order.append(report.window)
        delivered.add(report.window)
    assert order == [2, 3, 0, 1]


def test_refused_report_holds_up_no_other_one() -> None:
    reports = [WindowReport(window, {}) for window in (1, 2)]
    chosen = BOUNDED.next_delivery(reports, set(), {1: 5.0}, 12.0, 4.9)
    assert chosen == reports[1]
    assert BOUNDED.next_delivery(reports, {2}, {1: 5.0}, 12.0, 4.9) is None
    assert BOUNDED.next_delivery(reports, {2}, {1: 5.0}, 12.0, 5.0) == reports[0]


@given(
    first_window=st.integers(0, 7),
    after_s=st.floats(0.0, 30.0),
    term_age_s=st.floats(0.0, 10.0),
    acts_in_s=st.floats(0.0, 6.0),
    complete_before=st.integers(0, 12),
)
@settings(max_examples=500, derandomize=True, deadline=None)
def test_windows_that_can_be_in_time_are_decided_while_they_can(
    first_window: int, after_s: float, term_age_s: float, acts_in_s: float, complete_before: int
) -> None:
    num = num_decided(
        BOUNDED,
        after_s,
        lambda window: window >= complete_before,
        term_age_s,
        acts_in_s,
        first_window,
        max_windows=100,
    )
    time_s = END_S + after_s
    for window in range(first_window, 20):
        age_s = BOUNDED.age_s(window, time_s)
        if window < first_window + num:
            assert age_s >= 0.0
        elif acts_in_s <= DECISION_RESERVE_S:
            assert age_s < LAST_DECISION_S or age_s + acts_in_s > LATE_S


@pytest.mark.parametrize(
    ("late_s", "acts_in_s", "age_s", "expected"),
    [
        (10.0, 0.0, 7.0, True),
        (10.0, 0.0, 11.0, False),
        (10.0, 0.5, 7.0, False),
        (None, 0.5, 11.0, True),
    ],
)
def test_undelivered_reports_are_dropped_only_for_one_that_can_be_in_time(
    late_s: float | None, acts_in_s: float, age_s: float, expected: bool
) -> None:
    """A new leader could drop reports that it was not allowed to deliver yet."""
    schedule = WindowSchedule(5.0, late_s)
    state = LeaderState(5.0 + age_s, 3.0, acts_in_s)
    assert schedule.may_displace_report(0, state) is expected
