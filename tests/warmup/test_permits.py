"""Guards against permits used after they expired, twice, or by another request."""

import asyncio

from hollowrack.warmup.permits import PermitStore, RecentSends
from hollowrack_bench.virtual_time import run_virtual
from tests.warmup.fleet import make_worker

WORKER = make_worker("w")


def test_permits_expire_and_are_counted() -> None:
    async def main() -> None:
        permits = PermitStore()
        permits.add(WORKER, 2, 0.4)
        assert permits.use(WORKER, "q1")
        await asyncio.sleep(0.4)
        assert not permits.use(WORKER, "q2")
        assert permits.num_granted["svc"] == 2
        assert permits.num_used["svc"] == 1
        assert permits.num_expired["svc"] == 1

    run_virtual(main())


def test_permits_of_an_answer_that_comes_late_have_expired() -> None:
    async def main() -> None:
        permits = PermitStore()
        await asyncio.sleep(5.0)
        permits.add(WORKER, 3, 0.4)
        assert permits.num_free(WORKER) == 0
        assert not permits.use(WORKER, "q1")

    run_virtual(main())


def test_reserved_permit_is_only_used_by_its_request() -> None:
    async def main() -> None:
        permits = PermitStore()
        permits.add(WORKER, 1, 1.0)
        assert permits.reserve(WORKER, "q1")
        assert permits.num_free(WORKER) == 0
        assert not permits.reserve(WORKER, "q2")
        assert permits.reserved_worker("q1") == WORKER
        assert permits.reserved_worker("q2") is None
        assert not permits.use(WORKER, "q2")
        assert permits.use(WORKER, "q1")
        assert not permits.use(WORKER, "q1")
        assert permits.reserved_worker("q1") is None

    run_virtual(main())


def test_released_permit_is_available_to_others() -> None:
    async def main() -> None:
        permits = PermitStore()
        permits.add(WORKER, 1, 1.0)
        permits.reserve(WORKER, "q1")
        permits.release("q1")
        permits.release("q1")
        assert permits.num_free(WORKER) == 1
        assert permits.use(WORKER, "q2")

    run_virtual(main())


def test_permits_are_for_one_incarnation() -> None:
    async def main() -> None:
        permits = PermitStore()
        permits.add(WORKER, 1, 1.0)
        assert not permits.use(make_worker("w", started_ms=2), "q1")

    run_virtual(main())


def test_recent_sends_are_stated_once_and_forgotten_after_the_window() -> None:
    async def main() -> None:
        sends = RecentSends()
        sends.record(WORKER.incarnation)
        await asyncio.sleep(1.0)
        sends.record(WORKER.incarnation)
        sends.record(make_worker("other").incarnation)
        await asyncio.sleep(1.0)
        assert sends.take(WORKER.incarnation) == 1
        assert sends.take(WORKER.incarnation) == 0
        assert sends.take(make_worker("other").incarnation) == 1

    run_virtual(main())
