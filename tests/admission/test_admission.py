"""Admission in virtual time: room, fairness, early refusal, deadlines, stopping."""

import asyncio

from returns.result import Failure, Success

from hollowrack.admission.controller import AdmissionController, Ticket
from hollowrack.admission.fair_queue import FairQueue
from hollowrack.results import ResultCode
from hollowrack.routing.fleet import PoolLoad
from hollowrack_bench.virtual_time import run_virtual

FAR_S = 1e9


def test_tenants_share_by_weight() -> None:
    queue: FairQueue[str] = FairQueue({"big": 3.0})
    for _ in range(40):
        queue.push("big", "big")
        queue.push("small", "small")
    first = [queue.pop() for _ in range(40)]
    assert first.count("big") == 30


def test_a_tenant_that_was_idle_has_saved_nothing_up() -> None:
    queue: FairQueue[str] = FairQueue()
    for _ in range(50):
        queue.push("a", "a")
    for _ in range(40):
        queue.pop()
    for _ in range(10):
        queue.push("b", "b")
    assert [queue.pop() for _ in range(10)].count("b") <= 6


def _controller(num_slots: int, max_requests: int = 1000) -> AdmissionController:
    controller = AdmissionController(lambda pool: PoolLoad(num_slots, 0), lambda: 1, max_requests)
    controller.start()
    return controller


def test_requests_over_the_room_wait_a_little_and_the_rest_are_refused() -> None:
    async def run() -> None:
        controller = _controller(num_slots=4)
        results = await asyncio.gather(
            *(_hold(controller, 0.4) for _ in range(40)),
        )
        codes = [result for result in results if result is not ResultCode.OK]
        assert 4 <= results.count(ResultCode.OK) <= 8
        assert set(codes) == {ResultCode.OVERLOADED}
        assert controller.num_running == 0
        await controller.stop()

    run_virtual(run())


async def _hold(controller: AdmissionController, seconds: float) -> ResultCode:
    admitted = await controller.admit("m", "t", FAR_S)
    if isinstance(admitted, Failure):
        problem = admitted.failure()
        assert problem.retry_after_s is not None
        return problem.code
    await asyncio.sleep(seconds)
    admitted.unwrap().release()
    return ResultCode.OK


async def _fill(controller: AdmissionController, num_slots: int) -> list[Ticket]:
    return [(await controller.admit("m", "t", FAR_S)).unwrap() for _ in range(num_slots)]


def test_a_refusal_comes_at_once() -> None:
    async def run() -> None:
        controller = _controller(num_slots=2)
        held = (await _fill(controller, 2))[0]
        waiting = asyncio.create_task(controller.admit("m", "t", FAR_S))
        await asyncio.sleep(0)
        started_s = asyncio.get_running_loop().time()
        assert isinstance(await controller.admit("m", "t", FAR_S), Failure)
        assert asyncio.get_running_loop().time() == started_s
        held.release()
        assert isinstance(await waiting, Success)
        await controller.stop()

    run_virtual(run())


def test_a_caller_that_gives_up_waiting_leaves_no_trace() -> None:
    async def run() -> None:
        controller = _controller(num_slots=2)
        held = await _fill(controller, 2)
        waiting = asyncio.create_task(controller.admit("m", "t", FAR_S))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        for ticket in (*held, *held):
            ticket.release()
        assert controller.num_running == 0
        assert isinstance(await controller.admit("m", "t", FAR_S), Success)
        await controller.stop()

    run_virtual(run())


def test_stopping_refuses_those_that_wait() -> None:
    async def run() -> None:
        controller = _controller(num_slots=2)
        await _fill(controller, 2)
        waiting = asyncio.create_task(controller.admit("m", "t", FAR_S))
        await asyncio.sleep(0.01)
        await controller.stop()
        assert (await waiting).failure().code is ResultCode.STOPPING

    run_virtual(run())


def test_nodes_that_see_the_same_old_report_do_not_fill_the_same_room_twice() -> None:
    async def run() -> None:
        num_nodes, num_slots = 6, 60
        controllers = [
            AdmissionController(lambda pool: PoolLoad(num_slots, 0), lambda: num_nodes, 1000)
            for _ in range(num_nodes)
        ]
        admitted = 0
        for _ in range(40):
            for controller in controllers:
                task = asyncio.create_task(controller.admit("m", "t", FAR_S))
                await asyncio.sleep(0)
                admitted += task.done() and isinstance(task.result(), Success)
                task.cancel()
        assert admitted == num_slots

    run_virtual(run())


def test_one_busy_node_may_use_the_whole_pool_in_time() -> None:
    async def run() -> None:
        held = 0

        def load(pool: str) -> PoolLoad:
            return PoolLoad(60, held)

        controller = AdmissionController(load, lambda: 6, 1000)
        for _ in range(60):
            task = asyncio.create_task(controller.admit("m", "t", FAR_S))
            await asyncio.sleep(1.0)
            task.cancel()
            held = controller.num_running
        assert controller.num_running == 60

    run_virtual(run())


def test_the_node_limit_holds_over_all_pools() -> None:
    async def run() -> None:
        controller = _controller(num_slots=100, max_requests=2)
        assert isinstance(await controller.admit("a", "t", FAR_S), Success)
        assert isinstance(await controller.admit("b", "t", FAR_S), Success)
        waiting = asyncio.create_task(controller.admit("c", "t", FAR_S))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        waiting.cancel()
        await controller.stop()

    run_virtual(run())


def test_weights_count_for_pools_that_are_first_used_later() -> None:
    async def run() -> None:
        controller = _controller(num_slots=1)
        controller.set_weights({"big": 3.0})
        await _fill(controller, 1)
        assert controller._pools["m"].queue.weights == {"big": 3.0}
        await controller.stop()

    run_virtual(run())
