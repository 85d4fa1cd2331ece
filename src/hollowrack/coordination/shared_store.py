"""Fan-out of watches: few nodes watch the store, the others watch those nodes' mirrors.

Calls to the store are paid for and rate limited, and all nodes need the same changes. Mirrors keep
a short history under the store's own revisions, so a watch gives the same answer from the store as
from another node. The leader watches the store, other nodes with a session (followers) watch the
leader, and nodes without a session (observers) watch some of the followers.

Every answer contains the time since the store itself answered, and each hop adds the time that it
held the answer. Nodes that watch each other in a cycle therefore become stale together when the
store answers none of them. A node whose sources are all stale asks the store.

The time is kept by prefix: an answer about one prefix does not prove that another one is current.
As watches of most prefixes are long, each answer also contains the states of the source's other
mirrors. A node that has reached their last changes is as current as the source.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Sequence
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

# MAX_MIRROR_AGE_S plus the wait and the interval of one more short watch.
MAX_RELAYED_AGE_S = 1.7
# Time for which a source that timed out is not asked again, as every timeout delays changes.
UNRESPONSIVE_SOURCE_RETRY_INTERVAL_S = 1.5
# Time for which a source that reported its mirror as stale is not asked again. Shorter than for an
# unresponsive source, as it answers at once.
STALE_SOURCE_RETRY_INTERVAL_S = 0.5
# Names the store as the source of a pending watch; no node has this address.
STORE_SOURCE = ""
# Limits the load on the store while there is no leader and all followers ask it.
FOLLOWER_POLL_DELAY_S = 0.4
# Observers are many, so each probes a failing store rarely. Deployments that are large enough to
# have observers have a propagation limit of 3 s.
PROBE_INTERVAL_S = 2.0


class StoreAccess(Enum):
    """How often a node may call the store for changes."""

    LEADER = "without limit"
    FOLLOWER = "with a delay between calls, while the leader does not answer"
    OBSERVER = "one probe per interval, while no node answers"


class FeedClient(Protocol):
    """Sends watches to other nodes."""

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        """Return the node's answer; ``None`` if there was none in time."""


