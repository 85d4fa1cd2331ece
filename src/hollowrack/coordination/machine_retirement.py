"""Machines that operators want to take away: the leader tells when they are empty."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging

from hollowrack.coordination.leadership import Leadership
from hollowrack.tasks import cancel_all

# Well inside the seconds that an operator waits for the answer.
POLL_INTERVAL_S = 0.3


class MachineRetirement:
    """Answers requests to empty machines while this node leads.

    Nothing lasts on any machine's disk, so a machine to be emptied is empty.

    Args:
        leadership: Whether this node leads.
        complete: Tells the operators that a machine is empty; returns whether that is certain.
    """

    def __init__(self, leadership: Leadership, complete: Callable[[str], Awaitable[bool]]) -> None:
        self._leadership = leadership
        self._complete = complete
        self._asked: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start answering."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop answering."""
        await cancel_all(self._task)

    def ask(self, machine: str) -> None:
        """Note that a machine is to be emptied."""
        self._asked.add(machine)

    async def _run(self) -> None:
        done: set[str] = set()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._leadership.is_leader:
                continue
            for machine in sorted(self._asked - done):
                if await self._complete(machine):
                    logging.info("machine %s is empty", machine)
                    done.add(machine)
