"""Relaying of store calls through other nodes, for a node that cannot reach the store.

A relayed call has the same conditions, the same lease and the same guarantees as a direct one. A
write without an answer is never sent again: its outcome is unknown, whether it was direct or
relayed. The relaying node calls the store directly and never forwards a call, so there are no
loops.

If the store is down for all nodes, relaying fails as well; the backoff then doubles with each
attempt.
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

# Time after a failed direct call for which reads are relayed first; then one read probes the store.
# A partition from the store lasts some seconds.
FIRST_RELAY_PERIOD_S = 1.0
MAX_RELAY_PERIOD_S = 4.0
# Leaves time to relay a renewal within the lease's 2 s; a slow store answers within 0.25 s.
LEASE_CALL_TIMEOUT_S = 0.5
# Nodes that reject a call answer at once; a node that does not answer ends the attempt.
MAX_NODES_ASKED = 2
# Backoff of relaying after a failed attempt.
INITIAL_RELAY_BACKOFF_S = 0.5
MAX_RELAY_BACKOFF_S = 4.0
# Time for which a node that failed to relay is not asked again.
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
    """Apply all writes if all conditions hold."""

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
    """Sends store calls to other nodes."""

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Execute a call through the node at an address.

        Returns:
            The store's answer; ``NotDone`` if the node could not be reached, ``Unknown`` if it was
            reached but did not answer.
        """


class RelayRestriction(Protocol):
    """Decides which nodes may relay calls, by the keys that the calls name."""

    def unresolved_key(self, call: RelayedCall) -> str | None:
        """Return a key to read before a call may be relayed; ``None`` if nothing is missing."""

    def resolve(self, item: StoredItem) -> None:
        """Process the value of such a key; an absent one sets no restriction."""

    def permits(self, call: RelayedCall, address: str) -> bool:
        """Whether the node at an address may relay a call, as far as known."""

    def record_withheld(self, call: RelayedCall) -> None:
        """Record that nodes are reachable but none of them may relay a call."""


