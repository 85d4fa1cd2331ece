"""An edge is stopped as planned; streams that reach it on kept connections are cut off."""

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

from standins import HOST, MODEL, ZONES, CannotRunError, Fleet, Record, run_case, trouble
from trainer import routes, services

FOLDER = Path(__file__).resolve().parent
EDGES = {f"edge-{zone}-1": zone for zone in ZONES}
STOPPED = "edge-talcahuano-1"
MODEL_ZONES = ("talcahuano", "talcahuano", "san-pedro", "chiguayante")
PREFIX = "/chat/"
TIMEOUT_MS = 10000
DEADLINE_MS = 12000
NUM_CLIENTS = 12
# The first stream is short; the second one, over the same connection, takes 5 s.
SHORT_STREAM = b"events=5,interval-ms=20"
LONG_STREAM = b"events=100,interval-ms=50"
GRACE_S = 8.0
# The rule excuses what is sent up to 3 s after the signal; connections are closed after 3.5 s.
EXCUSED_S = 3.0
FIRST_SEND_S = 3.1
SEND_INTERVAL_S = 0.02


def stream_route() -> dict[str, Any]:
    """Return the route of the streams."""
    return {
        "name": "chat",
        "hostname": HOST,
        "path-prefix": PREFIX,
        "route-type": "streaming",
        "service": "model",
        "timeout-ms": TIMEOUT_MS,
        "target-latency-ms": 400,
        "max-attempts": 2,
        "priority": 1,
        "session-affinity": True,
    }


class Client:
    """Client with one connection, which it keeps for all of its requests."""

    def __init__(self, number: int, record: Record) -> None:
        self._number = number
        self._record = record

    async def connect(self, address: str) -> None:
        """Open the connection."""
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def stream(self, request_id: str, body: bytes) -> bool:
        """Send one stream and read its answer; returns whether that was complete."""
        head = [
            f"POST {PREFIX}{request_id} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {DEADLINE_MS}",
            f"Model: {MODEL}",
            "Token-Count: 270,100",
            f"Prefix-Hash: {self._number:08x}:270",
            f"Content-Length: {len(body)}",
        ]
        self._record.add("sent", id=request_id)
        num_events = 0
        try:
            self._writer.write("\r\n".join([*head, "", ""]).encode() + body)
            await self._writer.drain()
            answer_head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
            self._record.add("head", id=request_id, status=answer_head.split(" ")[1])
            if "chunked" not in answer_head.lower():
                return False
            while size := int(await self._reader.readline(), 16):
                chunk = await self._reader.readexactly(size + 2)
                num_events += chunk.count(b"\ndata:")
            await self._reader.readline()
            self._record.add("complete", id=request_id, events=num_events)
            return True
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            self._record.add(
                "ended early", id=request_id, events=num_events, reason=type(error).__name__
            )
            return False

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def case(record: Record, folder: Path) -> list[str]:
    """Send streams over kept connections while an edge stops; returns the breaches of LOST."""
    fleet = Fleet(record, [*routes(), stream_route()], services(), EDGES)
    workers: list[tuple[str, str, dict[str, Any]]] = [
        ("model", zone, {"capacity": 8, "has_model": True}) for zone in MODEL_ZONES
    ]
    workers += [("portal", zone, {"capacity": 6}) for zone in MODEL_ZONES[1:]]
    clients = [Client(number, record) for number in range(NUM_CLIENTS)]
    try:
        await fleet.start(workers, folder)
        for client in clients:
            await client.connect(fleet.frontends[STOPPED])
        first = [client.stream(f"a{n:03d}", SHORT_STREAM) for n, client in enumerate(clients)]
        if not all(await asyncio.gather(*first)):
            raise CannotRunError("the first streams were not answered")
        await asyncio.sleep(1.0)
        if trouble():
            fleet.signal_edge(STOPPED, signal.SIGTERM)
        await asyncio.sleep(FIRST_SEND_S)
        async with asyncio.TaskGroup() as group:
            for number, client in enumerate(clients):
                group.create_task(client.stream(f"b{number:03d}", LONG_STREAM))
                await asyncio.sleep(SEND_INTERVAL_S)
    finally:
        for client in clients:
            client.close()
        await fleet.stop()
    return breaches(record)


def breaches(record: Record) -> list[str]:
    """Check LOST: answers that end early around the planned stop, though a worker ran them."""
    signals_s = [at_s for at_s, _ in record.of("signal")]
    if not signals_s:
        return []
    signal_s = signals_s[0]
    started = {event["id"] for _, event in record.of("started")}
    sent_s = {event["id"]: at_s for at_s, event in record.of("sent")}
    lost = [
        (event["id"], at_s)
        for at_s, event in record.of("ended early")
        if event["id"] in started
        and sent_s[event["id"]] > signal_s + EXCUSED_S
        and at_s < signal_s + GRACE_S + 1.0
        and at_s < sent_s[event["id"]] + TIMEOUT_MS / 1000
    ]
    record.add("lost", ids=json.dumps([name for name, _ in lost]))
    if not lost:
        return []
    return [
        f"LOST: {len(lost)} of {NUM_CLIENTS} streams, which a worker was running, ended without a "
        f"complete answer {min(at_s for _, at_s in lost) - signal_s:.1f} s after the SIGTERM of "
        f"the edge; they were sent {min(sent_s[name] for name, _ in lost) - signal_s:.2f} s to "
        f"{max(sent_s[name] for name, _ in lost) - signal_s:.2f} s after it"
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
