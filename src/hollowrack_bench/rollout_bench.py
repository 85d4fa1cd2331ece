"""``hollowrack bench rollout``: training runs on a simulated fleet under faults.

Faults are drawn from the seed: nodes crash and restart without state, engines crash, leaders are
paused, zones are partitioned, the configuration store is down or loses answers. Runs are
deterministic for a seed.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from hollowrack.tasks import cancel_all
from hollowrack_bench.simulation.fleet import SimulatedFleet, SimulatedFleetConfig
from hollowrack_bench.simulation.trainer import (
    SimulatedTrainer,
    SimulatedTrainerConfig,
    SimulatedTrainerReport,
)
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.engine_core import EngineConfig

# Long-tailed lengths: a median of 200 tokens, a 99th percentile above 1,500.
ENGINE = EngineConfig(
    num_slots=16,
    step_s=0.012,
    step_per_sequence_s=0.0004,
    prefill_block_s=0.001,
    median_tokens=200.0,
    length_sigma=0.9,
    tokens_per_step=40,
)
MAX_TOKENS = 4000
LEADER_PAUSE_MAX_S = 6.0
MIN_FAULT_INTERVAL_S = 4.0
MAX_FAULT_INTERVAL_S = 20.0


@dataclass(frozen=True)
class RolloutScenario:
    """Parameters of one training run.

    Attributes:
        num_steps: Number of steps.
        num_groups: Prompt groups per step.
        group_size: Samples per group.
        train_s: Duration of one training step, in seconds.
        max_staleness_versions: Maximum staleness of samples, in weight versions.
        num_steps_ahead: Steps submitted in advance; 0 for synchronous steps.
        has_faults: Whether faults are injected.
    """

    num_steps: int = 10
    num_groups: int = 16
    group_size: int = 8
    train_s: float = 15.0
    max_staleness_versions: int = 2
    num_steps_ahead: int = 2
    has_faults: bool = True


@dataclass(frozen=True)
class RolloutOutcome:
    """Outcome of a training run.

    Attributes:
        seed: Seed of the run.
        report: Results of the trainer.
        num_expected: Number of samples that should have been delivered.
        faults: Number of injected faults, by kind.
        wasted_share: Fraction of generated tokens that are in no delivered sample.
    """

    seed: int
    report: SimulatedTrainerReport
    num_expected: int
    faults: Counter[str]
    wasted_share: float

    @property
    def violations(self) -> dict[str, int]:
        """Number of violations by guarantee; all zero if none was violated."""
        return {
            "lost": self.num_expected - len(self.report.delivered),
            "duplicated": self.report.num_duplicated,
            "unnamed": self.report.num_incomplete_spans,
            "over_age": self.report.num_stale,
        }

    def as_json(self) -> dict[str, Any]:
        """Return the figures by name."""
        ages = sorted(self.report.ages_versions.elements())
        idle_s = sorted(self.report.step_idle_s)
        return {
            "seed": self.seed,
            "samples": len(self.report.delivered),
            **self.violations,
            "trainer_idle_share": self.report.idle_share,
            "step_wait_p50_s": idle_s[len(idle_s) // 2],
            "step_wait_max_s": idle_s[-1],
            "staleness_p50": ages[len(ages) // 2],
            "staleness_p99": ages[int(0.99 * (len(ages) - 1))],
            "staleness_max": ages[-1],
            "wasted_token_share": self.wasted_share,
            "virtual_s": self.report.total_s,
            "faults": dict(sorted(self.faults.items())),
        }


def run_rollout(scenario: RolloutScenario, seed: int) -> RolloutOutcome:
    """Run one training run in virtual time; deterministic for a seed."""
    return run_virtual(_run(scenario, seed))


async def _run(scenario: RolloutScenario, seed: int) -> RolloutOutcome:
    fleet = SimulatedFleet(
        SimulatedFleetConfig(num_nodes_per_zone=3, num_engines=6, engine=ENGINE, seed=seed)
    )
    await fleet.start()
    config = SimulatedTrainerConfig(
        num_steps=scenario.num_steps,
        num_groups=scenario.num_groups,
        group_size=scenario.group_size,
        max_tokens=MAX_TOKENS,
        train_s=scenario.train_s,
        max_staleness_versions=scenario.max_staleness_versions,
        num_steps_ahead=scenario.num_steps_ahead,
        seed=seed,
    )
    trainer = SimulatedTrainer(config, fleet)
    faults = _FaultInjector(fleet, config.run, random.Random(seed))
    fault_task = asyncio.create_task(faults.run()) if scenario.has_faults else None
    report = await trainer.run()
    if fault_task is not None:
        await cancel_all(fault_task)
    generated = sum(engine.num_tokens for engine in fleet.engines.values())
    outcome = RolloutOutcome(
        seed,
        report,
        config.num_steps * config.num_samples_per_step,
        faults.counts,
        1.0 - report.num_tokens / max(1, generated),
    )
    await fleet.stop()
    return outcome


class _FaultInjector:
    """Injects and ends random faults, sometimes two at once."""

    def __init__(self, fleet: SimulatedFleet, run: str, rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._fleet = fleet
        self._group = f"run:{run}"
        self._rng = rng

    async def run(self) -> None:
        """Inject faults at random intervals until cancelled."""
        kinds = [
            self._kill_node,
            self._kill_leader,
            self._pause_leader,
            self._crash_engine,
            self._fail_swaps,
            self._partition_zone,
            self._stop_store,
        ]
        while True:
            await asyncio.sleep(self._rng.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S))
            chosen = self._rng.sample(kinds, self._rng.choice([1, 1, 2]))
            await asyncio.gather(*(kind() for kind in chosen))

    def _leader(self) -> str | None:
        leaders = [name for name, node in self._fleet.nodes.items() if node.host.leads(self._group)]
        return self._rng.choice(leaders) if leaders else None

    async def _kill_node(self) -> None:
        await self._kill_and_restart(self._rng.choice(list(self._fleet.nodes)), "node killed")

    async def _kill_leader(self) -> None:
        leader = self._leader()
        if leader is not None:
            await self._kill_and_restart(leader, "ledger leader killed")

    async def _kill_and_restart(self, name: str, what: str) -> None:
        if name not in self._fleet.nodes:
            return
        self.counts[what] += 1
        await self._fleet.kill_node(name)
        await asyncio.sleep(self._rng.uniform(0.5, 10.0))
        await self._fleet.start_node(name)

    async def _pause_leader(self) -> None:
        leader = self._leader()
        if leader is None:
            return
        self.counts["ledger leader paused"] += 1
        network = self._fleet.networks[leader]
        network.is_paused = True
        await asyncio.sleep(self._rng.uniform(0.5, LEADER_PAUSE_MAX_S))
        network.is_paused = False

    async def _crash_engine(self) -> None:
        engine = self._rng.choice(list(self._fleet.engines.values()))
        self.counts["engine crashed"] += 1
        engine.crash()
        await asyncio.sleep(self._rng.uniform(0.5, 10.0))
        engine.restart()

    async def _fail_swaps(self) -> None:
        engine = self._rng.choice(list(self._fleet.engines.values()))
        self.counts["swaps made to fail"] += 1
        engine.core.faults.num_failing_swaps = self._rng.randint(1, 3)

    async def _partition_zone(self) -> None:
        zone = self._rng.choice(self._fleet.config.zones)
        self.counts["zone cut off"] += 1
        self._fleet.simulation_state.partitioned_zones.add(zone)
        await asyncio.sleep(self._rng.uniform(1.0, 20.0))
        self._fleet.simulation_state.partitioned_zones.discard(zone)

    async def _stop_store(self) -> None:
        self.counts["store down"] += 1
        faults = self._fleet.store.faults
        faults.lost_answer_share = 0.3
        faults.is_down = True
        await asyncio.sleep(self._rng.uniform(1.0, 30.0))
        faults.is_down = False


def compare_look_ahead(seed: int) -> dict[str, dict[str, Any]]:
    """Compare synchronous steps with steps submitted in advance, without faults."""
    without_faults = RolloutScenario(has_faults=False)
    return {
        "synchronous steps": run_rollout(
            replace(without_faults, num_steps_ahead=0), seed
        ).as_json(),
        "one step ahead": run_rollout(replace(without_faults, num_steps_ahead=1), seed).as_json(),
        "hollowrack": run_rollout(without_faults, seed).as_json(),
    }
