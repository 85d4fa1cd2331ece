"""How long to wait for the first sign of an answer, from how long answers took lately."""

from collections import deque

WINDOW_SIZE = 32
MIN_SAMPLES = 8
TIMEOUT_FACTOR = 2.5


class FirstEventTimeout:
    """Patience as a multiple of the longest of the latest waits.

    A worker that has lost a request never answers; waiting for it longer than any sound worker has
    taken lately only delays the request.

    Args:
        min_s: Least patience, in seconds.
        max_s: Most patience, and the patience while little is known, in seconds.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._latest_s: deque[float] = deque(maxlen=WINDOW_SIZE)

    def record(self, waited_s: float) -> None:
        """A first event came after this wait, in seconds."""
        self._latest_s.append(waited_s)

    @property
    def value_s(self) -> float:
        """The patience, in seconds."""
        if len(self._latest_s) < MIN_SAMPLES:
            return self._max_s
        worst_s = max(self._latest_s)
        return min(self._max_s, max(self._min_s, TIMEOUT_FACTOR * worst_s))
