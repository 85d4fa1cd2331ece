"""Guards against state of an earlier worker incarnation applied to the running one."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Service, Worker, WorkerIncarnation
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.weights.version_reconciler import LOAD_DELAY_S, VersionReconciler
from hollowrack_bench.virtual_time import VirtualTimeLoop, run_virtual
from tests.weights.restarting_workers import LOAD_S, MODEL, RestartingWorkers

NAMES = ("w0", "w1", "w2", "w3")
STARTUP_TIME_S = 4.0
ORDERED_WITHIN_S = 1.0
DELAY_S = 3.0
MAX_DELAY_S = 6.0
ANY_NAME = st.sampled_from(NAMES)
WAITS_S = st.sampled_from([0.0, 0.01, 0.2, 0.7, 2.0])


class LeadershipSwitch:
    """Leadership that the test switches on and off."""

    may_act = True
    fencing_token: int | None = 7


class Scene:
    """Four workers, the directory of their entries and a reconciler."""

    def __init__(self) -> None:
        self.workers = RestartingWorkers()
        self.directory = WorkerDirectory("z", random.Random(1))
        self.announced = {MODEL: 1}
        for name in NAMES:
            self.directory.update(self.workers.start(name, version=1))
        self.leadership = LeadershipSwitch()
        self.reconciler = self.make_reconciler("n1", self.leadership)
        self.reconciler.start()

    def make_reconciler(self, node: str, leadership: LeadershipSwitch) -> VersionReconciler:
        services = (Service("svc", 10, (MODEL,)),)
        return VersionReconciler(
            node,
            leadership,  # type: ignore[arg-type]
            self.directory,
            lambda: services,
            self.announced,
            self.workers,
        )

    def versions(self) -> set[int]:
        return {state.version for state in self.workers.running.values()}

    def confirmed(self, worker: Worker) -> int:
        return self.reconciler._confirmed.get((worker.incarnation, MODEL), 0)

    async def check_ordered_in_time(self, *workers: Worker) -> None:
        """Check that these incarnations accept an order of the newest version within a second."""
        before_s = now_s()
        await asyncio.sleep(ORDERED_WITHIN_S)
        for worker in workers:
            orders = [one for one in self.workers.accepted if one.accepted_by == worker.incarnation]
            assert [one.version for one in orders if one.at_s >= before_s] == [
                self.announced[MODEL]
            ]


def run_scene(scenario: Callable[[Scene], Awaitable[None]]) -> None:
    async def main() -> None:
        scene = Scene()
        await scenario(scene)
        await scene.reconciler.stop()

    run_virtual(main())


def test_worker_restarted_with_older_weights_gets_a_new_order() -> None:
    async def scenario(scene: Scene) -> None:
        scene.announced[MODEL] = 2
        await asyncio.sleep(STARTUP_TIME_S)
        assert scene.versions() == {2}
        restarted = scene.workers.start("w0", version=1)
        await asyncio.sleep(1.0)
        scene.directory.update(restarted)
        await scene.check_ordered_in_time(restarted)
        await asyncio.sleep(LOAD_S)
        assert scene.versions() == {2}

    run_scene(scenario)


@pytest.mark.parametrize("holds_already", [False, True])
def test_late_answer_of_previous_incarnation_does_not_affect_the_new_one(
    holds_already: bool,
) -> None:
    async def scenario(scene: Scene) -> None:
        if holds_already:
            # The report is older than the answer and contains a lower version.
            scene.workers.running["w0"].version = 2
            scene.directory.update(scene.workers.start("w0", version=1))
        scene.workers.answer_delays_s = [DELAY_S] * 4
        scene.announced[MODEL] = 2
        while not scene.workers.ordered:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.01)
        previous = scene.workers.ordered[0]
        restarted = scene.workers.start(previous.worker_id, version=1)
        scene.workers.answer_delays_s = []
        scene.directory.update(restarted)
        await scene.check_ordered_in_time(restarted)
        restarted = scene.workers.start(previous.worker_id, version=1)
        scene.directory.update(restarted)
        scene.leadership.may_act = False
        await asyncio.sleep(2 * DELAY_S)
        assert scene.confirmed(restarted) <= 1
        scene.leadership.may_act = True
        await scene.check_ordered_in_time(restarted)

    run_scene(scenario)


def test_report_of_another_incarnation_is_ignored() -> None:
    async def scenario(scene: Scene) -> None:
        scene.leadership.may_act = False
        previous = scene.directory.get("w0")
        assert previous is not None
        restarted = scene.workers.start("w0", version=5)
        scene.announced[MODEL] = 6
        scene.leadership.may_act = True
        await asyncio.sleep(STARTUP_TIME_S)
        assert previous.incarnation not in scene.workers.ordered
        assert scene.confirmed(previous) == 1
        scene.directory.update(restarted)
        await scene.check_ordered_in_time(restarted)

    run_scene(scenario)


def test_report_without_start_is_accepted() -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.reports_start = False
        scene.announced[MODEL] = 2
        await asyncio.sleep(STARTUP_TIME_S)
        assert scene.versions() == {2}

    run_scene(scenario)


def test_loads_of_ended_incarnations_do_not_count_as_concurrent() -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.answer_delays_s = [1000.0] * 2
        scene.announced[MODEL] = 2
        while len(scene.workers.ordered) < 2:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.01)
        previous = list(scene.workers.ordered)
        restarted = [
            scene.workers.start(incarnation.worker_id, version=0) for incarnation in previous
        ]
        for worker in restarted:
            scene.directory.update(worker)
        await scene.check_ordered_in_time(*restarted)
        assert not set(previous) & set(scene.reconciler._loading)
        assert not [
            incarnation for incarnation, _ in scene.reconciler._confirmed if incarnation in previous
        ]

    run_scene(scenario)


def test_next_leader_orders_worker_that_restarted_under_its_predecessor() -> None:
    async def scenario(scene: Scene) -> None:
        successor_leadership = LeadershipSwitch()
        successor_leadership.may_act = False
        successor = scene.make_reconciler("n2", successor_leadership)
        successor.start()
        scene.announced[MODEL] = 2
        await asyncio.sleep(STARTUP_TIME_S)
        scene.workers.order_delays_s = [DELAY_S]
        restarted = scene.workers.start("w0", version=1)
        scene.directory.update(restarted)
        # The first leader's order is in flight when the worker restarts again.
        await asyncio.sleep(0.3)
        restarted = scene.workers.start("w0", version=1)
        scene.leadership.may_act = False
        successor_leadership.may_act = True
        await asyncio.sleep(1.0)
        scene.directory.update(restarted)
        await scene.check_ordered_in_time(restarted)
        await asyncio.sleep(2 * DELAY_S)
        assert scene.versions() == {2}
        await successor.stop()

    run_scene(scenario)


class RestartingWorkersUnderFaults(RuleBasedStateMachine):
    """Workers restart while entries, orders, answers and reports are late, lost or repeated."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.scene = self.loop.run_until_complete(self._started())
        self.known_starts_ms = dict.fromkeys(NAMES, 1000)

    async def _started(self) -> Scene:
        return Scene()

    def _advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def _register(self, entry: Worker) -> None:
        self.loop.run_until_complete(self._put(entry))
        self.known_starts_ms[entry.id] = max(entry.started_ms, self.known_starts_ms[entry.id])

    async def _put(self, entry: Worker) -> None:
        self.scene.directory.update(entry)

    @rule(name=ANY_NAME, num_behind=st.integers(0, 2), is_registered=st.booleans(), wait_s=WAITS_S)
    def restart(self, name: str, num_behind: int, is_registered: bool, wait_s: float) -> None:
        entry = self.scene.workers.start(name, max(1, self.scene.announced[MODEL] - num_behind))
        if is_registered:
            self._register(entry)
        self._advance(wait_s)

    @rule(name=ANY_NAME, wait_s=WAITS_S)
    def register_current_entry(self, name: str, wait_s: float) -> None:
        self._register(self.scene.workers.write_entry(name))
        self._advance(wait_s)

    @rule(num_back=st.integers(0, 9), wait_s=WAITS_S)
    def register_old_entry_again(self, num_back: int, wait_s: float) -> None:
        entries = self.scene.workers.entries
        self._register(entries[-1 - num_back % len(entries)])
        self._advance(wait_s)

    @rule(wait_s=WAITS_S)
    def announce_version(self, wait_s: float) -> None:
        self.scene.announced[MODEL] += 1
        # Loads of a version begin only after this delay.
        self._advance(LOAD_DELAY_S + wait_s)

    @rule(seconds=st.sampled_from([0.3, 1.5, MAX_DELAY_S]), is_order=st.booleans())
    def delay_next_order_or_answer(self, seconds: float, is_order: bool) -> None:
        workers = self.scene.workers
        (workers.order_delays_s if is_order else workers.answer_delays_s).append(seconds)

    @rule(wait_s=WAITS_S)
    def silence_reports_for_a_while(self, wait_s: float) -> None:
        self.scene.workers.is_silent = True
        self._advance(wait_s)
        self.scene.workers.is_silent = False

    @rule(wait_s=WAITS_S)
    def lose_leadership_for_a_while(self, wait_s: float) -> None:
        self.scene.leadership.may_act = False
        self._advance(wait_s)
        self.scene.leadership.may_act = True

    @invariant()
    def latest_registered_incarnation_is_known(self) -> None:
        known = {worker.id: worker.started_ms for worker in self.scene.directory.all()}
        assert known == self.known_starts_ms

    @invariant()
    def confirmed_versions_are_loaded(self) -> None:
        workers = self.scene.workers
        for (incarnation, _), version in self.scene.reconciler._confirmed.items():
            is_running = workers.running[incarnation.worker_id].incarnation == incarnation
            if is_running or incarnation not in workers.answered_by_successor:
                assert version <= workers.incarnations[incarnation].version

    def teardown(self) -> None:
        scene = self.scene
        for name in NAMES:
            self._register(scene.workers.write_entry(name))
        self._advance(MAX_DELAY_S + STARTUP_TIME_S)
        scene.workers.answer_delays_s.clear()
        scene.workers.order_delays_s.clear()
        self._advance(MAX_DELAY_S + STARTUP_TIME_S)
        assert scene.versions() == {scene.announced[MODEL]}
        incarnations: set[WorkerIncarnation] = {
            state.incarnation for state in scene.workers.running.values()
        }
        assert {incarnation for incarnation, _ in scene.reconciler._confirmed} == incarnations
        assert not scene.reconciler._loading
        self.loop.run_until_complete(scene.reconciler.stop())
        self.loop.close()


TestRestartingWorkersUnderFaults = RestartingWorkersUnderFaults.TestCase
TestRestartingWorkersUnderFaults.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
