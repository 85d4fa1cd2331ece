"""How many requests this node may have in flight at a worker."""

from typing import Protocol

from hollowrack.forwarding.types import Worker


class SlotLimits(Protocol):
    """Limits that a dispatch queue keeps to."""

    def limit(self, worker: Worker) -> int:
        """Return how many requests this node may have in flight at a worker."""

    def notify_waiting(self) -> None:
        """Work has come that has no slot."""


class FullCapacityLimits:
    """Every slot of every worker may be used."""

    def limit(self, worker: Worker) -> int:
        """Return the worker's capacity; one that tells none takes one request."""
        return max(1, worker.capacity)

    def notify_waiting(self) -> None:
        """Nobody else could give up a slot."""
