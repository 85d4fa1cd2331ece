"""Guards against running workers that are out of use because their entries expired in an outage.

Also guards the opposite: a worker that has left must not receive requests after the drain time.
"""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.store import Put
from hollowrack.forwarding.back_end import BackEndCall, NotRunReason
from hollowrack.forwarding.forwarder import CompleteAnswer, ForwardOutcome, ForwardRequest
from hollowrack.forwarding.kept_workers import KEEP_S, KeepOutcome
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.coordination.change_fleet import KEY, ChangeFleet
from tests.platform.helpers import CONFIGURATION, HOST

STARTUP_S = 8.0
OUTAGE_S = 5.5
# Time of the outage after which the store removes the entries.
EXPIRY_S = 3.6
HEARTBEAT_S = 1.2
NUM_NODES = 5
WORKERS = ("w0", "w1")
LOAD_INTERVAL_S = 0.1
# Drain time of deployments in which some nodes hold no session and watch others.
OBSERVERS_DRAIN_S = 3.0
CONTACT_S = 4.0
# Schedules drawn by the suite; ``HOLLOWRACK_DRAIN_SCHEDULES`` draws more by hand.
NUM_DRAIN_SCHEDULES = int(os.environ.get("HOLLOWRACK_DRAIN_SCHEDULES", "8"))


def entry(state: str = "ready", born: int = 1000) -> bytes:
    return json.dumps(
        {
            "service": "svc",
            "address": "127.0.0.1:9000",
            "zone": "z1",
            "capacity": 64,
            "state": state,
            "born": born,
        }
    ).encode()


@dataclass(frozen=True)
class Sent:
    """A request that was answered by a worker."""

    at_s: float
    node: str
    worker_id: str


class ExpiryFleet(ChangeFleet):
    """Nodes with a steady load to workers, whose entries the test writes and removes."""

    def __init__(self, seed: int = 0, drain_s: float = OBSERVERS_DRAIN_S) -> None:
        super().__init__(NUM_NODES, seed, drain_s, CONTACT_S)
        self.write(*WORKERS)
        self.core.transact([], [Put(KEY, json.dumps(CONFIGURATION).encode())], [])
        self.sent: list[Sent] = []
        self.failed: list[tuple[float, str]] = []
        self._num_requests = 0
        self._load = asyncio.create_task(self._send_load())
        self._requests: set[asyncio.Task[None]] = set()

    def write(self, *worker_ids: str, state: str = "ready", born: int = 1000) -> None:
        puts = [Put(f"servers/{worker_id}", entry(state, born)) for worker_id in worker_ids]
        self.core.transact([], puts, [])

    def remove(self, *worker_ids: str) -> None:
        self.core.transact([], [], [f"servers/{worker_id}" for worker_id in worker_ids])

    async def _send_load(self) -> None:
        while True:
            await asyncio.sleep(LOAD_INTERVAL_S)
            for name in self.names():
                task = asyncio.create_task(self._send(name))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)

    async def _send(self, name: str) -> None:
        sent_s, outcome = now_s(), await self.send(name)
        if isinstance(outcome, CompleteAnswer):
            worker_id = outcome.body.decode().rpartition(" ")[2]
            self.sent.append(Sent(sent_s, name, worker_id))
        else:
            self.failed.append((sent_s, name))

    async def send(self, name: str) -> ForwardOutcome | None:
        node = self.nodes[name].node
        route = node.routes.lookup(HOST, "/plain/x")
        if route is None:
            return None
        self._num_requests += 1
        call = BackEndCall(f"q{self._num_requests}", "GET", "/plain/x", (("Host", HOST),), b"")
        return await node.forwarder.forward(ForwardRequest(call, route, None))

    def known(self) -> dict[str, set[str]]:
        """Return the workers in use by node."""
        return {
            name: {worker.id for worker in self.nodes[name].node.workers.serving("svc")}
            for name in self.names()
        }

    def check_used(self, *worker_ids: str) -> None:
        """Check that every node uses exactly these workers."""
        assert all(known == set(worker_ids) for known in self.known().values()), self.known()

    def num_kept(self, outcome: KeepOutcome) -> int:
        nodes = [self.nodes[name].node for name in self.names()]
        return sum(node.kept_workers.num_by_outcome[outcome] for node in nodes)

    async def outage(self, kind: str = "refuses", expired: tuple[str, ...] = WORKERS) -> None:
        """Let the store fail for all nodes; the entries of some workers expire meanwhile."""
        self.fail_store(self.names(), kind)
        await asyncio.sleep(EXPIRY_S)
        self.remove(*expired)
        await asyncio.sleep(OUTAGE_S - EXPIRY_S)
        self.restore_store()

    async def stop(self) -> None:
        self._load.cancel()
        await asyncio.gather(*self._requests)
        await super().stop()


