"""In-memory platform: configuration store, machine list, engines and service workers."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from hollowrack.clients.engine import (
    CacheEvents,
    EngineLoad,
    EngineRefusedError,
    EngineState,
    EngineUnreachableError,
    GenerationRequest,
    StreamBrokenError,
    TokenChunk,
)
from hollowrack.clients.machine_list import Machine
from hollowrack.clients.service import (
    ServiceNoResponseError,
    ServiceRefusedError,
    ServiceRequest,
    ServiceUnreachableError,
)
from hollowrack.clock import now_s
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import Problem, ResultCode
from hollowrack.tasks import cancel_all
from hollowrack_bench.simulation.network import SimulationState
from hollowrack_standins.config_store import KeyValueCore, StoreFaults
from hollowrack_standins.engine_core import (
    EngineConfig,
    EngineCore,
    EngineStatus,
    Sequence,
    StepOutput,
)

STORE_LATENCY_S = 0.002
_IDLE_POLL_INTERVAL_S = 0.005


class SimulatedStore:
    """Configuration store in memory; implements ``StoreCall``."""

    def __init__(self, rng: random.Random) -> None:
        self.core = KeyValueCore()
        self.faults = StoreFaults()
        self.num_calls = 0
        self._rng = rng

    async def __call__(self, method: str, body: dict[str, Any]) -> Result[Any, Problem]:
        """Execute a call with the injected faults."""
        self.num_calls += 1
        await asyncio.sleep(STORE_LATENCY_S + self.faults.delay_s)
        if self.faults.is_down:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, "the store is down", method))
        operation = {
            "kv/range": self.core.range,
            "kv/put": self.core.put,
            "kv/txn": self.core.txn,
            "kv/deleterange": self.core.delete_range,
        }[method]
        answer = operation(body)
        is_write = method != "kv/range"
        if is_write and self._rng.random() < self.faults.lost_answer_share:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, "the answer was lost", method))
        return Success(answer)


@dataclass
class SimulatedMachineList:
    """Machine list in memory, whose changes become visible after a lag.

    Attributes:
        lag_s: Delay until a change is visible, in seconds.
    """

    lag_s: float = 0.5
    _machines: dict[str, Machine] = field(default_factory=dict)
    _history: list[tuple[float, list[Machine]]] = field(default_factory=list)

    def set_machine(self, machine: Machine) -> None:
        """Add or change a machine."""
        self._machines[machine.address] = machine
        self._record_change()

    def remove_machine(self, address: str) -> None:
        """Remove a machine."""
        self._machines.pop(address, None)
        self._record_change()

    def _record_change(self) -> None:
        self._history.append((now_s(), list(self._machines.values())))

    async def read(self) -> Result[list[Machine], Problem]:
        """Return the machines as of ``lag_s`` ago."""
        visible: list[Machine] = []
        for at_s, machines in self._history:
            if at_s > now_s() - self.lag_s:
                break
            visible = machines
        return Success(visible)


class SimulatedEngine:
    """Engine that runs an engine core on virtual time.

    Args:
        address: Address under which it is listed.
        zone: Zone of the engine.
        config: Configuration of the engine core.
    """

    def __init__(self, address: str, zone: str, config: EngineConfig) -> None:
        self.address = address
        self.zone = zone
        self.config = config
        self.num_incarnations = 1
        self.is_down = False
        self.core = EngineCore(config, f"{address}/1")
        self.num_tokens = 0
        self.num_opened = 0
        self.accepted_fencing_tokens: list[int] = []
        self._queues: dict[str, asyncio.Queue[StepOutput | None]] = {}
        self._task: asyncio.Task[None] | None = None
        self._load: list[tuple[float, EngineLoad]] = []

    def start(self) -> None:
        """Start the task that runs the engine's steps."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the task that runs the engine's steps."""
        await cancel_all(self._task)

    def crash(self) -> None:
        """Break all streams and refuse connections until :meth:`restart`."""
        self.is_down = True
        queues, self._queues = self._queues, {}
        for queue in queues.values():
            queue.put_nowait(None)

    def restart(self, weight_version: int = 0) -> None:
        """Start a new incarnation, with the faults of the previous one."""
        self.num_incarnations += 1
        faults = self.core.faults
        self.core = EngineCore(
            self.config, f"{self.address}/{self.num_incarnations}", weight_version
        )
        self.core.faults = faults
        self.is_down = False

    async def _run(self) -> None:
        while True:
            if self.core.is_idle or self.is_down or self.core.faults.is_paused:
                await asyncio.sleep(_IDLE_POLL_INTERVAL_S)
                continue
            for token in self.core.step():
                self.num_tokens += token.num_tokens
                queue = self._queues.get(token.request_id)
                if queue is not None:
                    queue.put_nowait(token)
            await asyncio.sleep(self.core.step_duration_s())

    def open_stream(self, sequence: Sequence) -> asyncio.Queue[StepOutput | None]:
        """Start a generation; returns the queue of its tokens, with ``None`` for a crash."""
        self.num_opened += 1
        queue: asyncio.Queue[StepOutput | None] = asyncio.Queue()
        self._queues[sequence.request_id] = queue
        self.core.add(sequence)
        return queue

    def close_stream(self, request_id: str) -> None:
        """Cancel a generation."""
        self._queues.pop(request_id, None)
        self.core.cancel(request_id)

    def lagged_load(self) -> EngineLoad:
        """Return the load as of ``load_lag_s`` ago; zeros if there is no report that old."""
        now_s = asyncio.get_running_loop().time()
        core = self.core
        self._load.append((now_s, EngineLoad(core.num_running, core.num_waiting, core.num_live)))
        visible_until_s = now_s - core.faults.load_lag_s
        while len(self._load) > 1 and self._load[1][0] <= visible_until_s:
            self._load.pop(0)
        at_s, load = self._load[0]
        return load if at_s <= visible_until_s else EngineLoad(0, 0, 0)


class SimulatedEngineClient:
    """Implements ``EngineClient`` against a simulated engine.

    Args:
        state: Shared network state.
        zone: Zone of the calling node.
        engine: The engine; ``None`` if no engine has the address.
    """

    def __init__(self, state: SimulationState, zone: str, engine: SimulatedEngine | None) -> None:
        self._state = state
        self._zone = zone
        self._engine = engine

    def _reachable_engine(self) -> SimulatedEngine | None:
        engine = self._engine
        if engine is None or engine.is_down or self._state.is_partitioned(self._zone, engine.zone):
            return None
        return engine

    async def _reach_after_latency(self) -> SimulatedEngine | None:
        engine = self._reachable_engine()
        if engine is not None:
            await asyncio.sleep(self._state.latency_s(self._zone, engine.zone))
        return self._reachable_engine()

    @asynccontextmanager
    async def generate(
        self, request: GenerationRequest, idle_timeout_s: float
    ) -> AsyncIterator[AsyncIterator[list[TokenChunk]]]:
        """Open a stream of chunks.

        Raises:
            EngineUnreachableError: If the engine is down or partitioned.
            EngineRefusedError: If the engine does not serve.
        """
        engine = await self._reach_after_latency()
        if engine is None:
            raise EngineUnreachableError(request.request_id)
        if engine.core.faults.refuses or engine.core.status is not EngineStatus.SERVING:
            raise EngineRefusedError(engine.core.status.value, None)
        sequence = Sequence(
            request.request_id,
            request.prompt,
            request.max_tokens,
            request.priority,
            request.seed,
            num_tokens=request.resume_num_tokens,
        )
        queue = engine.open_stream(sequence)
        try:
            yield self._read(engine, queue, idle_timeout_s)
        finally:
            engine.close_stream(request.request_id)

    async def _read(
        self,
        engine: SimulatedEngine,
        queue: asyncio.Queue[StepOutput | None],
        idle_timeout_s: float,
    ) -> AsyncIterator[list[TokenChunk]]:
        incarnation = engine.core.incarnation
        while True:
            try:
                async with asyncio.timeout(idle_timeout_s):
                    token = await queue.get()
            except TimeoutError as error:
                raise StreamBrokenError("no token within the idle timeout") from error
            if token is None or self._state.is_partitioned(self._zone, engine.zone):
                raise StreamBrokenError("connection lost")
            yield [
                TokenChunk(
                    token.text,
                    token.index,
                    token.num_tokens,
                    token.weight_version,
                    incarnation,
                    token.finish_reason,
                )
            ]
            if token.finish_reason is not None:
                return

    async def read_state(self) -> Result[EngineState, Problem]:
        """Read the engine's control state."""
        engine = await self._reach_after_latency()
        if engine is None:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, "the engine is unreachable"))
        core = engine.core
        return Success(
            EngineState(
                core.incarnation,
                core.status.value,
                core.config.model,
                core.weight_version,
                core.config.num_slots,
                core.fencing_token,
            )
        )

    async def read_load(self) -> Result[EngineLoad, Problem]:
        """Read the engine's load report."""
        engine = self._reachable_engine()
        if engine is None:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, "the engine is unreachable"))
        return Success(engine.lagged_load())

    async def read_cache_events(self, first_sequence: int) -> Result[CacheEvents, Problem]:
        """Read the cache events from a sequence number on."""
        engine = self._reachable_engine()
        if engine is None:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, "the engine is unreachable"))
        events = engine.core.events_from(first_sequence)
        first = events[0].sequence if events else first_sequence
        end = events[-1].sequence + 1 if events else first
        return Success(
            CacheEvents(
                engine.core.incarnation,
                first,
                tuple(event.block for event in events if event.is_stored),
                tuple(event.block for event in events if not event.is_stored),
                end - first,
            )
        )

    async def order_version(
        self, model: str, weight_version: int, fencing_token: int, incarnation: str
    ) -> Result[None, Problem]:
        """Order the engine to switch to a weight version."""
        engine = await self._reach_after_latency()
        if engine is None:
            return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, "the engine is unreachable"))
        core = engine.core
        if core.incarnation != incarnation or not core.begin_swap(fencing_token):
            return Failure(
                Problem(ResultCode.ORDER_FENCED, "older fencing token or another incarnation")
            )
        engine.accepted_fencing_tokens.append(fencing_token)
        await asyncio.sleep(core.config.swap_s)
        if not core.end_swap(weight_version):
            return Failure(Problem(ResultCode.SWAP_FAILED, "swap failed partway"))
        return Success(None)


