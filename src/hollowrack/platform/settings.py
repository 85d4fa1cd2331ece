"""Settings of a process, read and validated from the platform's settings file."""

import json
import os
from pathlib import Path
from typing import Any

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    field_validator,
)
from returns.result import Failure, Result, Success

from hollowrack.platform import names
from hollowrack.results import Problem, ResultCode
from hollowrack.warmup.types import WarmupBounds

MS_PER_S = 1000
# Far above what any worker could take.
MAX_COLD_OVERAGE = 1_000.0
MAX_COLD_SLACK = 100_000.0
# Longer windows and delays would keep counts in memory for more than a day.
MAX_USAGE_WINDOW_S = 86_400.0
MAX_USAGE_LATE_S = 86_400.0
# A report takes one poll of the leader, one store write and one call at least.
MIN_USAGE_LATE_S = 1.0


class _Section(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class Listen(_Section):
    """Listening addresses as ``IP:PORT``; empty for endpoints that are not served."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = Field(default="", alias="control-plane")


class Bounds(_Section):
    """Time limits and policies that the node must meet."""

    # Time between the request to stop and the end of the process.
    grace_s: float = Field(default=8.0, alias="grace-s")
    # Time that a new leader waits before it sends orders.
    lease_ms: float = Field(default=3000.0, alias="lease-ms")
    # Maximum time until a draining worker receives no new requests.
    drain_ms: float = Field(default=2000.0, alias="drain-ms")
    # Maximum time until a configuration change is in force on every node.
    config_apply_ms: float = Field(default=2000.0, alias="config-apply-ms")
    # Time for which a node must have been connected to the store so that time bounds hold.
    contact_ms: float | None = Field(default=None, alias="contact-ms", gt=0.0)
    # Time for which the results of an ended job can be requested.
    status_s: float = Field(default=120.0, alias="status-s")
    # Whether a node refuses API keys while its configuration is older than a revocation may take.
    refuses_unsure_keys: bool = Field(default=False, alias="revoke-partitioned")
    # Maximum time until a revoked key is refused.
    revoke_ms: float = Field(default=5000.0, alias="revoke-ms")
    # Length of the windows in which usage is reported.
    usage_window_s: float = Field(default=5.0, alias="report-window-s")
    # Maximum time from the end of a window until its usage report. Absent: reports have no bound.
    usage_late_s: float | None = Field(default=None, alias="usage-late-s", strict=True)
    # Largest allowed difference between reported and true counts, as a fraction of the true ones.
    usage_tolerance: float | None = Field(default=None, alias="usage-tolerance", strict=True)
    # A cold worker receives at most its sustained rate times this, plus ``cold_slack``, requests in
    # any second. Absent on deployments without such a rule.
    cold_overage: float | None = Field(
        default=None, alias="cold-overage", ge=0.0, le=MAX_COLD_OVERAGE, strict=True
    )
    cold_slack: float | None = Field(
        default=None, alias="cold-slack", ge=0.0, le=MAX_COLD_SLACK, strict=True
    )

    @field_validator("usage_window_s")
    @classmethod
    def _is_possible_window(cls, value: float) -> float:
        """Reject lengths for which windows cannot be numbered or counts cannot be kept."""
        if not 0.0 < value <= MAX_USAGE_WINDOW_S:
            raise ValueError(
                f"the length is {value} s; give one above 0 and up to {MAX_USAGE_WINDOW_S:.0f} s"
            )
        return value

    @field_validator("usage_late_s")
    @classmethod
    def _is_possible_delay(cls, value: float | None) -> float | None:
        """Reject delays in which no report can be made."""
        if value is not None and not MIN_USAGE_LATE_S <= value <= MAX_USAGE_LATE_S:
            raise ValueError(
                f"the delay is {value} s; give one from {MIN_USAGE_LATE_S:.0f} to "
                f"{MAX_USAGE_LATE_S:.0f} s, or remove the key if reports have no bound"
            )
        return value

    @field_validator("usage_tolerance")
    @classmethod
    def _is_fraction(cls, value: float | None) -> float | None:
        """Reject tolerances that are no fraction of the true counts."""
        if value is not None and not 0.0 <= value < 1.0:
            raise ValueError(
                f"the tolerance is {value}; give a fraction from 0 to below 1, for example 0.05 "
                "for 5%, or remove the key if counts have no bound"
            )
        return value

    @property
    def warmup(self) -> WarmupBounds | None:
        """Bound on the requests to cold workers; ``None`` if the settings have none.

        A missing half counts as the strictest value, since the rule then exists.
        """
        if self.cold_overage is None and self.cold_slack is None:
            return None
        overage = 1.0 if self.cold_overage is None else self.cold_overage
        return WarmupBounds(overage, 0.0 if self.cold_slack is None else self.cold_slack)


class Limits(_Section):
    """Resources of the machine; the process may use ``cpu_shares * cores`` CPU cores."""

    cpu_shares: float = Field(default=1.0, alias="cpu-shares")
    cores: float = 1.0


class StoreSettings(_Section):
    """Location of the platform's store."""

    address: str


class DutySettings(_Section):
    """Location of the duty service and the duties that it offers."""

    address: str
    duties: tuple[str, ...] = ()


class ProcessSettings(_Section):
    """All settings of a process; unknown keys are ignored."""

    node_name: str = Field(alias="node-name")
    zone: str
    # Region of this machine; empty if it is that of its zone.
    region: str = ""
    # Region by zone, for all zones of the deployment.
    zones: dict[str, str] = {}
    role: str = ""
    listen: Listen = Listen()
    # Control-plane addresses of up to three nodes, some of which may be down.
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    platform: StoreSettings
    cloud: DutySettings | None = None
    metrics: str | None = None
    # Whether job owners share the slots of workers that serve several models.
    shares_slots: bool = Field(default=True, alias="slot-sharing", strict=True)

    @field_validator("zones")
    @classmethod
    def _agrees_with_region(cls, zones: dict[str, str], info: ValidationInfo) -> dict[str, str]:
        """Reject a region of this machine that is not the one of its zone."""
        region = info.data.get("region")
        of_zone = zones.get(info.data.get("zone", ""))
        if region and of_zone and region != of_zone:
            raise ValueError(f"the region is {region!r}, but that of the zone is {of_zone!r}")
        return zones


def read_process_settings(path: Path | None = None) -> Result[ProcessSettings, Problem]:
    """Read the settings file; fails with ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID``.

    Args:
        path: Settings file; ``None`` for the one named by the environment variable.
    """
    if path is None:
        path_text = os.environ.get(names.SETTINGS_VARIABLE)
        if not path_text:
            detail = f"the environment variable {names.SETTINGS_VARIABLE} is not set or empty."
            return Failure(Problem(ResultCode.SETTINGS_UNREADABLE, detail, "environment"))
        path = Path(path_text)
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
