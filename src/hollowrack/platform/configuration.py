"""What operators, trainers and workers keep in the platform's store, as the product's types."""

import json
from collections.abc import Callable
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
    MAX_WHOLE_NUMBER,
    WorkerEntry,
    check_worker_entry,
    check_worker_id,
)
from hollowrack.results import Problem, ResultCode
from hollowrack.tenants.types import Tenant, TenantDirectory, digest_key

MS_PER_S = 1000
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_TARGET_LATENCY_MS = 1000
LOWEST_PRIORITY = 9
# Workers hold this one before any is named.
MIN_NAMED_VERSION = 1
# What another writer can put into one line of a log, in characters.
MAX_LOGGED_DETAIL_LENGTH = 300
MAX_LOGGED_PLACE_LENGTH = 200

Value = TypeVar("Value")

_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.JOB,
    "batch": RouteKind.JOB,
}


def decode_configuration(value: bytes) -> Result[RoutingConfiguration, Problem]:
    """Decode the operators' configuration; fails with ``PLATFORM_ANSWER_INVALID``."""
    return _decode(value, names.CONFIGURATION_KEY, _configuration)


def decode_worker(key: str, value: bytes) -> Result[Worker, Problem]:
    """Decode a worker's entry; fails with ``ENTRY_UNREADABLE``."""

    def build(content: dict[str, Any]) -> Worker:
        worker_id = check_worker_id(key.removeprefix(names.WORKERS_PREFIX))
        return _worker(worker_id, check_worker_entry(content))

    return _decode(value, key, build, ResultCode.ENTRY_UNREADABLE)


def decode_target_version(key: str, value: bytes) -> Result[tuple[str, int], Problem]:
    """Decode a trainer's newest version: model and version; fails with ``ENTRY_UNREADABLE``."""
    return _decode(value, key, _named_version, ResultCode.ENTRY_UNREADABLE)


def check_retirement(key: str, value: bytes) -> Result[None, Problem]:
    """Check that a value asks for a machine to be emptied; fails with ``ENTRY_UNREADABLE``."""
    return _decode(value, key, _check_retirement, ResultCode.ENTRY_UNREADABLE)


def model_versions(entries: Any) -> dict[str, int]:
    """Read the versions of a worker's models."""
    return {str(entry["name"]): int(entry["version"]) for entry in entries or ()}


def started_ms(account: dict[str, Any]) -> int:
    """Read when a worker's life started from what it says of itself; 0 if it does not tell.

    Raises:
        TypeError: If that is no whole number.
    """
    started = account.get(names.STARTED_MS, 0)
    if type(started) is not int:
        raise TypeError(f"{names.STARTED_MS} is no whole number: {started!r}")
    return started


def retirement_status(node: str) -> tuple[str, bytes]:
    """Return the key and value that say a machine has been emptied."""
    value = json.dumps({"state": names.RETIREMENT_COMPLETE}).encode()
    return names.RETIREMENT_STATUS_PREFIX + node, value


def _decode(
    value: bytes,
    place: str,
    build: Callable[[dict[str, Any]], Value],
    code: ResultCode = ResultCode.PLATFORM_ANSWER_INVALID,
) -> Result[Value, Problem]:
    try:
        return Success(build(parse_object(value)))
    except (ValueError, LookupError, TypeError, AttributeError, ArithmeticError) as error:
        detail = _bounded(f"{type(error).__name__}: {error}", MAX_LOGGED_DETAIL_LENGTH)
        return Failure(Problem(code, f"{detail}.", _bounded(place, MAX_LOGGED_PLACE_LENGTH)))


def _bounded(text: str, max_length: int) -> str:
    """A text of another writer as it may stand in one line of a log."""
    shown = ascii(text)[1:-1]
    return shown if len(shown) <= max_length else f"{shown[:max_length]}..."


def _configuration(content: dict[str, Any]) -> RoutingConfiguration:
    # What is left out would end all routes: a configuration is written in full.
    if type(content["version"]) is not int or not isinstance(content["routes"], list):
        raise ValueError("the version is no whole number, or the routes are no list")
    services = {entry["name"]: _service(entry) for entry in content.get("services", ())}
    routes = tuple(_route(entry) for entry in content["routes"])
    return RoutingConfiguration(
        content["version"],
        routes,
        services,
        _limits(content.get("limits") or {}),
        TenantDirectory(_tenant(entry) for entry in content.get("tenants") or ()),
    )


def _tenant(entry: dict[str, Any]) -> Tenant:
    name = str(entry["name"])
    keys = entry.get("api-keys") or ()
    # No error names a key: errors are logged.
    if not all(isinstance(key, str) and key.strip() for key in keys):
        raise ValueError(f"tenant {name!r}: a key is empty or no text")
    priority = entry.get("priority")
    return Tenant(
        name,
        frozenset(digest_key(key) for key in keys),
        None if priority is None else _rank(priority),
    )


def _rank(priority: Any) -> int:
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
    )


def _scaling(entry: dict[str, Any]) -> ScalingLimits:
    limits = ScalingLimits(
        int(entry["min-replicas"]),
        int(entry["max-replicas"]),
        float(entry.get("boot-s") or 0.0),
        float(entry.get("spot-price") or 1.0),
        {str(zone): float(price) for zone, price in (entry.get("zone-prices") or {}).items()},
    )
    if not 0 <= limits.min_workers <= limits.max_workers:
        raise ValueError(f"scaling: {limits.min_workers} to {limits.max_workers} workers")
    return limits


def _route(entry: dict[str, Any]) -> Route:
    timeout_ms = entry.get("timeout-ms")
    queue_ttl_s = entry.get("queue-ttl-s")
    result_deadline_ms = entry.get("result-deadline-ms")
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["hostname"]).lower(),
        prefix=str(entry["path-prefix"]),
        kind=_KINDS.get(entry.get("route-type", ""), RouteKind.UNSAFE),
        targets=_targets(entry),
        max_attempts=max(1, int(entry.get("max-attempts") or 1)),
        timeout_s=timeout_ms / MS_PER_S if timeout_ms else None,
        target_latency_s=(entry.get("target-latency-ms") or DEFAULT_TARGET_LATENCY_MS) / MS_PER_S,
        priority=_rank(entry.get("priority") or 0),
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
    )


def _named_version(entry: dict[str, Any]) -> tuple[str, int]:
    model, version = entry["model"], entry["version"]
    if not isinstance(model, str) or type(version) is not int:
        raise ValueError("the model is no text, or the version no whole number")
    if not MIN_NAMED_VERSION <= version <= MAX_WHOLE_NUMBER:
        raise ValueError("the version is no whole number from 1 on that all can tell")
    return model, version


def _check_retirement(entry: dict[str, Any]) -> None:
    duration_s = entry.get("duration-s", 0.0)
    if isinstance(duration_s, bool) or not isinstance(duration_s, int | float) or duration_s < 0:
        raise ValueError("duration-s is no time in seconds")
