"""Guards against requests that reach workers outside of their allowed regions."""

import asyncio
import random
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import NotRunError, NotRunReason
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.dispatch_rank import DispatchRank, WorkKind
from hollowrack.forwarding.forwarder import CompleteAnswer, Forwarder, ForwardRequest
from hollowrack.forwarding.load_shedding import LoadShedder
from hollowrack.forwarding.send_guard import GuardedBackEnds
from hollowrack.forwarding.stream_forwarder import (
    REGION_CHECK_INTERVAL_S,
    StreamForwarder,
    StreamHead,
    StreamPart,
)
from hollowrack.forwarding.types import Route, RouteKind, Worker
from hollowrack.forwarding.workers import WorkerDirectory, any_worker
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.regions.allowed_regions import AllowedRegions
from hollowrack.regions.conditions import RegionCondition, RegionSendCondition
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.forwarding.helpers import make_meter, make_request, make_route, make_table
from tests.regions.helpers import R1, R2, TOPOLOGY, RecordingBackEnds

RANK = DispatchRank(1, WorkKind.CALLER_STREAM)


def worker_in(zone: str, name: str, capacity: int = 4) -> Worker:
    return Worker(name, "svc", "127.0.0.1:1", zone, capacity)


def restricted(request: ForwardRequest, allowed_regions: AllowedRegions) -> ForwardRequest:
    return replace(request, call=replace(request.call, allowed_regions=allowed_regions))


class Node:
    """Forwarders of one node in front of workers w0 and w1 in region r1, w2 and w3 in r2."""

    def __init__(self, *routes: Route) -> None:
        self.back_ends = RecordingBackEnds()
        self.workers = WorkerDirectory("z1", random.Random(1), TOPOLOGY)
        for index in range(4):
            self.workers.update(worker_in("z1" if index < 2 else "z2", f"w{index}"))
        self.guard = GuardedBackEnds(self.back_ends, RegionSendCondition(TOPOLOGY))
        self.table = make_table(*routes)
        self.quarantine = Quarantine(self.back_ends)
        self.queue = DispatchQueue(self.workers)
        self.forwarder = Forwarder(
            self.table, self.workers, self.guard, make_meter(), self.quarantine, random.Random(1)
        )
        self.streams = StreamForwarder(
            self.table,
            self.workers,
            self.guard,
            self.queue,
            lambda _: None,
            make_meter(),
            self.quarantine,
        )

    def behave(self, names: Iterable[str], **changes: object) -> None:
        for name in names:
            self.back_ends.behaviours[name] = WorkerBehaviour(**changes)  # type: ignore[arg-type]

    def remove(self, *names: str) -> None:
        for name in names:
            self.workers.remove(name)

    def zones(self) -> set[str]:
        return self.back_ends.zones()

    async def stream(self, request: ForwardRequest) -> list[StreamPart]:
        return [part async for part in self.streams.forward(request, None)]

    def check_idle(self) -> None:
        """Check that no slot is held after the requests have ended."""
        assert not any(self.workers.num_in_flight(worker) for worker in self.workers.all())
        assert self.queue.num_waiting == 0


@pytest.mark.parametrize("allowed_regions", [R1, R2])
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_plain_requests_reach_allowed_regions_only(
    kind: RouteKind, allowed_regions: frozenset[str]
) -> None:
    async def main() -> None:
        route = make_route(kind)
        node = Node(route)
        for number in range(40):
            request = restricted(make_request(route, f"q{number}"), allowed_regions)
            assert isinstance(await node.forwarder.forward(request), CompleteAnswer)
        assert node.zones() == {"z1" if allowed_regions == R1 else "z2"}
        node.check_idle()

    run_virtual(main())


@pytest.mark.parametrize(
    "fault",
    [
        {"refusal": NotRunReason.BUSY},
        {"refusal": NotRunReason.UNREACHABLE},
        {"num_lost_answers": 99},
        {"num_errors": 99},
        {"is_silent": True},
    ],
    ids=str,
)
def test_retries_and_hedges_stay_in_allowed_regions(fault: dict[str, object]) -> None:
    """A retry or hedged attempt after a fault must not fall back to another region."""

    async def main() -> None:
        route = make_route(max_attempts=4)
        node = Node(route)
        node.behave(("w0", "w1"), **fault)
        for number in range(20):
            await node.forwarder.forward(restricted(make_request(route, f"q{number}"), R1))
        assert node.zones() == {"z1"}
        # Without allowed regions the same faults make requests reach the other region.
        answer = await node.forwarder.forward(make_request(route))
        assert isinstance(answer, CompleteAnswer)
        assert node.zones() == {"z1", "z2"}

    run_virtual(main())


