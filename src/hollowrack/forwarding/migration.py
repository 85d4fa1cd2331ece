"""Migration of a run: waits for a slot at a faster worker while the run continues."""

import asyncio
from typing import Protocol

from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory


class MigrationPolicy(Protocol):
    """Decides when a run should continue at a faster worker, and at which."""

    def is_worthwhile(self, worker: Worker, num_events: int) -> bool:
        """Whether a run would finish clearly sooner elsewhere after ``num_events`` events."""

    async def acquire_faster(self, worker: Worker, num_events: int) -> Worker:
        """Wait for a slot at a clearly faster worker; the caller has to release the slot."""


class MigrationSlot:
    """Requested or granted slot at a faster worker for one run.

    Args:
        workers: Directory of workers, to which an unused slot is released.
        policy: Decides when to migrate; ``None`` for never.
    """

    def __init__(self, workers: WorkerDirectory, policy: MigrationPolicy | None) -> None:
        self._workers = workers
        self._policy = policy
        self._slot_request: asyncio.Task[Worker] | None = None

    def poll(self, worker: Worker, num_events: int) -> bool:
        """Request a slot if that is worthwhile; return whether one has been granted."""
        if self._policy is None:
            return False
        if self._slot_request is None and self._policy.is_worthwhile(worker, num_events):
            self._slot_request = asyncio.create_task(
                self._policy.acquire_faster(worker, num_events)
            )
        return self._slot_request is not None and self._slot_request.done()

    def claim(self) -> Worker | None:
        """Return the worker of the granted slot; otherwise cancel the request for one."""
        slot_request, self._slot_request = self._slot_request, None
        if slot_request is None or slot_request.cancelled():
            return None
        if slot_request.done():
            return slot_request.result()
        slot_request.cancel()
        return None

    def close(self) -> None:
        """Cancel the request, or release the slot that was granted."""
        worker = self.claim()
        if worker is not None:
            self._workers.release_slot(worker)
