"""What a node remembers of crashing requests: how many, for how long, and what others are told."""

import asyncio
import random

import pytest

from hollowrack.coordination.store import ABSENT_REVISION, Put
from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.jobs.live_state import SUSPECTS_PREFIX
from hollowrack.messages import codec
from hollowrack.quarantine import registry as register_module
from hollowrack.quarantine.registry import (
    MAX_SUSPECTS,
    QUARANTINE_CRASH_THRESHOLD,
    QUARANTINE_S,
    SuspectRegistry,
)
from hollowrack.quarantine.replicator import SuspectReplicator
from hollowrack.quarantine.types import SuspectRecord
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.quarantine.helpers import CRASHING, CrashingFleet, is_good


class Role:
    """Whether the node leads."""

    is_leader = True


def condemn(register: SuspectRegistry, fingerprint: str, goes_on: bool = False) -> None:
    for number in range(QUARANTINE_CRASH_THRESHOLD):
        register.record_crash(fingerprint, WorkerIncarnation(f"{fingerprint}.w{number}"), goes_on)


def make_sharing(core: CoordinationStoreCore, faults: StoreFaults) -> SuspectReplicator:
    register = SuspectRegistry()
    role: object = Role()
    return SuspectReplicator(
        SUSPECTS_PREFIX,
        core.view(faults),
        register,
        role,  # type: ignore[arg-type]
        random.Random(1),
    )


def test_three_workers_condemn_and_an_answer_clears() -> None:
    async def main() -> None:
        register = SuspectRegistry()
        register.record_crash("f", WorkerIncarnation("w1"), False)
        register.record_crash("f", WorkerIncarnation("w1"), False)
        register.record_crash("f", WorkerIncarnation("w2"), False)
        assert register.quarantine_state("f") is None
        register.update_from_record("f", ("w2", "w3"), 5)
        verdict = register.quarantine_state("f")
        assert verdict is not None
        assert verdict.num_crashes == 3
        waiting = asyncio.create_task(register.wait_until_lifted("f"))
        await asyncio.sleep(1.0)
        assert not waiting.done()
        register.record_success("f")
        await asyncio.wait_for(waiting, 1.0)
        assert [(one.ended_workers, one.revision) for one in register.changes()] == [
            (frozenset(), 5)
        ]

    run_virtual(main())


def test_a_quarantine_ends_and_ends_of_workers_count_anew() -> None:
    async def main() -> None:
        register = SuspectRegistry()
        condemn(register, "f")
        register.update_from_record("f", ("f.w0",), 5)
        await asyncio.sleep(QUARANTINE_S - 1.0)
        assert register.quarantine_state("f") is not None
        await asyncio.sleep(2.0)
        assert register.quarantine_state("f") is None
        assert [one.revision for one in register.overdue()] == [5]
        condemn(register, "f")
        assert register.quarantine_state("f") is not None

    run_virtual(main())


def test_a_flood_of_suspects_is_bounded_and_spares_the_quarantined() -> None:
    async def main() -> None:
        register = SuspectRegistry()
        condemn(register, "guilty")
        for number in range(100_000):
            register.record_success(f"sound {number}")
        for number in range(3 * MAX_SUSPECTS):
            register.record_crash(f"other {number}", WorkerIncarnation("w1"), False)
        assert register.num_suspects <= MAX_SUSPECTS
        assert register.quarantine_state("guilty") is not None
        assert len(register._good_s) <= register_module.MAX_RECENT_SUCCESSES

    run_virtual(main())


@pytest.mark.parametrize(
    ("num_ends", "is_left", "is_told"), [(1, False, 0), (1, True, 1), (2, False, 1)]
)
def test_a_first_end_under_a_run_that_goes_on_is_told_when_it_is_left(
    num_ends: int, is_left: bool, is_told: int
) -> None:
    async def main() -> None:
        register = SuspectRegistry()
        for number in range(num_ends):
            register.record_crash("f", WorkerIncarnation(f"w{number}"), is_retried_here=True)
        if is_left:
            register.record_abandoned("f")
        assert len(register.changes()) == is_told

    run_virtual(main())


def test_what_is_seen_while_the_store_is_away_is_told_later_and_joined() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = StoreFaults(is_silent=True)
        sharing = make_sharing(core, faults)
        sharing.start()
        sharing._register.record_crash("f", WorkerIncarnation("w1"), False)
        await asyncio.sleep(5.0)
        record = codec.encode(SuspectRecord(("w2", "w3")))
        core.transact([], [Put(f"{SUSPECTS_PREFIX}f", record)], [])
        faults.is_silent = False
        await asyncio.sleep(5.0)
        item = core.items[f"{SUSPECTS_PREFIX}f"]
        assert codec.decode(item.value).unwrap() == SuspectRecord(("w1", "w2", "w3"))
        assert sharing._register.quarantine_state("f") is not None
        await asyncio.sleep(QUARANTINE_S + 120.0)
        assert f"{SUSPECTS_PREFIX}f" not in core.items
        await sharing.stop()

    run_virtual(main())


def test_a_record_that_is_none_is_left_out() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        sharing = make_sharing(core, StoreFaults())
        core.transact([], [Put(f"{SUSPECTS_PREFIX}f", b"nonsense")], [])
        assert sharing.apply_change(f"{SUSPECTS_PREFIX}f", core.items[f"{SUSPECTS_PREFIX}f"])
        assert sharing._register.num_suspects == 0
        assert not sharing.apply_change("other", None)
        assert all(one.revision == ABSENT_REVISION for one in sharing._register.changes())

    run_virtual(main())


def test_an_operator_lifts_a_quarantine_by_removing_its_record() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(3.0)
        await fleet.send_again_and_again(CRASHING, 5.0, 0.5)
        await asyncio.sleep(5.0)
        fleet.back_ends.crashing_bodies.clear()
        assert not is_good((await fleet.send("n0", CRASHING)).outcome)
        (key,) = (key for key in fleet.core.items if key.startswith(SUSPECTS_PREFIX))
        fleet.core.transact([], [], [key])
        await asyncio.sleep(2.0)
        tries = [await fleet.send(node, CRASHING) for node in fleet.nodes]
        assert all(is_good(one.outcome) for one in tries)
        await fleet.stop()

    run_virtual(main())
