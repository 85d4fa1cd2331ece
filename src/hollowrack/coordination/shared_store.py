"""Few nodes watch the store; the others watch those nodes' mirrors instead.

Calls to the store are paid for and limited, and all nodes want the same changes. Mirrors keep a
short history under the store's own revisions, so a watch reads the same whether the store or
another node answers it. The leader watches the store, other nodes with a session watch the leader,
and nodes without a session watch some of those.

Every answer tells how long ago the store itself answered, and whoever passes it on adds the time
that it was kept. So nodes that watch each other cannot keep each other fresh: when the store
answers neither of them, both become too old. A node whose sources are all too old asks the store.
"""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import (
    Changes,
    Condition,
    CoordinationStore,
    GrantedLease,
    HistoryGone,
    LeaseGone,
    Listing,
    NotDone,
    Put,
    StoredItem,
    Unavailable,
    WriteOutcome,
)
from hollowrack.coordination.watch_messages import MAX_MIRROR_AGE_S, SharedChanges, WatchRequest
from hollowrack.results import ResultCode

# What a node that asks another one may lag: one more short watch and its pause.
MAX_RELAYED_AGE_S = 1.7
# After a node gave no answer it is not asked for this long: the next time-out delays changes again.
UNRESPONSIVE_SOURCE_RETRY_INTERVAL_S = 1.5
# A node whose mirror is old answers at once, and is asked again after two looks at the store.
STALE_SOURCE_RETRY_INTERVAL_S = 0.5
# Nodes with a session all ask the store while nobody leads: after its first question each pauses.
FOLLOWER_POLL_DELAY_S = 0.4
# Nodes without a session are many. While the store fails all of them, each asks it this seldom;
# changes have three seconds on deployments that are large enough to have such nodes.
PROBE_INTERVAL_S = 2.0


class StoreAccess(Enum):
    """How freely a node may ask the store for changes."""

    LEADER = "whenever it wants"
    FOLLOWER = "with pauses, while the leader does not answer"
    OBSERVER = "seldom, while no node answers"


class FeedClient(Protocol):
    """Sends watches to other nodes."""

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Return the node's answer; ``None`` if there was none in time."""


