"""The demonstration: three training steps beside live traffic, with a crash and a planned stop."""

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import numpy

from hollowrack_bench.live_load import LiveCallers, LiveReport
from hollowrack_bench.local_fleet import FleetConfig, LocalFleet
from hollowrack_standins.trainer import TrainerConfig, TrainerReport, TrainerStandin

ENGINE_DOWN_S = 1.0
_MS_PER_S = 1000.0


@dataclass(frozen=True)
class DemoOutcome:
    """What the demonstration came to.

    Attributes:
        rows: Measures by name, for the table.
        violations: Promises that were broken.
    """

    rows: dict[str, str]
    violations: list[str]


async def run_demo(trainer_config: TrainerConfig | None = None) -> DemoOutcome:
    """Run the demonstration in this process."""
    config = trainer_config or TrainerConfig()
    with tempfile.TemporaryDirectory(prefix="hollowrack-demo-") as folder:
        fleet = LocalFleet(FleetConfig(), Path(folder))
        try:
            await fleet.start()
            return await _run_with(fleet, config)
        finally:
            await fleet.stop()


async def _run_with(fleet: LocalFleet, config: TrainerConfig) -> DemoOutcome:
    started_s = time.monotonic()
    callers = LiveCallers(fleet.urls())
    callers.start()
    faults: list[asyncio.Task[None]] = []
    stopped_node = list(fleet.nodes)[-1]

    async def inject(step: int) -> None:
        if step == 1:
            faults.append(asyncio.create_task(_crash_engine(fleet)))
        if step == config.num_steps - 1:
            faults.append(asyncio.create_task(fleet.stop_node(stopped_node)))

    trainer = TrainerStandin(config, fleet.urls(), fleet.publish_weights)
    training = await trainer.run(inject)
    await asyncio.gather(*faults)
    live = await callers.stop()
    broken = find_violations(config, training, live, fleet)
    return DemoOutcome(_rows(config, training, live, time.monotonic() - started_s), broken)


async def _crash_engine(fleet: LocalFleet) -> None:
    engine = fleet.engines[0]
    await engine.crash()
    await asyncio.sleep(ENGINE_DOWN_S)
    await engine.start()


def find_violations(
    config: TrainerConfig, training: TrainerReport, live: LiveReport, fleet: LocalFleet
) -> list[str]:
    """Return a sentence for each promise that the run broke."""
    num_expected = config.num_steps * config.num_groups * config.group_size
    num_lost = num_expected - len(training.delivered)
    num_doubled = sum(
        1
        for identifier, count in fleet.executions.items()
        if identifier.startswith("write-") and count > 1
    )
    num_false_refusals = sum(1 for identifier in live.not_run if fleet.executions[identifier])
    findings = {
        "samples lost": num_lost,
        "samples delivered more than once": training.num_duplicated,
        "samples without their weight versions": training.num_incomplete_spans,
        "samples over the staleness bound": training.num_stale,
        "short or foreign answers": live.num_wrong,
        "unsafe requests run more than once": num_doubled,
        "false 'not run' refusals": num_false_refusals,
        "streams cut by the planned stop or the crash": live.codes["ClientPayloadError"],
    }
    return [f"{count} {what}" for what, count in findings.items() if count]


def _rows(
    config: TrainerConfig, training: TrainerReport, live: LiveReport, total_s: float
) -> dict[str, str]:
    ages = numpy.array(training.ages_versions or [0])
    num_expected = config.num_steps * config.num_groups * config.group_size
    refusals = ", ".join(f"{code} {count}" for code, count in sorted(live.codes.items()))
    return {
        "steps trained": str(config.num_steps),
        "samples delivered": f"{len(training.delivered)} of {num_expected}",
        "samples duplicated": str(training.num_duplicated),
        "samples lost": str(num_expected - len(training.delivered)),
        "trainer idle time": f"{training.idle_s:.2f} s of {training.total_s:.2f} s",
        "staleness p50 / p99 / max": (
            f"{numpy.percentile(ages, 50):.0f} / {numpy.percentile(ages, 99):.0f} / {ages.max()}"
            " versions"
        ),
        "live answers": f"{live.num_ok} whole, {live.num_wrong} wrong",
        "live latency p50 / p99": f"{live.latency_ms(50):.1f} / {live.latency_ms(99):.1f} ms",
        "live refusals": refusals or "none",
        "total time": f"{total_s:.1f} s",
    }
