"""Requests of every kind: one reaches a worker of an evacuated zone, or waits without a reason."""

import asyncio
from unittest import mock

import pytest

from hollowrack.clock import now_s
from hollowrack.evacuation.refusal import EVACUATED_RETRY_AFTER_S
from hollowrack.forwarding import call_limiter
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.forwarder import CompleteAnswer
from hollowrack.forwarding.stream_forwarder import StreamHead, StreamPart
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import any_worker
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.evacuation.helpers import FAR, NEAR, Scene, make_request, run_scene, worker
from tests.jobs.helpers import make_job

PLAIN = ("safe0", "unsafe0")
STREAMS = ("stream0", "stream1")
AT_ONCE_S = 0.01


async def parts_of(scene: Scene, prefix: str, request_id: str) -> list[StreamPart]:
    request = make_request(prefix, request_id)
    return [part async for part in scene.streams.forward(request, None)]


async def outcome_of(scene: Scene, prefix: str, request_id: str) -> object:
    """Send a request of any kind; returns the problem or the last part of the answer."""
    if prefix in PLAIN:
        return await scene.node.forwarder.forward(make_request(prefix, request_id))
    return (await parts_of(scene, prefix, request_id))[-1]


def check_refused(outcome: object) -> None:
    assert isinstance(outcome, Problem)
    assert outcome.code is ResultCode.ZONES_EVACUATED
    assert DESCRIPTIONS[outcome.code].execution is Execution.NOT_RUN
    assert DESCRIPTIONS[outcome.code].http_status == 503
    assert outcome.retry_after_s == EVACUATED_RETRY_AFTER_S


@pytest.mark.parametrize("prefix", [*PLAIN, *STREAMS])
@pytest.mark.parametrize(("zone", "expected"), [(NEAR, "1"), (FAR, "0")])
def test_evacuated_zone_gets_no_request_and_the_other_one_all(
    prefix: str, zone: str, expected: str
) -> None:
    async def scenario(scene: Scene) -> None:
        scene.node.zone_evacuated(zone)
        for number in range(20):
            outcome = await outcome_of(scene, prefix, f"q{number}")
            assert not isinstance(outcome, Problem)
            assert {name[-1] for name in scene.worker_ids(f"q{number}")} == {expected}
        assert scene.node.evacuated.num_stopped.total() == 0, "selection must not choose them"

    run_scene(scenario)


@pytest.mark.parametrize("prefix", [*PLAIN, *STREAMS])
def test_request_is_refused_at_once_while_all_workers_are_evacuated(prefix: str) -> None:
    """Requests waited for a worker until their deadline, or got a code that names no cause."""

    async def scenario(scene: Scene) -> None:
        scene.node.zone_evacuated(NEAR)
        scene.node.zone_evacuated(FAR)
        started_s = now_s()
        check_refused(await outcome_of(scene, prefix, "q1"))
        assert now_s() - started_s < AT_ONCE_S
        scene.node.evacuation_lifted(FAR)
        assert not isinstance(await outcome_of(scene, prefix, "q2"), Problem)
        assert {name[-1] for name in scene.worker_ids("q2")} == {"1"}

    run_scene(scenario)


@pytest.mark.parametrize("prefix", PLAIN)
def test_service_without_any_worker_is_refused_with_the_previous_code(prefix: str) -> None:
    """An evacuation elsewhere must not be given as the cause of a service without workers."""

    async def scenario(scene: Scene) -> None:
        scene.node.zone_evacuated("z9")
        for name in ("s0", "s1"):
            scene.node.worker_removed(name)
        outcome = await outcome_of(scene, prefix, "q1")
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.NO_BACK_END

    run_scene(scenario)


@pytest.mark.parametrize("prefix", [*PLAIN, *STREAMS])
def test_request_whose_worker_was_chosen_before_the_key_arrived_is_stopped(prefix: str) -> None:
    """Between the choice of a worker and the send the zone may be evacuated."""

    async def scenario(scene: Scene) -> None:
        node = scene.node
        evacuate = mock.Mock(side_effect=lambda _: node.zone_evacuated(NEAR))
        reserve_slot = node.workers.reserve_slot

        def reserve_and_evacuate(chosen: Worker) -> None:
            reserve_slot(chosen)
            if chosen.zone == NEAR and not evacuate.called:
                evacuate(chosen)

        with mock.patch.object(node.workers, "reserve_slot", reserve_and_evacuate):
            for number in range(20):
                assert not isinstance(await outcome_of(scene, prefix, f"q{number}"), Problem)
        assert evacuate.called
        ran_at = {name[-1] for number in range(20) for name in scene.worker_ids(f"q{number}")}
        assert ran_at == {"1"}
        assert node.evacuated.num_stopped == {NEAR: 1}
        assert all(node.workers.num_in_flight(known) == 0 for known in node.workers.all())

    run_scene(scenario)


