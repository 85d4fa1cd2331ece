"""Requests of a soak that end each worker which begins them, and the workers' return.

A request is sent again and again to any node, under new identifiers, while its workers come back a
moment after each end. What is checked counts only for nodes that have been calm for as long as they
need to hear of each other: neither they nor the store were in the hands of another fault.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack_bench.loopback_proxy import LinkFault, LoopbackProxy
from hollowrack_bench.soak_faults import SoakSystem
from hollowrack_standins.users_platform import PlatformWorkerStandin, WorkerRecords

CRASHING = b"crashing-"
SERVICE = "prices"
PATH = "/prices/x"
# How long callers go on with one request before the next one comes.
REQUEST_DURATION_S = 12.0
RETRY_INTERVAL_S = 0.1
MAX_BACKOFF_S = 0.6
MIN_DOWN_S = 0.3
MAX_DOWN_S = 1.0
POLL_INTERVAL_S = 0.05
# Nodes in touch know of an end within this time.
PROPAGATION_TIME_S = 3.0
QUARANTINE_CRASH_THRESHOLD = 3
MAX_LATE_RUNS = 3

# Sends a body to a node under an identifier.
SendRequest = Callable[[str, str, bytes], Awaitable[None]]


@dataclass(frozen=True)
class CrashingAttempt:
    """One try of a crashing request.

    Attributes:
        request_id: Its identifier.
        body: What it carries; tells the request.
        sent_s: When it was sent.
        is_undisturbed: Whether its node, and the store, had been calm for long enough.
    """

    request_id: str
    body: bytes
    sent_s: float
    is_undisturbed: bool


class CrashingRequests:
    """Sends crashing requests, and brings their workers back.

    Args:
        system: The soak's system.
        workers: Its workers.
        send: Sends a request to a node.
        rng: Draws nodes and pauses.

    Attributes:
        attempts: All tries so far.
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
        self._num_returns = 0
        self._disturbed_s: dict[str, float] = {}
        self._returns: set[asyncio.Task[None]] = set()
        for worker in self._workers:
            worker.faults.crashes_on = CRASHING

    async def run(self) -> None:
        """Send one request after the other, each for a while, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_calm())
            group.create_task(self._bring_back())
            number = 0
            while True:
                number += 1
                await self._send_for_a_while(CRASHING + str(number).encode())

    async def _send_for_a_while(self, body: bytes) -> None:
        end_s = now_s() + REQUEST_DURATION_S
        while now_s() < end_s:
            node = self._rng.choice(sorted(self._system.settings))
            request_id = f"crash-{len(self.attempts)}"
            self.attempts.append(CrashingAttempt(request_id, body, now_s(), self._is_calm(node)))
            await self._send(node, request_id, body)
            await asyncio.sleep(self._rng.uniform(RETRY_INTERVAL_S, MAX_BACKOFF_S))

    # -- calm -------------------------------------------------------------------------------

    async def _watch_calm(self) -> None:
        while True:
            for name in self._system.settings:
                if self._is_store_disturbed() or self._is_disturbed(name):
                    self._disturbed_s[name] = now_s()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_calm(self, node: str) -> bool:
        return now_s() - self._disturbed_s.get(node, -PROPAGATION_TIME_S) > PROPAGATION_TIME_S

    def _is_disturbed(self, node: str) -> bool:
        links = (self._system.store_links[node], self._system.client_links[node])
        is_harmed = any(link.fault is not LinkFault.NONE for link in links)
        return is_harmed or node in self._system.faulted_nodes

    def _is_store_disturbed(self) -> bool:
        faults = self._system.store.faults
        return faults.status is not None or faults.answers_nonsense or faults.num_lost_answers > 0

    # -- workers ----------------------------------------------------------------------------

    async def _bring_back(self) -> None:
        is_returning: set[str] = set()
        while True:
            for worker in self._workers:
                if worker.crash_task is not None and worker.id not in is_returning:
                    is_returning.add(worker.id)
                    task = asyncio.create_task(self._return(worker))
                    self._returns.add(task)
                    task.add_done_callback(self._returns.discard)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _return(self, worker: PlatformWorkerStandin) -> None:
        """Close an ended worker's port, and start it as a new incarnation after a while."""
        system = self._system
        old_id = worker.id
        await system.worker_links.pop(old_id).stop()
        assert worker.crash_task is not None
        await worker.crash_task
        await asyncio.sleep(self._rng.uniform(MIN_DOWN_S, MAX_DOWN_S))
        self._num_returns += 1
        worker.id = f"{old_id.partition('.')[0]}.{self._num_returns}"
        worker.crash_task = None
        link = LoopbackProxy(await worker.server.start(), self._rng)
        worker.advertised_address = await link.start()
        system.worker_links[worker.id] = link
        system.store.remove(names.WORKERS_PREFIX + old_id)
        system.store.put(names.WORKERS_PREFIX + worker.id, worker.entry())


def late_runs(tries: list[CrashingAttempt], ledger: WorkerRecords) -> dict[bytes, int]:
    """Count how often workers began each request too late.

    That is in tries by calm nodes, sent later than all such nodes must know that a third worker has
    ended under it.

    Args:
        tries: All tries.
        ledger: What workers saw.
    """
    ends_s: dict[bytes, list[float]] = {}
    for body, at_s in ledger.crashes:
        ends_s.setdefault(body, []).append(at_s)
    counts: dict[bytes, int] = {}
    for one in tries:
        ends = sorted(ends_s.get(one.body, []))
        if (
            len(ends) >= QUARANTINE_CRASH_THRESHOLD
            and one.sent_s > ends[QUARANTINE_CRASH_THRESHOLD - 1] + PROPAGATION_TIME_S
            and one.is_undisturbed
        ):
            num_runs = ledger.executions[one.request_id]
            counts[one.body] = counts.get(one.body, 0) + num_runs
    return counts
