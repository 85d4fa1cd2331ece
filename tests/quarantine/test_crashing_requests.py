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