@pytest.mark.parametrize("prefix", [*PLAIN, *STREAMS])
def test_stopped_request_is_refused_with_the_cause_if_no_worker_is_left(prefix: str) -> None:
    async def scenario(scene: Scene) -> None:
        node = scene.node
        reserve_slot = node.workers.reserve_slot

        def reserve_and_evacuate(chosen: Worker) -> None:
            reserve_slot(chosen)
            node.zone_evacuated(NEAR)
            node.zone_evacuated(FAR)

        started_s = now_s()
        with mock.patch.object(node.workers, "reserve_slot", reserve_and_evacuate):
            check_refused(await outcome_of(scene, prefix, "q1"))
        assert now_s() - started_s < 0.2
        assert scene.worker_ids("q1") == []
        assert node.evacuated.num_stopped.total() == 1

    run_scene(scenario)


def test_hedged_attempt_avoids_the_evacuated_zone() -> None:
    """A late request was sent to the evacuated zone in addition."""

    async def scenario(scene: Scene) -> None:
        scene.node.worker_changed(worker("s2", "z3"))
        for number in range(30):
            await outcome_of(scene, "safe0", f"w{number}")
        for name in ("s0", "s2"):
            scene.fleet.back_ends.behaviours[name] = WorkerBehaviour(is_silent=True)
        scene.node.zone_evacuated(FAR)
        for number in range(5):
            await outcome_of(scene, "safe0", f"q{number}")
            assert scene.worker_ids(f"q{number}")
            assert "s1" not in scene.worker_ids(f"q{number}")

    run_scene(scenario)


def test_retry_avoids_the_evacuated_zone() -> None:
    async def scenario(scene: Scene) -> None:
        scene.fleet.back_ends.behaviours["s0"] = WorkerBehaviour(num_errors=50)
        scene.node.zone_evacuated(FAR)
        for number in range(5):
            await outcome_of(scene, "safe0", f"q{number}")
            assert set(scene.worker_ids(f"q{number}")) == {"s0"}

    run_scene(scenario)


def test_running_stream_ends_where_it_runs() -> None:
    """An evacuation must not cut what runs: its text would be read again elsewhere."""

    async def scenario(scene: Scene) -> None:
        scene.fleet.back_ends.num_events = 40
        scene.node.zone_evacuated(FAR)
        stream = asyncio.create_task(parts_of(scene, "stream1", "q1"))
        await asyncio.sleep(0.2)
        scene.node.evacuation_lifted(FAR)
        scene.node.zone_evacuated(NEAR)
        parts = await stream
        assert isinstance(parts[0], StreamHead)
        assert len(parts) == 41
        assert scene.worker_ids("q1") == ["e0"]

    run_scene(scenario)


def test_broken_stream_resumes_outside_the_evacuated_zone() -> None:
    async def scenario(scene: Scene) -> None:
        back_ends = scene.fleet.back_ends
        back_ends.num_events = 40
        back_ends.behaviours["e0"] = WorkerBehaviour(breaks_after_events=20)
        scene.node.zone_evacuated(FAR)
        stream = asyncio.create_task(parts_of(scene, "stream1", "q1"))
        await asyncio.sleep(0.1)
        scene.node.evacuation_lifted(FAR)
        scene.node.zone_evacuated(NEAR)
        assert len(await stream) == 41
        assert scene.worker_ids("q1") == ["e0", "e1"]

    run_scene(scenario)


def test_begun_stream_waits_for_the_end_of_the_evacuation() -> None:
    async def scenario(scene: Scene) -> None:
        back_ends = scene.fleet.back_ends
        back_ends.num_events = 40
        for name in ("e0", "e1"):
            back_ends.behaviours[name] = WorkerBehaviour(breaks_after_events=20)
        stream = asyncio.create_task(parts_of(scene, "stream1", "q1"))
        await asyncio.sleep(0.1)
        scene.node.zone_evacuated(NEAR)
        scene.node.zone_evacuated(FAR)
        await asyncio.sleep(1.5)
        assert len(scene.worker_ids("q1")) == 1
        assert not stream.done()
        back_ends.behaviours["e1"] = WorkerBehaviour()
        scene.node.evacuation_lifted(FAR)
        assert len(await stream) == 41
        assert scene.worker_ids("q1")[1:] == ["e1"]

    run_scene(scenario)


