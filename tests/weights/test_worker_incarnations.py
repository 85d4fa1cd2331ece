"""Weights of workers that start again under their identities, with older weights."""

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
SETTLE_S = 4.0
ORDERED_WITHIN_S = 1.0
LATE_S = 3.0
MAX_LATE_S = 6.0
ANY_NAME = st.sampled_from(NAMES)
WAITS_S = st.sampled_from([0.0, 0.01, 0.2, 0.7, 2.0])


class LeadershipSwitch:
    """Whether the node may give orders."""

    may_act = True
    fencing_token: int | None = 7


class Scene:
    """Four workers, the entries known of them, and a node that may lead."""

    def __init__(self) -> None:
        self.workers = RestartingWorkers()
        self.directory = WorkerDirectory("z", random.Random(1))
        self.named = {MODEL: 1}
        for name in NAMES:
            self.directory.update(self.workers.start(name, version=1))
        self.leadership = LeadershipSwitch()
        self.giver = self.make_giver("n1", self.leadership)
        self.giver.start()

    def make_giver(self, node: str, leadership: LeadershipSwitch) -> VersionReconciler:
        services = (Service("svc", 10, (MODEL,)),)
        return VersionReconciler(
            node,
            leadership,  # type: ignore[arg-type]
            self.directory,
            lambda: services,
            self.named,
            self.workers,
        )

    def versions(self) -> set[int]:
        return {true.version for true in self.workers.running.values()}

    def confirmed(self, worker: Worker) -> int:
        return self.giver._confirmed.get((worker.incarnation, MODEL), 0)

    async def check_ordered_soon(self, *workers: Worker) -> None:
        """The given lives take an order of the newest version within a second."""
        before_s = now_s()
        await asyncio.sleep(ORDERED_WITHIN_S)
        for worker in workers:
            orders = [one for one in self.workers.taken if one.taken_by == worker.incarnation]
            assert [one.version for one in orders if one.at_s >= before_s] == [self.named[MODEL]]


def run_scene(scenario: Callable[[Scene], Awaitable[None]]) -> None:
    async def main() -> None:
        scene = Scene()
        await scenario(scene)
        await scene.giver.stop()

    run_virtual(main())


def test_a_worker_that_restarts_with_older_weights_is_ordered_again() -> None:
    async def scenario(scene: Scene) -> None:
        scene.named[MODEL] = 2
        await asyncio.sleep(SETTLE_S)
        assert scene.versions() == {2}
        restarted = scene.workers.start("w0", version=1)
        await asyncio.sleep(1.0)
        scene.directory.update(restarted)
        await scene.check_ordered_soon(restarted)
        await asyncio.sleep(LOAD_S)
        assert scene.versions() == {2}

    run_scene(scenario)


@pytest.mark.parametrize("holds_already", [False, True])
def test_a_late_answer_of_the_old_life_changes_nothing_of_the_new_one(holds_already: bool) -> None:
    async def scenario(scene: Scene) -> None:
        if holds_already:
            # The report says less than the answer: it is older.
            scene.workers.running["w0"].version = 2
            scene.directory.update(scene.workers.start("w0", version=1))
        scene.workers.late_answers_s = [LATE_S] * 4
        scene.named[MODEL] = 2
        while not scene.workers.given:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.01)
        old = scene.workers.given[0]
        restarted = scene.workers.start(old.worker_id, version=1)
        scene.workers.late_answers_s = []
        scene.directory.update(restarted)
        await scene.check_ordered_soon(restarted)
        restarted = scene.workers.start(old.worker_id, version=1)
        scene.directory.update(restarted)
        scene.leadership.may_act = False
        await asyncio.sleep(2 * LATE_S)
        assert scene.confirmed(restarted) <= 1
        scene.leadership.may_act = True
        await scene.check_ordered_soon(restarted)

    run_scene(scenario)


def test_a_report_of_another_life_counts_for_nothing() -> None:
    async def scenario(scene: Scene) -> None:
        scene.leadership.may_act = False
        old = scene.directory.get("w0")
        assert old is not None
        restarted = scene.workers.start("w0", version=5)
        scene.named[MODEL] = 6
        scene.leadership.may_act = True
        await asyncio.sleep(SETTLE_S)
        assert old.incarnation not in scene.workers.given
        assert scene.confirmed(old) == 1
        scene.directory.update(restarted)
        await scene.check_ordered_soon(restarted)

    run_scene(scenario)


def test_a_report_that_tells_no_start_is_believed() -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.tells_starts = False
        scene.named[MODEL] = 2
        await asyncio.sleep(SETTLE_S)
        assert scene.versions() == {2}

    run_scene(scenario)


