"""Answers other nodes' watches from a node's own mirrors."""

from collections.abc import Callable

from hollowrack.clock import now_s
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.watch_messages import SharedChange, SharedChanges, WatchRequest

# How often a held watch looks whether its mirror has become too old to answer it.
FRESHNESS_CHECK_S = 0.3


class MirrorFeed:
    """Answers other nodes' watches from this node's mirrors.

    Args:
        mirrors: Mirrors by prefix.
        last_answer_s: Returns when the store last answered this node, or one that it learnt from,
            about a prefix, on the loop's clock.
    """

    def __init__(
        self, mirrors: dict[str, PrefixMirror], last_answer_s: Callable[[str], float]
    ) -> None:
        self._mirrors = mirrors
        self._heard_s = last_answer_s

    async def watch(self, request: WatchRequest) -> SharedChanges:
        """Answer as soon as there is a change, or when the time is up; a listing at once."""
        began_s = now_s()
        mirror = self._mirrors.get(request.prefix)
        if mirror is None or not self._is_fresh(mirror, request):
            return SharedChanges(is_stale=True)
        if request.wants_listing:
            items = tuple(SharedChange.of(item) for item in mirror.items.values())
            return self._answer(items, mirror, request, began_s)
        end_s = began_s + request.wait_s
        found = mirror.changes_after(request.after_revision)
        while found == [] and now_s() < end_s:
            await mirror.wait_for_change(min(FRESHNESS_CHECK_S, end_s - now_s()))
            if not self._is_fresh(mirror, request):
                return SharedChanges(is_stale=True)
            found = mirror.changes_after(request.after_revision)
        if found is None:
            return SharedChanges(is_history_gone=True)
        changes = tuple(SharedChange.of(change) for change in found)
        return self._answer(changes, mirror, request, began_s)

    def _answer(
        self,
        changes: tuple[SharedChange, ...],
        mirror: PrefixMirror,
        request: WatchRequest,
        began_s: float,
    ) -> SharedChanges:
        return SharedChanges(
            changes,
            mirror.reached_revision,
            age_s=now_s() - self._heard_s(request.prefix),
            held_s=now_s() - began_s,
        )

    def _is_fresh(self, mirror: PrefixMirror, request: WatchRequest) -> bool:
        is_young = now_s() - self._heard_s(request.prefix) <= request.max_age_s
        return is_young and mirror.is_loaded.is_set()
