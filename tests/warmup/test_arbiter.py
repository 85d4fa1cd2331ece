"""Guards against leaders that grant more than half of the bound, or starve nodes."""

import math
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.results import ResultCode
from hollowrack.warmup.arbiter import MIN_REQUEST_INTERVAL_S, PENDING_WANT_TTL_S, PermitArbiter
from hollowrack.warmup.types import (
    GRANT_WINDOW_S,
    MAX_PERMITS,
    MAX_WANTS,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
    PermitWant,
    WarmupBounds,
    validate_grant,
)
from tests.warmup.fleet import BOUNDS, FakeLeadership

START_S = 100.0


def make_arbiter(rate: float = 12.0, bounds: WarmupBounds = BOUNDS) -> PermitArbiter:
    return PermitArbiter("n0#1", FakeLeadership(7, 0.0), bounds, lambda _: rate)


def want(number: int, worker: str = "w", priority: int = 1, num_unpermitted: int = 0) -> PermitWant:
    return PermitWant("svc", worker, 5, number, priority, num_unpermitted)


def ask(
    arbiter: PermitArbiter, now_s: float, *wants: PermitWant, node: str = "a"
) -> tuple[int, ...]:
    answer = arbiter.answer(PermitRequest(node, 1, wants), now_s)
    assert isinstance(answer, PermitGrant)
    return answer.counts


@pytest.mark.parametrize(
    ("rate", "bounds", "expected"),
    [
        (12.0, BOUNDS, 11),
        (4.0, BOUNDS, 5),
        (2.0, BOUNDS, 3),
        (1.0, BOUNDS, 1),
        (0.1, BOUNDS, 1),
        (0.1, WarmupBounds(1.5, 0.0), 0),
        (10.0, WarmupBounds(1.0, 0.0), 5),
    ],
)
def test_number_of_grants_is_half_of_the_bound(
    rate: float, bounds: WarmupBounds, expected: int
) -> None:
    assert bounds.max_grants(rate) == expected


@settings(max_examples=200, deadline=None)
@given(
    st.sampled_from([12.0, 4.0, 2.0, 1.0, 0.3]),
    st.lists(
        st.tuples(
            st.floats(0.0, 1.0),
            st.sampled_from("abc"),
            st.integers(0, 40),
            st.integers(0, 2),
            st.integers(0, 3),
        ),
        max_size=60,
    ),
)
def test_no_window_has_more_grants_than_half_of_the_bound(
    rate: float, steps: Sequence[tuple[float, str, int, int, int]]
) -> None:
    arbiter = make_arbiter(rate)
    now_s = START_S
    granted: list[float] = []
    for delay_s, node, number, priority, num_unpermitted in steps:
        now_s += delay_s
        (count,) = ask(
            arbiter,
            now_s,
            want(number, priority=priority, num_unpermitted=num_unpermitted),
            node=node,
        )
        assert 0 <= count <= number
        granted.extend([now_s] * count)
    for first_s in granted:
        in_window = sum(first_s <= at_s <= first_s + GRANT_WINDOW_S - 1e-9 for at_s in granted)
        assert in_window <= math.floor(BOUNDS.max_requests(rate) / 2)


def test_grants_are_spread_over_the_window_and_sustain_the_rate() -> None:
    arbiter = make_arbiter(12.0)
    steps = 200
    counts = [ask(arbiter, START_S + step * 0.1, want(20))[0] for step in range(steps)]
    assert counts[0] == 5
    # A worker that takes twelve requests a second gets no more than five at once.
    assert max(counts) == 5
    assert sum(counts) >= 0.95 * 11 / GRANT_WINDOW_S * steps * 0.1


def test_workers_and_their_incarnations_are_counted_apart_and_together() -> None:
    arbiter = make_arbiter(1.0)
    assert ask(arbiter, START_S, want(3), want(3, "other")) == (1, 1)
    # Some nodes still know the incarnation before: it is the same worker.
    assert ask(arbiter, START_S, PermitWant("svc", "w", 9, 3, 1)) == (0,)
    assert ask(arbiter, START_S + GRANT_WINDOW_S + 0.01, want(3)) == (1,)


