"""Exponential backoff with jitter."""

import random

GROWTH = 2.0
MIN_JITTER = 0.7


class Backoff:
    """Delays that double from an initial to a maximum value, with jitter, until they are reset.

    Args:
        first_s: Upper limit of the first delay, in seconds.
        max_s: Upper limit of all delays, in seconds.
        rng: Source of the jitter.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._next_s = first_s

    def reset(self) -> None:
        """Start again with the first delay, after a successful attempt."""
        self._next_s = self._first_s

    def next_delay_s(self) -> float:
        """Return the delay after another failed attempt, in seconds."""
        delay_s = self._next_s
        self._next_s = min(self._max_s, GROWTH * delay_s)
        return delay_s * self._rng.uniform(MIN_JITTER, 1.0)
