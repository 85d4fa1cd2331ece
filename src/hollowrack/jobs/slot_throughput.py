"""How fast one place at a worker generates, learnt from the items that have ended."""

# Follows workers that turn slow within a few dozen items: what is older counts half.
HALF_LIFE_ITEMS = 30


class SlotThroughputEstimate:
    """Tokens in callers' terms that come out of one place in a second."""

    def __init__(self) -> None:
        self._num_tokens = 0.0
        self._seconds = 0.0

    def record_item(self, num_tokens: float, seconds: float) -> None:
        """An item has ended.

        Args:
            num_tokens: How many tokens its caller had expected of what was generated here.
            seconds: How long it had places at workers, in seconds.
        """
        keep = 0.5 ** (1 / HALF_LIFE_ITEMS)
        self._num_tokens = self._num_tokens * keep + num_tokens
        self._seconds = self._seconds * keep + seconds

    @property
    def tokens_per_s(self) -> float:
        """Tokens a second; 0 while nothing is known."""
        return self._num_tokens / self._seconds if self._seconds > 0.0 else 0.0
