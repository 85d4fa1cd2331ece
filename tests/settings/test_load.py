"""Settings: what is accepted, and the numbered error with its place for what is not."""

import socket
import tomllib
from pathlib import Path
from typing import Any

import pytest

from hollowrack.results import ResultCode
from hollowrack.settings.example import example_settings
from hollowrack.settings.load import (
    build_settings,
    check_host_resources,
    read_cluster_key,
    read_settings,
)

VALID: dict[str, Any] = {
    "node": "a",
    "zone": "z",
    "cluster_key_file": "cluster.key",
    "listeners": {
        "callers": "127.0.0.1:0",
        "operators": "127.0.0.1:0",
        "nodes": "127.0.0.1:0",
    },
    "platform": {
        "config_store": ["http://127.0.0.1:1"],
        "machine_list": "http://127.0.0.1:2/targets",
        "weight_store": "http://127.0.0.1:3",
    },
}


def _changed(path: str, value: Any) -> dict[str, Any]:
    values: dict[str, Any] = {
        key: dict(entry) if isinstance(entry, dict) else entry for key, entry in VALID.items()
    }
    target = values
    *parents, last = path.split(".")
    for parent in parents:
        target = target.setdefault(parent, {})
    target[last] = value
    return values


def test_valid_settings_are_accepted() -> None:
    assert build_settings(VALID).unwrap().limits.max_requests > 0


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        ("colour", "red", "colour"),
        ("listeners.callers", "localhost:80", "listeners.callers"),
        ("listeners.callers", "127.0.0.1", "listeners.callers"),
        ("listeners.nodes", "127.0.0.1:70000", "listeners.nodes"),
        ("limits.max_body_bytes", "1 MB", "limits.max_body_bytes"),
        ("limits.request_read_timeout_s", -1, "limits.request_read_timeout_s"),
        ("limits.max_kittens", 3, "limits.max_kittens"),
        ("node", "two words", "node"),
        ("logging.level", "loud", "logging.level"),
        ("peers", [{"node": "b", "zone": "z"}], "peers.0.address"),
    ],
)
def test_a_bad_key_is_named(path: str, value: Any, place: str) -> None:
    problem = build_settings(_changed(path, value)).failure()
    assert problem.code is ResultCode.SETTINGS_INVALID
    assert problem.place == place
    assert problem.remedy


def test_flags_go_before_the_environment_and_both_before_the_file(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("HOLLOWRACK_ZONE", "from-environment")
    monkeypatch.setenv("HOLLOWRACK_LIMITS__MAX_REQUESTS", "7")
    settings = build_settings(VALID).unwrap()
    assert (settings.zone, settings.limits.max_requests) == ("from-environment", 7)
    assert build_settings(VALID, {"zone": "from-flag"}).unwrap().zone == "from-flag"


@pytest.mark.parametrize("content", [b"node = ", b"\xff\xfe", None])
def test_an_unreadable_file_is_named(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "node.toml"
    if content is not None:
        path.write_bytes(content)
    problem = read_settings(path).failure()
    assert problem.code is ResultCode.SETTINGS_UNREADABLE
    assert problem.place == str(path)


def test_the_example_is_valid_and_comments_every_key() -> None:
    text = example_settings()
    values = tomllib.loads(text)
    values["trusted_signers"] = {}
    assert build_settings(values).unwrap().node == "buc-a-1"
    lines = text.splitlines()
    for number, line in enumerate(lines):
        if " = " in line and not line.startswith("#"):
            assert lines[number - 1].startswith("# "), line


@pytest.mark.parametrize("content", [None, "not hexadecimal", "abcd"])
def test_a_bad_cluster_key_is_named(tmp_path: Path, content: str | None) -> None:
    path = tmp_path / "cluster.key"
    if content is not None:
        path.write_text(content)
    problem = read_cluster_key(path).failure()
    assert (problem.code, problem.place) == (ResultCode.CLUSTER_KEY_INVALID, "cluster_key_file")


def _with_key(tmp_path: Path, **changes: Any) -> dict[str, Any]:
    key = tmp_path / "cluster.key"
    key.write_text("ab" * 32)
    return VALID | {"cluster_key_file": str(key)} | changes


def test_a_port_in_use_is_named(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        listeners = VALID["listeners"] | {"operators": address}
        settings = build_settings(_with_key(tmp_path, listeners=listeners)).unwrap()
        problem = check_host_resources(settings).failure()
    assert (problem.code, problem.place) == (ResultCode.ADDRESS_UNAVAILABLE, "listeners.operators")


def test_an_unusable_data_folder_is_named(tmp_path: Path) -> None:
    missing = tmp_path / "missing"
    settings = build_settings(_with_key(tmp_path, data_dir=str(missing))).unwrap()
    problem = check_host_resources(settings).failure()
    assert (problem.code, problem.place) == (ResultCode.DATA_DIRECTORY_UNUSABLE, "data_dir")
