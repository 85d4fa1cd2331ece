"""Rate limiter for repeated log lines."""


class LogIntervalLimiter:
    """Admits a log line at most once per interval.

    Args:
        interval_s: Minimum time between two lines, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_allowed_s = -float("inf")

    def allow(self, now_s: float) -> bool:
        """Return whether the line may be written now; if so, it counts as written."""
        if now_s < self._next_allowed_s:
            return False
        self._next_allowed_s = now_s + self._interval_s
        return True
