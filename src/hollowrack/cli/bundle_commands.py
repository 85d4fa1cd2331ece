"""Commands ``hollowrack bundle ...``: check, sign and propose bundles."""

import base64
import json
import tomllib
from pathlib import Path
from typing import Any

import click
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success

from hollowrack.bundle.schema import Bundle, parse_bundle
from hollowrack.bundle.signing import sign_bundle
from hollowrack.cli.operator_client import call_operator
from hollowrack.cli.output import exit_with_problem
from hollowrack.results import Problem, ResultCode

_operator_option = click.option(
    "--operator", required=True, metavar="URL", help="A node's operators' listener."
)


@click.group()
def bundle() -> None:
    """Check, sign and propose bundles."""


@bundle.command()
@click.argument("bundle_file", type=click.Path(path_type=Path))
def check(bundle_file: Path) -> None:
    """Check a bundle file (TOML)."""
    parsed = _read_bundle(bundle_file)
    if isinstance(parsed, Failure):
        exit_with_problem(parsed.failure())
    click.echo(f"{bundle_file}: revision {parsed.unwrap().revision} is valid")


@bundle.command()
@click.argument("bundle_file", type=click.Path(path_type=Path))
@click.option("--signer", required=True, help="Name of the key in the nodes' trusted_signers.")
@click.option("--key", "key_file", required=True, type=click.Path(path_type=Path))
def sign(bundle_file: Path, signer: str, key_file: Path) -> None:
    """Sign a bundle file and print the signed bundle as JSON."""
    parsed = _read_bundle(bundle_file)
    if isinstance(parsed, Failure):
        exit_with_problem(parsed.failure())
    key = _read_signing_key(key_file)
    if isinstance(key, Failure):
        exit_with_problem(key.failure())
    signed = sign_bundle(parsed.unwrap(), signer, key.unwrap())
    body = {
        "document": base64.b64encode(signed.document).decode(),
        "signer": signed.signer,
        "signature": base64.b64encode(signed.signature).decode(),
    }
    click.echo(json.dumps(body, indent=2))


@bundle.command()
@click.argument("signed_file", type=click.Path(path_type=Path))
@_operator_option
def propose(signed_file: Path, operator: str) -> None:
    """Propose a signed bundle; prints its revision, or the error if it is rejected."""
    try:
        body: Any = json.loads(signed_file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        exit_with_problem(Problem(ResultCode.BUNDLE_INVALID, f"{error}.", str(signed_file)))
    answer = call_operator("POST", f"{operator}/v1/bundle", body)
    if isinstance(answer, Failure):
        exit_with_problem(answer.failure())
    click.echo(f"revision {answer.unwrap()['revision']} is accepted")


def _read_bundle(path: Path) -> Result[Bundle, Problem]:
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(Problem(ResultCode.BUNDLE_INVALID, f"{error}.", str(path)))
    return parse_bundle(values)


def _read_signing_key(path: Path) -> Result[Ed25519PrivateKey, Problem]:
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), password=None)
    except (OSError, ValueError, TypeError) as error:
        return Failure(Problem(ResultCode.USAGE, f"not a signing key: {error}.", str(path)))
    if not isinstance(key, Ed25519PrivateKey):
        return Failure(Problem(ResultCode.USAGE, "not an Ed25519 key.", str(path)))
    return Success(key)
