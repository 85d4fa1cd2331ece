"""Edge nodes of the users' platform, each in a separate process."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from hollowrack.platform import names
from hollowrack_bench.socket_inodes import socket_inode

PROGRAM = "import sys; from hollowrack.platform.program import main; sys.exit(main(['edge']))"
STOP_TIMEOUT_S = 12.0
EXIT_POLL_INTERVAL_S = 0.05
# Signals that were sent to a suspended process are delivered within this time after it resumes.
SIGNAL_DELIVERY_S = 0.2
ENDING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGKILL})


class EdgeProcesses:
    """Starts the processes of edge nodes and sends them signals.

    Args:
        folder: Folder of the settings files and logs.
        earlier_source: Source folder of an earlier version, which the first process of each node
            runs; later ones run this version. ``None`` if all run this version.
    """

    def __init__(self, folder: Path, earlier_source: Path | None = None) -> None:
        self._folder = folder
        self._earlier_source = earlier_source
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        # Nodes whose current process was told to end.
        self._ending: set[str] = set()
        # Offset at which the log of each node's current process starts, in bytes.
        self._log_starts: dict[str, int] = {}

    def start(self, name: str, settings: dict[str, object]) -> None:
        """Start or restart a node; a restart appends to the same log file."""
        log_file = self._folder / f"{name}.log"
        self._log_starts[name] = log_file.stat().st_size if log_file.exists() else 0
        settings_file = self._folder / f"{name}.json"
        settings_file.write_text(json.dumps(settings))
        environment = os.environ | {names.SETTINGS_VARIABLE: str(settings_file)}
        if self._earlier_source is not None and name not in self._processes:
            environment["PYTHONPATH"] = str(self._earlier_source)
        self._ending.discard(name)
        log: IO[bytes]
        with log_file.open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def node_of_connection(self, port: int, peer_port: int) -> str | None:
        """Return the node whose process uses the socket on a port; ``None`` if none does.

        Args:
            port: Local port of the socket.
            peer_port: Port that it is connected to.
        """
        inode = socket_inode(port, peer_port)
        if inode is None:
            return None
        link = f"socket:[{inode}]"
        for name, process in self._processes.items():
            with contextlib.suppress(OSError):
                folder = Path("/proc") / str(process.pid) / "fd"
                if any(_read_link(entry) == link for entry in folder.iterdir()):
                    return name
        return None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        if number in ENDING_SIGNALS:
            self._ending.add(name)
        self._processes[name].send_signal(number)

    async def resume(self, name: str) -> bool:
        """Resume a node's process if it is suspended, and wait for its end if it was told to end.

        Returns:
            Whether it is still running.

        Raises:
            TimeoutError: If it was told to end and has not exited after :data:`STOP_TIMEOUT_S`.
        """
        if name not in self.exited_nodes():
            self.send_signal(name, signal.SIGCONT)
            await asyncio.sleep(SIGNAL_DELIVERY_S)
            if name in self._ending:
                await self.wait_until_exited(name, STOP_TIMEOUT_S)
        return name not in self.exited_nodes()

    async def stop_and_wait(self, name: str, number: signal.Signals) -> int:
        """Send a signal and wait until the process has exited; returns the exit status.

        Raises:
            TimeoutError: If it has not exited after :data:`STOP_TIMEOUT_S`.
        """
        self.send_signal(name, number)
        return await self.wait_until_exited(name, STOP_TIMEOUT_S)

    async def wait_until_exited(self, name: str, timeout_s: float) -> int:
        """Wait until a node's process has exited; returns the exit status.

        Raises:
            TimeoutError: If it has not exited in time.
        """
        process = self._processes[name]
        async with asyncio.timeout(timeout_s):
            while (status := process.poll()) is None:  # noqa: ASYNC110 (no event)
                await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        return status

    def has_logged(self, name: str) -> bool:
        """Whether a node's current process has written to its log."""
        return (self._folder / f"{name}.log").stat().st_size > self._log_starts[name]

    def log_lines(self) -> list[str]:
        """Return the log lines of all nodes, node by node."""
        lines: list[str] = []
        for path in sorted(self._folder.glob("*.log")):
            lines.extend(path.read_text(errors="replace").splitlines())
        return lines

    def exited_nodes(self) -> list[str]:
        """Return the nodes whose process has exited."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for process in self._processes.values():
            process.kill()
            process.wait()


def _read_link(path: Path) -> str:
    try:
        return str(path.readlink())
    except OSError:
        return ""  # The file was closed meanwhile.
