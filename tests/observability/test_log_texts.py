"""Log lines that ``hollowrack explain`` and the soak checks match must not change unnoticed.

The lines are captured from running code, not copied.
"""

import asyncio
import contextvars
import logging as standard_logging
import re
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from absl import logging

from hollowrack.coordination.anti_entropy import ROUND_INTERVAL_S, WATCH_SILENCE_TIMEOUT_S
from hollowrack.coordination.feed_http import ANSWER_GRACE_S
from hollowrack.coordination.store import Put
from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.stream_forwarder import StreamForwarder
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.types import Job
from hollowrack.observability import log_search
from hollowrack.observability.log_search import (
    LogLine,
    parse_lines,
    search_logs,
    wait_descriptions,
    worker_ids,
)
from hollowrack.observability.logs import BoundedLogHandler, setup_logging
from hollowrack.platform.ingress import IngressApp
from hollowrack.settings.sections import Logging
from hollowrack_bench import soak_checks
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import AnswerStandin, BackEndsStandin, WorkerBehaviour
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.coordination.test_anti_entropy import KEY, Follower, Neighbours
from tests.jobs.helpers import HOST, MODEL, Fleet, configuration, make_job
from tests.platform.helpers import System, run_system

CONTEXT_ALTERNATIVES = log_search._CONTEXT.pattern.split("|")


def _ambiguous_alternatives() -> list[str]:
    """Return the alternatives of the soak pattern, each with the shared prefix of its group."""
    found = re.fullmatch(r"(.*)\((.*?)\)\|(.*)", soak_checks._AMBIGUOUS_ATTEMPT.pattern)
    assert found is not None
    shared, inner, *others = found.groups()
    return [*(shared + text for text in inner.split("|")), *others]


AMBIGUOUS_ALTERNATIVES = _ambiguous_alternatives()


@dataclass(frozen=True)
class CapturedLine:
    """A formatted log line and the location of the logging call that wrote it."""

    site: tuple[str, int]
    text: str

    @property
    def parsed(self) -> LogLine:
        (parsed,), num_unread = parse_lines([self.text])
        assert num_unread == 0
        return parsed

    @property
    def message(self) -> str:
        return self.parsed.message


class LineCollector(standard_logging.Handler):
    """Collects the lines that the absl handler would write."""

    def __init__(self, written: standard_logging.Handler) -> None:
        super().__init__()
        self.lines: list[CapturedLine] = []
        self.filters = written.filters
        self._written = written

    def emit(self, record: standard_logging.LogRecord) -> None:
        text = self._written.format(record)
        self.lines.append(CapturedLine((record.pathname, record.lineno), text))


@contextmanager
def collected() -> Iterator[list[CapturedLine]]:
    handler = logging.get_absl_handler()
    root = standard_logging.getLogger()
    written = handler.python_handler
    before = written.formatter, handler.filters[:], root.handlers[:], root.level
    verbosity = logging.get_verbosity()
    absl_level = logging.get_absl_logger().level
    setup_logging(Logging(format="json", level="info"), "n1", "z1")
    collector = LineCollector(handler)
    root.handlers = [collector]
    try:
        yield collector.lines
    finally:
        written.formatter, handler.filters, root.handlers, root.level = before
        logging.set_verbosity(verbosity)
        # set_verbosity changes the level of absl's logger, which other tests expect to be unset.
        logging.get_absl_logger().setLevel(absl_level)


class FaultyBackEnds(BackEndsStandin):
    """Workers whose client raises an unexpected error once."""

    num_errors_left = 1

    async def open(self, *args: Any, **kwargs: Any) -> AnswerStandin:
        if self.num_errors_left:
            self.num_errors_left -= 1
            raise RuntimeError("unexpected")
        return await super().open(*args, **kwargs)


async def run_job(fleet: Fleet, node: str, job: Job, seconds: float) -> None:
    assert await fleet.nodes[node].jobs.submit(job) is None
    await asyncio.sleep(seconds)


