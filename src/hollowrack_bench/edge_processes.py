"""Edge nodes of the users' platform as processes of their own.

The product starts no process; this tool does, as the platform would.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from hollowrack.platform import names

PROGRAM = "import sys; from hollowrack.platform.program import main; sys.exit(main(['edge']))"
STOP_TIMEOUT_S = 12.0
EXIT_POLL_INTERVAL_S = 0.05


class EdgeProcesses:
    """Starts, stops, kills and freezes edge nodes.

    Args:
        folder: Takes settings files and logs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        # Where the log of each node's present process begins, in bytes.
        self._log_starts: dict[str, int] = {}

    def start(self, name: str, settings: dict[str, object]) -> None:
        """Start a node, or start it again; its log goes on in the same file."""
        log_file = self._folder / f"{name}.log"
        self._log_starts[name] = log_file.stat().st_size if log_file.exists() else 0
        settings_file = self._folder / f"{name}.json"
        settings_file.write_text(json.dumps(settings))
        environment = os.environ | {names.SETTINGS_VARIABLE: str(settings_file)}
        log: IO[bytes]
        with log_file.open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self._processes[name].send_signal(number)

    async def stop_and_wait(self, name: str, number: signal.Signals) -> int:
        """Send a signal and wait for the end; returns the exit status.

        Raises:
            TimeoutError: If the process is still there long after.
        """
        process = self._processes[name]
        process.send_signal(number)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while (status := process.poll()) is None:  # noqa: ASYNC110 (no event)
                await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        return status

    def has_logged(self, name: str) -> bool:
        """Whether a node's present process has got as far as to write a line."""
        return (self._folder / f"{name}.log").stat().st_size > self._log_starts[name]

    def log_lines(self) -> list[str]:
        """Return what all nodes have written to their logs."""
        lines: list[str] = []
        for path in sorted(self._folder.glob("*.log")):
            lines.extend(path.read_text(errors="replace").splitlines())
        return lines

    def exited_nodes(self) -> list[str]:
        """Return the nodes whose process has ended."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def kill_all(self) -> None:
        """Kill what still runs."""
        for process in self._processes.values():
            process.kill()
            process.wait()
