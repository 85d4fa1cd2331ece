"""Reads and checks settings: file first, environment over it, flags over both."""

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
from hollowrack.settings.model import NodeSettings, split_address

CLUSTER_KEY_BYTES = 32


def read_settings(
    path: Path, overrides: Mapping[str, Any] | None = None
) -> Result[NodeSettings, Problem]:
    """Read a settings file, apply the environment and then ``overrides`` (dotted keys).

    Fails with ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID``; the problem's place is the file or
    the key path.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(Problem(ResultCode.SETTINGS_UNREADABLE, str(error), str(path)))
    return build_settings(values, overrides)


def build_settings(
    values: dict[str, Any], overrides: Mapping[str, Any] | None = None
) -> Result[NodeSettings, Problem]:
    """Check settings given as a mapping; see :func:`read_settings`."""
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


def _merge(base: Mapping[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in over.items():
        known = merged.get(key)
        if isinstance(known, Mapping) and isinstance(value, Mapping):
            merged[key] = _merge(known, value)
        else:
            merged[key] = value
    return merged


def read_cluster_key(path: Path) -> Result[bytes, Problem]:
    """Read the key shared by all nodes; fails with ``CLUSTER_KEY_INVALID``."""
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
    """Check what the settings name on this machine: key, data folder and listen addresses.

    Fails with ``CLUSTER_KEY_INVALID``, ``DATA_DIRECTORY_UNUSABLE`` or ``ADDRESS_UNAVAILABLE``.
    """
    key = read_cluster_key(settings.cluster_key_file)
    if isinstance(key, Failure):
        return key
    if settings.data_dir is not None:
        usable = check_data_directory(settings.data_dir)
        if isinstance(usable, Failure):
            return usable
    for name, address in settings.listeners:
        free = _check_address_free(f"listeners.{name}", address)
        if isinstance(free, Failure):
            return free
    return Success(settings)


def check_data_directory(path: Path) -> Result[Path, Problem]:
    """Check that a folder exists and can be read and written."""
    probe = path / f".probe-{uuid.uuid4().hex}"
    try:
        os.listdir(path)
        probe.write_bytes(b"probe")
        probe.unlink()
    except OSError as error:
        detail = f"{path}: {error.strerror}."
        return Failure(Problem(ResultCode.DATA_DIRECTORY_UNUSABLE, detail, "data_dir"))
    return Success(path)


def _check_address_free(place: str, address: str) -> Result[None, Problem]:
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
