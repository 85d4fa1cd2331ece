"""Commands must print valid output, exit with the result code's status and name the bad input."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from hollowrack.results import ResultCode, code_table, exit_status
from hollowrack_bench.program import hollowrack


def _run(*arguments: object) -> Result:
    return CliRunner().invoke(hollowrack, [str(argument) for argument in arguments])


def test_example_settings_with_new_keys_are_valid(tmp_path: Path) -> None:
    assert _run("keys", "cluster", tmp_path / "cluster.key").exit_code == 0
    public_key = _run("keys", "signer", tmp_path / "signer.pem").output.strip()
    (tmp_path / "data").mkdir()
    text = _run("settings", "example").output
    text = text.replace("<64 hexadecimal digits>", public_key)
    text = text.replace('"cluster.key"', f'"{tmp_path}/cluster.key"')
    text = text.replace('data_dir = "data"', f'data_dir = "{tmp_path}/data"')
    for port in ("7100", "7101", "7102"):
        text = text.replace(f"127.0.0.1:{port}", "127.0.0.1:0")
    path = tmp_path / "node.toml"
    path.write_text(text)
    checked = _run("settings", "check", path)
    assert checked.exit_code == 0, checked.output
    as_json = json.loads(_run("settings", "check", path, "--json").output)
    assert as_json["trusted_signers"] == {"night-shift": public_key}


@pytest.mark.parametrize(
    ("text", "code", "place"),
    [
        ("node = [", ResultCode.SETTINGS_UNREADABLE, "node.toml"),
        ('colour = "red"', ResultCode.SETTINGS_INVALID, ""),
    ],
)
def test_failed_check_exits_with_status_of_result_code(
    tmp_path: Path, text: str, code: ResultCode, place: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(text)
    checked = _run("settings", "check", path, "--json")
    error = json.loads(checked.output)["error"]
    assert checked.exit_code == exit_status(code)
    assert error["code"] == int(code) and place in error["place"] and error["remedy"]
    assert _run("node", path).exit_code == exit_status(code)


def test_codes_prints_result_code_table() -> None:
    assert _run("codes").output == code_table()


def test_existing_key_is_not_overwritten(tmp_path: Path) -> None:
    path = tmp_path / "cluster.key"
    _run("keys", "cluster", path)
    original_key = path.read_text()
    assert _run("keys", "cluster", path).exit_code == exit_status(ResultCode.USAGE)
    assert path.read_text() == original_key
    assert path.stat().st_mode & 0o077 == 0


def test_bundle_is_checked_and_signed(tmp_path: Path) -> None:
    path = tmp_path / "bundle.toml"
    path.write_text("revision = 1\n[models.quote]\ntraining_room = 0.5\n")
    assert _run("bundle", "check", path).exit_code == 0
    _run("keys", "signer", tmp_path / "key.pem")
    signed = _run("bundle", "sign", path, "--signer", "ana", "--key", tmp_path / "key.pem")
    assert json.loads(signed.output)["signer"] == "ana"
    path.write_text("revision = 0")
    rejected = _run("bundle", "check", path)
    assert rejected.exit_code == exit_status(ResultCode.BUNDLE_INVALID)
    assert "revision" in rejected.output
    path.write_text("revision = 1")
    invalid_key = _run("bundle", "sign", path, "--signer", "ana", "--key", path)
    assert invalid_key.exit_code == exit_status(ResultCode.USAGE)


def test_unreachable_node_exits_with_peer_unreachable() -> None:
    result = _run("status", "--operator", "http://127.0.0.1:1")
    assert result.exit_code == exit_status(ResultCode.PEER_UNREACHABLE)
