"""Commands that inspect and control a running node: status, explain, retire and drain."""

from dataclasses import asdict
from datetime import UTC, datetime
from itertools import chain
from typing import Any, TextIO
from urllib.parse import quote

import click
from returns.result import Failure

from hollowrack.cli.operator_client import call_operator
from hollowrack.cli.output import exit_with_problem, print_json, print_table
from hollowrack.observability.log_search import search_logs, wait_descriptions, worker_ids
from hollowrack.results import Problem, ResultCode

_operator_option = click.option(
    "--operator", required=True, metavar="URL", help="A node's operators' listener."
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def _call(method: str, url: str, as_json: bool = False) -> Any:
    answer = call_operator(method, url)
    if isinstance(answer, Failure):
        exit_with_problem(answer.failure(), as_json)
    return answer.unwrap()


@click.command()
@_operator_option
@_json_option
def status(operator: str, as_json: bool) -> None:
    """Show a node's status and its view of the fleet."""
    answer = _call("GET", f"{operator}/v1/status", as_json)
    if as_json:
        print_json(answer)
        return
    scalars = {name: value for name, value in answer.items() if not isinstance(value, dict)}
    print_table(scalars)
    for section in ("members", "groups"):
        click.echo(f"\n{section}")
        print_table({f"  {name}": value for name, value in sorted(answer[section].items())})
    click.echo("\nback ends")
    for address, back_end in sorted(answer["back_ends"].items()):
        click.echo(
            f"  {address:<22} {back_end['pool']:<12} {back_end['zone']:<12} "
            f"{back_end['status']:<8} version {back_end['weight_version']:<5} "
            f"load {back_end['estimated_load']:.0f}"
        )


@click.command()
@click.argument("subject")
@click.option("--operator", metavar="URL", help="A node's operators' listener.")
@click.option(
    "--logs",
    multiple=True,
    type=click.File(errors="replace"),
    help="A file of nodes' JSON logs, or - for standard input; may be repeated.",
)
@_json_option
def explain(subject: str, operator: str | None, logs: tuple[TextIO, ...], as_json: bool) -> None:
    """Show the decisions about a request, sample (RUN/STEP/PROMPT/INDEX), engine or step.

    With --logs, show the log lines about a request, item, job or worker instead.
    """
    if bool(operator) == bool(logs):
        detail = "exactly one of --operator and --logs is required"
        exit_with_problem(Problem(ResultCode.USAGE, detail, "explain"), as_json)
    if logs:
        _explain_from_logs(subject, logs, as_json)
        return
    records = _call("GET", f"{operator}/v1/decisions?subject={quote(subject)}", as_json)
    if as_json:
        print_json(records)
        return
    if not records:
        click.echo(f"this node has no recorded decision about {subject}")
    for record in records:
        at = datetime.fromtimestamp(record["at_s"], UTC).strftime("%H:%M:%S.%f")[:-3]
        inputs = " ".join(f"{name}={value}" for name, value in record["inputs"].items())
        click.echo(f"{at}  {record['kind']:<12} {record['subject']}  {record['outcome']}  {inputs}")


def _explain_from_logs(subject: str, logs: tuple[TextIO, ...], as_json: bool) -> None:
    found = search_logs(subject, chain.from_iterable(logs))
    if as_json:
        print_json(asdict(found))
        return
    if not found.about:
        click.echo(f"no log line is about {subject}")
    for line in found.about:
        click.echo(f"{line.time}  {line.node}  {line.message}")
    waits = wait_descriptions(found.about)
    if waits:
        click.echo("\nwaits in order")
    for wait in waits:
        click.echo(f"  {wait}")
    workers = worker_ids(found.about)
    if workers:
        click.echo(f"\nworkers named: {', '.join(workers)}")
    if found.context:
        click.echo("\nother events on these nodes")
    for line in found.context:
        click.echo(f"{line.time}  {line.node}  {line.message}")
    if found.num_unread:
        click.echo(f"\n{found.num_unread} lines are not JSON log lines", err=True)


@click.command()
@click.argument("address")
@_operator_option
def retire(address: str, operator: str) -> None:
    """Mark a back end as leaving, so that no node sends it new work."""
    _call("POST", f"{operator}/v1/back-ends/{address}/leaving")
    click.echo(f"{address} is marked as leaving")


@click.command()
@_operator_option
def drain(operator: str) -> None:
    """Start a graceful shutdown of a node: it finishes its requests in progress and exits."""
    _call("POST", f"{operator}/v1/drain")
    click.echo("the node is draining")
