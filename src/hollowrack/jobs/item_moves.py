"""When an item goes on at a faster worker: a pure estimate of the time that it saves."""

from hollowrack.forwarding.dispatch_queue import DispatchQueue, RankOf
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.lengths import LengthEstimate

# Less is not worth reading the prompt and the text again at the other worker.
MIN_SAVED_S = 0.25


class ItemMoves:
    """Moves of one item; see :class:`hollowrack.forwarding.migration.MigrationPolicy`.

    Args:
        workers: The workers known.
        queue: Hands out places at workers.
        lengths: How many events items will have.
        service: Service that runs the item.
        model: Model that makes its tokens; empty if versions do not bind it.
        expected_tokens: How many tokens its caller expects; 0 if that is not told.
        rank_of: Returns its rank in the queue.
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
    ) -> None:
        self._workers = workers
        self._queue = queue
        self._lengths = lengths
        self._service = service
        self._model = model
        self._expected_tokens = expected_tokens
        self._rank_of = rank_of

    def is_worthwhile(self, worker: Worker, num_events: int) -> bool:
        """Whether the fastest worker would end the item clearly sooner."""
        return self._saves_enough(worker, None, num_events)

    async def acquire_faster(self, worker: Worker, num_events: int) -> Worker:
        """Wait for a place at a worker that ends the item clearly sooner."""

        def is_faster(other: Worker) -> bool:
            return self._holds_as_new(other, worker) and self._saves_enough(
                worker, other, num_events
            )

        avoided = frozenset({worker.incarnation})
        return await self._queue.acquire(self._service, self._rank_of, is_faster, avoided)

    def _saves_enough(self, worker: Worker, other: Worker | None, num_events: int) -> bool:
        num_left = self._lengths.num_events_left(self._expected_tokens, num_events)
        return self._workers.time_saved_s(worker, other, num_left) >= MIN_SAVED_S

    def _holds_as_new(self, other: Worker, worker: Worker) -> bool:
        """Whether another worker's weights are at least as new: a sample should not go back."""
        version = worker.model_versions.get(self._model, 0)
        return other.model_versions.get(self._model, 0) >= version
