"""Incremental parser of event streams (``text/event-stream``) with rising integer identifiers."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024
_SEPARATOR = b"\n\n"


class EventStreamError(ValueError):
    """The bytes are not a stream of numbered events."""


@dataclass(frozen=True)
class StreamEvent:
    """One event.

    Attributes:
        number: Its identifier.
        data: Its data lines, joined by line feeds.
        fields: Its other fields by name.
        raw: Its bytes, final blank line included.
    """

    number: int
    data: str
    fields: dict[str, str]
    raw: bytes


class EventStreamParser:
    """Cuts a byte stream into whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event are left."""
        return bool(self._buffer.strip())

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that became whole.

        Raises:
            EventStreamError: If an event has no whole number as its identifier.
        """
        self._buffer += chunk.replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too long")
        return [_parse(block) for block in blocks if block.strip()]


def _parse(block: bytes) -> StreamEvent:
    number: int | None = None
    data: list[str] = []
    fields: dict[str, str] = {}
    try:
        lines = block.decode().strip("\n").split("\n")
    except UnicodeDecodeError as error:
        raise EventStreamError("an event is not UTF-8") from error
    for line in lines:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id":
            if not value.isdigit():
                raise EventStreamError("an event identifier is no whole number")
            number = int(value)
        elif name:
            fields[name.lower()] = value
    if number is None:
        raise EventStreamError("an event has no identifier")
    return StreamEvent(number, "\n".join(data), fields, block.strip(b"\n") + _SEPARATOR)
