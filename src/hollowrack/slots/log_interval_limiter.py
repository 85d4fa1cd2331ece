"""Keeps a repeated log line from filling the log."""


class LogIntervalLimiter:
    """Lets a line through once an interval.

    Args:
        interval_s: The interval, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_s = -float("inf")

    def allow(self, now_s: float) -> bool:
        """Return whether the line is to be written now; if so, it counts as written."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s
        return True
