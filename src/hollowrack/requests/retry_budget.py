"""Retries as a share of traffic, so that they cannot multiply an overload."""

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 20.0
_INITIAL_RETRIES = 5.0


class RetryBudget:
    """Each request earns a share of a retry; each retry spends one.

    Args:
        share: Retries earned by one request.
        max_saved: Most retries that can be saved up.
    """

    def __init__(self, share: float = RETRY_RATIO, max_saved: float = MAX_SAVED_RETRIES) -> None:
        self._share = share
        self._max_saved = max_saved
        self._saved = min(_INITIAL_RETRIES, max_saved)
        self.num_requests = 0
        self.num_retries = 0

    def record_request(self) -> None:
        """A first attempt is made."""
        self.num_requests += 1
        self._saved = min(self._max_saved, self._saved + self._share)

    def spend_retry(self) -> bool:
        """Whether a retry may be made; spends it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        self.num_retries += 1
        return True
