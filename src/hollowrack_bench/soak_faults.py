"""Fault injection of a soak: signals, faulty store, workers and links, changing routes.

Faults are injected from outside the processes, may overlap, and are drawn from one seeded source.
"""

import asyncio
import random
import signal
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from absl import logging

from hollowrack.clock import now_s
from hollowrack_bench.edge_processes import EdgeProcesses
from hollowrack_bench.loopback_proxy import LinkFault, LoopbackProxy
from hollowrack_bench.soak_allowed_regions import RegionRestrictions
from hollowrack_bench.soak_evacuations import Evacuations
from hollowrack_bench.soak_operator import SoakOperator
from hollowrack_bench.soak_regions import REGION_LINK_FAULTS, SoakRegions
from hollowrack_bench.soak_signals import SignalSeries
from hollowrack_bench.soak_worker_faults import WorkerFaults
from hollowrack_standins.duty_service import DutyServiceStandin
from hollowrack_standins.users_platform import (
    PlatformFaults,
    PlatformStoreStandin,
    PlatformWorkerStandin,
)

MIN_FAULT_INTERVAL_S = 0.5
MAX_FAULT_INTERVAL_S = 3.0
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
MAX_FAULTY_ANSWERS = 8
MAX_LOST_ANSWERS = 4
REFUSED_STATUS = 503
# With all nodes killed, the store may recover before, during or after their restart.
MAX_STORE_DOWN_S = 3.0
STORE_DOWN_SHARE = 0.5
MAX_CHANGES = 5
MIN_CHANGE_INTERVAL_S = 0.02
MAX_CHANGE_INTERVAL_S = 0.5
# Faults of all links. Repeated answers are only injected between nodes and workers: on a caller's
# connection they would be read as answers of its next requests.
LINK_FAULTS = (
    LinkFault.DELAYED,
    LinkFault.RESET,
    LinkFault.SILENT,
    LinkFault.LOSSY,
    LinkFault.NO_REQUESTS,
    LinkFault.NO_ANSWERS,
)


class SoakFault(Enum):
    """Kinds of faults; the values are their names on the command line."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    KILL_ALL = "kill-all"
    STORE_REFUSES = "store-refuses"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    STORE_NONSENSE = "store-nonsense"
    STORE_FORGETS = "store-forgets"
    DUTY_LOSES_ANSWERS = "duty-loses-answers"
    WORKER_FAILS = "worker-fails"
    STORE_LINK = "store-link"
    WORKER_LINK = "worker-link"
    CLIENT_LINK = "client-link"
    ROUTES = "routes"
    CRASHING_REQUESTS = "crashing-requests"
    WORKER_RESTARTS = "worker-restarts"
    WORKER_SLOW = "worker-slow"
    FOREIGN_ENTRIES = "foreign-entries"
    OPEN_CONNECTIONS = "open-connections"
    SIGNAL_SERIES = "signal-series"
    ROLLING_STOP = "rolling-stop"
    EVACUATE = "evacuate"
    REGION_LINK = "region-link"
    COLD_RETURN = "cold-return"
    ALLOWED_REGIONS = "allowed-regions"


# Faults during which nodes may not be connected to the store, or requests to workers are held up.
DISTURBING_FAULTS = frozenset(
    {
        SoakFault.FREEZE,
        SoakFault.KILL_ALL,
        SoakFault.STORE_REFUSES,
        SoakFault.STORE_LOSES_ANSWERS,
        SoakFault.STORE_NONSENSE,
        SoakFault.STORE_LINK,
        SoakFault.WORKER_LINK,
        SoakFault.OPEN_CONNECTIONS,
        SoakFault.SIGNAL_SERIES,
    }
)


@dataclass
class SoakSystem:
    """The parts of a soak that faults are injected into.

    Attributes:
        processes: Processes of the nodes.
        settings: Settings, by node.
        store: The platform's store.
        duties: Service that receives the duty calls.
        workers: All workers.
        operator: Changes the configuration.
        store_links: Proxies between each node and the store, by node.
        client_links: Proxies between callers and each node, by node.
        worker_links: Proxies between nodes and each worker, by worker.
        faulted_nodes: Nodes whose process is stopped or frozen by a fault.
        violations: Violations found while injecting faults.
        kill_times_s: Times at which processes were killed, by node, on the loop's clock.
        regions: Regions of nodes and workers; ``None`` if there is only one.
    """

    processes: EdgeProcesses
    settings: dict[str, dict[str, object]]
    store: PlatformStoreStandin
    duties: DutyServiceStandin
    workers: list[PlatformWorkerStandin]
    operator: SoakOperator
    store_links: dict[str, LoopbackProxy] = field(default_factory=dict)
    client_links: dict[str, LoopbackProxy] = field(default_factory=dict)
    worker_links: dict[str, LoopbackProxy] = field(default_factory=dict)
    faulted_nodes: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    kill_times_s: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    regions: SoakRegions | None = None

    async def start_worker(self, worker: PlatformWorkerStandin, rng: random.Random) -> None:
        """Start a worker's server and the links to it."""
        link = LoopbackProxy(await worker.server.start(), rng)
        self.worker_links[worker.id] = link
        worker.advertised_address = await link.start()
        if self.regions is not None:
            worker.advertised_address = await self.regions.start_link(
                worker, worker.advertised_address
            )

    async def stop_worker_links(self, worker_id: str) -> None:
        """Stop the links to a worker."""
        if self.regions is not None:
            await self.regions.stop_link(worker_id)
        await self.worker_links.pop(worker_id).stop()