async def make_relayed_call(store: CoordinationStore, call: RelayedCall) -> RelayedOutcome:
    """Execute another node's call.

    Args:
        store: Direct access to the store.
        call: The call to execute.
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
    """A store whose calls are relayed through other nodes while direct calls fail.

    Args:
        store: Direct access to the store.
        client: Sends calls to other nodes.
        nodes: Returns the addresses of nodes that may relay, in order of preference.
        rng: Source of the jitter.

    Attributes:
        direct_failure_listeners: Called when direct calls begin to fail and relaying is possible.
        direct_answer_listeners: Called with the time of each answer to a direct call.
        direct_call_failure_listeners: Called for each direct call that failed, with the time at
            which it was sent, and whether it was refused or could not be sent.
        restriction: Decides which nodes may relay calls; ``None`` if all may relay all calls.
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
        self._relay_first_until_s = -float("inf")
        self._relay_first_backoff = Backoff(FIRST_RELAY_PERIOD_S, MAX_RELAY_PERIOD_S, rng)
        self._retry_relay_from_s = -float("inf")
        self._retry_node_from_s: dict[str, float] = {}
        self._relay_backoff = Backoff(INITIAL_RELAY_BACKOFF_S, MAX_RELAY_BACKOFF_S, rng)
        self.direct_failure_listeners: list[Callable[[], None]] = []
        self.direct_answer_listeners: list[Callable[[float], None]] = []
        self.direct_call_failure_listeners: list[Callable[[float, bool], None]] = []
        self.restriction: RelayRestriction | None = None

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key."""

        async def call_directly() -> RelayedOutcome:
            return await self._store.get(key) or Absent()

        answer = await self._read(call_directly, RelayedGet(key))
        if isinstance(answer, Absent):
            return None
        if isinstance(answer, StoredItem | NotDone | Unknown):
            return answer
        return _unexpected_answer(answer)

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix."""
        answer = await self._read(lambda: self._store.list_prefix(prefix), RelayedList(prefix))
        if isinstance(answer, Listing | NotDone | Unknown):
            return answer
        return _unexpected_answer(answer)

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
        return _unexpected_answer(answer)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        """Apply all writes if all conditions hold; a call without an answer is not sent again."""
        call = RelayedWrite(tuple(conditions), tuple(puts), tuple(removes))
        answer: RelayedOutcome = NotDone("not tried")
        # Only reads probe whether direct calls work again.
        if self._direct_calls_fail and self._may_relay(call):
            answer = await self._relay(call)
        if isinstance(answer, NotDone):
            sent_s = now_s()
            answer = await self._store.transact(conditions, puts, removes)
            self._record_direct(answer, sent_s)
            if isinstance(answer, NotDone) and self._may_relay(call):
                answer = await self._relay(call)
        if isinstance(answer, Committed | Conflict | LeaseGone | NotDone | Unknown):
            return answer
        return _unexpected_answer(answer)

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Open a lease; one whose grant is lost on the way expires."""
        answer = await self._read(
            lambda: self._with_timeout(self._store.grant_lease(ttl_s)), RelayedGrant(ttl_s)
        )
        if isinstance(answer, GrantedLease | NotDone | Unknown):
            return answer
        return _unexpected_answer(answer)

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease, through another node if the store does not answer in time."""
        answer = await self._read(
            lambda: self._with_timeout(self._store.renew_lease(lease)), RelayedRenewal(lease)
        )
        if isinstance(answer, GrantedLease | LeaseGone | NotDone | Unknown):
            return answer
        return _unexpected_answer(answer)

    async def end_lease(self, lease: int) -> None:
        """End a lease; if the call fails, the lease expires."""
        await self._store.end_lease(lease)

    async def _with_timeout(self, call: Awaitable[RelayedOutcome]) -> RelayedOutcome:
        """Make a direct call, with a short timeout if other nodes could relay it."""
        if not self._nodes():
            return await call
        try:
            async with asyncio.timeout(LEASE_CALL_TIMEOUT_S):
                return await call
        except TimeoutError:
            return Unknown("no answer in time")

    async def _read(
        self, call_directly: Callable[[], Awaitable[RelayedOutcome]], call: RelayedCall
    ) -> RelayedOutcome:
        """Make an idempotent call, directly or through another node."""
        if now_s() < self._relay_first_until_s and self._may_relay(call):
            answer = await self._relay(call)
            if not isinstance(answer, NotDone | Unknown):
                return answer
        sent_s = now_s()
        answer = await call_directly()
        self._record_direct(answer, sent_s)
        if isinstance(answer, NotDone | Unknown) and self._may_relay(call):
            answer = await self._relay(call)
        return answer

    def has_failed(self, address: str, within_s: float) -> bool:
        """Whether a node failed to relay a call within the last ``within_s`` seconds."""
        failed_s = self._retry_node_from_s.get(address, -float("inf")) - NODE_RETRY_INTERVAL_S
        return now_s() - failed_s < within_s

    def _may_relay(self, call: RelayedCall | None = None) -> bool:
        """Whether relaying may succeed: of a call, or of any call if none is given."""
        return now_s() >= self._retry_relay_from_s and bool(self._nodes_to_ask(call))

    def _nodes_to_ask(self, call: RelayedCall | None = None) -> list[str]:
        now = now_s()
        candidates = [
            node for node in self._nodes() if now >= self._retry_node_from_s.get(node, 0.0)
        ]
        restriction = self.restriction
        if call is not None and restriction is not None and candidates:
            candidates = [node for node in candidates if restriction.permits(call, node)]
            if not candidates:
                restriction.record_withheld(call)
        return candidates[:MAX_NODES_ASKED]

    def _record_direct(self, answer: RelayedOutcome, sent_s: float) -> None:
        """Update the relaying state from the outcome of a direct call."""
        failed_before = self._direct_calls_fail
        self._direct_calls_fail = isinstance(answer, NotDone | Unknown)
        if not self._direct_calls_fail:
            self._relay_first_backoff.reset()
            for answer_listener in self.direct_answer_listeners:
                answer_listener(now_s())
            return
        for failure_listener in self.direct_call_failure_listeners:
            failure_listener(sent_s, isinstance(answer, NotDone))
        self._relay_first_until_s = now_s() + self._relay_first_backoff.next_delay_s()
        if not failed_before and self._may_relay():
            for listener in self.direct_failure_listeners:
                listener()

    async def _relay(self, call: RelayedCall) -> RelayedOutcome:
        """Relay a call through nodes that may receive it."""
        restriction = self.restriction
        key = None if restriction is None else restriction.unresolved_key(call)
        if restriction is not None and key is not None:
            item = await self._relay_permitted(RelayedGet(key))
            if isinstance(item, StoredItem):
                restriction.resolve(item)
            elif not isinstance(item, Absent):
                return NotDone("the nodes that may relay the call could not be determined")
        return await self._relay_permitted(call)

    async def _relay_permitted(self, call: RelayedCall) -> RelayedOutcome:
        """Relay a call; stops at the first node that may have executed it."""
        answer: RelayedOutcome = NotDone("no node relays")
        addresses = self._nodes_to_ask(call)
        if not addresses:
            return answer  # Other calls may be permitted, so there is no backoff.
        for address in addresses:
            answer = await self._client.relay(address, call)
            if not isinstance(answer, NotDone | Unknown):
                self._relay_backoff.reset()
                return answer
            self._retry_node_from_s[address] = now_s() + NODE_RETRY_INTERVAL_S
            if isinstance(answer, Unknown):
                break
        delay_s = self._relay_backoff.next_delay_s()
        self._retry_relay_from_s = now_s() + delay_s
        logging.info(
            "store call: relaying through other nodes failed too (%s), next attempt in %.1f s",
            answer,
            delay_s,
        )
        return answer


def _unexpected_answer(answer: RelayedOutcome) -> Unknown:
    """The outcome of a relayed call that was answered with the wrong type."""
    logging.error("relayed store call: unexpected answer of type %s", type(answer).__name__)
    return Unknown("unexpected type of answer")
