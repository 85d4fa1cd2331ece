"""Calls to the store by way of another node, for a node that the store does not serve.

A relayed call is the same call: the same conditions, the same lease, and an outcome that is as
certain as a direct one. What may not be sent twice is not: a write without an answer stays
unknown, whichever way it went. The node that relays asks the store directly and never passes a
call on, so no call goes in a circle.

When the store fails everybody, relaying finds nothing better: each such attempt doubles the pause
before the next.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from absl import logging

from hollowrack.backoff import Backoff
from hollowrack.clock import now_s
from hollowrack.coordination.store import (
    Changes,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    GrantedLease,
    HistoryGone,
    LeaseGone,
    Listing,
    NotDone,
    Put,
    StoredItem,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from hollowrack.messages.codec import message

# After a direct call failed, reads go by way of other nodes first for this long, then one of them
# finds out; a cut from the store lasts some seconds.
FIRST_RELAY_PERIOD_S = 1.0
MAX_RELAY_PERIOD_S = 4.0
# Leases last 2 s: what keeps or opens one is not waited for longer than this before it goes by way
# of another node. A slow store answers in a quarter of a second.
LEASE_CALL_TIMEOUT_S = 0.5
# Nodes that refuse say so at once; one that is silent ends the attempt.
MAX_NODES_ASKED = 2
# After relaying found nothing better, for every call or for one node.
FIRST_RELAY_PAUSE_S = 0.5
MAX_RELAY_PAUSE_S = 4.0
NODE_RETRY_INTERVAL_S = 2.0


@message("store.get")
@dataclass(frozen=True)
class RelayedGet:
    """Read one key."""

    key: str


@message("store.list")
@dataclass(frozen=True)
class RelayedList:
    """Read all keys below a prefix."""

    prefix: str


@message("store.watch")
@dataclass(frozen=True)
class RelayedWatch:
    """Wait at most ``wait_s`` seconds for changes below a prefix."""

    prefix: str
    after_revision: int
    wait_s: float


@message("store.write")
@dataclass(frozen=True)
class RelayedWrite:
    """Do all writes if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]
    removes: tuple[str, ...]


@message("store.grant")
@dataclass(frozen=True)
class RelayedGrant:
    """Open a lease."""

    ttl_s: float


@message("store.renew")
@dataclass(frozen=True)
class RelayedRenewal:
    """Renew a lease."""

    lease: int


@message("store.absent")
@dataclass(frozen=True)
class Absent:
    """A key that was read does not exist."""


RelayedCall = RelayedGet | RelayedList | RelayedWatch | RelayedWrite | RelayedGrant | RelayedRenewal
RelayedOutcome = (
    StoredItem
    | Absent
    | Listing
    | Changes
    | HistoryGone
    | Committed
    | Conflict
    | GrantedLease
    | LeaseGone
    | NotDone
    | Unknown
)


