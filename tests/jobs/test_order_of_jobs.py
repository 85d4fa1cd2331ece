"""Guards against a wrong order of several trainers' jobs on one node with too few slots."""

import asyncio
import random
from dataclasses import replace

from hollowrack.forwarding.types import Route, RouteKind, RoutingConfiguration, Service, Target
from hollowrack.jobs.types import Job, JobItem
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import HOST, MODEL, Fleet

EVENT_INTERVAL_S = 0.02
DEADLINE_S = 7.5
# Slots of the workers that the fleet starts.
NUM_SLOTS = 8


def make_route(name: str, priority: int) -> Route:
    targets = (Target("engines", 1.0),)
    return Route(
        name,
        HOST,
        f"/{name}/",
        RouteKind.JOB,
        targets,
        3,
        10.0,
        0.4,
        priority,
        queue_ttl_s=60.0,
        result_deadline_s=DEADLINE_S,
    )


def make_configuration(*priorities: int) -> RoutingConfiguration:
    names = ("first", "second")
    routes = tuple(
        make_route(name, priority) for name, priority in zip(names, priorities, strict=True)
    )
    return RoutingConfiguration(2, routes, {"engines": Service("engines", 100, (MODEL, "other"))})


def make_job(name: str, route: str, lengths: list[list[int]], num_desired: int) -> Job:
    """A job with one list of lengths per group, with exact expected lengths."""
    items = tuple(
        JobItem(f"{name}.{group}.{index}", f"/{route}/x", (), b"p", f"{name}.{group}", None, length)
        for group, group_lengths in enumerate(lengths)
        for index, length in enumerate(group_lengths)
    )
    return Job(name, HOST, f"/{route}/", items, MODEL, 0, num_desired)


