"""Snapshot types that routing decides over, and what it decides."""

from dataclasses import dataclass, field, replace
from enum import Enum

DEFAULT_SERVICE_MS = 500.0


class BackEndKind(Enum):
    """What a back end is."""

    ENGINE = "engine"
    SERVICE = "service"


class BackEndStatus(Enum):
    """Whether a back end may be given work."""

    SERVING = "serving"
    LEAVING = "leaving"
    OUT = "out"


class Priority(Enum):
    """Who a request is for; the value is the engine priority, lower first."""

    LIVE = 0
    TRAINING = 10


@dataclass(frozen=True)
class BackEnd:
    """One back end as seen at one moment.

    Attributes:
        address: ``IP:PORT``.
        kind: Engine or service worker.
        pool: Model of an engine, or name of a service pool.
        zone: Zone it runs in.
        status: Whether it may be given work.
        num_slots: Requests it runs at once.
        estimated_load: Requests running and waiting: the last report, corrected by what this node
            sent and finished since.
        reported_load: The last report itself, for comparison.
        estimated_live: Live requests among them, estimated in the same way; training gives way to
            live requests, so only these delay a live request.
        mean_service_ms: Mean time of a live request in its pool.
        num_training: Training generations of this node in progress on it.
        weight_version: Version an engine reported last; 0 for services.
        is_circuit_closed: Whether direct evidence speaks for it.
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
    """What is to be placed.

    Attributes:
        kind: Kind of back end needed.
        pool: Model or service pool.
        zone: Zone of the deciding node.
        priority: Live or training.
        prefix_blocks: Hashes of the prompt's leading blocks, shortest prefix first.
        affinity_key: Requests with the same key gain from the same engine; empty for none.
        min_weight_version: Lowest useful weight version of the engine.
        training_room: Share of an engine's slots that training may take.
        excluded: Addresses that were tried already.
        only_zone: Zone that the back end must be in; empty for any.
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
        """The same request for the back ends of one zone."""
        return replace(self, only_zone=zone)


@dataclass(frozen=True)
class ScoredCandidate:
    """One candidate with the parts of its cost, all in milliseconds."""

    address: str
    queue_ms: float
    distance_ms: float
    prefix_saved_ms: float

    @property
    def cost_ms(self) -> float:
        """Expected delay; the lowest wins."""
        return self.queue_ms + self.distance_ms - self.prefix_saved_ms


@dataclass(frozen=True)
class RouteChoice:
    """A decision and what it was taken from."""

    address: str
    candidates: tuple[ScoredCandidate, ...] = field(default=())

    def costs_ms(self) -> dict[str, float]:
        """Return each candidate's cost, for decision records."""
        return {candidate.address: candidate.cost_ms for candidate in self.candidates}
