"""A circuit per back end, driven by direct evidence only."""

from enum import Enum

OPEN_AFTER_NUM_FAILURES = 3
OPEN_FIRST_S = 0.5
OPEN_MAX_S = 15.0


class CircuitStatus(Enum):
    """Life of a circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Circuit:
    """Opens after consecutive failures, lets one request through after a growing pause."""

    def __init__(self) -> None:
        self.status = CircuitStatus.CLOSED
        self._num_failures = 0
        self._open_until_s = 0.0
        self._pause_s = OPEN_FIRST_S

    def allows(self, now_s: float) -> bool:
        """Whether a request may be sent at ``now_s``."""
        if self.status is CircuitStatus.OPEN and now_s >= self._open_until_s:
            return True
        return self.status is CircuitStatus.CLOSED

    def note_sent(self, now_s: float) -> None:
        """A request was sent; for an open circuit it is the trial."""
        if self.status is CircuitStatus.OPEN and now_s >= self._open_until_s:
            self.status = CircuitStatus.HALF_OPEN

    def note_success(self) -> None:
        """A request was answered."""
        self.status = CircuitStatus.CLOSED
        self._num_failures = 0
        self._pause_s = OPEN_FIRST_S

    def note_failure(self, now_s: float, is_conclusive: bool = False) -> None:
        """A request failed; a conclusive failure (no connection) opens the circuit at once."""
        self._num_failures += 1
        is_trial = self.status is CircuitStatus.HALF_OPEN
        if is_trial or is_conclusive or self._num_failures >= OPEN_AFTER_NUM_FAILURES:
            if is_trial:
                self._pause_s = min(2 * self._pause_s, OPEN_MAX_S)
            self.status = CircuitStatus.OPEN
            self._open_until_s = now_s + self._pause_s

    def note_abandoned(self, now_s: float) -> None:
        """A trial ended without evidence either way; another may follow at once."""
        if self.status is CircuitStatus.HALF_OPEN:
            self.status = CircuitStatus.OPEN
            self._open_until_s = now_s
