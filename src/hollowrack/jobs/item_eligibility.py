"""Condition on the workers that may run an item."""

from dataclasses import dataclass, field

from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import Eligible
from hollowrack.quarantine.placement import SuspectPlacement


@dataclass(frozen=True)
class ItemEligibility:
    """A condition on workers; items with equal conditions wait for the same slots.

    Attributes:
        model: Model whose weight versions restrict the workers; empty if none do.
        min_version: Oldest weight version that may generate its tokens.
        suspect: Fingerprint of the item if workers have crashed while running it, else ``None``.
        suspect_placement: Restricts the workers that may run suspects; ``None`` for no restriction.
        in_regions: Restricts the regions of the workers; ``None`` for no restriction.
    """

    model: str
    min_version: int
    suspect: str | None
    suspect_placement: SuspectPlacement | None = field(compare=False, repr=False)
    in_regions: Eligible | None = None

    def __call__(self, worker: Worker) -> bool:
        """Return whether a worker may run the item."""
        return (
            self._allows_suspect(worker)
            and self._has_weights(worker)
            and (self.in_regions is None or self.in_regions(worker))
        )

    def _allows_suspect(self, worker: Worker) -> bool:
        if self.suspect is None or self.suspect_placement is None:
            return True
        return self.suspect_placement.allows(self.suspect, worker.incarnation)

    def _has_weights(self, worker: Worker) -> bool:
        return worker.holds(self.model, self.min_version)
