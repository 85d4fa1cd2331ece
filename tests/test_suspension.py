"""Suspended machines: an expired lease appears valid, or timers do not fire, after a resume."""

import asyncio
import logging as standard_logging
import random
import time
from collections.abc import Coroutine, Iterator
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
    """A simulated machine whose monotonic clock stops while it is suspended."""

    def __init__(self) -> None:
        self._suspended_s = 0.0

    def suspend(self, seconds: float) -> None:
        self._suspended_s += seconds

    def boot_s(self) -> float:
        return time.monotonic() + self._suspended_s

    def time_of_day_s(self) -> float:
        return 1_000_000.0 + self.boot_s()

    def run(self, main: Coroutine[Any, Any, None]) -> None:
        with asyncio.Runner(loop_factory=lambda: BootTimeLoop(self.boot_s)) as runner:
            runner.run(main)


def test_lease_that_expired_during_suspension_is_invalid_after_resume() -> None:
    machine = Machine()

    async def main() -> None:
        session = Session(CoordinationStoreCore().make_client(), random.Random(1))
        session.start()
        async with asyncio.timeout(5.0):
            while not session.is_valid:  # noqa: ASYNC110 (no event)
                await asyncio.sleep(0.01)
        machine.suspend(5.0)
        # Checked before any other task runs: an order sent now could be that of a second leader.
        assert not session.is_valid
        await session.abandon()

    machine.run(main())


def test_timers_due_during_suspension_fire_after_resume() -> None:
    machine = Machine()

    async def main() -> None:
        start_s = time.monotonic()
        sleeping = asyncio.create_task(asyncio.sleep(30.0))
        await asyncio.sleep(0.01)
        machine.suspend(60.0)
        await asyncio.sleep(0.01)
        assert sleeping.done()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await asyncio.sleep(9.0)
        assert time.monotonic() - start_s < 5.0

    machine.run(main())


@pytest.mark.parametrize("suspended_s", [0.3, 1.0, 5.0, 30.0])
def test_time_of_day_is_correct_after_suspension(suspended_s: float) -> None:
    machine = Machine()

    async def main() -> None:
        clock = WallClock(machine.time_of_day_s, now_s)
        machine.suspend(suspended_s)
        assert abs(clock.time_s() - machine.time_of_day_s()) < 0.25

    machine.run(main())


def test_suspension_is_reported_with_its_duration() -> None:
    machine = Machine()
    reported: list[float] = []

    async def main() -> None:
        monitor = SuspensionMonitor(reported.append, machine.boot_s)
        monitor.start()
        await asyncio.sleep(0.6)
        assert reported == []
        machine.suspend(3.0)
        await asyncio.sleep(0.6)
        machine.suspend(7.0)
        await asyncio.sleep(0.6)
        await monitor.stop()

    machine.run(main())
    assert reported == pytest.approx([3.0, 7.0], abs=0.05)


@pytest.fixture
def root_handlers() -> Iterator[None]:
    """Remove the log handlers that a program installs; they would write into later tests."""
    root = standard_logging.getLogger()
    before = root.handlers[:]
    yield
    for handler in root.handlers:
        if isinstance(handler, logs.BoundedLogHandler):
            handler.stop()
    root.handlers = before


@pytest.mark.usefixtures("root_handlers")
def test_edge_process_runs_on_boot_time_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loops: list[asyncio.AbstractEventLoop] = []

    async def record_loop(process_settings: ProcessSettings) -> None:
        del process_settings
        loops.append(asyncio.get_running_loop())

    process_settings = ProcessSettings.model_construct(node_name="n0", zone="z1")
    monkeypatch.setattr(
        platform_settings, "read_process_settings", lambda: Success(process_settings)
    )
    monkeypatch.setattr(edge_process, "serve_edge", record_loop)
    monkeypatch.setattr(logs, "setup_logging", lambda *_: None)
    assert program.main(["edge"]) == 0
    assert isinstance(loops[0], BootTimeLoop)


def test_default_loop_is_used_without_boot_time_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    loop = new_event_loop()
    assert not isinstance(loop, BootTimeLoop)
    loop.close()
