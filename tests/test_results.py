from pathlib import Path

from hollowrack.requests.lifecycle import NotRunCode, UnresolvedCode
from hollowrack.results import DESCRIPTIONS, Execution, ResultCode, code_table, exit_status

TABLE = Path(__file__).parent.parent / "docs" / "RESULT_CODES.md"


def test_every_code_is_described() -> None:
    assert set(DESCRIPTIONS) == set(ResultCode)


def test_the_table_in_the_docs_is_the_one_in_the_code() -> None:
    assert TABLE.read_text().endswith("\n" + code_table())


def test_exit_statuses_are_unique_bytes() -> None:
    statuses = [exit_status(code) for code in ResultCode]
    assert len(set(statuses)) == len(statuses)
    assert all(0 <= status < 256 for status in statuses)


def test_not_run_codes_assert_that_nothing_ran_and_unresolved_ones_do_not() -> None:
    assert all(DESCRIPTIONS[code.value].execution is Execution.NOT_RUN for code in NotRunCode)
    assert all(DESCRIPTIONS[code.value].execution is Execution.UNKNOWN for code in UnresolvedCode)
