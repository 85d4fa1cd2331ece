"""``hollowrack bench requests``: routing, admission and retries under load and faults.

Each scenario replays one trace on a simulated fleet in virtual time, once for each routing
algorithm, and reports the callers' results. Most scenarios run training beside the live traffic.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from hollowrack.routing.choice import Chooser
from hollowrack.tasks import cancel_all
from hollowrack_bench.baselines import all_choosers
from hollowrack_bench.simulation.callers import CallerReport, TraceReplay
from hollowrack_bench.simulation.fleet import SimulatedFleet, SimulatedFleetConfig
from hollowrack_bench.simulation.trainer import SimulatedTrainer, SimulatedTrainerConfig
from hollowrack_bench.trace import TraceEntry, TraceShape, draw_trace
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.engine_core import EngineConfig

# Eight slots, about 25 ms per token at full batch, a median of 40 tokens, and a cache that holds
# a sixth of the prompt groups.
ENGINE = EngineConfig(
    num_slots=8,
    step_s=0.018,
    step_per_sequence_s=0.001,
    prefill_block_s=0.002,
    max_cached_blocks=200,
    median_tokens=40.0,
    length_sigma=0.4,
    tokens_per_step=4,
)
MAX_TOKENS = 96
STEADY_SHARE = 0.6
SURGE_FACTOR = 3.0
UNLOADED_SHARE = 0.05


@dataclass(frozen=True)
class RequestScenario:
    """Parameters of one experiment.

    Attributes:
        name: Name of the scenario.
        load_share: Rate of completions, as a fraction of the engines' capacity.
        duration_s: Length of the trace, in seconds.
        surge: Start and end of a surge, in seconds; ``None`` for no surge.
        has_training: Whether a trainer runs beside the live traffic.
        num_attempts: Maximum number of attempts per request.
        load_lag_s: Age of the load reports, in seconds.
        inject: Injects faults until cancelled; ``None`` for no faults.
    """

    name: str
    load_share: float = STEADY_SHARE
    duration_s: float = 120.0
    surge: tuple[float, float] | None = None
    has_training: bool = True
    num_attempts: int = 1
    load_lag_s: float = 0.5
    inject: Callable[[SimulatedFleet], Coroutine[Any, Any, None]] | None = None


@dataclass(frozen=True)
class RequestOutcome:
    """Outcome of one scenario with one routing algorithm.

    Attributes:
        report: Results of the callers.
        capacity_per_s: Completions per second that the engines can finish.
        duration_s: Time from the first request to the last answer, in seconds.
        prefix_hit_share: Fraction of prefix blocks found in the engines' caches.
        wasted_share: Fraction of generated tokens that were not delivered.
        retries_per_request: Retries by the nodes per request.
        num_doubled: Number of unsafe requests that ran more than once.
        num_training_tokens: Tokens of the delivered samples.
        surge_goodput_per_s: Completions per second finished during the surge; 0 without one.
    """

    report: CallerReport
    capacity_per_s: float
    duration_s: float
    prefix_hit_share: float
    wasted_share: float
    retries_per_request: float
    num_doubled: int
    num_training_tokens: int
    surge_goodput_per_s: float

    def as_json(self) -> dict[str, Any]:
        """Return the figures by name."""
        report = self.report
        return {
            "requests": report.num_sent,
            "answered": report.num_ok,
            "goodput_per_s": report.num_ok_completions / self.duration_s,
            "goodput_share_of_capacity": (
                report.num_ok_completions / self.duration_s / self.capacity_per_s
            ),
            "latency_p50_ms": report.latency_ms(50),
            "latency_p99_ms": report.latency_ms(99),
            "latency_p999_ms": report.latency_ms(99.9),
            "prefix_hit_share": self.prefix_hit_share,
            "wasted_token_share": self.wasted_share,
            "retries_per_request": self.retries_per_request,
            "surge_goodput_share": self.surge_goodput_per_s / self.capacity_per_s,
            "refusals": dict(sorted(report.codes.items())),
            "doubled_unsafe": self.num_doubled,
            "false_not_run": report.num_false_refusals,
            "short_answers": report.num_wrong,
            "training_tokens_per_s": self.num_training_tokens / self.duration_s,
        }


def engine_capacity_per_s(config: SimulatedFleetConfig) -> float:
    """Return the completions per second that the engines finish with all slots in use."""
    engine = config.engine
    token_s = engine.step_s + (engine.num_slots - 1) * engine.step_per_sequence_s
    rng = random.Random(0)
    # 3.689 is the logarithm of the engines' median of 40 tokens.
    drawn = [min(MAX_TOKENS, rng.lognormvariate(3.689, engine.length_sigma)) for _ in range(4000)]
    mean_tokens = sum(drawn) / len(drawn)
    return config.num_engines * engine.num_slots / (token_s * mean_tokens)


def fleet_config(chooser: Chooser, seed: int, load_lag_s: float) -> SimulatedFleetConfig:
    """Return the configuration of the experiments' fleet."""
    return SimulatedFleetConfig(
        num_engines=8, engine=ENGINE, chooser=chooser, seed=seed, load_lag_s=load_lag_s
    )


