"""Soak test of real edge processes under faults, against stand-ins of the users' platform.

A trainer runs steps beside plain and unsafe requests while the faults of
:mod:`hollowrack_bench.soak_faults` are injected. Some steps use a route that was added just before.
All callers send the key of one tenant and the name of another; plain requests reuse connections,
and one caller for each node uses its connection until the process closes it.
With crashing requests, workers that start them crash and restart later. What callers, workers and
the duty service observed is checked; each violation is reported with the matching log lines.

With faults of the links between regions, nodes and workers are in two regions. If there are no
other faults, each plain request has to be answered within the target latency of its route.

With changes of allowed regions, too: a second trainer and further plain requests use two routes
whose allowed regions change.

Not covered: faults of links between nodes, clock skew, slow weight loading, leaving workers, slow
readers, suspended machines.
"""

import asyncio
import json
import random
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
from absl import logging

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack.results import ResultCode
from hollowrack.tasks import cancel_all
from hollowrack_bench.edge_processes import EdgeProcesses
from hollowrack_bench.free_ports import free_address
from hollowrack_bench.loopback_proxy import MAX_DELAY_S, LoopbackProxy
from hollowrack_bench.platform_demo import (
    CALL_TIMEOUT_S,
    HOST,
    HTTP_ACCEPTED,
    HTTP_OK,
    JOBS_PREFIX,
    MODEL,
    NUM_ITEMS,
    RETRY_INTERVAL_S,
    PlatformDemo,
    PlatformDemoOutcome,
    configuration,
    job_content,
)
from hollowrack_bench.soak_allowed_regions import (
    CONFIG_APPLY_S,
    JOB_ID,
    PLAIN_ID,
    PLAIN_PREFIX,
    REGIONAL_JOBS_PREFIX,
    JobEntries,
    RegionalWork,
    RegionFindings,
    kept_s,
)
from hollowrack_bench.soak_checks import TENANT, SoakChecks, count_ambiguous_attempts
from hollowrack_bench.soak_cold_workers import (
    COLD_OVERAGE,
    COLD_REQUESTS_PER_S,
    COLD_S,
    COLD_SLACK,
    ColdSpellCheck,
    check_spells,
)
from hollowrack_bench.soak_crashes import PATH as CRASHING_PATH
from hollowrack_bench.soak_crashes import CrashingRequests
from hollowrack_bench.soak_evacuations import ZONES
from hollowrack_bench.soak_faults import FaultInjector, SoakFault, SoakSystem
from hollowrack_bench.soak_kept_connections import (
    KeptConnections,
    PlainOutcome,
    UnansweredRequest,
    lost_requests,
)
from hollowrack_bench.soak_operator import SoakOperator
from hollowrack_bench.soak_plan import SoakPlan
from hollowrack_bench.soak_regions import (
    MAX_LOOKUP_DELAY_S,
    TARGET_LATENCY_S,
    TIMEOUT_S,
    SoakRegions,
)
from hollowrack_bench.soak_report import Latencies, collect_evidence
from hollowrack_standins.duty_service import DutyServiceStandin
from hollowrack_standins.users_platform import PlatformWorkerStandin

UNSAFE_REQUEST_INTERVAL_S = 0.07
HTTP_REFUSED = frozenset({408, 421, 429, 503})
# All requests are valid, and every configuration contains their key and route.
HTTP_WRONGLY_DENIED = frozenset({401, 403, 404})
SOAK_STEP_TIMEOUT_S = 90.0
NEW_ROUTE_SHARE = 0.5
KEY = "key-of-ana"
OTHER_TENANT = "bob"
USAGE_WINDOW_S = 2.0
MAX_EVIDENCE_LINES = 40
US_PER_S = 1_000_000
MS_PER_S = 1000
PLAIN_PATH = "/prices/x"
# Route of the scorer calls of all jobs.
SCORER_PREFIX = "/prices/"
UNSAFE_PATH = "/once/x"
QUARANTINED = ResultCode.REQUEST_QUARANTINED.name.encode()
PERCENTILES = (50.0, 99.0, 100.0)
# Includes the start of a process and a leader election (2 s lease, 3.6 s handover).
RECOVERY_TIMEOUT_S = 12.0


