"""Data types for routes, services, workers and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from hollowrack.tenants.types import TenantDirectory


class RouteKind(Enum):
    """How a route's requests may be handled; the values appear in the configuration.

    Attributes:
        SAFE: Plain answer; several workers may run the request.
        UNSAFE: Plain answer; at most one worker may run the request.
        STREAM: The answer is a stream of events.
        JOB: The request submits a job.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    JOB = "job"


@dataclass(frozen=True)
class Target:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Targets and limits for the requests of one host and path prefix.

    Attributes:
        name: Unique name; also the key of latency statistics.
        host: Host name without port, in lower case.
        prefix: Path prefix that starts and ends with a slash.
        kind: How its requests may be handled.
        targets: Services that share its requests.
        max_attempts: Maximum number of workers that may run one request.
        timeout_s: Request timeout in seconds; ``None`` for no limit.
        target_latency_s: Latency objective of an answer, in seconds.
        priority: Scheduling priority, 0 is the highest.
        is_resumable: Whether a stream may be resumed at another worker.
        queue_ttl_s: Time after which an unfinished item is given up, in seconds; ``None`` for
            never.
        result_deadline_s: Time after the submission of a job in which its results are due, in
            seconds; ``None`` if none is stated.
        needs_single_version: Whether all tokens of a sample must come from one weight version.
        is_public: Whether its requests need no API key.
        allowed_regions: Regions in which its requests may be served and stored; ``None`` for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    max_attempts: int
    timeout_s: float | None
    target_latency_s: float
    priority: int
    is_resumable: bool = False
    queue_ttl_s: float | None = None
    result_deadline_s: float | None = None
    needs_single_version: bool = False
    is_public: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@dataclass(frozen=True)
class ScalingLimits:
    """Limits and prices for the autoscaling of a service.

    Attributes:
        min_workers: Minimum number of workers per zone, on-demand and spot together.
        max_workers: Maximum number of workers per zone, on-demand and spot together.
        boot_s: Startup time of a new worker, in seconds.
        spot_price: Price of a spot (preemptible) worker as a fraction of the on-demand price.
        zone_prices: Price of an on-demand worker per second, by zone.
    """

    min_workers: int
    max_workers: int
    boot_s: float
    spot_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True)
class Service:
    """A pool of interchangeable workers.

    Attributes:
        name: Unique name.
        max_connections: Connections that one worker accepts from all clients together.
        models: Models loaded by its workers.
        scaling: Limits of automatic scaling; ``None`` if the service has a fixed size.
        cold_start_s: Time for which a new worker is cold, in seconds; 0 if it never is.
        cold_requests_per_s: Requests per second that a cold worker sustains; 0 for no limit.
    """

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    scaling: ScalingLimits | None = None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RoutingConfiguration:
    """One version of the routing configuration; versions increase monotonically."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    tenants: TenantDirectory = field(default_factory=TenantDirectory)


@dataclass(frozen=True, order=True)
class WorkerIncarnation:
    """Identifies one incarnation of a worker: the time between one start and its end.

    A worker that restarts keeps its identity, but has lost the state of earlier incarnations.

    Attributes:
        worker_id: Identity of the worker, shared by all of its incarnations.
        started_ms: Start of this incarnation as Unix time in milliseconds; 0 if unknown.
    """

    worker_id: str
    started_ms: int = 0

    def __str__(self) -> str:
        return f"{self.worker_id}@{self.started_ms}" if self.started_ms else self.worker_id


@dataclass(frozen=True)
class Worker:
    """Registry entry of one incarnation of a worker.

    Attributes:
        id: Identity of the worker, shared by all of its incarnations.
        service: Name of the service it belongs to.
        address: ``IP:PORT``.
        zone: Availability zone.
        capacity: Number of slots: requests processed concurrently.
        is_leaving: Whether it is draining and accepts no new requests.
        model_versions: Weight version by loaded model.
        started_ms: Start of this incarnation as Unix time in milliseconds; 0 if unknown.
        cold_remaining_s: Time for which it was still cold when the entry was written, in seconds;
            ``None`` if the entry does not state it.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    is_leaving: bool = False
    model_versions: Mapping[str, int] = field(default_factory=dict)
    started_ms: int = 0
    cold_remaining_s: float | None = None

    # Cached because each choice of a worker reads it for all candidates.
    @cached_property
    def incarnation(self) -> WorkerIncarnation:
        """Key under which state about this incarnation is stored."""
        return WorkerIncarnation(self.id, self.started_ms)

    def holds(self, model: str, min_version: int) -> bool:
        """Whether its weights of a model have at least a version; true for an empty model."""
        return not model or self.model_versions.get(model, 0) >= min_version
