"""A bound on log lines that somebody else's writes can cause."""

from hollowrack.clock import now_s

DEFAULT_MAX_LINES = 20
DEFAULT_PERIOD_S = 10.0


class LogRateLimiter:
    """Allows so many lines in a period, and counts those that were left out.

    Args:
        max_lines: Most lines in one period.
        period_s: Length of a period, in seconds.
    """

    def __init__(
        self, max_lines: int = DEFAULT_MAX_LINES, period_s: float = DEFAULT_PERIOD_S
    ) -> None:
        self._max_lines = max_lines
        self._period_s = period_s
        self._began_s = -float("inf")
        self._num_lines = 0
        self._num_left_out = 0

    def allows(self) -> bool:
        """Whether one more line may be written now."""
        now = now_s()
        if now - self._began_s >= self._period_s:
            self._began_s = now
            self._num_lines = 0
        if self._num_lines >= self._max_lines:
            self._num_left_out += 1
            return False
        self._num_lines += 1
        return True

    def reset_suppressed(self) -> int:
        """Return how many lines were left out since the last call."""
        num_left_out, self._num_left_out = self._num_left_out, 0
        return num_left_out
