"""Retry budget: limits retries to a fraction of the traffic, so that they do not cause overload."""

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 20.0
_INITIAL_RETRIES = 5.0


class RetryBudget:
    """Token bucket of retries, filled by first attempts.

    Args:
        ratio: Retries added to the budget by each first attempt.
        max_saved: Maximum number of unspent retries.

    Attributes:
        num_requests: Number of first attempts.
        num_retries: Number of retries that were allowed.
    """

    def __init__(self, ratio: float = RETRY_RATIO, max_saved: float = MAX_SAVED_RETRIES) -> None:
        self._ratio = ratio
        self._max_saved = max_saved
        self._saved = min(_INITIAL_RETRIES, max_saved)
        self.num_requests = 0
        self.num_retries = 0

    def record_request(self) -> None:
        """Record a first attempt."""
        self.num_requests += 1
        self._saved = min(self._max_saved, self._saved + self._ratio)

    def spend_retry(self) -> bool:
        """Spend a retry if the budget allows one; return whether it did."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        self.num_retries += 1
        return True
