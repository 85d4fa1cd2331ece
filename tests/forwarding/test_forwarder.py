"""Guards against wrong answers, false "not run" reports and repeated runs when workers fail."""

import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.forwarder import CompleteAnswer
from hollowrack.forwarding.types import RouteKind
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import make_forwarder, make_request, make_route

HEALTHY = WorkerBehaviour()


def behaviour(**changes: object) -> WorkerBehaviour:
    return replace(HEALTHY, **changes)  # type: ignore[arg-type]


FAULTS = {
    "busy": {"refusal": NotRunReason.BUSY},
    "unreachable": {"refusal": NotRunReason.UNREACHABLE},
    "replaced": {"refusal": NotRunReason.REPLACED},
    "broken": {"num_lost_answers": 100},
    "silent": {"is_silent": True},
    "error": {"num_errors": 100},
}


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_safe_request_is_served_by_the_only_healthy_worker(fault: str) -> None:
    async def main() -> None:
        faulty = {f"w{index}": behaviour(**FAULTS[fault]) for index in range(2)}
        back_ends = BackEndsStandin(faulty)
        forwarder, directory = make_forwarder(make_route(), back_ends)
        for number in range(20):
            answer = await forwarder.forward(make_request(make_route(), f"q{number}"))
            assert isinstance(answer, CompleteAnswer)
            assert answer.status == 200
            assert answer.body == f"q{number} by w2".encode()
        assert all(count == 0 for count in back_ends.running.values())
        assert all(directory.num_in_flight(worker) == 0 for worker in directory.all())

    run_virtual(main())


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_unsafe_request_runs_at_most_once_and_not_run_is_accurate(fault: str) -> None:
    async def main() -> None:
        route = make_route(RouteKind.UNSAFE)
        back_ends = BackEndsStandin({f"w{n}": behaviour(**FAULTS[fault]) for n in range(3)})
        forwarder, _ = make_forwarder(route, back_ends)
        outcome = await forwarder.forward(make_request(route))
        assert back_ends.executions["q1"] <= 1
        if isinstance(outcome, Problem):
            has_run = back_ends.executions["q1"] > 0
            reports_not_run = DESCRIPTIONS[outcome.code].execution is Execution.NOT_RUN
            assert reports_not_run is not has_run

    run_virtual(main())


@pytest.mark.parametrize("fault", ["broken", "silent", "error"])
def test_route_limits_number_of_workers(fault: str) -> None:
    async def main() -> None:
        route = make_route(max_attempts=2)
        back_ends = BackEndsStandin({f"w{n}": behaviour(**FAULTS[fault]) for n in range(5)})
        forwarder, _ = make_forwarder(route, back_ends, num_workers=5)
        outcome = await forwarder.forward(make_request(route))
        assert len(set(back_ends.worker_ids_by_request["q1"])) <= 2
        assert isinstance(outcome, Problem) == (fault != "error")

    run_virtual(main())


def test_server_error_is_passed_on_unchanged() -> None:
    async def main() -> None:
        back_ends = BackEndsStandin({f"w{n}": behaviour(num_errors=9) for n in range(3)})
        forwarder, _ = make_forwarder(make_route(), back_ends)
        answer = await forwarder.forward(make_request(make_route()))
        assert isinstance(answer, CompleteAnswer)
        assert answer.status == 500
        assert answer.signature is not None

    run_virtual(main())


@pytest.mark.parametrize(("timeout_s", "caller_s"), [(0.5, 9.0), (9.0, 0.5), (None, 0.5)])
def test_request_times_out_at_earliest_deadline(timeout_s: float | None, caller_s: float) -> None:
    async def main() -> None:
        route = make_route(RouteKind.UNSAFE, timeout_s=timeout_s)
        back_ends = BackEndsStandin({f"w{n}": behaviour(is_silent=True) for n in range(3)})
        forwarder, _ = make_forwarder(route, back_ends)
        started_s = now_s()
        outcome = await forwarder.forward(make_request(route, deadline_s=now_s() + caller_s))
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.OUTCOME_UNKNOWN
        assert now_s() - started_s == pytest.approx(0.5, abs=0.01)
        assert max(back_ends.remaining_times_s) <= 0.5

    run_virtual(main())


def test_without_workers_retry_time_is_returned() -> None:
    async def main() -> None:
        forwarder, _ = make_forwarder(make_route(), BackEndsStandin(), num_workers=0)
        outcome = await forwarder.forward(make_request(make_route()))
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.NO_BACK_END
        assert outcome.retry_after_s is not None

    run_virtual(main())


def test_cancelled_request_is_cancelled_at_worker() -> None:
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
def test_attempt_limits_hold_for_any_mix_of_faults(
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
