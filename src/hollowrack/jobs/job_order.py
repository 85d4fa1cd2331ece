"""The order of one job's items as it is now, decided by :mod:`hollowrack.jobs.item_order`."""

from collections.abc import Callable, Iterable, Mapping

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.item_order import CapacityForecast, ItemRank, order_items
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_schedule import JobSchedule
from hollowrack.jobs.types import Job

# How long an order is used again, in seconds: lengths left in it grow stale, and a group looks
# later than it is. Ranks of waiters are asked again only after a change of the order.
ORDER_TTL_S = 0.25


class JobOrder:
    """Decides the order of a job's items when it is asked for, and not more often than needed.

    Args:
        job: The job.
        services: What running its items takes.
        standing: When it is due.
        open_runners: Returns its items that run or wait, by identifier.
    """

    def __init__(
        self,
        job: Job,
        services: ItemServices,
        standing: JobSchedule,
        open_runners: Callable[[], Mapping[str, ItemRunner]],
    ) -> None:
        self._job = job
        self._services = services
        self._standing = standing
        self._open_runners = open_runners
        self._places: Mapping[str, ItemRank] = {}
        self._decided_s = -float("inf")

    def invalidate(self) -> None:
        """Decide the order anew before places are handed out again."""
        self._decided_s = -float("inf")
        self._services.queue.invalidate_ranks()

    def rank_of(self, item_id: str) -> ItemRank:
        """The place of an item in the order of the job."""
        if now_s() - self._decided_s > ORDER_TTL_S:
            self._decided_s = now_s()
            self._places = self._decide()
        return self._places.get(item_id, ItemRank())

    def _decide(self) -> Mapping[str, ItemRank]:
        """Decide in which order the items that wait should run.

        Without other trainers at its workers a job has them all, and goes the longest item first.
        """
        if not self._has_rivals():
            return {}
        runners = self._open_runners()
        tokens_left = {item_id: runner.num_tokens_left for item_id, runner in runners.items()}
        return order_items(self._job, tokens_left, self._outlook(runners.values()))

    def _has_rivals(self) -> bool:
        routes = self._services.routes
        route = routes.lookup(self._job.host, self._job.target)
        return route is not None and any(
            routes.holds_several_models(target.service) for target in route.targets
        )

    def _outlook(self, runners: Iterable[ItemRunner]) -> CapacityForecast:
        """What the places that the job has or may have now generate until it is due."""
        runners = list(runners)
        route = self._services.routes.lookup(self._job.host, self._job.target)
        time_left_s = self._standing.deadline_s(route) - now_s()
        num_taken = sum(runner.holds_slot for runner in runners)
        # The item that has just ended leaves its place to the next one.
        num_places = max(1, num_taken + self._num_free_places(runners))
        return CapacityForecast(
            time_left_s, num_places, self._services.slot_throughput.tokens_per_s
        )

    def _num_free_places(self, runners: Iterable[ItemRunner]) -> int:
        """How many further places the job may have now: a job that begins has none yet."""
        services = {
            runner.active_service for runner in runners if runner.active_service is not None
        }

        def has_weights(worker: Worker) -> bool:
            return worker.holds(self._job.model, self._job.min_version)

        queue = self._services.queue
        return sum(queue.num_free_slots(service, has_weights) for service in services)
