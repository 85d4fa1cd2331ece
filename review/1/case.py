"""Workers crash one after the other; no crash has anything to do with the item that runs there."""

import asyncio
import itertools
import sys
from pathlib import Path
from typing import Any

from standins import Fleet, Record, run_case, trouble
from trainer import Trainer, item, routes, services

FOLDER = Path(__file__).resolve().parent
EDGES = {
    "edge-talcahuano-1": "talcahuano",
    "edge-san-pedro-1": "san-pedro",
    "edge-chiguayante-1": "chiguayante",
}
MODEL_ZONES = ("talcahuano", "talcahuano", "san-pedro", "chiguayante")
MODEL_WORKER = {"capacity": 8, "has_model": True}
PORTAL_WORKER = {"capacity": 6}
NUM_GROUPS = 10
GROUP_SIZE = 2
# The trainer waits for 90% of the groups.
NUM_DESIRED = 9
LONG_ITEM = "long-0"
# Each crash takes one worker of four away. Three that the edges count are enough, but they miss a
# crash now and then: their check may reach the port of the process while it still ends.
MAX_CRASHES = 4
CRASH_AFTER_S = 0.5
DOWN_S = 1.0
STEP_LIMIT_S = 12.0
CONTACT_S = 3.0
VERSION_QUIET_S = 6.0
MAX_IDLE_S = 5.0
CAPACITY = 32


