"""The set of evacuated zones as known to this node."""

from collections import Counter
from collections.abc import Callable, Collection
from itertools import islice

from absl import logging

from hollowrack.clock import now_s
from hollowrack.observability.log_rate_limiter import LogRateLimiter

# Bounds the number of metric series, as any key below the prefix names a zone.
MAX_LABELED_ZONES = 32
OTHER_ZONES = "(other)"
# Zone names are written by operators and may be very long.
MAX_LOGGED_ZONE_LENGTH = 200


class EvacuatedZones:
    """Set of evacuated zones, with the time since which each is known.

    Args:
        num_workers: Returns the number of known workers of a zone, for log lines.

    Attributes:
        num_evacuations: Number of evacuations seen.
        num_stopped: Requests stopped just before they were sent to a worker of an evacuated zone,
            by zone; at most ``MAX_LABELED_ZONES`` zones and ``OTHER_ZONES``.
    """

    def __init__(self, num_workers: Callable[[str], int] = lambda _: 0) -> None:
        self.num_evacuations = 0
        self.num_stopped: Counter[str] = Counter()
        self._num_workers = num_workers
        self._since_s: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._log_limiter = LogRateLimiter()

    @property
    def zones(self) -> Collection[str]:
        """The evacuated zones; a view that follows later changes."""
        return self._since_s.keys()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each change of the set."""
        self._listeners.append(listener)

    def evacuate(self, zone: str) -> None:
        """Add a zone; the time of a zone that is already in the set stays."""
        if zone in self._since_s:
            return
        self._since_s[zone] = now_s()
        self.num_evacuations += 1
        self._log(zone, f"evacuated, {self._num_workers(zone)} workers known there")
        self._notify()

    def lift(self, zone: str) -> None:
        """Remove a zone whose evacuation has been lifted; a zone not in the set is ignored."""
        since_s = self._since_s.pop(zone, None)
        if since_s is None:
            return
        self._log(zone, f"evacuation lifted after {now_s() - since_s:.1f} s")
        self._notify()

    def is_evacuated(self, zone: str) -> bool:
        """Whether a zone is evacuated."""
        return zone in self._since_s

    def ages_s(self) -> dict[str, float]:
        """Return the time since which zones are known to be evacuated, in seconds.

        Contains the ``MAX_LABELED_ZONES`` that have been known for longest.
        """
        now = now_s()
        oldest = islice(self._since_s.items(), MAX_LABELED_ZONES)
        return {zone: now - since_s for zone, since_s in oldest}

    def record_stopped(self, zone: str) -> None:
        """Record that a request was stopped just before it was sent to a worker of a zone."""
        is_labeled = zone in self.num_stopped or len(self.num_stopped) < MAX_LABELED_ZONES
        self.num_stopped[zone if is_labeled else OTHER_ZONES] += 1

    def _log(self, zone: str, event: str) -> None:
        if self._log_limiter.allow():
            logging.warning(
                "zone %.*s: %s; %d zones evacuated now (%d similar log lines suppressed before)",
                MAX_LOGGED_ZONE_LENGTH,
                ascii(zone)[1:-1],
                event,
                len(self._since_s),
                self._log_limiter.reset_suppressed(),
            )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
