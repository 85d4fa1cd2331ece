"""Rolling restart of a fleet in virtual time, beside other faults; measures the owners of jobs.

Run as a module it prints the figures of some seeds:
``python -m tests.jobs.restart_fleet SCENARIO FIRST_SEED NUM_SEEDS``.
"""

import asyncio
import random
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

from hollowrack.clock import now_s
from hollowrack.coordination.session import decode_owner, node_of_owner
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.job_log import OPEN_PREFIX, job_id_of
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from hollowrack_standins.coordination_store import (
    StoreFaults,
)
from tests.jobs.helpers import make_job
from tests.jobs.recording_fleet import RecordingFleet

NUM_NODES = 71
NUM_RESTARTED = 24
ZONES = ("z1", "z2", "z3")
SIZES = (0.516, 1.07, 2.15)
GRACE_S = 8.0
STOP_INTERVAL_S = 1.1
NUM_STOPPED_TOGETHER = 4
START_DELAY_S = 0.8
OUTAGE_S = 5.5
NUM_TRAINERS = 4
JOB_INTERVAL_S = 4.0
SETTLE_TIME_S = 20.0
SAMPLE_INTERVAL_S = 0.02
# A result takes 14.4 s, longer than two drains: a job may need several handovers.
NUM_EVENTS = 120
EVENT_S = 0.12
NUM_ITEMS = 12
MODELS = tuple(f"m{trainer}" for trainer in range(NUM_TRAINERS))
WEIGHTS = dict.fromkeys(MODELS, 1)
ADDRESS = "127.0.0.1:1"
ALONE, OUTAGE, KILLED_LEADER = "alone", "store outage", "killed leader"
SCENARIOS = (ALONE, OUTAGE, KILLED_LEADER)


