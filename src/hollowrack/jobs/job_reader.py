"""Reader for jobs of any owner: a cache of stored jobs that is refreshed on demand."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from hollowrack.coordination.store import (
    Changes,
    CoordinationStore,
    HistoryGone,
    StoredItem,
    Unavailable,
)
from hollowrack.jobs.job_log import (
    JobLog,
    StoredJob,
    decode_batch,
    log_prefix,
    position_of,
    unreadable_record,
)
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.results import ProblemError

MAX_CACHED_JOBS = 64
# Some 20 jobs of 80 items. Trainers end a job once they have read it, and what is no longer cached
# is read from the store.
MAX_CACHED_BYTES = 4_000_000
# Measured for an item with its result, without texts and bodies: 2.1 kB in all, 0.6 kB of text.
BYTES_PER_ITEM = 1_500


@dataclass
class _CachedJob:
    """A job with the results that are known to be listed.

    Attributes:
        revision: Store revision up to which the results were read; 0 if they were not read from the
            store.
        is_ended: Whether the job was ended, so that no more results follow.
        lock: Held while the results are refreshed.
    """

    job: Job
    results: list[ItemResult]
    revision: int
    is_ended: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_fully_listed(self) -> bool:
        return len(self.results) >= len(self.job.items)

    def estimated_bytes(self) -> int:
        """Return about how much memory the job and its results take."""
        items = self.job.items
        return (
            BYTES_PER_ITEM * len(items)
            + sum(len(item.body) for item in items)
            + sum(len(item.scorer.body) for item in items if item.scorer is not None)
            + sum(len(result.text) for result in self.results)
        )


class JobReader:
    """Reads jobs that other nodes own, and caches those that this node owned.

    Args:
        store: The coordination store.
        log: Durable state of jobs.
        max_cached_bytes: Bound on the estimated size of the cache; the job that was used last is
            kept whatever its size.
    """

    def __init__(
        self, store: CoordinationStore, log: JobLog, max_cached_bytes: int = MAX_CACHED_BYTES
    ) -> None:
        self._store = store
        self._log = log
        self._max_cached_bytes = max_cached_bytes
        self._cache: OrderedDict[str, _CachedJob] = OrderedDict()

    def cache_job(self, job: Job, results: list[ItemResult], revision: int = 0) -> None:
        """Add a job to the cache; revision 0 if its results were not read from the store."""
        self._insert(job.id, _CachedJob(job, list(results), revision))

    def is_cached(self, job_id: str) -> bool:
        """Whether the job is in the cache."""
        return job_id in self._cache

    def complete_job(self, job_id: str) -> tuple[Job, list[ItemResult]] | None:
        """Return a cached job and its results if all are listed, so that it cannot change."""
        cached = self._cache.get(job_id)
        if cached is None or not cached.is_fully_listed:
            return None
        return cached.job, cached.results

    def record_job_end(self, job_id: str) -> None:
        """Record that a job was ended, so that reads no longer wait for results."""
        cached = self._cache.get(job_id)
        if cached is not None:
            cached.is_ended = True

    async def job(self, job_id: str) -> Job | Unavailable | None:
        """Return a job; ``None`` if it certainly does not exist."""
        cached = await self._find(job_id)
        return cached.job if isinstance(cached, _CachedJob) else cached

    async def results(
        self, job_id: str, after: int, wait_s: float
    ) -> tuple[Job, list[ItemResult]] | Unavailable | None:
        """Return a job and all known results, after waiting for more than ``after`` of them.

        Args:
            job_id: Identifier of the job.
            after: Number of results that the caller has.
            wait_s: Longest wait, in seconds.
        """
        cached = await self._find(job_id)
        if not isinstance(cached, _CachedJob):
            return cached
        if len(cached.results) <= after and not cached.is_fully_listed:
            failure = await self._refresh(cached, after, wait_s)
            if failure is not None:
                return failure
        return cached.job, cached.results

    async def _find(self, job_id: str) -> _CachedJob | Unavailable | None:
        cached = self._cache.get(job_id)
        if cached is not None:
            self._cache.move_to_end(job_id)
            return cached
        stored = await self._log.load(job_id)
        if not isinstance(stored, StoredJob):
            return stored
        return self._insert(job_id, _CachedJob(stored.job, stored.results, stored.revision))

    def _insert(self, job_id: str, cached: _CachedJob) -> _CachedJob:
        self._cache[job_id] = cached
        self._cache.move_to_end(job_id)
        while len(self._cache) > MAX_CACHED_JOBS:
            self._cache.popitem(last=False)
        self._evict_excess_bytes(job_id)
        return cached

    def _evict_excess_bytes(self, kept_id: str) -> None:
        """Evict ended jobs, then the others, each from the one that was not used for longest."""
        sizes = {job_id: cached.estimated_bytes() for job_id, cached in self._cache.items()}
        excess = sum(sizes.values()) - self._max_cached_bytes
        # A stable sort: the cache is in order of use.
        for job_id in sorted(sizes, key=lambda job_id: not self._cache[job_id].is_ended):
            if excess <= 0:
                break
            if job_id != kept_id:
                del self._cache[job_id]
                excess -= sizes[job_id]

    async def _refresh(self, cached: _CachedJob, after: int, wait_s: float) -> Unavailable | None:
        async with cached.lock:
            if len(cached.results) > after:
                return None
            if cached.revision and len(cached.results) == after:
                return await self._watch(cached, 0.0 if cached.is_ended else wait_s)
            return await self._reload(cached)

    async def _watch(self, cached: _CachedJob, wait_s: float) -> Unavailable | None:
        prefix = log_prefix(cached.job.id)
        changes = await self._store.watch(prefix, cached.revision, wait_s)
        if isinstance(changes, HistoryGone):
            return await self._reload(cached)
        if not isinstance(changes, Changes):
            return changes
        for change in sorted(changes.items, key=lambda change: change.revision):
            if not isinstance(change, StoredItem):
                continue
            if position_of(change.key) == len(cached.results):
                try:
                    cached.results.extend(decode_batch(change.value))
                except ProblemError as error:
                    return unreadable_record(cached.job.id, error)
        cached.revision = max(cached.revision, changes.revision)
        return None

    async def _reload(self, cached: _CachedJob) -> Unavailable | None:
        stored = await self._log.load(cached.job.id)
        if isinstance(stored, StoredJob):
            cached.results, cached.revision = stored.results, stored.revision
            return None
        return stored
