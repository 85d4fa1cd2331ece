"""Log records must carry the fields of their context; a blocked reader must not block logging."""

import io
import json
import logging as standard_logging
import threading
from collections.abc import Iterator

import pytest
from absl import logging

from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.observability.logs import log_fields, setup_logging, use_bounded_handler
from hollowrack.settings.sections import Logging


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    handler = logging.get_absl_handler()
    root = standard_logging.getLogger()
    before = (handler.python_handler.stream, handler.formatter, root.handlers[:], root.level)
    captured = io.StringIO()
    handler.python_handler.stream = captured
    yield captured
    handler.python_handler.stream, formatter, root.handlers, level = before
    handler.setFormatter(formatter)
    root.setLevel(level)


def test_json_lines_include_context_fields(stream: io.StringIO) -> None:
    setup_logging(Logging(format="json", level="info"), "n1", "z1")
    with log_fields(run="r", step="3", sample="3/p/0"), log_fields(request="q"):
        logging.info("hello %d", 5)
    logging.info("outside")
    inside, outside = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert inside["message"] == "hello 5" and inside["level"] == "INFO"
    expected = {"node": "n1", "zone": "z1", "run": "r", "step": "3", "sample": "3/p/0"}
    assert expected | {"request": "q"} == {
        name: inside.get(name) for name in (*expected, "request")
    }
    assert "request" not in outside and outside["node"] == "n1"


def test_human_readable_lines_end_with_context_fields(stream: io.StringIO) -> None:
    setup_logging(Logging(format="human", level="info"), "n1", "z1")
    with log_fields(request="q"):
        logging.info("hello")
        logging.debug("hidden")
    assert stream.getvalue().rstrip().endswith("INFO hello node=n1 zone=z1 request=q")
    assert "hidden" not in stream.getvalue()


class BlockedStream(io.StringIO):
    """Stream whose writes block until ``is_read`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_read = threading.Event()

    def write(self, text: str) -> int:
        self.is_read.wait()
        return super().write(text)


def test_blocked_reader_does_not_block_logging_and_dropped_lines_are_reported(
    stream: io.StringIO,
) -> None:
    del stream  # The fixture restores the handler.
    setup_logging(Logging(format="json", level="info"), "n1", "z1")
    pipe = BlockedStream()
    logging.get_absl_handler().python_handler.stream = pipe
    bounded_handler = use_bounded_handler(max_queued=10)
    try:
        with log_fields(request="q"):
            for number in range(1000):
                logging.info("line %d", number)
        assert bounded_handler.num_dropped > 0
        pipe.is_read.set()
        bounded_handler.drain(30.0)
        logging.info("after")
        bounded_handler.drain(30.0)
    finally:
        pipe.is_read.set()
        standard_logging.getLogger().removeHandler(bounded_handler)
        bounded_handler.stop()
    lines = [json.loads(line) for line in pipe.getvalue().splitlines()]
    assert lines[0]["message"] == "line 0" and lines[0]["request"] == "q"
    assert any("log lines were dropped" in line["message"] for line in lines)
    assert any(line["message"] == "after" for line in lines)


def test_decision_log_finds_by_subject_and_is_bounded() -> None:
    decisions = DecisionLog(max_records=3)
    for number in range(5):
        decisions.record(DecisionKind.ROUTE, f"run/{number}", "e1", attempt=number)
    assert [record.subject for record in decisions.find_by_subject("run")] == [
        "run/2",
        "run/3",
        "run/4",
    ]
    assert decisions.find_by_subject("run/4")[0].as_json()["kind"] == "route"
    assert decisions.find_by_subject("ru") == []
