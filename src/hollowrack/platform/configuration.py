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
from hollowrack.results import Problem, ResultCode
from hollowrack.tenants.types import Tenant, TenantDirectory, digest_key

MS_PER_S = 1000
DEFAULT_CAPACITY = 1
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_TARGET_LATENCY_MS = 1000
LOWEST_PRIORITY = 9

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
    """Decode a worker's entry; fails with ``PLATFORM_ANSWER_INVALID``."""
    worker_id = key.removeprefix(names.WORKERS_PREFIX)
    return _decode(value, key, lambda entry: _worker(worker_id, entry))


def decode_named_version(key: str, value: bytes) -> Result[tuple[str, int], Problem]:
    """Decode a trainer's newest version: model and version."""
    return _decode(value, key, lambda entry: (str(entry["model"]), int(entry["version"])))


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
    value: bytes, place: str, build: Callable[[dict[str, Any]], Value]
) -> Result[Value, Problem]:
    try:
        return Success(build(json.loads(value)))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, place))


def _configuration(content: dict[str, Any]) -> RoutingConfiguration:
    services = {entry["name"]: _service(entry) for entry in content.get("services", ())}
    routes = tuple(_route(entry) for entry in content.get("routes", ()))
    return RoutingConfiguration(
        int(content["version"]),
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


def _worker(worker_id: str, entry: dict[str, Any]) -> Worker:
    return Worker(
        worker_id,
        str(entry["service"]),
        str(entry["address"]),
        str(entry.get("zone", "")),
        int(entry.get("capacity") or DEFAULT_CAPACITY),
        entry.get("state") == names.DRAINING,
        model_versions(entry.get("models")),
        started_ms(entry),
    )
