"""Which workers may run an item."""

from dataclasses import dataclass, field

from hollowrack.forwarding.types import Worker
from hollowrack.quarantine.placement import SuspectPlacement


@dataclass(frozen=True)
class ItemEligibility:
    """A condition on workers; items with equal conditions wait for the same places.

    Attributes:
        model: Model whose weights bind the item; empty if none do.
        min_version: Oldest version of them that may make its tokens.
        suspect: Fingerprint of the item if workers have ended under it; ``None`` otherwise.
        suspect_placement: Where suspects run.
    """

    model: str
    min_version: int
    suspect: str | None
    suspect_placement: SuspectPlacement | None = field(compare=False, repr=False)

    def __call__(self, worker: Worker) -> bool:
        """Whether a worker may run the item."""
        return self._is_apart(worker) and self._has_weights(worker)

    def _is_apart(self, worker: Worker) -> bool:
        if self.suspect is None or self.suspect_placement is None:
            return True
        return self.suspect_placement.allows(self.suspect, worker.incarnation)

    def _has_weights(self, worker: Worker) -> bool:
        return worker.holds(self.model, self.min_version)