def test_waiting_stream_is_refused_when_the_last_zone_is_evacuated() -> None:
    """Streams in the dispatch queue waited until their deadline."""

    async def scenario(scene: Scene) -> None:
        scene.fleet.back_ends.num_events = 400
        streams = [
            asyncio.create_task(parts_of(scene, "stream1", f"q{number}")) for number in range(12)
        ]
        await asyncio.sleep(0.5)
        assert scene.node.queue.num_waiting == 4
        scene.node.zone_evacuated(NEAR)
        await asyncio.sleep(0.1)
        assert scene.node.queue.num_waiting == 4
        scene.node.zone_evacuated(FAR)
        await asyncio.sleep(AT_ONCE_S)
        assert scene.node.queue.num_waiting == 0
        refused = [stream for stream in streams if stream.done()]
        assert len(refused) == 4
        for stream in refused:
            (outcome,) = await stream
            check_refused(outcome)
        for stream in streams:
            assert len(await stream) in (1, 401)

    run_scene(scenario)


def test_stream_that_may_have_run_is_not_refused_as_not_run() -> None:
    """503 guarantees that no worker ran the request."""

    async def scenario(scene: Scene) -> None:
        for name in ("e0", "e1"):
            scene.fleet.back_ends.behaviours[name] = WorkerBehaviour(num_lost_answers=5)
        stream = asyncio.create_task(parts_of(scene, "stream1", "q1"))
        await asyncio.sleep(0.015)
        scene.node.zone_evacuated(NEAR)
        scene.node.zone_evacuated(FAR)
        (outcome,) = await stream
        assert len(scene.worker_ids("q1")) == 1
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.OUTCOME_UNKNOWN

    run_scene(scenario)


def test_items_and_scorer_calls_wait_and_are_dispatched_when_the_evacuation_is_lifted() -> None:
    """Items must neither fail nor stay in the queue once workers are available."""

    async def scenario(scene: Scene) -> None:
        node, back_ends = scene.node, scene.fleet.back_ends
        await asyncio.sleep(1.0)
        node.zone_evacuated(NEAR)
        node.zone_evacuated(FAR)
        job = make_job(num_items=6)
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(5.0)
        assert not back_ends.executions
        assert node.queue.num_waiting == 6
        node.evacuation_lifted(FAR)
        await asyncio.sleep(AT_ONCE_S)
        assert back_ends.running["e1"] == 4
        await asyncio.sleep(3.0)
        ran_at = {name for ids in back_ends.worker_ids_by_request.values() for name in ids}
        assert ran_at == {"e1", "s1"}
        assert not any(node.services.num_given_up.values())

    run_scene(scenario)


def test_scorer_calls_wait_while_only_the_scorers_are_evacuated() -> None:
    async def scenario(scene: Scene) -> None:
        node, back_ends = scene.node, scene.fleet.back_ends
        await asyncio.sleep(1.0)
        node.worker_changed(worker("s1", NEAR))
        node.worker_changed(worker("e0", FAR))
        node.zone_evacuated(NEAR)
        job = make_job(num_items=4)
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(5.0)
        ran_at = {name for ids in back_ends.worker_ids_by_request.values() for name in ids}
        assert ran_at <= {"e0", "e1"}
        node.evacuation_lifted(NEAR)
        await asyncio.sleep(2.0)
        assert all(
            back_ends.executions[item.scorer.request_id] == 1 for item in job.items if item.scorer
        )

    run_scene(scenario)


def test_item_does_not_migrate_to_the_evacuated_zone() -> None:
    """Granted migration slots and exits from slow workers led into the evacuated zone."""

    async def scenario(scene: Scene) -> None:
        node, back_ends = scene.node, scene.fleet.back_ends
        back_ends.num_events = 60
        back_ends.behaviours["e0"] = WorkerBehaviour(work_s=0.2)
        back_ends.behaviours["e1"] = WorkerBehaviour(work_s=0.01)
        await asyncio.sleep(1.0)
        assert await node.jobs.submit(make_job("j1", num_items=8)) is None
        await asyncio.sleep(0.5)
        node.zone_evacuated(FAR)
        started = {key: len(ids) for key, ids in back_ends.worker_ids_by_request.items()}
        await asyncio.sleep(15.0)
        later = [
            name
            for key, ids in back_ends.worker_ids_by_request.items()
            for name in ids[started.get(key, 0) :]
        ]
        assert not any(name.endswith("1") for name in later)

    run_scene(scenario)


