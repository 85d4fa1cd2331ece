"""Entries of the platform's store that cannot be read: their log lines and their number."""

from collections import Counter, OrderedDict

from absl import logging

from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.results import Problem

# Entries whose last problem is remembered, so that one that is written again is not logged again.
MAX_TRACKED_ENTRIES = 1024


class UnreadableEntries:
    """Logs each entry once for each problem, within a bound of lines.

    Args:
        lines: Bounds the lines.

    Attributes:
        num_by_prefix: Changes that could not be read, by the prefix of their keys.
    """

    def __init__(self, lines: LogRateLimiter) -> None:
        self.num_by_prefix: Counter[str] = Counter()
        self._lines = lines
        self._problems: OrderedDict[str, Problem] = OrderedDict()

    def record(self, prefix: str, key: str, problem: Problem) -> None:
        """An entry was written that cannot be read."""
        self.num_by_prefix[prefix] += 1
        if self._problems.get(key) == problem:
            return
        self._problems[key] = problem
        self._problems.move_to_end(key)
        if len(self._problems) > MAX_TRACKED_ENTRIES:
            self._problems.popitem(last=False)
        if self._lines.allows():
            num_left_out = self._lines.reset_suppressed()
            logging.error("%s (%d such lines left out before)", problem, num_left_out)

    def forget(self, key: str) -> None:
        """An entry can be read again, or is gone."""
        self._problems.pop(key, None)
