"""An event loop on virtual time: waiting takes no time, and every run is the same."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

Outcome = TypeVar("Outcome")


class VirtualTimeDeadlockError(RuntimeError):
    """Everything waits for something that will never happen."""


class _JumpingSelector(selectors.BaseSelector):
    """Instead of waiting for sockets, moves the clock on."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Remember a file object; it never becomes ready."""
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Forget a file object."""
        return self._keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock on by ``timeout``.

        Raises:
            VirtualTimeDeadlockError: If nothing is scheduled.
        """
        if timeout is None:
            raise VirtualTimeDeadlockError("nothing is scheduled and nothing can happen")
        if timeout > 0:
            self.now_s += timeout
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the remembered file objects."""
        return self._keys


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose clock jumps to the next timer. Sockets do not work on it."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping_selector.now_s


def run_virtual(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine to its end on virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
