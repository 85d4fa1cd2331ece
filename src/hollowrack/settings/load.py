"""Loader and validator of the settings of a node.

Precedence, highest first: command-line options, environment variables, the settings file.
"""

import os
import socket
import tomllib
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import ValidationError
from pydantic_settings import EnvSettingsSource, SettingsError
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode
from hollowrack.settings.address import split_address
from hollowrack.settings.model import NodeSettings

CLUSTER_KEY_BYTES = 32


def read_settings(
    path: Path, overrides: Mapping[str, Any] | None = None
) -> Result[NodeSettings, Problem]:
    """Read a settings file, apply environment variables and overrides, and validate the result.

    Args:
        path: Path of the settings file.
        overrides: Values by dotted key; they take precedence over the environment.

    Returns:
        The settings. Fails with ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID``; the problem's
        place is the file, the dotted key or ``environment``.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(Problem(ResultCode.SETTINGS_UNREADABLE, str(error), str(path)))
    return build_settings(values, overrides)


def build_settings(
    values: dict[str, Any], overrides: Mapping[str, Any] | None = None
) -> Result[NodeSettings, Problem]:
    """Validate settings given as a mapping; see :func:`read_settings`."""
    try:
        merged = _merge(values, _environment_values())
        for key, value in (overrides or {}).items():
            merged = _merge(merged, _nest(key.split("."), value))
        return Success(NodeSettings.model_validate(merged))
    except SettingsError as error:
        return Failure(Problem(ResultCode.SETTINGS_INVALID, str(error), "environment"))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return Failure(Problem(ResultCode.SETTINGS_INVALID, f"{first['msg']}.", place))


def _environment_values() -> dict[str, Any]:
    source = EnvSettingsSource(NodeSettings)
    return dict(source())


def _nest(parts: list[str], value: Any) -> dict[str, Any]:
    for part in reversed(parts):
        value = {part: value}
    return dict(value)


def _merge(base: Mapping[str, Any], overrides: Mapping[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in overrides.items():
        current = merged.get(key)
        if isinstance(current, Mapping) and isinstance(value, Mapping):
            merged[key] = _merge(current, value)
        else:
            merged[key] = value
    return merged


def read_cluster_key(path: Path) -> Result[bytes, Problem]:
    """Read the key shared by all nodes from a file of hexadecimal digits.

    Fails with ``CLUSTER_KEY_INVALID``.
    """
    try:
        key = bytes.fromhex(path.read_text(encoding="ascii").strip())
    except (OSError, ValueError) as error:
        detail = error.strerror if isinstance(error, OSError) else "not hexadecimal"
        return Failure(
            Problem(ResultCode.CLUSTER_KEY_INVALID, f"{path}: {detail}.", "cluster_key_file")
        )
    if len(key) != CLUSTER_KEY_BYTES:
        detail = f"{path}: {len(key)} bytes, expected {CLUSTER_KEY_BYTES}."
        return Failure(Problem(ResultCode.CLUSTER_KEY_INVALID, detail, "cluster_key_file"))
    return Success(key)


def check_host_resources(settings: NodeSettings) -> Result[NodeSettings, Problem]:
    """Check the host's resources that the settings name: key file, data directory, addresses.

    Fails with ``CLUSTER_KEY_INVALID``, ``DATA_DIRECTORY_UNUSABLE`` or ``ADDRESS_UNAVAILABLE``.
    """
    key = read_cluster_key(settings.cluster_key_file)
    if isinstance(key, Failure):
        return key
    if settings.data_dir is not None:
        directory = check_data_directory(settings.data_dir)
        if isinstance(directory, Failure):
            return directory
    for name, address in settings.listeners:
        listener = _check_address_available(f"listeners.{name}", address)
        if isinstance(listener, Failure):
            return listener
    return Success(settings)


def check_data_directory(path: Path) -> Result[Path, Problem]:
    """Check that a directory exists and can be read and written.

    Fails with ``DATA_DIRECTORY_UNUSABLE``.
    """
    probe = path / f".probe-{uuid.uuid4().hex}"
    try:
        os.listdir(path)
        probe.write_bytes(b"probe")
        probe.unlink()
    except OSError as error:
        detail = f"{path}: {error.strerror}."
        return Failure(Problem(ResultCode.DATA_DIRECTORY_UNUSABLE, detail, "data_dir"))
    return Success(path)


def _check_address_available(place: str, address: str) -> Result[None, Problem]:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as error:
            detail = f"{address}: {error.strerror}."
            return Failure(Problem(ResultCode.ADDRESS_UNAVAILABLE, detail, place))
    return Success(None)
