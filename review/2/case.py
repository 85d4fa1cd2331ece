"""A batch job is ended while its owner still finds out whether its own write has stored the job."""

import asyncio
import sys
from http import HTTPStatus
from pathlib import Path

from standins import BOUNDS, CannotRunError, Fleet, Record, run_case, trouble
from trainer import Trainer, item, routes, services

FOLDER = Path(__file__).resolve().parent
ZONE = "talcahuano"
EDGES = {
    "edge-talcahuano-1": ZONE,
    "edge-talcahuano-2": ZONE,
    "edge-san-pedro-1": "san-pedro",
}
MODEL_ZONES = (ZONE, ZONE, "san-pedro", "chiguayante")
MODEL_WORKER = {"capacity": 8, "has_model": True}
PORTAL_WORKER = {"capacity": 6}
JOB = "job-2"
NUM_GROUPS = 40
GROUP_SIZE = 4
# Time from the 202 to the end in a run without trouble, in seconds.
END_DELAY_S = 0.2
# A slow store takes 60 times the usual 4 ms.
SLOW_ANSWER_S = 0.24
SLOW_AFTER_END_S = 1.0
# The owner's write of the job, and the one with which it then claims the job.
NUM_LOST_ANSWERS = 2
TRIGGER_TIMEOUT_S = 8.0
WATCH_AFTER_END_S = 18.0
CANCEL_S = BOUNDS["cancel-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000


def open_key(job_id: str) -> str:
    """Return the key of a batch job's entry in the store."""
    return f"hollowrack/live/open/{job_id}"


async def preferred_edge(fleet: Fleet, trainer: Trainer) -> str:
    """Return the edge that owns the batch jobs of this model when they come from this zone."""
    await trainer.submit_at("edge-talcahuano-1", "job-1", 1, [item("w-0", "w", "events=5")], 1)
    entry = fleet.store.core.items.get(open_key("job-1"))
    if entry is None:
        raise CannotRunError("the first batch job has no owner")
    await trainer.end("job-1")
    return entry.value.decode().partition("#")[0]


async def case(record: Record, folder: Path) -> list[str]:
    """End a batch job directly after its 202; returns the breaches of UNASKED."""
    fleet = Fleet(record, routes(), services(), EDGES)
    workers = [("model", zone, dict(MODEL_WORKER)) for zone in MODEL_ZONES]
    workers += [("portal", zone, dict(PORTAL_WORKER)) for zone in MODEL_ZONES[1:]]
    try:
        await fleet.start(workers, folder)
        trainer = Trainer(fleet, record)
        owner = await preferred_edge(fleet, trainer)
        record.add("preferred owner", edge=owner)
        receiver = next(name for name in EDGES if EDGES[name] == ZONE and name != owner)
        items = [
            item(f"i{group}-{index}", f"g{group}", "events=100,interval-ms=40")
            for group in range(NUM_GROUPS)
            for index in range(GROUP_SIZE)
        ]
        await asyncio.sleep(1.0)
        if trouble():
            await end_during_trouble(fleet, record, trainer, receiver, items)
        else:
            await trainer.submit_at(receiver, JOB, 2, items, NUM_GROUPS)
            await asyncio.sleep(END_DELAY_S)
            await trainer.end(JOB, "edge-san-pedro-1")
        await asyncio.sleep(WATCH_AFTER_END_S)
    finally:
        await fleet.stop()
    return breaches(record)


async def end_during_trouble(
    fleet: Fleet, record: Record, trainer: Trainer, receiver: str, items: list[dict[str, object]]
) -> None:
    """Submit and end the job while the store is slow and the answers to two writes are lost."""
    lost: list[str] = []
    acknowledged = asyncio.Event()
    read_after = asyncio.Event()

    def loses_answer(keys: list[str]) -> bool:
        if open_key(JOB) not in keys or len(lost) >= NUM_LOST_ANSWERS:
            return False
        lost.append(JOB)
        record.add("answer lost", key=open_key(JOB))
        return True

    def on_read(key: str) -> None:
        if key == open_key(JOB):
            record.add("store read", key=key, is_there=key in fleet.store.core.items)
            if acknowledged.is_set():
                read_after.set()

    fleet.store.loses_answer = loses_answer
    fleet.store.on_read = on_read
    fleet.store.answer_s = SLOW_ANSWER_S
    record.add("store slow", answer_s=SLOW_ANSWER_S)
    await trainer.submit_at(receiver, JOB, 2, items, NUM_GROUPS)
    acknowledged.set()
    try:
        async with asyncio.timeout(TRIGGER_TIMEOUT_S):
            await read_after.wait()
    except TimeoutError as error:
        raise CannotRunError("no read of the entry followed the 202") from error
    await trainer.end(JOB, "edge-san-pedro-1")
    await asyncio.sleep(SLOW_AFTER_END_S)
    fleet.store.answer_s = 0.004
    record.add("store normal")


def breaches(record: Record) -> list[str]:
    """Check UNASKED: items that arrive later than the cancel time after the end of their job."""
    ends_s = [
        at_s
        for at_s, event in record.of("end answered")
        if event["job"] == JOB and event["status"] == HTTPStatus.OK
    ]
    if not ends_s:
        raise CannotRunError("the end was not acknowledged")
    normal_s = max((at_s for at_s, _ in record.of("store normal")), default=0.0)
    # All machines are in touch from then on.
    from_s = max(ends_s[0] + CANCEL_S, normal_s + CONTACT_S)
    late = [
        (at_s, event)
        for at_s, event in record.of("started")
        if at_s > from_s and event["id"].startswith("i")
    ]
    if not late:
        return []
    last_s = late[-1][0]
    return [
        f"UNASKED: {len(late)} runs of items of {JOB} started more than {CANCEL_S:.1f} s after its "
        f"end was acknowledged at {ends_s[0]:.2f} s, with all machines in touch, the last one "
        f"{last_s - ends_s[0]:.1f} s after it"
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
