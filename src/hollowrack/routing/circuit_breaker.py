"""A circuit per back end, driven by direct evidence only."""

from enum import Enum

FAILURE_THRESHOLD = 3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


class CircuitStatus(Enum):
    """Life of a circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Opens after consecutive failures, lets one request through after a growing pause."""

    def __init__(self) -> None:
        self.status = CircuitStatus.CLOSED
        self._num_failures = 0
        self._open_until_s = 0.0
        self._pause_s = INITIAL_BACKOFF_S

    def allows(self, now_s: float) -> bool:
        """Whether a request may be sent at ``now_s``."""
        if self.status is CircuitStatus.OPEN and now_s >= self._open_until_s:
            return True
        return self.status is CircuitStatus.CLOSED

    def record_sent(self, now_s: float) -> None:
        """A request was sent; for an open circuit it is the trial."""
        if self.status is CircuitStatus.OPEN and now_s >= self._open_until_s:
            self.status = CircuitStatus.HALF_OPEN

    def record_success(self) -> None:
        """A request was answered."""
        self.status = CircuitStatus.CLOSED
        self._num_failures = 0
        self._pause_s = INITIAL_BACKOFF_S

    def record_failure(self, now_s: float, is_conclusive: bool = False) -> None:
        """A request failed; a conclusive failure (no connection) opens the circuit at once."""
        self._num_failures += 1
        is_trial = self.status is CircuitStatus.HALF_OPEN
        if is_trial or is_conclusive or self._num_failures >= FAILURE_THRESHOLD:
            if is_trial:
                self._pause_s = min(2 * self._pause_s, MAX_BACKOFF_S)
            self.status = CircuitStatus.OPEN
            self._open_until_s = now_s + self._pause_s

    def record_abandoned(self, now_s: float) -> None:
        """A trial ended without evidence either way; another may follow at once."""
        if self.status is CircuitStatus.HALF_OPEN:
            self.status = CircuitStatus.OPEN
            self._open_until_s = now_s
