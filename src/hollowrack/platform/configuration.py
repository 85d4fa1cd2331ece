"""Decoders for entries that operators, trainers and workers keep in the platform's store."""

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from hollowrack.forwarding.types import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ScalingLimits,
    Service,
    Target,
    Worker,
)
from hollowrack.platform import names
from hollowrack.platform.strict_json import parse_object
from hollowrack.platform.worker_entry import (
    MAX_SAFE_INTEGER,
    MAX_TEXT_LENGTH,
    WorkerEntry,
    check_worker_entry,
    check_worker_id,
)
from hollowrack.regions.allowed_regions import AllowedRegions
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.tenants.types import Tenant, TenantDirectory, digest_key
from hollowrack.warmup.coldness import MAX_COLD_S

MS_PER_S = 1000
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_TARGET_LATENCY_MS = 1000
LOWEST_PRIORITY = 9
# Version that workers hold before a trainer announces one.
MIN_TARGET_VERSION = 1
# Larger values are mistakes: a day, and more than any worker could take.
MAX_COLD_START_S = 86_400.0
MAX_COLD_REQUESTS_PER_S = 100_000.0
# Limits on text from entries of other programs in one log line, in characters.
MAX_LOGGED_DETAIL_LENGTH = 300
MAX_LOGGED_PLACE_LENGTH = 200

Value = TypeVar("Value")

_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.JOB,
    "batch": RouteKind.JOB,
}


def decode_configuration(
    value: bytes, regions: frozenset[str] = frozenset()
) -> Result[RoutingConfiguration, Problem]:
    """Decode the operators' configuration.

    Fails with ``ALLOWED_REGIONS_INVALID`` or ``PLATFORM_ANSWER_INVALID``.

    Args:
        value: Value of the configuration's key.
        regions: Names of the regions of the settings, the only ones that it may name.
    """
    return _decode(value, names.CONFIGURATION_KEY, lambda content: _configuration(content, regions))


def decode_worker(key: str, value: bytes) -> Result[Worker, Problem]:
    """Decode a worker's entry or fail with ``ENTRY_UNREADABLE``."""

    def build(content: dict[str, Any]) -> Worker:
        worker_id = check_worker_id(key.removeprefix(names.WORKERS_PREFIX))
        return _worker(worker_id, check_worker_entry(content))

    return _decode(value, key, build, ResultCode.ENTRY_UNREADABLE)


def decode_target_version(key: str, value: bytes) -> Result[tuple[str, int], Problem]:
    """Decode a trainer's announcement into model and version or fail with ``ENTRY_UNREADABLE``."""
    return _decode(value, key, _target_version, ResultCode.ENTRY_UNREADABLE)


def check_retirement(key: str, value: bytes) -> Result[None, Problem]:
    """Validate a request to retire a machine; fails with ``ENTRY_UNREADABLE``."""
    return _decode(value, key, _check_retirement, ResultCode.ENTRY_UNREADABLE)


def decode_evacuated_zone(key: str) -> Result[str, Problem]:
    """Decode the zone that an evacuation's key names or fail with ``ENTRY_UNREADABLE``."""
    zone = key.removeprefix(names.EVACUATION_PREFIX)
    if 1 <= len(zone) <= MAX_TEXT_LENGTH:
        return Success(zone)
    # The length is limited as in workers' entries, so no worker can be in this zone.
    detail = f"key: the name of the zone must have 1 to {MAX_TEXT_LENGTH} characters."
    place = _truncated(key, MAX_LOGGED_PLACE_LENGTH)
    return Failure(Problem(ResultCode.ENTRY_UNREADABLE, detail, place))


def check_evacuation(key: str, value: bytes) -> Result[None, Problem]:
    """Validate the value of an evacuation; fails with ``EVACUATION_VALUE_UNREADABLE``."""
    return _decode(value, key, lambda _: None, ResultCode.EVACUATION_VALUE_UNREADABLE)


def model_versions(entries: Any) -> dict[str, int]:
    """Return the weight version of each model in a worker's list of models."""
    return {str(entry["name"]): int(entry["version"]) for entry in entries or ()}


