"""Result codes: a code is undocumented, or its exit status or execution is ambiguous."""

from pathlib import Path

from hollowrack.requests.lifecycle import NotRunCode, UnresolvedCode
from hollowrack.results import DESCRIPTIONS, Execution, ResultCode, code_table, exit_status

TABLE = Path(__file__).parent.parent / "docs" / "RESULT_CODES.md"


def test_every_code_has_a_description() -> None:
    assert set(DESCRIPTIONS) == set(ResultCode)


def test_table_in_docs_equals_generated_table() -> None:
    assert TABLE.read_text().endswith("\n" + code_table())


def test_exit_statuses_are_unique_bytes() -> None:
    statuses = [exit_status(code) for code in ResultCode]
    assert len(set(statuses)) == len(statuses)
    assert all(0 <= status < 256 for status in statuses)


def test_not_run_codes_state_no_execution_and_unresolved_codes_unknown() -> None:
    assert all(DESCRIPTIONS[code.value].execution is Execution.NOT_RUN for code in NotRunCode)
    assert all(DESCRIPTIONS[code.value].execution is Execution.UNKNOWN for code in UnresolvedCode)
