"""One worker of four hangs with some of its requests; their streams are never ended."""

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

import aiohttp
from standins import HOST, MODEL, ZONES, CannotRunError, Fleet, Record, run_case, trouble
from trainer import routes, services

FOLDER = Path(__file__).resolve().parent
EDGES = {f"edge-{zone}-{number}": zone for zone in ZONES for number in (1, 2, 3)}
MODEL_ZONES = ("talcahuano", "talcahuano", "san-pedro", "chiguayante")
# A grey worker hangs with 40% of its requests for 5 s; one worker of four at a time.
HANG_S = 5.0
HANG_FROM_S = (3.0, 11.0, 19.0)
PREFIX = "/chat/"
TIMEOUT_S = 1.0
ANSWER_SLACK_S = 0.5
TARGET_LATENCY_MS = 400
DEADLINE_MS = 12000
# A client gives a stream up after a gap of two seconds.
CLIENT_GAP_S = 2.0
NUM_STREAMS = 500
STREAM_INTERVAL_S = 0.05
MIN_UNANSWERED = 8


def stream_route() -> dict[str, Any]:
    """Return the route of the streams, which are not resumable."""
    return {
        "name": "chat",
        "hostname": HOST,
        "path-prefix": PREFIX,
        "route-type": "streaming",
        "service": "model",
        "timeout-ms": round(TIMEOUT_S * 1000),
        "target-latency-ms": TARGET_LATENCY_MS,
        "max-attempts": 2,
        "priority": 1,
        "session-affinity": True,
    }


async def stream(fleet: Fleet, record: Record, number: int) -> None:
    """Send one stream, and leave after a gap of two seconds, as clients do."""
    request_id = f"c{number:04d}"
    edge = sorted(EDGES)[number % len(EDGES)]
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
        "Model": MODEL,
        "Token-Count": "270,20",
        "Prefix-Hash": f"{number:08x}:270",
    }
    timeout = aiohttp.ClientTimeout(total=None, sock_read=CLIENT_GAP_S)
    record.add("sent", id=request_id, edge=edge)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                f"http://{fleet.frontends[edge]}{PREFIX}{request_id}",
                data=b"events=20,interval-ms=20",
                headers=headers,
            ) as answer,
        ):
            record.add("head", id=request_id, status=answer.status)
            await answer.read()
            record.add("answered", id=request_id, status=answer.status)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        record.add("gave up", id=request_id, reason=type(error).__name__)


async def hang(fleet: Fleet) -> None:
    """Have one model worker after the other hang."""
    workers = [worker for worker in fleet.workers.values() if worker.service == "model"]
    earlier_s = 0.0
    for worker, from_s in zip(workers, HANG_FROM_S, strict=False):
        await asyncio.sleep(from_s - earlier_s)
        await fleet.hang_worker(worker.id, HANG_S)
        earlier_s = from_s + HANG_S


async def case(record: Record, folder: Path) -> list[str]:
    """Send streams for some time; returns the breaches of CONFIG."""
    fleet = Fleet(record, [*routes(), stream_route()], services(), EDGES)
    workers: list[tuple[str, str, dict[str, Any]]] = [
        ("model", zone, {"capacity": 8, "has_model": True}) for zone in MODEL_ZONES
    ]
    workers += [("portal", zone, {"capacity": 6}) for zone in MODEL_ZONES[1:]]
    try:
        await fleet.start(workers, folder)
        async with asyncio.TaskGroup() as group:
            if trouble():
                group.create_task(hang(fleet))
            for number in range(NUM_STREAMS):
                group.create_task(stream(fleet, record, number))
                await asyncio.sleep(STREAM_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.sleep(0.5)
        if len(fleet.running_edges()) != len(EDGES):
            raise CannotRunError("an edge has ended")
    finally:
        await fleet.stop()
    return breaches(record)


def breaches(record: Record) -> list[str]:
    """Check CONFIG: requests that are unanswered at their route's timeout and still 0.5 s later."""
    first_s: dict[str, float] = {}
    for kind in ("head", "answered"):
        for at_s, event in record.of(kind):
            first_s[event["id"]] = min(at_s, first_s.get(event["id"], at_s))
    left_s = {event["id"]: at_s for at_s, event in record.of("gave up")}
    at_timeout: list[str] = []
    later: list[str] = []
    for sent_s, event in record.of("sent"):
        request_id = event["id"]
        answered_s = first_s.get(request_id, float("inf"))
        until_s = sent_s + TIMEOUT_S + ANSWER_SLACK_S
        # Clients that have left by then wait for nothing.
        if answered_s <= sent_s + TIMEOUT_S or left_s.get(request_id, float("inf")) <= until_s:
            continue
        at_timeout.append(request_id)
        if answered_s > until_s:
            later.append(request_id)
    record.add("unanswered", at_timeout=len(at_timeout), half_a_second_later=len(later))
    if len(later) < MIN_UNANSWERED or 2 * len(later) <= len(at_timeout):
        return []
    return [
        f"CONFIG: {len(at_timeout)} of {NUM_STREAMS} requests had no answer at their route's "
        f"timeout of {TIMEOUT_S:.1f} s, and {len(later)} of them had none {ANSWER_SLACK_S:.1f} s "
        "later either, at machines in touch; the first: " + ", ".join(later[:5])
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
