"""Time that passes while the machine is suspended.

The steady clock stands still while a machine is suspended, and other machines' clocks do not: a
lease that the store ended seconds ago would pass for held, and what was heard seconds ago for new.
So the event loop, and with it every age, lease and deadline, keeps to the clock that goes on
meanwhile. A suspension is then what a frozen process is: time in which nothing was done.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from absl import logging

from hollowrack.tasks import cancel_all

# How often the two clocks are compared, in seconds.
POLL_INTERVAL_S = 0.5
# Both clocks are read within microseconds of each other; a suspension takes far longer.
MIN_SUSPENSION_S = 0.1

Outcome = TypeVar("Outcome")


def boot_time_s() -> float:
    """Return the time since the machine's start, suspensions included, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock goes on while the machine is suspended.

    Timers that became due meanwhile run when the machine wakes, once the wait that it interrupted
    ends; what asks for the time before that is told the true one.

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
    """Return a loop on the clock that counts suspensions, where the system has one."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return BootTimeLoop()
    logging.warning("no clock counts suspensions here: leases may seem held after one")
    return asyncio.new_event_loop()


def run_on_boot_time(main: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a program to its end, as :func:`asyncio.run` does."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)


class SuspensionMonitor:
    """Tells how long the machine was suspended.

    Args:
        on_suspended: Called with the length of each suspension, in seconds.
        boot_s: Returns the time with suspensions, in seconds.
        steady_s: Returns the time without them, in seconds.
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
        known_s = self._distance_s()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            suspended_s = self._distance_s() - known_s
            known_s += suspended_s
            if suspended_s >= MIN_SUSPENSION_S:
                logging.warning("the machine was suspended for %.2f s", suspended_s)
                self._on_suspended(suspended_s)

    def _distance_s(self) -> float:
        return self._boot_s() - self._steady_s()
