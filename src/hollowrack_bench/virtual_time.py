"""Event loop on virtual time: timers fire without waiting, and runs are deterministic."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

Outcome = TypeVar("Outcome")


class VirtualTimeDeadlockError(RuntimeError):
    """All tasks wait, but no timer or callback is scheduled."""


class _VirtualTimeSelector(selectors.BaseSelector):
    """Selector that advances the virtual clock instead of waiting for sockets."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a file object; it never becomes ready."""
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister a file object."""
        return self._keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by ``timeout``, in seconds.

        Raises:
            VirtualTimeDeadlockError: If nothing is scheduled.
        """
        if timeout is None:
            raise VirtualTimeDeadlockError(
                "deadlock in virtual time: no timer or callback is scheduled"
            )
        if timeout > 0:
            self.now_s += timeout
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the registered file objects."""
        return self._keys


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer; sockets are not supported."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._time_selector.now_s


def run_virtual(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine to completion on virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
