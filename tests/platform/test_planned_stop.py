"""Guards against requests that are cut off by a planned stop, over connections that clients keep.

A node that was told to stop took streams 3.1 s later, passed them on to workers and cut them off
4.5 s after that, at the end of a fixed time for open requests: "Cancel 12 running task(s), timeout
graceful shutdown exceeded". It could have refused them as not run.
"""

import asyncio
from dataclasses import dataclass, replace

import aiohttp
import pytest

from hollowrack.clock import now_s
from hollowrack_standins import users_platform
from hollowrack_standins.users_platform import PlatformWorkerFaults
from tests.platform.helpers import CONFIGURATION, HOST, System, run_system, until

EXCUSED_SEND_S = 3.0
EXCUSED_CUT_FRACTION = 5.0 / 6.0
SEND_INTERVAL_S = 0.1
PLAIN_S = 1.5
EVENT_INTERVAL_S = 0.05
PATHS = ("/chat/x", "/stream/x", "/plain/x", "/once/x", "/jobs/x", "/api/lots/unknown")
CHAT_ROUTE = {
    "name": "chat",
    "hostname": HOST,
    "path-prefix": "/chat/",
    "route-type": "streaming",
    "timeout-ms": 10000,
    "target-latency-ms": 300,
    "priority": 2,
    "service": "llm",
    "max-attempts": 2,
}


@dataclass(frozen=True)
class Sent:
    """A request sent during a stop; times are relative to the signal, in seconds.

    Attributes:
        status: Status of its answer; ``None`` without one.
        is_complete: Whether the answer was complete.
        was_read: Whether the connection was still open when the request was sent.
    """

    request_id: str
    path: str
    sent_s: float
    ended_s: float
    status: int | None
    is_complete: bool
    was_read: bool


class KeptConnection:
    """A client's connection that is open before the stop and used during it."""

    def __init__(self, system: System, number: int) -> None:
        self._url = f"http://{system.addresses['n0'][0]}"
        self._number = number
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1))

    async def warm_up(self) -> None:
        headers = {"Host": HOST, "Request-Id": f"w{self._number}", "Deadline-Ms": "12000"}
        async with self._session.post(f"{self._url}/plain/w", headers=headers) as response:
            assert response.status == 200
            await response.read()

    async def send(self, signal_s: float, delay_s: float) -> Sent:
        """Send one request ``delay_s`` seconds after the signal, over the kept connection."""
        await asyncio.sleep(signal_s + delay_s - now_s())
        path = PATHS[self._number % len(PATHS)]
        request_id = f"q{self._number}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "12000"}
        if path in ("/chat/x", "/stream/x"):
            headers["Token-Count"] = "1,2"
        method = "GET" if path.startswith("/api") else "POST"
        sent_s = now_s() - signal_s
        status = None
        is_complete, was_read = False, True
        try:
            async with self._session.request(
                method, self._url + path, headers=headers, data=b""
            ) as response:
                status = response.status
                await response.read()
                is_complete = True
        except aiohttp.ClientConnectorError:
            was_read = False
        except (aiohttp.ClientError, OSError):
            was_read = status is not None
        await self._session.close()
        return Sent(request_id, path, sent_s, now_s() - signal_s, status, is_complete, was_read)


@pytest.mark.parametrize(("grace_s", "stream_s"), [(2, 1.2), (8, 6.0)])
def test_requests_sent_during_a_stop_are_answered_refused_or_excused(
    grace_s: int, stream_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every route type, sent over kept connections until the process is gone."""
    # Dozens of streams run in one process with the workers and the node.
    monkeypatch.setattr(users_platform, "EVENT_INTERVAL_S", EVENT_INTERVAL_S)

    async def scenario(system: System) -> None:
        configuration = {**CONFIGURATION, "version": 9}
        configuration["routes"] = [*CONFIGURATION["routes"], CHAT_ROUTE]
        system.store.put("op/config", configuration)
        await system.start_edge("n0", {"bounds": {"lease-ms": 300, "grace-s": grace_s}})
        await system.wait_until_ready("n0")
        edge = system.edges["n0"]
        await until(lambda: edge.node.routes.version == 9)
        connections = [
            KeptConnection(system, number) for number in range(int(grace_s / SEND_INTERVAL_S))
        ]
        await asyncio.gather(*(connection.warm_up() for connection in connections))
        for name, worker in system.workers.items():
            worker.num_events = int(stream_s / EVENT_INTERVAL_S)
            if name.startswith("s"):
                worker.faults = replace(PlatformWorkerFaults(), delay_s=min(PLAIN_S, grace_s / 4))
        signal_s = now_s()
        edge.start_stop()
        sending = asyncio.gather(
            *(
                connection.send(signal_s, SEND_INTERVAL_S * number)
                for number, connection in enumerate(connections)
            )
        )
        async with asyncio.timeout(grace_s + 1.0):
            await edge.stopped.wait()
        assert now_s() - signal_s <= grace_s
        system.edges.clear()
        executions = system.worker_records.executions
        all_sent = await sending
        for sent in all_sent:
            if sent.is_complete and sent.status == 503:
                assert not executions[sent.request_id], sent
            elif sent.was_read and not sent.is_complete:
                assert sent.sent_s <= EXCUSED_SEND_S, sent
                assert sent.ended_s >= EXCUSED_CUT_FRACTION * grace_s, sent
        # Refusals are answered at once, and requests of the first moments are served.
        refused = [sent for sent in all_sent if sent.status == 503]
        assert refused
        assert all(sent.ended_s - sent.sent_s < 0.5 for sent in refused)
        first = all_sent[: len(PATHS)]
        assert [sent.status for sent in first] == [200, 200, 200, 200, 400, 404], first

    run_system(scenario, num_edges=0)
