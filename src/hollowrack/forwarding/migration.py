"""A run asks for a place at a faster worker while it goes on at a slower one."""

import asyncio
from typing import Protocol

from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory


class MigrationPolicy(Protocol):
    """Decides when a run should go on at a faster worker, and at which."""

    def is_worthwhile(self, worker: Worker, num_events: int) -> bool:
        """Whether a run that has so many events would end clearly sooner elsewhere."""

    async def acquire_faster(self, worker: Worker, num_events: int) -> Worker:
        """Wait for a place at a clearly faster worker; the place must be given back."""


class MigrationSlot:
    """The place that one run waits for, if it waits for one.

    Args:
        workers: Takes back a place that is not used.
        policy: When to move; ``None`` for never.
    """

    def __init__(self, workers: WorkerDirectory, policy: MigrationPolicy | None) -> None:
        self._workers = workers
        self._policy = policy
        self._waiting: asyncio.Task[Worker] | None = None

    def poll(self, worker: Worker, num_events: int) -> bool:
        """Ask for a place if that is worthwhile; returns whether there is one now."""
        if self._policy is None:
            return False
        if self._waiting is None and self._policy.is_worthwhile(worker, num_events):
            self._waiting = asyncio.create_task(self._policy.acquire_faster(worker, num_events))
        return self._waiting is not None and self._waiting.done()

    def claim(self) -> Worker | None:
        """Return the place if there is one; otherwise the run waits for it no longer."""
        waiting, self._waiting = self._waiting, None
        if waiting is None or waiting.cancelled():
            return None
        if waiting.done():
            return waiting.result()
        waiting.cancel()
        return None

    def close(self) -> None:
        """Give back a place that the run does not need."""
        place = self.claim()
        if place is not None:
            self._workers.release_slot(place)
