"""Guards against lost, unbounded or unshared state of suspects and quarantined requests."""

import asyncio
import random

import pytest

from hollowrack.coordination.store import ABSENT_REVISION, Put
from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.jobs.live_state import SUSPECTS_PREFIX
from hollowrack.messages import codec
from hollowrack.quarantine import registry as registry_module
from hollowrack.quarantine.registry import (
    MAX_SUSPECTS,
    QUARANTINE_CRASH_THRESHOLD,
    QUARANTINE_DURATION_S,
    SuspectRegistry,
)
from hollowrack.quarantine.replicator import SuspectReplicator
from hollowrack.quarantine.types import SuspectRecord
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.quarantine.helpers import CRASHING, CrashingFleet, is_success


class Leader:
    """Leadership of a node that leads."""

    is_leader = True


def quarantine_request(
    registry: SuspectRegistry, fingerprint: str, is_retried_here: bool = False
) -> None:
    for number in range(QUARANTINE_CRASH_THRESHOLD):
        registry.record_crash(
            fingerprint, WorkerIncarnation(f"{fingerprint}.w{number}"), is_retried_here
        )


def make_replicator(core: CoordinationStoreCore, faults: StoreFaults) -> SuspectReplicator:
    registry = SuspectRegistry()
    leadership: object = Leader()
    return SuspectReplicator(
        SUSPECTS_PREFIX,
        core.make_client(faults),
        registry,
        leadership,  # type: ignore[arg-type]
        random.Random(1),
    )


def test_three_crashes_quarantine_and_a_success_clears() -> None:
    async def main() -> None:
        registry = SuspectRegistry()
        registry.record_crash("f", WorkerIncarnation("w1"), False)
        registry.record_crash("f", WorkerIncarnation("w1"), False)
        registry.record_crash("f", WorkerIncarnation("w2"), False)
        assert registry.quarantine_state("f") is None
        registry.update_from_record("f", SuspectRecord(("w2", "w3")).crashes(), 5)
        state = registry.quarantine_state("f")
        assert state is not None
        assert state.num_crashes == 3
        waiting = asyncio.create_task(registry.wait_until_lifted("f"))
        await asyncio.sleep(1.0)
        assert not waiting.done()
        registry.record_success("f")
        await asyncio.wait_for(waiting, 1.0)
        assert [(change.crashes, change.revision) for change in registry.pending_changes()] == [
            ({}, 5)
        ]

    run_virtual(main())


def test_quarantine_expires_and_crashes_are_counted_again() -> None:
    async def main() -> None:
        registry = SuspectRegistry()
        quarantine_request(registry, "f")
        registry.update_from_record("f", SuspectRecord(("f.w0",)).crashes(), 5)
        await asyncio.sleep(QUARANTINE_DURATION_S - 1.0)
        assert registry.quarantine_state("f") is not None
        await asyncio.sleep(2.0)
        assert registry.quarantine_state("f") is None
        assert [change.revision for change in registry.expired_records()] == [5]
        quarantine_request(registry, "f")
        assert registry.quarantine_state("f") is not None

    run_virtual(main())


def test_number_of_suspects_is_bounded_and_quarantined_ones_are_not_evicted() -> None:
    async def main() -> None:
        registry = SuspectRegistry()
        quarantine_request(registry, "quarantined")
        for number in range(100_000):
            registry.record_success(f"harmless {number}")
        for number in range(3 * MAX_SUSPECTS):
            registry.record_crash(f"other {number}", WorkerIncarnation("w1"), False)
        assert registry.num_suspects <= MAX_SUSPECTS
        assert registry.quarantine_state("quarantined") is not None
        assert len(registry._last_success_s) <= registry_module.MAX_RECENT_SUCCESSES

    run_virtual(main())


@pytest.mark.parametrize(
    ("num_crashes", "is_abandoned", "num_changes"), [(1, False, 0), (1, True, 1), (2, False, 1)]
)
def test_retried_request_is_shared_when_abandoned_or_after_two_crashes(
    num_crashes: int, is_abandoned: bool, num_changes: int
) -> None:
    async def main() -> None:
        registry = SuspectRegistry()
        for number in range(num_crashes):
            registry.record_crash("f", WorkerIncarnation(f"w{number}"), is_retried_here=True)
        if is_abandoned:
            registry.record_abandoned("f")
        assert len(registry.pending_changes()) == num_changes

    run_virtual(main())


def test_crashes_during_a_store_outage_are_written_later_and_merged() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = StoreFaults(is_silent=True)
        replicator = make_replicator(core, faults)
        replicator.start()
        replicator._registry.record_crash("f", WorkerIncarnation("w1"), False)
        await asyncio.sleep(5.0)
        record = codec.encode(SuspectRecord(("w2", "w3")))
        core.transact([], [Put(f"{SUSPECTS_PREFIX}f", record)], [])
        faults.is_silent = False
        await asyncio.sleep(5.0)
        item = core.items[f"{SUSPECTS_PREFIX}f"]
        assert codec.decode(item.value).unwrap() == SuspectRecord(("w1", "w2", "w3"))
        assert replicator._registry.quarantine_state("f") is not None
        await asyncio.sleep(QUARANTINE_DURATION_S + 120.0)
        assert f"{SUSPECTS_PREFIX}f" not in core.items
        await replicator.stop()

    run_virtual(main())


def test_unreadable_record_is_ignored() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        replicator = make_replicator(core, StoreFaults())
        core.transact([], [Put(f"{SUSPECTS_PREFIX}f", b"nonsense")], [])
        assert replicator.apply_change(f"{SUSPECTS_PREFIX}f", core.items[f"{SUSPECTS_PREFIX}f"])
        assert replicator._registry.num_suspects == 0
        assert not replicator.apply_change("other", None)
        assert all(
            change.revision == ABSENT_REVISION for change in replicator._registry.pending_changes()
        )

    run_virtual(main())


def test_removing_the_record_lifts_a_quarantine() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(3.0)
        await fleet.send_repeatedly(CRASHING, 5.0, 0.5)
        await asyncio.sleep(5.0)
        fleet.back_ends.crashing_bodies.clear()
        assert not is_success((await fleet.send("n0", CRASHING)).outcome)
        (key,) = (key for key in fleet.core.items if key.startswith(SUSPECTS_PREFIX))
        fleet.core.transact([], [], [key])
        await asyncio.sleep(2.0)
        attempts = [await fleet.send(node, CRASHING) for node in fleet.nodes]
        assert all(is_success(attempt.outcome) for attempt in attempts)
        await fleet.stop()

    run_virtual(main())
