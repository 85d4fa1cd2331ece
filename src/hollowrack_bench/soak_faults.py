"""The faults of a soak: signals, a failing store, failing workers, harmed links, changing routes.

They strike from outside the processes, in series that overlap, drawn from one seeded source.
"""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from absl import logging

from hollowrack_bench.edge_processes import EdgeProcesses
from hollowrack_bench.loopback_proxy import LinkFault, LoopbackProxy
from hollowrack_bench.soak_operator import SoakOperator
from hollowrack_bench.soak_worker_faults import WorkerFaults
from hollowrack_standins.duty_service import DutyServiceStandin
from hollowrack_standins.users_platform import (
    PlatformFaults,
    PlatformStoreStandin,
    PlatformWorkerStandin,
)

RETRY_INTERVAL_S = 0.5
MAX_BACKOFF_S = 3.0
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
NUM_WORKER_FAULTS = 8
MAX_LOST_ANSWERS = 4
REFUSED_STATUS = 503
# All at once, the store may be back before, while or after the processes are.
MAX_STORE_AWAY_S = 3.0
STORE_AWAY_SHARE = 0.5
MAX_CHANGES = 5
MIN_CHANGE_PAUSE_S = 0.02
MAX_CHANGE_PAUSE_S = 0.5
# What networks do. Answers that come twice are a fault of workers; on the way to a caller they
# would be the answers of its next requests, whatever the node had sent.
LINK_FAULTS = (
    LinkFault.DELAYED,
    LinkFault.RESET,
    LinkFault.SILENT,
    LinkFault.LOSSY,
    LinkFault.NO_REQUESTS,
    LinkFault.NO_ANSWERS,
)


class SoakFault(Enum):
    """What may strike; the values are the names on the command line."""

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


