"""Absurd bounds of usage reporting must be rejected with the code, the key and a remedy."""

import json
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure

from hollowrack.platform.settings import read_process_settings
from hollowrack.results import ResultCode

SETTINGS: dict[str, Any] = {"node-name": "n", "zone": "z", "platform": {"address": "a:1"}}
INFINITE = float("inf")
MISTYPED: tuple[Any, ...] = (True, "text", "10", [], {"a": 1})


def write_settings(folder: Path, bounds: dict[str, Any]) -> Path:
    path = folder / "node.json"
    path.write_text(json.dumps(SETTINGS | {"bounds": bounds}))
    return path


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        ({}, (5.0, None, None)),
        ({"usage-late-s": None, "usage-tolerance": None}, (5.0, None, None)),
        (
            {"report-window-s": 2, "usage-late-s": 10, "usage-tolerance": 0.05},
            (2.0, 10.0, 0.05),
        ),
        ({"report-window-s": 1.5, "usage-late-s": 1, "usage-tolerance": 0}, (1.5, 1.0, 0.0)),
    ],
)
def test_bounds_are_read_from_the_settings(
    tmp_path: Path, bounds: dict[str, Any], expected: tuple[float, float | None, float | None]
) -> None:
    read = read_process_settings(write_settings(tmp_path, bounds)).unwrap().bounds
    assert (read.usage_window_s, read.usage_late_s, read.usage_tolerance) == expected


@pytest.mark.parametrize(
    ("name", "value"),
    [
        *(("usage-late-s", value) for value in (*MISTYPED, 0, -1, 0.5, 1e9, INFINITE, -INFINITE)),
        *(("usage-late-s", value) for value in (float("nan"), 10**400)),
        *(("usage-tolerance", value) for value in (*MISTYPED, -0.01, 1, 5, INFINITE)),
        ("usage-tolerance", float("nan")),
        *(("report-window-s", value) for value in ("text", [], None, 0, -5, 1e9, INFINITE)),
        ("report-window-s", float("nan")),
    ],
)
def test_absurd_bounds_are_rejected(tmp_path: Path, name: str, value: Any) -> None:
    """An infinite window or a delay of 0 s stopped all reports without an error."""
    checked = read_process_settings(write_settings(tmp_path, {name: value}))
    assert isinstance(checked, Failure)
    assert checked.failure().code is ResultCode.SETTINGS_INVALID
    assert checked.failure().place == f"bounds.{name}"


@pytest.mark.parametrize(
    ("name", "value", "texts"),
    [
        ("usage-late-s", 0, ("the delay is 0.0 s", "from 1 to 86400 s", "remove the key")),
        ("usage-tolerance", 5, ("the tolerance is 5.0", "from 0 to below 1", "remove the key")),
        ("report-window-s", -5, ("the length is -5.0 s", "above 0 and up to 86400 s")),
    ],
)
def test_error_names_number_place_and_remedy(
    tmp_path: Path, name: str, value: Any, texts: tuple[str, ...]
) -> None:
    checked = read_process_settings(write_settings(tmp_path, {name: value}))
    assert isinstance(checked, Failure)
    message = str(checked.failure())
    assert message.startswith(f"[101 SETTINGS_INVALID] at bounds.{name}: ")
    assert "Remedy: " in message
    for text in texts:
        assert text in message
