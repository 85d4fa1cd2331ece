"""A suspended machine: time passes, and only the clock that counts it may tell a lease's end."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any

import pytest
from returns.result import Success

from hollowrack.clock import now_s
from hollowrack.coordination.session import Session
from hollowrack.observability import logs
from hollowrack.platform import edge_process, program
from hollowrack.platform import settings as platform_settings
from hollowrack.platform.settings import ProcessSettings
from hollowrack.suspension import BootTimeLoop, SuspensionMonitor, new_event_loop
from hollowrack.usage.wall_clock import WallClock
from hollowrack_standins.coordination_store import CoordinationStoreCore


class Machine:
    """A machine that may be suspended by hand: its steady clock stands still meanwhile."""

    def __init__(self) -> None:
        self._slept_s = 0.0

    def suspend(self, seconds: float) -> None:
        self._slept_s += seconds

    def boot_s(self) -> float:
        return time.monotonic() + self._slept_s

    def time_of_day_s(self) -> float:
        return 1_000_000.0 + self.boot_s()

    def run(self, main: Coroutine[Any, Any, None]) -> None:
        with asyncio.Runner(loop_factory=lambda: BootTimeLoop(self.boot_s)) as runner:
            runner.run(main)


def test_a_lease_that_ended_during_a_suspension_is_not_held_at_waking() -> None:
    machine = Machine()

    async def main() -> None:
        session = Session(CoordinationStoreCore().view(), random.Random(1))
        session.start()
        async with asyncio.timeout(5.0):
            while not session.is_valid:  # noqa: ASYNC110 (no event)
                await asyncio.sleep(0.01)
        machine.suspend(5.0)
        # Before anything else has run: an order given now would be that of a second leader.
        assert not session.is_valid
        await session.abandon()

    machine.run(main())


def test_what_became_due_during_a_suspension_is_done_at_waking() -> None:
    machine = Machine()

    async def main() -> None:
        began_s = time.monotonic()
        sleeping = asyncio.create_task(asyncio.sleep(30.0))
        await asyncio.sleep(0.01)
        machine.suspend(60.0)
        await asyncio.sleep(0.01)
        assert sleeping.done()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await asyncio.sleep(9.0)
        assert time.monotonic() - began_s < 5.0

    machine.run(main())


@pytest.mark.parametrize("suspended_s", [0.3, 1.0, 5.0, 30.0])
def test_the_time_of_day_is_right_after_a_suspension(suspended_s: float) -> None:
    machine = Machine()

    async def main() -> None:
        clock = WallClock(machine.time_of_day_s, now_s)
        machine.suspend(suspended_s)
        assert abs(clock.time_s() - machine.time_of_day_s()) < 0.25

    machine.run(main())


def test_a_suspension_is_told_with_its_length() -> None:
    machine = Machine()
    told: list[float] = []

    async def main() -> None:
        watch = SuspensionMonitor(told.append, machine.boot_s)
        watch.start()
        await asyncio.sleep(0.6)
        assert told == []
        machine.suspend(3.0)
        await asyncio.sleep(0.6)
        machine.suspend(7.0)
        await asyncio.sleep(0.6)
        await watch.stop()

    machine.run(main())
    assert told == pytest.approx([3.0, 7.0], abs=0.05)


def test_a_node_runs_on_the_clock_that_counts_suspensions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loops: list[asyncio.AbstractEventLoop] = []

    async def note_loop(checked: ProcessSettings) -> None:
        del checked
        loops.append(asyncio.get_running_loop())

    checked = ProcessSettings.model_construct(node_name="n0", zone="z1")
    monkeypatch.setattr(platform_settings, "read_process_settings", lambda: Success(checked))
    monkeypatch.setattr(edge_process, "serve_edge", note_loop)
    monkeypatch.setattr(logs, "setup_logging", lambda *_: None)
    assert program.main(["edge"]) == 0
    assert isinstance(loops[0], BootTimeLoop)


def test_without_such_a_clock_the_ordinary_one_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    loop = new_event_loop()
    assert not isinstance(loop, BootTimeLoop)
    loop.close()
