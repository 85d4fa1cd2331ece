"""Guards against imports that make every process of the program on the platform larger.

Memory is priced by the size of the whole fleet, and nearly all memory of a node is imported code.
"""

import os
import subprocess
import sys

import pytest

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


def _imported_modules(program: str) -> set[str]:
    """Run a program in a fresh interpreter and return the modules that it printed."""
    environment = {
        name: value for name, value in os.environ.items() if name != names.SETTINGS_VARIABLE
    }
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
    modules = _imported_modules(program)
    assert used_module in modules
    assert {name: reason for name, reason in unused_modules.items() if name in modules} == {}
