"""An event loop clock that includes suspensions of the machine, and detection of suspensions.

The monotonic clock stops while a machine is suspended, so an expired lease would appear valid and
old data current after a resume. The event loop, and with it every age, lease and deadline,
therefore uses the boot-time clock. A suspension then has the same effects as a frozen process.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from absl import logging

from hollowrack.tasks import cancel_all

POLL_INTERVAL_S = 0.5
# Far longer than the time between the readings of the two clocks.
MIN_SUSPENSION_S = 0.1

Outcome = TypeVar("Outcome")


def boot_time_s() -> float:
    """Return the time since boot including suspensions, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances while the machine is suspended.

    Timers that became due meanwhile run after the resume, once the interrupted wait ends. The time
    is correct immediately after the resume.

    Args:
        clock_s: Returns the time, in seconds.
    """

    def __init__(self, clock_s: Callable[[], float] = boot_time_s) -> None:
        self._clock_s = clock_s
        super().__init__()

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        return self._clock_s()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a :class:`BootTimeLoop`, or the default loop if the system has no boot-time clock."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return BootTimeLoop()
    logging.warning("no boot-time clock: expired leases may appear valid after a suspension")
    return asyncio.new_event_loop()


def run_on_boot_time(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine like :func:`asyncio.run`, on the loop of :func:`new_event_loop`."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)


class SuspensionMonitor:
    """Detects suspensions of the machine by comparing two clocks periodically.

    Args:
        on_suspended: Called with the duration of each suspension, in seconds.
        boot_s: Returns the boot-time clock, which includes suspensions, in seconds.
        steady_s: Returns the monotonic clock, which does not, in seconds.
    """

    def __init__(
        self,
        on_suspended: Callable[[float], None],
        boot_s: Callable[[], float] = boot_time_s,
        steady_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_suspended = on_suspended
        self._boot_s = boot_s
        self._steady_s = steady_s
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start comparing the clocks."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop comparing the clocks."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        offset_s = self._clock_offset_s()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            suspended_s = self._clock_offset_s() - offset_s
            offset_s += suspended_s
            if suspended_s >= MIN_SUSPENSION_S:
                logging.warning("the machine was suspended for %.2f s", suspended_s)
                self._on_suspended(suspended_s)

    def _clock_offset_s(self) -> float:
        return self._boot_s() - self._steady_s()
