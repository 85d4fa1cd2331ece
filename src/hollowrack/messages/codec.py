"""CBOR codec of typed messages.

A message is a frozen dataclass that :func:`message` registers under a short name. On the wire it
is the CBOR array ``[wire_version, name, body]``, where ``body`` maps field names to values.
Decoding validates every field against the dataclass's type hints; a malformed message yields a
:class:`~hollowrack.results.Problem`.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode

WIRE_VERSION = 1
_ENVELOPE_LENGTH = 3

MessageType = TypeVar("MessageType", bound=type)

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}
_adapters: dict[type, TypeAdapter[Any]] = {}


def message(name: str) -> Callable[[MessageType], MessageType]:
    """Return a class decorator that registers a frozen dataclass as the message ``name``.

    Raises:
        ValueError: If another message is registered under the name.
    """

    def register(message_type: MessageType) -> MessageType:
        if name in _types_by_name:
            raise ValueError(f"message name {name!r} is already registered")
        _types_by_name[name] = message_type
        _names_by_type[message_type] = name
        return message_type

    return register


def _adapter(message_type: type) -> TypeAdapter[Any]:
    # Created on first use: fields may refer to message types that are defined later.
    adapter = _adapters.get(message_type)
    if adapter is None:
        adapter = TypeAdapter(message_type)
        _adapters[message_type] = adapter
    return adapter


def encode(value: object) -> bytes:
    """Encode a registered message.

    Raises:
        KeyError: If the type of ``value`` is not registered.
    """
    name = _names_by_type[type(value)]
    body = _adapter(type(value)).dump_python(value)
    return cbor2.dumps([WIRE_VERSION, name, body], default=_encode_enum)


def _encode_enum(encoder: Any, value: object) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"cannot encode a value of type {type(value).__name__} in a message")
    encoder.encode(value.value)


def registered_types() -> tuple[type, ...]:
    """Return all registered message types, in the order of their registration."""
    return tuple(_names_by_type)


def decode(data: bytes) -> Result[Any, Problem]:
    """Decode a message.

    Fails with ``MESSAGE_INVALID``; the problem's place is the envelope's part or the field.
    """
    try:
        envelope = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError, OverflowError, RecursionError) as error:
        return _invalid(f"not CBOR: {error}", "envelope")
    if not isinstance(envelope, list) or len(envelope) != _ENVELOPE_LENGTH:
        return _invalid("the envelope is not [version, name, body]", "envelope")
    version, name, body = envelope
    if version != WIRE_VERSION:
        return _invalid(f"wire version {version!r}, expected {WIRE_VERSION}", "version")
    message_type = _types_by_name.get(name) if isinstance(name, str) else None
    if message_type is None:
        return _invalid(f"unknown message {name!r}", "name")
    try:
        return Success(_adapter(message_type).validate_python(body))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return _invalid(first["msg"], f"{name}.{place}")


def _invalid(detail: str, place: str) -> Result[Any, Problem]:
    return Failure(Problem(ResultCode.MESSAGE_INVALID, detail, place))
