"""A local copy of all keys below a prefix, kept current by watching the store.

The rate of calls is limited: after an answer the mirror waits before it watches again, so changes
in quick succession cost one call.

A watch may miss changes without an error: the store compacts its history meanwhile, or the
connection is half open. Only a new watch detects this. One mirror, the sentinel, therefore uses
short watches; after a compacted history, a late answer or a failure it has the mirrors of other
prefixes list again. While the store fails, mirrors back off; the sentinel's backoff stays below the
propagation limit of changes.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from absl import logging

from hollowrack.backoff import Backoff
from hollowrack.clock import now_s
from hollowrack.coordination.store import (
    Changes,
    CoordinationStore,
    HistoryGone,
    KeyChange,
    Listing,
    RemovedKey,
    StoredItem,
    Unavailable,
)
from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.tasks import cancel_all

# Shorter than the store's history retention, so that an idle watch can resume from its revision.
WATCH_WAIT_S = 15.0
INITIAL_BACKOFF_S = 0.4
# Well below the propagation limit of changes, within which a recovered store must be noticed.
MAX_BACKOFF_S = 1.2
# For mirrors with a sentinel, whose backoff ends early when the store answers again.
MAX_BACKOFF_WITH_SENTINEL_S = 4.0
# A watch that is answered later than this after its wait may have missed changes.
LATE_ANSWER_S = 0.5
MAX_HISTORY = 512
# Keys are written by other programs and may be very long.
MAX_LOGGED_KEY_LENGTH = 200

OnChange = Callable[[str, StoredItem | None], None]


class PrefixMirror:
    """Mirrors the keys below one prefix and reports each change.

    Args:
        store: Store to list and watch.
        prefix: Prefix of the mirrored keys.
        on_change: Called with each key and its new item, or ``None`` if it was removed.
        min_interval_s: Minimum interval between two calls to the store, in seconds.
        rng: Source of the retry jitter.
        watch_wait_s: Longest wait of one watch, in seconds.
        on_suspected_gap: Called when other watches may have missed changes; for the sentinel.
        has_sentinel: Whether a sentinel has this mirror list again after failures.
        starts_after: Set once the first listing may begin; ``None`` to begin at once.

    Attributes:
        items: The mirrored keys.
        is_loaded: Set after the first listing.
        last_answer_s: When the store last answered, on the loop's clock.
        reached_revision: Store revision up to which all changes are applied.
        last_change_revision: Revision of the last change; an upper bound if a listing showed that
            keys were removed.
    """

    def __init__(
        self,
        store: CoordinationStore,
        prefix: str,
        on_change: OnChange,
        min_interval_s: float,
        rng: random.Random,
        watch_wait_s: float = WATCH_WAIT_S,
        on_suspected_gap: Callable[[], None] | None = None,
        has_sentinel: bool = False,
        starts_after: asyncio.Event | None = None,
    ) -> None:
        self.items: dict[str, StoredItem] = {}
        self.is_loaded = asyncio.Event()
        self.last_answer_s = -float("inf")
        self.reached_revision = 0
        self.last_change_revision = 0
        self._history: deque[KeyChange] = deque(maxlen=MAX_HISTORY)
        self._history_from = 0
        self._changed = asyncio.Event()
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._min_interval_s = min_interval_s
        self._watch_wait_s = watch_wait_s
        self._on_suspected_gap = on_suspected_gap
        self._starts_after = starts_after
        max_backoff_s = MAX_BACKOFF_WITH_SENTINEL_S if has_sentinel else MAX_BACKOFF_S
        self._backoff = Backoff(INITIAL_BACKOFF_S, max_backoff_s, rng)
        self._ends_backoff = asyncio.Event()
        self._may_have_gap = False
        self._must_relist = False
        self._watch_task: asyncio.Task[Changes | HistoryGone | Unavailable] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_failing = False
        self._error_log_limiter = LogRateLimiter()

    def start(self) -> None:
        """Start listing and watching."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop watching; the mirrored keys stay."""
        await cancel_all(self._task)

    def changes_after(self, revision: int) -> list[KeyChange] | None:
        """Return the changes after a store revision; ``None`` if its history is too short."""
        if revision < self._history_from:
            return None
        return [change for change in self._history if change.revision > revision]

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait until something changes, at most ``wait_s`` seconds."""
        changed = self._changed
        try:
            async with asyncio.timeout(wait_s):
                await changed.wait()
        except TimeoutError:
            return

    def relist(self) -> None:
        """List all keys again now, as the watch may have missed changes."""
        self._must_relist = True
        self._ends_backoff.set()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def retry_now(self) -> None:
        """End the backoff after a failure, as the store answers again."""
        self._ends_backoff.set()

    def restart_watch(self) -> None:
        """Restart the current watch from the same revision."""
        self._ends_backoff.set()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes after the reached revision that were received from another node."""
        if self.is_loaded.is_set() and changes.revision > self.reached_revision:
            self._apply_newer(changes)
            self.restart_watch()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing that was received from another node, if its revision is newer."""
        if not self.is_loaded.is_set() or listing.revision > self.reached_revision:
            self._replace_all(listing)
            self.restart_watch()

    async def _run(self) -> None:
        if self._starts_after is not None:
            await self._starts_after.wait()
        while True:
            if await self._step_safely():
                self._backoff.reset()
                await asyncio.sleep(self._min_interval_s)
            else:
                await self._back_off()

    async def _back_off(self) -> None:
        """Back off before the next attempt, unless :meth:`retry_now` ends the backoff."""
        self._ends_backoff.clear()
        try:
            async with asyncio.timeout(self._backoff.next_delay_s()):
                await self._ends_backoff.wait()
        except TimeoutError:
            return

    async def _step_safely(self) -> bool:
        """List or watch once; an exception counts as a failed call, so that the mirror goes on."""
        try:
            return await self._step()
        except Exception:
            if self._error_log_limiter.allow():
                logging.exception("mirror of %s: failed to process an answer", self._prefix)
            return False

    async def _step(self) -> bool:
        """List or watch once; returns whether there was an answer."""
        if not self.is_loaded.is_set() or self._must_relist:
            return await self._list()
        sent_s = now_s()
        revision = self.reached_revision
        changes = await self._watch(revision)
        if changes is None:
            return await self._list() if self._must_relist else True
        if now_s() - sent_s > self._watch_wait_s + LATE_ANSWER_S:
            self._may_have_gap = True
        if isinstance(changes, HistoryGone):
            logging.info("history of %s was compacted: listing again", self._prefix)
            self._may_have_gap = True
            return await self._list()
        if not isinstance(changes, Changes):
            self._record_failure(changes)
            return False
        self._record_answer()
        # If newer changes were applied while the watch waited, its answer is outdated.
        if revision == self.reached_revision:
            self._apply_newer(changes)
        return True

    async def _watch(self, revision: int) -> Changes | HistoryGone | Unavailable | None:
        """Watch once; ``None`` if the watch was cancelled to be restarted."""
        # Without a wait a recovered store answers at once, and a silent one times out earlier.
        wait_s = 0.0 if self._is_failing else self._watch_wait_s
        watch = self._store.watch(self._prefix, revision, wait_s)
        self._watch_task = asyncio.create_task(watch)
        try:
            return await self._watch_task
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self._watch_task.cancel()
                raise
            return None
        finally:
            self._watch_task = None

    async def _list(self) -> bool:
        listing = await self._store.list_prefix(self._prefix)
        if not isinstance(listing, Listing):
            self._record_failure(listing)
            return False
        self._record_answer()
        # A listing older than the changes applied meanwhile is discarded and requested again.
        if not self.is_loaded.is_set() or listing.revision >= self.reached_revision:
            self._must_relist = False
            self._replace_all(listing)
        return True

    def _apply_newer(self, changes: Changes) -> None:
        newer = [change for change in changes.items if self._is_newer(change)]
        for change in sorted(newer, key=lambda change: change.revision):
            self._apply(change)
            self._append_history(change)
        self._advance_to(max(self.reached_revision, changes.revision), bool(newer))

    def _is_newer(self, change: KeyChange) -> bool:
        """Whether a change is newer than the known state of its key.

        All changes up to the reached revision are known, and a listing may contain newer ones.
        Without this check an old removal would delete a key that was written again after it.
        """
        known = self.items.get(change.key)
        known_revision = 0 if known is None else known.revision
        return change.revision > max(self.reached_revision, known_revision)

    def _append_history(self, change: KeyChange) -> None:
        if len(self._history) == MAX_HISTORY:
            self._history_from = max(self._history_from, self._history[0].revision)
        self._history.append(change)

    def _advance_to(self, revision: int, has_changed: bool) -> None:
        self.reached_revision = revision
        if has_changed:
            self._changed.set()
            self._changed = asyncio.Event()

    def _record_answer(self) -> None:
        self.last_answer_s = now_s()
        if self._is_failing:
            logging.info("coordination store answers again for %s", self._prefix)
        self._is_failing = False
        if self._may_have_gap and self._on_suspected_gap is not None:
            self._on_suspected_gap()
        self._may_have_gap = False

    def _record_failure(self, failure: object) -> None:
        self._may_have_gap = True
        if not self._is_failing:
            logging.warning("coordination store fails for %s: %s", self._prefix, failure)
        self._is_failing = True

    def _replace_all(self, listing: Listing) -> None:
        present = {item.key for item in listing.items}
        removed = [
            RemovedKey(key, listing.revision)
            for key, item in self.items.items()
            if key not in present and item.revision <= listing.revision
        ]
        for change in removed:
            self._apply(change)
        for item in listing.items:
            known = self.items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply(item)
        self.is_loaded.set()
        self._history.clear()
        self._history_from = listing.revision
        self._advance_to(listing.revision, True)

    def _apply(self, change: KeyChange) -> None:
        self.last_change_revision = max(change.revision, self.last_change_revision)
        if isinstance(change, RemovedKey):
            self.items.pop(change.key, None)
            self._notify(change.key, None)
        else:
            self.items[change.key] = change
            self._notify(change.key, change)

    def _notify(self, key: str, item: StoredItem | None) -> None:
        """Report one change; an exception over one key must not suppress the other changes."""
        try:
            self._on_change(key, item)
        except Exception:
            if self._error_log_limiter.allow():
                logging.exception(
                    "mirror of %s: failed to process the change of key %.*a (%d earlier messages "
                    "suppressed)",
                    self._prefix,
                    MAX_LOGGED_KEY_LENGTH,
                    key,
                    self._error_log_limiter.reset_suppressed(),
                )