def scenario_trace(scenario: RequestScenario, capacity_per_s: float, seed: int) -> list[TraceEntry]:
    """Draw the trace of a scenario."""
    shape = TraceShape(
        completions_per_s=scenario.load_share * capacity_per_s, max_tokens=MAX_TOKENS
    )
    if scenario.surge is not None:
        start_s, end_s = scenario.surge
        shape = replace(shape, surge_start_s=start_s, surge_end_s=end_s, surge_factor=SURGE_FACTOR)
    return draw_trace(shape, scenario.duration_s, seed)


def run_scenario(
    scenario: RequestScenario, chooser: Chooser, seed: int, trace: list[TraceEntry] | None = None
) -> RequestOutcome:
    """Run one scenario in virtual time; deterministic for a seed.

    Args:
        scenario: The scenario.
        chooser: Routing algorithm.
        seed: Seed of the trace, the fleet and the callers.
        trace: Trace to replay; ``None`` to draw that of the scenario.
    """
    return run_virtual(_run(scenario, chooser, seed, trace))


async def _run(
    scenario: RequestScenario, chooser: Chooser, seed: int, trace: list[TraceEntry] | None
) -> RequestOutcome:
    config = fleet_config(chooser, seed, scenario.load_lag_s)
    fleet = SimulatedFleet(config)
    await fleet.start()
    capacity_per_s = engine_capacity_per_s(config)
    trace = trace if trace is not None else scenario_trace(scenario, capacity_per_s, seed)
    side_tasks: list[asyncio.Task[Any]] = []
    trainer = SimulatedTrainer(_training_config(), fleet)
    if scenario.has_training:
        side_tasks.append(asyncio.create_task(trainer.run()))
    if scenario.inject is not None:
        side_tasks.append(asyncio.create_task(scenario.inject(fleet)))
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    callers = TraceReplay(fleet, trace, scenario.num_attempts, seed)
    report = await callers.run()
    duration_s = loop.time() - started_s
    await cancel_all(*side_tasks)
    surge_goodput_per_s = 0.0
    if scenario.surge is not None:
        start_s, end_s = scenario.surge
        num_finished = sum(1 for at_s in report.finished_s if start_s <= at_s < end_s)
        surge_goodput_per_s = num_finished / (end_s - start_s)
    outcome = _outcome(fleet, report, trainer, capacity_per_s, duration_s, surge_goodput_per_s)
    await fleet.stop()
    return outcome


def _training_config() -> SimulatedTrainerConfig:
    return SimulatedTrainerConfig(num_steps=10_000, max_tokens=256, train_s=20.0)


def _outcome(
    fleet: SimulatedFleet,
    report: CallerReport,
    trainer: SimulatedTrainer,
    capacity_per_s: float,
    duration_s: float,
    surge_goodput_per_s: float,
) -> RequestOutcome:
    cores = [engine.core for engine in fleet.engines.values()]
    num_blocks = sum(core.num_prefix_blocks for core in cores)
    num_hits = sum(core.num_prefix_blocks_hit for core in cores)
    generated = sum(engine.num_tokens for engine in fleet.engines.values())
    budgets = [node.retry_budget for node in fleet.nodes.values()]
    num_requests = sum(budget.num_requests for budget in budgets)
    num_retries = sum(budget.num_retries for budget in budgets)
    committed = sum(
        node.metrics.tokens.labels(use="training")._value.get() for node in fleet.nodes.values()
    )
    delivered = report.num_tokens + committed
    return RequestOutcome(
        report=report,
        capacity_per_s=capacity_per_s,
        duration_s=duration_s,
        prefix_hit_share=num_hits / max(1, num_blocks),
        wasted_share=max(0.0, 1.0 - delivered / max(1, generated)),
        retries_per_request=num_retries / max(1, num_requests),
        num_doubled=sum(
            1 for name, count in fleet.executions.items() if name.startswith("write") and count > 1
        ),
        num_training_tokens=trainer.report.num_tokens,
        surge_goodput_per_s=surge_goodput_per_s,
    )


