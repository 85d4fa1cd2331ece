"""``hollowrack status``, ``explain`` and ``drain``: one node, or the fleet as it sees it."""

from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote

import click
from returns.result import Failure

from hollowrack.cli.operator_client import call_operator
from hollowrack.cli.output import exit_with_problem, print_json, print_table

_operator = click.option(
    "--operator", required=True, metavar="URL", help="A node's operators' listener."
)
_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def _call(method: str, url: str, as_json: bool = False) -> Any:
    answer = call_operator(method, url)
    if isinstance(answer, Failure):
        exit_with_problem(answer.failure(), as_json)
    return answer.unwrap()


@click.command()
@_operator
@_as_json
def status(operator: str, as_json: bool) -> None:
    """Show a node's status and the fleet as it sees it."""
    answer = _call("GET", f"{operator}/v1/status", as_json)
    if as_json:
        print_json(answer)
        return
    simple = {name: value for name, value in answer.items() if not isinstance(value, dict)}
    print_table(simple)
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
@_operator
@_as_json
def explain(subject: str, operator: str, as_json: bool) -> None:
    """Show the decisions about a request, sample (RUN/STEP/PROMPT/INDEX), engine or step."""
    records = _call("GET", f"{operator}/v1/decisions?subject={quote(subject)}", as_json)
    if as_json:
        print_json(records)
        return
    if not records:
        click.echo(f"this node holds no decision about {subject}")
    for record in records:
        at = datetime.fromtimestamp(record["at_s"], UTC).strftime("%H:%M:%S.%f")[:-3]
        inputs = " ".join(f"{name}={value}" for name, value in record["inputs"].items())
        click.echo(f"{at}  {record['kind']:<12} {record['subject']}  {record['outcome']}  {inputs}")


@click.command()
@click.argument("address")
@_operator
def retire(address: str, operator: str) -> None:
    """Mark a back end as leaving: no node gives it new work from now on."""
    _call("POST", f"{operator}/v1/back-ends/{address}/leaving")
    click.echo(f"{address} is marked as leaving")


@click.command()
@_operator
def drain(operator: str) -> None:
    """Start a planned stop of a node; it finishes what it runs and exits."""
    _call("POST", f"{operator}/v1/drain")
    click.echo("the node is draining")
