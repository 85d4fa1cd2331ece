"""Estimate of the number of events of an item, from expected tokens and finished items."""

from math import exp, log

# Half-life of the weight of a finished item, so that estimates follow the latest items.
HALF_LIFE_ITEMS = 100
# An item beyond its estimate is expected to generate this fraction of its present number of events
# in addition.
OVERRUN_FRACTION = 0.25
# With fewer finished items, expected tokens are converted by one ratio for all lengths. The first
# items that finish are short ones, from which the length of others cannot be fitted.
MIN_FITTED_ITEMS = 40
# Lengths that differ by less, as the standard deviation of their logarithms, allow no fit.
MIN_LOG_DEVIATION = 0.1
# Keeps items with more expected tokens ahead of others while all finished ones were equally short.
MIN_EXPONENT = 0.5


class _PowerLawFit:
    """Least squares fit of ``log(events)`` to ``log(expected tokens)`` over finished items.

    Callers state long lengths too high: on two deployments items of 20,000 expected tokens
    generated 130 events where one ratio for all lengths predicts 300. Groups with such items
    counted as late before they had started.
    """

    def __init__(self) -> None:
        self._num_items = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._variance_x = 0.0
        self._covariance = 0.0

    def record(self, expected_tokens: int, num_events: int, decay: float) -> None:
        """Add a finished item after the weight of the earlier ones was multiplied by ``decay``."""
        x, y = log(expected_tokens), log(num_events)
        earlier_weight = self._num_items * decay
        self._num_items = earlier_weight + 1.0
        share = 1.0 / self._num_items
        delta_x, delta_y = x - self._mean_x, y - self._mean_y
        self._mean_x += share * delta_x
        self._mean_y += share * delta_y
        self._variance_x = (1.0 - share) * (self._variance_x + share * delta_x * delta_x)
        self._covariance = (1.0 - share) * (self._covariance + share * delta_x * delta_y)

    @property
    def is_usable(self) -> bool:
        """Whether the finished items are enough, and differ enough, for a fit."""
        return self._num_items >= MIN_FITTED_ITEMS and self._variance_x >= MIN_LOG_DEVIATION**2

    def num_events(self, expected_tokens: int) -> float:
        """Return the number of events by the fit; it grows at most in proportion to the tokens."""
        exponent = min(1.0, max(MIN_EXPONENT, self._covariance / self._variance_x))
        return exp(self._mean_y + exponent * (log(expected_tokens) - self._mean_x))


class LengthEstimate:
    """Converts expected tokens to events by averages with exponential decay over finished items."""

    def __init__(self) -> None:
        self._num_tokens = 0.0
        self._num_events = 0.0
        self._num_items = 0.0
        self._fit = _PowerLawFit()

    def record_item(self, expected_tokens: int, num_events: int) -> None:
        """Add a finished item.

        Args:
            expected_tokens: Length stated by its caller; 0 if none was.
            num_events: Events that it generated.
        """
        decay = 0.5 ** (1 / HALF_LIFE_ITEMS)
        self._num_items = self._num_items * decay + 1
        self._num_events = self._num_events * decay + num_events
        self._num_tokens = self._num_tokens * decay + expected_tokens
        if expected_tokens > 0 and num_events > 0:
            self._fit.record(expected_tokens, num_events, decay)

    def num_events_left(self, expected_tokens: int, num_events: int) -> float:
        """Estimate how many events an item has still to generate.

        Args:
            expected_tokens: Length stated by its caller; 0 if none was.
            num_events: Events generated so far.
        """
        return max(
            self._num_expected_events(expected_tokens) - num_events, OVERRUN_FRACTION * num_events
        )

    def num_tokens_left(self, expected_tokens: int, num_events: int) -> int:
        """Estimate how many tokens are left of an item, counted as in its expected length."""
        has_fit = expected_tokens > 0 and self._fit.is_usable
        if not self._num_events or not (num_events or has_fit):
            return expected_tokens
        tokens_per_event = self._num_tokens / self._num_events
        return round(tokens_per_event * self.num_events_left(expected_tokens, num_events))

    def overrun_threshold(self, expected_tokens: int, num_events: int) -> float:
        """Return the number of events beyond which an item exceeds its present estimate.

        Args:
            expected_tokens: Length stated by its caller; 0 if none was.
            num_events: Events generated so far.

        Returns:
            A number of events; infinite before the first item has finished.
        """
        if not self._num_items:
            return float("inf")
        return num_events + self.num_events_left(expected_tokens, num_events)

    def _num_expected_events(self, expected_tokens: int) -> float:
        if not self._num_items:
            return 0.0
        if expected_tokens <= 0 or not self._num_tokens:
            return self._num_events / self._num_items
        if self._fit.is_usable:
            return self._fit.num_events(expected_tokens)
        return expected_tokens * self._num_events / self._num_tokens
