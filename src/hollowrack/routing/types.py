"""Types of routing: its input snapshots and its decisions."""

from dataclasses import dataclass, field, replace
from enum import Enum

DEFAULT_SERVICE_MS = 500.0


class BackEndKind(Enum):
    """Kind of a back end."""

    ENGINE = "engine"
    SERVICE = "service"


class BackEndStatus(Enum):
    """Whether a back end accepts requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    OUT = "out"


class Priority(Enum):
    """Priority class of a request; the value is the engine priority, where lower runs first."""

    LIVE = 0
    TRAINING = 10


@dataclass(frozen=True)
class BackEnd:
    """Snapshot of one back end.

    Attributes:
        address: ``IP:PORT``.
        kind: Engine or service worker.
        pool: Model of an engine, or name of a service pool.
        zone: Zone it runs in.
        status: Whether it accepts requests.
        num_slots: Maximum number of requests that it runs concurrently.
        estimated_load: Running and waiting requests: those of this node, plus an estimate for other
            nodes from the load reports.
        reported_load: Running and waiting requests in the last load report.
        estimated_live: Live requests among ``estimated_load``. Training yields to live requests, so
            only these delay a live request.
        mean_service_ms: Mean service time of a live request in its pool, in milliseconds.
        num_training: Training generations in progress on it that this node placed.
        weight_version: Weight version that an engine last reported; 0 for services.
        is_circuit_closed: Whether its circuit breaker lets a request through.
    """

    address: str
    kind: BackEndKind
    pool: str
    zone: str
    status: BackEndStatus = BackEndStatus.SERVING
    num_slots: int = 1
    estimated_load: float = 0.0
    reported_load: int = 0
    estimated_live: float = 0.0
    mean_service_ms: float = DEFAULT_SERVICE_MS
    num_training: int = 0
    weight_version: int = 0
    is_circuit_closed: bool = True


@dataclass(frozen=True)
class RouteRequest:
    """Requirements of a request on its back end.

    Attributes:
        kind: Kind of the back end.
        pool: Model or service pool.
        zone: Zone of the deciding node.
        priority: Priority class.
        prefix_blocks: Hashes of the prompt's leading blocks, shortest prefix first.
        affinity_key: Key of requests that benefit from running on the same engine; empty for none.
        min_weight_version: Minimum weight version of the engine.
        training_room: Maximum fraction of an engine's slots that training may use.
        excluded: Addresses not to use, such as those that were already tried.
        only_zone: Required zone of the back end; empty for any.
    """

    kind: BackEndKind
    pool: str
    zone: str
    priority: Priority = Priority.LIVE
    prefix_blocks: tuple[int, ...] = ()
    affinity_key: str = ""
    min_weight_version: int = 0
    training_room: float = 1.0
    excluded: frozenset[str] = frozenset()
    only_zone: str = ""

    def in_zone(self, zone: str) -> "RouteRequest":
        """Return a copy that is restricted to the back ends of one zone."""
        return replace(self, only_zone=zone)


@dataclass(frozen=True)
class ScoredCandidate:
    """A candidate and the components of its cost, in milliseconds.

    Attributes:
        address: Address of the back end.
        queue_ms: Expected queueing delay and slowdown by load.
        distance_ms: Added latency if the back end is in another zone.
        prefix_saved_ms: Prefill time saved by the cached prefix.
    """

    address: str
    queue_ms: float
    distance_ms: float
    prefix_saved_ms: float

    @property
    def cost_ms(self) -> float:
        """Expected added latency, in milliseconds; the candidate with the lowest is chosen."""
        return self.queue_ms + self.distance_ms - self.prefix_saved_ms


@dataclass(frozen=True)
class RouteChoice:
    """A routing decision and the candidates that were scored for it."""

    address: str
    candidates: tuple[ScoredCandidate, ...] = field(default=())

    def costs_ms(self) -> dict[str, float]:
        """Return the cost of each candidate by address, in milliseconds, for the decision log."""
        return {candidate.address: candidate.cost_ms for candidate in self.candidates}
