"""Guards against permits for cold workers that go to the wrong requests, or come too late."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.evacuation.send_condition import EvacuationCondition
from hollowrack.evacuation.zones import EvacuatedZones
from hollowrack.forwarding.back_end import BackEndCall, NotRunReason
from hollowrack.forwarding.dispatch_rank import WorkKind
from hollowrack.forwarding.forwarder import CompleteAnswer
from hollowrack.forwarding.stream_forwarder import StreamForwarder, StreamHead
from hollowrack.forwarding.types import RouteKind, Worker
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.results import Problem, ResultCode
from hollowrack.warmup.admission import MAX_RETRY_AFTER_S, MAX_STREAM_WAIT_S, MAX_WAIT_S
from hollowrack.warmup.types import GRANT_WINDOW_S
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.forwarding.helpers import make_meter, make_request, make_route
from tests.warmup.fleet import BOUNDS, Fleet, FleetNode, excesses, make_worker

LEADER_WAIT_S = GRANT_WINDOW_S + 0.1


async def make_fleet(num_nodes: int = 1, rate: float = 12.0) -> tuple[Fleet, FleetNode]:
    """Return a fleet whose leader may grant, and its first node."""
    fleet = Fleet(3, num_nodes, rate)
    fleet.elect("n0", 1)
    await asyncio.sleep(LEADER_WAIT_S)
    return fleet, fleet.nodes["n0"]


def make_streams(node: FleetNode) -> StreamForwarder:
    assert node.control is not None
    streams = StreamForwarder(
        node.routes,
        node.workers,
        node.back_ends,
        node.queue,
        lambda _: None,
        make_meter(),
        Quarantine(node.back_ends),
    )
    streams.cold_admission = node.control.admission
    return streams


def worker_ids(fleet: Fleet) -> set[str]:
    return {worker_id for worker_id, arrivals in fleet.arrivals.items() if arrivals}


def test_plain_requests_go_to_warm_workers_with_room() -> None:
    async def main() -> None:
        fleet, node = await make_fleet()
        node.update(make_worker("cold", 30.0))
        node.update(make_worker("warm"))
        outcomes = [await node.send_plain(f"q{index}") for index in range(40)]
        assert all(isinstance(outcome, CompleteAnswer) for outcome in outcomes)
        assert worker_ids(fleet) == {"warm"}
        assert node.control is not None
        assert not node.control.requester.num_asked
        await fleet.stop()

    run_virtual(main())


def test_plain_requests_go_to_a_cold_worker_if_no_warm_one_has_room() -> None:
    async def main() -> None:
        fleet, node = await make_fleet()
        fleet.back_ends.behaviours["warm"] = WorkerBehaviour(work_s=1.0)
        node.update(make_worker("cold", 30.0))
        node.update(make_worker("warm", capacity=2))
        for _ in range(5):
            fleet.start_plain(node)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert len(fleet.arrivals["cold"]) == 3
        await fleet.stop()

    run_virtual(main())


def test_request_does_not_wait_long_for_a_permit_while_warm_workers_are_busy() -> None:
    """Without a leader no permit comes; the busy worker takes the request."""

    async def main() -> None:
        fleet = Fleet(3, 1, 12.0)
        node = fleet.nodes["n0"]
        fleet.back_ends.behaviours["warm"] = WorkerBehaviour(work_s=0.6)
        node.update(make_worker("cold", 30.0))
        node.update(make_worker("warm", capacity=1))
        sent_s = now_s()
        outcomes = await asyncio.gather(*(node.send_plain(f"q{index}") for index in range(2)))
        assert all(isinstance(outcome, CompleteAnswer) for outcome in outcomes)
        assert now_s() - sent_s <= 0.6 + 0.11
        assert worker_ids(fleet) == {"warm"}
        await fleet.stop()

    run_virtual(main())


def test_hedged_attempts_do_not_go_to_cold_workers() -> None:
    async def main() -> None:
        fleet, node = await make_fleet()
        fleet.back_ends.behaviours["slow"] = WorkerBehaviour(work_s=1.5)
        node.update(make_worker("cold", 30.0))
        node.update(make_worker("slow"))
        assert isinstance(await node.send_plain("q1"), CompleteAnswer)
        assert worker_ids(fleet) == {"slow"}
        await fleet.stop()

    run_virtual(main())


def test_requests_without_a_permit_are_refused_soon_with_a_time_to_retry() -> None:
    async def main() -> None:
        fleet, node = await make_fleet(rate=1.0)
        node.update(make_worker("cold", 30.0))
        sent_s = now_s()
        outcomes = await asyncio.gather(*(node.send_plain(f"q{index}") for index in range(20)))
        assert now_s() - sent_s <= MAX_WAIT_S + 0.05
        refused = [outcome for outcome in outcomes if isinstance(outcome, Problem)]
        assert len(refused) == 19
        assert {problem.code for problem in refused} == {ResultCode.WORKERS_COLD}
        times_s = [problem.retry_after_s for problem in refused]
        # One permit comes per window.
        assert all(
            seconds is not None and 1.0 <= seconds <= MAX_RETRY_AFTER_S for seconds in times_s
        )
        await fleet.stop()

    run_virtual(main())


def test_permits_go_to_the_best_priority_and_then_to_the_first_that_came() -> None:
    async def main() -> None:
        fleet, node = await make_fleet(rate=4.0)
        node.update(make_worker("cold", 30.0))
        sends = [
            asyncio.create_task(node.send_plain(f"q{index}", priority))
            for index, priority in enumerate([2, 2, 1, 0, 1])
        ]
        outcomes = await asyncio.gather(*sends)
        ids = [arrival.request_id for arrival in fleet.arrivals["cold"]]
        assert ids[:2] == ["q3", "q2"]
        assert sum(isinstance(outcome, CompleteAnswer) for outcome in outcomes) == len(ids)
        await fleet.stop()

    run_virtual(main())


def test_waiting_requests_are_released_when_a_worker_is_warm() -> None:
    async def main() -> None:
        fleet = Fleet(3, 1, 12.0)
        node = fleet.nodes["n0"]
        node.update(make_worker("cold", 30.0))
        send = asyncio.create_task(node.send_plain("q1"))
        await asyncio.sleep(0.1)
        node.update(make_worker("warm"))
        assert isinstance(await send, CompleteAnswer)
        await fleet.stop()

    run_virtual(main())


def test_permit_of_a_cancelled_request_goes_to_the_next() -> None:
    async def main() -> None:
        fleet, node = await make_fleet(rate=4.0)
        assert node.control is not None
        node.update(make_worker("cold", 30.0))
        sends = [asyncio.create_task(node.send_plain(f"q{index}")) for index in range(3)]
        while node.control.permits.reserved_worker("q0") is None:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0)
        sent_s = now_s()
        sends[0].cancel()
        # Two permits come at once, and the next one 0.4 s later.
        assert isinstance(await sends[2], CompleteAnswer)
        assert now_s() - sent_s < 0.1
        await fleet.stop()

    run_virtual(main())


def test_worker_that_turns_cold_after_it_was_chosen_gets_nothing_without_a_permit() -> None:
    async def main() -> None:
        fleet = Fleet(3, 1, 12.0)
        node = fleet.nodes["n0"]
        node.update(make_worker("w"))
        sends = [asyncio.create_task(node.send_plain(f"q{index}")) for index in range(5)]
        await asyncio.sleep(0)
        node.update(make_worker("w", 30.0))
        outcomes = await asyncio.gather(*sends)
        assert not fleet.arrivals["w"]
        assert {outcome.code for outcome in outcomes if isinstance(outcome, Problem)} == {
            ResultCode.WORKERS_COLD
        }
        await fleet.stop()

    run_virtual(main())


def test_each_attempt_of_a_request_uses_a_permit_of_its_own() -> None:
    async def main() -> None:
        fleet, node = await make_fleet()
        assert node.control is not None
        for name in ("c0", "c1"):
            node.update(make_worker(name, 30.0))
            fleet.back_ends.behaviours[name] = WorkerBehaviour()
        fleet.back_ends.behaviours["c0"].num_lost_answers = 1
        outcomes = [await node.send_plain(f"q{index}") for index in range(2)]
        assert all(isinstance(outcome, CompleteAnswer) for outcome in outcomes)
        num_arrivals = sum(map(len, fleet.arrivals.values()))
        assert num_arrivals == node.control.permits.num_used["svc"] == 3
        await fleet.stop()

    run_virtual(main())


def test_items_use_cold_workers_only_with_permits_and_beside_warm_ones() -> None:
    async def main() -> None:
        fleet, node = await make_fleet()
        node.update(make_worker("cold", 30.0))
        node.update(make_worker("warm", capacity=2))
        fleet.back_ends.behaviours["warm"] = WorkerBehaviour(work_s=1.0)
        for _ in range(40):
            fleet.start_run(node, WorkKind.JOB_ITEM)
        await asyncio.sleep(4.0)
        assert node.control is not None
        num_used = node.control.permits.num_used["svc"]
        assert len(fleet.arrivals["cold"]) == num_used
        assert num_used >= 20
        assert not excesses(fleet)
        await fleet.stop()

    run_virtual(main())


def test_stream_is_refused_if_all_workers_stay_cold() -> None:
    async def main() -> None:
        fleet = Fleet(3, 1, 12.0)
        node = fleet.nodes["n0"]
        assert node.control is not None
        node.update(make_worker("cold", 30.0))
        streams = make_streams(node)
        for is_resumable in (True, False):
            route = make_route(RouteKind.STREAM, is_resumable=is_resumable, timeout_s=20.0)
            sent_s = now_s()
            parts = [part async for part in streams.forward(make_request(route), None)]
            assert now_s() - sent_s <= MAX_STREAM_WAIT_S + 0.05
            (problem,) = parts
            assert isinstance(problem, Problem)
            assert problem.code is ResultCode.WORKERS_COLD
        fleet.elect("n0", 1)
        await asyncio.sleep(LEADER_WAIT_S)
        for is_resumable in (True, False):
            route = make_route(RouteKind.STREAM, is_resumable=is_resumable, timeout_s=20.0)
            parts = [part async for part in streams.forward(make_request(route), None)]
            assert isinstance(parts[0], StreamHead)
        assert len(fleet.arrivals["cold"]) == 2
        await fleet.stop()

    run_virtual(main())


class EvacuationAtFirstSend:
    """Evacuates a zone after the worker of a request was chosen, just before the last check.

    The node learns of another worker at the same time, if one is given.
    """

    def __init__(self, node: FleetNode, zone: str, other: Worker | None) -> None:
        self.num_sends = 0
        self._node = node
        self._zone = zone
        self._other = other
        self._zones = EvacuatedZones()
        node.workers.evacuated_zones = self._zones.zones
        self._zones.on_change(node.workers.evacuated_zones_changed)
        node.back_ends.conditions[:0] = [self, EvacuationCondition(self._zones)]

    def allows(self, worker: Worker, call: BackEndCall) -> bool:
        del worker, call
        self.num_sends += 1
        assert self.num_sends < 10, "the request is sent again and again to an evacuated worker"
        self._zones.evacuate(self._zone)
        if self._other is not None and self.num_sends == 1:
            self._node.update(self._other)
        return True


@pytest.mark.parametrize("other", [None, make_worker("other", 30.0), make_worker("other")])
def test_permit_for_a_worker_whose_zone_was_evacuated_is_given_up(other: Worker | None) -> None:
    """Guards against repeated sends to that worker, which never pause, until the permit expires."""

    async def main() -> None:
        for is_stream in (False, True):
            fleet, node = await make_fleet()
            node.update(replace(make_worker("evacuated", 30.0), zone="z2"))
            evacuation = EvacuationAtFirstSend(node, "z2", other)
            outcome: object
            if is_stream:
                route = make_route(RouteKind.STREAM, timeout_s=5.0)
                parts = make_streams(node).forward(make_request(route), None)
                outcome = await anext(parts)
            else:
                outcome = await node.send_plain("q1")
            if other is not None:
                assert isinstance(outcome, StreamHead if is_stream else CompleteAnswer)
                assert worker_ids(fleet) == {"other"}
            else:
                assert isinstance(outcome, Problem)
                assert outcome.code is ResultCode.ZONES_EVACUATED
            assert evacuation.num_sends == (1 if other is None else 2)
            await fleet.stop()

    run_virtual(main())


def test_stream_refused_by_a_cold_worker_is_not_sent_there_again() -> None:
    """Guards against a stream that is sent to one full worker for as long as permits come."""

    async def main() -> None:
        fleet, node = await make_fleet()
        fleet.back_ends.behaviours["cold"] = WorkerBehaviour(refusal=NotRunReason.BUSY)
        node.update(make_worker("cold", 30.0))
        route = make_route(RouteKind.STREAM, timeout_s=2.0)
        async with asyncio.timeout(2.0):
            parts = [part async for part in make_streams(node).forward(make_request(route), None)]
        (problem,) = parts
        assert isinstance(problem, Problem)
        assert problem.code in {ResultCode.NO_BACK_END, ResultCode.WORKERS_COLD}
        assert len(fleet.arrivals["cold"]) == 1
        await fleet.stop()

    run_virtual(main())


def test_resumable_stream_that_a_cold_worker_refused_does_not_wait_until_it_is_warm() -> None:
    async def main() -> None:
        fleet, node = await make_fleet()
        fleet.back_ends.behaviours["cold"] = WorkerBehaviour(refusal=NotRunReason.BUSY)
        node.update(make_worker("cold", 30.0))
        route = make_route(RouteKind.STREAM, is_resumable=True, timeout_s=20.0)
        streams = make_streams(node)
        sent_s = now_s()

        async def end_permits() -> None:
            while not fleet.arrivals["cold"]:  # noqa: ASYNC110 (no event)
                await asyncio.sleep(0.001)
            node.known_leader = None

        ending = asyncio.create_task(end_permits())
        parts = [part async for part in streams.forward(make_request(route), None)]
        await ending
        (problem,) = parts
        assert isinstance(problem, Problem)
        assert problem.code is ResultCode.WORKERS_COLD
        assert now_s() - sent_s <= 2 * MAX_STREAM_WAIT_S
        await fleet.stop()

    run_virtual(main())


def test_requests_with_the_same_identifier_each_use_their_permit() -> None:
    """Guards against an error when a client repeats a request while the first one waits."""

    async def main() -> None:
        for request_id in ("q1", ""):
            fleet, node = await make_fleet()
            for name in ("c0", "c1"):
                node.update(make_worker(name, 30.0))
            outcomes = await asyncio.gather(*(node.send_plain(request_id) for _ in range(4)))
            assert all(isinstance(outcome, CompleteAnswer) for outcome in outcomes)
            await fleet.stop()

    run_virtual(main())


def test_permit_assigned_when_the_wait_ends_is_used() -> None:
    """Guards against a refused request that keeps its permit from others until it expires."""

    async def main() -> None:
        fleet = Fleet(3, 1, 12.0)
        node = fleet.nodes["n0"]
        assert node.control is not None
        worker = make_worker("cold", 30.0)
        node.update(worker)
        control, loop = node.control, asyncio.get_running_loop()
        send = asyncio.create_task(node.send_plain("q1"))
        while not control.admission.num_waiting:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0)

        def assign() -> None:
            control.permits.add(worker, 1, now_s() + 0.4)
            control.admission.assign_permits()

        # Runs in the same iteration of the loop as the end of the wait, just before it.
        loop.call_at(now_s() + MAX_WAIT_S - 1e-12, assign)
        assert isinstance(await send, CompleteAnswer)
        await fleet.stop()

    run_virtual(main())


def test_requests_limited_to_one_region_do_not_displace_others() -> None:
    """Guards against a surplus counted over all waiting requests, but for the workers of one."""

    async def main() -> None:
        fleet = Fleet(3, 1, 4.0)
        node = fleet.nodes["n0"]
        assert node.control is not None
        for index in range(8):
            node.update(make_worker(f"c{index}", 30.0))
        sends = [asyncio.create_task(node.send_plain(f"q{index}")) for index in range(10)]
        await asyncio.sleep(0.01)
        limited = make_request(make_route(priority=0), "limited")
        turn = asyncio.create_task(
            node.control.admission.wait_turn(
                limited.call, limited.route, "svc", 2.0, lambda worker: worker.id == "c0"
            )
        )
        await asyncio.sleep(0.01)
        assert not any(send.done() for send in sends)
        for task in (turn, *sends):
            task.cancel()
        await fleet.stop()

    run_virtual(main())


def test_nothing_is_computed_for_waiting_runs_while_no_worker_is_cold() -> None:
    """Guards against work after each dispatch pass because a worker has started recently."""

    async def main() -> None:
        for rate in (0.0, 12.0):
            fleet = Fleet(3, 1, rate)
            node = fleet.nodes["n0"]
            assert node.control is not None
            # Its entry states no time, and it has run for longer than ``cold-start-s``.
            node.update(make_worker("starting", None, int((1e9 - 20.0) * 1000), capacity=1))
            assert node.control.coldness.has_countdowns()
            fleet.back_ends.behaviours["starting"] = WorkerBehaviour(work_s=1.0)
            num_requested = 0

            def count() -> None:
                nonlocal num_requested
                num_requested += 1

            node.control.requester.request_permits = count  # type: ignore[method-assign]
            for _ in range(3):
                fleet.start_run(node)
            await asyncio.sleep(0.5)
            assert num_requested == 0
            await fleet.stop()

    run_virtual(main())


def test_admission_looks_at_no_worker_if_the_service_has_no_rate() -> None:
    """Guards against a search per request where no worker can be cold."""

    async def main() -> None:
        fleet = Fleet(3, 1, 0.0)
        node = fleet.nodes["n0"]
        assert node.control is not None
        admission = node.control.admission
        worker = make_worker("w", 30.0)
        node.update(worker)
        request = make_request(make_route())
        looked_at: list[Worker] = []

        def is_eligible(worker: Worker) -> bool:
            looked_at.append(worker)
            return True

        async def acquire() -> Worker:
            return worker

        assert (
            await admission.wait_turn(request.call, request.route, "svc", 1.0, is_eligible) is None
        )
        assert (
            await admission.acquire_for_stream(request.call, "svc", acquire, is_eligible) == worker
        )
        assert not looked_at
        await fleet.stop()

    run_virtual(main())


def test_grants_with_a_lower_fencing_token_are_rejected() -> None:
    async def main() -> None:
        fleet, node = await make_fleet(2)
        assert node.control is not None
        node.update(make_worker("cold", 30.0))
        assert isinstance(await node.send_plain("q1"), CompleteAnswer)
        fleet.elect("n1", 0)
        await asyncio.sleep(LEADER_WAIT_S)
        assert isinstance(await node.send_plain("q2"), Problem)
        assert node.control.requester.num_rejected >= 1
        assert len(fleet.arrivals["cold"]) == 1
        await fleet.stop()

    run_virtual(main())


def test_one_request_of_a_node_is_in_flight_and_its_rate_is_bounded() -> None:
    """Dozens of nodes that ask for each waiting request would overload the leader."""

    async def main() -> None:
        fleet, _ = await make_fleet(4)
        for index in range(10):
            fleet.update_all(make_worker(f"w{index}", 60.0))
        fleet.num_requests = 0
        await fleet.run_load(5.0, 2000.0)
        # Three nodes ask over the network, every 0.1 s at most.
        assert fleet.num_requests <= 3 * 52
        await fleet.stop()

    run_virtual(main())


def test_nothing_is_asked_while_nothing_waits() -> None:
    async def main() -> None:
        fleet, node = await make_fleet(2)
        fleet.update_all(make_worker("cold", 60.0))
        await asyncio.sleep(5.0)
        assert fleet.num_requests == 0
        assert not node.control or not node.control.requester.num_asked
        await fleet.stop()

    run_virtual(main())


def test_late_answer_of_a_frozen_leader_permits_nothing() -> None:
    async def main() -> None:
        fleet, _ = await make_fleet(2)
        node = fleet.nodes["n1"]
        node.update(make_worker("cold", 60.0))
        fleet.nodes["n0"].frozen_until_s = now_s() + 3.0
        assert isinstance(await node.send_plain("q1"), Problem)
        await asyncio.sleep(3.0)
        assert node.control is not None
        assert node.control.permits.num_granted["svc"] == 1
        assert not fleet.arrivals["cold"]
        await fleet.stop()

    run_virtual(main())


async def run_without_limit(bounds_are_set: bool) -> list[tuple[str, str, float]]:
    """Run a load at workers of which some are cold; returns what arrived where and when."""
    bounds = BOUNDS if bounds_are_set else None
    fleet = Fleet(9, 4, 0.0, bounds)
    fleet.elect("n0", 1)
    for index in range(5):
        fleet.update_all(make_worker(f"w{index}", 30.0 if index % 2 else 0.0, capacity=3))
    await fleet.run_load(5.0, 300.0)
    await asyncio.sleep(1.0)
    assert fleet.num_requests == 0
    await fleet.stop()
    return [
        (worker_id, arrival.request_id, arrival.arrived_s)
        for worker_id in sorted(fleet.arrivals)
        for arrival in fleet.arrivals[worker_id]
    ]


def test_choices_are_the_same_where_the_service_has_no_rate_or_the_settings_no_bound() -> None:
    without_bound = run_virtual(run_without_limit(bounds_are_set=False))
    assert len(without_bound) > 500
    assert run_virtual(run_without_limit(bounds_are_set=True)) == without_bound
