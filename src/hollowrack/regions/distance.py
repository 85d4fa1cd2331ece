"""Distances between this node and zones: own zone, own region or another region."""

from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import TypeVar

from hollowrack.regions.topology import RegionTopology

Element = TypeVar("Element")


class Distance(IntEnum):
    """Distance of a zone, nearest first; names are metric labels."""

    OWN_ZONE = 0
    OWN_REGION = 1
    OTHER_REGION = 2


class ZoneDistances:
    """Distances of zones from one node.

    Where only one region is known, or the region of the node is not, all other zones count as zones
    of its region.

    Args:
        own_zone: Zone of the node.
        topology: Regions of the zones.
    """

    def __init__(self, own_zone: str, topology: RegionTopology) -> None:
        self._own_zone = own_zone
        self._topology = topology
        self.has_other_regions = topology.own_region is not None and topology.has_several_regions

    def of(self, zone: str) -> Distance:
        """Return the distance of a zone; one of an unknown region counts as another region."""
        if zone == self._own_zone:
            return Distance.OWN_ZONE
        if self.is_in_other_region(zone):
            return Distance.OTHER_REGION
        return Distance.OWN_REGION

    def is_in_other_region(self, zone: str) -> bool:
        """Whether a zone is in another region."""
        return (
            self.has_other_regions
            and zone != self._own_zone
            and self._topology.region_of(zone) != self._topology.own_region
        )

    def own_region_zones(self) -> frozenset[str]:
        """Return the zones of the own region; empty if all zones are in it."""
        if not self.has_other_regions:
            return frozenset()
        zones = {*self._topology.zone_regions, self._own_zone}
        return frozenset(zone for zone in zones if not self.is_in_other_region(zone))

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty if unknown."""
        return self._topology.region_of(zone) or ""

    def own_region_first(
        self, elements: Iterable[Element], zone_of: Callable[[Element], str], num_first: int
    ) -> list[Element]:
        """Return elements of the own region first, and one of another region among the first.

        The order among elements of the own region, and among the others, stays as it is. With
        several regions, the element after the first ``num_first`` ones is in another region: if the
        zones of the own region cannot reach each other, few elements have to be tried.

        Args:
            elements: Elements in order of preference.
            zone_of: Returns the zone of an element.
            num_first: Number of elements of the own region before the first of another one.
        """
        elements = list(elements)
        if not self.has_other_regions:
            return elements
        near = [element for element in elements if not self.is_in_other_region(zone_of(element))]
        far = [element for element in elements if self.is_in_other_region(zone_of(element))]
        return [*near[:num_first], *far[:1], *near[num_first:], *far[1:]]
