"""Measured additional time of requests to workers in other regions."""

import math
from dataclasses import dataclass

from absl import logging

from hollowrack.clock import now_s
from hollowrack.regions.distance import ZoneDistances

# Regions are 20 ms apart. Assumed until the time has been measured.
DEFAULT_EXTRA_S = 0.04
# Bounds the effect of a single observation, such as of a suspended worker.
MAX_EXTRA_S = 5.0
# Weight of the latest observation.
OBSERVATION_WEIGHT = 0.3
# Time constant of the decay to the default: a link that is avoided shows no recovery by itself.
DECAY_TIME_S = 6.0
# Assumed of a request that could not be sent: the time allowed for establishing a connection.
UNREACHABLE_EXTRA_S = 0.5
# A link counts as slow from the first figure on, and until its time is below the second one.
SLOW_EXTRA_S = 0.16
RECOVERED_EXTRA_S = 0.08


@dataclass
class _Link:
    """Observations of one other region.

    Attributes:
        extra_s: Moving average of the additional time when it was last updated, in seconds.
        updated_s: When it was last updated, on the loop's clock.
        is_slow: Whether it was logged as slow.
    """

    extra_s: float = DEFAULT_EXTRA_S
    updated_s: float = -math.inf
    is_slow: bool = False


class RegionLinks:
    """Additional time of requests to other regions, shared by all workers there.

    A full, lossy or slow link delays the requests to all workers behind it, so that the requests to
    each of them tell about the others.

    Args:
        distances: Distances of zones from this node.
    """

    def __init__(self, distances: ZoneDistances) -> None:
        self._distances = distances
        self._links: dict[str, _Link] = {}

    def extra_s(self, zone: str) -> float:
        """Return the additional time of a request to a zone, in seconds; 0 in the own region."""
        if not self._distances.is_in_other_region(zone):
            return 0.0
        link = self._links.get(self._distances.region_of(zone))
        return DEFAULT_EXTRA_S if link is None else _decayed_extra_s(link)

    def by_region(self) -> dict[str, float]:
        """Return the additional times by region, for all regions that were observed."""
        return {region: _decayed_extra_s(link) for region, link in self._links.items()}

    def record(self, zone: str, extra_s: float) -> None:
        """Record the additional time of a request to a zone; ignored in the own region."""
        if not self._distances.is_in_other_region(zone):
            return
        region = self._distances.region_of(zone)
        link = self._links.setdefault(region, _Link())
        current_s = _decayed_extra_s(link)
        bounded_s = max(0.0, min(MAX_EXTRA_S, extra_s))
        link.extra_s = current_s + OBSERVATION_WEIGHT * (bounded_s - current_s)
        link.updated_s = now_s()
        _log_transition(region, link)


def _decayed_extra_s(link: _Link) -> float:
    decay = math.exp(-(now_s() - link.updated_s) / DECAY_TIME_S)
    return DEFAULT_EXTRA_S + (link.extra_s - DEFAULT_EXTRA_S) * decay


def _log_transition(region: str, link: _Link) -> None:
    if not link.is_slow and link.extra_s >= SLOW_EXTRA_S:
        link.is_slow = True
        logging.warning(
            "link to region %s is slow: requests take %.0f ms longer than in the own region",
            region,
            1000.0 * link.extra_s,
        )
    elif link.is_slow and link.extra_s < RECOVERED_EXTRA_S:
        link.is_slow = False
        logging.info(
            "link to region %s has recovered: requests take %.0f ms longer than in the own region",
            region,
            1000.0 * link.extra_s,
        )
