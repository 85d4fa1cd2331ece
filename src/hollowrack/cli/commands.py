"""The root of the command line and the commands of one node."""

import asyncio
import signal
from pathlib import Path

import click
from absl import logging
from returns.result import Failure

from hollowrack.cli.bundle_commands import bundle
from hollowrack.cli.fleet_commands import drain, explain, retire, status
from hollowrack.cli.output import exit_with_problem
from hollowrack.cli.settings_commands import keys, settings
from hollowrack.node import Node
from hollowrack.observability.logs import setup_logging
from hollowrack.results import Problem, ProblemError, code_table
from hollowrack.settings.load import check_host_resources, read_settings
from hollowrack.settings.model import NodeSettings
from hollowrack.suspension import run_on_boot_time


@click.group()
def hollowrack() -> None:
    """Rollout service between callers, trainers and model engines."""


for command in (settings, keys, bundle, status, explain, retire, drain):
    hollowrack.add_command(command)


@hollowrack.command()
def codes() -> None:
    """Print the table of result codes."""
    click.echo(code_table(), nl=False)


@hollowrack.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
@click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="KEY=VALUE",
    help="Override a key, for example --set listeners.callers=127.0.0.1:8000.",
)
def node(settings_file: Path, overrides: tuple[str, ...]) -> None:
    """Run one node until SIGTERM or SIGINT, which start a planned stop."""
    pairs = dict(entry.partition("=")[::2] for entry in overrides)
    checked = read_settings(settings_file, pairs).bind(check_host_resources)
    if isinstance(checked, Failure):
        exit_with_problem(checked.failure())
    problem = run_on_boot_time(_run_node(checked.unwrap()))
    if problem is not None:
        exit_with_problem(problem)


async def _run_node(checked: NodeSettings) -> Problem | None:
    setup_logging(checked.logging, checked.node, checked.zone)
    running = Node(checked)
    try:
        await running.start()
    except ProblemError as error:
        return error.problem
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.start_drain)
    await running.drained.wait()
    logging.info("node %s stopped", checked.node)
    return None
