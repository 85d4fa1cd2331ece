"""Soak faults that send signals to processes in series, also while they start or stop."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from absl import logging

from hollowrack_bench.edge_processes import EdgeProcesses

MIN_SIGNALS = 2
MAX_SIGNALS = 6
MAX_SIGNAL_INTERVAL_S = 0.6
MAX_STOP_INTERVAL_S = 1.5
SIGNALS = (
    signal.SIGHUP,
    signal.SIGHUP,
    signal.SIGTERM,
    signal.SIGTERM,
    signal.SIGSTOP,
    signal.SIGCONT,
    signal.SIGKILL,
)


class SignalSeries:
    """Sends series of signals to the processes of nodes.

    Args:
        processes: Processes of the nodes.
        rng: Source of signals and intervals.
        kill: Kills a node's process, given its name and the signal, and waits for its end.
        restart: Starts a node's process again, given its name.
    """

    def __init__(
        self,
        processes: EdgeProcesses,
        rng: random.Random,
        kill: Callable[[str, signal.Signals], Awaitable[None]],
        restart: Callable[[str], None],
    ) -> None:
        self._processes = processes
        self._rng = rng
        self._kill = kill
        self._restart = restart

    async def send_to(self, name: str) -> None:
        """Send a series to one process; it is running again, and awake, afterwards."""
        for _ in range(self._rng.randint(MIN_SIGNALS, MAX_SIGNALS)):
            number = self._rng.choice(SIGNALS)
            logging.info("signal to %s: %s", name, number.name)
            if number is signal.SIGKILL:
                await self._kill(name, number)
            elif name not in self._processes.exited_nodes():
                self._processes.send_signal(name, number)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_SIGNAL_INTERVAL_S))
            if name in self._processes.exited_nodes():
                self._restart(name)
        if not await self._processes.resume(name):
            self._restart(name)

    async def stop_in_turn(
        self, node_names: list[str], stop: Callable[[str], Coroutine[Any, Any, None]]
    ) -> None:
        """Stop and restart several nodes; the stop of one may begin before another has restarted.

        Args:
            node_names: Nodes, in the order of their stops.
            stop: Stops and restarts a node.
        """
        async with asyncio.TaskGroup() as group:
            for name in node_names:
                group.create_task(stop(name))
                await asyncio.sleep(self._rng.uniform(0.0, MAX_STOP_INTERVAL_S))
