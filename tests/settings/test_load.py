"""Invalid settings must be rejected with the right result code and the name of the key."""

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


def _settings_with(path: str, value: Any) -> dict[str, Any]:
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
        ("limits.unknown_limit", 3, "limits.unknown_limit"),
        ("node", "two words", "node"),
        ("logging.level", "loud", "logging.level"),
        ("peers", [{"node": "b", "zone": "z"}], "peers.0.address"),
    ],
)
def test_invalid_key_is_named(path: str, value: Any, place: str) -> None:
    problem = build_settings(_settings_with(path, value)).failure()
    assert problem.code is ResultCode.SETTINGS_INVALID
    assert problem.place == place
    assert problem.remedy


def test_overrides_precede_environment_and_environment_precedes_file(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("HOLLOWRACK_ZONE", "from-environment")
    monkeypatch.setenv("HOLLOWRACK_LIMITS__MAX_REQUESTS", "7")
    settings = build_settings(VALID).unwrap()
    assert (settings.zone, settings.limits.max_requests) == ("from-environment", 7)
    assert build_settings(VALID, {"zone": "from-flag"}).unwrap().zone == "from-flag"


@pytest.mark.parametrize("content", [b"node = ", b"\xff\xfe", None])
def test_unreadable_file_is_named(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "node.toml"
    if content is not None:
        path.write_bytes(content)
    problem = read_settings(path).failure()
    assert problem.code is ResultCode.SETTINGS_UNREADABLE
    assert problem.place == str(path)


def test_example_is_valid_and_has_comment_on_every_key() -> None:
    text = example_settings()
    values = tomllib.loads(text)
    values["trusted_signers"] = {}
    assert build_settings(values).unwrap().node == "buc-a-1"
    lines = text.splitlines()
    for number, line in enumerate(lines):
        if " = " in line and not line.startswith("#"):
            assert lines[number - 1].startswith("# "), line


@pytest.mark.parametrize("content", [None, "not hexadecimal", "abcd"])
def test_invalid_cluster_key_is_named(tmp_path: Path, content: str | None) -> None:
    path = tmp_path / "cluster.key"
    if content is not None:
        path.write_text(content)
    problem = read_cluster_key(path).failure()
    assert (problem.code, problem.place) == (ResultCode.CLUSTER_KEY_INVALID, "cluster_key_file")


def _settings_with_key_file(tmp_path: Path, **changes: Any) -> dict[str, Any]:
    key = tmp_path / "cluster.key"
    key.write_text("ab" * 32)
    return VALID | {"cluster_key_file": str(key)} | changes


def test_address_in_use_is_named(tmp_path: Path) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listeners = VALID["listeners"] | {"operators": address}
        settings = build_settings(_settings_with_key_file(tmp_path, listeners=listeners)).unwrap()
        problem = check_host_resources(settings).failure()
    assert (problem.code, problem.place) == (ResultCode.ADDRESS_UNAVAILABLE, "listeners.operators")


def test_unusable_data_directory_is_named(tmp_path: Path) -> None:
    missing = tmp_path / "missing"
    settings = build_settings(_settings_with_key_file(tmp_path, data_dir=str(missing))).unwrap()
    problem = check_host_resources(settings).failure()
    assert (problem.code, problem.place) == (ResultCode.DATA_DIRECTORY_UNUSABLE, "data_dir")
