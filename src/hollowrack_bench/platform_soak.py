"""A soak of real edge processes under faults, against stand-ins of the users' platform.

A trainer takes one step after the other beside plain requests, some of them unsafe to repeat, while
processes are killed, stopped and frozen, the store refuses, loses answers and talks nonsense, and
workers break off and fail; two faults may meet. All callers bear one tenant's key and claim to be
another one. What callers, workers and the service for duties saw is checked.
"""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from absl import logging

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack.tasks import cancel_all
from hollowrack_bench.edge_processes import EdgeProcesses
from hollowrack_bench.free_ports import free_address
from hollowrack_bench.platform_demo import (
    HOST,
    HTTP_OK,
    NUM_ITEMS,
    PlatformDemo,
    PlatformDemoOutcome,
    configuration,
)
from hollowrack_standins.duty_service import DutyServiceCore, DutyServiceStandin

NUM_EDGES = 4
NUM_FAULT_LOOPS = 2
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 3.0
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
NUM_WORKER_FAULTS = 8
UNSAFE_PAUSE_S = 0.07
HTTP_REFUSED = frozenset({408, 421, 429, 503})
REFUSED_STATUS = 503
TENANT = "ana"
KEY = "key-of-ana"
OTHER_TENANT = "bob"
USAGE_WINDOW_S = 2.0
SCORER_MARK = ".score-"


