"""How many events items will have, from what callers expect and from items that have ended."""

# Estimates follow the latest items: what is older counts half after so many more.
HALF_LIFE_ITEMS = 100
# An item that is longer than expected goes on for this share of what it has, as far as known.
OVERRUN_FRACTION = 0.25


class LengthEstimate:
    """Turns expected tokens into events, learnt from the items that have ended."""

    def __init__(self) -> None:
        self._num_tokens = 0.0
        self._num_events = 0.0
        self._num_items = 0.0

    def record_item(self, expected_tokens: int, num_events: int) -> None:
        """An item has ended.

        Args:
            expected_tokens: How many tokens its caller had expected; 0 if that was not told.
            num_events: How many events it had.
        """
        keep = 0.5 ** (1 / HALF_LIFE_ITEMS)
        self._num_items = self._num_items * keep + 1
        self._num_events = self._num_events * keep + num_events
        self._num_tokens = self._num_tokens * keep + expected_tokens

    def num_events_left(self, expected_tokens: int, num_events: int) -> float:
        """Estimate how many events an item has before it.

        Args:
            expected_tokens: How many tokens its caller expects; 0 if that is not told.
            num_events: How many events it has.
        """
        return max(self._num_expected(expected_tokens) - num_events, OVERRUN_FRACTION * num_events)

    def num_tokens_left(self, expected_tokens: int, num_events: int) -> int:
        """Estimate how many tokens an item has before it, in its caller's terms."""
        if not num_events or not self._num_events:
            return expected_tokens
        tokens_an_event = self._num_tokens / self._num_events
        return round(tokens_an_event * self.num_events_left(expected_tokens, num_events))

    def overrun_threshold(self, expected_tokens: int, num_events: int) -> float:
        """Return at how many events an item will have outgrown its estimate.

        Args:
            expected_tokens: How many tokens its caller expects; 0 if that is not told.
            num_events: How many events it has.

        Returns:
            A number of events; infinite while nothing is known of lengths.
        """
        if not self._num_items:
            return float("inf")
        return num_events + self.num_events_left(expected_tokens, num_events)

    def _num_expected(self, expected_tokens: int) -> float:
        if not self._num_items:
            return 0.0
        if not expected_tokens or not self._num_tokens:
            return self._num_events / self._num_items
        return expected_tokens * self._num_events / self._num_tokens
