"""Adaptive timeout for the start of an answer."""

from collections import deque

WINDOW_SIZE = 32
MIN_SAMPLES = 8
TIMEOUT_FACTOR = 2.5


class FirstEventTimeout:
    """Timeout that is a multiple of the longest recent latency.

    Bounds the delay that is caused by a worker which has lost a request and never answers.

    Args:
        min_s: Lower bound of the timeout, in seconds.
        max_s: Upper bound of the timeout, also used until there are enough samples, in seconds.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._latencies_s: deque[float] = deque(maxlen=WINDOW_SIZE)

    def record(self, latency_s: float) -> None:
        """Record the time until an answer started, in seconds."""
        self._latencies_s.append(latency_s)

    @property
    def value_s(self) -> float:
        """The current timeout, in seconds."""
        if len(self._latencies_s) < MIN_SAMPLES:
            return self._max_s
        longest_s = max(self._latencies_s)
        return min(self._max_s, max(self._min_s, TIMEOUT_FACTOR * longest_s))