def test_hedge_is_considered_in_allowed_regions_only() -> None:
    async def main() -> None:
        node = Node(make_route())
        late = worker_in("z1", "w0")
        condition = node.workers.in_regions(R1)
        node.workers.record_latency(late, 0.05, "r")
        node.workers.loads.record_late(late, "r", 2.0)
        for _ in range(20):
            spare = node.workers.choose_for_hedge(late, {late.incarnation}, condition)
            assert spare is not None
            assert spare.zone == "z1"
        excluded = {late.incarnation, worker_in("z1", "w1").incarnation}
        assert node.workers.choose_for_hedge(late, excluded, condition) is None
        assert node.workers.choose_for_hedge(late, excluded) is not None

    run_virtual(main())


def test_load_shedding_considers_allowed_regions_only() -> None:
    """Free workers of forbidden regions must not admit a request that is going to time out."""

    async def main() -> None:
        route = make_route()
        node = Node(route)
        for name in ("w0", "w1"):
            worker = node.workers.get(name)
            assert worker is not None
            for _ in range(30):
                node.workers.record_latency(worker, 5.0, route.name)
                node.workers.reserve_slot(worker)
        shedder = LoadShedder(node.workers, random.Random(1))
        assert shedder.check("q1", route, "svc", 10.0) is None
        refused = shedder.check("q1", route, "svc", 10.0, node.workers.in_regions(R1))
        assert refused is not None
        assert refused.code is ResultCode.OVERLOADED
        assert shedder.check("q1", route, "svc", 10.0, node.workers.in_regions(R2)) is None

    run_virtual(main())


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAM])
@pytest.mark.parametrize("is_resumable", [False, True])
@pytest.mark.parametrize("allowed_regions", [R2, frozenset()], ids=["gone", "disjoint"])
def test_request_without_a_worker_in_its_regions_is_refused_at_once(
    kind: RouteKind, is_resumable: bool, allowed_regions: frozenset[str]
) -> None:
    async def main() -> None:
        route = make_route(kind, is_resumable=is_resumable)
        node = Node(route)
        node.remove("w2", "w3")
        request = restricted(make_request(route), allowed_regions)
        started_s = now_s()
        outcome: object
        if kind is RouteKind.STREAM:
            (outcome,) = await node.stream(request)
        else:
            outcome = await node.forwarder.forward(request)
        assert now_s() == started_s
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.NO_WORKER_IN_REGIONS
        assert outcome.retry_after_s is not None
        assert node.back_ends.arrivals == []
        assert node.workers.num_refused_by_regions == {"svc": 1}

    run_virtual(main())


def test_request_whose_workers_disappear_is_refused_only_if_it_has_not_run() -> None:
    async def main(fault: dict[str, object], code: ResultCode) -> None:
        route = make_route(RouteKind.SAFE)
        node = Node(route)
        node.behave(("w2", "w3"), work_s=0.3, **fault)
        task = asyncio.create_task(node.forwarder.forward(restricted(make_request(route), R2)))
        await asyncio.sleep(0.01)
        node.remove("w2", "w3")
        outcome = await task
        assert isinstance(outcome, Problem)
        assert outcome.code is code
        assert node.zones() == {"z2"}

    not_run = ResultCode.NO_WORKER_IN_REGIONS
    run_virtual(main({"refusal": NotRunReason.BUSY}, not_run))
    run_virtual(main({"num_lost_answers": 9}, ResultCode.OUTCOME_UNKNOWN))


@pytest.mark.parametrize("is_resumable", [False, True])
def test_streams_reach_allowed_regions_only(is_resumable: bool) -> None:
    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=is_resumable)
        node = Node(route)
        for number in range(10):
            parts = await node.stream(restricted(make_request(route, f"q{number}"), R2))
            assert isinstance(parts[0], StreamHead)
        assert node.zones() == {"z2"}
        node.check_idle()

    run_virtual(main())


def test_resumed_stream_stays_in_allowed_regions() -> None:
    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=True, max_attempts=9)
        node = Node(route)
        node.back_ends.num_events = 12
        node.behave(("w2",), breaks_after_events=5)
        for number in range(8):
            parts = await node.stream(restricted(make_request(route, f"q{number}"), R2))
            text = b"".join(part for part in parts if isinstance(part, bytes))
            assert text.count(b"data: ") == 12
        assert node.zones() == {"z2"}
        assert any(len(set(names)) > 1 for names in node.back_ends.worker_ids_by_request.values())

    run_virtual(main())


@asynccontextmanager
async def waiting_stream(node: Node, request: ForwardRequest) -> AsyncIterator[asyncio.Task]:  # type: ignore[type-arg]
    """Start a stream that waits because all slots of region r2 are taken."""
    for name in ("w2", "w3"):
        worker = node.workers.get(name)
        assert worker is not None
        for _ in range(worker.capacity):
            node.workers.reserve_slot(worker)
    task = asyncio.create_task(node.stream(request))
    await asyncio.sleep(1.0)
    assert node.queue.num_waiting == 1
    assert node.back_ends.arrivals == []
    yield task