async def run_items_with_all_outcomes() -> None:
    fleet = Fleet(num_nodes=0)
    fleet.back_ends = FaultyBackEnds()
    node = fleet.start("n0")
    await asyncio.sleep(1.0)
    fleet.back_ends.behaviours["e0"] = WorkerBehaviour(breaks_after_events=1)
    await run_job(fleet, "n0", make_job("j1"), 8.0)
    for name in ("e0", "e1"):
        fleet.back_ends.behaviours[name] = WorkerBehaviour(refusal=NotRunReason.BUSY)
    await run_job(fleet, "n0", make_job("j2", num_items=2), 60.0)
    fleet.back_ends.behaviours.clear()
    fleet.back_ends.crashing_bodies.add(b"prompt")
    fleet.back_ends.on_crash = lambda worker: restart(fleet, worker)
    await run_job(fleet, "n0", make_job("j3", num_items=2), 20.0)
    assert node.jobs.num_running
    await fleet.stop()


def restart(fleet: Fleet, worker: Worker) -> None:
    replacement = Worker(f"{worker.id}+", "engines", "127.0.0.1:1", "z1", 4, False, {MODEL: 1})
    for node in fleet.nodes.values():
        node.worker_removed(worker.id)
        node.worker_changed(replacement)


async def run_takeover_outage_and_stop() -> None:
    fleet = Fleet()
    await asyncio.sleep(1.0)
    fleet.back_ends.num_events = 300
    assert await fleet.nodes["n0"].jobs.submit(make_job("j4")) is None
    for node in fleet.nodes.values():
        node.configuration_changed(configuration(2))
    await asyncio.sleep(1.0)
    await fleet.kill("n0")
    await asyncio.sleep(20.0)
    fleet.faults["n1"].is_silent = True
    await asyncio.sleep(9.0)
    fleet.faults["n1"].is_silent = False
    await asyncio.sleep(3.0)
    stopping = fleet.nodes.pop("n2")
    await stopping.begin_stop(2.0)
    await stopping.complete_stop()
    await fleet.stop()


async def run_anti_entropy() -> None:
    core = CoordinationStoreCore()
    core.transact([], [Put(KEY, b"0")], [])
    neighbours = Neighbours(core)
    follower = Follower(core, neighbours)
    await asyncio.sleep(5.0)
    follower.faults.is_silent = True
    await asyncio.sleep(5.0)
    core.transact([], [Put(KEY, b"1")], [])
    await asyncio.sleep(WATCH_SILENCE_TIMEOUT_S + 2 * (ROUND_INTERVAL_S + ANSWER_GRACE_S))
    await follower.stop()
    await neighbours.stop()


async def run_unanswered_requests() -> None:
    fleet = Fleet(1)
    node = fleet.nodes["n0"]
    await asyncio.sleep(1.0)
    streams = StreamForwarder(
        node.routes,
        node.workers,
        fleet.back_ends,
        node.queue,
        lambda _: None,
        node.usage,
        node.quarantine,
    )
    app = IngressApp(node, streams, Counter())
    for name in ("s0", "s1"):
        fleet.back_ends.behaviours[name] = WorkerBehaviour(is_silent=True)
    await send_request(app, "q0")
    # With the hedging budget spent, a silent worker is replaced instead of hedged.
    while node.forwarder.hedging.budget.spend_retry():
        pass
    await send_request(app, "q1")
    await fleet.stop()


async def send_request(app: IngressApp, request_id: str) -> None:
    scope = {
        "type": "http",
        "method": "POST",
        "raw_path": b"/s/x",
        "query_string": b"",
        "headers": [(b"host", HOST.encode()), (b"request-id", request_id.encode())],
    }
    messages: list[Any] = [{"type": "http.request", "body": b"score", "more_body": False}]

    async def receive() -> Any:
        return messages.pop() if messages else await asyncio.Event().wait()

    async def send(message: Any) -> None:
        del message

    await app(scope, receive, send)


async def run_mismatched_responses_and_stop(system: System) -> None:
    for name in ("s0", "s1"):
        system.workers[name].faults.wrong_id = True
    assert (await system.send("/once/x")).status == 502
    edge = system.edges["n0"]
    edge.start_stop()
    async with asyncio.timeout(20.0):
        await edge.stopped.wait()
    system.edges.clear()


