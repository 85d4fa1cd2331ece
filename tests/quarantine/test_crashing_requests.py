"""A request that ends the workers which run it must not end them again and again.

A look-up crashed each worker that began to run it, and its caller sent it again and again, with the
same path and body, to one node after another. Three workers had ended under it within 0.15 s, by
two tries at two nodes, and the service was gone for three seconds. As soon as its workers were back
the look-up was back as well and ended all three again: twelve had ended under it after 12 s, and
every other caller was refused meanwhile.

Each node counted the workers of one try only and forgot them with it, so that no node knew that the
request had ended workers before, at itself or elsewhere. Generations were not even counted within
one try: a run went from one broken worker to the next for as long as its item had time.

What settled it were the broken tries around each end of a worker. It is always the same request, at
two workers a try at the most, and at another node each time:

    10.538 edge-san-pedro-2  worker 1 of 3: ServerDisconnectedError
    10.580 edge-san-pedro-2  worker 2 of 3: ServerDisconnectedError, the caller is told
    10.684 edge-san-pedro-1  worker 3 of 3: ServerDisconnectedError, the caller is told
    14.506 edge-san-pedro-1  worker 1 of 3, which is back: ServerDisconnectedError
"""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.clock import now_s
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.live_state import SUSPECTS_PREFIX
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.jobs.helpers import make_job
from tests.quarantine.helpers import (
    CONTACT_S,
    CRASHING,
    MAX_LATE_RUNS,
    CrashingFleet,
    is_good,
)

SETTLE_S = 3.0


def test_a_look_up_that_ends_its_workers_is_stopped_at_all_nodes() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=12)
        await asyncio.sleep(SETTLE_S)
        tries = await fleet.send_again_and_again(CRASHING, seconds=60.0, pause_s=1.0)
        assert fleet.num_late_runs(tries) <= MAX_LATE_RUNS
        sound = [await fleet.send(node, b"sound") for node in fleet.nodes]
        assert all(is_good(one.outcome) for one in sound)
        await fleet.stop()

    run_virtual(main())


def test_an_item_that_ends_its_engines_is_stopped_and_the_others_are_not() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(SETTLE_S)
        job = make_job(num_items=12)
        items = (replace(job.items[0], body=CRASHING), *job.items[1:])
        job = replace(job, items=items)
        node = fleet.nodes["n0"]
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(24.0)
        page = await node.jobs.read(job.id, 0, 0.0)
        assert not hasattr(page, "code")
        # Its time is not up, so that it is not given up; the others are whole.
        assert {result.item_id for result in page.results} == {item.id for item in items[1:]}
        assert all(result.is_complete for result in page.results)
        late = [end for end in fleet.back_ends.ends if end.at_s > fleet.third_end_s() + CONTACT_S]
        assert len(late) <= MAX_LATE_RUNS
        await fleet.stop()

    run_virtual(main())


def test_two_tries_at_two_nodes_add_up() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=2)
        await asyncio.sleep(SETTLE_S)
        await fleet.send("n0", CRASHING)
        await fleet.send("n1", CRASHING)
        assert fleet.num_ends() == 3
        await asyncio.sleep(CONTACT_S)
        for node in fleet.nodes:
            refused = (await fleet.send(node, CRASHING)).outcome
            assert isinstance(refused, Problem)
            assert refused.code is ResultCode.REQUEST_QUARANTINED
            assert DESCRIPTIONS[refused.code].execution is Execution.NOT_RUN
            assert refused.retry_after_s is not None
            assert refused.retry_after_s > 60.0
        assert fleet.num_ends() == 3
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("trouble", ["cut off", "killed and started", "all killed and started"])
def test_the_bound_holds_when_nodes_are(trouble: str) -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=6)
        await asyncio.sleep(SETTLE_S)
        sending = asyncio.create_task(fleet.send_again_and_again(CRASHING, 40.0, 1.0))
        await asyncio.sleep(0.3)
        touched = ["n0", "n1"] if trouble != "all killed and started" else list(fleet.nodes)
        if trouble == "cut off":
            for name in touched:
                fleet.faults[name].is_silent = True
            await asyncio.sleep(12.0)
            for name in touched:
                fleet.faults[name].is_silent = False
        else:
            await asyncio.sleep(4.0)
            for name in touched:
                await fleet.kill(name)
                fleet.start(name)
        healed_s = now_s() + CONTACT_S
        tries = await sending
        # Nodes that are cut off learn nothing from the others: they keep to their own three.
        others = [one for one in tries if one.node not in touched or one.sent_s > healed_s]
        assert fleet.num_late_runs(others) <= MAX_LATE_RUNS
        assert fleet.num_ends() <= 3 + 3 * len(touched)
        await fleet.stop()

    run_virtual(main())


