"""Choices of workers and nodes for drawn observations, as one digest."""

import hashlib
import random
from collections.abc import Callable

from hollowrack.forwarding.back_end import LoadReport
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory

SERVICE = "svc"
ROUTES = ("a", "b")
NUM_STEPS = 4000
ZONES = ("z1", "z2", "z3")


def digest_of_choices(make_directory: Callable[[random.Random], WorkerDirectory]) -> str:
    """Return a digest of all choices and of the final state of the random source."""
    rng = random.Random(11)
    drawn = random.Random(12)
    directory = make_directory(rng)
    workers = [
        Worker(f"w{index}", SERVICE, "127.0.0.1:1", ZONES[index % 3], 3) for index in range(9)
    ]
    for worker in workers:
        directory.update(worker)
    running: list[Worker] = []
    chosen: list[str] = []

    def add(worker: Worker | None) -> None:
        chosen.append("-" if worker is None else worker.id)
        if worker is not None:
            directory.reserve_slot(worker)
            running.append(worker)

    for _ in range(NUM_STEPS):
        worker = drawn.choice(workers)
        route = drawn.choice(ROUTES)
        match drawn.randrange(10):
            case 0 | 1:
                add(directory.choose(SERVICE))
            case 2:
                add(directory.choose_for_run(SERVICE, (), lambda _: True))
            case 3:
                add(directory.choose_for_hedge(worker, ()))
            case 4 | 5 if running:
                ended = running.pop(drawn.randrange(len(running)))
                directory.release_slot(ended)
                directory.record_success(ended)
                directory.record_latency(ended, drawn.uniform(0.02, 0.5), route)
            case 6:
                directory.record_latency(worker, drawn.uniform(0.01, 0.3))
            case 7:
                directory.loads.record_late(worker, route, drawn.uniform(0.1, 1.0))
            case 8:
                report = LoadReport(drawn.randrange(4), drawn.randrange(3))
                directory.loads.record_report(worker, report)
            case 9 if drawn.random() < 0.3:
                drawn.choice([directory.record_failure, directory.record_unreachable])(worker)
        latency_s = directory.lowest_expected_latency_s(SERVICE, route)
        chosen.append("-" if latency_s is None else latency_s.hex())
    state = (chosen, rng.getstate())
    return hashlib.blake2b(repr(state).encode(), digest_size=16).hexdigest()