class BlockedHandler(standard_logging.Handler):
    """Handler that blocks until ``is_read`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_read = threading.Event()

    def emit(self, record: standard_logging.LogRecord) -> None:
        del record
        self.is_read.wait()


def drop_log_lines() -> None:
    target = BlockedHandler()
    bounded = BoundedLogHandler(target, max_queued=2)
    record = standard_logging.LogRecord("x", standard_logging.INFO, "", 0, "line", (), None)
    for _ in range(10):
        bounded.handle(record)
    assert bounded.num_dropped
    target.is_read.set()
    bounded.drain(30.0)
    bounded.handle(record)
    bounded.stop()


@dataclass(frozen=True)
class Captured:
    """All captured lines; those on virtual time are the same in every run."""

    virtual: list[CapturedLine]
    loopback: list[CapturedLine]

    @property
    def all(self) -> list[CapturedLine]:
        return [*self.virtual, *self.loopback]

    def sites(self, pattern: str | re.Pattern[str], lines: list[CapturedLine]) -> set[Any]:
        """Return the locations of the logging calls with a matching line."""
        return {line.site for line in lines if re.search(pattern, line.message)}


def capture() -> Captured:
    with collected() as virtual:
        for scenario in (
            run_items_with_all_outcomes,
            run_takeover_outage_and_stop,
            run_anti_entropy,
            run_unanswered_requests,
        ):
            run_virtual(scenario())
    with collected() as loopback:
        run_system(run_mismatched_responses_and_stop)
        drop_log_lines()
    return Captured(virtual, loopback)


@pytest.fixture(scope="module")
def captured() -> Captured:
    # Log fields are context variables: a copied context keeps them from other tests.
    return contextvars.copy_context().run(capture)


# Minimum number of logging calls that a pattern must match; 1 unless listed.
NUM_SITES = {
    "coordination store ": 2,
    log_search._JOB_OF_ITEM.pattern: 4,
    log_search._WAITS.pattern: 2,
    log_search._WORKER.pattern: 6,
}


def test_number_of_alternatives_is_unchanged() -> None:
    assert len(CONTEXT_ALTERNATIVES) == 9
    assert len(AMBIGUOUS_ALTERNATIVES) == 3


@pytest.mark.parametrize("alternative", [*CONTEXT_ALTERNATIVES, *AMBIGUOUS_ALTERNATIVES])
def test_every_alternative_matches_a_captured_line(captured: Captured, alternative: str) -> None:
    found = captured.sites(alternative, captured.all)
    assert len(found) >= NUM_SITES.get(alternative, 1), alternative


@pytest.mark.parametrize("pattern", [log_search._JOB_OF_ITEM, log_search._WAITS])
def test_item_patterns_match_all_logging_calls_of_items(
    captured: Captured, pattern: re.Pattern[str]
) -> None:
    found = captured.sites(pattern, captured.virtual)
    assert len(found) >= NUM_SITES[pattern.pattern], sorted(found)


def test_worker_ids_are_found_in_lines_of_all_logging_calls(captured: Captured) -> None:
    found = {
        line.site
        for line in captured.virtual
        # "The worker has ended" also matches, but contains no worker identifier.
        if any(re.fullmatch(r"[es]\d\+*", name) for name in worker_ids([line.parsed]))
    }
    assert len(found) >= NUM_SITES[log_search._WORKER.pattern], sorted(found)


def test_search_finds_an_item_across_a_takeover(captured: Captured) -> None:
    texts = [line.text for line in captured.virtual]
    result = search_logs("j4.i0", texts)
    messages = [line.message for line in result.about]
    assert any(message.startswith("job j4: taken over") for message in messages)
    assert any(message.startswith("item j4.i0 of job j4: 300 events") for message in messages)
    assert result.num_unread == 0
    assert wait_descriptions(result.about)
    assert worker_ids(result.about)
    assert result.context