def run(scenario: Callable[[ExpiryFleet], Awaitable[None]], **values: float) -> None:
    async def main() -> None:
        fleet = ExpiryFleet(**values)  # type: ignore[arg-type]
        await asyncio.sleep(STARTUP_S)
        fleet.failed.clear()
        fleet.check_used(*WORKERS)
        await scenario(fleet)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("kind", ["refuses", "silent"])
@pytest.mark.parametrize("drain_s", [2.0, 3.0])
@pytest.mark.parametrize("seed", range(3))
def test_requests_go_on_until_expired_entries_are_written_again(
    kind: str, drain_s: float, seed: int
) -> None:
    async def scenario(fleet: ExpiryFleet) -> None:
        await fleet.outage(kind)
        await asyncio.sleep(HEARTBEAT_S / 2)
        fleet.write(*WORKERS)
        await asyncio.sleep(5.0)
        assert fleet.failed == []
        assert fleet.num_kept(KeepOutcome.RETURNED)
        fleet.check_used(*WORKERS)

    run(scenario, seed=seed, drain_s=drain_s)


def test_worker_that_is_gone_is_removed_two_seconds_after_the_return() -> None:
    async def scenario(fleet: ExpiryFleet) -> None:
        await fleet.outage("refuses", ("w0",))
        returned_s = now_s()
        await asyncio.sleep(4.0)
        fleet.check_used("w1")
        assert fleet.num_kept(KeepOutcome.EXPIRED)
        # Nodes learn of the return at most 1.7 s late, through other nodes.
        latest_s = max(sent.at_s for sent in fleet.sent if sent.worker_id == "w0")
        assert returned_s < latest_s < returned_s + 1.7 + KEEP_S
        assert fleet.failed == []

    run(scenario)


@pytest.mark.parametrize("reason", [NotRunReason.UNREACHABLE, NotRunReason.REPLACED])
def test_worker_that_is_not_at_its_address_is_removed_at_once(reason: NotRunReason) -> None:
    """It refuses connections, or another worker answers 421 to the identity in the request."""

    async def scenario(fleet: ExpiryFleet) -> None:
        fleet.fail_store(fleet.names(), "refuses")
        await asyncio.sleep(EXPIRY_S)
        fleet.remove("w0")
        await asyncio.sleep(1.5)
        fleet.restore_store()
        await asyncio.sleep(1.0)
        num_kept = sum(node.node.kept_workers.num_kept for node in fleet.nodes.values())
        assert num_kept
        fleet.back_ends.behaviours["w0"] = WorkerBehaviour(refusal=reason)
        await asyncio.sleep(0.5)
        assert fleet.num_kept(KeepOutcome.UNREACHABLE) == num_kept
        fleet.check_used("w1")
        assert fleet.failed == []

    run(scenario)


def test_removal_without_an_interruption_takes_effect_at_once() -> None:
    async def scenario(fleet: ExpiryFleet) -> None:
        fleet.remove("w0")
        await asyncio.sleep(1.0)
        fleet.check_used("w1")
        assert not any(node.node.kept_workers.num_by_outcome for node in fleet.nodes.values())

    run(scenario)


def test_draining_and_restarted_workers_are_handled_as_without_an_outage() -> None:
    async def scenario(fleet: ExpiryFleet) -> None:
        fleet.write("w0", state="draining")
        await asyncio.sleep(1.0)
        await fleet.outage()
        await asyncio.sleep(0.6)
        assert not any("w0" in known for known in fleet.known().values())
        fleet.write("w1", born=500)
        await asyncio.sleep(1.0)
        fleet.check_used("w1")
        for node in fleet.nodes.values():
            worker = node.node.workers.get("w1")
            assert worker is not None
            assert worker.started_ms == 500

    run(scenario)