class PlatformSoak(PlatformDemo):
    """The system under faults.

    Args:
        duration_s: How long the trainer goes on, in seconds.
        seed: Seed of the faults.
    """

    def __init__(self, duration_s: float, seed: int) -> None:
        super().__init__()
        self._duration_s = duration_s
        self._rng = random.Random(seed)
        self._folder = tempfile.TemporaryDirectory()
        self._processes = EdgeProcesses(Path(self._folder.name))
        self._settings: dict[str, dict[str, object]] = {}
        self._disturbed: set[str] = set()
        self._faults: Counter[str] = Counter()
        self.refused_unsafe: set[str] = set()
        self._num_unsafe = 0
        self._duties = DutyServiceStandin()
        self._caller_headers = {
            names.CREDENTIALS: f"{names.CHALLENGE_VALUE} {KEY}",
            names.TENANT: OTHER_TENANT,
        }

    async def run(self) -> PlatformDemoOutcome:
        """Run it and return what was seen."""
        await self._duties.server.start()
        await self._start()
        beside = [
            asyncio.create_task(self._send_plain_requests()),
            asyncio.create_task(self._send_unsafe_requests()),
            asyncio.create_task(self._write_entries()),
            *(asyncio.create_task(self._disturb()) for _ in range(NUM_FAULT_LOOPS)),
        ]
        step_times_s: list[float] = []
        end_s = now_s() + self._duration_s
        try:
            while now_s() < end_s:
                step_times_s.append(await self._step(len(step_times_s)))
        finally:
            await cancel_all(*beside)
            await self._stop()
        self.check_unsafe()
        self.check_orders()
        self.check_tenants()
        self.check_duties(self._duties.core)
        self.outcome.rows = {
            "steps taken": str(len(step_times_s)),
            "longest step, s": f"{max(step_times_s):.1f}",
            "faults": str(dict(sorted(self._faults.items()))),
            "plain requests by status": str(dict(self._plain)),
            "unsafe requests": str(self._num_unsafe),
            "orders given": str(len(self.ledger.orders)),
            "holders of orders": str(len({holder for _, holder, *_ in self.ledger.orders})),
            "windows of usage reported": str(len(self._duties.core.reports)),
        }
        return self.outcome

    # -- the system -------------------------------------------------------------------------

    def _configuration(self) -> dict[str, Any]:
        content = configuration()
        unsafe = {"path-prefix": "/once/", "route-type": "unsafe", "service": "prices"}
        content["routes"].append(content["routes"][1] | unsafe)
        content["tenants"] = [
            {"name": TENANT, "api-keys": [KEY]},
            {"name": OTHER_TENANT, "api-keys": ["key-of-bob"]},
        ]
        scaling = {"min-replicas": 1, "max-replicas": 9, "zone-prices": {"z1": 1.0}}
        content["services"][0]["scaling"] = scaling
        return content

    async def _start_edge(self, name: str) -> None:
        listen = {key: free_address() for key in ("frontend", "readiness", "control-plane")}
        self._settings[name] = {
            "node-name": name,
            "zone": "z1",
            "listen": listen,
            "platform": {"address": self._store.server.address},
            "bounds": {"report-window-s": USAGE_WINDOW_S},
            "cloud": {
                "address": self._duties.server.address,
                "duties": [names.DUTY_USAGE, names.DUTY_CAPACITY],
            },
        }
        self._processes.start(name, self._settings[name])
        self._addresses[name] = listen["frontend"]

    def _edge_names(self) -> list[str]:
        return [f"edge-{index}" for index in range(NUM_EDGES)]

    async def _all_ready(self) -> bool:
        for name in self._addresses:
            if (await self._call_at(name, "POST", "/prices/x", "probe"))[0] != HTTP_OK:
                return False
        return True

    async def _stop(self) -> None:
        unexpected = set(self._processes.ended_by_themselves()) - self._disturbed
        self.outcome.broken.extend(f"{name}: ended by itself" for name in sorted(unexpected))
        self._processes.kill_all()
        for worker in self._workers:
            await worker.server.crash()
        await self._store.server.crash()
        await self._duties.server.crash()
        self._folder.cleanup()

    async def _after_submit(self, step: int) -> None:
        """The faults come by themselves."""

    # -- faults -----------------------------------------------------------------------------

    async def _disturb(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._stop_and_start,
            self._freeze,
            self._refuse_writes,
            self._lose_answers,
            self._lose_duty_answers,
            self._talk_nonsense,
            self._break_worker,
        ]
        while True:
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            fault = self._rng.choice(faults)
            self._faults[fault.__name__.strip("_")] += 1
            await fault()

    def _pick_edge(self) -> str | None:
        free = [name for name in self._settings if name not in self._disturbed]
        return self._rng.choice(free) if free else None

    async def _kill(self) -> None:
        await self._end_for_a_while(signal.SIGKILL)

    async def _stop_and_start(self) -> None:
        await self._end_for_a_while(signal.SIGTERM)

    async def _end_for_a_while(self, number: signal.Signals) -> None:
        name = self._pick_edge()
        if name is None:
            return
        self._disturbed.add(name)
        status = await self._processes.end(name, number)
        if number is signal.SIGTERM and status != 0:
            self.outcome.broken.append(f"{name}: exit status {status} after a planned stop")
        await asyncio.sleep(self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
        self._processes.start(name, self._settings[name])
        self._disturbed.discard(name)

    async def _freeze(self) -> None:
        name = self._pick_edge()
        if name is None:
            return
        self._disturbed.add(name)
        self._processes.send(name, signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
        self._processes.send(name, signal.SIGCONT)
        self._disturbed.discard(name)

    async def _refuse_writes(self) -> None:
        self._store.faults.status = REFUSED_STATUS
        await asyncio.sleep(self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
        self._store.faults.status = None

    async def _lose_answers(self) -> None:
        self._store.faults.num_lost_answers = self._rng.randint(1, 4)

    async def _lose_duty_answers(self) -> None:
        self._duties.core.faults.num_lost_answers = self._rng.randint(1, 4)

    async def _talk_nonsense(self) -> None:
        self._store.faults.answers_nonsense = True
        await asyncio.sleep(MIN_FAULT_S)
        self._store.faults.answers_nonsense = False

    async def _break_worker(self) -> None:
        switches = self._rng.choice(self._workers).switches
        switches.breaks_streams = self._rng.randint(0, NUM_WORKER_FAULTS)
        switches.num_short = self._rng.randint(0, NUM_WORKER_FAULTS)
        switches.num_errors = self._rng.randint(0, 1)

    # -- callers ----------------------------------------------------------------------------

    async def _send_unsafe_requests(self) -> None:
        while True:
            self._num_unsafe += 1
            request_id = f"once-{self._num_unsafe}"
            status, _ = await self._call("POST", "/once/x", request_id, b"part")
            if status in HTTP_REFUSED:
                self.refused_unsafe.add(request_id)
            await asyncio.sleep(UNSAFE_PAUSE_S)

    def _check(self, job_id: str, results: list[dict[str, Any]]) -> None:
        ids = [result["id"] for result in results]
        if sorted(ids) != sorted(f"{job_id}.{index}" for index in range(NUM_ITEMS)):
            self.outcome.broken.append(f"{job_id}: items lost or doubled")
        for result in results:
            # A worker's failures may use an item's attempts up; what is whole must be right.
            if result["state"] == names.RESULT_COMPLETE:
                self._check_whole(result)

    # -- checks -----------------------------------------------------------------------------

    def check_unsafe(self) -> None:
        """Check that unsafe requests ran at most once, and not at all if they were refused."""
        for request_id, num_runs in self.ledger.executions.items():
            if request_id.startswith("once-") and num_runs > 1:
                self.outcome.broken.append(f"{request_id}: ran {num_runs} times")
        for request_id in self.refused_unsafe:
            if self.ledger.executions[request_id]:
                self.outcome.broken.append(f"{request_id}: refused as not run, and ran")

    def check_tenants(self) -> None:
        """Check that workers ran everything for the tenant of its key, and saw no key."""
        for request_id, headers in self.ledger.headers.items():
            expected = None if SCORER_MARK in request_id else TENANT
            if headers.get(names.TENANT.lower()) != expected:
                self.outcome.broken.append(f"{request_id}: run for another tenant")
            if names.CREDENTIALS.lower() in headers:
                self.outcome.broken.append(f"{request_id}: a worker saw its key")

    def check_duties(self, service: DutyServiceCore) -> None:
        """Check the calls that one node makes for all against what workers ran."""
        self.outcome.broken.extend(service.broken)
        num_reported = sum(counts.get(TENANT, 0) for counts in service.reports.values())
        num_begun = sum(
            number for request_id, number in self.ledger.executions.items() if "." not in request_id
        )
        if num_reported > num_begun:
            self.outcome.broken.append(f"usage: {num_reported} reported, {num_begun} begun")
        if any(set(counts) - {TENANT} for counts in service.reports.values()):
            self.outcome.broken.append("usage: reported for another tenant")

    def check_orders(self) -> None:
        """Check that every fencing token had one holder and that no worker saw an older one."""
        holders: dict[int, str] = {}
        newest: dict[str, int] = {}
        for worker, holder, fence, _, version in self.ledger.orders:
            if holders.setdefault(fence, holder) != holder:
                self.outcome.broken.append(f"fence {fence} of two holders")
            if fence < newest.get(worker, 0):
                self.outcome.broken.append(f"{worker}: older fence for version {version}")
            newest[worker] = max(fence, newest.get(worker, 0))


async def run_soak(duration_s: float, seed: int) -> PlatformDemoOutcome:
    """Run a soak; the seed names its faults, though not the moments at which they strike."""
    logging.info("soak of %g s on %s, seed %d", duration_s, HOST, seed)
    return await PlatformSoak(duration_s, seed).run()
