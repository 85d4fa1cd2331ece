"""Dissemination queue of the updates that are piggybacked on datagrams.

Updates sent least often go first. Each is sent a bounded number of times, which is enough to reach
all nodes with high probability.
"""

import math
from dataclasses import dataclass
from typing import Generic, TypeVar

Update = TypeVar("Update")

# Each update is sent this many times the binary logarithm of the number of members (SWIM's lambda;
# Das et al., 2002).
RETRANSMIT_FACTOR = 3


@dataclass
class _Pending(Generic[Update]):
    update: Update
    num_sent: int = 0


class DisseminationQueue(Generic[Update]):
    """Updates to be sent, one per subject: a new update replaces the older one."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending[Update]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def clear(self) -> None:
        """Remove all updates."""
        self._pending.clear()

    def add(self, subject: str, update: Update) -> None:
        """Add an update."""
        self._pending[subject] = _Pending(update)

    def next_updates(self, max_updates: int, num_members: int) -> tuple[Update, ...]:
        """Return the updates for the next datagram and count them as sent."""
        if not self._pending:
            return ()
        max_sent = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(num_members + 1)))
        ranked = sorted(self._pending, key=lambda subject: self._pending[subject].num_sent)
        selected = ranked[:max_updates]
        updates = tuple(self._pending[subject].update for subject in selected)
        for subject in selected:
            pending = self._pending[subject]
            pending.num_sent += 1
            if pending.num_sent >= max_sent:
                del self._pending[subject]
        return updates
