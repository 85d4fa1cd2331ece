"""Guards against weight versions loaded twice, reverted, or ordered without leadership."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from hollowrack.forwarding.types import Service, Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.weights.version_reconciler import (
    LOAD_DELAY_S,
    POLL_INTERVAL_S,
    REPORT_POLL_INTERVAL_S,
    OrderOutcome,
    VersionOrder,
    VersionReconciler,
    WorkerReport,
)
from hollowrack_bench.virtual_time import run_virtual

LOAD_S = 0.9
MODEL = "m"


class LeadershipSwitch:
    """Leadership that the test switches on and off."""

    def __init__(self) -> None:
        self.may_act = True
        self.fencing_token: int | None = 7


@dataclass
class LoadingWorkers:
    """Workers that load weights as ordered; a delayed order is checked on arrival."""

    versions: dict[str, int] = field(default_factory=dict)
    num_orders: dict[str, int] = field(default_factory=dict)
    busy: set[str] = field(default_factory=set)
    orders: list[VersionOrder] = field(default_factory=list)
    num_lost_answers: int = 0
    order_delays_s: list[float] = field(default_factory=list)
    max_busy: int = 0
    num_reports: int = 0
    load_s: float = LOAD_S

    async def report(self, worker: Worker) -> WorkerReport | None:
        self.num_reports += 1
        await asyncio.sleep(0.002)
        version = self.versions.setdefault(worker.id, 1)
        num_orders = self.num_orders.setdefault(worker.id, 0)
        return WorkerReport(num_orders, worker.id in self.busy, {MODEL: version})

    async def send_order(self, order: VersionOrder) -> OrderOutcome:
        await asyncio.sleep(0.002)
        self.orders.append(order)
        if self.order_delays_s:
            asyncio.get_running_loop().call_later(self.order_delays_s.pop(), self._accept, order)
            await asyncio.sleep(0.8)
            return OrderOutcome.UNKNOWN
        outcome = self._accept(order)
        if self.num_lost_answers:
            self.num_lost_answers -= 1
            await asyncio.sleep(0.8)
            return OrderOutcome.UNKNOWN
        return outcome

    def _accept(self, order: VersionOrder) -> OrderOutcome:
        name = order.load.worker.id
        if name in self.busy or order.num_orders != self.num_orders.get(name, 0):
            return OrderOutcome.REFUSED
        self.num_orders[name] = order.num_orders + 1
        self.busy.add(name)
        self.max_busy = max(self.max_busy, len(self.busy))
        asyncio.get_running_loop().call_later(
            self.load_s, self._finish_load, name, order.load.version
        )
        return OrderOutcome.ACCEPTED

    def _finish_load(self, name: str, version: int) -> None:
        assert version >= self.versions.get(name, 1), "a worker loaded an older version"
        self.versions[name] = version
        self.busy.discard(name)


@dataclass
class Scene:
    """A reconciler with four workers."""

    workers: LoadingWorkers
    leadership: LeadershipSwitch
    announced: dict[str, int]
    reconciler: VersionReconciler


def run_scene(scenario: "Callable[[Scene], object]") -> None:
    async def main() -> None:
        directory = WorkerDirectory("z", random.Random(1))
        for index in range(4):
            versions = {MODEL: 1}
            directory.update(Worker(f"w{index}", "svc", "127.0.0.1:1", "z", 8, False, versions))
        loading = LoadingWorkers()
        leadership = LeadershipSwitch()
        announced: dict[str, int] = {}
        services = (Service("svc", 10, (MODEL,)),)
        reconciler = VersionReconciler(
            "n1", leadership, directory, lambda: services, announced, loading
        )  # type: ignore[arg-type]
        reconciler.start()
        await scenario(Scene(loading, leadership, announced, reconciler))  # type: ignore[misc]
        await reconciler.stop()

    run_virtual(main())


def test_each_announced_version_is_loaded_once_by_two_workers_at_a_time() -> None:
    async def scenario(scene: Scene) -> None:
        for version in (2, 3):
            scene.announced[MODEL] = version
            await asyncio.sleep(4.0)
            assert set(scene.workers.versions.values()) == {version}
        assert len(scene.workers.orders) == 8
        assert scene.workers.max_busy == 2

    run_scene(scenario)


@pytest.mark.parametrize("load_s", [0.4, 2.0])
def test_load_durations_are_estimated_from_earlier_loads(load_s: float) -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.load_s = load_s
        scene.announced[MODEL] = 2
        await asyncio.sleep(10.0)
        num_reports = scene.workers.num_reports
        scene.announced[MODEL] = 3
        await asyncio.sleep(
            LOAD_DELAY_S + 2 * (load_s + REPORT_POLL_INTERVAL_S) + 2 * POLL_INTERVAL_S
        )
        assert set(scene.workers.versions.values()) == {3}
        # One report before each order, and a few near the end of each load.
        assert scene.workers.num_reports - num_reports <= 4 * 5

    run_scene(scenario)


def test_lost_answers_cause_no_second_load() -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.num_lost_answers = 3
        scene.announced[MODEL] = 2
        await asyncio.sleep(10.0)
        assert set(scene.workers.versions.values()) == {2}
        assert sum(scene.workers.num_orders.values()) == 4

    run_scene(scenario)


def test_late_orders_have_no_effect_after_newer_ones() -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.order_delays_s = [3.0, 6.0, 9.0]
        scene.announced[MODEL] = 2
        await asyncio.sleep(5.0)
        scene.announced[MODEL] = 3
        await asyncio.sleep(20.0)
        assert set(scene.workers.versions.values()) == {3}

    run_scene(scenario)


def test_node_that_may_not_act_sends_no_orders() -> None:
    async def scenario(scene: Scene) -> None:
        scene.leadership.may_act = False
        scene.announced[MODEL] = 2
        await asyncio.sleep(5.0)
        assert scene.workers.orders == []
        scene.leadership.may_act = True
        await asyncio.sleep(5.0)
        assert set(scene.workers.versions.values()) == {2}

    run_scene(scenario)


def test_no_order_is_sent_if_leadership_is_lost_after_the_report() -> None:
    async def scenario(scene: Scene) -> None:
        scene.announced[MODEL] = 2
        while not scene.workers.num_reports:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.0005)
        scene.leadership.fencing_token = None
        scene.leadership.may_act = False
        await asyncio.sleep(5.0)
        assert scene.workers.orders == []

    run_scene(scenario)