@dataclass
class SimulatedWorker:
    """Service worker that counts executions.

    Attributes:
        address: Address under which it is listed.
        zone: Zone of the worker.
        service_s: Duration of a request, in seconds.
        lost_answer_share: Fraction of requests that run but whose answer is lost.
        refusal_share: Fraction of requests refused without running.
        is_down: Whether connections are refused.
        executions: Executions by request identifier, shared by all workers.
    """

    address: str
    zone: str
    service_s: float
    executions: Counter[str]
    lost_answer_share: float = 0.0
    refusal_share: float = 0.0
    is_down: bool = False


class SimulatedServiceClient:
    """Implements ``ServiceClient`` against simulated workers.

    Args:
        state: Shared network state.
        zone: Zone of the calling node.
        workers: All workers, by address.
    """

    def __init__(
        self, state: SimulationState, zone: str, workers: dict[str, SimulatedWorker]
    ) -> None:
        self._state = state
        self._zone = zone
        self._workers = workers

    async def send(self, request: ServiceRequest, address: str, timeout_s: float) -> RecordedAnswer:
        """Send a request to one worker.

        Raises:
            ServiceUnreachableError: If the worker is down or partitioned.
            ServiceRefusedError: If the worker refused the request; it has not run.
            ServiceNoResponseError: If the answer was lost; the request has run.
        """
        worker = self._workers[address]
        if worker.is_down or self._state.is_partitioned(self._zone, worker.zone):
            raise ServiceUnreachableError(address)
        latency_s = self._state.latency_s(self._zone, worker.zone)
        await asyncio.sleep(latency_s)
        if self._state.rng.random() < worker.refusal_share:
            raise ServiceRefusedError(address)
        worker.executions[request.request_id] += 1
        await asyncio.sleep(worker.service_s)
        is_lost = self._state.rng.random() < worker.lost_answer_share
        if is_lost or worker.is_down or self._state.is_partitioned(self._zone, worker.zone):
            raise ServiceNoResponseError("the answer was lost")
        await asyncio.sleep(latency_s)
        body = json.dumps({"identifier": request.request_id, "path": request.path}).encode()
        return RecordedAnswer(200, "application/json", body)
