"""Cached order of one job's items, computed by :mod:`hollowrack.jobs.item_order`."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import Eligible
from hollowrack.jobs.item_order import CapacityForecast, ItemRank, order_items
from hollowrack.jobs.item_runner import ItemRunner
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_schedule import JobSchedule
from hollowrack.jobs.types import Job

# Remaining lengths in an old order are too high, which makes groups look late. Queued items are
# ranked anew only when the order is invalidated.
ORDER_TTL_S = 0.25


class CachedItemOrder:
    """Computes the order of a job's items on demand and caches it.

    Args:
        job: The job.
        services: Shared components of the item runners.
        schedule: Determines the deadline of the job.
        open_runners: Returns the runners of its unlisted items by item identifier.
    """

    def __init__(
        self,
        job: Job,
        services: ItemServices,
        schedule: JobSchedule,
        open_runners: Callable[[], Mapping[str, ItemRunner]],
    ) -> None:
        self._job = job
        self._services = services
        self._schedule = schedule
        self._open_runners = open_runners
        self._ranks: Mapping[str, ItemRank] = {}
        self._computed_s = -float("inf")

    def invalidate(self) -> None:
        """Drop the cached order, so that it is computed again before the next slot is assigned."""
        self._computed_s = -float("inf")
        self._services.queue.invalidate_ranks()

    def rank_of(self, item_id: str) -> ItemRank:
        """Return the rank of an item in the order of the job."""
        if now_s() - self._computed_s > ORDER_TTL_S:
            self._computed_s = now_s()
            self._ranks = self._compute()
        return self._ranks.get(item_id, ItemRank())

    def _compute(self) -> Mapping[str, ItemRank]:
        """Compute the ranks of the unfinished items.

        Without other models at its services a job has all slots, and all its items have equal rank;
        the queue then starts the longest one first.
        """
        if not self._shares_workers():
            return {}
        runners = self._open_runners()
        tokens_left = {item_id: runner.num_tokens_left for item_id, runner in runners.items()}
        return order_items(self._job, tokens_left, self._forecast(runners.values()))

    def _shares_workers(self) -> bool:
        routes = self._services.routes
        route = routes.lookup(self._job.host, self._job.target)
        return route is not None and any(
            routes.holds_several_models(target.service) for target in route.targets
        )

    def _forecast(self, runners: Iterable[ItemRunner]) -> CapacityForecast:
        """Forecast for the slots that the job holds or could get now."""
        runners = list(runners)
        route = self._services.routes.lookup(self._job.host, self._job.target)
        time_left_s = self._schedule.deadline_s(route) - now_s()
        num_held = sum(runner.holds_slot for runner in runners)
        # The slot of the item that has just finished goes to the next one.
        num_slots = max(1, num_held + self._num_free_slots(runners))
        return CapacityForecast(time_left_s, num_slots, self._services.slot_throughput.tokens_per_s)

    def _num_free_slots(self, runners: Iterable[ItemRunner]) -> int:
        """Number of free slots that the job could get now, in addition to those that it holds."""
        region_conditions: defaultdict[str, set[Eligible]] = defaultdict(set)
        for runner in runners:
            if runner.active_service is not None:
                region_conditions[runner.active_service].add(runner.in_regions)

        def is_eligible(worker: Worker) -> bool:
            return worker.holds(self._job.model, self._job.min_version) and any(
                in_regions(worker) for in_regions in region_conditions[worker.service]
            )

        queue = self._services.queue
        return sum(queue.num_free_slots(service, is_eligible) for service in region_conditions)
