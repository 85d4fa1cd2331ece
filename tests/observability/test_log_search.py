"""Log search must return the lines about a subject and its job, and ignore unparsable input."""

import json

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.cli.commands import hollowrack
from hollowrack.observability.log_search import search_logs
from hollowrack.results import ResultCode, exit_status


def _line(time: str, node: str, message: str) -> str:
    return json.dumps({"time": time, "level": "INFO", "message": message, "node": node})


LOG = [
    _line("10:00:01", "n1", "job j1: owned, 2 items, 0 listed"),
    _line("10:00:02", "n1", "run i1: worker w7: timed out after event 4"),
    _line("10:00:03", "n1", "coordination store fails for op/: NotDone"),
    _line("10:00:04", "n1", "item i1 of job j1: 9 events by 2 attempts in 3.0 s, 0.1 s of it"),
    _line("10:00:04", "n1", "item i2 of job j1: 5 events by 1 attempts in 3.0 s, 0.1 s of it"),
    _line("10:00:04", "n2", "coordination store fails for op/: NotDone"),
    "   3.2 n1 " + _line("10:00:05", "n1", "job j1: no longer run on this node, 2 results listed"),
    _line("10:00:06", "n1", "stopping: 0 jobs running"),
    _line(
        "10:00:07",
        "n2",
        "request q1: [400 OUTCOME_UNKNOWN] at q1: the deadline has passed (w7: no answer in time)",
    ),
    "not JSON {",
    "",
]


def test_search_for_an_item_includes_its_job_but_not_other_items() -> None:
    result = search_logs("i1", reversed(LOG))
    assert [line.time for line in result.about] == ["10:00:01", "10:00:02", "10:00:04", "10:00:05"]
    assert [(line.time, line.node) for line in result.context] == [("10:00:03", "n1")]
    assert result.num_unread == 1


def test_context_shows_node_start_and_store_changes_of_a_job_takeover() -> None:
    log = [
        _line("10:00:01", "n1", "job j1: owned, 2 items, 0 listed"),
        _line("10:00:02", "n2", "edge node n2 started"),
        _line("10:00:03", "n2", "job j1: taken over from n1#1"),
        _line("10:00:04", "n2", "changes of op/ from node n3: revision 9 after 7, age 0.20 s"),
        _line("10:00:05", "n2", "item i1 of job j1: 9 events"),
    ]
    result = search_logs("i1", log)
    assert [(line.time, line.node) for line in result.about] == [
        ("10:00:01", "n1"),
        ("10:00:03", "n2"),
        ("10:00:05", "n2"),
    ]
    assert [line.time for line in result.context] == ["10:00:02", "10:00:04"]


def test_explain_lists_the_waits_of_an_item_in_time_order() -> None:
    given_up = "item i1 of job j1: given up with 3 events, its time is up (no configuration), "
    completed = (
        "item i1 of job j1: 9 events (0 resumed, 9 tokens expected) by 1 attempts in 0.5 s, "
    )
    log = [
        _line(
            "10:00:09", "n2", completed + "0.2 s of it waiting: 0 refusals; queue 0.20 s, worker w3"
        ),
        _line(
            "10:00:02", "n1", given_up + "last waiting: 1 refusals; queue 0.50 s, worker w7 not run"
        ),
        _line("10:00:03", "n1", completed.replace("i1", "i2") + "0.9 s of it waiting: 4 refusals"),
    ]
    result = CliRunner().invoke(hollowrack, ["explain", "i1", "--logs", "-"], input="\n".join(log))
    waits = result.output.split("waits in order\n")[1].split("\n\n")[0].splitlines()
    assert [wait.strip() for wait in waits] == [
        "1 refusals",
        "queue 0.50 s, worker w7 not run",
        "0 refusals",
        "queue 0.20 s, worker w3",
    ]


def test_unknown_subject_has_an_empty_result() -> None:
    result = search_logs("nobody", LOG)
    assert result.about == result.context == ()


@given(st.lists(st.text() | st.binary().map(repr), max_size=20), st.text(min_size=1))
def test_arbitrary_text_is_parsed_without_error(lines: list[str], subject: str) -> None:
    result = search_logs(subject, lines)
    assert result.num_unread <= len(lines)


def test_explain_reads_standard_input_and_lists_workers() -> None:
    result = CliRunner().invoke(hollowrack, ["explain", "i1", "--logs", "-"], input="\n".join(LOG))
    assert result.exit_code == 0
    assert "workers named: w7" in result.output
    assert "coordination store fails" in result.output
    assert "i2" not in result.output


def test_explain_requires_a_log_source() -> None:
    result = CliRunner().invoke(hollowrack, ["explain", "i1"])
    assert result.exit_code == exit_status(ResultCode.USAGE)
    assert "[105]" in result.output or "[105 USAGE]" in result.output
