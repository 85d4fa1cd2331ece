"""One request under the faults of workers: what is answered, and how often it ran."""

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.forwarder import WholeAnswer
from hollowrack.forwarding.types import RouteKind
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import make_forwarder, make_request, make_route

GOOD = WorkerBehaviour()


def behaviour(**changes: object) -> WorkerBehaviour:
    return replace(GOOD, **changes)  # type: ignore[arg-type]


FAULTS = {
    "busy": {"refusal": NotRunReason.BUSY},
    "unreachable": {"refusal": NotRunReason.UNREACHABLE},
    "replaced": {"refusal": NotRunReason.REPLACED},
    "broken": {"num_broken": 100},
    "silent": {"is_silent": True},
    "error": {"num_errors": 100},
}


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_a_safe_request_is_served_by_the_one_good_worker(fault: str) -> None:
    async def main() -> None:
        bad = {f"w{index}": behaviour(**FAULTS[fault]) for index in range(2)}
        back_ends = BackEndsStandin(bad)
        forwarder, directory = make_forwarder(make_route(), back_ends)
        for number in range(20):
            answer = await forwarder.forward(make_request(make_route(), f"q{number}"))
            assert isinstance(answer, WholeAnswer)
            assert answer.status == 200
            assert answer.body == f"q{number} by w2".encode()
        assert all(count == 0 for count in back_ends.running.values())
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_an_unsafe_request_never_runs_twice_and_not_run_is_true(fault: str) -> None:
    async def main() -> None:
        route = make_route(RouteKind.UNSAFE)
        back_ends = BackEndsStandin({f"w{n}": behaviour(**FAULTS[fault]) for n in range(3)})
        forwarder, _ = make_forwarder(route, back_ends)
        outcome = await forwarder.forward(make_request(route))
        assert back_ends.executions["q1"] <= 1
        if isinstance(outcome, Problem):
            has_run = back_ends.executions["q1"] > 0
            says_not_run = DESCRIPTIONS[outcome.code].execution is Execution.NOT_RUN
            assert says_not_run is not has_run

    run_virtual(main())


@pytest.mark.parametrize("fault", ["broken", "silent", "error"])
def test_the_number_of_workers_is_bounded_by_the_route(fault: str) -> None:
    async def main() -> None:
        route = make_route(max_attempts=2)
        back_ends = BackEndsStandin({f"w{n}": behaviour(**FAULTS[fault]) for n in range(5)})
        forwarder, _ = make_forwarder(route, back_ends, num_workers=5)
        outcome = await forwarder.forward(make_request(route))
        assert len(set(back_ends.ran_at["q1"])) <= 2
        assert isinstance(outcome, Problem) == (fault != "error")

    run_virtual(main())


def test_a_worker_that_failed_is_answered_as_it_answered() -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({f"w{n}": behaviour(num_errors=9) for n in range(3)})
        forwarder, _ = make_forwarder(make_route(), back_ends)
        answer = await forwarder.forward(make_request(make_route()))
        assert isinstance(answer, WholeAnswer)
        assert answer.status == 500
        assert answer.signature is not None

    run_virtual(main())


@pytest.mark.parametrize(("timeout_s", "caller_s"), [(0.5, 9.0), (9.0, 0.5), (None, 0.5)])
def test_the_final_answer_comes_when_the_time_is_up(
    timeout_s: float | None, caller_s: float
) -> None:
    async def main() -> None:
        route = make_route(RouteKind.UNSAFE, timeout_s=timeout_s)
        back_ends = BackEndsStandin({f"w{n}": behaviour(is_silent=True) for n in range(3)})
        forwarder, _ = make_forwarder(route, back_ends)
        started_s = now_s()
        outcome = await forwarder.forward(make_request(route, deadline_s=now_s() + caller_s))
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.OUTCOME_UNKNOWN
        assert now_s() - started_s == pytest.approx(0.5, abs=0.01)
        assert max(back_ends.time_handed_s) <= 0.5

    run_virtual(main())


def test_without_workers_the_caller_is_told_when_to_come_back() -> None:
    async def main() -> None:
        forwarder, _ = make_forwarder(make_route(), BackEndsStandin(), num_workers=0)
        outcome = await forwarder.forward(make_request(make_route()))
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.NO_BACK_END
        assert outcome.retry_after_s is not None

    run_virtual(main())


def test_a_caller_that_leaves_ends_the_work_at_the_worker() -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({"w0": behaviour(is_silent=True)})
        forwarder, directory = make_forwarder(make_route(), back_ends, num_workers=1)
        task = asyncio.create_task(forwarder.forward(make_request(make_route())))
        await asyncio.sleep(0.05)
        assert back_ends.running["w0"] == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert back_ends.running["w0"] == 0
        assert directory.num_in_flight(directory.all()[0]) == 0

    run_virtual(main())


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.sampled_from([*sorted(FAULTS), "good"]), min_size=1, max_size=5),
    st.sampled_from([RouteKind.SAFE, RouteKind.UNSAFE]),
    st.integers(1, 4),
)
def test_any_mix_of_workers_keeps_the_promises(
    faults: list[str], kind: RouteKind, max_attempts: int
) -> None:
    async def main() -> None:
        route = make_route(kind, max_attempts=max_attempts)
        behaviours = {
            f"w{index}": behaviour(**FAULTS.get(fault, {})) for index, fault in enumerate(faults)
        }
        back_ends = BackEndsStandin(behaviours)
        forwarder, _ = make_forwarder(route, back_ends, num_workers=len(faults))
        started_s = now_s()
        outcome = await forwarder.forward(make_request(route))
        assert now_s() - started_s <= 2.01
        num_ran = back_ends.executions["q1"]
        assert num_ran <= (max_attempts if kind is RouteKind.SAFE else 1)
        if isinstance(outcome, Problem) and num_ran:
            assert DESCRIPTIONS[outcome.code].execution is not Execution.NOT_RUN
        assert sum(back_ends.running.values()) == 0

    run_virtual(main())
