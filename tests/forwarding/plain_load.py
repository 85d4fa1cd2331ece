"""A load of plain requests: some nodes, a few shared workers with slots, and what callers see."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.forwarder import Forwarder, ForwardOutcome, ForwardRequest, WholeAnswer
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
TIME_S = 1.5
SCORER_BODY = b"scorer"
SCORER_FACTOR = 4.0
SCORER_TARGET_S = 0.4
LOOKUP = make_route(target_latency_s=TARGET_S, timeout_s=TIME_S, max_attempts=3)
# As calls of jobs are made: one worker a call.
SCORER = make_route(
    prefix="/score/", target_latency_s=SCORER_TARGET_S, timeout_s=TIME_S, max_attempts=1
)

# By then nodes know the answer times of their workers.
START_S = 5.0
CHANGE_S = 5.0

Change = Callable[["PlainLoad"], Awaitable[None]]


@dataclass
class Seen:
    """What callers of one kind of request have seen."""

    times_s: list[float] = field(default_factory=list)
    failures: list[ForwardOutcome] = field(default_factory=list)

    def quantile_s(self, share: float) -> float:
        ordered = sorted(self.times_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def share_over(self, seconds: float) -> float:
        late = sum(time_s > seconds for time_s in self.times_s) + len(self.failures)
        return late / max(1, len(self.times_s) + len(self.failures))


class PlainLoad:
    """Nodes that each see only their own requests, and the workers that they share."""

    def __init__(self, num_nodes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.back_ends = BackEndsStandin(
            {
                f"w{index}": WorkerBehaviour(work_s=WORK_S, num_slots=NUM_SLOTS)
                for index in range(NUM_WORKERS)
            },
            work_factors={SCORER_BODY: SCORER_FACTOR},
        )
        self.nodes = [self._make_node() for _ in range(num_nodes)]
        self.lookups = Seen()
        self.scorer_calls = Seen()
        self.answered_by: list[tuple[float, str]] = []
        self.scorer_waits_s: list[float] = []
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
        """One look-up at a random node."""
        await self._send(self.rng.choice(self.nodes), LOOKUP, b"lookup", self.lookups)

    async def scorer_call(self, node_number: int = 0) -> None:
        """One scorer call, from one of the nodes."""
        node = self.nodes[node_number]
        asked_s = now_s()
        async with node.call_limiter.slot(SCORER):
            waited_s = now_s() - asked_s
            await self._send(node, SCORER, SCORER_BODY, self.scorer_calls)
        self.scorer_waits_s.append(waited_s)

    async def _send(self, node: Forwarder, route: Route, body: bytes, seen: Seen) -> None:
        self._num_sent += 1
        target = f"{route.prefix}x"
        call = BackEndCall(f"q{self._num_sent}", "POST", target, (("Host", HOST),), body)
        sent_s = now_s()
        outcome = await node.forward(ForwardRequest(call, route, sent_s + TIME_S))
        if isinstance(outcome, WholeAnswer) and outcome.status == 200:
            seen.times_s.append(now_s() - sent_s)
            if seen is self.lookups:
                self.answered_by.append((now_s(), outcome.body.decode().split()[-1]))
        else:
            seen.failures.append(outcome)

    async def run(self, seconds: float, rate: float, changes: Sequence[Change] = ()) -> None:
        """Look up so often a second, with changes beside, until all is answered."""
        changing = [asyncio.create_task(_run_change(change, self)) for change in changes]
        async with asyncio.TaskGroup() as group:
            end_s = now_s() + seconds
            while now_s() < end_s:
                await asyncio.sleep(self.rng.expovariate(rate))
                group.create_task(self.lookup())
        await asyncio.gather(*changing)

    def share_at(self, worker_id: str, from_s: float, to_s: float) -> float:
        """Share of the look-ups answered in a span of time that one worker answered."""
        names = [name for at_s, name in self.answered_by if from_s <= at_s < to_s]
        return names.count(worker_id) / len(names)

    @property
    def attempts_per_request(self) -> float:
        """How often a request ran, in the mean."""
        return sum(self.back_ends.executions.values()) / self._num_sent

    def report(self) -> str:
        """One line of figures."""
        seen = self.lookups
        parts = [
            f"lookups {len(seen.times_s)}+{len(seen.failures)} failed",
            f"p50 {seen.quantile_s(0.5) * 1000:.0f} ms",
            f"p99 {seen.quantile_s(0.99) * 1000:.0f} ms",
            f"over target {100 * seen.share_over(TARGET_S):.2f}%",
            f"attempts {self.attempts_per_request:.3f}",
            f"cut {self.back_ends.num_cut}",
        ]
        if self.scorer_calls.times_s:
            parts.append(f"scorer p99 {self.scorer_calls.quantile_s(0.99) * 1000:.0f} ms")
            parts.append(f"failed {len(self.scorer_calls.failures)}")
            parts.append(f"waited at most {max(self.scorer_waits_s) * 1000:.0f} ms")
        return ", ".join(parts)


async def _run_change(change: Change, load: PlainLoad) -> None:
    await change(load)


async def one_slower(load: PlainLoad) -> None:
    """One worker is 3.5 times slower for five seconds."""
    await asyncio.sleep(START_S)
    load.back_ends.behaviours["w1"].work_s = 3.5 * WORK_S
    await asyncio.sleep(CHANGE_S)
    load.back_ends.behaviours["w1"].work_s = WORK_S


async def two_much_slower(load: PlainLoad) -> None:
    """Two workers are 6 times slower for five seconds."""
    await asyncio.sleep(START_S)
    for name in ("w1", "w2"):
        load.back_ends.behaviours[name].work_s = 6.0 * WORK_S
    await asyncio.sleep(CHANGE_S)
    for name in ("w1", "w2"):
        load.back_ends.behaviours[name].work_s = WORK_S


async def changing_speeds(load: PlainLoad) -> None:
    """Each worker's speed changes each tenth of a second."""
    for _ in range(150):
        for behaviour in load.back_ends.behaviours.values():
            behaviour.work_s = WORK_S * load.rng.uniform(0.8, 3.0)
        await asyncio.sleep(0.1)


