"""Guards against imports that make every process of the program on the platform larger.

Memory is priced by the size of the whole fleet, and nearly all memory of a node is imported code.
"""

import os
import ssl
import subprocess
import sys
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.x509.oid import NameOID

from hollowrack.platform import names

TIMEOUT_S = 60.0
# Without a settings file, an edge process ends once it has imported everything that it serves with.
EDGE_PROGRAM = """
import sys
from hollowrack.platform.program import main
main(["edge"])
print(*sys.modules)
"""
# The pending signal ends the wait of the storage process at once.
STORAGE_PROGRAM = """
import os, signal, sys
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
os.kill(os.getpid(), signal.SIGTERM)
from hollowrack.platform.program import main
assert main(["storage"]) == 0
print(*sys.modules)
"""
NUM_CERTIFICATES_PROGRAM = """
import gc, ssl
from hollowrack.platform.program import main
main(["edge"])
contexts = [item for item in gc.get_objects() if isinstance(item, ssl.SSLContext)]
print(*(context.cert_store_stats()["x509"] for context in contexts))
"""
UNUSED_BY_EDGE = {
    "pydantic_settings": "reads the settings of the product's own node only",
    "dotenv": "imported by pydantic_settings",
    "argparse": "imported by pydantic_settings",
    "hollowrack.settings.model": "settings of the product's own node",
    "hollowrack.settings.load": "settings of the product's own node",
    "hollowrack.cli": "command line of the product; needs pydantic_settings",
    "hollowrack.node": "the product's own node",
    "hollowrack.bundle": "bundles of the product's own node; needs cryptography",
    "hollowrack.clients": "clients of the product's own node",
    "hollowrack.engines": "engines of the product's own node",
    "hollowrack.membership": "membership of the product's own node",
    "hollowrack.replication": "replicated log of the product's own node",
    "hollowrack.rollout": "rollouts of the product's own node",
    "cryptography": "signatures of bundles",
    "prometheus_client": "imported when metrics are read for the first time",
    "numpy": "imported by no part of the program",
    "hollowrack_bench": "benchmarks",
    "hollowrack_standins": "stand-ins for tests and benchmarks",
}
UNUSED_BY_STORAGE = {
    "pathlib": "only the path of the sources is needed",
    "asyncio": "the process waits for one signal",
    "logging": "the process logs nothing",
    "absl": "the process logs nothing",
    "json": "the process reads no settings",
    "pydantic": "the process reads no settings",
    "ssl": "the process opens no connections",
    "aiohttp": "the process opens no connections",
    "uvicorn": "the process serves no requests",
}


def _printed_words(program: str, **variables: str) -> set[str]:
    """Run a program in a fresh interpreter and return the words that it printed."""
    environment = {
        name: value for name, value in os.environ.items() if name != names.SETTINGS_VARIABLE
    } | variables
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    return set(completed.stdout.split())


@pytest.mark.parametrize(
    ("program", "used_module", "unused_modules"),
    [
        pytest.param(EDGE_PROGRAM, "hollowrack.platform.edge_process", UNUSED_BY_EDGE, id="edge"),
        pytest.param(
            STORAGE_PROGRAM, "hollowrack.platform.storage_process", UNUSED_BY_STORAGE, id="storage"
        ),
    ],
)
def test_unused_modules_are_not_imported(
    program: str, used_module: str, unused_modules: dict[str, str]
) -> None:
    """An import of a settings model loaded ``pydantic_settings`` into every edge process."""
    modules = _printed_words(program)
    assert used_module in modules
    assert {name: reason for name, reason in unused_modules.items() if name in modules} == {}


def test_no_certificates_are_loaded(tmp_path: Path) -> None:
    """Every edge process kept the certificates of the system, but opens no TLS connections."""
    certificates = tmp_path / "certificates.pem"
    certificates.write_bytes(_self_signed_certificate())
    assert ssl.create_default_context(cafile=certificates).cert_store_stats()["x509"] == 1
    assert _printed_words(NUM_CERTIFICATES_PROGRAM, SSL_CERT_FILE=str(certificates)) == {"0"}


def _self_signed_certificate() -> bytes:
    key = Ed25519PrivateKey.generate()
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority.example")])
    start = datetime(2026, 1, 1, tzinfo=UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + timedelta(days=36500))
    )
    return builder.sign(key, None).public_bytes(Encoding.PEM)
