"""Types of answers."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.rollout.types import VersionSpan


@message("requests.answer")
@dataclass(frozen=True)
class RecordedAnswer:
    """A complete answer, as sent to a caller and stored.

    Attributes:
        http_status: HTTP status code.
        content_type: Media type of the body.
        body: The body, in bytes as sent.
    """

    http_status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class GeneratedText:
    """A complete generation.

    Attributes:
        text: The generated text.
        num_tokens: Length of the text, in tokens.
        spans: Ranges of tokens with the weight version that produced them.
        finish_reason: Finish reason reported by the engine.
        num_engines: Number of engines that generated parts of it.
    """

    text: str
    num_tokens: int
    spans: tuple[VersionSpan, ...]
    finish_reason: str
    num_engines: int
