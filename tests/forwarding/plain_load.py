"""Simulation of plain requests from several nodes to a few shared workers."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.forwarder import (
    CompleteAnswer,
    Forwarder,
    ForwardOutcome,
    ForwardRequest,
)
from hollowrack.forwarding.types import Route
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import (
    HOST,
    make_directory,
    make_meter,
    make_route,
    make_table,
    make_worker,
)

NUM_WORKERS = 4
NUM_SLOTS = 6
WORK_S = 0.025
TARGET_S = 0.15
TIMEOUT_S = 1.5
SCORER_BODY = b"scorer"
SCORER_FACTOR = 4.0
SCORER_TARGET_S = 0.4
LOOKUP = make_route(target_latency_s=TARGET_S, timeout_s=TIMEOUT_S, max_attempts=3)
# Like the calls of jobs: a single attempt per call.
SCORER = make_route(
    prefix="/score/", target_latency_s=SCORER_TARGET_S, timeout_s=TIMEOUT_S, max_attempts=1
)

# Start of the scenarios' changes, after the nodes have learned the latencies of the workers.
START_S = 5.0
CHANGE_S = 5.0

Change = Callable[["PlainLoad"], Awaitable[None]]


@dataclass
class CallerResults:
    """Latencies and failures of one kind of request, as its callers see them."""

    latencies_s: list[float] = field(default_factory=list)
    failures: list[ForwardOutcome] = field(default_factory=list)

    def quantile_s(self, fraction: float) -> float:
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    def fraction_over(self, seconds: float) -> float:
        late = sum(latency_s > seconds for latency_s in self.latencies_s) + len(self.failures)
        return late / max(1, len(self.latencies_s) + len(self.failures))


class PlainLoad:
    """Simulates nodes that share workers and do not see each other's requests."""

    def __init__(self, num_nodes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.back_ends = BackEndsStandin(
            {
                f"w{index}": WorkerBehaviour(work_s=WORK_S, num_slots=NUM_SLOTS)
                for index in range(NUM_WORKERS)
            },
            work_time_factors={SCORER_BODY: SCORER_FACTOR},
        )
        self.nodes = [self._make_node() for _ in range(num_nodes)]
        self.lookups = CallerResults()
        self.scorer_calls = CallerResults()
        self.answered_by: list[tuple[float, str]] = []
        self.scorer_queue_waits_s: list[float] = []
        self._num_sent = 0

    def _make_node(self) -> Forwarder:
        workers = [make_worker(f"w{index}", capacity=NUM_SLOTS) for index in range(NUM_WORKERS)]
        directory = make_directory(*workers)
        directory._rng.seed(self.rng.random())
        quarantine = Quarantine(self.back_ends)
        table = make_table(LOOKUP, SCORER)
        rng = random.Random(self.rng.random())
        return Forwarder(table, directory, self.back_ends, make_meter(), quarantine, rng)

    async def lookup(self) -> None:
        """Send a look-up through a random node."""
        await self._send(self.rng.choice(self.nodes), LOOKUP, b"lookup", self.lookups)

    async def scorer_call(self, node_number: int = 0) -> None:
        """Send a scorer call through one of the nodes."""
        node = self.nodes[node_number]
        requested_s = now_s()
        async with node.call_limiter.slot(SCORER):
            waited_s = now_s() - requested_s
            await self._send(node, SCORER, SCORER_BODY, self.scorer_calls)
        self.scorer_queue_waits_s.append(waited_s)

    async def _send(
        self, node: Forwarder, route: Route, body: bytes, results: CallerResults
    ) -> None:
        self._num_sent += 1
        target = f"{route.prefix}x"
        call = BackEndCall(f"q{self._num_sent}", "POST", target, (("Host", HOST),), body)
        sent_s = now_s()
        outcome = await node.forward(ForwardRequest(call, route, sent_s + TIMEOUT_S))
        if isinstance(outcome, CompleteAnswer) and outcome.status == 200:
            results.latencies_s.append(now_s() - sent_s)
            if results is self.lookups:
                self.answered_by.append((now_s(), outcome.body.decode().split()[-1]))
        else:
            results.failures.append(outcome)

    async def run(self, seconds: float, rate: float, changes: Sequence[Change] = ()) -> None:
        """Send look-ups at a mean rate per second while changes run; wait for all answers."""
        changing = [asyncio.create_task(_run_change(change, self)) for change in changes]
        async with asyncio.TaskGroup() as group:
            end_s = now_s() + seconds
            while now_s() < end_s:
                await asyncio.sleep(self.rng.expovariate(rate))
                group.create_task(self.lookup())
        await asyncio.gather(*changing)

    def fraction_at(self, worker_id: str, from_s: float, to_s: float) -> float:
        """Fraction of the look-ups answered in a time interval that one worker answered."""
        names = [name for at_s, name in self.answered_by if from_s <= at_s < to_s]
        return names.count(worker_id) / len(names)

    @property
    def attempts_per_request(self) -> float:
        """Mean number of attempts per request."""
        return sum(self.back_ends.executions.values()) / self._num_sent

    def report(self) -> str:
        """Summarize the results in one line."""
        results = self.lookups
        parts = [
            f"lookups {len(results.latencies_s)}+{len(results.failures)} failed",
            f"p50 {results.quantile_s(0.5) * 1000:.0f} ms",
            f"p99 {results.quantile_s(0.99) * 1000:.0f} ms",
            f"over target {100 * results.fraction_over(TARGET_S):.2f}%",
            f"attempts {self.attempts_per_request:.3f}",
            f"cut {self.back_ends.num_cancelled}",
        ]
        if self.scorer_calls.latencies_s:
            parts.append(f"scorer p99 {self.scorer_calls.quantile_s(0.99) * 1000:.0f} ms")
            parts.append(f"failed {len(self.scorer_calls.failures)}")
            parts.append(f"waited at most {max(self.scorer_queue_waits_s) * 1000:.0f} ms")
        return ", ".join(parts)


async def _run_change(change: Change, load: PlainLoad) -> None:
    await change(load)


async def one_slower(load: PlainLoad) -> None:
    """Make one worker 3.5 times slower for five seconds."""
    await asyncio.sleep(START_S)
    load.back_ends.behaviours["w1"].work_s = 3.5 * WORK_S
    await asyncio.sleep(CHANGE_S)
    load.back_ends.behaviours["w1"].work_s = WORK_S


async def two_much_slower(load: PlainLoad) -> None:
    """Make two workers 6 times slower for five seconds."""
    await asyncio.sleep(START_S)
    for name in ("w1", "w2"):
        load.back_ends.behaviours[name].work_s = 6.0 * WORK_S
    await asyncio.sleep(CHANGE_S)
    for name in ("w1", "w2"):
        load.back_ends.behaviours[name].work_s = WORK_S


async def changing_speeds(load: PlainLoad) -> None:
    """Change the speed of each worker every 0.1 s."""
    for _ in range(150):
        for behaviour in load.back_ends.behaviours.values():
            behaviour.work_s = WORK_S * load.rng.uniform(0.8, 3.0)
        await asyncio.sleep(0.1)


async def one_silent(load: PlainLoad) -> None:
    """Make one worker accept requests without answering for five seconds."""
    await asyncio.sleep(START_S)
    load.back_ends.behaviours["w1"].is_silent = True
    await asyncio.sleep(CHANGE_S)
    load.back_ends.behaviours["w1"].is_silent = False


async def scorer_bursts(load: PlainLoad) -> None:
    """Send 64 concurrent scorer calls from one node every second."""
    async with asyncio.TaskGroup() as group:
        for _ in range(12):
            await asyncio.sleep(1.0)
            for _ in range(64):
                group.create_task(load.scorer_call())


async def hot_burst(load: PlainLoad) -> None:
    """Increase the rate of look-ups tenfold for one second."""
    await asyncio.sleep(START_S)
    async with asyncio.TaskGroup() as group:
        for _ in range(800):
            await asyncio.sleep(1.0 / 800)
            group.create_task(load.lookup())


async def many_owners(load: PlainLoad) -> None:
    """Send 32 concurrent scorer calls from each of six nodes every second, at random offsets."""
    async with asyncio.TaskGroup() as group:
        for number in range(6):
            group.create_task(_send_bursts(load, number))


async def _send_bursts(load: PlainLoad, node_number: int) -> None:
    await asyncio.sleep(load.rng.random())
    async with asyncio.TaskGroup() as group:
        for _ in range(10):
            await asyncio.sleep(1.0)
            for _ in range(32):
                group.create_task(load.scorer_call(node_number))


async def overload(load: PlainLoad) -> None:
    """Send four times the throughput of the workers for 1.5 s."""
    await asyncio.sleep(START_S)
    num_requests = int(1.5 * 4 * NUM_WORKERS * NUM_SLOTS / WORK_S)
    async with asyncio.TaskGroup() as group:
        for _ in range(num_requests):
            await asyncio.sleep(1.5 / num_requests)
            group.create_task(load.lookup())
