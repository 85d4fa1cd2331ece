"""Guards against wrong fingerprints, and against disconnects taken for crashes or vice versa."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.platform.worker_client import PlatformWorkers, worker_session
from hollowrack.quarantine.crash_detector import CrashDetector, DisconnectCause
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack_bench.free_ports import free_address
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin, WorkerBehaviour
from tests.forwarding.helpers import make_forwarder, make_request, make_route, make_worker

CALL = BackEndCall("q1", "POST", "/a/x?y=1", (("Host", "h.example"),), b"body", 3, "t1")


def test_same_request_under_another_identifier_has_the_same_fingerprint() -> None:
    retry = replace(CALL, request_id="q2", priority=5, headers=(("host", "H.example"), ("X", "1")))
    assert fingerprint_of(retry) == fingerprint_of(CALL)


@pytest.mark.parametrize(
    "changes",
    [
        {"tenant": "t2"},
        {"tenant": None},
        {"headers": (("Host", "i.example"),)},
        {"method": "PUT"},
        {"target": "/a/x?y=2"},
        {"body": b"bodz"},
        {"target": "/a/x?y=1b", "body": b"ody"},
    ],
    ids=str,
)
def test_different_requests_have_different_fingerprints(changes: dict[str, object]) -> None:
    changed = replace(CALL, **changes)  # type: ignore[arg-type]
    assert fingerprint_of(changed) != fingerprint_of(CALL)


def test_crash_is_distinguished_from_a_closed_connection() -> None:
    async def main() -> None:
        behaviours = {"w0": WorkerBehaviour(), "w1": WorkerBehaviour()}
        back_ends = BackEndsStandin(behaviours, crashing_bodies={b"body"})
        forwarder, _ = make_forwarder(make_route(max_attempts=1), back_ends, num_workers=2)
        crashed: list[WorkerIncarnation] = []
        detector = CrashDetector(
            back_ends, lambda fingerprint, worker, is_retried_here, timing: crashed.append(worker)
        )
        forwarder._quarantine.crash_detector = detector
        await forwarder.forward(make_request(make_route(max_attempts=1)))
        await asyncio.sleep(0.1)
        assert crashed == [back_ends.crashes[0].worker.incarnation]
        assert detector.num_disconnects == Counter({DisconnectCause.ENDED: 1})
        for behaviour in back_ends.behaviours.values():
            behaviour.num_lost_answers = 1
        back_ends.crashing_bodies.clear()
        await forwarder.forward(make_request(make_route(max_attempts=1), "q2"))
        await asyncio.sleep(0.1)
        assert detector.num_disconnects == Counter(
            {DisconnectCause.ENDED: 1, DisconnectCause.UNPROVEN: 1}
        )

    run_virtual(main())


def test_only_a_closed_port_proves_that_a_worker_has_ended() -> None:
    async def main() -> None:
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with worker_session() as session, worker_session(force_close=True) as fresh:
            workers = PlatformWorkers(session, fresh)
            listening = replace(make_worker("w0"), address=f"{host}:{port}")
            assert not await workers.has_crashed(listening)
            assert await workers.has_crashed(replace(listening, address=free_address()))
            assert not await workers.has_crashed(replace(listening, address="nonsense"))
        server.close()

    asyncio.run(main())