class SharedStore:
    """The store, with watches and listings answered by other nodes where they can.

    Args:
        store: The store.
        client: Sends watches to other nodes.
        sources: Returns the addresses of the nodes to ask, the preferred one first.
        access: Returns how freely this node may ask the store itself.

    Attributes:
        sentinel_prefix: The prefix whose short watches show that others may hang. What is known of
            it is as old as its own last answer; of other prefixes, as the last answer about any.
        source_listeners: Called when watches are answered by another source than before.
        recovery_listeners: Called when the store itself answers after it did not, or was not asked.
    """

    def __init__(
        self,
        store: CoordinationStore,
        client: FeedClient,
        sources: Callable[[], Sequence[str]],
        access: Callable[[], StoreAccess],
    ) -> None:
        self._store = store
        self._client = client
        self._sources = sources
        self._access = access
        # Prefixes of which the store was asked since another node has answered.
        self._asked_store: set[str] = set()
        self._trusted_from_s: dict[str, float] = {}
        self._reached: dict[str, int] = {}
        self._source: str | None = None
        self._store_answers = False
        self._next_probe_s = -float("inf")
        self._heard_s: dict[str, float] = {}
        self.sentinel_prefix: str | None = None
        self.source_listeners: list[Callable[[], None]] = []
        self.recovery_listeners: list[Callable[[], None]] = []

    def last_answer_s(self, prefix: str | None) -> float:
        """Return when the store last answered about a prefix, here or where this node learnt of it.

        Args:
            prefix: The prefix; ``None`` for any.

        Returns:
            The time on the loop's clock; minus infinity if it never did.
        """
        if prefix is not None and prefix == self.sentinel_prefix:
            return self._heard_s.get(prefix, -float("inf"))
        return max(self._heard_s.values(), default=-float("inf"))

    def record_answer(self, prefix: str, at_s: float) -> None:
        """Take in that what is known of a prefix was all that the store held at a time."""
        self._heard_s[prefix] = max(at_s, self._heard_s.get(prefix, at_s))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Watch at another node, or at the store if none answers."""
        self._reach(prefix, after_revision)
        request = WatchRequest(prefix, after_revision, wait_s, self._max_age_s())
        shared = await self._ask_sources(request)
        if shared is not None:
            if shared.is_history_gone:
                return HistoryGone()
            return Changes(shared.items(), max(after_revision, shared.revision))
        is_probe = self._must_probe()
        if is_probe and not self._begin_probe():
            return NotDone("no node answers for the store")
        await self._pause_if_asked_before(prefix)
        # A probe does not wait: others follow at once if it is answered.
        answer = await self._store.watch(prefix, after_revision, 0.0 if is_probe else wait_s)
        self._note_store_answers(isinstance(answer, Changes | HistoryGone))
        if isinstance(answer, Changes):
            self.record_answer(prefix, now_s())
        return answer

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix from another node, or from the store if none answers."""
        reached = self._reached.get(prefix, 0)
        request = WatchRequest(prefix, reached, 0.0, self._max_age_s(), wants_listing=True)
        shared = await self._ask_sources(request)
        if shared is not None:
            self._reach(prefix, shared.revision)
            return shared.listed()
        if self._must_probe() and not self._begin_probe():
            return NotDone("no node answers for the store")
        sent_s = now_s()
        listing = await self._store.list_prefix(prefix)
        self._note_store_answers(isinstance(listing, Listing))
        if isinstance(listing, Listing):
            self.record_answer(prefix, sent_s)
            self._reach(prefix, listing.revision)
        return listing

    async def _ask_sources(self, request: WatchRequest) -> SharedChanges | None:
        """Ask one node after the other; ``None`` if none has an answer that may be used."""
        for address in self._sources():
            if now_s() < self._trusted_from_s.get(address, 0.0):
                continue
            sent_s = now_s()
            shared = await self._client.watch(address, request)
            refusal = _refusal(request, shared)
            if shared is not None and refusal is None:
                if not shared.is_history_gone:
                    self.record_answer(request.prefix, shared.as_of_s(sent_s))
                self._note_source(address)
                return shared
            distrust_s = (
                UNRESPONSIVE_SOURCE_RETRY_INTERVAL_S
                if shared is None
                else STALE_SOURCE_RETRY_INTERVAL_S
            )
            self._trusted_from_s[address] = now_s() + distrust_s
            logging.info("watch of %s: not at the node %s: %s", request.prefix, address, refusal)
        self._note_source(None)
        # A listener may have had this very watch begin anew: it ends here, not inside a probe.
        await asyncio.sleep(0)
        return None

    def _max_age_s(self) -> float:
        is_observer = self._access() is StoreAccess.OBSERVER
        return MAX_RELAYED_AGE_S if is_observer else MAX_MIRROR_AGE_S

    def _must_probe(self) -> bool:
        """Whether the store may only be asked now and then: it does not answer, or may not."""
        is_observer = self._access() is StoreAccess.OBSERVER
        return is_observer and not self._store_answers and bool(self._sources())

    def _begin_probe(self) -> bool:
        """Whether a probe is due, which counts as made then."""
        if now_s() < self._next_probe_s:
            return False
        self._next_probe_s = now_s() + PROBE_INTERVAL_S
        return True

    def _note_store_answers(self, answers: bool) -> None:
        if answers and not self._store_answers:
            for listener in self.recovery_listeners:
                listener()
        self._store_answers = answers

    async def _pause_if_asked_before(self, prefix: str) -> None:
        """Pause before a follower's further questions; the first tells what it has missed."""
        if prefix in self._asked_store and self._access() is not StoreAccess.LEADER:
            await asyncio.sleep(FOLLOWER_POLL_DELAY_S)
        self._asked_store.add(prefix)

    def _note_source(self, source: str | None) -> None:
        """Have watches that wait at another source begin anew: that one may never answer."""
        if source is not None:
            self._asked_store.clear()
            self._store_answers = False
        if source != self._source:
            self._source = source
            for listener in self.source_listeners:
                listener()

    def _reach(self, prefix: str, revision: int) -> None:
        self._reached[prefix] = max(revision, self._reached.get(prefix, 0))

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key from the store."""
        return await self._store.get(key)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removes: Sequence[str] = ()
    ) -> WriteOutcome:
        """Write to the store."""
        return await self._store.transact(conditions, puts, removes)

    async def grant_lease(self, ttl_s: float) -> GrantedLease | Unavailable:
        """Open a lease at the store."""
        return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease: int) -> GrantedLease | LeaseGone | Unavailable:
        """Renew a lease at the store."""
        return await self._store.renew_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease at the store."""
        await self._store.end_lease(lease)


def _refusal(request: WatchRequest, shared: SharedChanges | None) -> str | None:
    """Why an answer may not be used; ``None`` if it may."""
    if shared is None:
        return "no answer"
    if shared.is_stale:
        return "its mirror is old"
    if request.wants_listing and shared.revision < request.after_revision:
        return f"its listing is of revision {shared.revision}, {request.after_revision} is known"
    fault = shared.validation_error(request.wants_listing)
    return None if fault is None else f"[{int(ResultCode.MESSAGE_INVALID)}] {fault}"
