"""Guards against jobs that start to run after their end, which was acknowledged meanwhile.

The write that stored a job got no answer, so its owner read the owner entry and then the job. The
job was ended between the two reads. The end reached the owner while no runner existed, and had no
effect: "job-2: owned, 160 items" came after it, and nothing stopped the 128 items that followed.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.session import decode_owner
from hollowrack.coordination.store import (
    Committed,
    Condition,
    CoordinationStore,
    Listing,
    Put,
    StoredItem,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from hollowrack.jobs.job_log import OPEN_PREFIX
from hollowrack.jobs.types import Job
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import (
    CoordinationStoreStandin,
    StoreFaults,
)
from tests.jobs.helpers import Fleet, make_job
from tests.jobs.test_job_service import stop
from tests.platform.helpers import until

STARTUP_S = 1.0
CANCEL_S = 3.0
LONG_EVENTS = 500
GRACE_S = 8.0


class LateAnswers(CoordinationStoreStandin):
    """A node's client of the store; each answer, except those of watches, may be late or lost.

    Args:
        fleet: Decides which answers are late or lost.
        faults: Faults of the node's calls.
    """

    def __init__(self, fleet: "LateAnswersFleet", faults: StoreFaults) -> None:
        super().__init__(fleet.core, faults)
        self._fleet = fleet

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        found = await super().get(key)
        return found if await self._is_answered("get", key) else Unknown("lost")

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        listing = await super().list_prefix(prefix)
        return listing if await self._is_answered("list", prefix) else Unknown("lost")

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        outcome = await super().transact(conditions, puts, removes)
        key = next((put.key for put in puts if put.key.startswith(OPEN_PREFIX)), "")
        kind = "write" if isinstance(outcome, Committed) else "conflict"
        return outcome if await self._is_answered(kind, key) else Unknown("lost")

    async def _is_answered(self, kind: str, key: str) -> bool:
        is_lost = self._fleet.loses(kind, key)
        await asyncio.sleep(self._fleet.delay_s(kind, key))
        return not is_lost


class LateAnswersFleet(Fleet):
    """Nodes of which one gets late or lost answers from the store.

    Attributes:
        affected: Name of that node.
        delay_s: Returns the delay of the answer to a call, in seconds; its arguments are the kind
            of the call (``get``, ``list``, ``write`` or, without effect, ``conflict``) and its key.
        loses: Returns whether the answer to a call is lost; same arguments.
    """

    affected = "n0"

    def __init__(self, num_nodes: int = 3) -> None:
        self.delay_s: Callable[[str, str], float] = lambda kind, key: 0.0
        self.loses: Callable[[str, str], bool] = lambda kind, key: False
        super().__init__(num_nodes)
        self.back_ends.num_events = LONG_EVENTS

    def make_store(self, name: str, faults: StoreFaults) -> CoordinationStore:
        if name != self.affected:
            return super().make_store(name, faults)
        return LateAnswers(self, faults)

    def owner_in_store(self, job: Job) -> str | None:
        """Name of the node in the job's owner entry; ``None`` without an entry."""
        item = self.core.items.get(f"{OPEN_PREFIX}{job.id}")
        return None if item is None else decode_owner(item.value).partition("#")[0]

    def num_started(self) -> int:
        """Number of runs that workers have started."""
        return sum(self.back_ends.executions.values())

    async def check_nothing_starts(self, ended_s: float) -> None:
        """Check that nothing runs later than the time in which an end takes effect."""
        await asyncio.sleep(max(0.0, ended_s + CANCEL_S - now_s()))
        assert not sum(self.back_ends.running.values())
        num_started = self.num_started()
        await asyncio.sleep(20.0)
        assert self.num_started() == num_started


@pytest.mark.parametrize("ended_at", ["n0", "n1", "n2"])
def test_job_ended_before_the_answer_to_its_write_does_not_run(ended_at: str) -> None:
    """The caller sends the job again at another node, which finds it stored and acknowledges it."""

    async def main() -> None:
        fleet = LateAnswersFleet()
        await asyncio.sleep(STARTUP_S)
        job = make_job()
        fleet.delay_s = lambda kind, key: 0.9 if kind == "write" and key else 0.0
        first = asyncio.create_task(fleet.nodes["n0"].jobs.submit(job))
        await until(lambda: fleet.owner_in_store(job) == "n0")
        assert await fleet.nodes["n1"].jobs.submit(job) is None
        assert await fleet.nodes[ended_at].jobs.end(job.id) is None
        ended_s = now_s()
        await first
        await fleet.check_nothing_starts(ended_s)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("late_call", ["get", "list"])
