"""Server side of watches between nodes, answered from a node's own mirrors."""

from collections.abc import Callable

from hollowrack.clock import now_s
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.watch_messages import SharedChange, SharedChanges, WatchRequest

# How often a pending watch checks whether its mirror has become too stale to answer it.
FRESHNESS_POLL_INTERVAL_S = 0.3


class MirrorFeed:
    """Answers other nodes' watches from this node's mirrors.

    Args:
        mirrors: Mirrors by prefix.
        last_answer_s: Returns when the store last answered about a prefix, to this node or to its
            source, on the loop's clock.
    """

    def __init__(
        self, mirrors: dict[str, PrefixMirror], last_answer_s: Callable[[str], float]
    ) -> None:
        self._mirrors = mirrors
        self._last_answer_s = last_answer_s

    async def watch(self, request: WatchRequest) -> SharedChanges:
        """Answer at the first change or after ``request.wait_s``; answer a listing at once."""
        received_s = now_s()
        mirror = self._mirrors.get(request.prefix)
        if mirror is None or not self._is_fresh(mirror, request):
            return SharedChanges(is_stale=True)
        if request.wants_listing:
            items = tuple(SharedChange.of(item) for item in mirror.items.values())
            return self._answer(items, mirror, request, received_s)
        end_s = received_s + request.wait_s
        pending = mirror.changes_after(request.after_revision)
        while pending == [] and now_s() < end_s:
            await mirror.wait_for_change(min(FRESHNESS_POLL_INTERVAL_S, end_s - now_s()))
            if not self._is_fresh(mirror, request):
                return SharedChanges(is_stale=True)
            pending = mirror.changes_after(request.after_revision)
        if pending is None:
            return SharedChanges(is_history_gone=True)
        changes = tuple(SharedChange.of(change) for change in pending)
        return self._answer(changes, mirror, request, received_s)

    def _answer(
        self,
        changes: tuple[SharedChange, ...],
        mirror: PrefixMirror,
        request: WatchRequest,
        received_s: float,
    ) -> SharedChanges:
        return SharedChanges(
            changes,
            mirror.reached_revision,
            age_s=now_s() - self._last_answer_s(request.prefix),
            held_s=now_s() - received_s,
            other_prefixes=self._states_of_others(request.prefix),
        )

    def _states_of_others(self, requested: str) -> dict[str, tuple[int, float]]:
        return {
            prefix: (mirror.last_change_revision, now_s() - self._last_answer_s(prefix))
            for prefix, mirror in self._mirrors.items()
            if prefix != requested and mirror.is_loaded.is_set()
        }

    def _is_fresh(self, mirror: PrefixMirror, request: WatchRequest) -> bool:
        is_recent = now_s() - self._last_answer_s(request.prefix) <= request.max_age_s
        return is_recent and mirror.is_loaded.is_set()
