"""Fleet of nodes that records the calls to the store and the writes that it has applied."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from hollowrack.clock import now_s
from hollowrack.coordination.session import decode_owner, node_of_owner
from hollowrack.coordination.store import (
    Changes,
    Committed,
    Condition,
    CoordinationStore,
    HistoryGone,
    Listing,
    Put,
    Unavailable,
    WriteOutcome,
)
from hollowrack.jobs.job_log import OPEN_PREFIX, log_prefix
from hollowrack_standins.coordination_store import (
    CoordinationStoreCore,
    CoordinationStoreStandin,
    StoreFaults,
)
from tests.jobs.helpers import Fleet


@dataclass(frozen=True)
class Write:
    """A write that the store has applied.

    Attributes:
        node: Node whose client made it.
        puts: Keys that it wrote, with their values.
    """

    node: str
    puts: tuple[Put, ...]


class RecordingCore:
    """The store's content as accessed by one node; records the applied writes of that node."""

    def __init__(self, core: CoordinationStoreCore, node: str, writes: list[Write]) -> None:
        object.__setattr__(self, "_recorded", (core, node, writes))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._recorded[0], name)

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._recorded[0], name, value)

    def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str]
    ) -> WriteOutcome:
        core, node, writes = self._recorded
        outcome = core.transact(conditions, puts, removes)
        if isinstance(outcome, Committed):
            writes.append(Write(node, tuple(puts)))
        return outcome


class RecordingStore(CoordinationStoreStandin):
    """A node's client of the store that records its calls with their times and keys."""

    def __init__(self, fleet: "RecordingFleet", name: str, faults: StoreFaults) -> None:
        core: Any = RecordingCore(fleet.core, name, fleet.writes)
        super().__init__(core, faults)
        self._calls = fleet.calls
        self._name = name

    def _record(self, kind: str, keys: Sequence[str]) -> None:
        self._calls.append(f"{now_s():.6f} {self._name} {kind} {' '.join(keys)}")

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        self._record("list", [prefix])
        return await super().list_prefix(prefix)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        self._record("watch", [prefix])
        return await super().watch(prefix, after_revision, wait_s)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        self._record("write", [*(put.key for put in puts), *removes])
        return await super().transact(conditions, puts, removes)

    async def end_lease(self, lease: int) -> None:
        self._record("end", [str(lease)])
        await super().end_lease(lease)


class RecordingFleet(Fleet):
    """A fleet that records what reaches the store.

    Attributes:
        writes: All writes that the store has applied.
        calls: All calls with their times, nodes and keys; reads of single keys and renewals are
            left out.
    """

    def __init__(self, *arguments: Any, **settings: Any) -> None:
        self.writes: list[Write] = []
        self.calls: list[str] = []
        super().__init__(*arguments, **settings)

    def make_store(self, name: str, faults: StoreFaults) -> CoordinationStore:
        return RecordingStore(self, name, faults)

    def check_only_owners_list(self, job_id: str) -> None:
        """Check that only the node that owned a job at that time has listed results of it."""
        owner = ""
        for write in self.writes:
            for put in write.puts:
                if put.key == OPEN_PREFIX + job_id:
                    owner = node_of_owner(decode_owner(put.value))
                if put.key.startswith(log_prefix(job_id)):
                    assert write.node == owner, f"listed by {write.node}, owned by {owner}"
