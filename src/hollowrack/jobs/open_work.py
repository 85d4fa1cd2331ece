"""Summary of a job's unfinished generations for the arbiter of slots."""

from collections.abc import Collection, Iterable, Mapping

from hollowrack.clock import now_s
from hollowrack.forwarding.dispatch_rank import NO_DEADLINE_S
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import Eligible, WorkerDirectory
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.job_schedule import JobSchedule
from hollowrack.jobs.types import Job
from hollowrack.slots.types import OpenWork

# Used only before the route is known, when no item has started.
UNKNOWN_PRIORITY = 0


def open_work_of(
    job: Job,
    schedule: JobSchedule,
    runners: Iterable[ItemRunner],
    service: str,
    incarnation_positions: Mapping[str, int],
    workers: WorkerDirectory,
) -> OpenWork | None:
    """Return a job's open work at a service; ``None`` if it has none there.

    Args:
        job: The job.
        schedule: Determines the deadline of the job.
        runners: Runners of its unfinished items.
        service: Name of the service.
        incarnation_positions: Position of each worker incarnation in the slot report, by its text
            form.
        workers: Directory of known workers.
    """
    at_service = [runner for runner in runners if runner.active_service == service]
    if not at_service:
        return None
    num_waiting = sum(runner.is_waiting_for_slot for runner in at_service)
    route = at_service[0].route
    deadline_s = schedule.deadline_s(route)
    return OpenWork(
        UNKNOWN_PRIORITY if route is None else route.priority,
        None if deadline_s == NO_DEADLINE_S else deadline_s - now_s(),
        len(at_service) - num_waiting,
        num_waiting,
        _eligible_positions(
            job,
            workers.available_for_runs(service),
            incarnation_positions,
            {runner.in_regions for runner in at_service},
        ),
    )


def _eligible_positions(
    job: Job,
    workers: Iterable[Worker],
    incarnation_positions: Mapping[str, int],
    region_conditions: Collection[Eligible],
) -> tuple[int, ...]:
    """Return the positions of the worker incarnations at which any item of a job may run."""
    positions = (
        incarnation_positions.get(str(worker.incarnation))
        for worker in workers
        if worker.holds(job.model, job.min_version)
        and any(in_regions(worker) for in_regions in region_conditions)
    )
    return tuple(position for position in positions if position is not None)
