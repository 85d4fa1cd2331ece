"""Weighted fair queue over tenants (start-time fair queueing, Goyal et al., 1996)."""

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")

DEFAULT_WEIGHT = 1.0


@dataclass(order=True)
class _Entry(Generic[Item]):
    start_tag: float
    number: int
    item: Item = field(compare=False)


class FairQueue(Generic[Item]):
    """Queue that orders items by their virtual start times.

    Args:
        weights: Weight by tenant; ``DEFAULT_WEIGHT`` for tenants that are not listed.
    """

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self.weights: Mapping[str, float] = weights or {}
        self._heap: list[_Entry[Item]] = []
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, tenant: str, item: Item) -> None:
        """Add an item of a tenant."""
        start_tag = max(self._virtual_time, self._finish_tags.get(tenant, 0.0))
        weight = self.weights.get(tenant, DEFAULT_WEIGHT)
        self._finish_tags[tenant] = start_tag + 1.0 / weight
        heapq.heappush(self._heap, _Entry(start_tag, next(self._numbers), item))

    def pop(self) -> Item:
        """Remove and return the next item.

        Raises:
            IndexError: If the queue is empty.
        """
        entry = heapq.heappop(self._heap)
        self._virtual_time = entry.start_tag
        if not self._heap:
            # Tags only matter while items are queued; clearing them bounds the memory.
            self._finish_tags.clear()
            self._virtual_time = 0.0
        return entry.item

    def discard(self, item: Item) -> bool:
        """Remove an item and return whether it was queued."""
        for position, entry in enumerate(self._heap):
            if entry.item is item:
                del self._heap[position]
                heapq.heapify(self._heap)
                return True
        return False
