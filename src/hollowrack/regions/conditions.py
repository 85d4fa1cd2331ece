"""Conditions on the regions of the workers that may run a request."""

from dataclasses import dataclass, field

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import Worker
from hollowrack.regions.topology import RegionTopology


@dataclass(frozen=True)
class RegionCondition:
    """Condition that a worker is in one of the allowed regions.

    Conditions with the same regions are equal, so that waiting runs with the same regions share the
    search for a free slot.

    Attributes:
        topology: Regions of the zones.
        allowed_regions: Names of the allowed regions.
    """

    topology: RegionTopology = field(compare=False, repr=False)
    allowed_regions: frozenset[str]

    def __call__(self, worker: Worker) -> bool:
        """Return whether a worker is in an allowed region; false if its region is unknown."""
        return self.topology.allows(worker.zone, self.allowed_regions)


class RegionSendCondition:
    """Allows a request only at workers in its allowed regions, see :class:`SendCondition`.

    Args:
        topology: Regions of the zones.
    """

    def __init__(self, topology: RegionTopology) -> None:
        self._topology = topology

    def allows(self, worker: Worker, call: BackEndCall) -> bool:
        """Whether the worker is in an allowed region of the request."""
        return self._topology.allows(worker.zone, call.allowed_regions)
