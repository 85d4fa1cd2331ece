"""Regions of the deployment's zones."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property


@dataclass(frozen=True)
class RegionTopology:
    """The region of each zone, and this node's zone.

    Attributes:
        zone_regions: Region by zone; empty if the settings name no regions.
        own_zone: Zone of this node; empty if unknown.
        stated_region: Region of this node according to its settings; empty if they state none.
    """

    zone_regions: Mapping[str, str] = field(default_factory=dict)
    own_zone: str = ""
    stated_region: str = ""

    @cached_property
    def regions(self) -> frozenset[str]:
        """Names of all regions."""
        return frozenset(self.zone_regions.values()) - {""}

    @property
    def has_several_regions(self) -> bool:
        """Whether allowed regions can exclude any zone; they cannot if there is one region."""
        return len(self.regions) > 1

    @property
    def own_region(self) -> str | None:
        """Region of this node; ``None`` if unknown."""
        return self.stated_region or self.region_of(self.own_zone)

    def region_of(self, zone: str) -> str | None:
        """Return the region of a zone; ``None`` if unknown."""
        return self.zone_regions.get(zone) or None

    def allows(self, zone: str, allowed_regions: frozenset[str] | None) -> bool:
        """Whether a zone is in one of the allowed regions.

        Args:
            zone: Name of the zone. One of an unknown region is only allowed if all regions are.
            allowed_regions: Names of the allowed regions; ``None`` for all.
        """
        return allowed_regions is None or self.region_of(zone) in allowed_regions
