"""Logs: fields by context, both formats, and no prompts or secrets."""

import io
import json
import logging as standard_logging
from collections.abc import Iterator

import pytest
from absl import logging

from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.observability.logs import log_fields, setup_logging
from hollowrack.settings.model import Logging


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


def test_json_lines_carry_the_fields_of_their_context(stream: io.StringIO) -> None:
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


def test_human_lines_show_the_fields_at_the_end(stream: io.StringIO) -> None:
    setup_logging(Logging(format="human", level="info"), "n1", "z1")
    with log_fields(request="q"):
        logging.info("hello")
        logging.debug("hidden")
    assert stream.getvalue().rstrip().endswith("INFO hello node=n1 zone=z1 request=q")
    assert "hidden" not in stream.getvalue()


def test_decisions_are_found_by_subject_and_bounded() -> None:
    decisions = DecisionLog(max_records=3)
    for number in range(5):
        decisions.record(DecisionKind.ROUTE, f"run/{number}", "e1", attempt=number)
    assert [record.subject for record in decisions.about("run")] == ["run/2", "run/3", "run/4"]
    assert decisions.about("run/4")[0].as_json()["kind"] == "route"
    assert decisions.about("ru") == []
