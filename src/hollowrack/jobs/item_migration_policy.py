"""Migration of items to faster workers, decided by the estimated time that it saves."""

from collections.abc import Callable

from hollowrack.forwarding.dispatch_queue import DispatchQueue, RankOf
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import Eligible, WorkerDirectory, any_worker
from hollowrack.jobs.length_estimate import LengthEstimate

# Outweighs the repeated prefill of prompt and text at the other worker.
MIN_SAVED_S = 0.25


class ItemMigrationPolicy:
    """Migration policy of one item, see :class:`hollowrack.forwarding.migration.MigrationPolicy`.

    Args:
        workers: Estimates the time saved at another worker.
        queue: Assigns slots at workers.
        lengths: Estimates the number of events left.
        service: Service that runs the item.
        model: Model whose weight versions are compared; empty if versions do not matter.
        expected_tokens: Length stated by its caller; 0 if none was.
        rank_of: Returns the item's current rank in the queue.
        in_regions: Returns the current condition on the regions of its workers.
    """

    def __init__(
        self,
        workers: WorkerDirectory,
        queue: DispatchQueue,
        lengths: LengthEstimate,
        service: str,
        model: str,
        expected_tokens: int,
        rank_of: RankOf,
        in_regions: Callable[[], Eligible] = lambda: any_worker,
    ) -> None:
        self._workers = workers
        self._queue = queue
        self._lengths = lengths
        self._service = service
        self._model = model
        self._expected_tokens = expected_tokens
        self._rank_of = rank_of
        self._in_regions = in_regions

    def is_worthwhile(self, worker: Worker, num_events: int) -> bool:
        """Whether the fastest worker would finish the item earlier by at least ``MIN_SAVED_S``."""
        in_regions = self._in_regions()
        if in_regions is any_worker:
            return self._saves_enough(worker, None, num_events)
        return any(
            self._saves_enough(worker, other, num_events)
            for other in self._workers.allowed(self._service, in_regions)
        )

    async def acquire_faster(self, worker: Worker, num_events: int) -> Worker:
        """Wait for a slot at a worker that finishes the item earlier by ``MIN_SAVED_S`` or more."""

        def is_faster(other: Worker) -> bool:
            return (
                self._workers.is_warm(other)
                and self._has_no_older_weights(other, worker)
                and self._saves_enough(worker, other, num_events)
                and self._in_regions()(other)
            )

        avoided = frozenset({worker.incarnation})
        return await self._queue.acquire(self._service, self._rank_of, is_faster, avoided)

    def _saves_enough(self, worker: Worker, other: Worker | None, num_events: int) -> bool:
        num_events_left = self._lengths.num_events_left(self._expected_tokens, num_events)
        return self._workers.time_saved_s(worker, other, num_events_left) >= MIN_SAVED_S

    def _has_no_older_weights(self, other: Worker, worker: Worker) -> bool:
        """Whether the other worker's weights are at least as new as those of the present one."""
        version = worker.model_versions.get(self._model, 0)
        return other.model_versions.get(self._model, 0) >= version
