"""The platform's settings file of a process, checked."""

import json
import os
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from hollowrack.platform import names
from hollowrack.results import Problem, ResultCode

MS_PER_S = 1000


class _Section(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class Listen(_Section):
    """Addresses of what a process serves; empty where it serves nothing."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = Field(default="", alias="control-plane")


class Bounds(_Section):
    """The bounds that the product works with."""

    grace_s: float = Field(default=8.0, alias="grace-s")
    lease_ms: float = Field(default=3000.0, alias="lease-ms")
    drain_ms: float = Field(default=2000.0, alias="drain-ms")
    # How long a change of the configuration may take to be in force at every node.
    config_apply_ms: float = Field(default=2000.0, alias="config-apply-ms")
    status_s: float = Field(default=120.0, alias="status-s")
    # Whether a node that may not know the keys in force must refuse them, and how soon.
    refuses_unsure_keys: bool = Field(default=False, alias="revoke-partitioned")
    revoke_ms: float = Field(default=5000.0, alias="revoke-ms")
    usage_window_s: float = Field(default=5.0, alias="report-window-s", gt=0.0)


class Limits(_Section):
    """What the machine has."""

    cpu_shares: float = Field(default=1.0, alias="cpu-shares")
    cores: float = 1.0


class StoreSettings(_Section):
    """Where the platform's store is."""

    address: str


class DutySettings(_Section):
    """Where the calls go that one node makes for all, and which of them there are."""

    address: str
    duties: tuple[str, ...] = ()


class ProcessSettings(_Section):
    """Everything the platform tells a process; unknown keys are left alone."""

    node_name: str = Field(alias="node-name")
    zone: str
    role: str = ""
    listen: Listen = Listen()
    # Control-plane addresses of up to three machines, which may be down.
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    platform: StoreSettings
    cloud: DutySettings | None = None
    metrics: str | None = None
    # Whether nodes that own jobs share the slots of workers that hold several models.
    shares_slots: bool = Field(default=True, alias="slot-sharing", strict=True)


def read_process_settings(path: Path | None = None) -> Result[ProcessSettings, Problem]:
    """Read the settings file; fails with ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID``."""
    if path is None:
        named = os.environ.get(names.SETTINGS_VARIABLE)
        if not named:
            detail = f"the variable {names.SETTINGS_VARIABLE} names no settings file."
            return Failure(Problem(ResultCode.SETTINGS_UNREADABLE, detail, "environment"))
        path = Path(named)
    try:
        content: Any = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        return Failure(Problem(ResultCode.SETTINGS_UNREADABLE, str(error), path.name))
    try:
        return Success(ProcessSettings.model_validate(content))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"]) or path.name
        return Failure(Problem(ResultCode.SETTINGS_INVALID, first["msg"], place))