class SharedStore:
    """A store whose watches and listings are answered by other nodes where possible.

    Args:
        store: Used for writes, leases and single reads, and when no source answers.
        client: Sends watches to other nodes.
        sources: Returns the addresses of the nodes to ask, in order of preference.
        access: Returns how often this node may call the store itself.

    Attributes:
        sentinel_prefix: The prefix whose short watches detect that other watches hang.
        source_listeners: Called when the source that answers watches changes.
        recovery_listeners: Called when the store itself answers after it failed or was not asked.
        answer_listeners: Called with each time as of which the store is known to have answered.
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
        # Prefixes for which the store was asked since another node last answered.
        self._prefixes_asked: set[str] = set()
        self._retry_source_from_s: dict[str, float] = {}
        self._reached_revisions: dict[str, int] = {}
        self._source: str | None = None
        self._store_answers = False
        self._store_answered_s = -float("inf")
        self._next_probe_s = -float("inf")
        self._last_answers_s: dict[str, float] = {}
        # Where the watch of a prefix waits: the address of a node, or the store.
        self._pending_at: dict[str, str] = {}
        self.sentinel_prefix: str | None = None
        self.source_listeners: list[Callable[[], None]] = []
        self.recovery_listeners: list[Callable[[], None]] = []
        self.answer_listeners: list[Callable[[float], None]] = []

    def last_answer_s(self, prefix: str | None) -> float:
        """Return when the store last answered about a prefix, to this node or to its source.

        Args:
            prefix: ``None`` for any prefix.

        Returns:
            The time on the loop's clock; minus infinity if it never did.
        """
        if prefix is not None:
            return self._last_answers_s.get(prefix, -float("inf"))
        return max(self._last_answers_s.values(), default=-float("inf"))

    def record_answer(self, prefix: str, at_s: float) -> None:
        """Record that the known state of a prefix was the store's state at ``at_s``."""
        self._last_answers_s[prefix] = max(at_s, self._last_answers_s.get(prefix, at_s))
        for listener in self.answer_listeners:
            listener(at_s)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Watch another node's mirror, or the store if no node answers."""
        self._record_revision(prefix, after_revision)
        request = WatchRequest(prefix, after_revision, wait_s, self._max_age_s())
        shared = await self._ask_sources(request)
        if shared is not None:
            if shared.is_history_gone:
                return HistoryGone()
            return Changes(shared.items(), max(after_revision, shared.revision))
        is_probe = self._must_probe()
        if is_probe and not self._begin_probe():
            return NotDone("no source answered and the next probe is not due")
        await self._delay_repeated_call(prefix)
        # A probe does not wait for changes; after an answer, watches continue at once.
        with self._pending(prefix, STORE_SOURCE):
            answer = await self._store.watch(prefix, after_revision, 0.0 if is_probe else wait_s)
        self._record_store_state(isinstance(answer, Changes | HistoryGone))
        if isinstance(answer, Changes):
            self.record_answer(prefix, now_s())
            self._record_pending_at(STORE_SOURCE, now_s())
        return answer

    async def list_prefix(self, prefix: str) -> Listing | Unavailable:
        """Read all keys below a prefix from another node, or from the store if none answers."""
        reached = self._reached_revisions.get(prefix, 0)
        request = WatchRequest(prefix, reached, 0.0, self._max_age_s(), wants_listing=True)
        shared = await self._ask_sources(request)
        if shared is not None:
            self._record_revision(prefix, shared.revision)
            return shared.listed()
        if self._must_probe() and not self._begin_probe():
            return NotDone("no source answered and the next probe is not due")
        sent_s = now_s()
        listing = await self._store.list_prefix(prefix)
        self._record_store_state(isinstance(listing, Listing))
        if isinstance(listing, Listing):
            self.record_answer(prefix, sent_s)
            self._record_revision(prefix, listing.revision)
        return listing

    async def _ask_sources(self, request: WatchRequest) -> SharedChanges | None:
        """Ask the sources in turn; ``None`` if none gives a usable answer."""
        for address in self._sources():
            if now_s() < self._retry_source_from_s.get(address, 0.0):
                continue
            sent_s = now_s()
            with self._pending(request.prefix, address):
                shared = await self._client.watch(address, request)
            refusal = _refusal(request, shared)
            if shared is not None and refusal is None:
                self._record_shared(address, request.prefix, shared, sent_s)
                self._set_source(address)
                return shared
            retry_interval_s = (
                UNRESPONSIVE_SOURCE_RETRY_INTERVAL_S
                if shared is None
                else STALE_SOURCE_RETRY_INTERVAL_S
            )
            self._retry_source_from_s[address] = now_s() + retry_interval_s
            logging.info("watch of %s: source %s rejected: %s", request.prefix, address, refusal)
        self._set_source(None)
        # If a listener restarted this watch, its cancellation is delivered here, not in a probe.
        await asyncio.sleep(0)
        return None

    def _record_shared(
        self, address: str, prefix: str, shared: SharedChanges, sent_s: float
    ) -> None:
        """Record how current all prefixes are, according to a source that answered."""
        if shared.is_history_gone:
            return
        as_of_s = shared.as_of_s(sent_s)
        self.record_answer(prefix, as_of_s)
        self._record_other_prefixes(address, shared, sent_s)
        # An answer from before the store's own one does not end the direct calls to the store.
        if as_of_s >= self._store_answered_s:
            self._store_answers = False

    def _record_other_prefixes(self, address: str, shared: SharedChanges, sent_s: float) -> None:
        if shared.other_prefixes is None:
            # Sent by an earlier version: its pending watches are as current as the answer.
            self._record_pending_at(address, shared.as_of_s(sent_s))
            return
        for prefix, (last_change_revision, age_s) in shared.other_prefixes.items():
            if self._reached_revisions.get(prefix, 0) >= last_change_revision:
                self.record_answer(prefix, shared.as_of_s(sent_s, age_s))

    @contextlib.contextmanager
    def _pending(self, prefix: str, source: str) -> Iterator[None]:
        """Note where the watch of a prefix waits."""
        self._pending_at[prefix] = source
        try:
            yield
        finally:
            self._pending_at.pop(prefix, None)

    def _record_pending_at(self, source: str, at_s: float) -> None:
        """Record that a source has answered: it would have sent changes to pending watches."""
        for prefix, pending_at in self._pending_at.items():
            if pending_at == source:
                self.record_answer(prefix, at_s)

    def _max_age_s(self) -> float:
        is_observer = self._access() is StoreAccess.OBSERVER
        return MAX_RELAYED_AGE_S if is_observer else MAX_MIRROR_AGE_S

    def _must_probe(self) -> bool:
        """Whether the store may only be probed."""
        is_observer = self._access() is StoreAccess.OBSERVER
        return is_observer and not self._store_answers and bool(self._sources())

    def _begin_probe(self) -> bool:
        """Whether a probe is due; if so, the next one is scheduled."""
        if now_s() < self._next_probe_s:
            return False
        self._next_probe_s = now_s() + PROBE_INTERVAL_S
        return True

    def _record_store_state(self, answers: bool) -> None:
        if answers and not self._store_answers:
            for listener in self.recovery_listeners:
                listener()
        self._store_answers = answers
        if answers:
            self._store_answered_s = now_s()

    async def _delay_repeated_call(self, prefix: str) -> None:
        """Delay all but a follower's first call, which fetches what it has missed."""
        if prefix in self._prefixes_asked and self._access() is not StoreAccess.LEADER:
            await asyncio.sleep(FOLLOWER_POLL_DELAY_S)
        self._prefixes_asked.add(prefix)

    def _set_source(self, source: str | None) -> None:
        """Record the source; on a change, watches that wait at the old one are restarted."""
        if source is not None:
            self._prefixes_asked.clear()
        if source != self._source:
            self._source = source
            for listener in self.source_listeners:
                listener()

    def _record_revision(self, prefix: str, revision: int) -> None:
        self._reached_revisions[prefix] = max(revision, self._reached_revisions.get(prefix, 0))

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
    """Why an answer is not usable; ``None`` if it is."""
    if shared is None:
        return "no answer"
    if shared.is_stale:
        return "its mirror is stale"
    if request.wants_listing and shared.revision < request.after_revision:
        return f"its listing has revision {shared.revision}, known is {request.after_revision}"
    error = shared.validation_error(request.wants_listing)
    return None if error is None else f"[{int(ResultCode.MESSAGE_INVALID)}] {error}"