class RelayClient(Protocol):
    """Sends calls to other nodes."""

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Have a node make a call.

        Returns:
            What the store said. ``NotDone`` if the node was not reached, ``Unknown`` if it was and
            gave no answer.
        """


async def make_relayed_call(store: CoordinationStore, call: RelayedCall) -> RelayedOutcome:
    """Make another node's call at the store.

    Args:
        store: Direct access to the store.
        call: The call.
    """
    match call:
        case RelayedGet(key):
            return await store.get(key) or Absent()
        case RelayedList(prefix):
            return await store.list_prefix(prefix)
        case RelayedWatch(prefix, after_revision, wait_s):
            return await store.watch(prefix, after_revision, wait_s)
        case RelayedWrite(conditions, puts, removes):
            return await store.transact(conditions, puts, removes)
        case RelayedGrant(ttl_s):
            return await store.grant_lease(ttl_s)
        case RelayedRenewal(lease):
            return await store.renew_lease(lease)


class RelayingStore:
    """The store, reached by way of other nodes while it does not serve this one.

    Args:
        store: Direct access to the store.
        client: Sends calls to other nodes.
        nodes: Returns the addresses of nodes that may relay, in the order of preference.
        rng: Source of the jitter.

    Attributes:
        direct_failure_listeners: Called when direct calls begin to fail and others may relay them.
    """

    def __init__(
        self,
        store: CoordinationStore,
        client: RelayClient,
        nodes: Callable[[], Sequence[str]],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._client = client
        self._nodes = nodes
        self._direct_calls_fail = False
        self._relays_first_until_s = -float("inf")
        self._relay_periods = Backoff(FIRST_RELAY_PERIOD_S, MAX_RELAY_PERIOD_S, rng)
        self._relays_from_s = -float("inf")
        self._node_from_s: dict[str, float] = {}
        self._attempts = Backoff(FIRST_RELAY_PAUSE_S, MAX_RELAY_PAUSE_S, rng)
        self.direct_failure_listeners: list[Callable[[], None]] = []

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key."""

        async def ask_directly() -> RelayedOutcome:
            return await self._store.get(key) or Absent()

        answer = await self._read(ask_directly, RelayedGet(key))
        if isinstance(answer, Absent):
            return None
        if isinstance(answer, StoredItem | NotDone | Unknown):
            return answer
        return _of_another_kind(answer)

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix."""
        answer = await self._read(lambda: self._store.list_prefix(prefix), RelayedList(prefix))
        if isinstance(answer, Listing | NotDone | Unknown):
            return answer
        return _of_another_kind(answer)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait for changes below a prefix."""
        answer = await self._read(
            lambda: self._store.watch(prefix, after_revision, wait_s),
            RelayedWatch(prefix, after_revision, wait_s),
        )
        if isinstance(answer, Changes | HistoryGone | NotDone | Unknown):
            return answer
        return _of_another_kind(answer)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        """Do all writes if all conditions hold; one without an answer is not sent again."""
        call = RelayedWrite(tuple(conditions), tuple(puts), tuple(removes))
        answer: RelayedOutcome = NotDone("not tried")
        # Reads find out whether the store serves this node again.
        if self._direct_calls_fail and self._may_relay():
            answer = await self._relay(call)
        if isinstance(answer, NotDone):
            answer = await self._store.transact(conditions, puts, removes)
            self._note_direct(answer)
            if isinstance(answer, NotDone) and self._may_relay():
                answer = await self._relay(call)
        if isinstance(answer, Committed | Conflict | LeaseGone | NotDone | Unknown):
            return answer
        return _of_another_kind(answer)

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Open a lease; one that nobody hears of ends by itself."""
        answer = await self._read(
            lambda: self._with_patience(self._store.grant_lease(ttl_s)), RelayedGrant(ttl_s)
        )
        if isinstance(answer, GrantedLease | NotDone | Unknown):
            return answer
        return _of_another_kind(answer)

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease, by way of another node if the store does not answer soon."""
        answer = await self._read(
            lambda: self._with_patience(self._store.renew_lease(lease)), RelayedRenewal(lease)
        )
        if isinstance(answer, GrantedLease | LeaseGone | NotDone | Unknown):
            return answer
        return _of_another_kind(answer)

    async def end_lease(self, lease: int) -> None:
        """End a lease; one that the store does not hear of ends by itself."""
        await self._store.end_lease(lease)

    async def _with_patience(self, call: Awaitable[RelayedOutcome]) -> RelayedOutcome:
        """Make a direct call, for a short time only if other nodes are known."""
        if not self._nodes():
            return await call
        try:
            async with asyncio.timeout(LEASE_CALL_TIMEOUT_S):
                return await call
        except TimeoutError:
            return Unknown("no answer in time")

    async def _read(
        self, ask_directly: Callable[[], Awaitable[RelayedOutcome]], call: RelayedCall
    ) -> RelayedOutcome:
        """Make a call that may be made twice, directly or by way of another node."""
        if now_s() < self._relays_first_until_s and self._may_relay():
            answer = await self._relay(call)
            if not isinstance(answer, NotDone | Unknown):
                return answer
        answer = await ask_directly()
        self._note_direct(answer)
        if isinstance(answer, NotDone | Unknown) and self._may_relay():
            answer = await self._relay(call)
        return answer

    def _may_relay(self) -> bool:
        return now_s() >= self._relays_from_s and bool(self._nodes_to_ask())

    def _nodes_to_ask(self) -> list[str]:
        now = now_s()
        trusted = [node for node in self._nodes() if now >= self._node_from_s.get(node, 0.0)]
        return trusted[:MAX_NODES_ASKED]

    def _note_direct(self, answer: RelayedOutcome) -> None:
        """Learn from a direct call whether the store serves this node."""
        did_fail = self._direct_calls_fail
        self._direct_calls_fail = isinstance(answer, NotDone | Unknown)
        if not self._direct_calls_fail:
            self._relay_periods.reset()
            return
        self._relays_first_until_s = now_s() + self._relay_periods.next_delay_s()
        if not did_fail and self._may_relay():
            for listener in self.direct_failure_listeners:
                listener()

    async def _relay(self, call: RelayedCall) -> RelayedOutcome:
        """Make a call by way of another node; it ends at the first that may have made it."""
        answer: RelayedOutcome = NotDone("no node relays")
        for address in self._nodes_to_ask():
            answer = await self._client.relay(address, call)
            if not isinstance(answer, NotDone | Unknown):
                self._attempts.reset()
                return answer
            self._node_from_s[address] = now_s() + NODE_RETRY_INTERVAL_S
            if isinstance(answer, Unknown):
                break
        pause_s = self._attempts.next_delay_s()
        self._relays_from_s = now_s() + pause_s
        logging.info(
            "call to the store: not by way of other nodes either (%s), next after %.1f s",
            answer,
            pause_s,
        )
        return answer


def _of_another_kind(answer: RelayedOutcome) -> Unknown:
    """A node that answers with something else is faulty: whether it made the call is unknown."""
    logging.error("a relayed call was answered by a %s", type(answer).__name__)
    return Unknown("an answer of another kind")
