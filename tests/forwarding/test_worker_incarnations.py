"""Guards against state of an earlier incarnation being applied to a restarted worker."""

import asyncio
from dataclasses import replace

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank
from hollowrack.forwarding.forwarder import CompleteAnswer
from hollowrack.forwarding.types import RouteKind, Worker, WorkerIncarnation
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import (
    make_directory,
    make_forwarder,
    make_request,
    make_route,
    make_worker,
)

FIRST = replace(make_worker("w0"), started_ms=1000)
SECOND = replace(FIRST, started_ms=2000)


def test_entry_of_earlier_incarnation_is_ignored() -> None:
    async def main() -> None:
        directory = make_directory(
            FIRST, SECOND, replace(FIRST, is_leaving=True), make_worker("w0")
        )
        assert directory.all() == [SECOND]
        changed = replace(SECOND, capacity=9)
        directory.update(changed)
        assert directory.all() == [changed]
        directory.remove("w0")
        assert directory.all() == []

    run_virtual(main())


def test_observations_do_not_carry_over_to_next_incarnation() -> None:
    async def main() -> None:
        other = make_worker("w1")
        directory = make_directory(FIRST, other)
        for _ in range(8):
            directory.record_latency(FIRST, 1.0)
            directory.record_latency(other, 0.1)
        for _ in range(FIRST.capacity):
            directory.reserve_slot(FIRST)
        directory.record_unreachable(FIRST)
        assert directory.is_much_slower(FIRST)
        directory.update(SECOND)
        assert not directory.is_much_slower(SECOND)
        assert directory.num_in_flight(SECOND) == 0
        assert directory.choose("svc", (other.incarnation,)) == SECOND
        assert (
            directory.choose_for_run("svc", (other.incarnation, FIRST.incarnation), lambda _: True)
            == SECOND
        )
        # Late observations of the first incarnation have no effect on the second.
        directory.record_unreachable(FIRST)
        directory.record_not_run(FIRST, NotRunReason.REPLACED)
        assert directory.choose_for_run("svc", (other.incarnation,), lambda _: True) == SECOND

    run_virtual(main())


def test_requests_in_flight_are_counted_per_incarnation() -> None:
    async def main() -> None:
        directory = make_directory(FIRST)
        directory.reserve_slot(FIRST)
        directory.update(SECOND)
        directory.reserve_slot(SECOND)
        assert (directory.num_in_flight(FIRST), directory.num_in_flight(SECOND)) == (1, 1)
        directory.release_slot(FIRST)
        directory.record_success(FIRST)
        assert (directory.num_in_flight(FIRST), directory.num_in_flight(SECOND)) == (0, 1)
        assert set(directory._observations) == {SECOND.incarnation}

    run_virtual(main())


def test_safe_request_may_be_retried_at_next_incarnation() -> None:
    async def main() -> None:
        route = make_route(max_attempts=2)
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(num_lost_answers=1)})
        forwarder, directory = make_forwarder(route, back_ends, num_workers=1)
        directory.update(FIRST)
        forwarding = asyncio.create_task(forwarder.forward(make_request(route)))
        await asyncio.sleep(0.01)
        directory.update(SECOND)
        assert isinstance(await forwarding, CompleteAnswer)
        assert back_ends.worker_ids_by_request["q1"] == ["w0", "w0"]

    run_virtual(main())


def test_each_incarnation_counts_as_attempt() -> None:
    async def main() -> None:
        route = make_route(max_attempts=2)
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(num_lost_answers=9)})
        forwarder, directory = make_forwarder(route, back_ends, num_workers=1)
        directory.update(FIRST)
        forwarding = asyncio.create_task(forwarder.forward(make_request(route)))
        for started_ms in (2000, 3000, 4000):
            await asyncio.sleep(0.01)
            directory.update(replace(FIRST, started_ms=started_ms))
        assert isinstance(await forwarding, Problem)
        assert back_ends.executions["q1"] == 2

    run_virtual(main())


def test_unsafe_request_is_not_retried_at_next_incarnation() -> None:
    async def main() -> None:
        route = make_route(RouteKind.UNSAFE)
        back_ends = BackEndsStandin({"w0": WorkerBehaviour(num_lost_answers=1)})
        forwarder, directory = make_forwarder(route, back_ends, num_workers=1)
        directory.update(FIRST)
        forwarding = asyncio.create_task(forwarder.forward(make_request(route)))
        await asyncio.sleep(0.01)
        directory.update(SECOND)
        outcome = await forwarding
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.OUTCOME_UNKNOWN
        assert back_ends.executions["q1"] == 1

    run_virtual(main())


def test_waiting_run_gets_slot_at_next_incarnation_of_avoided_worker() -> None:
    async def main() -> None:
        directory = make_directory(FIRST, replace(make_worker("w1"), capacity=0))
        for _ in range(FIRST.capacity):
            directory.reserve_slot(FIRST)
        queue = DispatchQueue(directory)
        avoided = frozenset({FIRST.incarnation})

        async def acquire() -> tuple[Worker, float]:
            return await queue.acquire(
                "svc", lambda: DispatchRank(0), lambda w: w.id == "w0", avoided
            ), now_s()

        waiting = asyncio.create_task(acquire())
        await asyncio.sleep(1.0)
        directory.update(SECOND)
        assert await waiting == (SECOND, 1.0)

    run_virtual(main())


def test_incarnation_is_formatted_with_known_start_time() -> None:
    assert str(WorkerIncarnation("w0", 1000)) == "w0@1000"
    assert str(WorkerIncarnation("w0")) == "w0"
