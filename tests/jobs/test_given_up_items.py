"""Guards against items given up because a node has no configuration, or an older one than its job.

A missing scorer route, an unexpected error or an inner timeout must not end an item either.
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
from tests.jobs.helpers import Fleet, check_complete_results, configuration, make_job

NEW_PREFIX = "/new/"
TAKEOVER_TIME_S = 5.0


def with_new_route(version: int) -> RoutingConfiguration:
    """The initial configuration with one additional route."""
    initial = configuration(version)
    generate, *_ = initial.routes
    return replace(
        initial, routes=(*initial.routes, replace(generate, name="new", prefix=NEW_PREFIX))
    )


def without_route(prefix: str, version: int) -> RoutingConfiguration:
    """The configuration with the additional route, without the route of a prefix."""
    initial = with_new_route(version)
    remaining: tuple[Route, ...] = tuple(
        route for route in initial.routes if route.prefix != prefix
    )
    return replace(initial, routes=remaining)


def make_job_for_new_route(name: str = "j1") -> Job:
    """A job for the route that only the newer configuration has."""
    job = make_job(name)
    items = tuple(replace(item, target=f"{NEW_PREFIX}x") for item in job.items)
    return replace(job, target=NEW_PREFIX, items=items)


async def read_with_timeout(
    fleet: Fleet, name: str, job: Job, timeout_s: float
) -> list[ItemResult]:
    """Read a job's results until all are listed or the timeout has passed."""
    end_s = asyncio.get_running_loop().time() + timeout_s
    results: list[ItemResult] = []
    while len(results) < len(job.items) and asyncio.get_running_loop().time() < end_s:
        page = await fleet.nodes[name].jobs.read(job.id, len(results), 1.0)
        if isinstance(page, ResultPage):
            results.extend(page.results)
        else:
            await asyncio.sleep(0.3)
    return results


@pytest.mark.parametrize("cause", ["submitted to its owner", "taken over", "restarted"])
def test_a_node_with_an_older_configuration_gives_up_no_item(cause: str) -> None:
    async def main() -> None:
        fleet = Fleet(uses_preferred_owner=cause == "submitted to its owner")
        await asyncio.sleep(1.0)
        job = make_job_for_new_route()
        receiver = fleet.nodes["n0"]
        if cause == "submitted to its owner":
            preferred = [name for name, node in fleet.nodes.items() if _prefers_itself(node, job)]
            receiver = next(node for name, node in fleet.nodes.items() if name not in preferred)
        receiver.configuration_changed(with_new_route(2))
        assert await receiver.jobs.submit(job) is None
        if cause != "submitted to its owner":
            await fleet.kill("n0")
        if cause == "restarted":
            fleet.start("n0")
        await asyncio.sleep(TAKEOVER_TIME_S)
        page = await next(iter(fleet.nodes.values())).jobs.read(job.id, 0, 0.0)
        assert isinstance(page, ResultPage)
        assert not page.results, "items were given up by a node without the route"
        (owner,) = fleet.owners_of(job)
        assert fleet.nodes[owner].routes.version == 1
        fleet.nodes[owner].configuration_changed(with_new_route(2))
        check_complete_results(job, await read_with_timeout(fleet, owner, job, 20.0))
        await fleet.stop()

    run_virtual(main())


def _prefers_itself(node: EdgeNode, job: Job) -> bool:
    return node.live.preferred_owner_address(job) is None


def test_items_are_given_up_if_a_newer_configuration_lacks_their_route() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        for node in fleet.nodes.values():
            node.configuration_changed(with_new_route(2))
        fleet.back_ends.num_events = 100
        job = make_job_for_new_route()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        await fleet.kill("n0")
        for node in fleet.nodes.values():
            node.configuration_changed(without_route(NEW_PREFIX, 3))
        results = await read_with_timeout(fleet, "n1", job, 20.0)
        assert len(results) == len(job.items)
        assert not any(result.is_complete for result in results)
        await fleet.stop()

    run_virtual(main())


def test_a_job_taken_over_before_the_configuration_keeps_its_queue_ttl() -> None:
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
        results = await read_with_timeout(fleet, "n1", job, 40.0)
        assert len(results) == len(job.items)
        assert not any(result.is_complete for result in results)
        await fleet.stop()

    run_virtual(main())


def test_an_item_waits_for_its_scorer_route() -> None:
    async def main() -> None:
        fleet = Fleet()
        await asyncio.sleep(1.0)
        job = make_job()
        assert await fleet.nodes["n0"].jobs.submit(job) is None
        for node in fleet.nodes.values():
            node.configuration_changed(without_route("/s/", 2))
        await asyncio.sleep(5.0)
        for node in fleet.nodes.values():
            node.configuration_changed(configuration(3))
        check_complete_results(job, await read_with_timeout(fleet, "n0", job, 20.0))
        await fleet.stop()

    run_virtual(main())


class _FaultyBackEnds(BackEndsStandin):
    """Workers whose client raises unexpected errors."""

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
        chunks = AnswerStandin.chunks(answer)
        yield await anext(chunks)
        raise self.error("unexpected error")


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
        check_complete_results(job, await read_with_timeout(fleet, "n0", job, 20.0))
        await fleet.stop()

    run_virtual(main())