class RestartFleet(RecordingFleet):
    """A fleet whose nodes have several sizes and zones, and are restarted.

    Attributes:
        is_store_down: Whether the store refuses all calls.
        owners: Owners of each job, in order.
        unowned_s: Time for which an open job was not run by the owner in its entry, by job.
    """

    def __init__(self, **settings: Any) -> None:
        self.is_store_down = False
        self.owners: dict[str, list[str]] = {}
        self.unowned_s: defaultdict[str, float] = defaultdict(float)
        self.longest_unowned_s: defaultdict[str, float] = defaultdict(float)
        self._unowned_since_s: dict[str, float] = {}
        super().__init__(0, uses_preferred_owner=True, shares_changes=True, **settings)

    def start(
        self, name: str, faults: StoreFaults | None = None, is_configured: bool = True
    ) -> EdgeNode:
        faults = faults or StoreFaults(refuses=self.is_store_down)
        node = super().start(name, faults, is_configured)
        for service in ("engines", "scorers"):
            for index, zone in enumerate(ZONES):
                worker_id = f"{service[0]}{index}"
                worker = Worker(worker_id, service, ADDRESS, zone, 200, False, WEIGHTS)
                node.worker_changed(worker)
                self.back_ends.behaviours[worker_id] = WorkerBehaviour(work_s=EVENT_S)
        return node

    def fail_store(self, is_down: bool) -> None:
        """Make the store refuse all calls of all nodes, or answer them again."""
        self.is_store_down = is_down
        for faults in self.faults.values():
            faults.refuses = is_down

    async def restart(self, name: str) -> None:
        """Stop a node gracefully and start it again."""
        node = self.nodes[name]
        await node.begin_stop(GRACE_S)
        await node.complete_stop()
        if self.nodes.get(name) is node:
            del self.nodes[name]
            await asyncio.sleep(START_DELAY_S)
            self.start(name)

    def sample(self) -> None:
        """Record which open jobs their owner runs."""
        now = now_s()
        is_open = set()
        for key, item in self.core.items.items():
            if not key.startswith(OPEN_PREFIX):
                continue
            job_id = job_id_of(key, OPEN_PREFIX)
            is_open.add(job_id)
            owner = decode_owner(item.value)
            if self.owners.setdefault(job_id, [owner])[-1] != owner:
                self.owners[job_id].append(owner)
            node = self.nodes.get(node_of_owner(owner))
            if node is not None and node.owner == owner and node.jobs.owns(job_id):
                self._unowned_since_s.pop(job_id, None)
                continue
            self.unowned_s[job_id] += SAMPLE_INTERVAL_S
            since_s = self._unowned_since_s.setdefault(job_id, now)
            longest_s = max(self.longest_unowned_s[job_id], now - since_s)
            self.longest_unowned_s[job_id] = longest_s
        for job_id in self._unowned_since_s.keys() - is_open:
            del self._unowned_since_s[job_id]

    async def keep_sampling(self) -> None:
        """Sample periodically until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def submit_jobs(self, trainer: int, rng: random.Random) -> None:
        """Submit jobs of one trainer periodically until cancelled."""
        zone = ZONES[trainer % len(ZONES)]
        await asyncio.sleep(rng.uniform(0.0, JOB_INTERVAL_S))
        for number in range(1000):
            due_s = now_s() + JOB_INTERVAL_S
            job = replace(make_job(f"t{trainer}-{number}", NUM_ITEMS), model="m", host="h.example")
            while True:
                ready = [
                    name
                    for name, node in self.nodes.items()
                    if node.is_ready and self.zones[name] == zone
                ]
                if ready and await self.nodes[rng.choice(ready)].jobs.submit(job) is None:
                    break
                await asyncio.sleep(0.3)
            await asyncio.sleep(max(0.0, due_s - now_s()))


@dataclass
class Figures:
    """What runs measured, of all jobs submitted from shortly before the restart until after it.

    Attributes:
        owner_changes: Number of owner changes of each job.
        unowned_s: Seconds for which no owner ran each job.
        longest_s: Longest single time of that kind, in seconds.
        num_unfinished: Jobs that are open a while after the last one was submitted.
    """

    owner_changes: list[int] = field(default_factory=list)
    unowned_s: list[float] = field(default_factory=list)
    longest_s: float = 0.0
    num_unfinished: int = 0

    def add(self, other: "Figures") -> None:
        """Add the figures of another run."""
        self.owner_changes += other.owner_changes
        self.unowned_s += other.unowned_s
        self.longest_s = max(self.longest_s, other.longest_s)
        self.num_unfinished += other.num_unfinished

    def __str__(self) -> str:
        changes = Counter(self.owner_changes)
        num_jobs = len(self.owner_changes)
        return (
            f"{num_jobs} jobs, owner changes {dict(sorted(changes.items()))} "
            f"(sum {sum(self.owner_changes)}), without owner "
            f"{sum(self.unowned_s):.1f} s in total, longest {self.longest_s:.2f} s, "
            f"{sum(seconds > 2.0 for seconds in self.unowned_s)} jobs over 2 s, "
            f"{self.num_unfinished} unfinished"
        )


async def play(seed: int, scenario: str) -> Figures:
    """Play one rolling restart and return what was measured."""
    rng = random.Random(f"{seed}")
    fleet = RestartFleet()
    names = [f"n{index:02}" for index in range(NUM_NODES)]
    fleet.zones = {name: ZONES[index % len(ZONES)] for index, name in enumerate(names)}
    fleet.core_sizes = {name: SIZES[rng.randrange(len(SIZES))] for name in names}
    fleet.back_ends.num_events = NUM_EVENTS
    for name in names:
        fleet.start(name)
    await asyncio.sleep(SETTLE_TIME_S)
    tasks = [asyncio.create_task(fleet.keep_sampling())]
    tasks += [
        asyncio.create_task(fleet.submit_jobs(index, random.Random(f"{seed} {index}")))
        for index in range(NUM_TRAINERS)
    ]
    await asyncio.sleep(2 * JOB_INTERVAL_S)
    fault_at_s = rng.uniform(0.5, 6.0)
    faults = asyncio.create_task(cause_fault(fleet, scenario, fault_at_s))
    # The nodes that own jobs are among the restarted ones.
    hosts = [name for name in names if fleet.nodes[name].session.is_valid]
    others = rng.sample([name for name in names if name not in hosts], NUM_RESTARTED - len(hosts))
    restarted = rng.sample([*hosts, *others], NUM_RESTARTED)
    restarts = []
    for start in range(0, NUM_RESTARTED, NUM_STOPPED_TOGETHER):
        for name in restarted[start : start + NUM_STOPPED_TOGETHER]:
            if name in fleet.nodes:
                restarts.append(asyncio.create_task(fleet.restart(name)))
        await asyncio.sleep(STOP_INTERVAL_S)
    await asyncio.gather(faults, *restarts)
    await asyncio.sleep(4.0)
    for task in tasks[1:]:
        task.cancel()
    await asyncio.sleep(25.0)
    tasks[0].cancel()
    figures = Figures(num_unfinished=sum(key.startswith(OPEN_PREFIX) for key in fleet.core.items))
    for job_id, owners in fleet.owners.items():
        figures.owner_changes.append(len(owners) - 1)
        figures.unowned_s.append(fleet.unowned_s[job_id])
        figures.longest_s = max(figures.longest_s, fleet.longest_unowned_s[job_id])
    await fleet.stop()
    return figures


async def cause_fault(fleet: RestartFleet, scenario: str, at_s: float) -> None:
    """Cause the fault of a scenario some time after the first stop."""
    await asyncio.sleep(at_s)
    if scenario == OUTAGE:
        fleet.fail_store(True)
        await asyncio.sleep(OUTAGE_S)
        fleet.fail_store(False)
    elif scenario == KILLED_LEADER:
        leaders = [name for name, node in fleet.nodes.items() if node.leadership.is_leader]
        for name in leaders[:1]:
            await fleet.kill(name)
            await asyncio.sleep(START_DELAY_S)
            fleet.start(name)


def main(arguments: list[str]) -> None:
    """Print the figures of some seeds."""
    scenario, first, count = arguments[0], int(arguments[1]), int(arguments[2])
    total = Figures()
    for seed in range(first, first + count):
        figures = run_virtual(play(seed, scenario))
        print(f"{scenario}, seed {seed}: {figures}", flush=True)
        total.add(figures)
    print(f"{scenario}, all: {total}")


if __name__ == "__main__":
    main(sys.argv[1:])
