"""``hollowrack bench`` commands: experiments in virtual time, reported as JSON or a table."""

import json
import sys
from pathlib import Path
from typing import Any

import click
from returns.result import Failure

from hollowrack.cli.output import exit_with_problem, print_json
from hollowrack.routing.choice import choose
from hollowrack_bench.capacity import as_json, measure_all
from hollowrack_bench.capacity_page import render_page
from hollowrack_bench.leaving import measure_leaving_delay_s
from hollowrack_bench.replication_model import explore
from hollowrack_bench.requests_bench import (
    FAULTS,
    SCENARIOS,
    run_comparison,
    run_scenario,
    scenario_trace,
)
from hollowrack_bench.rollout_bench import RolloutScenario, compare_look_ahead, run_rollout
from hollowrack_bench.trace import read_trace, write_trace

_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_seed = click.option("--seed", default=1, show_default=True)
_COLUMNS = {
    "goodput_share_of_capacity": "goodput",
    "surge_goodput_share": "in surge",
    "latency_p50_ms": "p50 ms",
    "latency_p99_ms": "p99 ms",
    "latency_p999_ms": "p99.9 ms",
    "prefix_hit_share": "prefix hits",
    "wasted_token_share": "wasted",
    "retries_per_request": "retries",
}
# Completions per second that the benchmark fleet can finish; scales traces that are only recorded.
_FLEET_CAPACITY_PER_S = 59.0


@click.group()
def bench() -> None:
    """Measure the product against baselines and under faults, in virtual time."""


@bench.command()
@click.option(
    "--scenario", "names", multiple=True, type=click.Choice(sorted(SCENARIOS)), help="Default: all."
)
@click.option("--faults", "with_faults", is_flag=True, help="Only the run with all faults.")
@click.option("--trace", type=click.Path(path_type=Path), help="Replay a recorded trace.")
@click.option("--record", type=click.Path(path_type=Path), help="Write the trace and stop.")
@_seed
@_as_json
def requests(
    names: tuple[str, ...],
    with_faults: bool,
    trace: Path | None,
    record: Path | None,
    seed: int,
    as_json: bool,
) -> None:
    """Compare routing, admission and retries with random, round-robin and least-load routing."""
    if record is not None:
        scenario = SCENARIOS[names[0]] if names else FAULTS
        write_trace(record, scenario_trace(scenario, _FLEET_CAPACITY_PER_S, seed))
        return
    if with_faults or trace is not None:
        _print_figures("faults", _run_faults(trace, seed), as_json)
        return
    result = run_comparison(list(names) or list(SCENARIOS), seed).as_json()
    if as_json:
        print_json(result)
        return
    for name, by_chooser in result.items():
        click.echo(f"\n{name}")
        _print_comparison(by_chooser)


def _run_faults(trace: Path | None, seed: int) -> dict[str, Any]:
    entries = None
    if trace is not None:
        read = read_trace(trace)
        if isinstance(read, Failure):
            exit_with_problem(read.failure())
        entries = read.unwrap()
    return run_scenario(FAULTS, choose, seed, entries).as_json()


def _print_figures(name: str, figures: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json({name: figures})
    else:
        for key, value in figures.items():
            click.echo(f"{key:<28} {_format(value)}")
    if figures["doubled_unsafe"] or figures["false_not_run"] or figures["short_answers"]:
        sys.exit(1)


def _print_comparison(by_chooser: dict[str, dict[str, Any]]) -> None:
    """Print a table of figures, and ratios of p99 latency and prefix hits to each baseline."""
    click.echo(" " * 16 + "".join(f"{title:>14}" for title in _COLUMNS.values()))
    for chooser, figures in by_chooser.items():
        cells = "".join(f"{figures[key]:>14.3f}" for key in _COLUMNS)
        click.echo(f"{chooser:<16}{cells}")
    own = by_chooser["hollowrack"]
    for chooser, figures in by_chooser.items():
        if chooser != "hollowrack":
            ratio = own["latency_p99_ms"] / figures["latency_p99_ms"]
            hits = own["prefix_hit_share"] / max(1e-9, figures["prefix_hit_share"])
            click.echo(f"  against {chooser}: p99 {ratio:.2f}, prefix hits {hits:.2f}")


@bench.command()
@click.option("--seeds", default="1-3", show_default=True, help="FIRST-LAST.")
@click.option("--steps", default=10, show_default=True)
@click.option("--groups", default=16, show_default=True, help="Prompt groups per step.")
@click.option("--group-size", default=8, show_default=True)
@click.option("--compare", is_flag=True, help="Compare scheduling modes, without faults.")
@_as_json
def rollout(
    seeds: str, steps: int, groups: int, group_size: int, compare: bool, as_json: bool
) -> None:
    """Run training under faults drawn from the seed; exits 1 if a guarantee was violated."""
    first, _, last = seeds.partition("-")
    if compare:
        print_json(compare_look_ahead(int(first)))
        return
    scenario = RolloutScenario(num_steps=steps, num_groups=groups, group_size=group_size)
    num_failed = 0
    for seed in range(int(first), int(last or first) + 1):
        outcome = run_rollout(scenario, seed)
        num_failed += any(outcome.violations.values())
        if as_json:
            click.echo(json.dumps(outcome.as_json()))
        else:
            click.echo(
                ", ".join(f"{key} {_format(value)}" for key, value in outcome.as_json().items())
            )
    if num_failed:
        click.echo(f"{num_failed} runs violated a guarantee; use their seeds to reproduce them")
        sys.exit(1)


@bench.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--steps", default=2000, show_default=True, help="Actions per seed.")
def replication(seeds: int, steps: int) -> None:
    """Check the replicated log under random faults."""
    exploration = explore(range(seeds), steps)
    click.echo(f"{exploration.num_steps} actions from {seeds} seeds, no violation")
    for what, count in sorted(exploration.counts.items()):
        click.echo(f"  {what:<24} {count}")


@bench.command()
@click.option("--seeds", default=10, show_default=True)
def leaving(seeds: int) -> None:
    """Measure the time from a leaving mark to the last new request, over several seeds."""
    times_s = sorted(measure_leaving_delay_s(seed) for seed in range(seeds))
    click.echo(f"{seeds} runs: median {times_s[seeds // 2]:.3f} s, longest {times_s[-1]:.3f} s")


@bench.command()
@click.option(
    "--write", type=click.Path(path_type=Path), help="Folder for capacity.json and CAPACITY.md."
)
def capacity(write: Path | None) -> None:
    """Measure the slopes of docs/CAPACITY.md; --write regenerates the page."""
    slopes = measure_all()
    for slope in slopes:
        click.echo(f"{slope.name:<30} {slope.slope:>14.3g} {slope.unit}, spread {slope.spread:.1%}")
    if write is not None:
        text = as_json(slopes)
        (write / "capacity.json").write_text(text, encoding="utf-8")
        (write / "CAPACITY.md").write_text(render_page(json.loads(text)), encoding="utf-8")


def _format(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