def started_ms(report: dict[str, Any]) -> int:
    """Return the start time of a worker's incarnation, in milliseconds since the Unix epoch.

    Args:
        report: Decoded report of the worker; the result is 0 if it has no start time.

    Raises:
        TypeError: If the start time is not an integer.
    """
    started = report.get(names.STARTED_MS, 0)
    if type(started) is not int:
        raise TypeError(f"{names.STARTED_MS} must be an integer, got {started!r}")
    return started


def retirement_status(machine: str) -> tuple[str, bytes]:
    """Return the key and value that report a machine as retired."""
    value = json.dumps({"state": names.RETIREMENT_COMPLETE}).encode()
    return names.RETIREMENT_STATUS_PREFIX + machine, value


def _decode(
    value: bytes,
    place: str,
    build: Callable[[dict[str, Any]], Value],
    code: ResultCode = ResultCode.PLATFORM_ANSWER_INVALID,
) -> Result[Value, Problem]:
    try:
        return Success(build(parse_object(value)))
    except ProblemError as error:
        return Failure(error.problem)
    except (ValueError, LookupError, TypeError, AttributeError, ArithmeticError) as error:
        detail = _truncated(f"{type(error).__name__}: {error}", MAX_LOGGED_DETAIL_LENGTH)
        return Failure(Problem(code, f"{detail}.", _truncated(place, MAX_LOGGED_PLACE_LENGTH)))


def _truncated(text: str, max_length: int) -> str:
    """Return text from another program escaped to ASCII and truncated for a log line."""
    shown = ascii(text)[1:-1]
    return shown if len(shown) <= max_length else f"{shown[:max_length]}..."


def _configuration(content: dict[str, Any], regions: frozenset[str]) -> RoutingConfiguration:
    # A configuration without routes would remove all of them, so both fields are required.
    if type(content["version"]) is not int or not isinstance(content["routes"], list):
        raise ValueError("version must be an integer and routes must be a list")
    services = {entry["name"]: _service(entry) for entry in content.get("services", ())}
    routes = tuple(
        replace(_route(entry), allowed_regions=_allowed_regions(entry, f"routes[{index}]", regions))
        for index, entry in enumerate(content["routes"])
    )
    tenants = (
        replace(
            _tenant(entry), allowed_regions=_allowed_regions(entry, f"tenants[{index}]", regions)
        )
        for index, entry in enumerate(content.get("tenants") or ())
    )
    return RoutingConfiguration(
        content["version"],
        routes,
        services,
        _limits(content.get("limits") or {}),
        TenantDirectory(tenants),
    )


def _allowed_regions(entry: dict[str, Any], place: str, regions: frozenset[str]) -> AllowedRegions:
    """Return the allowed regions of a route or tenant; ``None`` only if the field is absent.

    Raises:
        ProblemError: ``ALLOWED_REGIONS_INVALID`` if the field is not a list of known regions.
    """
    if names.ALLOWED_REGIONS not in entry:
        return None
    value = entry[names.ALLOWED_REGIONS]
    if not isinstance(value, list) or not value:
        found = "an empty list" if value == [] else type(value).__name__
        detail = f"expected a list of at least one region, got {found}"
    elif not all(isinstance(name, str) for name in value):
        detail = "every region must be a string"
    elif not regions:
        detail = "the settings of this node name no regions"
    elif unknown := set(value) - regions:
        known = ", ".join(sorted(regions))
        detail = f"unknown region {min(unknown)!r}; the settings name {known}"
    else:
        return frozenset(value)
    raise ProblemError(
        Problem(
            ResultCode.ALLOWED_REGIONS_INVALID,
            f"{_truncated(detail, MAX_LOGGED_DETAIL_LENGTH)}.",
            f"{names.CONFIGURATION_KEY} {place}.{names.ALLOWED_REGIONS}",
        )
    )


def _tenant(entry: dict[str, Any]) -> Tenant:
    name = str(entry["name"])
    keys = entry.get("api-keys") or ()
    # Errors are logged, so they must not contain a key.
    if not all(isinstance(key, str) and key.strip() for key in keys):
        raise ValueError(f"tenant {name!r}: every key must be a non-empty string")
    priority = entry.get("priority")
    return Tenant(
        name,
        frozenset(digest_key(key) for key in keys),
        None if priority is None else _clamped_priority(priority),
    )


def _clamped_priority(priority: Any) -> int:
    return min(LOWEST_PRIORITY, max(0, int(priority)))


