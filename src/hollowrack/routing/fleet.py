"""Fleet view: a node's state of all back ends, from the machine list, reports and outcomes."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hollowrack.clients.engine import EngineLoad, EngineState
from hollowrack.clients.machine_list import Machine
from hollowrack.routing.circuit_breaker import CircuitBreaker
from hollowrack.routing.placement import PlacementOutcome
from hollowrack.routing.prefix_index import PrefixIndex
from hollowrack.routing.types import (
    DEFAULT_SERVICE_MS,
    BackEnd,
    BackEndKind,
    BackEndStatus,
)

DEFAULT_SERVICE_SLOTS = 32
ENGINE_STATUS_SERVING = "serving"
SERVICE_TIME_SMOOTHING = 0.1
REPORT_WINDOW_SIZE = 5
_MS_PER_S = 1000.0


def _report_window() -> deque[int]:
    return deque(maxlen=REPORT_WINDOW_SIZE)


@dataclass(frozen=True)
class PoolLoad:
    """Capacity and load of a pool.

    Attributes:
        num_slots: Slots of its serving back ends.
        num_live: Live requests on them, estimated from this node's counts and the load reports.
    """

    num_slots: int
    num_live: int


@dataclass
class BackEndRecord:
    """State of one back end at this node.

    Attributes:
        machine: Its entry in the machine list.
        is_leaving: Whether it is marked as leaving; a stale machine list does not reset it.
        engine: Last control state of an engine; ``None`` if unknown, and for services.
        reported_load: Running and waiting requests in the last report.
        num_live: Live requests in progress that this node placed.
        num_training: Training generations in progress that this node placed.
        other_nodes_live: Live requests of other nodes, by each of the last reports.
        other_nodes_load: All requests of other nodes, by each of the last reports.
        circuit: Circuit breaker, driven by the outcomes of this node's requests.
        cached_back_end: Cached routing snapshot of the record; ``None`` after a change. It saves
            rebuilding all snapshots for each placement, which changes only one record.
    """

    machine: Machine
    is_leaving: bool = False
    engine: EngineState | None = None
    reported_load: int = 0
    num_live: int = 0
    num_training: int = 0
    other_nodes_live: deque[int] = field(default_factory=_report_window)
    other_nodes_load: deque[int] = field(default_factory=_report_window)
    circuit: CircuitBreaker = field(default_factory=CircuitBreaker)
    cached_back_end: BackEnd | None = None

    @property
    def estimated_load(self) -> int:
        """Estimated number of all requests on it: this node's, plus those of other nodes.

        A report is older than this node's own counts, so their difference overestimates the
        requests of other nodes while requests start and end. The minimum over several reports
        removes this error.
        """
        return self.num_live + self.num_training + min(self.other_nodes_load, default=0)

    @property
    def estimated_live(self) -> int:
        """Estimated number of live requests on it."""
        return self.num_live + min(self.other_nodes_live, default=0)

    @property
    def status(self) -> BackEndStatus:
        """Whether it accepts requests, regardless of the circuit breaker."""
        if self.is_leaving:
            return BackEndStatus.LEAVING
        if self.machine.kind == BackEndKind.ENGINE.value:
            is_serving = self.engine is not None and self.engine.status == ENGINE_STATUS_SERVING
            return BackEndStatus.SERVING if is_serving else BackEndStatus.OUT
        return BackEndStatus.SERVING


class FleetView:
    """Registry of all back ends, as known to this node.

    Attributes:
        records: State of each back end, by address.
        prefixes: Index of the prompt prefixes that engines have cached.
        is_marked_leaving: Returns whether an address is marked as leaving; called when it is first
            listed.
    """

    def __init__(self) -> None:
        self.is_marked_leaving: Callable[[str], bool] = lambda address: False
        self.records: dict[str, BackEndRecord] = {}
        self.prefixes = PrefixIndex()
        self._mean_service_ms: dict[str, float] = {}
        self._by_pool: dict[str, list[BackEndRecord]] = {}

    def apply_machine_list(self, machines: list[Machine]) -> None:
        """Apply the machine list.

        A machine that is no longer listed is marked as leaving, and removed when this node has no
        requests on it.
        """
        listed = {machine.address for machine in machines}
        for machine in machines:
            record = self.records.get(machine.address)
            if record is None:
                is_leaving = machine.is_leaving or self.is_marked_leaving(machine.address)
                self.records[machine.address] = BackEndRecord(machine, is_leaving)
                continue
            record.machine = machine
            record.is_leaving = record.is_leaving or machine.is_leaving
            record.cached_back_end = None
        for address, record in list(self.records.items()):
            if address in listed:
                continue
            record.is_leaving = True
            record.cached_back_end = None
            if record.num_live + record.num_training == 0:
                del self.records[address]
                self.prefixes.remove(address)
        self._by_pool = {}
        for record in self.records.values():
            self._by_pool.setdefault(record.machine.pool, []).append(record)

    def mark_leaving(self, address: str) -> None:
        """Mark a back end as leaving, so that it gets no new requests."""
        record = self.records.get(address)
        if record is not None:
            record.is_leaving = True
            record.cached_back_end = None

    def apply_engine_state(self, address: str, state: EngineState | None) -> None:
        """Apply an engine's control state; ``None`` if it did not answer."""
        record = self.records.get(address)
        if record is not None and record.engine != state:
            record.engine = state
            record.cached_back_end = None

    def apply_load(self, address: str, load: EngineLoad) -> None:
        """Apply an engine's load report."""
        record = self.records.get(address)
        if record is not None:
            record.reported_load = load.num_running + load.num_waiting
            num_own = record.num_live + record.num_training
            record.other_nodes_live.append(max(0, load.num_live - record.num_live))
            record.other_nodes_load.append(max(0, record.reported_load - num_own))
            record.cached_back_end = None

    def record_sent(self, address: str, is_training: bool, now_s: float) -> None:
        """Count a request that is about to be sent."""
        record = self.records[address]
        record.circuit.record_sent(now_s)
        record.cached_back_end = None
        if is_training:
            record.num_training += 1
        else:
            record.num_live += 1

    def record_service_time(self, pool: str, service_s: float) -> None:
        """Update the mean service time of live requests in a pool."""
        service_ms = service_s * _MS_PER_S
        mean_ms = self._mean_service_ms.get(pool, service_ms)
        self._mean_service_ms[pool] = mean_ms + SERVICE_TIME_SMOOTHING * (service_ms - mean_ms)

    def record_finished(self, address: str, is_training: bool) -> None:
        """Count the end of a request, whatever its outcome."""
        record = self.records.get(address)
        if record is None:
            return
        record.cached_back_end = None
        if is_training:
            record.num_training -= 1
        else:
            record.num_live -= 1

    def pool_load(self, pool: str, zone: str | None = None) -> PoolLoad:
        """Return the capacity and load of a pool's serving back ends, in one zone or in all."""
        serving = [
            back_end
            for back_end in self.snapshot(0.0, pool)
            if back_end.status is BackEndStatus.SERVING and zone in (None, back_end.zone)
        ]
        num_slots = sum(back_end.num_slots for back_end in serving)
        return PoolLoad(num_slots, sum(int(back_end.estimated_live) for back_end in serving))

    def record_outcome(self, address: str, outcome: PlacementOutcome, now_s: float) -> None:
        """Update the circuit breaker of a back end by the outcome of a request."""
        record = self.records.get(address)
        if record is None:
            return
        record.cached_back_end = None
        match outcome:
            case PlacementOutcome.SUCCESS:
                record.circuit.record_success()
            case PlacementOutcome.FAILURE:
                record.circuit.record_failure(now_s)
            case PlacementOutcome.UNREACHABLE:
                record.circuit.record_failure(now_s, is_conclusive=True)
            case PlacementOutcome.ABANDONED:
                record.circuit.record_abandoned(now_s)

    def snapshot(self, now_s: float, pool: str | None = None) -> list[BackEnd]:
        """Return the state at ``now_s`` of the back ends of a pool, or of all back ends."""
        records = self.records.values() if pool is None else self._by_pool.get(pool, [])
        return [
            record.cached_back_end or self._snapshot_record(record, now_s) for record in records
        ]

    def _snapshot_record(self, record: BackEndRecord, now_s: float) -> BackEnd:
        mean_service_ms = self._mean_service_ms.get(record.machine.pool)
        back_end = _back_end(record, now_s, mean_service_ms)
        if back_end.is_circuit_closed:
            # Not cached while the circuit is open, because it changes by time alone.
            record.cached_back_end = back_end
        return back_end


def _back_end(record: BackEndRecord, now_s: float, mean_service_ms: float | None) -> BackEnd:
    engine = record.engine
    return BackEnd(
        address=record.machine.address,
        kind=BackEndKind(record.machine.kind),
        pool=record.machine.pool,
        zone=record.machine.zone,
        status=record.status,
        num_slots=engine.num_slots if engine is not None else DEFAULT_SERVICE_SLOTS,
        estimated_load=record.estimated_load,
        reported_load=record.reported_load,
        estimated_live=record.estimated_live,
        mean_service_ms=DEFAULT_SERVICE_MS if mean_service_ms is None else mean_service_ms,
        num_training=record.num_training,
        weight_version=engine.weight_version if engine is not None else 0,
        is_circuit_closed=record.circuit.allows(now_s),
    )