class NodeUnderTest:
    """One node and its workers with a configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.fleet = Fleet(1)
        self.node = self.fleet.nodes["n0"]
        self.node.configuration_changed(configuration)

    async def submit(self, job: Job) -> None:
        for item in job.items:
            self.fleet.back_ends.num_events_of[item.id] = item.expected_tokens
        assert await self.node.jobs.submit(job) is None

    async def listed(self, job: Job) -> set[str]:
        page = await self.node.jobs.read(job.id, 0, 0.0)
        return {result.item_id for result in page.results}  # type: ignore[union-attr]

    def first_runs(self) -> list[str]:
        """Items in the order in which they first started."""
        return list(self.fleet.back_ends.worker_ids_by_request)


def test_items_of_a_higher_priority_route_start_first_even_if_submitted_later() -> None:
    async def main() -> None:
        tested_node = NodeUnderTest(make_configuration(3, 0))
        await asyncio.sleep(1.0)
        await tested_node.submit(make_job("earlier", "first", [[50] * 4] * 8, 8))
        await asyncio.sleep(0.2)
        assert len(tested_node.first_runs()) == NUM_SLOTS
        await tested_node.submit(make_job("urgent", "second", [[50] * 4] * 4, 4))
        await asyncio.sleep(3.5)
        after = tested_node.first_runs()[NUM_SLOTS:]
        assert [item.split(".")[0] for item in after[:16]] == ["urgent"] * 16
        await tested_node.fleet.stop()

    run_virtual(main())


def test_workers_receive_priorities_only_if_routes_of_their_service_differ() -> None:
    async def main(priorities: tuple[int, int], expected: set[int | None]) -> None:
        tested_node = NodeUnderTest(make_configuration(*priorities))
        await asyncio.sleep(1.0)
        await tested_node.submit(make_job("a", "first", [[3]], 1))
        await tested_node.submit(make_job("b", "second", [[3]], 1))
        await asyncio.sleep(1.0)
        assert set(tested_node.fleet.back_ends.priorities.values()) == expected
        await tested_node.fleet.stop()

    run_virtual(main((3, 0), {3, 0}))
    run_virtual(main((2, 2), {None}))


def test_the_job_with_the_earlier_deadline_starts_first_and_surplus_groups_start_last() -> None:
    async def main() -> None:
        tested_node = NodeUnderTest(make_configuration(1, 1))
        await asyncio.sleep(1.0)
        lengths = [[50] * 4, [50] * 4, [50] * 4, [60] * 4]
        await tested_node.submit(make_job("k1", "first", lengths, 3))
        await asyncio.sleep(0.1)
        await tested_node.submit(make_job("k2", "first", lengths, 3))
        await asyncio.sleep(6.0)
        groups = [item.rpartition(".")[0] for item in tested_node.first_runs()]
        rounds = [
            sorted(set(groups[start : start + NUM_SLOTS]))
            for start in range(0, len(groups), NUM_SLOTS)
        ]
        assert rounds == [["k1.0", "k1.1"], ["k1.2", "k2.0"], ["k2.1", "k2.2"], ["k1.3", "k2.3"]]
        await tested_node.fleet.stop()

    run_virtual(main())


def test_a_group_is_not_late_because_its_longest_item_started_early() -> None:
    async def main() -> None:
        tested_node = NodeUnderTest(make_configuration(1, 1))
        await asyncio.sleep(1.0)
        # Finished items give the node an estimate of the throughput of a slot.
        await tested_node.submit(make_job("calibration", "first", [[50] * 8], 1))
        await asyncio.sleep(3.0)
        await tested_node.submit(make_job("filler", "first", [[600] * 6 + [150]], 1))
        await asyncio.sleep(0.1)
        await tested_node.submit(make_job("half", "first", [[300, 10]], 1))
        await asyncio.sleep(0.1)
        await tested_node.submit(make_job("later", "first", [[10, 10]], 1))
        await asyncio.sleep(3.5)
        assert tested_node.first_runs()[-4:] == ["half.0.0", "half.0.1", "later.0.0", "later.0.1"]
        await tested_node.fleet.stop()

    run_virtual(main())


def long_tailed_lengths(seed: int, mean_log: float) -> list[list[int]]:
    """Lengths of twelve groups of four items, with a log-normal distribution."""
    rng = random.Random(seed)
    return [[int(rng.lognormvariate(mean_log, 0.8)) for _ in range(4)] for _ in range(12)]


def with_inaccurate_lengths(job: Job, seed: int) -> Job:
    """The job with expected lengths that are wrong by up to 30%."""
    rng = random.Random(seed)
    items = tuple(
        replace(item, expected_tokens=int(item.expected_tokens * rng.uniform(0.7, 1.3)))
        for item in job.items
    )
    return replace(job, items=items)


def num_groups_in_time(seed: int, mean_log: float) -> int:
    """Number of groups complete at the deadline, of a job whose trainer waits for eleven."""
    counts: list[int] = []

    async def main() -> None:
        tested_node = NodeUnderTest(make_configuration(1, 1))
        await asyncio.sleep(1.0)
        job = make_job("k1", "first", long_tailed_lengths(seed, mean_log), 11)
        await tested_node.submit(with_inaccurate_lengths(job, seed))
        tested_node.fleet.back_ends.num_events_of.update(
            {item.id: item.expected_tokens for item in job.items}
        )
        await asyncio.sleep(DEADLINE_S)
        listed = await tested_node.listed(job)
        open_groups = {item.group for item in job.items if item.id not in listed}
        counts.append(len({item.group for item in job.items}) - len(open_groups))
        await tested_node.fleet.stop()

    run_virtual(main())
    return counts[0]


def test_some_groups_are_complete_in_time_with_capacity_for_half_of_the_work() -> None:
    counts = [num_groups_in_time(seed, mean_log=4.45) for seed in range(4)]
    # Starting the longest items of the job first would complete no group in time.
    assert all(count >= 4 for count in counts), counts


def test_all_needed_groups_are_complete_in_time_with_sufficient_capacity() -> None:
    counts = [num_groups_in_time(seed, mean_log=3.6) for seed in range(4)]
    # Running the groups one after the other would complete fewer in time.
    assert all(count >= 11 for count in counts), counts


class Trainer:
    """Submits a job every ``STEP_S`` seconds and counts groups that are complete in time.

    Args:
        tested_node: Node that receives the jobs.
        route: Route of its jobs.
        seed: Seed of the lengths.
    """

    STEP_S = 4.0
    GIVE_UP_S = 12.0
    NUM_DESIRED = 7
    MAX_OPEN_STEPS = 2

    def __init__(self, tested_node: NodeUnderTest, route: str, seed: int) -> None:
        self.num_requested = 0
        self.num_in_time = 0
        self._tested_node = tested_node
        self._route = route
        self._seed = seed

    async def train(self, num_steps: int) -> None:
        open_steps = asyncio.Semaphore(self.MAX_OPEN_STEPS)
        steps = []
        for number in range(num_steps):
            await open_steps.acquire()
            steps.append(asyncio.create_task(self._step(number, open_steps)))
            await asyncio.sleep(self.STEP_S)
        await asyncio.gather(*steps)

    async def _step(self, number: int, open_steps: asyncio.Semaphore) -> None:
        seed = 100 * self._seed + number
        lengths = long_tailed_lengths(seed, 3.6)[:8]
        job = make_job(f"{self._route}{number}", self._route, lengths, self.NUM_DESIRED)
        await self._tested_node.submit(with_inaccurate_lengths(job, seed))
        self._tested_node.fleet.back_ends.num_events_of.update(
            {item.id: item.expected_tokens for item in job.items}
        )
        self.num_requested += self.NUM_DESIRED
        await asyncio.sleep(DEADLINE_S)
        self.num_in_time += min(self.NUM_DESIRED, await self._num_complete(job))
        await asyncio.sleep(self.GIVE_UP_S - DEADLINE_S)
        await self._tested_node.node.jobs.end(job.id)
        open_steps.release()

    async def _num_complete(self, job: Job) -> int:
        listed = await self._tested_node.listed(job)
        open_groups = {item.group for item in job.items if item.id not in listed}
        return len({item.group for item in job.items}) - len(open_groups)


def test_most_groups_are_complete_in_time_under_lasting_overload() -> None:
    async def main() -> None:
        tested_node = NodeUnderTest(make_configuration(1, 1))
        await asyncio.sleep(1.0)
        trainers = [Trainer(tested_node, "first", 1), Trainer(tested_node, "second", 2)]
        await asyncio.gather(*(trainer.train(6) for trainer in trainers))
        num_in_time = sum(trainer.num_in_time for trainer in trainers)
        num_requested = sum(trainer.num_requested for trainer in trainers)
        # Starting the earlier job and its longest items first would complete far fewer in time.
        assert num_in_time >= 2 * num_requested / 3, (num_in_time, num_requested)
        await tested_node.fleet.stop()

    run_virtual(main())


def test_long_items_with_overestimated_lengths_start_before_short_ones_of_another_job() -> None:
    """Guards against groups that count as late because callers overestimate their longest items.

    Replays a load in which expected tokens grow faster than events: 8 tokens an event for 20 events
    and 60 for 150.
    """

    def with_expected_lengths(job: Job) -> Job:
        items = tuple(
            replace(item, expected_tokens=round(0.4 * item.expected_tokens**2))
            for item in job.items
        )
        return replace(job, items=items)

    async def main() -> None:
        tested_node = NodeUnderTest(make_configuration(1, 1))
        await asyncio.sleep(1.0)

        async def submit(job: Job) -> None:
            for item in job.items:
                tested_node.fleet.back_ends.num_events_of[item.id] = item.expected_tokens
            assert await tested_node.node.jobs.submit(with_expected_lengths(job)) is None

        rng = random.Random(1)
        history = [[rng.randint(4, 60) for _ in range(8)] for _ in range(12)]
        await submit(make_job("history", "first", history, 12))
        await asyncio.sleep(2 * DEADLINE_S)
        await submit(make_job("short", "second", [[40] * 8] * 4, 4))
        await asyncio.sleep(0.1)
        await submit(make_job("long", "first", [[180, 20, 20, 20]] * 2, 2))
        await asyncio.sleep(2.0)
        runs = tested_node.first_runs()
        long_items = ["long.0.0", "long.1.0"]
        first_short_after = runs.index("short.0.0") + NUM_SLOTS
        assert set(runs[first_short_after : first_short_after + 2]) == set(long_items), runs[-40:]
        await tested_node.fleet.stop()

    run_virtual(main())
