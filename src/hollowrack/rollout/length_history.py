"""Answer length estimates, based on the lengths of finished samples."""

from dataclasses import dataclass, field

from hollowrack.rollout.types import Prompt


@dataclass
class LengthHistory:
    """Exponential moving averages of answer lengths, in tokens, per prompt text and overall.

    Attributes:
        smoothing: Weight of a new length in the moving averages.
        num_recorded: Number of recorded lengths.
    """

    smoothing: float = 0.3
    num_recorded: int = 0
    _estimates: dict[str, float] = field(default_factory=dict)
    _overall: float | None = None

    def record(self, prompt_text: str, num_tokens: int) -> None:
        """Record the length of a finished sample."""
        self.num_recorded += 1
        estimate = self._estimates.get(prompt_text, float(num_tokens))
        self._estimates[prompt_text] = estimate + self.smoothing * (num_tokens - estimate)
        overall = self._overall if self._overall is not None else float(num_tokens)
        self._overall = overall + self.smoothing * (num_tokens - overall)

    def expected(self, prompt: Prompt) -> float:
        """Return the expected answer length, in tokens.

        For an unknown prompt, this is the overall average, at most its ``max_tokens``.
        """
        estimate = self._estimates.get(prompt.text)
        if estimate is not None:
            return estimate
        return min(float(prompt.max_tokens), self._overall or float(prompt.max_tokens))
