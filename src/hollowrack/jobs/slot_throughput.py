"""Estimate of the throughput of one slot, updated with each finished item."""

# Half-life of the weight of a finished item; short, to follow workers that become slow.
HALF_LIFE_ITEMS = 30


class SlotThroughputEstimate:
    """Tokens per second of one slot, an average with exponential decay.

    Tokens are counted as in the callers' expected lengths.
    """

    def __init__(self) -> None:
        self._num_tokens = 0.0
        self._duration_s = 0.0

    def record_item(self, num_tokens: float, duration_s: float) -> None:
        """Add a finished item.

        Args:
            num_tokens: Expected tokens of the part of its text that was generated here.
            duration_s: Time for which it held slots, in seconds.
        """
        decay = 0.5 ** (1 / HALF_LIFE_ITEMS)
        self._num_tokens = self._num_tokens * decay + num_tokens
        self._duration_s = self._duration_s * decay + duration_s

    @property
    def tokens_per_s(self) -> float:
        """Tokens per second; 0 before the first item has finished."""
        return self._num_tokens / self._duration_s if self._duration_s > 0.0 else 0.0