def test_new_leader_waits_for_the_permits_of_the_one_before() -> None:
    leadership = FakeLeadership(7, START_S)
    arbiter = PermitArbiter("n0#1", leadership, BOUNDS, lambda _: 12.0)
    assert ask(arbiter, START_S + GRANT_WINDOW_S - 0.01, want(3)) == (0,)
    assert ask(arbiter, START_S + GRANT_WINDOW_S, want(3)) == (3,)
    leadership.fencing_token, leadership.leading_since_s = 9, START_S + 3.0
    assert ask(arbiter, START_S + 3.1, want(3)) == (0,)
    leadership.fencing_token = None
    answer = arbiter.answer(PermitRequest("a", 1, (want(1),)), START_S + 9.0)
    assert isinstance(answer, PermitRefusal)
    assert answer.code == ResultCode.NOT_LEADER


def test_better_priority_of_another_node_goes_first_until_it_stops_asking() -> None:
    arbiter = make_arbiter(1.0)
    assert ask(arbiter, START_S, want(1), node="a") == (1,)
    assert ask(arbiter, START_S + 1.8, want(1, priority=0), node="b") == (0,)
    at_s = START_S + GRANT_WINDOW_S + 0.01
    assert ask(arbiter, at_s, want(1, priority=2), node="a") == (0,)
    assert ask(arbiter, at_s, want(1, priority=0), node="b") == (1,)
    assert ask(arbiter, at_s + 0.1, want(1, priority=0), node="b") == (0,)
    at_s += GRANT_WINDOW_S + PENDING_WANT_TTL_S
    assert ask(arbiter, at_s, want(1, priority=2), node="a") == (1,)


def test_permits_are_divided_among_the_nodes_that_ask() -> None:
    arbiter = make_arbiter(12.0)
    assert ask(arbiter, START_S, want(20), node="a") == (5,)
    assert ask(arbiter, START_S + 0.05, want(20), node="b") == (0,)
    counts = [ask(arbiter, START_S + 0.45, want(20), node=node)[0] for node in ("c", "b", "a")]
    assert counts == [1, 1, 0]


def test_requests_sent_without_permits_count_against_the_grants() -> None:
    arbiter = make_arbiter(12.0)
    assert ask(arbiter, START_S, want(20, num_unpermitted=9)) == (2,)
    assert ask(arbiter, START_S + 0.5, want(20)) == (0,)
    assert ask(arbiter, START_S + GRANT_WINDOW_S + 0.01, want(20)) != (0,)


def test_nodes_are_told_to_ask_less_often_the_more_they_are() -> None:
    arbiter = make_arbiter()

    def interval_s(node: str, now_s: float) -> float:
        answer = arbiter.answer(PermitRequest(node, 1, (want(1),)), now_s)
        assert isinstance(answer, PermitGrant)
        return answer.retry_in_s

    assert interval_s("a", START_S) == MIN_REQUEST_INTERVAL_S
    for index in range(71):
        interval_s(f"n{index}", START_S + 0.1)
    assert 0.3 <= interval_s("a", START_S + 0.2) <= 0.4
    assert interval_s("a", START_S + 10.0) == MIN_REQUEST_INTERVAL_S


@pytest.mark.parametrize(
    "request_",
    [
        PermitRequest("", 1, ()),
        PermitRequest("n" * 257, 1, ()),
        PermitRequest("a", 1, (want(1),) * (MAX_WANTS + 1)),
        PermitRequest("a", 1, (PermitWant("", "w", 1, 1, 1),)),
        PermitRequest("a", 1, (PermitWant("svc", "", 1, 1, 1),)),
        PermitRequest("a", 1, (PermitWant("svc", "w", -1, 1, 1),)),
        PermitRequest("a", 1, (want(-1),)),
        PermitRequest("a", 1, (want(MAX_PERMITS + 1),)),
        PermitRequest("a", 1, (want(1, priority=-1),)),
        PermitRequest("a", 1, (want(1, num_unpermitted=-5),)),
    ],
)
def test_invalid_requests_are_rejected_and_counted(request_: PermitRequest) -> None:
    arbiter = make_arbiter()
    answer = arbiter.answer(request_, START_S)
    assert isinstance(answer, PermitRefusal)
    assert answer.code == ResultCode.MESSAGE_INVALID
    assert arbiter.num_refused == 1


@pytest.mark.parametrize(
    "grant",
    [
        PermitGrant("n0", 1, 2, (1,), 0.1),
        PermitGrant("n0", 1, 1, (), 0.1),
        PermitGrant("n0", 1, 1, (3,), 0.1),
        PermitGrant("n0", 1, 1, (-1,), 0.1),
        PermitGrant("n0", 1, 1, (1,), math.nan),
        PermitGrant("n0", 1, 1, (1,), 1e308),
    ],
)
def test_invalid_grants_are_rejected(grant: PermitGrant) -> None:
    assert validate_grant(grant, PermitRequest("a", 1, (want(2),))) is not None
