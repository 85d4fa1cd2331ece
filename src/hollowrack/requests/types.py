"""Answers as they are given to callers, kept and read again."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.rollout.types import VersionSpan


@message("requests.answer")
@dataclass(frozen=True)
class RecordedAnswer:
    """A whole answer.

    Attributes:
        http_status: Status it was given with.
        content_type: Type of the body.
        body: The body.
    """

    http_status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class GeneratedText:
    """A whole generation.

    Attributes:
        text: The text.
        num_tokens: Its length in tokens.
        spans: Which weight version produced which tokens.
        finish_reason: As the engine reported it.
        num_engines: Engines that had a part in it.
    """

    text: str
    num_tokens: int
    spans: tuple[VersionSpan, ...]
    finish_reason: str
    num_engines: int
