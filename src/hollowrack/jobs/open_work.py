"""The unfinished generations of one job, as the arbiter of slots hears of them."""

from collections.abc import Iterable, Mapping

from hollowrack.clock import now_s
from hollowrack.forwarding.dispatch_rank import NEVER_DUE_S
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.job_schedule import JobSchedule
from hollowrack.jobs.types import Job
from hollowrack.slots.types import OpenWork

# Where the route is not known yet its items have not begun either.
UNKNOWN_PRIORITY = 0


def open_work_of(
    job: Job,
    standing: JobSchedule,
    runners: Iterable[ItemRunner],
    service: str,
    incarnation_positions: Mapping[str, int],
    workers: WorkerDirectory,
) -> OpenWork | None:
    """Return a job's open work at a service; ``None`` if it has none there.

    Args:
        job: The job.
        standing: When it is due.
        runners: Its unfinished items.
        service: The service.
        incarnation_positions: Position of each life in the report by its text.
        workers: The workers known.
    """
    here = [runner for runner in runners if runner.active_service == service]
    if not here:
        return None
    num_waiting = sum(runner.is_waiting_for_slot for runner in here)
    route = here[0].route
    due_s = standing.deadline_s(route)
    return OpenWork(
        UNKNOWN_PRIORITY if route is None else route.priority,
        None if due_s == NEVER_DUE_S else due_s - now_s(),
        len(here) - num_waiting,
        num_waiting,
        _eligible(job, workers.available_for_runs(service), incarnation_positions),
    )


def _eligible(job: Job, workers: Iterable[Worker], lives: Mapping[str, int]) -> tuple[int, ...]:
    """Positions of the lives at which a job may run."""
    positions = (
        lives.get(str(worker.incarnation))
        for worker in workers
        if worker.holds(job.model, job.min_version)
    )
    return tuple(position for position in positions if position is not None)
