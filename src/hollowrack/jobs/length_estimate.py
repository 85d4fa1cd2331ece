"""Estimate of the number of events of an item, from expected tokens and finished items."""

# Half-life of the weight of a finished item, so that estimates follow the latest items.
HALF_LIFE_ITEMS = 100
# An item beyond its estimate is expected to generate this fraction of its present number of events
# in addition.
OVERRUN_FRACTION = 0.25


class LengthEstimate:
    """Converts expected tokens to events by averages with exponential decay over finished items."""

    def __init__(self) -> None:
        self._num_tokens = 0.0
        self._num_events = 0.0
        self._num_items = 0.0

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
        if not num_events or not self._num_events:
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
        if not expected_tokens or not self._num_tokens:
            return self._num_events / self._num_items
        return expected_tokens * self._num_events / self._num_tokens
