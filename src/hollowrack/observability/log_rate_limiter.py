"""Rate limiter of repeated log lines."""

from hollowrack.clock import now_s

DEFAULT_MAX_LINES = 20
DEFAULT_PERIOD_S = 10.0


class LogRateLimiter:
    """Limits the number of log lines per period and counts the suppressed lines.

    Args:
        max_lines: Maximum number of lines per period.
        period_s: Length of a period, in seconds.
    """

    def __init__(
        self, max_lines: int = DEFAULT_MAX_LINES, period_s: float = DEFAULT_PERIOD_S
    ) -> None:
        self._max_lines = max_lines
        self._period_s = period_s
        self._period_start_s = -float("inf")
        self._num_lines = 0
        self._num_suppressed = 0

    def allow(self) -> bool:
        """Return whether a line may be logged now; counts it as logged or suppressed."""
        now = now_s()
        if now - self._period_start_s >= self._period_s:
            self._period_start_s = now
            self._num_lines = 0
        if self._num_lines >= self._max_lines:
            self._num_suppressed += 1
            return False
        self._num_lines += 1
        return True

    def reset_suppressed(self) -> int:
        """Return and reset the number of lines suppressed since the last call."""
        num_suppressed, self._num_suppressed = self._num_suppressed, 0
        return num_suppressed