# -- faults ---------------------------------------------------------------------------------


async def crash_engines(fleet: SimulatedFleet) -> None:
    """Crash one engine after another, each for 2 s."""
    while True:
        for engine in list(fleet.engines.values()):
            await asyncio.sleep(4.0)
            engine.crash()
            await asyncio.sleep(2.0)
            engine.restart()


async def slow_down_zone(fleet: SimulatedFleet) -> None:
    """Slow down the engines of one zone by a factor of three."""
    zone = fleet.config.zones[0]
    await asyncio.sleep(10.0)
    for engine in fleet.engines.values():
        if engine.zone == zone:
            slow = replace(
                engine.config,
                step_s=3 * engine.config.step_s,
                step_per_sequence_s=3 * engine.config.step_per_sequence_s,
            )
            engine.config = engine.core.config = slow


async def inject_all_faults(fleet: SimulatedFleet) -> None:
    """Inject faults of answers, engines, nodes, links and the store, one at a time."""
    rng = random.Random(fleet.config.seed)
    for worker in fleet.workers.values():
        worker.lost_answer_share = 0.02
        worker.refusal_share = 0.02
    fleet.store.faults.lost_answer_share = 0.1
    while True:
        await asyncio.sleep(rng.uniform(2.0, 6.0))
        await rng.choice([_crash_engine, _kill_node, _partition_zone, _pause_node, _stop_store])(
            fleet, rng
        )


async def _crash_engine(fleet: SimulatedFleet, rng: random.Random) -> None:
    engine = rng.choice(list(fleet.engines.values()))
    engine.crash()
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    engine.restart()


async def _kill_node(fleet: SimulatedFleet, rng: random.Random) -> None:
    name = rng.choice(list(fleet.nodes))
    await fleet.kill_node(name)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    await fleet.start_node(name)


async def _partition_zone(fleet: SimulatedFleet, rng: random.Random) -> None:
    zone = rng.choice(fleet.config.zones)
    fleet.simulation_state.partitioned_zones.add(zone)
    await asyncio.sleep(rng.uniform(1.0, 8.0))
    fleet.simulation_state.partitioned_zones.discard(zone)


async def _pause_node(fleet: SimulatedFleet, rng: random.Random) -> None:
    network = fleet.networks[rng.choice(list(fleet.networks))]
    network.is_paused = True
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    network.is_paused = False


async def _stop_store(fleet: SimulatedFleet, rng: random.Random) -> None:
    fleet.store.faults.is_down = True
    await asyncio.sleep(rng.uniform(1.0, 10.0))
    fleet.store.faults.is_down = False


UNLOADED = RequestScenario("unloaded", load_share=UNLOADED_SHARE, has_training=False)
SCENARIOS: dict[str, RequestScenario] = {
    scenario.name: scenario
    for scenario in (
        UNLOADED,
        RequestScenario("steady"),
        RequestScenario("surge", surge=(40.0, 100.0), duration_s=140.0),
        RequestScenario("slow zone", inject=slow_down_zone),
        RequestScenario("crash storm", inject=crash_engines),
        RequestScenario("lagging reports", load_lag_s=5.0),
    )
}
FAULTS = RequestScenario(
    "faults", duration_s=320.0, load_share=0.5, num_attempts=3, inject=inject_all_faults
)


@dataclass(frozen=True)
class BenchResult:
    """Outcomes by scenario and routing algorithm."""

    outcomes: dict[str, dict[str, RequestOutcome]] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Return all figures, by scenario and routing algorithm."""
        return {
            scenario: {name: outcome.as_json() for name, outcome in by_chooser.items()}
            for scenario, by_chooser in self.outcomes.items()
        }


def run_comparison(names: list[str], seed: int) -> BenchResult:
    """Run scenarios with the product's routing algorithm and all baselines."""
    outcomes: dict[str, dict[str, RequestOutcome]] = {}
    for name in names:
        outcomes[name] = {
            chooser_name: run_scenario(SCENARIOS[name], chooser, seed)
            for chooser_name, chooser in all_choosers().items()
        }
    return BenchResult(outcomes)
