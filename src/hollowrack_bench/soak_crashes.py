"""Soak requests that crash every worker which starts them, and the restart of those workers.

Each request is sent repeatedly to random nodes under new identifiers, and crashed workers restart
after a short time. Checks count only attempts at nodes that, like the store, have not been affected
by another fault for :data:`PROPAGATION_TIME_S`.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack_bench.loopback_proxy import LinkFault
from hollowrack_bench.soak_faults import SoakSystem
from hollowrack_standins.users_platform import PlatformWorkerStandin, WorkerRecords

CRASHING = b"crashing-"
SERVICE = "prices"
PATH = "/prices/x"
# Time during which one request is repeated.
REQUEST_DURATION_S = 12.0
MIN_SEND_INTERVAL_S = 0.1
MAX_SEND_INTERVAL_S = 0.6
MIN_DOWN_S = 0.3
MAX_DOWN_S = 1.0
POLL_INTERVAL_S = 0.05
# Time within which connected nodes know of a crash.
PROPAGATION_TIME_S = 3.0
QUARANTINE_CRASH_THRESHOLD = 3
# Allowed late runs of one request, see :func:`late_runs`.
MAX_LATE_RUNS = 3

# Sends a request, given the node, the request identifier and the body.
SendRequest = Callable[[str, str, bytes], Awaitable[None]]


@dataclass(frozen=True)
class CrashingAttempt:
    """One attempt of a crashing request.

    Attributes:
        request_id: Identifier of the attempt.
        body: Body, the same for all attempts of a request.
        sent_s: Time of sending, in seconds.
        is_undisturbed: Whether no other fault had affected node or store for
            :data:`PROPAGATION_TIME_S`.
    """

    request_id: str
    body: bytes
    sent_s: float
    is_undisturbed: bool


class CrashingRequests:
    """Sends crashing requests, and restarts the workers that they crash.

    Args:
        system: The soak's system.
        workers: All workers of the system.
        send: Sends a request to a node.
        rng: Source of nodes and pauses.

    Attributes:
        attempts: Attempts so far, oldest first.
    """

    def __init__(
        self,
        system: SoakSystem,
        workers: list[PlatformWorkerStandin],
        send: SendRequest,
        rng: random.Random,
    ) -> None:
        self.attempts: list[CrashingAttempt] = []
        self._system = system
        self._workers = [worker for worker in workers if worker.service == SERVICE]
        self._send = send
        self._rng = rng
        self._num_restarts = 0
        self._last_fault_s: dict[str, float] = {}
        self._restart_tasks: set[asyncio.Task[None]] = set()
        for worker in self._workers:
            worker.faults.crashes_on = CRASHING

    async def run(self) -> None:
        """Send one request after another, each for :data:`REQUEST_DURATION_S`, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._record_disturbances())
            group.create_task(self._restart_crashed_workers())
            number = 0
            while True:
                number += 1
                await self._send_repeatedly(CRASHING + str(number).encode())

    async def _send_repeatedly(self, body: bytes) -> None:
        end_s = now_s() + REQUEST_DURATION_S
        while now_s() < end_s:
            node = self._rng.choice(sorted(self._system.settings))
            request_id = f"crash-{len(self.attempts)}"
            self.attempts.append(
                CrashingAttempt(request_id, body, now_s(), self._is_undisturbed(node))
            )
            await self._send(node, request_id, body)
            await asyncio.sleep(self._rng.uniform(MIN_SEND_INTERVAL_S, MAX_SEND_INTERVAL_S))

    # -- disturbances -----------------------------------------------------------------------

    async def _record_disturbances(self) -> None:
        while True:
            for name in self._system.settings:
                if self._has_store_fault() or self._has_fault(name):
                    self._last_fault_s[name] = now_s()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_undisturbed(self, node: str) -> bool:
        return now_s() - self._last_fault_s.get(node, -PROPAGATION_TIME_S) > PROPAGATION_TIME_S

    def _has_fault(self, node: str) -> bool:
        links = (self._system.store_links[node], self._system.client_links[node])
        has_link_fault = any(link.fault is not LinkFault.NONE for link in links)
        return has_link_fault or node in self._system.faulted_nodes

    def _has_store_fault(self) -> bool:
        faults = self._system.store.faults
        return faults.status is not None or faults.answers_nonsense or faults.num_lost_answers > 0

    # -- workers ----------------------------------------------------------------------------

    async def _restart_crashed_workers(self) -> None:
        restarting: set[str] = set()
        while True:
            for worker in self._workers:
                if worker.crash_task is not None and worker.id not in restarting:
                    restarting.add(worker.id)
                    task = asyncio.create_task(self._restart_worker(worker))
                    self._restart_tasks.add(task)
                    task.add_done_callback(self._restart_tasks.discard)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _restart_worker(self, worker: PlatformWorkerStandin) -> None:
        """Close a crashed worker's port, then start it as a new incarnation."""
        system = self._system
        old_id = worker.id
        await system.stop_worker_links(old_id)
        assert worker.crash_task is not None
        await worker.crash_task
        await asyncio.sleep(self._rng.uniform(MIN_DOWN_S, MAX_DOWN_S))
        self._num_restarts += 1
        worker.id = f"{old_id.partition('.')[0]}.{self._num_restarts}"
        worker.crash_task = None
        await system.start_worker(worker, self._rng)
        system.store.remove(names.WORKERS_PREFIX + old_id)
        system.store.put(names.WORKERS_PREFIX + worker.id, worker.entry())


def late_runs(attempts: list[CrashingAttempt], records: WorkerRecords) -> dict[bytes, int]:
    """Count by body how often workers started a request that should have been quarantined.

    Counts attempts at undisturbed nodes, sent more than :data:`PROPAGATION_TIME_S` after the third
    crash.

    Args:
        attempts: All attempts.
        records: Record of what workers observed.
    """
    crashes_s: dict[bytes, list[float]] = {}
    for body, at_s in records.crashes:
        crashes_s.setdefault(body, []).append(at_s)
    counts: dict[bytes, int] = {}
    for attempt in attempts:
        crashes = sorted(crashes_s.get(attempt.body, []))
        if (
            len(crashes) >= QUARANTINE_CRASH_THRESHOLD
            and attempt.sent_s > crashes[QUARANTINE_CRASH_THRESHOLD - 1] + PROPAGATION_TIME_S
            and attempt.is_undisturbed
        ):
            num_runs = records.executions[attempt.request_id]
            counts[attempt.body] = counts.get(attempt.body, 0) + num_runs
    return counts