async def one_silent(load: PlainLoad) -> None:
    """One worker takes requests and never answers, for five seconds."""
    await asyncio.sleep(START_S)
    load.back_ends.behaviours["w1"].is_silent = True
    await asyncio.sleep(CHANGE_S)
    load.back_ends.behaviours["w1"].is_silent = False


async def scorer_bursts(load: PlainLoad) -> None:
    """64 scorer calls at once from one node, each second."""
    async with asyncio.TaskGroup() as group:
        for _ in range(12):
            await asyncio.sleep(1.0)
            for _ in range(64):
                group.create_task(load.scorer_call())


async def hot_burst(load: PlainLoad) -> None:
    """Ten times as many look-ups as usual for a second."""
    await asyncio.sleep(START_S)
    async with asyncio.TaskGroup() as group:
        for _ in range(800):
            await asyncio.sleep(1.0 / 800)
            group.create_task(load.lookup())


async def many_owners(load: PlainLoad) -> None:
    """32 scorer calls at once from each of six nodes, each second and not all together."""
    async with asyncio.TaskGroup() as group:
        for number in range(6):
            group.create_task(_bursts_of(load, number))


async def _bursts_of(load: PlainLoad, node_number: int) -> None:
    await asyncio.sleep(load.rng.random())
    async with asyncio.TaskGroup() as group:
        for _ in range(10):
            await asyncio.sleep(1.0)
            for _ in range(32):
                group.create_task(load.scorer_call(node_number))


async def overload(load: PlainLoad) -> None:
    """Four times what the workers can do, for a second and a half."""
    await asyncio.sleep(START_S)
    num_requests = int(1.5 * 4 * NUM_WORKERS * NUM_SLOTS / WORK_S)
    async with asyncio.TaskGroup() as group:
        for _ in range(num_requests):
            await asyncio.sleep(1.5 / num_requests)
            group.create_task(load.lookup())