def step_items(step: int, carried: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the items of a step: those of the groups that come back first, then new groups."""
    items = list(carried)
    num_new = NUM_GROUPS - len({entry["group"] for entry in carried})
    for group in range(num_new):
        for index in range(GROUP_SIZE):
            name = f"i{step}-{group}-{index}"
            items.append(item(name, f"g{step}-{group}", "events=120,interval-ms=40"))
    if step == 1:
        # One text is longer than the others, as some are.
        items[0] |= item(LONG_ITEM, items[0]["group"], "events=200,interval-ms=40")
    return items


async def next_run(record: Record, num_seen: int) -> list[dict[str, Any]]:
    """Wait until the long item has run more often than ``num_seen`` times; returns its runs."""
    while True:
        runs = [event for _, event in record.of("started") if event["id"] == LONG_ITEM]
        if len(runs) > num_seen:
            return runs
        await asyncio.sleep(0.02)


async def crash_workers(fleet: Fleet, record: Record) -> None:
    """Crash the worker that runs the long item until none does; a new incarnation follows each."""
    num_seen = num_crashes = 0
    while num_crashes < MAX_CRASHES:
        runs = await next_run(record, num_seen)
        num_seen = len(runs)
        await asyncio.sleep(CRASH_AFTER_S)
        if runs_now(record):
            fleet.crash_worker(runs[-1]["worker"], DOWN_S)
            num_crashes += 1


def runs_now(record: Record) -> bool:
    """Whether the long item's last run has neither finished nor been dropped."""
    ends = [
        event
        for kind in ("finished", "dropped")
        for _, event in record.of(kind)
        if event["id"] == LONG_ITEM
    ]
    crashed = {event["worker"] for _, event in record.of("worker crashed")}
    runs = [event for _, event in record.of("started") if event["id"] == LONG_ITEM]
    return len(runs) > len(ends) + sum(run["worker"] in crashed for run in runs)


async def case(record: Record, folder: Path) -> list[str]:
    """Run three steps; returns the breaches of LOST."""
    fleet = Fleet(record, routes(), services(), EDGES)
    workers = [("model", zone, dict(MODEL_WORKER)) for zone in MODEL_ZONES]
    workers += [("portal", zone, dict(PORTAL_WORKER)) for zone in MODEL_ZONES[1:]]
    crashes: asyncio.Task[None] | None = None
    try:
        await fleet.start(workers, folder)
        trainer = Trainer(fleet, record)
        if trouble():
            crashes = asyncio.create_task(crash_workers(fleet, record))
        items: list[dict[str, Any]] = []
        missing: set[str] = set()
        for step in (1, 2, 3):
            carried = [entry for entry in items if entry["group"] in missing][: NUM_DESIRED // 2]
            items = step_items(step, carried)
            groups = {entry["group"] for entry in carried}
            missing = await trainer.step(step, items, NUM_DESIRED, groups, STEP_LIMIT_S)
            await asyncio.sleep(0.5)
    finally:
        if crashes is not None:
            crashes.cancel()
        await fleet.stop()
    return breaches(record)


def breaches(record: Record) -> list[str]:
    """Check LOST: steps that ran out of time while an item was at no worker for 5 s."""
    found: list[str] = []
    starts = {event["step"]: (at_s, event["job"]) for at_s, event in record.of("step asked")}
    for end_s, event in record.of("step out of time"):
        start_s, job = starts[event["step"]]
        listed = {e["id"] for _, e in record.of("listed") if e["job"] == job}
        # Steady state: no disruption within the contact time before.
        disruptions_s = [at_s for at_s, _ in record.of("worker crashed")]
        disruptions_s += [at_s for at_s, _ in record.of("worker started")]
        calm_s = max((at_s + CONTACT_S for at_s in disruptions_s if at_s < end_s), default=0.0)
        named_s = [at_s + VERSION_QUIET_S for at_s, _ in record.of("version named") if at_s < end_s]
        from_s = max(start_s, calm_s, *named_s)
        for item_id in unfinished_items(record, event["missing"], listed):
            idle_s = longest_idle_s(record, item_id, from_s, end_s)
            if idle_s >= MAX_IDLE_S and others_began(record, item_id, start_s, end_s):
                most = most_running(record, from_s, end_s)
                if most < CAPACITY / 2:
                    found.append(
                        f"LOST: {job} ran out of time after {end_s - start_s:.1f} s; its item "
                        f"{item_id}, which no worker has finished or failed, was at no worker for "
                        f"{idle_s:.1f} s of steady state; at most {most} of {CAPACITY} slots used"
                    )
    return found


def unfinished_items(record: Record, groups: list[str], listed: set[str]) -> list[str]:
    """Return the items of incomplete groups that were not listed and that no worker finished."""
    finished = {event["id"] for _, event in record.of("finished")}
    started = {event["id"] for _, event in record.of("started")}
    names = {LONG_ITEM} if groups else set()
    names |= {name for name in started if name.rpartition("-")[0].replace("i", "g", 1) in groups}
    return sorted(names - finished - listed)


def longest_idle_s(record: Record, item_id: str, from_s: float, end_s: float) -> float:
    """Return the longest time in which an item was at no worker, in seconds."""
    marks = [at_s for at_s, event in record.of("arrived") if event["id"] == item_id]
    marks += [at_s for at_s, event in record.of("dropped") if event["id"] == item_id]
    inside = sorted(at_s for at_s in marks if from_s < at_s < end_s)
    edges = [from_s, *inside, end_s]
    return max(later - earlier for earlier, later in itertools.pairwise(edges))


def others_began(record: Record, item_id: str, start_s: float, end_s: float) -> bool:
    """Whether other items began during the step."""
    return any(
        start_s < at_s < end_s and event["id"] != item_id and event["id"].startswith(("i", "l"))
        for at_s, event in record.of("started")
    )


def most_running(record: Record, from_s: float, end_s: float) -> int:
    """Return the highest number of items that ran at once in a span of time."""
    # The runs that a crash ended are not reported by their worker.
    running: dict[str, int] = {}
    most = 0
    for at_s, kind, event in sorted(record.events, key=lambda entry: entry[0]):
        if kind == "worker crashed":
            running.pop(event["worker"], None)
        elif kind in ("started", "finished", "dropped") and not event["id"].startswith("s-"):
            worker = event["worker"]
            running[worker] = running.get(worker, 0) + (1 if kind == "started" else -1)
        if from_s <= at_s <= end_s:
            most = max(most, sum(running.values()))
    return most


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