def test_loads_of_lives_that_are_over_take_no_place_from_those_of_the_new_ones() -> None:
    async def scenario(scene: Scene) -> None:
        scene.workers.late_answers_s = [1000.0] * 2
        scene.named[MODEL] = 2
        while len(scene.workers.given) < 2:  # noqa: ASYNC110 (no event)
            await asyncio.sleep(0.01)
        old = list(scene.workers.given)
        restarted = [scene.workers.start(life.worker_id, version=0) for life in old]
        for worker in restarted:
            scene.directory.update(worker)
        await scene.check_ordered_soon(*restarted)
        assert not set(old) & set(scene.giver._loading)
        assert not [life for life, _ in scene.giver._confirmed if life in old]

    run_scene(scenario)


def test_the_next_leader_orders_a_worker_that_restarted_under_the_one_before() -> None:
    async def scenario(scene: Scene) -> None:
        successor_leadership = LeadershipSwitch()
        successor_leadership.may_act = False
        successor = scene.make_giver("n2", successor_leadership)
        successor.start()
        scene.named[MODEL] = 2
        await asyncio.sleep(SETTLE_S)
        scene.workers.late_orders_s = [LATE_S]
        restarted = scene.workers.start("w0", version=1)
        scene.directory.update(restarted)
        # The order of the first leader is on its way as the worker starts once more.
        await asyncio.sleep(0.3)
        restarted = scene.workers.start("w0", version=1)
        scene.leadership.may_act = False
        successor_leadership.may_act = True
        await asyncio.sleep(1.0)
        scene.directory.update(restarted)
        await scene.check_ordered_soon(restarted)
        await asyncio.sleep(2 * LATE_S)
        assert scene.versions() == {2}
        await successor.stop()

    run_scene(scenario)


class LivesOfWorkers(RuleBasedStateMachine):
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

    def _enter(self, entry: Worker) -> None:
        self.loop.run_until_complete(self._put(entry))
        self.known_starts_ms[entry.id] = max(entry.started_ms, self.known_starts_ms[entry.id])

    async def _put(self, entry: Worker) -> None:
        self.scene.directory.update(entry)

    @rule(name=ANY_NAME, num_behind=st.integers(0, 2), is_entered=st.booleans(), wait_s=WAITS_S)
    def restart(self, name: str, num_behind: int, is_entered: bool, wait_s: float) -> None:
        entry = self.scene.workers.start(name, max(1, self.scene.named[MODEL] - num_behind))
        if is_entered:
            self._enter(entry)
        self._advance(wait_s)

    @rule(name=ANY_NAME, wait_s=WAITS_S)
    def enter_as_it_is(self, name: str, wait_s: float) -> None:
        self._enter(self.scene.workers.write_entry(name))
        self._advance(wait_s)

    @rule(num_later=st.integers(0, 9), wait_s=WAITS_S)
    def enter_again_what_was_written(self, num_later: int, wait_s: float) -> None:
        entries = self.scene.workers.entries
        self._enter(entries[-1 - num_later % len(entries)])
        self._advance(wait_s)

    @rule(wait_s=WAITS_S)
    def name_a_version(self, wait_s: float) -> None:
        self.scene.named[MODEL] += 1
        # Its load begins a moment after it was named.
        self._advance(LOAD_DELAY_S + wait_s)

    @rule(seconds=st.sampled_from([0.3, 1.5, MAX_LATE_S]), is_order=st.booleans())
    def delay_what_comes(self, seconds: float, is_order: bool) -> None:
        workers = self.scene.workers
        (workers.late_orders_s if is_order else workers.late_answers_s).append(seconds)

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
    def the_latest_life_entered_is_known(self) -> None:
        known = {worker.id: worker.started_ms for worker in self.scene.directory.all()}
        assert known == self.known_starts_ms

    @invariant()
    def nothing_is_confirmed_of_a_life_that_it_does_not_hold(self) -> None:
        workers = self.scene.workers
        for (life, _), version in self.scene.giver._confirmed.items():
            is_running = workers.running[life.worker_id].life == life
            if is_running or life not in workers.answered_by_later:
                assert version <= workers.lives[life].version

    def teardown(self) -> None:
        scene = self.scene
        for name in NAMES:
            self._enter(scene.workers.write_entry(name))
        self._advance(MAX_LATE_S + SETTLE_S)
        scene.workers.late_answers_s.clear()
        scene.workers.late_orders_s.clear()
        self._advance(MAX_LATE_S + SETTLE_S)
        assert scene.versions() == {scene.named[MODEL]}
        lives: set[WorkerIncarnation] = {true.life for true in scene.workers.running.values()}
        assert {life for life, _ in scene.giver._confirmed} == lives
        assert not scene.giver._loading
        self.loop.run_until_complete(scene.giver.stop())
        self.loop.close()


TestLivesOfWorkers = LivesOfWorkers.TestCase
TestLivesOfWorkers.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
