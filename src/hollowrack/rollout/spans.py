"""Weight-version spans: built from what engines report, checked before anything is committed."""

from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode
from hollowrack.rollout.types import VersionSpan


class SpanBuilder:
    """Collects the weight version of each generated token into spans."""

    def __init__(self) -> None:
        self._spans: list[VersionSpan] = []
        self.num_tokens = 0
        self.oldest_version: int | None = None

    def add(self, weight_version: int, num_tokens: int = 1) -> None:
        """Record the version of the next ``num_tokens`` tokens."""
        first_token = self.num_tokens
        if self._spans and self._spans[-1].weight_version == weight_version:
            first_token = self._spans.pop().first_token
        self.num_tokens += num_tokens
        self._spans.append(VersionSpan(weight_version, first_token, self.num_tokens))
        if self.oldest_version is None or weight_version < self.oldest_version:
            self.oldest_version = weight_version

    def build(self) -> tuple[VersionSpan, ...]:
        """Return the spans recorded so far."""
        return tuple(self._spans)


def check_spans(spans: tuple[VersionSpan, ...], num_tokens: int) -> Result[None, Problem]:
    """Check that spans cover tokens ``[0, num_tokens)`` once, in order (brief, first promise).

    Fails with ``SAMPLE_SPANS_INVALID``.
    """
    position = 0
    for span in spans:
        if span.first_token != position:
            kind = "gap" if span.first_token > position else "overlap"
            return _invalid(f"{kind} at token {position}")
        if span.end_token <= span.first_token:
            return _invalid(f"empty span at token {position}")
        position = span.end_token
    if not spans or position != num_tokens:
        return _invalid(f"spans cover {position} of {num_tokens} tokens")
    return Success(None)


def _invalid(detail: str) -> Failure[Problem]:
    return Failure(Problem(ResultCode.SAMPLE_SPANS_INVALID, detail, "spans"))
