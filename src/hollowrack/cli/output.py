"""Output of the commands: tables, JSON and problems."""

import json
import sys
from collections.abc import Mapping
from typing import Any, NoReturn

import click

from hollowrack.api.responses import problem_body
from hollowrack.results import Problem, exit_status


def print_table(rows: Mapping[str, object]) -> None:
    """Print names and values in two aligned columns."""
    width = max((len(name) for name in rows), default=0)
    for name, value in rows.items():
        click.echo(f"{name:<{width}}  {value}")


def print_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def exit_with_problem(problem: Problem, as_json: bool = False) -> NoReturn:
    """Print a problem and exit with the status of its result code.

    Args:
        problem: Printed on standard error, or on standard output if ``as_json``.
        as_json: Whether to print the body of an error response.
    """
    if as_json:
        print_json(problem_body(problem))
    else:
        click.echo(str(problem), err=True)
    sys.exit(exit_status(problem.code))
