"""Connections that stop responding while new ones work must cost at most one timeout per peer."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route
from yarl import URL

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.coordination.feed_http import FEED_PATH, HttpFeedClient
from hollowrack.coordination.relay import Absent, RelayedGet
from hollowrack.coordination.relay_http import HttpRelayClient, relay_routes
from hollowrack.coordination.store import Changes
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.peer_jobs import READ_PATH, HttpPeerJobs, JobPage, ReadJobRequest
from hollowrack.messages.idle_connections import PeerConnector
from hollowrack.messages.node_http import message_route
from hollowrack.platform import names
from hollowrack.platform.duty_client import PlatformDutyClient
from hollowrack.platform.http_session import client_session
from hollowrack.platform.store_client import PlatformStore
from hollowrack.platform.worker_client import PlatformWorkers, worker_session
from hollowrack.usage.types import WindowReport
from hollowrack_bench.loopback_proxy import LoopbackProxy
from hollowrack_standins.coordination_store import CoordinationStoreCore
from hollowrack_standins.server import StandinServer
from hollowrack_standins.users_platform import PlatformStoreStandin

NUM_CONNECTIONS = 5
WORKER_TIMEOUT_S = 0.8
CALL = BackEndCall("q1", "POST", "/a", (), b"asked")

Call = Callable[[], Awaitable[bool]]


async def _worker_answer(request: Request) -> Response:
    # Long enough for concurrent calls to open a connection each.
    await asyncio.sleep(0.02)
    return PlainTextResponse(b"{}", headers={names.REQUEST_ID: CALL.request_id})


async def _read_job(request: ReadJobRequest) -> JobPage:
    del request
    await asyncio.sleep(0.02)
    return JobPage(is_owner=True)


async def _changes(request: WatchRequest) -> SharedChanges:
    del request
    await asyncio.sleep(0.02)
    return SharedChanges()


def _routes() -> list[Route]:
    return [
        *relay_routes(CoordinationStoreCore().make_client()),
        message_route(READ_PATH, (ReadJobRequest,), _read_job),
        message_route(FEED_PATH, (WatchRequest,), _changes),
        Route(names.USAGE_PATH, _worker_answer, methods=["POST"]),
        Route(CALL.target, _worker_answer, methods=["POST"]),
    ]


@dataclass
class Clients:
    """All HTTP clients of a node, connected to one peer."""

    session: aiohttp.ClientSession
    keepalive_session: aiohttp.ClientSession
    address: str

    async def get(self) -> bool:
        return await PlatformStore(self.session, self.address).get("k") is None

    async def watch(self) -> bool:
        outcome = await PlatformStore(self.session, self.address).watch("k/", 0, 0.2)
        return isinstance(outcome, Changes)

    async def duty(self) -> bool:
        client = PlatformDutyClient(self.session, self.address)
        outcome = await client.report_usage(DutyHolder("n", 1), WindowReport(1, {}))
        return outcome is DutyOutcome.ACCEPTED

    async def relay(self) -> bool:
        outcome = await HttpRelayClient(self.session).relay(self.address, RelayedGet("k"))
        return isinstance(outcome, Absent)

    async def feed(self) -> bool:
        answer = await HttpFeedClient(self.session).watch(self.address, WatchRequest("k/", 0, 0.1))
        return answer is not None

    async def read_job(self) -> bool:
        page = await HttpPeerJobs(self.session).read(self.address, ReadJobRequest("j", 0, 0.1))
        return page is not None

    async def worker(self) -> bool:
        workers = PlatformWorkers(self.keepalive_session, self.keepalive_session)
        worker = Worker("w", "svc", self.address, "z", 1)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WORKER_TIMEOUT_S):
                answer = await workers.open(worker, CALL, 5.0)
                return await answer.read() == b"{}"
        return False


@asynccontextmanager
async def clients_through_proxy(
    server: StandinServer,
) -> AsyncIterator[tuple[Clients, LoopbackProxy]]:
    proxy = LoopbackProxy(await server.start(), random.Random(1))
    address = await proxy.start()
    try:
        async with client_session() as session, worker_session() as keepalive_session:
            yield Clients(session, keepalive_session, address), proxy
    finally:
        await proxy.stop()
        await server.crash()


async def fail_until_success(
    clients: Clients, proxy: LoopbackProxy, kind: str
) -> tuple[int, float]:
    """Silence all open connections and call until one succeeds.

    Returns:
        Number of failed calls, and the time until the last of them failed, in seconds.
    """
    call: Call = getattr(clients, kind)
    assert all(await asyncio.gather(*(call() for _ in range(NUM_CONNECTIONS))))
    proxy.silence_open_connections()
    started_s = time.monotonic()
    num_failed = 0
    last_failure_s = started_s
    while not await call():
        num_failed += 1
        last_failure_s = time.monotonic()
    return num_failed, last_failure_s - started_s


KINDS = ("get", "watch", "duty", "relay", "feed", "read_job", "worker")


def test_one_timeout_drops_all_silent_connections() -> None:
    async def num_failed_of(kind: str) -> int:
        is_store = kind in ("get", "watch")
        server = PlatformStoreStandin().server if is_store else StandinServer(_routes())
        async with clients_through_proxy(server) as (clients, proxy):
            num_failed, _ = await fail_until_success(clients, proxy, kind)
            return num_failed

    async def main() -> None:
        # Concurrent, because each one waits for a timeout.
        num_failed = await asyncio.gather(*(num_failed_of(kind) for kind in KINDS))
        assert dict(zip(KINDS, num_failed, strict=True)) == dict.fromkeys(KINDS, 1)

    asyncio.run(main())


def test_recently_used_connections_and_those_to_other_peers_are_kept() -> None:
    async def main() -> None:
        async with (
            clients_through_proxy(StandinServer(_routes())) as (clients, _),
            clients_through_proxy(StandinServer(_routes())) as (other_clients, _),
        ):
            others = Clients(clients.session, clients.keepalive_session, other_clients.address)
            assert all(await asyncio.gather(*(clients.worker() for _ in range(3))))
            assert all(await asyncio.gather(*(others.worker() for _ in range(3))))
            connector = clients.keepalive_session.connector
            assert isinstance(connector, PeerConnector)
            cutoff_s = time.monotonic()
            assert await clients.worker()
            url = URL(f"http://{clients.address}")
            assert connector.close_idle(url, cutoff_s) == 2
            assert connector.close_idle(url, time.monotonic()) == 1
            assert connector.close_idle(URL(f"http://{others.address}"), cutoff_s) == 3

    asyncio.run(main())


def test_early_client_disconnect_drops_no_connection() -> None:
    async def main() -> None:
        async with clients_through_proxy(StandinServer(_routes())) as (clients, _):
            assert all(await asyncio.gather(*(clients.worker() for _ in range(3))))
            cancelled_call = asyncio.create_task(clients.worker())
            await asyncio.sleep(0.005)
            cancelled_call.cancel()
            await asyncio.gather(cancelled_call, return_exceptions=True)
            connector = clients.keepalive_session.connector
            assert isinstance(connector, PeerConnector)
            assert connector.close_idle(URL(f"http://{clients.address}"), time.monotonic()) == 2

    asyncio.run(main())
