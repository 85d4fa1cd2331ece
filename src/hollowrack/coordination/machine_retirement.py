"""Retirement of machines: the leader confirms to the operators that a machine is empty."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging

from hollowrack.coordination.leadership import Leadership
from hollowrack.tasks import cancel_all

# Well below the operators' timeout of a few seconds.
POLL_INTERVAL_S = 0.3


class MachineRetirement:
    """Confirms requested retirements while this node leads.

    Nodes keep no durable state on disk, so a machine counts as empty as soon as its retirement is
    requested.

    Args:
        leadership: Whether this node leads.
        complete: Confirms to the operators that a machine is empty; returns whether that certainly
            succeeded.
    """

    def __init__(self, leadership: Leadership, complete: Callable[[str], Awaitable[bool]]) -> None:
        self._leadership = leadership
        self._complete = complete
        self._requested: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start confirming requests whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop confirming requests."""
        await cancel_all(self._task)

    def request(self, machine: str) -> None:
        """Record that the operators want to retire a machine."""
        self._requested.add(machine)

    async def _run(self) -> None:
        completed: set[str] = set()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._leadership.is_leader:
                continue
            for machine in sorted(self._requested - completed):
                if await self._complete(machine):
                    logging.info("machine %s: retirement confirmed", machine)
                    completed.add(machine)
