"""Worker faults of a soak: restarts, invalid store entries, slow workers and load shedding."""

import asyncio
import json
import math
import random
import time
from collections.abc import Awaitable, Callable, Mapping

from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.platform import names
from hollowrack_bench.loopback_proxy import LoopbackProxy
from hollowrack_bench.platform_demo import MODEL
from hollowrack_bench.soak_cold_workers import COLD_S, ColdSpell
from hollowrack_standins.users_platform import (
    PlatformStoreStandin,
    PlatformWorkerStandin,
    WorkerRecords,
)

# Several times the delay after which a plain request is hedged.
MAX_ANSWER_DELAY_S = 1.2
NESTING_DEPTH = 20_000
# The oldest weights, so that restarted workers have to load newer ones.
RESTART_WEIGHT_VERSION = 1
NUM_FOREIGN_KEYS = 5
# Nodes count the time of an entry from when they see it, so it ends there later. A worker turns
# cold again only when no node counts any more, so that each node logs it.
COLD_PAUSE_S = 6.0

WaitForFault = Callable[[], Awaitable[None]]


class WorkerFaults:
    """Injects faults into workers and their store entries.

    Args:
        workers: All workers of the system.
        store: The platform's store.
        links: Proxies between nodes and workers, by worker.
        rng: Source of the affected workers and the contents of entries.
        wait_fault_duration: Waits for the duration of one fault.

    Attributes:
        decoy: A worker named only by invalid entries; it must get no request.
        restarted: Incarnations that were started by a restart.
        cold_spells: Times for which workers were cold.
    """

    def __init__(
        self,
        workers: list[PlatformWorkerStandin],
        store: PlatformStoreStandin,
        links: Mapping[str, LoopbackProxy],
        rng: random.Random,
        wait_fault_duration: WaitForFault,
    ) -> None:
        self.decoy = PlatformWorkerStandin("decoy", "engines", WorkerRecords(), MODEL)
        self.restarted: list[WorkerIncarnation] = []
        self.cold_spells: list[ColdSpell] = []
        self._workers = workers
        self._store = store
        self._links = links
        self._rng = rng
        self._wait_fault_duration = wait_fault_duration
        self._stopped: set[str] = set()

    async def restart(self) -> None:
        """Crash a worker; it restarts with the same identifier and no state."""
        worker = self._choose_running_worker()
        if worker is None:
            return
        self._stopped.add(worker.id)
        await worker.server.crash()
        await self._wait_fault_duration()
        await self._restart_worker(worker)

    async def return_cold(self) -> None:
        """Make some workers of a service cold, in use or by a restart, until they are warm."""
        service = self._rng.choice(sorted({worker.service for worker in self._workers}))
        free = [
            worker
            for worker in self._workers
            if worker.service == service
            and worker.crash_task is None
            and worker.id not in self._stopped
            and worker.cold_until_s + COLD_PAUSE_S < time.time()
        ]
        if not free:
            return
        chosen = self._rng.sample(free, self._rng.randint(1, len(free)))
        restarts = self._rng.random() < 1 / 2
        for worker in chosen:
            # Marked now, so that no other fault chooses it.
            worker.cold_until_s = time.time()
        if restarts:
            self._stopped.update(worker.id for worker in chosen)
            for worker in chosen:
                await worker.server.crash()
                # A connection that the proxy accepts would count as a request that has begun.
                self._links[worker.id].refuse_connections()
            await self._wait_fault_duration()
        for worker in chosen:
            await self._turn_cold(worker)
        await asyncio.sleep(COLD_S)

    async def _turn_cold(self, worker: PlatformWorkerStandin) -> None:
        worker.turn_cold(COLD_S)
        if worker.id in self._stopped:
            await self._restart_worker(worker)
        self._write_entry(worker)
        incarnation = WorkerIncarnation(worker.id, worker.started_ms)
        self.cold_spells.append(ColdSpell(incarnation, time.time(), worker.cold_until_s))

    async def clear_faults(self) -> None:
        """End all faults: restart stopped workers, restore their speed and entries."""
        for spell in self.cold_spells:
            spell.until_s = min(spell.until_s, time.time())
        for worker in self._workers:
            worker.cold_until_s = 0.0
            worker.faults.delay_s = 0.0
            worker.faults.sheds = False
            if worker.id in self._stopped:
                await self._restart_worker(worker)
            self._write_entry(worker)

    async def _restart_worker(self, worker: PlatformWorkerStandin) -> None:
        worker.begin_incarnation(RESTART_WEIGHT_VERSION)
        await worker.server.start()
        await self._links[worker.id].accept_connections()
        self._stopped.discard(worker.id)
        self.restarted.append(WorkerIncarnation(worker.id, worker.started_ms))

    async def slow_down(self) -> None:
        """Delay a worker's answers, or make it shed load, for the duration of a fault."""
        worker = self._choose_running_worker()
        if worker is None:
            return
        worker.faults.delay_s = self._rng.uniform(0.0, MAX_ANSWER_DELAY_S)
        worker.faults.sheds = self._rng.random() < 1 / 2
        await self._wait_fault_duration()
        worker.faults.delay_s = 0.0
        worker.faults.sheds = False

    async def write_foreign_entries(self) -> None:
        """Write invalid entries; one replaces a worker's own for the duration of a fault."""
        keys = [f"foreign-{number}" for number in range(self._rng.randrange(NUM_FOREIGN_KEYS))]
        # Requests name their worker: the decoy answers only those sent under its own key.
        for key in [self.decoy.id, *keys]:
            self._store.put_bytes(names.WORKERS_PREFIX + key, self._foreign_value())
        worker = self._choose_running_worker()
        if worker is None:
            return
        self._store.put_bytes(names.WORKERS_PREFIX + worker.id, self._foreign_value())
        await self._wait_fault_duration()
        self._write_entry(worker)

    def _choose_running_worker(self) -> PlatformWorkerStandin | None:
        free = [
            worker
            for worker in self._workers
            if worker.crash_task is None and worker.id not in self._stopped
        ]
        return self._rng.choice(free) if free else None

    def _write_entry(self, worker: PlatformWorkerStandin) -> None:
        self._store.put(names.WORKERS_PREFIX + worker.id, worker.entry())

    def _foreign_value(self) -> bytes:
        if self._rng.random() < 1 / 4:
            return self._rng.choice([b"\xff\x00", b"[" * NESTING_DEPTH, b"{", b"7", b""])
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
