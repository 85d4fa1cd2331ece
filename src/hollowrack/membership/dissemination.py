"""Chooses which updates ride on the next datagram.

The least sent go first, each a bounded number of times, so that an update reaches everybody and
then stops costing anything.
"""

import math
from dataclasses import dataclass
from typing import Generic, TypeVar

Update = TypeVar("Update")

# Each update is sent this many times per doubling of the fleet; SWIM's lambda (Das et al., 2002).
RETRANSMIT_FACTOR = 3


@dataclass
class _Pending(Generic[Update]):
    update: Update
    num_sent: int = 0


class DisseminationQueue(Generic[Update]):
    """Updates by subject; a newer update about the same subject replaces the older one."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending[Update]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def clear(self) -> None:
        """Spread nothing of what was added so far."""
        self._pending.clear()

    def add(self, subject: str, update: Update) -> None:
        """Spread an update."""
        self._pending[subject] = _Pending(update)

    def next_updates(self, max_updates: int, num_members: int) -> tuple[Update, ...]:
        """Return the updates for one datagram and count them as sent."""
        if not self._pending:
            return ()
        max_sent = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(num_members + 1)))
        ranked = sorted(self._pending, key=lambda subject: self._pending[subject].num_sent)
        chosen = ranked[:max_updates]
        updates = tuple(self._pending[subject].update for subject in chosen)
        for subject in chosen:
            pending = self._pending[subject]
            pending.num_sent += 1
            if pending.num_sent >= max_sent:
                del self._pending[subject]
        return updates
