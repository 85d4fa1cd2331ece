"""The ``hollowrack`` program: the product's commands and those that use the stand-ins."""

import asyncio
import logging
import sys
from pathlib import Path

import click

from hollowrack.cli.commands import hollowrack
from hollowrack.cli.output import exit_with_problem, print_table
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack_bench.bench_commands import bench
from hollowrack_bench.demo import run_demo
from hollowrack_bench.platform_demo import PlatformDemo
from hollowrack_bench.platform_soak import run_soak
from hollowrack_bench.soak_faults import SoakFault
from hollowrack_bench.soak_plan import NUM_EDGES, NUM_FAULT_LOOPS, SoakPlan
from hollowrack_bench.standin_commands import standin


@hollowrack.command()
def demo() -> None:
    """Run a fleet with stand-ins in this process and check its guarantees."""
    # uvicorn logs an error for each stream that a stand-in interrupts on purpose.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    outcome = asyncio.run(run_demo())
    print_table(outcome.rows)
    if outcome.violations:
        detail = "; ".join(outcome.violations)
        exit_with_problem(Problem(ResultCode.DEMO_PROMISE_BROKEN, detail))
    click.echo("\nAll guarantees held.")


@hollowrack.command("platform-demo")
def platform_demo() -> None:
    """Run edge processes against stand-ins of the users' platform and check the results."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    outcome = asyncio.run(PlatformDemo().run())
    print_table(outcome.rows)
    if outcome.violations:
        exit_with_problem(
            Problem(ResultCode.DEMO_PROMISE_BROKEN, "; ".join(outcome.violations[:5]))
        )
    click.echo("\nAll results complete.")


@hollowrack.command("platform-soak")
@click.option("--seconds", default=120.0, help="Time during which steps are started.")
@click.option("--seed", default=1, help="Seed of the faults.")
@click.option("--nodes", default=NUM_EDGES, help="Number of edge processes.")
@click.option("--faults", default="", help="Comma-separated names of faults; all by default.")
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for logs; each run creates its own subfolder.",
)
@click.option(
    "--overlap", default=NUM_FAULT_LOOPS, help="Number of faults injected at the same time."
)
@click.option(
    "--earlier",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Source folder of an earlier version, which each node runs until its first restart.",
)
def platform_soak(
    seconds: float,
    seed: int,
    nodes: int,
    faults: str,
    logs: Path | None,
    overlap: int,
    earlier: Path | None,
) -> None:
    """Run edge nodes as processes under faults and check what callers and workers saw."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    try:
        plan = SoakPlan(seconds, seed, _parse_faults(faults), nodes, logs, overlap, earlier)
        outcome = asyncio.run(run_soak(plan))
    except ProblemError as error:
        exit_with_problem(error.problem)
    print_table(outcome.rows)
    for entry, lines in outcome.evidence.items():
        click.echo(f"\n{entry}")
        for line in lines:
            click.echo(f"  {line}")
    if outcome.violations:
        exit_with_problem(
            Problem(ResultCode.DEMO_PROMISE_BROKEN, "; ".join(outcome.violations[:5]))
        )
    click.echo("\nAll guarantees held.")


def _parse_faults(faults: str) -> list[SoakFault]:
    """Parse comma-separated names of faults; no name stands for all faults.

    Raises:
        ProblemError: ``USAGE`` if a name is unknown.
    """
    by_name = {fault.value: fault for fault in SoakFault}
    given = [name.strip() for name in faults.split(",") if name.strip()]
    unknown = [name for name in given if name not in by_name]
    if unknown:
        detail = f"unknown faults: {', '.join(unknown)}; known faults are {', '.join(by_name)}"
        raise ProblemError(Problem(ResultCode.USAGE, detail, "--faults"))
    return [by_name[name] for name in given] or list(SoakFault)


hollowrack.add_command(standin)
hollowrack.add_command(bench)


def main() -> None:
    """Run the command line program."""
    hollowrack(prog_name="hollowrack")
    sys.exit(0)