class FaultInjector:
    """Injects one random fault after another.

    Args:
        system: The system to inject faults into.
        kinds: Kinds of faults, without crashing requests, which callers send.
        rng: Source of kinds, durations and targets.
        first_kinds: Kinds of faults that are injected before any is drawn.

    Attributes:
        counts: Number of injected faults, by kind.
        workers: Injects the worker faults.
        evacuations: Evacuates zones.
        restrictions: Changes the allowed regions of routes.
        disturbances: Start and end of each fault of ``DISTURBING_FAULTS``, on the loop's clock; the
            end of one that has not ended is infinite.
    """

    def __init__(
        self,
        system: SoakSystem,
        kinds: list[SoakFault],
        rng: random.Random,
        first_kinds: Sequence[SoakFault] = (),
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._system = system
        self._kinds = kinds
        self._first_kinds = list(first_kinds)
        self._rng = rng
        self.workers = WorkerFaults(
            system.workers, system.store, system.worker_links, rng, self._wait_fault_duration
        )
        self.evacuations = Evacuations(system.store, rng)
        self.restrictions = RegionRestrictions(system.operator, rng)
        self.disturbances: list[tuple[float, float]] = []
        self._inject_by_kind: dict[SoakFault, Callable[[], Awaitable[None]]] = {
            SoakFault.KILL: lambda: self._stop_and_restart(signal.SIGKILL),
            SoakFault.STOP: lambda: self._stop_and_restart(signal.SIGTERM),
            SoakFault.FREEZE: self._freeze,
            SoakFault.KILL_ALL: self._kill_all,
            SoakFault.STORE_REFUSES: self._refuse_store_calls,
            SoakFault.STORE_LOSES_ANSWERS: self._lose_store_answers,
            SoakFault.STORE_NONSENSE: self._return_malformed_answers,
            SoakFault.STORE_FORGETS: self._compact_store,
            SoakFault.DUTY_LOSES_ANSWERS: self._lose_duty_answers,
            SoakFault.WORKER_FAILS: self._fail_worker,
            SoakFault.STORE_LINK: lambda: self._set_link_faults(system.store_links),
            SoakFault.WORKER_LINK: lambda: self._set_link_faults(
                system.worker_links, [*LINK_FAULTS, LinkFault.REPEATED]
            ),
            SoakFault.CLIENT_LINK: lambda: self._set_link_faults(system.client_links),
            SoakFault.ROUTES: self._change_routes,
            SoakFault.WORKER_RESTARTS: self.workers.restart,
            SoakFault.WORKER_SLOW: self.workers.slow_down,
            SoakFault.FOREIGN_ENTRIES: self.workers.write_foreign_entries,
            SoakFault.OPEN_CONNECTIONS: self._silence_open_connections,
            SoakFault.SIGNAL_SERIES: self._send_signal_series,
            SoakFault.ROLLING_STOP: self._stop_in_turn,
            SoakFault.EVACUATE: self.evacuations.run,
            SoakFault.REGION_LINK: self._impair_region_links,
            SoakFault.COLD_RETURN: self.workers.return_cold,
            SoakFault.ALLOWED_REGIONS: self.restrictions.run,
        }
        self._signals = SignalSeries(system.processes, rng, self._stop_process, self._start_process)

    async def run(self) -> None:
        """Inject faults until cancelled; may run several times concurrently."""
        while True:
            await asyncio.sleep(self._rng.uniform(MIN_FAULT_INTERVAL_S, MAX_FAULT_INTERVAL_S))
            kind = self._first_kinds.pop(0) if self._first_kinds else self._rng.choice(self._kinds)
            self.counts[kind.value] += 1
            logging.info("fault: %s", kind.value)
            if kind in DISTURBING_FAULTS:
                await self._disturb(self._inject_by_kind[kind])
            else:
                await self._inject_by_kind[kind]()

    async def _disturb(self, inject: Callable[[], Awaitable[None]]) -> None:
        """Inject a fault and record its time; one that is cancelled lasts until the end."""
        index = len(self.disturbances)
        self.disturbances.append((now_s(), float("inf")))
        await inject()
        self.disturbances[index] = (self.disturbances[index][0], now_s())

    async def clear_faults(self) -> None:
        """End all lasting faults. All calls of :meth:`run` must have been cancelled."""
        system = self._system
        system.store.faults = PlatformFaults()
        region_links = {} if system.regions is None else system.regions.links
        for links in (system.store_links, system.client_links, system.worker_links, region_links):
            for link in links.values():
                link.set_fault(LinkFault.NONE)
        await asyncio.gather(*(self._recover(name) for name in sorted(system.faulted_nodes)))
        await self.workers.clear_faults()
        self.evacuations.lift_all()
        self.restrictions.lift_all()

    async def _recover(self, name: str) -> None:
        """Have a node's process run on, or run again once it has ended as it was told to."""
        if not await self._system.processes.resume(name):
            self._restart_process(name)

    async def _wait_fault_duration(self, max_s: float = MAX_FAULT_S) -> None:
        await asyncio.sleep(self._rng.uniform(MIN_FAULT_S, max_s))

    # -- processes --------------------------------------------------------------------------

    def _reserve_node(self) -> str | None:
        """Choose a node whose process no other fault affects, and mark it as faulted."""
        system = self._system
        free = [name for name in system.settings if name not in system.faulted_nodes]
        if not free:
            return None
        name = self._rng.choice(free)
        system.faulted_nodes.add(name)
        return name

    async def _stop_and_restart(self, number: signal.Signals) -> None:
        name = self._reserve_node()
        if name is not None:
            await self._stop_reserved(name, number)

    async def _stop_reserved(self, name: str, number: signal.Signals) -> None:
        await self._stop_process(name, number)
        await self._wait_fault_duration()
        self._restart_process(name)

    async def _stop_process(self, name: str, number: signal.Signals) -> None:
        # A process that is still loading its code has no signal handlers yet.
        has_started = self._system.processes.has_logged(name)
        if number is signal.SIGKILL:
            self._system.kill_times_s[name].append(now_s())
        status = await self._system.processes.stop_and_wait(name, number)
        if number is signal.SIGTERM and status != 0 and has_started:
            self._system.violations.append(f"{name}: exit status {status} after SIGTERM")

    def _start_process(self, name: str) -> None:
        self._system.processes.start(name, self._system.settings[name])

    def _restart_process(self, name: str) -> None:
        self._start_process(name)
        self._system.faulted_nodes.discard(name)

    async def _freeze(self) -> None:
        name = self._reserve_node()
        if name is None:
            return
        self._system.processes.send_signal(name, signal.SIGSTOP)
        await self._wait_fault_duration()
        self._system.processes.send_signal(name, signal.SIGCONT)
        self._system.faulted_nodes.discard(name)

    async def _send_signal_series(self) -> None:
        """Send several signals to one process, which may be starting or stopping meanwhile."""
        name = self._reserve_node()
        if name is None:
            return
        await self._signals.send_to(name)
        self._system.faulted_nodes.discard(name)

    async def _stop_in_turn(self) -> None:
        """Stop and restart all nodes that no other fault affects, as a rollout does."""
        free = [name for name in self._system.settings if name not in self._system.faulted_nodes]
        self._system.faulted_nodes.update(free)
        self._rng.shuffle(free)
        await self._signals.stop_in_turn(
            free, lambda name: self._stop_reserved(name, signal.SIGTERM)
        )

    async def _kill_all(self) -> None:
        """Kill all nodes at once, in some cases with the store refusing calls meanwhile."""
        system = self._system
        names = [name for name in system.settings if name not in system.faulted_nodes]
        system.faulted_nodes.update(names)
        is_store_down = self._rng.random() < STORE_DOWN_SHARE
        if is_store_down:
            system.store.faults.status = REFUSED_STATUS
        # Starting nodes get the store's answers at different times.
        fault = self._rng.choice([LinkFault.DELAYED, LinkFault.LOSSY])
        faulty = self._rng.sample(names, (len(names) + 1) // 2)
        for name in faulty:
            system.store_links[name].set_fault(fault)
        await asyncio.gather(*(self._stop_process(name, signal.SIGKILL) for name in names))
        restoring = asyncio.create_task(self._restore_store(is_store_down))
        for name in names:
            await asyncio.sleep(self._rng.uniform(0.0, MIN_FAULT_S))
            self._restart_process(name)
        await restoring
        await self._wait_fault_duration()
        for name in faulty:
            system.store_links[name].set_fault(LinkFault.NONE)

    async def _restore_store(self, is_store_down: bool) -> None:
        if is_store_down:
            await self._wait_fault_duration(MAX_STORE_DOWN_S)
            self._system.store.faults.status = None

    # -- store and duty service -------------------------------------------------------------

    async def _refuse_store_calls(self) -> None:
        self._system.store.faults.status = REFUSED_STATUS
        await self._wait_fault_duration()
        self._system.store.faults.status = None

    async def _lose_store_answers(self) -> None:
        self._system.store.faults.num_lost_answers = self._rng.randint(1, MAX_LOST_ANSWERS)

    async def _return_malformed_answers(self) -> None:
        self._system.store.faults.answers_nonsense = True
        await asyncio.sleep(MIN_FAULT_S)
        self._system.store.faults.answers_nonsense = False

    async def _compact_store(self) -> None:
        self._system.store.core.compact()

    async def _lose_duty_answers(self) -> None:
        self._system.duties.core.faults.num_lost_answers = self._rng.randint(1, MAX_LOST_ANSWERS)

    # -- workers and links ------------------------------------------------------------------

    async def _fail_worker(self) -> None:
        faults = self._rng.choice(self._system.workers).faults
        faults.breaks_streams = self._rng.randint(0, MAX_FAULTY_ANSWERS)
        faults.num_short = self._rng.randint(0, MAX_FAULTY_ANSWERS)
        faults.num_errors = self._rng.randint(0, 1)

    async def _set_link_faults(
        self, links: dict[str, LoopbackProxy], faults: Sequence[LinkFault] = LINK_FAULTS
    ) -> None:
        """Set one fault on some of the links, for the duration of a fault."""
        fault = self._rng.choice(faults)
        if not links:
            return
        chosen = self._rng.sample(sorted(links), self._rng.randint(1, max(1, len(links) // 2)))
        # A worker that crashes meanwhile removes its link from ``links``.
        faulty = [links[name] for name in chosen]
        for link in faulty:
            link.set_fault(fault)
        await self._wait_fault_duration()
        for link in faulty:
            link.set_fault(LinkFault.NONE)

    async def _impair_region_links(self) -> None:
        """Set one fault on all links between the two regions, for the duration of a fault."""
        regions = self._system.regions
        if regions is None:
            return
        fault = self._rng.choice(REGION_LINK_FAULTS)
        faulty = list(regions.links.values())
        for link in faulty:
            link.set_fault(fault)
        await self._wait_fault_duration()
        for link in faulty:
            link.set_fault(LinkFault.NONE)

    async def _silence_open_connections(self) -> None:
        """Discard all data on open connections of some links; new connections work."""
        system = self._system
        links = self._rng.choice([system.store_links, system.worker_links])
        for name in self._rng.sample(sorted(links), self._rng.randint(1, len(links))):
            links[name].silence_open_connections()

    # -- the operator -----------------------------------------------------------------------

    async def _change_routes(self) -> None:
        """Change the configuration several times in quick succession."""
        for _ in range(self._rng.randint(1, MAX_CHANGES)):
            self._system.operator.change_spare_routes()
            await asyncio.sleep(self._rng.uniform(MIN_CHANGE_INTERVAL_S, MAX_CHANGE_INTERVAL_S))
