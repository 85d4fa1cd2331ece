"""Tests of admission control and the fair queue, in virtual time.

Guards against overcommitted pools, unfair shares, late refusals and leaked slots.
"""

import asyncio

from returns.result import Failure, Success

from hollowrack.admission.controller import AdmissionController, Ticket
from hollowrack.admission.fair_queue import FairQueue
from hollowrack.results import ResultCode
from hollowrack.routing.fleet import PoolLoad
from hollowrack_bench.virtual_time import run_virtual

FAR_DEADLINE_S = 1e9


def test_dequeue_order_follows_tenant_weights() -> None:
    queue: FairQueue[str] = FairQueue({"big": 3.0})
    for _ in range(40):
        queue.push("big", "big")
        queue.push("small", "small")
    first = [queue.pop() for _ in range(40)]
    assert first.count("big") == 30


def test_idle_tenant_accumulates_no_credit() -> None:
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


def test_excess_requests_are_queued_briefly_or_refused() -> None:
    async def run() -> None:
        controller = _controller(num_slots=4)
        results = await asyncio.gather(
            *(_run_request(controller, 0.4) for _ in range(40)),
        )
        refusals = [result for result in results if result is not ResultCode.OK]
        assert 4 <= results.count(ResultCode.OK) <= 8
        assert set(refusals) == {ResultCode.OVERLOADED}
        assert controller.num_running == 0
        await controller.stop()

    run_virtual(run())


async def _run_request(controller: AdmissionController, service_s: float) -> ResultCode:
    admitted = await controller.admit("m", "t", FAR_DEADLINE_S)
    if isinstance(admitted, Failure):
        problem = admitted.failure()
        assert problem.retry_after_s is not None
        return problem.code
    await asyncio.sleep(service_s)
    admitted.unwrap().release()
    return ResultCode.OK


async def _admit_all(controller: AdmissionController, num_slots: int) -> list[Ticket]:
    return [(await controller.admit("m", "t", FAR_DEADLINE_S)).unwrap() for _ in range(num_slots)]


def test_refusal_is_immediate() -> None:
    async def run() -> None:
        controller = _controller(num_slots=2)
        ticket = (await _admit_all(controller, 2))[0]
        waiting = asyncio.create_task(controller.admit("m", "t", FAR_DEADLINE_S))
        await asyncio.sleep(0)
        started_s = asyncio.get_running_loop().time()
        assert isinstance(await controller.admit("m", "t", FAR_DEADLINE_S), Failure)
        assert asyncio.get_running_loop().time() == started_s
        ticket.release()
        assert isinstance(await waiting, Success)
        await controller.stop()

    run_virtual(run())


def test_cancelled_waiter_is_removed_and_leaks_no_slot() -> None:
    async def run() -> None:
        controller = _controller(num_slots=2)
        tickets = await _admit_all(controller, 2)
        waiting = asyncio.create_task(controller.admit("m", "t", FAR_DEADLINE_S))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        for ticket in (*tickets, *tickets):
            ticket.release()
        assert controller.num_running == 0
        assert isinstance(await controller.admit("m", "t", FAR_DEADLINE_S), Success)
        await controller.stop()

    run_virtual(run())


def test_stop_refuses_queued_requests() -> None:
    async def run() -> None:
        controller = _controller(num_slots=2)
        await _admit_all(controller, 2)
        waiting = asyncio.create_task(controller.admit("m", "t", FAR_DEADLINE_S))
        await asyncio.sleep(0.01)
        await controller.stop()
        assert (await waiting).failure().code is ResultCode.STOPPING

    run_virtual(run())


def test_nodes_with_same_stale_report_do_not_overcommit() -> None:
    async def run() -> None:
        num_nodes, num_slots = 6, 60
        controllers = [
            AdmissionController(lambda pool: PoolLoad(num_slots, 0), lambda: num_nodes, 1000)
            for _ in range(num_nodes)
        ]
        num_admitted = 0
        for _ in range(40):
            for controller in controllers:
                task = asyncio.create_task(controller.admit("m", "t", FAR_DEADLINE_S))
                await asyncio.sleep(0)
                num_admitted += task.done() and isinstance(task.result(), Success)
                task.cancel()
        assert num_admitted == num_slots

    run_virtual(run())


def test_single_busy_node_can_use_whole_pool() -> None:
    async def run() -> None:
        num_running = 0

        def load(pool: str) -> PoolLoad:
            return PoolLoad(60, num_running)

        controller = AdmissionController(load, lambda: 6, 1000)
        for _ in range(60):
            task = asyncio.create_task(controller.admit("m", "t", FAR_DEADLINE_S))
            await asyncio.sleep(1.0)
            task.cancel()
            num_running = controller.num_running
        assert controller.num_running == 60

    run_virtual(run())


def test_request_limit_of_node_spans_all_pools() -> None:
    async def run() -> None:
        controller = _controller(num_slots=100, max_requests=2)
        assert isinstance(await controller.admit("a", "t", FAR_DEADLINE_S), Success)
        assert isinstance(await controller.admit("b", "t", FAR_DEADLINE_S), Success)
        waiting = asyncio.create_task(controller.admit("c", "t", FAR_DEADLINE_S))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        waiting.cancel()
        await controller.stop()

    run_virtual(run())


def test_weights_apply_to_pools_created_later() -> None:
    async def run() -> None:
        controller = _controller(num_slots=1)
        controller.set_weights({"big": 3.0})
        await _admit_all(controller, 1)
        assert controller._pools["m"].queue.weights == {"big": 3.0}
        await controller.stop()

    run_virtual(run())
