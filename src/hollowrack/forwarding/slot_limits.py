"""Limits on this node's requests in flight at each worker."""

from typing import Protocol

from hollowrack.forwarding.types import Worker


class SlotLimits(Protocol):
    """Limits that a dispatch queue observes."""

    def limit(self, worker: Worker) -> int:
        """Return how many requests this node may have in flight at a worker."""

    def notify_waiting(self) -> None:
        """Report that work is waiting for a slot."""


class FullCapacityLimits:
    """Allows this node to use all slots of every worker."""

    def limit(self, worker: Worker) -> int:
        """Return the worker's capacity, or 1 if it reports none."""
        return max(1, worker.capacity)

    def notify_waiting(self) -> None:
        """Do nothing: no other node can release a slot."""