@dataclass
class SoakSystem:
    """What faults may strike.

    Attributes:
        processes: The nodes' processes.
        settings: Settings of each node.
        store: The platform's store.
        duties: The service that duties call.
        workers: The workers.
        operator: Changes the configuration.
        store_links: Each node's way to the store.
        client_links: Callers' way to each node.
        worker_links: All nodes' way to each worker.
        faulted_nodes: Nodes whose processes a fault has in its hands.
        problems: What went wrong with faults themselves, for the outcome.
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
    problems: list[str] = field(default_factory=list)


class FaultInjector:
    """Strikes with one fault after the other.

    Args:
        system: What is struck.
        kinds: Which faults; crashing requests come from callers and not from here.
        rng: Draws them, their times and their victims.

    Attributes:
        counts: How often each fault struck.
        workers: The faults that concern workers.
    """

    def __init__(self, system: SoakSystem, kinds: list[SoakFault], rng: random.Random) -> None:
        self.counts: Counter[str] = Counter()
        self._system = system
        self._kinds = kinds
        self._rng = rng
        self.workers = WorkerFaults(system.workers, system.store, rng, self._last)
        self._strikes: dict[SoakFault, Callable[[], Awaitable[None]]] = {
            SoakFault.KILL: lambda: self._end_for_a_while(signal.SIGKILL),
            SoakFault.STOP: lambda: self._end_for_a_while(signal.SIGTERM),
            SoakFault.FREEZE: self._freeze,
            SoakFault.KILL_ALL: self._kill_all,
            SoakFault.STORE_REFUSES: self._refuse,
            SoakFault.STORE_LOSES_ANSWERS: self._lose_answers,
            SoakFault.STORE_NONSENSE: self._talk_nonsense,
            SoakFault.STORE_FORGETS: self._forget,
            SoakFault.DUTY_LOSES_ANSWERS: self._lose_duty_answers,
            SoakFault.WORKER_FAILS: self._fail_worker,
            SoakFault.STORE_LINK: lambda: self._harm_some(system.store_links),
            SoakFault.WORKER_LINK: lambda: self._harm_some(
                system.worker_links, [*LINK_FAULTS, LinkFault.REPEATED]
            ),
            SoakFault.CLIENT_LINK: lambda: self._harm_some(system.client_links),
            SoakFault.ROUTES: self._change_routes,
            SoakFault.WORKER_RESTARTS: self.workers.restart,
            SoakFault.WORKER_SLOW: self.workers.slow_down,
            SoakFault.FOREIGN_ENTRIES: self.workers.write_foreign_entries,
            SoakFault.OPEN_CONNECTIONS: self._silence_open_connections,
        }

    async def run(self) -> None:
        """Strike until cancelled; several of these may run at once."""
        while True:
            await asyncio.sleep(self._rng.uniform(RETRY_INTERVAL_S, MAX_BACKOFF_S))
            kind = self._rng.choice(self._kinds)
            self.counts[kind.value] += 1
            logging.info("fault: %s", kind.value)
            await self._strikes[kind]()

    async def clear_faults(self) -> None:
        """End every fault that lasts; the loops must have been cancelled."""
        system = self._system
        system.store.faults = PlatformFaults()
        for links in (system.store_links, system.client_links, system.worker_links):
            for link in links.values():
                link.set_fault(LinkFault.NONE)
        ended = system.processes.exited_nodes()
        for name in sorted(system.faulted_nodes):
            if name in ended:
                self._start_again(name)
            else:
                system.processes.send_signal(name, signal.SIGCONT)
        await self.workers.clear_faults()

    async def _last(self, longest_s: float = MAX_FAULT_S) -> None:
        await asyncio.sleep(self._rng.uniform(MIN_FAULT_S, longest_s))

    # -- processes --------------------------------------------------------------------------

    def _take_node(self) -> str | None:
        """Choose a node that no other fault has in its hands, and take it."""
        system = self._system
        free = [name for name in system.settings if name not in system.faulted_nodes]
        if not free:
            return None
        name = self._rng.choice(free)
        system.faulted_nodes.add(name)
        return name

    async def _end_for_a_while(self, number: signal.Signals) -> None:
        name = self._take_node()
        if name is None:
            return
        await self._end(name, number)
        await self._last()
        self._start_again(name)

    async def _end(self, name: str, number: signal.Signals) -> None:
        # Until it has loaded its code a process handles no signals, and serves nobody either.
        has_started = self._system.processes.has_logged(name)
        status = await self._system.processes.stop_and_wait(name, number)
        if number is signal.SIGTERM and status != 0 and has_started:
            self._system.problems.append(f"{name}: exit status {status} after a planned stop")

    def _start_again(self, name: str) -> None:
        self._system.processes.start(name, self._system.settings[name])
        self._system.faulted_nodes.discard(name)

    async def _freeze(self) -> None:
        name = self._take_node()
        if name is None:
            return
        self._system.processes.send_signal(name, signal.SIGSTOP)
        await self._last()
        self._system.processes.send_signal(name, signal.SIGCONT)
        self._system.faulted_nodes.discard(name)

    async def _kill_all(self) -> None:
        """Kill all nodes at once, with the store away for a time that may end at any moment."""
        system = self._system
        names = [name for name in system.settings if name not in system.faulted_nodes]
        system.faulted_nodes.update(names)
        is_store_away = self._rng.random() < STORE_AWAY_SHARE
        if is_store_away:
            system.store.faults.status = REFUSED_STATUS
        # What starting nodes read of the store reaches each of them in another order.
        fault = self._rng.choice([LinkFault.DELAYED, LinkFault.LOSSY])
        harmed = self._rng.sample(names, (len(names) + 1) // 2)
        for name in harmed:
            system.store_links[name].set_fault(fault)
        await asyncio.gather(*(self._end(name, signal.SIGKILL) for name in names))
        returning = asyncio.create_task(self._let_store_return(is_store_away))
        for name in names:
            await asyncio.sleep(self._rng.uniform(0.0, MIN_FAULT_S))
            self._start_again(name)
        await returning
        await self._last()
        for name in harmed:
            system.store_links[name].set_fault(LinkFault.NONE)

    async def _let_store_return(self, is_away: bool) -> None:
        if is_away:
            await self._last(MAX_STORE_AWAY_S)
            self._system.store.faults.status = None

    # -- the store and the service for duties -----------------------------------------------

    async def _refuse(self) -> None:
        self._system.store.faults.status = REFUSED_STATUS
        await self._last()
        self._system.store.faults.status = None

    async def _lose_answers(self) -> None:
        self._system.store.faults.num_lost_answers = self._rng.randint(1, MAX_LOST_ANSWERS)

    async def _talk_nonsense(self) -> None:
        self._system.store.faults.answers_nonsense = True
        await asyncio.sleep(MIN_FAULT_S)
        self._system.store.faults.answers_nonsense = False

    async def _forget(self) -> None:
        self._system.store.core.compact()

    async def _lose_duty_answers(self) -> None:
        self._system.duties.core.faults.num_lost_answers = self._rng.randint(1, MAX_LOST_ANSWERS)

    # -- workers and links ------------------------------------------------------------------

    async def _fail_worker(self) -> None:
        switches = self._rng.choice(self._system.workers).faults
        switches.breaks_streams = self._rng.randint(0, NUM_WORKER_FAULTS)
        switches.num_short = self._rng.randint(0, NUM_WORKER_FAULTS)
        switches.num_errors = self._rng.randint(0, 1)

    async def _harm_some(
        self, links: dict[str, LoopbackProxy], faults: Sequence[LinkFault] = LINK_FAULTS
    ) -> None:
        """Harm some links in one way while the others work."""
        fault = self._rng.choice(faults)
        if not links:
            return
        chosen = self._rng.sample(sorted(links), self._rng.randint(1, max(1, len(links) // 2)))
        # A worker that ends meanwhile takes its link with it.
        harmed = [links[name] for name in chosen]
        for link in harmed:
            link.set_fault(fault)
        await self._last()
        for link in harmed:
            link.set_fault(LinkFault.NONE)

    async def _silence_open_connections(self) -> None:
        """Have all open connections of some links fall silent, while new ones work."""
        system = self._system
        links = self._rng.choice([system.store_links, system.worker_links])
        for name in self._rng.sample(sorted(links), self._rng.randint(1, len(links))):
            links[name].blackhole_open_connections()

    # -- the operator -----------------------------------------------------------------------

    async def _change_routes(self) -> None:
        """Change the configuration several times in quick succession."""
        for _ in range(self._rng.randint(1, MAX_CHANGES)):
            self._system.operator.change_spare_routes()
            await asyncio.sleep(self._rng.uniform(MIN_CHANGE_PAUSE_S, MAX_CHANGE_PAUSE_S))
