"""Tracker of entries in the platform's store that cannot be decoded."""

from collections import Counter, OrderedDict

from absl import logging

from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.results import Problem

# Maximum number of entries whose last problem is stored, so that it is not logged again.
MAX_TRACKED_ENTRIES = 1024


class UnreadableEntries:
    """Counts unreadable entries and logs each one once per problem.

    Args:
        rate_limiter: Limits the log lines.

    Attributes:
        num_by_prefix: Number of changes that could not be decoded, by key prefix.
    """

    def __init__(self, rate_limiter: LogRateLimiter) -> None:
        self.num_by_prefix: Counter[str] = Counter()
        self._rate_limiter = rate_limiter
        self._problems: OrderedDict[str, Problem] = OrderedDict()

    def record(self, prefix: str, key: str, problem: Problem, level: int = logging.ERROR) -> None:
        """Record an entry that cannot be decoded.

        Args:
            prefix: Prefix of its key, by which the changes are counted.
            key: Its key.
            problem: Why it cannot be decoded.
            level: Level of the log line.
        """
        self.num_by_prefix[prefix] += 1
        if self._problems.get(key) == problem:
            return
        self._problems[key] = problem
        self._problems.move_to_end(key)
        if len(self._problems) > MAX_TRACKED_ENTRIES:
            self._problems.popitem(last=False)
        if self._rate_limiter.allow():
            num_suppressed = self._rate_limiter.reset_suppressed()
            logging.log(
                level, "%s (%d similar log lines suppressed before)", problem, num_suppressed
            )

    def remove(self, key: str) -> None:
        """Remove the problem of an entry that is readable again or was removed."""
        self._problems.pop(key, None)
