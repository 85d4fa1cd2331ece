"""Incremental parser of event streams (``text/event-stream``) with numbered events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024
_SEPARATOR = b"\n\n"


class EventStreamError(ValueError):
    """Raised if bytes are not a valid stream of numbered events."""


@dataclass(frozen=True)
class StreamEvent:
    """One event of a stream.

    Attributes:
        number: Value of its ``id`` field.
        data: Data lines, joined by line feeds.
        fields: All other fields by name, in lower case.
        raw: Encoded event including the final blank line.
    """

    number: int
    data: str
    fields: dict[str, str]
    raw: bytes


class EventStreamParser:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add bytes to the buffer and return the events that they complete.

        Raises:
            EventStreamError: If an event is too long, is not UTF-8 or has no integer identifier.
        """
        self._buffer += chunk.replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventStreamError("event exceeds the size limit")
        return [_parse(block) for block in blocks if block.strip()]


def _parse(block: bytes) -> StreamEvent:
    number: int | None = None
    data: list[str] = []
    fields: dict[str, str] = {}
    try:
        lines = block.decode().strip("\n").split("\n")
    except UnicodeDecodeError as error:
        raise EventStreamError("event is not valid UTF-8") from error
    for line in lines:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id":
            if not value.isdigit():
                raise EventStreamError("event id is not an unsigned integer")
            number = int(value)
        elif name:
            fields[name.lower()] = value
    if number is None:
        raise EventStreamError("event has no id")
    return StreamEvent(number, "\n".join(data), fields, block.strip(b"\n") + _SEPARATOR)
