"""How long answers were, to expect how long they will be."""

from dataclasses import dataclass, field

from hollowrack.rollout.types import Prompt


@dataclass
class LengthHistory:
    """Running estimate of answer lengths per prompt text, in tokens.

    Attributes:
        smoothing: Weight of the newest length.
        num_recorded: Lengths taken in so far.
    """

    smoothing: float = 0.3
    num_recorded: int = 0
    _estimates: dict[str, float] = field(default_factory=dict)
    _overall: float | None = None

    def record(self, prompt_text: str, num_tokens: int) -> None:
        """Take in the length of a finished sample."""
        self.num_recorded += 1
        known = self._estimates.get(prompt_text, float(num_tokens))
        self._estimates[prompt_text] = known + self.smoothing * (num_tokens - known)
        overall = self._overall if self._overall is not None else float(num_tokens)
        self._overall = overall + self.smoothing * (num_tokens - overall)

    def expected(self, prompt: Prompt) -> float:
        """Expected length of an answer, in tokens."""
        known = self._estimates.get(prompt.text)
        if known is not None:
            return known
        return min(float(prompt.max_tokens), self._overall or float(prompt.max_tokens))
