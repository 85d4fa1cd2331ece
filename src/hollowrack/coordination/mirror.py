"""A local copy of all keys below a prefix, kept current by watching.

Calls to the store are paced: after an answer the mirror waits before it watches again, so that
changes in quick succession cost one call.

A watch may miss changes without a sign: the store drops its history while the watch hears nothing,
or the watch waits on a connection whose other end is gone. Only a new watch shows this. One mirror,
the sentinel, therefore watches briefly and again and again; after a dropped history, a late answer
or a failure it has the mirrors of other prefixes list again. While the store fails, mirrors ask it
less and less often, the sentinel still within the time that changes have.
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

# Shorter than the history that the store keeps, so that a quiet watch can go on from its revision.
WATCH_WAIT_S = 15.0
INITIAL_BACKOFF_S = 0.4
# A store that answers again must be found well inside the time that changes have.
MAX_BACKOFF_S = 1.2
# A mirror that its sentinel wakes need not look for itself.
MAX_BACKOFF_WITH_SENTINEL_S = 4.0
LATE_ANSWER_S = 0.5
MAX_HISTORY = 512
# A key is another writer's text; the store takes longer ones than a log line should hold.
MAX_LOGGED_KEY_LENGTH = 200

OnChange = Callable[[str, StoredItem | None], None]


class PrefixMirror:
    """Keeps the keys below one prefix and reports each change.

    Args:
        store: The coordination store.
        prefix: Which keys.
        on_change: Called with each key that was written, or removed (``None``).
        min_interval_s: Least time between two calls, in seconds.
        rng: Source of the retry jitter.
        watch_wait_s: Longest wait of one watch, in seconds.
        on_suspected_gap: Called when other watches may have missed changes; for the sentinel.
        has_sentinel: Whether a sentinel has this mirror list again after failures.
        starts_after: Set once the first listing may begin; ``None`` for at once.
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
        self._history: deque[KeyChange] = deque(maxlen=MAX_HISTORY)
        self._history_from = 0
        self._changed = asyncio.Event()
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._pace_s = min_interval_s
        self._watch_wait_s = watch_wait_s
        self._on_doubt = on_suspected_gap
        self._starts_after = starts_after
        max_pause_s = MAX_BACKOFF_WITH_SENTINEL_S if has_sentinel else MAX_BACKOFF_S
        self._backoff = Backoff(INITIAL_BACKOFF_S, max_pause_s, rng)
        self._must_wake = asyncio.Event()
        self._is_in_doubt = False
        self._must_list = False
        self._watching: asyncio.Task[Changes | HistoryGone | Unavailable] | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_failing = False
        self._fault_lines = LogRateLimiter()

    def start(self) -> None:
        """Start following the store."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop following the store."""
        await cancel_all(self._task)

    def changes_after(self, revision: int) -> list[KeyChange] | None:
        """Return the changes behind a store revision; ``None`` if they are no longer kept."""
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
        """List again now: what the watch has heard may not be all."""
        self._must_list = True
        self._must_wake.set()
        if self._watching is not None:
            self._watching.cancel()

    def retry_now(self) -> None:
        """End a pause after a failure: the store answers again."""
        self._must_wake.set()

    def restart_watch(self) -> None:
        """Begin the present watch anew, from the same revision."""
        self._must_wake.set()
        if self._watching is not None:
            self._watching.cancel()

    def apply_changes(self, changes: Changes) -> None:
        """Take in the changes behind the revision reached, heard of elsewhere than by the watch."""
        if self.is_loaded.is_set() and changes.revision > self.reached_revision:
            self._take(changes)
            self.restart_watch()

    def apply_listing(self, listing: Listing) -> None:
        """Take in all keys of a newer revision than the one reached, heard of elsewhere."""
        if not self.is_loaded.is_set() or listing.revision > self.reached_revision:
            self._replace(listing)
            self.restart_watch()

    async def _run(self) -> None:
        if self._starts_after is not None:
            await self._starts_after.wait()
        while True:
            if await self._step_whatever_happens():
                self._backoff.reset()
                await asyncio.sleep(self._pace_s)
            else:
                await self._pause_after_failure()

    async def _pause_after_failure(self) -> None:
        """Pause before the next attempt, unless there is a sign that it may succeed."""
        self._must_wake.clear()
        try:
            async with asyncio.timeout(self._backoff.next_delay_s()):
                await self._must_wake.wait()
        except TimeoutError:
            return

    async def _step_whatever_happens(self) -> bool:
        """List or watch once; a fault counts as no answer, so that the mirror goes on."""
        try:
            return await self._step()
        except Exception:
            if self._fault_lines.allows():
                logging.exception("mirror of %s: an answer could not be taken in", self._prefix)
            return False

    async def _step(self) -> bool:
        """List or watch once; returns whether there was an answer."""
        if not self.is_loaded.is_set() or self._must_list:
            return await self._list()
        sent_s = now_s()
        revision = self.reached_revision
        changes = await self._watch(revision)
        if changes is None:
            return await self._list() if self._must_list else True
        if now_s() - sent_s > self._watch_wait_s + LATE_ANSWER_S:
            self._is_in_doubt = True
        if isinstance(changes, HistoryGone):
            logging.info("history of %s is gone: listing again", self._prefix)
            self._is_in_doubt = True
            return await self._list()
        if not isinstance(changes, Changes):
            self._note_failure(changes)
            return False
        self._note_heard()
        # What was adopted meanwhile is newer than the revision that this answer begins at.
        if revision == self.reached_revision:
            self._take(changes)
        return True

    async def _watch(self, revision: int) -> Changes | HistoryGone | Unavailable | None:
        """Watch once; ``None`` if the watch is to begin anew."""
        # A store that may be back says so at once, and a silent one costs less time.
        wait_s = 0.0 if self._is_failing else self._watch_wait_s
        watch = self._store.watch(self._prefix, revision, wait_s)
        self._watching = asyncio.create_task(watch)
        try:
            return await self._watching
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self._watching.cancel()
                raise
            return None
        finally:
            self._watching = None

    async def _list(self) -> bool:
        listed = await self._store.list_prefix(self._prefix)
        if not isinstance(listed, Listing):
            self._note_failure(listed)
            return False
        self._note_heard()
        # It may have been made before what was adopted meanwhile: then it is asked for again.
        if not self.is_loaded.is_set() or listed.revision >= self.reached_revision:
            self._must_list = False
            self._replace(listed)
        return True

    def _take(self, changes: Changes) -> None:
        newer = [change for change in changes.items if self._is_newer(change)]
        for change in sorted(newer, key=lambda change: change.revision):
            self._apply(change)
            self._remember(change)
        self._reach(max(self.reached_revision, changes.revision), bool(newer))

    def _is_newer(self, change: KeyChange) -> bool:
        """Whether a change is newer than what is known of its key.

        All changes up to the revision reached are known, and a listing may hold some newer ones.
        Without this a removal undoes the entry that came after it.
        """
        known = self.items.get(change.key)
        known_revision = 0 if known is None else known.revision
        return change.revision > max(self.reached_revision, known_revision)

    def _remember(self, change: KeyChange) -> None:
        if len(self._history) == MAX_HISTORY:
            self._history_from = max(self._history_from, self._history[0].revision)
        self._history.append(change)

    def _reach(self, revision: int, has_changed: bool) -> None:
        self.reached_revision = revision
        if has_changed:
            self._changed.set()
            self._changed = asyncio.Event()

    def _note_heard(self) -> None:
        self.last_answer_s = now_s()
        if self._is_failing:
            logging.info("coordination store answers again for %s", self._prefix)
        self._is_failing = False
        if self._is_in_doubt and self._on_doubt is not None:
            self._on_doubt()
        self._is_in_doubt = False

    def _note_failure(self, failure: object) -> None:
        self._is_in_doubt = True
        if not self._is_failing:
            logging.warning("coordination store fails for %s: %s", self._prefix, failure)
        self._is_failing = True

    def _replace(self, listing: Listing) -> None:
        present = {item.key for item in listing.items}
        gone = [
            RemovedKey(key, listing.revision)
            for key, item in self.items.items()
            if key not in present and item.revision <= listing.revision
        ]
        for change in gone:
            self._apply(change)
        for item in listing.items:
            known = self.items.get(item.key)
            if known is None or known.revision < item.revision:
                self._apply(item)
        self.is_loaded.set()
        self._history.clear()
        self._history_from = listing.revision
        self._reach(listing.revision, True)

    def _apply(self, change: KeyChange) -> None:
        if isinstance(change, RemovedKey):
            self.items.pop(change.key, None)
            self._tell(change.key, None)
        else:
            self.items[change.key] = change
            self._tell(change.key, change)

    def _tell(self, key: str, item: StoredItem | None) -> None:
        """Report one change; a fault over one key must not keep the others from the listener."""
        try:
            self._on_change(key, item)
        except Exception:
            if self._fault_lines.allows():
                logging.exception(
                    "mirror of %s: the change of key %.*a was not taken in (%d such lines left "
                    "out before)",
                    self._prefix,
                    MAX_LOGGED_KEY_LENGTH,
                    key,
                    self._fault_lines.reset_suppressed(),
                )