def test_twenty_crashing_requests_at_once_are_all_stopped() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=4)
        bodies = [f"crashing {number}".encode() for number in range(20)]
        fleet.back_ends.crashing_bodies.update(bodies)
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*(fleet.send_again_and_again(body, 120.0, 2.0) for body in bodies))
        assert all(fleet.num_ends(body) <= 3 + MAX_LATE_RUNS for body in bodies)
        await asyncio.sleep(10.0)
        sound = [await fleet.send(node, b"sound") for node in fleet.nodes]
        assert all(is_good(one.outcome) for one in sound)
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize("num_crashing", [1, 4])
@pytest.mark.parametrize("seed", range(4))
def test_items_beside_crashing_ones_are_not_condemned(num_crashing: int, seed: int) -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        fleet.back_ends.num_events = 18
        await asyncio.sleep(SETTLE_S + 0.01 * seed)
        job = make_job(num_items=52)
        items = tuple(
            replace(
                item,
                target=f"/m/{number}",
                body=CRASHING if number < num_crashing else f"prompt {number}".encode(),
            )
            for number, item in enumerate(job.items)
        )
        job = replace(job, items=items)
        node = fleet.nodes["n0"]
        assert await node.jobs.submit(job) is None
        await asyncio.sleep(20.0)
        page = await node.jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert {one.item_id for one in page.results} == {one.id for one in items[num_crashing:]}
        assert fleet.num_ends() <= 3 * num_crashing
        await fleet.stop()

    run_virtual(main())


def test_an_item_stays_in_quarantine_when_its_job_is_taken_over_twice() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(SETTLE_S)
        job = make_job(num_items=4)
        job = replace(job, items=(replace(job.items[0], body=CRASHING), *job.items[1:]))
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(0.2)
        for _ in range(2):
            (owner,) = fleet.owners_of(job)
            await fleet.kill(owner)
            await asyncio.sleep(8.0)
        late = [end for end in fleet.back_ends.ends if end.at_s > fleet.third_end_s() + CONTACT_S]
        assert len(late) <= MAX_LATE_RUNS
        await fleet.stop()

    run_virtual(main())


def test_a_scorer_call_that_ends_its_workers_is_stopped() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(SETTLE_S)
        job = make_job(num_items=4)
        scorer = job.items[0].scorer
        assert scorer is not None
        crashing = replace(job.items[0], scorer=replace(scorer, body=CRASHING))
        job = replace(job, items=(crashing, *job.items[1:]))
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await asyncio.sleep(20.0)
        assert fleet.num_ends() <= 3 + MAX_LATE_RUNS
        page = await fleet.nodes["n0"].jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert len(page.results) == 3
        await fleet.stop()

    run_virtual(main())


def test_a_look_up_that_many_send_is_not_condemned_when_its_workers_are_lost_together() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=6)
        await asyncio.sleep(SETTLE_S)
        callers = [
            asyncio.create_task(fleet.send_again_and_again(b"popular", 14.0, 0.01))
            for _ in range(12)
        ]
        for _ in range(2):
            await asyncio.sleep(5.0)
            for worker in list(fleet.present.values()):
                if worker.service == "scorers":
                    fleet.back_ends.end(worker)
        await asyncio.gather(*callers)
        refused = [
            one
            for tries in callers
            for one in tries.result()
            if isinstance(one.outcome, Problem)
            and one.outcome.code is ResultCode.REQUEST_QUARANTINED
        ]
        assert refused == []
        last = [await fleet.send(node, b"popular") for node in fleet.nodes]
        assert all(is_good(one.outcome) for one in last)
        await fleet.stop()

    run_virtual(main())


def test_sound_traffic_costs_the_store_no_call() -> None:
    async def main() -> None:
        fleet = CrashingFleet(num_nodes=3)
        await asyncio.sleep(SETTLE_S)
        (worker, *_) = (one for one in fleet.present.values() if one.service == "scorers")
        callers = [
            fleet.send_again_and_again(f"sound {number}".encode(), 6.0, 0.1) for number in range(8)
        ]
        asyncio.get_running_loop().call_later(2.0, fleet.back_ends.end, worker)
        await asyncio.gather(*callers)
        assert not [key for key in fleet.core.items if key.startswith(SUSPECTS_PREFIX)]
        await fleet.stop()

    run_virtual(main())