def test_node_started_during_the_outage_keeps_no_worker() -> None:
    async def scenario(fleet: ExpiryFleet) -> None:
        fleet.fail_store(fleet.names(), "refuses")
        await asyncio.sleep(1.0)
        fleet.start("new")
        fleet.fail_store(["new"], "refuses")
        await asyncio.sleep(EXPIRY_S - 1.0)
        fleet.remove(*WORKERS)
        await asyncio.sleep(OUTAGE_S - EXPIRY_S)
        fleet.restore_store()
        await asyncio.sleep(1.0)
        assert fleet.known().pop("new") == set()

    run(scenario)


@dataclass
class Removal:
    """A removal or draining entry that a stable store acknowledged.

    Attributes:
        until_s: When the worker was written as ready again; infinite if it never was.
    """

    at_s: float
    worker_id: str
    until_s: float = float("inf")


async def run_drain_schedule(seed: int) -> tuple[int, list[Sent]]:
    """Run drawn outages, partitions of nodes and removals under load.

    Returns:
        The number of workers that were kept, and the requests of connected nodes that were sent
        more than the drain time after a removal that a stable store acknowledged.
    """
    rng = random.Random(seed)
    drain_s = rng.choice([2.0, 3.0])
    fleet = ExpiryFleet(seed, drain_s)
    await asyncio.sleep(STARTUP_S)
    removals: list[Removal] = []
    disturbed: dict[str, list[tuple[float, float]]] = {name: [] for name in fleet.names()}
    end_s = now_s() + 25.0
    while now_s() < end_s:
        is_partition = rng.random() < 0.5
        names = fleet.names()
        victims = rng.sample(names, rng.randint(1, 4)) if is_partition else names
        from_s = now_s()
        fleet.fail_store(victims, rng.choice(["refuses", "silent"]))
        length_s = rng.uniform(0.2, 6.0)
        change_s = rng.uniform(0.0, length_s + 2.0)
        worker_id = rng.choice(WORKERS)

        def change(
            worker_id: str = worker_id,
            is_partition: bool = is_partition,
            stable_from_s: float = from_s + length_s,
        ) -> None:
            if rng.random() < 0.2:
                fleet.write(worker_id, state="draining")
            else:
                fleet.remove(worker_id)
            if is_partition or now_s() >= stable_from_s:
                removals.append(Removal(now_s(), worker_id))

        asyncio.get_running_loop().call_later(change_s, change)
        await asyncio.sleep(length_s)
        fleet.restore_store()
        for name in victims:
            disturbed[name].append((from_s, now_s()))
        await asyncio.sleep(rng.uniform(2.0, 8.0))
        for worker in WORKERS:
            for removal in removals:
                if removal.worker_id == worker and removal.until_s == float("inf"):
                    removal.until_s = now_s()
        fleet.write(*WORKERS)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
    num_kept = sum(sum(n.node.kept_workers.num_by_outcome.values()) for n in fleet.nodes.values())
    late = [
        sent
        for sent in fleet.sent
        if _is_connected(disturbed[sent.node], sent.at_s)
        and any(
            sent.worker_id == removal.worker_id
            and removal.at_s + drain_s < sent.at_s < removal.until_s
            for removal in removals
        )
    ]
    await fleet.stop()
    return num_kept, late


def _is_connected(disturbed: list[tuple[float, float]], at_s: float) -> bool:
    """Whether a node has been connected for ``CONTACT_S``."""
    return not any(from_s <= at_s and at_s - CONTACT_S < to_s for from_s, to_s in disturbed)


def test_no_request_reaches_a_removed_worker_after_the_drain_time() -> None:
    """Drawn schedules; a worker that is kept without a limit breaks some of them."""

    async def main() -> None:
        num_kept = 0
        for seed in range(NUM_DRAIN_SCHEDULES):
            kept, late = await run_drain_schedule(seed)
            num_kept += kept
            assert late == [], seed
        assert num_kept

    run_virtual(main())
