"""Which workers may run an item."""

from dataclasses import dataclass, field

from hollowrack.forwarding.types import Worker
from hollowrack.quarantine.places import SuspectPlaces


@dataclass(frozen=True)
class ItemEligibility:
    """A condition on workers; items with equal conditions wait for the same places.

    Attributes:
        model: Model whose weights bind the item; empty if none do.
        min_version: Oldest version of them that may make its tokens.
        suspect: Fingerprint of the item if workers have ended under it; ``None`` otherwise.
        places: Where suspects run.
    """

    model: str
    min_version: int
    suspect: str | None
    places: SuspectPlaces | None = field(compare=False, repr=False)

    def __call__(self, worker: Worker) -> bool:
        """Whether a worker may run the item."""
        return self._is_apart(worker) and self._has_weights(worker)

    def _is_apart(self, worker: Worker) -> bool:
        if self.suspect is None or self.places is None:
            return True
        return self.places.allows(self.suspect, worker.life)

    def _has_weights(self, worker: Worker) -> bool:
        return worker.holds(self.model, self.min_version)
