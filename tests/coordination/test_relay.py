"""Relayed store calls: a write is executed twice, or an outage is made worse by relaying."""

import asyncio
import random
from collections import Counter

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from starlette.applications import Starlette

from hollowrack.api.server import HttpServer
from hollowrack.clock import now_s
from hollowrack.coordination.relay import (
    LEASE_CALL_TIMEOUT_S,
    Absent,
    RelayedCall,
    RelayedGet,
    RelayedGrant,
    RelayedList,
    RelayedOutcome,
    RelayedRenewal,
    RelayedWatch,
    RelayedWrite,
    RelayingStore,
    make_relayed_call,
)
from hollowrack.coordination.relay_http import (
    ANSWER_TIMEOUT_S,
    RELAY_PATH,
    HttpRelayClient,
    relay_routes,
)
from hollowrack.coordination.store import (
    Changes,
    Committed,
    Condition,
    Conflict,
    GrantedLease,
    LeaseGone,
    Listing,
    NotDone,
    Put,
    StoredItem,
    Unknown,
)
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.jobs.helpers import Fleet, check_complete_results, make_job
from tests.jobs.test_job_service import read_all

OUTAGE_S = 9.0


class Peers:
    """Other nodes with their own access to the store; answers of some are lost."""

    def __init__(self, core: CoordinationStoreCore, faults: dict[str, StoreFaults]) -> None:
        self.num_calls = 0
        self.losing_answers: set[str] = set()
        self._core = core
        self._faults = faults

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        self.num_calls += 1
        await asyncio.sleep(0.001)
        outcome = await make_relayed_call(self._core.make_client(self._faults[address]), call)
        return Unknown("lost on the way") if address in self.losing_answers else outcome


FAULT_NAMES = st.sampled_from(["none", "refuses", "silent", "loses answers", "writes late"])


def _set_fault(faults: StoreFaults, name: str) -> None:
    faults.refuses = name == "refuses"
    faults.is_silent = name == "silent"
    faults.num_lost_answers = 1 if name == "loses answers" else 0
    faults.num_late_writes = 1 if name == "writes late" else 0


class WriteCountingStore(CoordinationStoreCore):
    """A store that counts the writes of each key."""

    def __init__(self) -> None:
        super().__init__()
        self.num_writes: Counter[str] = Counter()

    def _write(self, key: str, item: StoredItem | None) -> None:
        self.num_writes[key] += 1
        super()._write(key, item)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(FAULT_NAMES, FAULT_NAMES, FAULT_NAMES, st.booleans()), min_size=1, max_size=12
    )
)
def test_relayed_writes_are_never_executed_twice(
    steps: list[tuple[str, str, str, bool]],
) -> None:
    """Writes without conditions, so that a second execution is counted."""

    async def main() -> None:
        core = WriteCountingStore()
        direct_faults, faults = StoreFaults(), {"a": StoreFaults(), "b": StoreFaults()}
        peers = Peers(core, faults)
        store = RelayingStore(
            core.make_client(direct_faults), peers, lambda: ["a", "b"], random.Random(1)
        )
        outcomes: dict[str, object] = {}
        for number, (direct, first, second, loses_answers) in enumerate(steps):
            _set_fault(direct_faults, direct)
            _set_fault(faults["a"], first)
            _set_fault(faults["b"], second)
            peers.losing_answers = {"a"} if loses_answers else set()
            key = f"k{number}"
            outcomes[key] = await store.transact([], [Put(key, b"v")])
            await asyncio.sleep(0.3)
        await asyncio.sleep(5.0)
        for key, outcome in outcomes.items():
            if isinstance(outcome, Committed):
                assert core.num_writes[key] == 1
            elif isinstance(outcome, NotDone):
                assert core.num_writes[key] == 0
            else:
                assert isinstance(outcome, Unknown)
                assert core.num_writes[key] <= 1

    run_virtual(main())


def test_silent_outage_of_all_nodes_delays_renewals_by_timeouts_only() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = {name: StoreFaults(is_silent=True) for name in "abcd"}

        class PeersWithTimeout(Peers):
            async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
                try:
                    async with asyncio.timeout(ANSWER_TIMEOUT_S):
                        return await super().relay(address, call)
                except TimeoutError:
                    return Unknown("silent")

        silent = core.make_client(StoreFaults(is_silent=True))
        store = RelayingStore(
            silent, PeersWithTimeout(core, faults), lambda: list("abcd"), random.Random(1)
        )
        for _ in range(6):
            started_s = now_s()
            assert isinstance(await store.renew_lease(1), Unknown)
            assert now_s() - started_s <= LEASE_CALL_TIMEOUT_S + ANSWER_TIMEOUT_S + 0.01
            await asyncio.sleep(0.5)

    run_virtual(main())


