"""The ``hollowrack`` program: the product's commands and those that need the stand-ins."""

import asyncio
import logging
import sys

import click

from hollowrack.cli.commands import hollowrack
from hollowrack.cli.output import exit_with_problem, print_table
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.bench_commands import bench
from hollowrack_bench.demo import run_demo
from hollowrack_bench.platform_demo import PlatformDemo
from hollowrack_bench.platform_soak import run_soak
from hollowrack_bench.standin_commands import standin


@hollowrack.command()
def demo() -> None:
    """Run a whole fleet with stand-ins in this process and check the promises."""
    # Stand-ins cut streams on purpose; their servers' reports of it would only confuse.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    outcome = asyncio.run(run_demo())
    print_table(outcome.rows)
    if outcome.broken:
        detail = "; ".join(outcome.broken)
        exit_with_problem(Problem(ResultCode.DEMO_PROMISE_BROKEN, detail))
    click.echo("\nAll promises held.")


@hollowrack.command("platform-demo")
def platform_demo() -> None:
    """Run edge processes against stand-ins of the users' platform and check the results."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    outcome = asyncio.run(PlatformDemo().run())
    print_table(outcome.rows)
    if outcome.broken:
        exit_with_problem(Problem(ResultCode.DEMO_PROMISE_BROKEN, "; ".join(outcome.broken[:5])))
    click.echo("\nAll results whole.")


@hollowrack.command("platform-soak")
@click.option("--seconds", default=120.0, help="How long the trainer goes on.")
@click.option("--seed", default=1, help="Seed of the faults.")
def platform_soak(seconds: float, seed: int) -> None:
    """Run edge nodes as processes under faults and check what callers and workers saw."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    outcome = asyncio.run(run_soak(seconds, seed))
    print_table(outcome.rows)
    if outcome.broken:
        exit_with_problem(Problem(ResultCode.DEMO_PROMISE_BROKEN, "; ".join(outcome.broken[:5])))
    click.echo("\nAll promises held.")


hollowrack.add_command(standin)
hollowrack.add_command(bench)


def main() -> None:
    """Run the program."""
    hollowrack(prog_name="hollowrack")
    sys.exit(0)
