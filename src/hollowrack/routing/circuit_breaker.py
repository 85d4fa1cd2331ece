"""Circuit breaker of a back end, driven by the outcomes of this node's own requests."""

from enum import Enum

FAILURE_THRESHOLD = 3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


class CircuitStatus(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Circuit breaker with exponential backoff.

    Opens after ``FAILURE_THRESHOLD`` consecutive failures, or after one conclusive failure. After
    the backoff one trial request may be sent, whose outcome closes the circuit or opens it again.
    """

    def __init__(self) -> None:
        self.status = CircuitStatus.CLOSED
        self._num_failures = 0
        self._open_until_s = 0.0
        self._backoff_s = INITIAL_BACKOFF_S

    def allows(self, now_s: float) -> bool:
        """Return whether a request may be sent at ``now_s``."""
        if self.status is CircuitStatus.OPEN and now_s >= self._open_until_s:
            return True
        return self.status is CircuitStatus.CLOSED

    def record_sent(self, now_s: float) -> None:
        """Record that a request was sent; if the circuit is open, it is the trial."""
        if self.status is CircuitStatus.OPEN and now_s >= self._open_until_s:
            self.status = CircuitStatus.HALF_OPEN

    def record_success(self) -> None:
        """Record an answered request, which closes the circuit."""
        self.status = CircuitStatus.CLOSED
        self._num_failures = 0
        self._backoff_s = INITIAL_BACKOFF_S

    def record_failure(self, now_s: float, is_conclusive: bool = False) -> None:
        """Record a failed request.

        Args:
            now_s: Current time, in seconds on the monotonic clock.
            is_conclusive: Whether it opens the circuit at once, as a failure to connect does.
        """
        self._num_failures += 1
        is_trial = self.status is CircuitStatus.HALF_OPEN
        if is_trial or is_conclusive or self._num_failures >= FAILURE_THRESHOLD:
            if is_trial:
                self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
            self.status = CircuitStatus.OPEN
            self._open_until_s = now_s + self._backoff_s

    def record_abandoned(self, now_s: float) -> None:
        """Record a request without a conclusive outcome; another trial may be sent at once."""
        if self.status is CircuitStatus.HALF_OPEN:
            self.status = CircuitStatus.OPEN
            self._open_until_s = now_s
