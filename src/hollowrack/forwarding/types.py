"""Routes, services, workers and limits, as decisions see them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from hollowrack.tenants.types import TenantDirectory


class RouteKind(Enum):
    """What a route's requests are."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    JOB = "job"


@dataclass(frozen=True)
class Target:
    """A service that takes a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go, and within which limits.

    Attributes:
        name: Its name.
        host: Host it belongs to.
        prefix: Beginning of the paths, with a slash at both ends.
        kind: What its requests are.
        targets: The services that serve it.
        max_attempts: Most workers one request may be run on.
        timeout_s: Longest time a request is held, in seconds; ``None`` for no limit.
        target_latency_s: Time within which an answer is worth most, in seconds.
        priority: Rank, 0 first.
        is_resumable: Whether a stream may be continued at another worker.
        queue_ttl_s: How long after its job's acceptance an item may be given up, in seconds.
        result_deadline_s: Time after a job was sent in which its results are worth most, in
            seconds; ``None`` if none is stated.
        needs_single_version: Whether all tokens of a sample must come from one weight version.
        is_public: Whether its requests need no key.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@dataclass(frozen=True)
class ScalingLimits:
    """How many workers of a service may be ordered, and at what price.

    Attributes:
        min_workers: Fewest workers in each zone, of both kinds together.
        max_workers: Most workers in each zone, of both kinds together.
        boot_s: How long a new worker needs until it serves, in seconds.
        spot_price: Price of a worker that may be taken away, as a share of an ordinary one's.
        zone_prices: Price of a second of an ordinary worker by zone.
    """

    min_workers: int
    max_workers: int
    boot_s: float
    spot_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True)
class Service:
    """A pool of like workers.

    Attributes:
        name: Its name.
        max_connections: Connections that one worker accepts from all callers together.
        models: Models its workers hold.
        scaling: Within which limits its workers may be ordered; ``None`` if they may not.
    """

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    scaling: ScalingLimits | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what callers send and how long they idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RoutingConfiguration:
    """One version of the routes; versions only rise."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    tenants: TenantDirectory = field(default_factory=TenantDirectory)


@dataclass(frozen=True, order=True)
class WorkerIncarnation:
    """One incarnation of a back end: an identity may return with nothing of what it held.

    Attributes:
        worker_id: Identity of the worker.
        started_ms: When this incarnation started, in milliseconds since 1970; 0 if not told.
    """

    worker_id: str
    started_ms: int = 0

    def __str__(self) -> str:
        return f"{self.worker_id}@{self.started_ms}" if self.started_ms else self.worker_id


@dataclass(frozen=True)
class Worker:
    """What is known of one incarnation of a back end.

    Attributes:
        id: Identity of the worker; a later incarnation may have the same.
        service: Service it belongs to.
        address: ``IP:PORT``.
        zone: Its zone.
        capacity: Requests it works on at once.
        is_leaving: Whether it takes no new work.
        model_versions: Weight version of each model it holds.
        started_ms: When this incarnation started, in milliseconds since 1970; 0 if not told.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    is_leaving: bool = False
    model_versions: Mapping[str, int] = field(default_factory=dict)
    started_ms: int = 0

    # Made once: each choice of a worker asks it of all candidates.
    @cached_property
    def incarnation(self) -> WorkerIncarnation:
        """What everything that remembers something of a worker remembers it by."""
        return WorkerIncarnation(self.id, self.started_ms)

    def holds(self, model: str, min_version: int) -> bool:
        """Whether its weights of a model are at least of a version; true of an empty model."""
        return not model or self.model_versions.get(model, 0) >= min_version
