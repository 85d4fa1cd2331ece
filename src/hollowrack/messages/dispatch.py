"""Maps each message type to the part of the node that handles it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from hollowrack.messages.codec import message
from hollowrack.results import Problem, ProblemError, ResultCode

Request = TypeVar("Request")
AsyncHandler = Callable[[Any], Awaitable[object]]


@message("received")
@dataclass(frozen=True)
class Acknowledgement:
    """Answer to a message that needs none."""


class Dispatcher:
    """Routes incoming messages by type."""

    def __init__(self) -> None:
        self._handlers: dict[type, AsyncHandler] = {}

    def on(
        self, message_type: type[Request], handler: Callable[[Request], Awaitable[object]]
    ) -> None:
        """Register the handler of a message type; its return value is the answer."""
        self._handlers[message_type] = handler

    def on_sync(self, message_type: type[Request], handler: Callable[[Request], object]) -> None:
        """Register a handler that needs no waiting; ``None`` is answered with ``Received``."""

        async def handle(request: Request) -> object:
            answer = handler(request)
            return Acknowledgement() if answer is None else answer

        self._handlers[message_type] = handle

    async def handle(self, request: object) -> object:
        """Handle one message.

        Raises:
            ProblemError: ``MESSAGE_INVALID`` if no part of this node handles the type.
        """
        handler = self._handlers.get(type(request))
        if handler is None:
            detail = f"no handler for {type(request).__name__}"
            raise ProblemError(Problem(ResultCode.MESSAGE_INVALID, detail))
        return await handler(request)