def test_speed_of_workers_is_compared_with_the_zones_in_use() -> None:
    """Runs left the only workers in use, as those of the evacuated zone had been faster."""

    async def scenario(scene: Scene) -> None:
        workers = scene.node.workers
        slow, fast = workers.get("e0"), workers.get("e1")
        assert slow is not None
        assert fast is not None
        for _ in range(40):
            workers.record_latency(slow, 0.5)
            workers.record_latency(fast, 0.01)
        assert workers.is_much_slower(slow)
        scene.node.zone_evacuated(FAR)
        assert not workers.is_much_slower(slow)
        scene.node.evacuation_lifted(FAR)
        assert workers.is_much_slower(slow)

    run_scene(scenario)


def test_slots_and_call_limits_count_evacuated_workers_as_none() -> None:
    """Slots that nobody may use were shared out, so that owners waited for the wrong workers."""

    async def scenario(scene: Scene) -> None:
        node = scene.node
        capacity = node.slots._capacity
        with mock.patch.object(node.slots, "_is_shared", lambda _: True):
            assert capacity("engines") == {"e0": 4, "e1": 4}
            node.zone_evacuated(NEAR)
            assert capacity("engines") == {"e1": 4}
        limiter = node.forwarder.call_limiter
        group = call_limiter._Group(("scorers",), any_worker)
        assert limiter._has_free_slot(group)
        limiter._num_in_use[group] = 2
        assert not limiter._has_free_slot(group)
        node.evacuation_lifted(NEAR)
        assert limiter._has_free_slot(group)
        assert node.queue.num_free_slots("engines", lambda _: True) == 8
        node.zone_evacuated(FAR)
        assert node.queue.num_free_slots("engines", lambda _: True) == 4

    run_scene(scenario)


def test_stopped_send_does_not_count_against_the_worker() -> None:
    async def scenario(scene: Scene) -> None:
        node = scene.node
        known = node.workers.get("s0")
        assert known is not None
        node.workers.record_not_run(known, NotRunReason.NOT_PERMITTED)
        assert not node.workers._is_backing_off(known)

    run_scene(scenario)


def test_crash_check_of_an_evacuated_worker_sends_no_request() -> None:
    """The check of a broken answer reads the worker's report, which is a request as well."""

    async def scenario(scene: Scene) -> None:
        node = scene.node
        asked: list[int] = []

        async def has_crashed(asked_worker: Worker) -> bool:
            asked.append(asked_worker.started_ms)
            return False

        with mock.patch.object(scene.fleet.back_ends, "has_crashed", has_crashed):
            checked = Worker("s0", "scorers", "127.0.0.1:1", NEAR, 4, started_ms=5)
            await node.back_ends.has_crashed(checked)
            node.zone_evacuated(NEAR)
            await node.back_ends.has_crashed(checked)
        assert asked == [5, 0]

    run_scene(scenario)


def run_load(knows_evacuations: bool) -> tuple[list[object], dict[str, list[str]], list[str]]:
    """Run requests, streams and a job; returns their outcomes and what workers and logs tell."""
    outcomes: list[object] = []
    ran_at: dict[str, list[str]] = {}
    changes: list[str] = []

    async def scenario(scene: Scene) -> None:
        node = scene.node
        node.evacuated.on_change(lambda: changes.append("changed"))
        if not knows_evacuations:
            # As before evacuations were known: no view of evacuated zones and no condition.
            node.workers.evacuated_zones = ()
            node.back_ends.conditions.clear()
            node.back_ends.probe_conditions.clear()
        await asyncio.sleep(1.0)
        job = make_job(num_items=6)
        assert await node.jobs.submit(job) is None
        for number in range(40):
            for prefix in (*PLAIN, *STREAMS):
                outcome = await outcome_of(scene, prefix, f"{prefix}-{number}")
                status = outcome.status if isinstance(outcome, CompleteAnswer) else outcome
                outcomes.append((round(now_s(), 6), status))
        ran_at.update(scene.fleet.back_ends.worker_ids_by_request)

    run_scene(scenario)
    return outcomes, ran_at, changes


def test_without_the_key_nothing_changes() -> None:
    """A deployment without evacuations chose other workers, at other times, than before."""
    outcomes, ran_at, changes = run_load(knows_evacuations=True)
    assert (outcomes, ran_at) == run_load(knows_evacuations=False)[:2]
    assert changes == []
    assert len(outcomes) == 160
