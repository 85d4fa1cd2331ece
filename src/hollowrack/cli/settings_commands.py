"""``hollowrack settings ...`` and ``hollowrack keys ...``."""

import secrets
from pathlib import Path

import click
from cryptography.hazmat.primitives import serialization
from returns.result import Failure

from hollowrack.bundle.signing import generate_key, public_key_hex
from hollowrack.cli.output import exit_with_problem, print_json
from hollowrack.results import Problem, ResultCode
from hollowrack.settings.example import example_settings
from hollowrack.settings.load import CLUSTER_KEY_BYTES, check_host_resources, read_settings

_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def settings() -> None:
    """Check settings and print an example."""


@settings.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
@_as_json
def check(settings_file: Path, as_json: bool) -> None:
    """Check a settings file, its key file, data folder and addresses."""
    checked = read_settings(settings_file).bind(check_host_resources)
    if isinstance(checked, Failure):
        exit_with_problem(checked.failure(), as_json)
    if as_json:
        print_json(checked.unwrap().model_dump(mode="json"))
    else:
        click.echo(f"{settings_file}: settings are valid")


@settings.command()
def example() -> None:
    """Print a settings file with a comment on every key."""
    click.echo(example_settings(), nl=False)


@click.group()
def keys() -> None:
    """Create keys."""


@keys.command()
@click.argument("key_file", type=click.Path(path_type=Path))
def cluster(key_file: Path) -> None:
    """Write a new cluster key, the one that all nodes share."""
    _write_key(key_file, (secrets.token_hex(CLUSTER_KEY_BYTES) + "\n").encode())
    click.echo(f"{key_file}: new cluster key")


@keys.command()
@click.argument("key_file", type=click.Path(path_type=Path))
def signer(key_file: Path) -> None:
    """Write a new bundle-signing key and print its public half for trusted_signers."""
    key = generate_key()
    pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    _write_key(key_file, pem)
    click.echo(public_key_hex(key))


def _write_key(path: Path, content: bytes) -> None:
    try:
        path.touch(mode=0o600, exist_ok=False)
        path.write_bytes(content)
    except OSError as error:
        exit_with_problem(Problem(ResultCode.USAGE, f"{error.strerror}.", str(path)))