def test_waiting_stream_is_refused_once_its_regions_have_no_worker() -> None:
    """It would wait without end, as its caller's deadline does not bound the wait for a slot."""

    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=True)
        node = Node(route)
        async with waiting_stream(node, restricted(make_request(route), R2)) as task:
            node.remove("w2", "w3")
            removed_s = now_s()
            (outcome,) = await task
        assert now_s() - removed_s <= REGION_CHECK_INTERVAL_S
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.NO_WORKER_IN_REGIONS
        await asyncio.sleep(0.1)
        assert node.queue.num_waiting == 0
        assert node.back_ends.arrivals == []

    run_virtual(main())


def test_waiting_stream_gets_the_first_free_slot_in_its_regions() -> None:
    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=True)
        node = Node(route)
        async with waiting_stream(node, restricted(make_request(route), R2)) as task:
            worker = node.workers.get("w3")
            assert worker is not None
            node.workers.release_slot(worker)
            parts = await task
        assert isinstance(parts[0], StreamHead)
        assert node.back_ends.arrivals == [("q1", "z2")]

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.1, REGION_CHECK_INTERVAL_S])
@pytest.mark.parametrize("frees_slot", [False, True])
def test_cancelled_wait_releases_its_slot(delay_s: float, frees_slot: bool) -> None:
    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=True)
        node = Node(route)
        async with waiting_stream(node, restricted(make_request(route), R2)) as task:
            await asyncio.sleep(delay_s)
            worker = node.workers.get("w3")
            assert worker is not None
            if frees_slot:
                node.workers.release_slot(worker)
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(1.0)
        assert node.queue.num_waiting == 0
        assert node.workers.num_in_flight(worker) == worker.capacity - frees_slot

    run_virtual(main())


def test_waiters_with_equal_regions_share_a_search() -> None:
    """Without sharing, a dispatch pass costs waiting runs times workers."""

    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=True)
        node = Node(route)
        async with waiting_stream(node, restricted(make_request(route), R2)) as first:
            first.cancel()
        num_calls = 0

        class CountingCondition(RegionCondition):
            def __call__(self, worker: Worker) -> bool:
                nonlocal num_calls
                num_calls += 1
                return super().__call__(worker)

        tasks = [
            asyncio.create_task(
                node.queue.acquire(
                    "svc", lambda: RANK, CountingCondition(TOPOLOGY, R2), frozenset()
                )
            )
            for _ in range(50)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        node.queue._dispatch()
        assert 0 < num_calls <= len(node.workers.all())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(main())


def test_send_guard_stops_a_worker_that_was_selected_before() -> None:
    """The check right before the send holds even if the selection was wrong."""

    async def main() -> None:
        node = Node(make_route())
        call = restricted(make_request(make_route()), R1).call
        with pytest.raises(NotRunError) as raised:
            await node.guard.open(worker_in("z2", "w2"), call, 1.0)
        assert raised.value.reason is NotRunReason.NOT_PERMITTED
        assert node.back_ends.arrivals == []
        assert node.guard.num_stopped == {"RegionSendCondition": 1}
        await node.guard.open(worker_in("z1", "w0"), call, 1.0)
        assert node.back_ends.arrivals == [("q1", "z1")]

    run_virtual(main())


def test_worker_whose_zone_changed_is_not_counted_as_failed() -> None:
    async def main() -> None:
        node = Node(make_route())
        worker = worker_in("z2", "w2")
        node.workers.record_not_run(worker, NotRunReason.NOT_PERMITTED)
        assert node.workers.choose("svc", is_eligible=lambda other: other.id == "w2") == worker
        assert not node.workers._is_backing_off(worker)

    run_virtual(main())


def test_run_does_not_leave_a_slow_worker_for_a_forbidden_one() -> None:
    """It would come back to the slow worker and only repeat the prefill."""

    async def main() -> None:
        node = Node(make_route())
        fast, slow = worker_in("z1", "w0"), worker_in("z2", "w2")
        node.remove("w3")
        for _ in range(16):
            node.workers.record_latency(fast, 0.01)
            node.workers.record_latency(slow, 0.1)
        assert node.workers.is_much_slower(slow)
        assert not node.workers.has_faster(slow, node.workers.in_regions(R2))
        assert node.workers.has_faster(slow, any_worker)
        route = make_route(RouteKind.STREAM, is_resumable=True)
        node.back_ends.num_events = 30
        await node.stream(restricted(make_request(route), R2))
        assert node.back_ends.executions["q1"] == 1

    run_virtual(main())