def test_relayed_calls_keep_conditions_and_leases() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        peers = Peers(core, {"a": StoreFaults()})
        refused = core.make_client(StoreFaults(refuses=True))
        store = RelayingStore(refused, peers, lambda: ["a"], random.Random(1))
        assert isinstance(await store.transact([Condition("k")], [Put("k", b"1")]), Committed)
        again = await store.transact([Condition("k")], [Put("k", b"2")])
        assert isinstance(again, Conflict)
        assert again.current[0].value == b"1"
        assert await store.get("absent") is None
        assert isinstance(await store.renew_lease(77), LeaseGone)
        granted = await store.grant_lease(2.0)
        assert isinstance(granted, GrantedLease)
        assert isinstance(await store.renew_lease(granted.lease), GrantedLease)

    run_virtual(main())


def test_relaying_backs_off_during_outage_of_all_nodes() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        faults = {name: StoreFaults(refuses=True) for name in "abcd"}
        peers = Peers(core, faults)
        refused = core.make_client(StoreFaults(refuses=True))
        store = RelayingStore(refused, peers, lambda: list("abcd"), random.Random(1))
        for _ in range(200):
            assert isinstance(await store.get("k"), NotDone)
            await asyncio.sleep(0.05)
        # Ten seconds with a backoff of up to four seconds, and two nodes per attempt.
        assert peers.num_calls <= 16

    run_virtual(main())


@pytest.mark.parametrize("fault", ["refuses", "silent"])
def test_leader_without_store_access_keeps_leading_through_relays(fault: str) -> None:
    async def main() -> None:
        fleet = Fleet(5)
        fleet.relays = True
        await asyncio.sleep(6.0)
        (leader,) = [name for name, node in fleet.nodes.items() if node.leadership.is_leader]
        leadership = fleet.nodes[leader].leadership
        assert leadership.may_act
        _set_fault(fleet.faults[leader], fault)
        num_interruptions = 0
        for _ in range(int(OUTAGE_S / 0.05)):
            await asyncio.sleep(0.05)
            num_interruptions += not leadership.may_act
        assert num_interruptions == 0
        _set_fault(fleet.faults[leader], "none")
        await asyncio.sleep(3.0)
        assert leadership.may_act
        await fleet.stop()

    run_virtual(main())


def test_starting_node_without_store_access_relays_through_seeds() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        fleet.relays = True
        await asyncio.sleep(6.0)
        fleet.seeds = ("n0", "n1")
        node = fleet.start("late", StoreFaults(refuses=True))
        await asyncio.sleep(3.0)
        assert node.session.is_valid
        assert set(node.live.nodes) >= {node.owner}
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("fault", ["refuses", "silent"])
def test_job_owner_without_store_access_keeps_its_job(fault: str) -> None:
    async def main() -> None:
        fleet = Fleet(4)
        fleet.relays = True
        await asyncio.sleep(6.0)
        (owner,) = [name for name, node in fleet.nodes.items() if not node.leadership.is_leader][:1]
        fleet.back_ends.num_events = 300
        job = make_job()
        assert await fleet.nodes[owner].jobs.submit(job) is None
        await asyncio.sleep(0.1)
        _set_fault(fleet.faults[owner], fault)
        await asyncio.sleep(5.0)
        # The job is not taken over, although the lease would have expired by now.
        assert fleet.owners_of(job) == [owner]
        reader = next(name for name in fleet.nodes if name != owner)
        check_complete_results(job, await read_all(fleet, reader, job.id, len(job.items)), 300)
        assert max(fleet.back_ends.executions.values()) == 1
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    ("call", "expected"),
    [
        (RelayedGet("k"), StoredItem),
        (RelayedGet("none"), Absent),
        (RelayedList("k"), Listing),
        (RelayedWatch("k", 0, 0.0), Changes),
        (RelayedWrite((Condition("k"),), (Put("k", b"2"),), ()), Conflict),
        (RelayedWrite((), (Put("j", b"2"),), ("k",)), Committed),
        (RelayedGrant(2.0), GrantedLease),
        (RelayedRenewal(77), LeaseGone),
    ],
)
def test_calls_and_answers_round_trip_over_http(call: RelayedCall, expected: type) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        core.transact([], [Put("k", b"1")], [])
        server = HttpServer(
            Starlette(routes=relay_routes(core.make_client())), "127.0.0.1:0", "test", 10
        )
        await server.start()
        async with aiohttp.ClientSession() as session:
            outcome = await HttpRelayClient(session).relay(server.address, call)
            assert isinstance(outcome, expected)
            if not isinstance(call, RelayedGrant):
                assert await make_relayed_call(core.make_client(), call) == outcome or isinstance(
                    outcome, Committed
                )
            async with session.post(f"http://{server.address}{RELAY_PATH}", data=b"x") as answer:
                assert answer.status == 400
                assert "expected RelayedGet" in await answer.text()
        await server.abort()
        async with aiohttp.ClientSession() as session:
            unreachable = await HttpRelayClient(session).relay(server.address, call)
            assert isinstance(unreachable, NotDone)

    asyncio.run(main())
