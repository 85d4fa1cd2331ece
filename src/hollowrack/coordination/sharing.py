"""One node watches the store closely; the others watch that node's mirrors instead.

Calls to the store are paid for and limited, and all nodes want the same changes. The leader's
mirrors keep a short history under the store's own revisions, so a follower's watch reads the same
whether the store or the leader answers it. A node that has not heard the store itself lately does
not answer, whatever other nodes have told it: two nodes that take each other for the leader would
vouch for each other for ever. A follower that gets no answer asks the store.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.store import (
    Changes,
    Condition,
    CoordinationStore,
    GrantedLease,
    HistoryGone,
    LeaseGone,
    Listing,
    Put,
    StoredItem,
    Unavailable,
    WriteOutcome,
)
from hollowrack.messages.codec import message

# A mirror that heard the store longer ago than this does not answer for it.
MAX_MIRROR_AGE_S = 0.9
FRESHNESS_CHECK_S = 0.3
# After a follower got no answer it asks the store for this long.
DISTRUST_S = 1.5
# All followers ask the store at once while nobody leads: after its first question each pauses.
FOLLOWER_PAUSE_S = 0.4


@message("feed.watch")
@dataclass(frozen=True)
class WatchRequest:
    """A follower's watch.

    Attributes:
        prefix: Prefix of the keys.
        after_revision: Store revision the follower has reached.
        wait_s: Longest wait, in seconds.
    """

    prefix: str
    after_revision: int
    wait_s: float


@message("feed.change")
@dataclass(frozen=True)
class SharedChange:
    """A key as it was written, or removed (``value`` is ``None``)."""

    key: str
    value: bytes | None
    revision: int = 0
    lease: int = 0


@message("feed.changes")
@dataclass(frozen=True)
class SharedChanges:
    """Changes behind the follower's revision.

    Attributes:
        changes: The changes, oldest first.
        revision: Store revision reached.
        is_history_gone: Whether the follower has to list again.
        is_stale: Whether this node cannot answer for the store now.
    """

    changes: tuple[SharedChange, ...] = ()
    revision: int = 0
    is_history_gone: bool = False
    is_stale: bool = False


class MirrorFeed:
    """Answers followers' watches from this node's mirrors.

    Args:
        mirrors: Mirrors by prefix.
        heard_store_s: Returns when the store itself answered this node last, on the loop's clock.
    """

    def __init__(
        self, mirrors: dict[str, PrefixMirror], heard_store_s: Callable[[], float]
    ) -> None:
        self._mirrors = mirrors
        self._heard_store_s = heard_store_s

    async def watch(self, request: WatchRequest) -> SharedChanges:
        """Answer a watch as soon as there is a change, or when its time is up."""
        mirror = self._mirrors.get(request.prefix)
        if mirror is None or not self._is_fresh():
            return SharedChanges(is_stale=True)
        end_s = now_s() + request.wait_s
        found = mirror.changes_after(request.after_revision)
        while found == [] and now_s() < end_s:
            await mirror.wait_for_change(min(FRESHNESS_CHECK_S, end_s - now_s()))
            if not self._is_fresh():
                return SharedChanges(is_stale=True)
            found = mirror.changes_after(request.after_revision)
        if found is None:
            return SharedChanges(is_history_gone=True)
        return SharedChanges(
            tuple(_shared(key, item) for key, item in found), mirror.reached_revision
        )

    def _is_fresh(self) -> bool:
        return now_s() - self._heard_store_s() <= MAX_MIRROR_AGE_S


def _shared(key: str, item: StoredItem | None) -> SharedChange:
    if item is None:
        return SharedChange(key, None)
    return SharedChange(key, item.value, item.revision, item.lease)


class FeedClient(Protocol):
    """Sends watches to other nodes."""

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Return the node's answer; ``None`` if there was none in time."""


class SharedStore:
    """The store, with watches answered by the leader where it can.

    Args:
        store: The store.
        client: Sends watches to other nodes.
        leader_address: Returns the leader's address; ``None`` if this node leads or nobody does.
        is_leader: Returns whether this node leads.

    Attributes:
        heard_store_s: When the store itself answered a watch last, on the loop's clock.
        source_listeners: Called when watches are answered by another source than before.
    """

    def __init__(
        self,
        store: CoordinationStore,
        client: FeedClient,
        leader_address: Callable[[], str | None],
        is_leader: Callable[[], bool],
    ) -> None:
        self._store = store
        self._client = client
        self._leader_address = leader_address
        self._is_leader = is_leader
        # Prefixes of which the store was asked since a leader has answered.
        self._asked_store: set[str] = set()
        self._trusted_from_s: dict[str, float] = {}
        self._source: str | None = None
        self.heard_store_s = -float("inf")
        self.source_listeners: list[Callable[[], None]] = []

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Watch at the leader, or at the store if the leader does not answer."""
        address = self._leader_address()
        if address is not None and now_s() >= self._trusted_from_s.get(address, 0.0):
            request = WatchRequest(prefix, after_revision, wait_s)
            shared = await self._client.watch(address, request)
            if shared is not None and shared.is_history_gone:
                return HistoryGone()
            if shared is not None and not shared.is_stale:
                self._note_source(address)
                return _changes(shared, after_revision)
            self._trusted_from_s[address] = now_s() + DISTRUST_S
            reason = "no answer" if shared is None else "its mirror is old"
            logging.info("watch of %s: not by the leader at %s: %s", prefix, address, reason)
        self._note_source(None)
        await self._pause_if_asked_before(prefix)
        answer = await self._store.watch(prefix, after_revision, wait_s)
        if isinstance(answer, Changes):
            self.heard_store_s = now_s()
        return answer

    async def _pause_if_asked_before(self, prefix: str) -> None:
        """Pause before a follower's further questions; the first tells what it has missed."""
        if prefix in self._asked_store and not self._is_leader():
            await asyncio.sleep(FOLLOWER_PAUSE_S)
        self._asked_store.add(prefix)

    def _note_source(self, source: str | None) -> None:
        """Have watches that still wait elsewhere begin anew: nothing vouches for them there."""
        if source is not None:
            self._asked_store.clear()
        if source != self._source:
            self._source = source
            for listener in self.source_listeners:
                listener()

    async def get(self, key: str) -> StoredItem | Unavailable | None:
        """Read one key from the store."""
        return await self._store.get(key)

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix from the store."""
        return await self._store.list_prefix(prefix)

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


def _changes(answer: SharedChanges, after_revision: int) -> Changes:
    items = tuple(
        (
            change.key,
            None
            if change.value is None
            else StoredItem(change.key, change.value, change.revision, change.lease),
        )
        for change in answer.changes
    )
    return Changes(items, max(after_revision, answer.revision))
