"""Malformed load reports of workers must be ignored, counted and rarely logged."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.back_end import LoadReport
from hollowrack.platform.load_report import MALFORMED_PER_LOG_LINE, LoadReportDecoder


@pytest.mark.parametrize("value", ["5,12,6", "5, 12, 6", "5,12,6,350"])
def test_load_report_is_decoded(value: str) -> None:
    decoder = LoadReportDecoder()
    assert decoder.decode(value, "w") == LoadReport(num_running=5, num_waiting=12)
    assert decoder.num_malformed == 0


MALFORMED = (
    *("", ",", "5", "5,12", "5,12,6,350,1", "5,-12,6", "5,x,6", "5,,6", "5,1e3,6", "5,12.0,6"),
    *("5,\u0661\u0662,6", "5,1234567,6", "5;12;6", "9" * 100_000, "1," * 100_000),
)


@pytest.mark.parametrize("value", MALFORMED)
def test_malformed_load_report_is_ignored_and_counted(value: str) -> None:
    decoder = LoadReportDecoder()
    assert decoder.decode(value, "w") is None
    assert decoder.num_malformed == 1


def test_missing_load_report_is_not_malformed() -> None:
    decoder = LoadReportDecoder()
    assert decoder.decode(None, "w") is None
    assert decoder.num_malformed == 0


@given(st.text())
def test_arbitrary_values_do_not_raise(value: str) -> None:
    LoadReportDecoder().decode(value, "w")


def test_malformed_load_reports_are_logged_at_a_limited_rate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    decoder = LoadReportDecoder()
    for _ in range(2 * MALFORMED_PER_LOG_LINE):
        decoder.decode("nonsense", "w7")
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 2
    assert all("w7" in line for line in lines)
