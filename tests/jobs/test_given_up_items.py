"""An item is given up for a proven reason only, never because its node does not know better.

Symptom: a result was listed as given up 40 s before its queue time was over, though no worker had
rejected or failed the item. The node logged ``its route is gone``.

Sequence: all processes were killed and started again. A node saw in the store that an earlier
process of its own owned an unfinished job, claimed it and started its items at once. Its first
listing of the operators' configuration, asked for at the same time, was held up by lost packets.

Cause: the runner looked the route up in the node's own view and took what was absent there for
something that had ended. A node without a configuration was one case; a node with a configuration
from before the job's route is another, and so were a scorer's route, an unexpected error and an
inner time-out: each ended the item for good.

Settled by the order of the log lines: ``edge node ... started``, ``job ...: taken over``, ``its
route is gone`` 2 ms later, and ``configuration N in force`` on that node only afterwards. Runs of
a fleet with lossy links and repeated kills gave the same lines, and up to 160 wrongly ended items.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import Route, RoutingConfiguration, Worker
from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.types import ItemResult, Job
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import AnswerStandin, BackEndsStandin, WorkerBehaviour
from tests.jobs.helpers import Fleet, check_whole, configuration, make_job

NEW_PREFIX = "/new/"
TAKE_OVER_S = 5.0


def with_new_route(version: int) -> RoutingConfiguration:
    """A configuration that has one route more than the first one."""
    first = configuration(version)
    generate, *_ = first.routes
    return replace(first, routes=(*first.routes, replace(generate, name="new", prefix=NEW_PREFIX)))


def without(prefix: str, version: int) -> RoutingConfiguration:
    """A configuration that has lost a route."""
    first = with_new_route(version)
    kept: tuple[Route, ...] = tuple(route for route in first.routes if route.prefix != prefix)
    return replace(first, routes=kept)


def make_new_job(name: str = "j1") -> Job:
    """A job by the route that only the newer configuration has."""
    job = make_job(name)
    items = tuple(replace(item, target=f"{NEW_PREFIX}x") for item in job.items)
    return replace(job, target=NEW_PREFIX, items=items)


async def read_for(fleet: Fleet, name: str, job: Job, seconds: float) -> list[ItemResult]:
    """Read a job's results until all are listed or the time is up."""
    end_s = asyncio.get_running_loop().time() + seconds
    results: list[ItemResult] = []
    while len(results) < len(job.items) and asyncio.get_running_loop().time() < end_s:
        page = await fleet.nodes[name].jobs.read(job.id, len(results), 1.0)
        if isinstance(page, ResultPage):
            results.extend(page.results)
        else:
            await asyncio.sleep(0.3)
    return results


@pytest.mark.parametrize("way", ["handed on", "taken over", "started again"])
def test_a_node_with_an_older_configuration_gives_no_item_up(way: str) -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=way == "handed on")
        await asyncio.sleep(1.0)
        job = make_new_job()
        asked = fleet.nodes["n0"]
        if way == "handed on":
            names = [name for name, node in fleet.nodes.items() if _prefers_itself(node, job)]
            asked = next(node for name, node in fleet.nodes.items() if name not in names)
        asked.configuration_changed(with_new_route(2))
        assert await asked.jobs.submit(job) is None
        if way != "handed on":
            await fleet.kill("n0")
        if way == "started again":
            fleet.start("n0")
        await asyncio.sleep(TAKE_OVER_S)
        page = await next(iter(fleet.nodes.values())).jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert not page.results, "given up by a node that does not know the route yet"
        (owner,) = fleet.owners_of(job)
        assert fleet.nodes[owner].routes.version == 1
        fleet.nodes[owner].configuration_changed(with_new_route(2))
        check_whole(job, await read_for(fleet, owner, job, 20.0))
        await fleet.stop()

    run_virtual(main())


def _prefers_itself(node: EdgeNode, job: Job) -> bool:
    return node.live.preferred_owner_address(job) is None


def test_items_end_with_their_route_in_a_configuration_as_new_as_the_jobs() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        for node in fleet.nodes.values():
            node.configuration_changed(with_new_route(2))
        fleet.back_ends.num_events = 100
        job = make_new_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await fleet.kill("n0")
        for node in fleet.nodes.values():
            node.configuration_changed(without(NEW_PREFIX, 3))
        results = await read_for(fleet, "n1", job, 20.0)
        assert len(results) == len(job.items)
        assert not any(result.is_complete for result in results)
        await fleet.stop()

    run_virtual(main())


def test_a_job_taken_back_before_the_configuration_keeps_its_queue_time() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        for worker in ("e0", "e1"):
            fleet.back_ends.behaviours[worker] = WorkerBehaviour(is_silent=True)
        job = make_job()
        assert await fleet.nodes["n1"].jobs.submit(job) is None
        await fleet.kill("n1")
        node = fleet.start("n1", is_configured=False)
        await asyncio.sleep(1.0)
        node.configuration_changed(configuration())
        # The route gives items up after 30 s.
        results = await read_for(fleet, "n1", job, 40.0)
        assert len(results) == len(job.items)
        assert not any(result.is_complete for result in results)
        await fleet.stop()

    run_virtual(main())


def test_an_item_waits_for_the_route_of_its_scorer() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        for node in fleet.nodes.values():
            node.configuration_changed(without("/s/", 2))
        await asyncio.sleep(5.0)
        for node in fleet.nodes.values():
            node.configuration_changed(configuration(3))
        check_whole(job, await read_for(fleet, "n0", job, 20.0))
        await fleet.stop()

    run_virtual(main())


class _FaultyBackEnds(BackEndsStandin):
    """Workers whose client fails in ways that it should not."""

    error: type[Exception] = RuntimeError
    num_errors_left: int = 3

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> AnswerStandin:
        answer = await super().open(worker, call, time_left_s, after_event, is_repeatable)
        if self.num_errors_left:
            self.num_errors_left -= 1
            answer.chunks = lambda: self._failing(answer)  # type: ignore[method-assign]
        return answer

    async def _failing(self, answer: AnswerStandin) -> AsyncIterator[bytes]:
        whole = AnswerStandin.chunks(answer)
        yield await anext(whole)
        raise self.error("a fault of the program")


@pytest.mark.parametrize("error", [RuntimeError, KeyError, ValueError])
def test_an_unexpected_error_ends_no_item(error: type[Exception]) -> None:
    async def main() -> None:
        fleet = Fleet(num_nodes=0)
        back_ends = _FaultyBackEnds()
        back_ends.error = error
        fleet.back_ends = back_ends
        fleet.start("n0")
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        check_whole(job, await read_for(fleet, "n0", job, 20.0))
        await fleet.stop()

    run_virtual(main())