class PlatformSoak(PlatformDemo):
    """Runs one soak: the platform demo with edge processes and injected faults.

    Args:
        plan: Duration, seed, faults and number of nodes.
    """

    step_timeout_s = SOAK_STEP_TIMEOUT_S

    def __init__(self, plan: SoakPlan) -> None:
        super().__init__()
        plan.check()
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._folder = tempfile.TemporaryDirectory()
        self._duties = DutyServiceStandin()
        self._operator = SoakOperator(self._store, self._first_configuration(), self._rng)
        self._system = SoakSystem(
            EdgeProcesses(plan.new_log_folder() or Path(self._folder.name), plan.earlier_source),
            {},
            self._store,
            self._duties,
            self._workers,
            self._operator,
        )
        if {SoakFault.REGION_LINK, SoakFault.ALLOWED_REGIONS} & set(plan.faults):
            self._system.regions = SoakRegions(
                self._system.processes.node_of_connection,
                self._rng,
                MAX_LOOKUP_DELAY_S if plan.has_only_region_link_faults else MAX_DELAY_S,
            )
        not_injected = {SoakFault.CRASHING_REQUESTS}
        if plan.silences_lookup_links:
            not_injected.add(SoakFault.REGION_LINK)
        kinds = [fault for fault in plan.faults if fault not in not_injected]
        self._num_fault_loops = plan.num_fault_loops if kinds else 0
        self._injector = FaultInjector(self._system, kinds, self._rng, plan.first_faults)
        self._crashing: CrashingRequests | None = None
        if SoakFault.CRASHING_REQUESTS in plan.faults:
            self._crashing = CrashingRequests(
                self._system, self._workers, self._send_crashing, random.Random(plan.seed)
            )
        if SoakFault.EVACUATE in plan.faults:
            for index, worker in enumerate(self._workers):
                worker.zone = ZONES[index % len(ZONES)]
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._direct_addresses: dict[str, str] = {}
        self._checks = SoakChecks(self.worker_records, self.outcome.violations)
        self._kept = KeptConnections(
            self._direct_addresses, self._headers, self._checks.plain_outcomes.append
        )
        self._job_entries = JobEntries()
        self._sent_times_s: dict[str, float] = {}
        self._region_findings = RegionFindings()
        self._cold_checks: list[ColdSpellCheck] = []
        self._num_unsafe = 0
        self._latencies = Latencies()
        self._new_route = ""
        self._step_started_s = 0.0
        self._is_ending = False
        self._caller_headers = {
            names.CREDENTIALS: f"{names.CHALLENGE_VALUE} {KEY}",
            names.TENANT: OTHER_TENANT,
        }

    async def run(self) -> PlatformDemoOutcome:
        """Run the soak and return its outcome; all processes are ended even on errors."""
        try:
            await self._duties.server.start()
            await self._injector.workers.decoy.server.start()
            await self._start()
            num_steps = await self._run_steps()
        finally:
            await self._stop()
        self._check_all()
        self.outcome.rows = self._rows(num_steps)
        if self.outcome.violations:
            collect_evidence(self.outcome, self._system.processes.log_lines())
        self._folder.cleanup()
        return self.outcome

    def running_nodes(self) -> list[str]:
        """Return the nodes whose processes are running, sorted."""
        ended = set(self._system.processes.exited_nodes())
        return sorted(set(self._system.settings) - ended)

    async def _run_steps(self) -> int:
        """Run steps under faults until the duration has passed; returns the number of steps."""
        if self._system.regions is not None and self._plan.silences_lookup_links:
            self._system.regions.silence_links(
                worker for worker in self._workers if not worker.model
            )
        load_tasks = [
            asyncio.create_task(self._send_plain_requests()),
            asyncio.create_task(self._send_unsafe_requests()),
            asyncio.create_task(self._write_entries()),
            asyncio.create_task(self._kept.run()),
        ]
        regional_jobs: asyncio.Task[None] | None = None
        if SoakFault.ALLOWED_REGIONS in self._plan.faults:
            self._store.core.on_write = self._job_entries.record
            load_tasks.append(asyncio.create_task(self._send_regional_requests()))
            regional_jobs = asyncio.create_task(self._run_regional_jobs())
        faults = [asyncio.create_task(self._injector.run()) for _ in range(self._num_fault_loops)]
        if self._crashing is not None:
            faults.append(asyncio.create_task(self._crashing.run()))
        num_steps = 0
        end_s = now_s() + self._plan.duration_s
        try:
            while now_s() < end_s:
                num_steps += 1
                self._latencies.record("step", await self._step(num_steps - 1))
            self._is_ending = True
            if regional_jobs is not None:
                await regional_jobs
        except TimeoutError:
            self.outcome.violations.append(
                f"step-{num_steps - 1}: not completed before its timeout"
            )
        finally:
            await cancel_all(*faults, regional_jobs)
            await self._injector.clear_faults()
            await self._check_restarted_workers()
            await cancel_all(*load_tasks)
        return num_steps

    async def _check_restarted_workers(self) -> None:
        """Check that restarted workers load the newest weights once all faults have ended."""
        incarnations = {
            (incarnation.worker_id, incarnation.started_ms)
            for incarnation in self._injector.workers.restarted
        }
        outdated = [
            worker
            for worker in self._workers
            if worker.model and (worker.id, worker.started_ms) in incarnations
        ]
        entry = self._store.read(names.TARGET_VERSION_PREFIX + MODEL)
        newest = 1 if entry is None else entry["version"]
        end_s = now_s() + RECOVERY_TIMEOUT_S
        while outdated and now_s() < end_s:
            await asyncio.sleep(RETRY_INTERVAL_S)
            outdated = [worker for worker in outdated if worker.version < newest]
        for worker in outdated:
            self.outcome.violations.append(f"{worker.id}: still at weight version {worker.version}")

    def _rows(self, num_steps: int) -> dict[str, str]:
        return {
            "steps taken": str(num_steps),
            "faults": str(dict(sorted(self._injector.counts.items()))),
            "configurations written": str(self._operator.num_changes),
            "plain requests by status": str(dict(self._num_plain_by_status)),
            "unsafe requests": str(self._num_unsafe),
            "orders given": str(len(self.worker_records.orders)),
            "holders of orders": str(len({holder for _, holder, *_ in self.worker_records.orders})),
            "workers restarted": str(len(self._injector.workers.restarted)),
            "windows of usage reported": str(len(self._duties.core.reports)),
            "requests over kept connections": (
                f"{self._kept.num_answered} answered, {len(self._kept.unanswered)} sent while the "
                f"connection was closed, {len(self._lost_requests())} of them lost"
            ),
            "zones evacuated": str(len(self._injector.evacuations.records)),
            "crashing requests": self._crashing_summary(),
            "plain requests answered in the other region": self._regions_summary(),
            "cold workers": self._cold_summary(),
            "checked against allowed regions": str(
                dict(sorted(self._region_findings.num_checked.items()))
            ),
            "latency, s (p50/p99/p100)": str(self._latencies.summary()),
        }

    def _regions_summary(self) -> str:
        if self._system.regions is None:
            return "one region"
        return f"{self._checks.num_far} of {self._checks.num_near + self._checks.num_far}"

    def _crashing_summary(self) -> str:
        if self._crashing is None:
            return "none"
        num_undisturbed = sum(attempt.is_undisturbed for attempt in self._crashing.attempts)
        num_crashes = len(self.worker_records.crashes)
        return (
            f"{len(self._crashing.attempts)} attempts, {num_undisturbed} at undisturbed nodes, "
            f"{num_crashes} crashes"
        )

    def _cold_summary(self) -> str:
        spells, checks = self._injector.workers.cold_spells, self._cold_checks
        most = max((check.max_in_window for check in checks), default=0)
        return (
            f"{len(spells)} times, {len(checks)} checked, "
            f"{sum(check.num_requests for check in checks)} requests, at most {most} in a second"
        )

    # -- the system -------------------------------------------------------------------------

    def _first_configuration(self) -> dict[str, Any]:
        content = configuration()
        if self._plan.has_only_region_link_faults:
            content["routes"][1] |= {
                "target-latency-ms": round(TARGET_LATENCY_S * MS_PER_S),
                "timeout-ms": round(TIMEOUT_S * MS_PER_S),
            }
        if SoakFault.ALLOWED_REGIONS in self._plan.faults:
            job_route, plain_route = content["routes"][:2]
            content["routes"] += [
                job_route | {"path-prefix": REGIONAL_JOBS_PREFIX},
                plain_route | {"path-prefix": PLAIN_PREFIX},
            ]
        unsafe = {"path-prefix": "/once/", "route-type": "unsafe", "service": "prices"}
        content["routes"].append(content["routes"][1] | unsafe)
        content["tenants"] = [
            {"name": TENANT, "api-keys": [KEY]},
            {"name": OTHER_TENANT, "api-keys": ["key-of-bob"]},
        ]
        scaling = {"min-replicas": 1, "max-replicas": 9, "zone-prices": {"z1": 1.0}}
        content["services"][0]["scaling"] = scaling
        if SoakFault.COLD_RETURN in self._plan.faults:
            for service in content["services"]:
                service["cold-start-s"] = COLD_S
                service["cold-per-s"] = COLD_REQUESTS_PER_S
        return content

    def _configuration(self) -> dict[str, Any]:
        return self._first_configuration()

    async def _start_worker(self, worker: PlatformWorkerStandin) -> None:
        await self._system.start_worker(worker, self._rng)

    async def _start_edge(self, name: str) -> None:
        listen = {key: free_address() for key in ("frontend", "readiness", "control-plane")}
        store_link = LoopbackProxy(self._store.server.address, self._rng)
        client_link = LoopbackProxy(listen["frontend"], self._rng)
        self._system.store_links[name] = store_link
        self._system.client_links[name] = client_link
        self._direct_addresses[name] = listen["frontend"]
        self._system.settings[name] = {
            "node-name": name,
            "zone": "z1",
            **self._region_settings(name),
            "listen": listen,
            "platform": {"address": await store_link.start()},
            "bounds": {"report-window-s": USAGE_WINDOW_S}
            | self._cold_bounds()
            | self._configuration_bounds(),
            "cloud": {
                "address": self._duties.server.address,
                "duties": [names.DUTY_USAGE, names.DUTY_CAPACITY],
            },
        }
        self._system.processes.start(name, self._system.settings[name])
        self._addresses[name] = await client_link.start()
        self._sessions[name] = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(CALL_TIMEOUT_S))

    def _region_settings(self, name: str) -> dict[str, object]:
        """Return the settings of a node that name its zone and the regions, if there are any."""
        return {} if self._system.regions is None else self._system.regions.settings(name)

    def _cold_bounds(self) -> dict[str, float]:
        if SoakFault.COLD_RETURN not in self._plan.faults or not self._plan.limits_cold_workers:
            return {}
        return {"cold-overage": COLD_OVERAGE, "cold-slack": COLD_SLACK}

    def _configuration_bounds(self) -> dict[str, float]:
        if SoakFault.ALLOWED_REGIONS not in self._plan.faults:
            return {}
        return {"config-apply-ms": CONFIG_APPLY_S * MS_PER_S}

    def _edge_names(self) -> list[str]:
        return [f"edge-{index}" for index in range(self._plan.num_edges)]

    async def _all_ready(self) -> bool:
        for name in self._addresses:
            if (await self._call_at(name, "POST", "/prices/x", "probe"))[0] != HTTP_OK:
                return False
        return True

    async def _stop(self) -> None:
        system = self._system
        unexpected = set(system.processes.exited_nodes()) - system.faulted_nodes
        self.outcome.violations.extend(
            f"{name}: exited without a fault" for name in sorted(unexpected)
        )
        self.outcome.violations.extend(system.violations)
        system.processes.kill_all()
        for session in self._sessions.values():
            await session.close()
        links = [*system.store_links.values(), *system.client_links.values()]
        for link in [*links, *system.worker_links.values()]:
            await link.stop()
        if system.regions is not None:
            await system.regions.stop()
        for worker in self._workers:
            await worker.server.crash()
        await self._store.server.crash()
        await self._duties.server.crash()
        await self._injector.workers.decoy.server.crash()

    # -- callers ----------------------------------------------------------------------------

    async def _prepare_step(self, step: int) -> str:
        """Add a new route for a random half of the steps, just before the step uses it."""
        self._step_started_s = now_s()
        if self._new_route:
            self._operator.remove_route(self._new_route)
        self._new_route = ""
        if self._rng.random() >= NEW_ROUTE_SHARE:
            return JOBS_PREFIX
        self._new_route = f"/jobs-{step}/"
        self._operator.add_route(JOBS_PREFIX, self._new_route)
        return self._new_route

    async def _after_submit(self, step: int) -> None:
        """Do nothing: the fault injector runs independently of the steps."""

    async def _send_plain_requests(self) -> None:
        """Send plain requests over connections that are kept open and reused."""
        number = 0
        while True:
            number += 1
            edges = sorted(self._addresses)
            name = edges[number % len(edges)]
            request_id = f"plain-{number}"
            started_s = now_s()
            status, body = await self._call_over_session(self._sessions[name], name, request_id)
            latency_s = now_s() - started_s
            self._num_plain_by_status[status] += 1
            self._checks.plain_outcomes.append(
                PlainOutcome(request_id, name, PLAIN_PATH, status, started_s, latency_s)
            )
            if status == HTTP_OK:
                self._latencies.record("plain", latency_s)
                if not body.startswith(f"{request_id} by ".encode()):
                    self.outcome.violations.append(
                        f"{request_id}: got the answer of another request"
                    )
                elif self._system.regions is not None:
                    self._checks.record_regions(name, body)
            elif QUARANTINED in body:
                self.outcome.violations.append(
                    f"{request_id}: quarantined though it crashes no worker"
                )
            self._check_status(request_id, status)
            await asyncio.sleep(RETRY_INTERVAL_S / 4)

    async def _call_over_session(
        self, session: aiohttp.ClientSession, edge: str, request_id: str
    ) -> tuple[int, bytes]:
        headers = self._headers(request_id)
        url = f"http://{self._addresses[edge]}{PLAIN_PATH}"
        try:
            async with session.post(url, data=b"part", headers=headers) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def _send_crashing(self, node: str, request_id: str, body: bytes) -> None:
        await self._call_at(node, "POST", CRASHING_PATH, request_id, body)

    def _check_status(self, request_id: str, status: int) -> None:
        if status in HTTP_WRONGLY_DENIED:
            self.outcome.violations.append(f"{request_id}: rejected with status {status}")

    async def _send_unsafe_requests(self) -> None:
        while True:
            self._num_unsafe += 1
            request_id = f"once-{self._num_unsafe}"
            started_s = now_s()
            name = self._next_edge()
            status, _ = await self._call_at(name, "POST", UNSAFE_PATH, request_id, b"part")
            latency_s = now_s() - started_s
            self._checks.plain_outcomes.append(
                PlainOutcome(request_id, name, UNSAFE_PATH, status, started_s, latency_s)
            )
            if status in HTTP_REFUSED:
                self._checks.refused_unsafe.add(request_id)
            if status == HTTP_OK:
                self._latencies.record("unsafe", latency_s)
            self._check_status(request_id, status)
            await asyncio.sleep(UNSAFE_REQUEST_INTERVAL_S)

    async def _send_regional_requests(self) -> None:
        """Send plain requests on the route whose allowed regions change."""
        number = 0
        while True:
            number += 1
            request_id = f"{PLAIN_ID}{number}"
            self._sent_times_s[request_id] = now_s()
            status, _ = await self._call("POST", f"{PLAIN_PREFIX}x", request_id, b"part")
            self._check_status(request_id, status)
            await asyncio.sleep(UNSAFE_REQUEST_INTERVAL_S)

    async def _run_regional_jobs(self) -> None:
        """Run jobs on the route whose allowed regions change, until the last step has ended."""
        number = 0
        while not self._is_ending:
            number += 1
            job_id = f"{JOB_ID}{number}"
            started_s = self._sent_times_s[job_id] = now_s()
            body = json.dumps(job_content(job_id, 1, REGIONAL_JOBS_PREFIX)).encode()
            path = f"{REGIONAL_JOBS_PREFIX}{job_id}"
            try:
                async with asyncio.timeout(self.step_timeout_s):
                    await self._call_until("POST", path, HTTP_ACCEPTED, job_id, body)
                    results = await self._read(job_id)
                    await self._call_until("DELETE", names.JOBS_PATH + job_id, HTTP_OK)
            except TimeoutError:
                self.outcome.violations.append(f"{job_id}: not completed before its timeout")
                return
            self._check_job(job_id, results, 1, started_s)
            self._latencies.record("job with allowed regions", now_s() - started_s)

    async def _read(self, job_id: str) -> list[dict[str, Any]]:
        """Read all results of a job twice, and check that both reads return the same."""
        results = await self._read_pages(job_id)
        again = await self._read_pages(job_id)
        if again != results:
            self.outcome.violations.append(f"{job_id}: order or content differs in the second read")
        return results

    async def _read_pages(self, job_id: str) -> list[dict[str, Any]]:
        results: list[dict[str, Any]] = []
        while len(results) < NUM_ITEMS:
            path = f"{names.JOBS_PATH}{job_id}?after-revision={len(results)}"
            status, body = await self._call("GET", path, "")
            self._check_status(job_id, status)
            if status == HTTP_OK:
                results.extend(json.loads(body)["results"])
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
        return results

    def _check_results(self, job_id: str, results: list[dict[str, Any]]) -> None:
        oldest = max(1, int(job_id.rpartition("-")[2]))
        self._check_job(job_id, results, oldest, self._step_started_s)

    def _check_job(
        self, job_id: str, results: list[dict[str, Any]], oldest: int, started_s: float
    ) -> None:
        """Check the results of a job.

        Args:
            job_id: Identifier of the job.
            results: Its results.
            oldest: Oldest weight version that it allows.
            started_s: Time at which it was first submitted.
        """
        ids = [result["id"] for result in results]
        if sorted(ids) != sorted(f"{job_id}.{index}" for index in range(NUM_ITEMS)):
            self.outcome.violations.append(f"{job_id}: items lost or duplicated")
        for result in results:
            if result["state"] == names.RESULT_COMPLETE:
                self._check_complete_result(result)
                if min(result.get("versions") or [oldest]) < oldest:
                    self.outcome.violations.append(
                        f"{result['id']}: generated by weights older than requested"
                    )
            else:
                self._checks.check_given_up(result["id"], now_s() - started_s)

    # -- checks -----------------------------------------------------------------------------

    def _check_all(self) -> None:
        log_lines = self._system.processes.log_lines()
        num_ambiguous = count_ambiguous_attempts(log_lines)
        self._cold_checks = check_spells(
            self._injector.workers.cold_spells,
            self.worker_records.arrival_times,
            log_lines,
            sorted(self._system.settings),
            set(self._plan.faults) == {SoakFault.COLD_RETURN},
        )
        self._checks.check_cold_workers(self._cold_checks)
        self._checks.check_unsafe()
        self._checks.check_orders()
        self._checks.check_tenants()
        self._checks.check_evacuations(
            self._injector.evacuations.records, self._injector.disturbances
        )
        # Other faults leave a region without usable workers.
        regions = self._system.regions
        if regions is not None and self._plan.has_only_region_link_faults:
            self._checks.check_target_latency(self._targets_s(), regions.crossing_times_s)
        if SoakFault.ALLOWED_REGIONS in self._plan.faults:
            work = RegionalWork(
                self._injector.restrictions,
                kept_s(self._targets_s()[SCORER_PREFIX]),
                self._injector.disturbances,
            )
            self._region_findings = work.check(
                self.worker_records.arrivals, self._job_entries, self._sent_times_s
            )
            self._checks.check_allowed_regions(self._region_findings)
        self._checks.check_decoy(self._injector.workers.decoy.records)
        self._checks.check_kept_connections(self._lost_requests())
        if self._crashing is not None:
            self._checks.check_crashing(self._crashing.attempts)
        self._checks.check_duties(self._duties.core, num_ambiguous)

    def _targets_s(self) -> dict[str, float]:
        """Return the target latencies of the configuration, in seconds, by path prefix."""
        return {
            route["path-prefix"]: route["target-latency-ms"] / MS_PER_S
            for route in self._configuration()["routes"]
        }

    def _lost_requests(self) -> list[UnansweredRequest]:
        return lost_requests(
            self._kept.unanswered, self.worker_records.executions, self._system.kill_times_s
        )


async def run_soak(plan: SoakPlan) -> PlatformDemoOutcome:
    """Run a soak; the seed determines its faults but not their exact times.

    Raises:
        ProblemError: ``USAGE`` if the plan is out of bounds.
    """
    logging.info("soak of %g s on %s, seed %d", plan.duration_s, HOST, plan.seed)
    return await PlatformSoak(plan).run()
