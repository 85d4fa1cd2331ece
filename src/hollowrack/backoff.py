"""Pauses between attempts that grow while the attempts fail."""

import random

GROWTH = 2.0
MIN_JITTER = 0.7


class Backoff:
    """Pauses that double from a first to a longest one, with jitter, until a success resets them.

    Args:
        first_s: Longest first pause, in seconds.
        max_s: Longest pause, in seconds.
        rng: Source of the jitter.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._next_s = first_s

    def reset(self) -> None:
        """An attempt succeeded: begin again with the first pause."""
        self._next_s = self._first_s

    def next_delay_s(self) -> float:
        """Return how long to pause after one more failure, in seconds."""
        pause_s = self._next_s
        self._next_s = min(self._max_s, GROWTH * pause_s)
        return pause_s * self._rng.uniform(MIN_JITTER, 1.0)
