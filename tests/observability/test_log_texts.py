"""Log lines that ``hollowrack explain`` and the soak's check find by their words.

Guards against a reworded log line that these programs no longer find: the lines come from the code.
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
from hollowrack.settings.model import Logging
from hollowrack_bench import soak_checks
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import AnswerStandin, BackEndsStandin, WorkerBehaviour
from hollowrack_standins.coordination_store import CoordinationStoreCore
from tests.coordination.test_anti_entropy import KEY, Follower, Neighbours
from tests.jobs.helpers import HOST, MODEL, Fleet, configuration, make_job
from tests.platform.helpers import System, run_system

CONTEXT_ALTERNATIVES = log_search._CONTEXT.pattern.split("|")


def _unsure_alternatives() -> list[str]:
    """Return the alternatives of the soak's pattern, each with what it shares with others."""
    found = re.fullmatch(r"(.*)\((.*?)\)\|(.*)", soak_checks._UNSURE_ATTEMPT.pattern)
    assert found is not None
    shared, inner, *others = found.groups()
    return [*(shared + text for text in inner.split("|")), *others]


UNSURE_ALTERNATIVES = _unsure_alternatives()


@dataclass(frozen=True)
class CapturedLine:
    """One log line as it leaves the process, and the logging call that wrote it."""

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
    """Keeps what the handler of the log would write."""

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
    """Workers whose client fails once with an error that it should not raise."""

    num_errors_left = 1

    async def open(self, *args: Any, **kwargs: Any) -> AnswerStandin:
        if self.num_errors_left:
            self.num_errors_left -= 1
            raise RuntimeError("a fault of the program")
        return await super().open(*args, **kwargs)


async def run_job(fleet: Fleet, node: str, job: Job, seconds: float) -> None:
    assert await fleet.nodes[node].jobs.submit(job) is None
    await asyncio.sleep(seconds)


async def items_that_end_in_every_way() -> None:
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
    fleet.back_ends.on_end = lambda worker: restart(fleet, worker)
    await run_job(fleet, "n0", make_job("j3", num_items=2), 20.0)
    assert node.jobs.num_running
    await fleet.stop()


def restart(fleet: Fleet, worker: Worker) -> None:
    replacement = Worker(f"{worker.id}+", "engines", "127.0.0.1:1", "z1", 4, False, {MODEL: 1})
    for node in fleet.nodes.values():
        node.worker_removed(worker.id)
        node.worker_changed(replacement)


async def nodes_that_come_and_go() -> None:
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
    await stopping.turn_away(2.0)
    await stopping.finish()
    await fleet.stop()


async def changes_from_another_node() -> None:
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


async def plain_requests_without_an_answer() -> None:
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
    await ask(app, "q0")
    # Without a budget for attempts side by side, a silent worker is left for another one.
    while node.forwarder.hedging.budget.take_retry():
        pass
    await ask(app, "q1")
    await fleet.stop()


async def ask(app: IngressApp, request_id: str) -> None:
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


async def a_process_whose_workers_answer_for_others(system: System) -> None:
    for name in ("s0", "s1"):
        system.workers[name].switches.wrong_id = True
    assert (await system.send("/once/x")).status == 502
    edge = system.edges["n0"]
    edge.start_stop()
    async with asyncio.timeout(20.0):
        await edge.stopped.wait()
    system.edges.clear()


class UnreadTarget(standard_logging.Handler):
    """Writes nothing until its reader reads."""

    def __init__(self) -> None:
        super().__init__()
        self.is_read = threading.Event()

    def emit(self, record: standard_logging.LogRecord) -> None:
        del record
        self.is_read.wait()


def lines_that_are_dropped() -> None:
    target = UnreadTarget()
    bounded = BoundedLogHandler(target, max_waiting=2)
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
    """All lines; those on virtual time are the same in every run."""

    virtual: list[CapturedLine]
    loopback: list[CapturedLine]

    @property
    def all(self) -> list[CapturedLine]:
        return [*self.virtual, *self.loopback]

    def sites(self, pattern: str | re.Pattern[str], lines: list[CapturedLine]) -> set[Any]:
        """Return the logging calls of which a line matches."""
        return {line.site for line in lines if re.search(pattern, line.message)}


def capture() -> Captured:
    with collected() as virtual:
        for scenario in (
            items_that_end_in_every_way,
            nodes_that_come_and_go,
            changes_from_another_node,
            plain_requests_without_an_answer,
        ):
            run_virtual(scenario())
    with collected() as loopback:
        run_system(a_process_whose_workers_answer_for_others)
        lines_that_are_dropped()
    return Captured(virtual, loopback)


@pytest.fixture(scope="module")
def captured() -> Captured:
    # The fields of the log are variables of the context.
    return contextvars.copy_context().run(capture)


# Logging calls whose lines a pattern must find; one for those that are not named. On virtual time.
NUM_SITES = {
    "coordination store ": 2,
    log_search._JOB_OF_ITEM.pattern: 4,
    log_search._WAITS.pattern: 2,
    log_search._WORKER.pattern: 6,
}


def test_the_patterns_have_all_their_alternatives() -> None:
    assert len(CONTEXT_ALTERNATIVES) == 9
    assert len(UNSURE_ALTERNATIVES) == 3


@pytest.mark.parametrize("alternative", [*CONTEXT_ALTERNATIVES, *UNSURE_ALTERNATIVES])
def test_every_alternative_finds_a_line(captured: Captured, alternative: str) -> None:
    found = captured.sites(alternative, captured.all)
    assert len(found) >= NUM_SITES.get(alternative, 1), alternative


@pytest.mark.parametrize("pattern", [log_search._JOB_OF_ITEM, log_search._WAITS])
def test_every_other_pattern_finds_the_lines_of_all_its_calls(
    captured: Captured, pattern: re.Pattern[str]
) -> None:
    found = captured.sites(pattern, captured.virtual)
    assert len(found) >= NUM_SITES[pattern.pattern], sorted(found)


def test_workers_are_named_by_the_lines_of_all_calls(captured: Captured) -> None:
    found = {
        line.site
        for line in captured.virtual
        # "The worker has ended" names none.
        if any(re.fullmatch(r"[es]\d\+*", name) for name in worker_ids([line.parsed]))
    }
    assert len(found) >= NUM_SITES[log_search._WORKER.pattern], sorted(found)


def test_an_item_is_followed_through_the_captured_lines(captured: Captured) -> None:
    texts = [line.text for line in captured.virtual]
    account = search_logs("j4.i0", texts)
    messages = [line.message for line in account.about]
    assert any(message.startswith("job j4: taken over") for message in messages)
    assert any(message.startswith("item j4.i0 of job j4: 300 events") for message in messages)
    assert account.num_unread == 0
    assert wait_descriptions(account.about)
    assert worker_ids(account.about)
    assert account.context