def test_job_ended_between_reads_of_its_owner_does_not_run(late_call: str) -> None:
    """The answer to the write is lost; the owner reads its entry, then the job."""

    async def main() -> None:
        fleet = LateAnswersFleet()
        await asyncio.sleep(STARTUP_S)
        job = make_job()
        lost: list[str] = []

        def loses(kind: str, key: str) -> bool:
            # The write that stores the job, and the claim with which a takeover would start.
            is_lost = kind == "write" and bool(key) and len(lost) < 2
            if is_lost:
                lost.append(key)
            return is_lost

        fleet.loses = loses
        fleet.delay_s = lambda kind, key: 0.8 if kind == late_call else 0.0
        first = asyncio.create_task(fleet.nodes["n0"].jobs.submit(job))
        await until(lambda: fleet.owner_in_store(job) == "n0")
        assert await fleet.nodes["n1"].jobs.submit(job) is None
        await asyncio.sleep(0.4)
        assert await fleet.nodes["n2"].jobs.end(job.id) is None
        ended_s = now_s()
        await first
        await fleet.check_nothing_starts(ended_s)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("change", ["takeover", "handover", "restart"])
@pytest.mark.parametrize("late_call", ["write", "list"])
def test_job_ended_while_its_next_owner_loads_it_does_not_run(change: str, late_call: str) -> None:
    """Each way to a next owner: its session is lost, it is stopped, its process is replaced."""

    async def main() -> None:
        fleet = LateAnswersFleet(2)
        fleet.affected = "n1" if change != "restart" else "n0"
        for name in list(fleet.nodes):
            await fleet.kill(name)
            fleet.start(name)
        await asyncio.sleep(STARTUP_S)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(0.5)
        fleet.delay_s = lambda kind, key: 0.9 if kind == late_call else 0.0
        if change == "handover":
            await stop(fleet.nodes["n0"], GRACE_S)
            del fleet.nodes["n0"]
        else:
            await fleet.kill("n0")
        if change == "restart":
            fleet.start("n0")
        before = fleet.core.items[f"{OPEN_PREFIX}{job.id}"].revision
        await until(
            lambda: (
                (
                    fleet.owner_in_store(job) == fleet.affected
                    and (fleet.core.items[f"{OPEN_PREFIX}{job.id}"].revision > before)
                )
                or change == "handover"
            )
        )
        await asyncio.sleep(0.1)
        assert await fleet.nodes["n1"].jobs.end(job.id) is None
        await fleet.check_nothing_starts(now_s())
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    ("owner", "revision", "owner_revision", "is_run"),
    [
        ("n1#x", 7, 0, False),
        ("n1#x", 7, 6, False),
        # The cluster state lags behind the claim that replaced this entry.
        ("n1#x", 7, 7, True),
    ],
)
def test_job_given_to_another_owner_meanwhile_does_not_run(
    owner: str, revision: int, owner_revision: int, is_run: bool
) -> None:
    """Guards against two nodes that run a job after its owner was changed during the reads."""

    async def main() -> None:
        fleet = Fleet(2)
        await asyncio.sleep(STARTUP_S)
        job = make_job()
        node = fleet.nodes["n0"]
        key = f"{OPEN_PREFIX}{job.id}"
        node.live.apply_change(key, StoredItem(key, owner.encode(), revision, 0))
        node.jobs.run_job(job, [], owner_revision=owner_revision)
        assert node.jobs.owns(job.id) is is_run
        await fleet.stop()

    run_virtual(main())


# The last four seeds failed before the fix.
@pytest.mark.parametrize("seed", [*range(8), 1045, 1079, 1105, 1147])
def test_no_item_starts_long_after_the_end_of_its_job(seed: int) -> None:
    """Drawn delays and losses of the answers, and drawn moments of the end and of owner changes."""

    async def main() -> None:
        rng = random.Random(seed)
        fleet = LateAnswersFleet()
        await asyncio.sleep(STARTUP_S)
        job = make_job(num_items=8)
        is_faulty = True
        slow_s = rng.uniform(0.05, 0.9)
        loss = rng.choice([0.0, 0.3, 0.6])
        fleet.delay_s = lambda kind, key: rng.uniform(0.0, slow_s) if is_faulty else 0.0
        fleet.loses = lambda kind, key: is_faulty and bool(key) and rng.random() < loss
        first = asyncio.create_task(fleet.nodes["n0"].jobs.submit(job))
        await until(lambda: fleet.owner_in_store(job) is not None)
        assert await fleet.nodes["n1"].jobs.submit(job) is None
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        if rng.random() < 0.4:
            owner = fleet.owner_in_store(job)
            if owner is not None and owner != "n2":
                await fleet.kill(owner)
                fleet.start(owner)
                await asyncio.sleep(rng.uniform(0.0, 2.0))
        assert await fleet.nodes["n2"].jobs.end(job.id) is None
        ended_s = now_s()
        await asyncio.sleep(1.0)
        is_faulty = False
        await fleet.check_nothing_starts(ended_s)
        first.cancel()
        await fleet.stop()

    run_virtual(main())
