"""Dispatcher: calls the handler that is registered for the type of a message."""

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
    """Answer to a message whose handler returns no data."""


class Dispatcher:
    """Calls the handler of an incoming message, by the message's type."""

    def __init__(self) -> None:
        self._handlers: dict[type, AsyncHandler] = {}

    def on(
        self, message_type: type[Request], handler: Callable[[Request], Awaitable[object]]
    ) -> None:
        """Register the async handler of a message type; its return value is the answer."""
        self._handlers[message_type] = handler

    def on_sync(self, message_type: type[Request], handler: Callable[[Request], object]) -> None:
        """Register the synchronous handler of a message type.

        Its return value is the answer; ``None`` is answered with :class:`Acknowledgement`.
        """

        async def handle(request: Request) -> object:
            answer = handler(request)
            return Acknowledgement() if answer is None else answer

        self._handlers[message_type] = handle

    async def handle(self, request: object) -> object:
        """Call the handler of a message and return the answer.

        Raises:
            ProblemError: ``MESSAGE_INVALID`` if no handler is registered for the type.
        """
        handler = self._handlers.get(type(request))
        if handler is None:
            detail = f"no handler for {type(request).__name__}"
            raise ProblemError(Problem(ResultCode.MESSAGE_INVALID, detail))
        return await handler(request)
