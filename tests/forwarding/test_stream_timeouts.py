"""Guards against streams that get no answer at their route's timeout.

The timeout was only sent to the worker as its deadline. A worker that took a stream and never
answered held the client until that gave up, and got further streams, as nothing recorded it.
"""

import asyncio

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BrokenAnswerError
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.stream_forwarder import (
    STREAM_IDLE_TIMEOUT_S,
    StreamForwarder,
    StreamPart,
)
from hollowrack.forwarding.types import Route, RouteKind
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import (
    make_directory,
    make_meter,
    make_request,
    make_route,
    make_table,
    make_worker,
)

TIMEOUT_S = 1.0
SLACK_S = 0.05
LIMIT_S = 10.0
WORKERS = ("w0", "w1", "w2", "w3")


class Scene:
    """A stream forwarder in front of four workers."""

    def __init__(self, is_resumable: bool, silent: tuple[str, ...] = ()) -> None:
        self.back_ends = BackEndsStandin()
        for name in WORKERS:
            self.back_ends.behaviours[name] = WorkerBehaviour(is_silent=name in silent)
        self.route: Route = make_route(
            RouteKind.STREAM, is_resumable=is_resumable, timeout_s=TIMEOUT_S
        )
        self.directory: WorkerDirectory = make_directory(*(make_worker(name) for name in WORKERS))
        self.streams = StreamForwarder(
            make_table(self.route),
            self.directory,
            self.back_ends,
            DispatchQueue(self.directory),
            lambda _: None,
            make_meter(),
            Quarantine(self.back_ends),
        )

    async def send(self, request_id: str) -> list[StreamPart]:
        """Send one stream and return its parts."""
        request = make_request(self.route, request_id)
        async with asyncio.timeout(LIMIT_S):
            return [part async for part in self.streams.forward(request, None)]


@pytest.mark.parametrize("is_resumable", [False, True])
def test_stream_at_silent_workers_is_answered_at_the_timeout(is_resumable: bool) -> None:
    async def main() -> None:
        scene = Scene(is_resumable, silent=WORKERS)
        started_s = now_s()
        (outcome,) = await scene.send("q1")
        assert TIMEOUT_S <= now_s() - started_s <= TIMEOUT_S + SLACK_S
        assert isinstance(outcome, Problem)
        assert outcome.code is ResultCode.OUTCOME_UNKNOWN
        # The run at the worker is cancelled.
        assert not sum(scene.back_ends.running.values())

    run_virtual(main())


@pytest.mark.parametrize("is_resumable", [False, True])
def test_streams_avoid_a_worker_that_did_not_answer_in_time(is_resumable: bool) -> None:
    async def main() -> None:
        scene = Scene(is_resumable, silent=("w0",))
        for number in range(64):
            await scene.send(f"first{number}")
            if "w0" in scene.back_ends.worker_ids_by_request[f"first{number}"]:
                break
        else:
            pytest.fail("no stream was sent to the silent worker")
        outcomes = await asyncio.gather(*(scene.send(f"next{number}") for number in range(12)))
        assert not any(isinstance(part, Problem) for parts in outcomes for part in parts)

    run_virtual(main())


def test_stream_that_waits_for_a_slot_is_refused_as_not_run_at_the_timeout() -> None:
    async def main() -> None:
        scene = Scene(is_resumable=True)
        for worker in scene.directory.all():
            for _ in range(worker.capacity):
                scene.directory.reserve_slot(worker)
        started_s = now_s()
        (outcome,) = await scene.send("q1")
        assert TIMEOUT_S <= now_s() - started_s <= TIMEOUT_S + SLACK_S
        assert isinstance(outcome, Problem)
        assert DESCRIPTIONS[outcome.code].execution is Execution.NOT_RUN
        assert outcome.retry_after_s is not None

    run_virtual(main())


@pytest.mark.parametrize("silent_from_s", [0.2, 1.5])
def test_stream_that_falls_silent_ends_after_its_timeout(silent_from_s: float) -> None:
    """Not before it, as the silence of a worker alone is no reason to end an answer."""

    async def main() -> None:
        scene = Scene(is_resumable=False)
        scene.back_ends.num_events = 1000
        started_s = now_s()

        def fall_silent() -> None:
            for behaviour in scene.back_ends.behaviours.values():
                behaviour.work_s = 1000.0

        asyncio.get_running_loop().call_later(silent_from_s, fall_silent)
        with pytest.raises(BrokenAnswerError):
            await scene.send("q1")
        ended_s = now_s() - started_s
        assert ended_s >= TIMEOUT_S
        assert ended_s <= max(TIMEOUT_S, silent_from_s + STREAM_IDLE_TIMEOUT_S) + SLACK_S
        assert not sum(scene.back_ends.running.values())

    run_virtual(main())


@pytest.mark.parametrize("is_resumable", [False, True])
def test_stream_that_sends_events_is_not_ended_at_its_timeout(is_resumable: bool) -> None:
    async def main() -> None:
        scene = Scene(is_resumable)
        scene.back_ends.num_events = 100
        parts = await scene.send("q1")
        # The head and all events.
        assert len(parts) == 101

    run_virtual(main())
