"""Faults of a soak that concern workers: restarts, entries of other writers, uneven speed."""

import json
import math
import random
from collections.abc import Awaitable, Callable

from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.platform import names
from hollowrack_bench.platform_demo import MODEL
from hollowrack_standins.users_platform import (
    PlatformStoreStandin,
    PlatformWorkerStandin,
    WorkerRecords,
)

# Up to several times the time after which a plain request is tried at another worker.
MAX_SLOW_S = 1.2
DEEP_NESTING = 20_000
# Workers that start again may hold any older weights; the oldest are furthest behind.
MIN_TARGET_VERSION = 1
NUM_FOREIGN_KEYS = 5

WaitForFault = Callable[[], Awaitable[None]]


class WorkerFaults:
    """Harms workers and what the store says of them.

    Args:
        workers: The workers.
        store: The platform's store.
        rng: Draws victims and contents.
        pause: Waits for as long as one fault lasts.

    Attributes:
        decoy: A worker that only entries of other writers name; it must get no request.
        restarted: Lives that began by a restart.
    """

    def __init__(
        self,
        workers: list[PlatformWorkerStandin],
        store: PlatformStoreStandin,
        rng: random.Random,
        pause: WaitForFault,
    ) -> None:
        self.decoy = PlatformWorkerStandin("decoy", "engines", WorkerRecords(), MODEL)
        self.restarted: list[WorkerIncarnation] = []
        self._workers = workers
        self._store = store
        self._rng = rng
        self._pause = pause
        self._away: set[str] = set()

    async def restart(self) -> None:
        """End a worker; it returns under its identity and knows nothing of before."""
        worker = self._choose()
        if worker is None:
            return
        self._away.add(worker.id)
        await worker.server.crash()
        await self._pause()
        await self._return(worker)

    async def clear_faults(self) -> None:
        """Bring back the workers that a fault has in its hands, at full speed."""
        for worker in self._workers:
            worker.faults.delay_s = 0.0
            worker.faults.sheds = False
            if worker.id in self._away:
                await self._return(worker)
            self._write_entry(worker)

    async def _return(self, worker: PlatformWorkerStandin) -> None:
        worker.begin_incarnation(MIN_TARGET_VERSION)
        await worker.server.start()
        self._away.discard(worker.id)
        self.restarted.append(WorkerIncarnation(worker.id, worker.started_ms))

    async def slow_down(self) -> None:
        """Have a worker take longer, or turn requests away, for a while."""
        worker = self._choose()
        if worker is None:
            return
        worker.faults.delay_s = self._rng.uniform(0.0, MAX_SLOW_S)
        worker.faults.sheds = self._rng.random() < 1 / 2
        await self._pause()
        worker.faults.delay_s = 0.0
        worker.faults.sheds = False

    async def write_foreign_entries(self) -> None:
        """Write entries that name no worker, one of them over a worker's own for a while."""
        keys = [f"foreign-{number}" for number in range(self._rng.randrange(NUM_FOREIGN_KEYS))]
        # Requests name the worker that they are for, so that the decoy answers only under its own.
        for key in [self.decoy.id, *keys]:
            self._store.put_bytes(names.WORKERS_PREFIX + key, self._foreign_value())
        worker = self._choose()
        if worker is None:
            return
        self._store.put_bytes(names.WORKERS_PREFIX + worker.id, self._foreign_value())
        await self._pause()
        self._write_entry(worker)

    def _choose(self) -> PlatformWorkerStandin | None:
        free = [one for one in self._workers if one.crash_task is None and one.id not in self._away]
        return self._rng.choice(free) if free else None

    def _write_entry(self, worker: PlatformWorkerStandin) -> None:
        self._store.put(names.WORKERS_PREFIX + worker.id, worker.entry())

    def _foreign_value(self) -> bytes:
        if self._rng.random() < 1 / 4:
            return self._rng.choice([b"\xff\x00", b"[" * DEEP_NESTING, b"{", b"7", b""])
        field, value = self._rng.choice(
            [
                ("state", "retired"),
                ("state", 5),
                ("address", 7),
                ("address", {}),
                ("service", None),
                ("service", "unheard-of"),
                ("zone", 3),
                ("capacity", "6"),
                ("capacity", -3),
                ("capacity", math.inf),
                ("models", "quote"),
                ("models", [{"name": MODEL, "version": math.inf}]),
            ]
        )
        service = self._rng.choice(sorted({worker.service for worker in self._workers}))
        entry = self.decoy.entry() | {"service": service} | {field: value}
        return json.dumps(entry).encode()
