"""Condition that keeps requests from workers of evacuated zones."""

from hollowrack.evacuation.zones import EvacuatedZones
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import Worker


class EvacuationCondition:
    """Stops requests whose worker's zone was evacuated after the worker had been chosen.

    Implements :class:`hollowrack.forwarding.send_guard.SendCondition`.

    Args:
        zones: The evacuated zones.
    """

    def __init__(self, zones: EvacuatedZones) -> None:
        self._zones = zones

    def allows(self, worker: Worker, call: BackEndCall) -> bool:
        """Whether the worker's zone is not evacuated; a request that is stopped is counted."""
        del call
        if not self._zones.is_evacuated(worker.zone):
            return True
        self._zones.record_stopped(worker.zone)
        return False

    def allows_probe(self, worker: Worker) -> bool:
        """Whether a worker may be asked for its state."""
        return not self._zones.is_evacuated(worker.zone)