def _service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine") or {}
    models = tuple(str(model["name"]) for model in engine.get("models") or ())
    scaling = entry.get("scaling")
    return Service(
        entry["name"],
        int(entry.get("max-connections") or DEFAULT_MAX_CONNECTIONS),
        models,
        _scaling(scaling) if scaling else None,
        min(MAX_COLD_S, _bounded_number(entry, "cold-start-s", MAX_COLD_START_S)),
        _bounded_number(entry, "cold-per-s", MAX_COLD_REQUESTS_PER_S),
    )


def _bounded_number(entry: dict[str, Any], field: str, maximum: float) -> float:
    """Return a non-negative number of a service's entry; 0 if the field is absent."""
    value = entry.get(field, 0.0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"services.{entry['name']}.{field}: must be a number")
    if not 0.0 <= value <= maximum:
        raise ValueError(f"services.{entry['name']}.{field}: must be from 0 to {maximum:g}")
    return float(value)


def _scaling(entry: dict[str, Any]) -> ScalingLimits:
    limits = ScalingLimits(
        int(entry["min-replicas"]),
        int(entry["max-replicas"]),
        float(entry.get("boot-s") or 0.0),
        float(entry.get("spot-price") or 1.0),
        {str(zone): float(price) for zone, price in (entry.get("zone-prices") or {}).items()},
    )
    if not 0 <= limits.min_workers <= limits.max_workers:
        raise ValueError(
            f"scaling: invalid range of {limits.min_workers} to {limits.max_workers} workers"
        )
    return limits


def _route(entry: dict[str, Any]) -> Route:
    timeout_ms = entry.get("timeout-ms")
    queue_ttl_s = entry.get("queue-ttl-s")
    result_deadline_ms = entry.get("result-deadline-ms")
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["hostname"]).lower(),
        prefix=str(entry["path-prefix"]),
        kind=_ROUTE_KINDS.get(entry.get("route-type", ""), RouteKind.UNSAFE),
        targets=_targets(entry),
        max_attempts=max(1, int(entry.get("max-attempts") or 1)),
        timeout_s=timeout_ms / MS_PER_S if timeout_ms else None,
        target_latency_s=(entry.get("target-latency-ms") or DEFAULT_TARGET_LATENCY_MS) / MS_PER_S,
        priority=_clamped_priority(entry.get("priority") or 0),
        is_resumable=bool(entry.get("resumable")),
        queue_ttl_s=float(queue_ttl_s) if queue_ttl_s else None,
        result_deadline_s=result_deadline_ms / MS_PER_S if result_deadline_ms else None,
        needs_single_version=bool(entry.get("on-policy")),
        is_public=bool(entry.get("public")),
    )


def _targets(entry: dict[str, Any]) -> tuple[Target, ...]:
    split = entry.get("backends")
    if split:
        return tuple(Target(str(part["service"]), float(part["weight"])) for part in split)
    return (Target(str(entry["service"]), 1.0),)


def _limits(entry: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(entry.get("max-header-bytes") or default.max_header_bytes),
        int(entry.get("max-body-bytes") or default.max_body_bytes),
        (entry.get("header-timeout-ms") or default.header_timeout_s * MS_PER_S) / MS_PER_S,
        (entry.get("idle-timeout-ms") or default.idle_timeout_s * MS_PER_S) / MS_PER_S,
    )


def _worker(worker_id: str, entry: WorkerEntry) -> Worker:
    return Worker(
        worker_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.capacity,
        entry.is_draining,
        entry.model_versions,
        entry.started_ms,
        entry.cold_remaining_s,
    )


def _target_version(entry: dict[str, Any]) -> tuple[str, int]:
    model, version = entry["model"], entry["version"]
    if not isinstance(model, str) or type(version) is not int:
        raise ValueError("model must be a string and version must be an integer")
    if not MIN_TARGET_VERSION <= version <= MAX_SAFE_INTEGER:
        raise ValueError("version must be an integer from 1 to 2**53 - 1")
    return model, version


def _check_retirement(entry: dict[str, Any]) -> None:
    duration_s = entry.get("duration-s", 0.0)
    if isinstance(duration_s, bool) or not isinstance(duration_s, int | float) or duration_s < 0:
        raise ValueError("duration-s must be a non-negative number of seconds")
