"""Guards against missing, excessive or unsafe hedged attempts and against leaked attempts."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.forwarding.forwarder import CompleteAnswer, Forwarder
from hollowrack.forwarding.hedging import (
    HEDGE_FRACTION,
    MAX_HEDGE_BURST,
    MIN_DEFAULT_DELAY_S,
    MIN_SAMPLES,
    WINDOW_SIZE,
    HedgePolicy,
)
from hollowrack.forwarding.types import Route, RouteKind
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import make_forwarder, make_request, make_route

TARGET_S = 0.15
SLOW_S = 0.6
CONNECT_S = 0.001
LONG_S = 30.0


def lookup_route(kind: RouteKind = RouteKind.SAFE, max_attempts: int = 3) -> Route:
    return make_route(kind, target_latency_s=TARGET_S, max_attempts=max_attempts)


def make_back_ends_in_order(*behaviours: WorkerBehaviour) -> BackEndsStandin:
    """Workers that receive the behaviours in the order of their first requests."""
    back_ends = BackEndsStandin()
    unassigned = list(behaviours)

    class BehavioursInOrder(dict[str, WorkerBehaviour]):
        def setdefault(self, key: str, default: WorkerBehaviour | None = None) -> WorkerBehaviour:
            if key not in self:
                self[key] = unassigned.pop(0) if unassigned else default or WorkerBehaviour()
            return self[key]

    back_ends.behaviours = BehavioursInOrder()
    return back_ends


def record_fast_answers(forwarder: Forwarder) -> None:
    for _ in range(WINDOW_SIZE):
        forwarder.hedging.record_answer("svc", 0.02)


def spend_budget(forwarder: Forwarder) -> None:
    while forwarder.hedging.budget.spend_retry():
        pass


def test_late_request_is_hedged_and_first_attempt_cancelled() -> None:
    async def main() -> None:
        back_ends = make_back_ends_in_order(WorkerBehaviour(is_silent=True), WorkerBehaviour())
        forwarder, directory = make_forwarder(lookup_route(), back_ends)
        record_fast_answers(forwarder)
        started_s = now_s()
        answer = await forwarder.forward(make_request(lookup_route()))
        assert isinstance(answer, CompleteAnswer)
        assert now_s() - started_s == pytest.approx(TARGET_S + 0.02 + CONNECT_S)
        assert len(back_ends.worker_ids_by_request["q1"]) == 2
        assert back_ends.num_cancelled == 1
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


def test_first_attempt_continues_beside_hedged_attempt() -> None:
    async def main() -> None:
        first = WorkerBehaviour(work_s=TARGET_S + 0.05)
        back_ends = make_back_ends_in_order(first, WorkerBehaviour(work_s=SLOW_S))
        forwarder, _ = make_forwarder(lookup_route(), back_ends)
        record_fast_answers(forwarder)
        started_s = now_s()
        answer = await forwarder.forward(make_request(lookup_route()))
        assert isinstance(answer, CompleteAnswer)
        assert answer.body == f"q1 by {back_ends.worker_ids_by_request['q1'][0]}".encode()
        assert now_s() - started_s == pytest.approx(TARGET_S + 0.05 + CONNECT_S)

    run_virtual(main())


def test_one_of_simultaneous_answers_is_returned() -> None:
    async def main() -> None:
        latency_s = 0.4
        first = WorkerBehaviour(work_s=latency_s)
        back_ends = make_back_ends_in_order(first, WorkerBehaviour(work_s=latency_s - TARGET_S))
        forwarder, directory = make_forwarder(lookup_route(), back_ends)
        record_fast_answers(forwarder)
        answer = await forwarder.forward(make_request(lookup_route()))
        assert isinstance(answer, CompleteAnswer)
        assert answer.body in {
            f"q1 by {worker}".encode() for worker in back_ends.worker_ids_by_request["q1"]
        }
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


@pytest.mark.parametrize("failure", [{"num_lost_answers": 1}, {"num_errors": 1}])
def test_failed_first_attempt_waits_for_hedged_attempt(failure: dict[str, int]) -> None:
    async def main() -> None:
        first = WorkerBehaviour(work_s=0.25, **failure)  # type: ignore[arg-type]
        back_ends = make_back_ends_in_order(first, WorkerBehaviour(work_s=0.3))
        forwarder, _ = make_forwarder(lookup_route(max_attempts=2), back_ends)
        record_fast_answers(forwarder)
        answer = await forwarder.forward(make_request(lookup_route(max_attempts=2)))
        assert isinstance(answer, CompleteAnswer)
        assert answer.status == 200
        assert answer.body == f"q1 by {back_ends.worker_ids_by_request['q1'][1]}".encode()
        assert back_ends.num_cancelled == 0

    run_virtual(main())


def test_failed_hedged_attempt_waits_for_first_attempt() -> None:
    async def main() -> None:
        back_ends = make_back_ends_in_order(
            WorkerBehaviour(work_s=SLOW_S), WorkerBehaviour(num_lost_answers=1)
        )
        route = lookup_route(max_attempts=2)
        forwarder, _ = make_forwarder(route, back_ends)
        record_fast_answers(forwarder)
        answer = await forwarder.forward(make_request(route))
        assert isinstance(answer, CompleteAnswer)
        assert answer.body == f"q1 by {back_ends.worker_ids_by_request['q1'][0]}".encode()
        assert back_ends.num_cancelled == 0

    run_virtual(main())


def test_without_budget_first_attempt_continues() -> None:
    async def main() -> None:
        back_ends = make_back_ends_in_order(WorkerBehaviour(work_s=SLOW_S))
        forwarder, _ = make_forwarder(lookup_route(), back_ends)
        record_fast_answers(forwarder)
        spend_budget(forwarder)
        answer = await forwarder.forward(make_request(lookup_route()))
        assert isinstance(answer, CompleteAnswer)
        assert len(back_ends.worker_ids_by_request["q1"]) == 1
        assert back_ends.num_cancelled == 0

    run_virtual(main())


def test_without_budget_unresponsive_worker_is_replaced_after_half_the_time() -> None:
    async def main() -> None:
        back_ends = make_back_ends_in_order(WorkerBehaviour(is_silent=True))
        forwarder, _ = make_forwarder(lookup_route(), back_ends)
        spend_budget(forwarder)
        started_s = now_s()
        answer = await forwarder.forward(make_request(lookup_route()))
        assert isinstance(answer, CompleteAnswer)
        assert now_s() - started_s == pytest.approx(1.0 + 0.02 + CONNECT_S)
        assert len(back_ends.worker_ids_by_request["q1"]) == 2

    run_virtual(main())


@pytest.mark.parametrize(
    ("kind", "max_attempts"),
    [(RouteKind.UNSAFE, 3), (RouteKind.JOB, 3), (RouteKind.SAFE, 1)],
)
def test_request_that_may_not_be_repeated_is_not_hedged(kind: RouteKind, max_attempts: int) -> None:
    async def main() -> None:
        route = lookup_route(kind, max_attempts)
        back_ends = make_back_ends_in_order(WorkerBehaviour(is_silent=True))
        forwarder, _ = make_forwarder(route, back_ends)
        record_fast_answers(forwarder)
        outcome = await forwarder.forward(make_request(route))
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.OUTCOME_UNKNOWN
        assert back_ends.executions["q1"] == 1

    run_virtual(main())


def test_cancelled_request_cancels_both_attempts() -> None:
    async def main() -> None:
        silent = [WorkerBehaviour(is_silent=True) for _ in range(3)]
        back_ends = make_back_ends_in_order(*silent)
        forwarder, directory = make_forwarder(lookup_route(), back_ends)
        task = asyncio.create_task(forwarder.forward(make_request(lookup_route())))
        await asyncio.sleep(MIN_DEFAULT_DELAY_S + 0.01)
        assert sum(back_ends.running.values()) == 2
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


def test_delay_is_quantile_of_latencies() -> None:
    policy = HedgePolicy()
    assert policy.delay_s("svc", TARGET_S, LONG_S) == MIN_DEFAULT_DELAY_S
    for number in range(MIN_SAMPLES):
        policy.record_answer("svc", 0.01 * (number + 1))
    assert policy.delay_s("svc", TARGET_S, LONG_S) == TARGET_S
    for number in range(WINDOW_SIZE):
        policy.record_answer("svc", 1.0 if number < 4 else 0.3)
    assert policy.delay_s("svc", TARGET_S, LONG_S) == 1.0
    policy.record_answer("svc", 0.3)
    assert policy.delay_s("svc", TARGET_S, LONG_S) == 0.3
    assert policy.delay_s("svc", TARGET_S, 0.2) == 0.1
    assert policy.delay_s("other", TARGET_S, LONG_S) == MIN_DEFAULT_DELAY_S


def test_hedged_attempts_are_limited_to_fraction_of_requests() -> None:
    policy = HedgePolicy()
    num_requests = 500
    num_hedges = 0
    for _ in range(num_requests):
        policy.budget.record_request()
        num_hedges += policy.budget.spend_retry()
    assert num_hedges <= MAX_HEDGE_BURST + HEDGE_FRACTION * num_requests


BEHAVIOURS = st.builds(
    WorkerBehaviour,
    is_silent=st.booleans(),
    num_lost_answers=st.sampled_from([0, 0, 100]),
    num_errors=st.sampled_from([0, 0, 100]),
    work_s=st.sampled_from([0.02, TARGET_S, 0.25, 0.4, SLOW_S, 1.5]),
)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(BEHAVIOURS, min_size=1, max_size=5),
    st.sampled_from([RouteKind.SAFE, RouteKind.UNSAFE]),
    st.integers(1, 4),
    st.booleans(),
)
def test_attempt_limits_hold_for_any_mix_of_slow_workers(
    behaviours: list[WorkerBehaviour], kind: RouteKind, max_attempts: int, has_budget: bool
) -> None:
    async def main() -> None:
        route = lookup_route(kind, max_attempts)
        back_ends = make_back_ends_in_order(*behaviours)
        forwarder, directory = make_forwarder(route, back_ends, len(behaviours))
        if not has_budget:
            spend_budget(forwarder)
        started_s = now_s()
        outcome = await forwarder.forward(make_request(route))
        assert now_s() - started_s <= 2.01
        num_ran = back_ends.executions["q1"]
        assert num_ran <= (max_attempts if kind is RouteKind.SAFE else 1)
        if isinstance(outcome, Problem) and num_ran:
            assert DESCRIPTIONS[outcome.code].execution is not Execution.NOT_RUN
        assert sum(back_ends.running.values()) == 0
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())
