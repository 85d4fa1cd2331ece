"""Durable state of jobs: items, ordered results, owner and end.

Results are listed as a chain of batches, each stored under the position of its first result. A
batch is written on the condition that its key does not exist, and a writer derives the position
from the complete chain before it. So concurrent writers that both act as the owner of a job
can neither list an item twice nor list different results at one position.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar
from urllib.parse import quote, unquote

from absl import logging

from hollowrack.coordination.session import decode_owner
from hollowrack.coordination.store import (
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    Listing,
    NotDone,
    Put,
    StoredItem,
    Unavailable,
    Unknown,
)
from hollowrack.jobs.job_regions import JobRegionsRecord, regions_key, regions_put
from hollowrack.jobs.progress import progress_prefix
from hollowrack.jobs.types import ItemResult, Job, ResultBatch
from hollowrack.messages import codec
from hollowrack.results import Problem, ProblemError, ResultCode, value_or_raise

JOBS_PREFIX = "hollowrack/jobs/"
OPEN_PREFIX = "hollowrack/live/open/"
ENDS_PREFIX = "hollowrack/live/ends/"
MAX_JOB_ID_LENGTH = 120
# A job is split into parts, one value each, that are stored in one transaction.
MAX_PART_BYTES = 600_000
MAX_PARTS = 28
# Keys removed by one transaction.
MAX_REMOVES = 30
_ENDED = b"ended"

Expected = TypeVar("Expected")


class CreateOutcome(Enum):
    """Outcome of an attempt to store a job."""

    CREATED = "created"
    EXISTS = "exists"
    TOO_LARGE = "too large"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class AppendOutcome(Enum):
    """Outcome of an attempt to list results."""

    APPENDED = "appended"
    CONFLICT = "another writer listed results at this position"
    FAILED = "failed"


class AssignOutcome(Enum):
    """Outcome of an attempt to change the owner of a job."""

    ASSIGNED = "assigned"
    OWNER_CHANGED = "the owner entry has changed"
    SUCCESSOR_CHANGED = "the entry of the next owner has changed"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass
class StoredJob:
    """A job as read from the store.

    Attributes:
        job: The job with its items.
        results: Listed results in order.
        revision: Store revision at which it was read.
    """

    job: Job
    results: list[ItemResult] = field(default_factory=list)
    revision: int = 0


@dataclass(frozen=True)
class OpenJob:
    """Entry of an unfinished job.

    Attributes:
        job_id: Identifier of the job.
        owner: Owner name (node and incarnation) of the owning process.
        revision: Store revision of the entry, the condition for a change of the owner.
    """

    job_id: str
    owner: str
    revision: int


def log_prefix(job_id: str) -> str:
    """Return the key prefix of a job's listed results."""
    return f"{JOBS_PREFIX}{quote(job_id, safe='')}/log/"


def decode_batch(value: bytes) -> tuple[ItemResult, ...]:
    """Decode one stored batch.

    Raises:
        ProblemError: If the value cannot be decoded; ``MESSAGE_INVALID`` if it holds a message of
            another type.
    """
    return _decode(value, ResultBatch).results


class JobLog:
    """Reads and writes jobs in the coordination store.

    Args:
        store: The coordination store.
        owner: Owner name (node and incarnation) of this process.
    """

    def __init__(self, store: CoordinationStore, owner: str) -> None:
        self._store = store
        self.owner = owner

    async def create(self, job: Job, regions: JobRegionsRecord | None = None) -> CreateOutcome:
        """Store a job, owned by this process, unless it exists.

        Args:
            job: The job.
            regions: Record of its allowed regions; ``None`` if it has none.
        """
        data = codec.encode(job)
        parts = [
            data[start : start + MAX_PART_BYTES] for start in range(0, len(data), MAX_PART_BYTES)
        ]
        if len(parts) > MAX_PARTS:
            return CreateOutcome.TOO_LARGE
        puts = [Put(_part_key(job.id, index), part) for index, part in enumerate(parts)]
        puts.append(Put(_open_key(job.id), self.owner.encode()))
        if regions is not None:
            puts.append(regions_put(job.id, regions))
        outcome = await self._store.transact([Condition(_part_key(job.id, 0))], puts)
        if isinstance(outcome, Committed):
            return CreateOutcome.CREATED
        if isinstance(outcome, Conflict):
            return CreateOutcome.EXISTS
        return CreateOutcome.UNKNOWN if isinstance(outcome, Unknown) else CreateOutcome.NOT_DONE

    async def load(self, job_id: str) -> StoredJob | Unavailable | None:
        """Read a job with its results; ``None`` if there is no such job.

        A job with unreadable records is reported as ``Unknown``, not as absent.
        """
        prefix = f"{JOBS_PREFIX}{quote(job_id, safe='')}/"
        listing = await self._store.list_prefix(prefix)
        if not isinstance(listing, Listing):
            return listing
        parts = [item for item in listing.items if item.key.startswith(f"{prefix}spec/")]
        if not parts:
            return None
        data = b"".join(item.value for item in sorted(parts, key=lambda item: item.key))
        batches = [item for item in listing.items if item.key.startswith(f"{prefix}log/")]
        try:
            return StoredJob(_decode(data, Job), join_batches(batches), listing.revision)
        except ProblemError as error:
            return unreadable_record(job_id, error)

    async def read_results(self, job_id: str) -> list[ItemResult] | Unavailable:
        """Read all listed results of a job in order."""
        listing = await self._store.list_prefix(log_prefix(job_id))
        if not isinstance(listing, Listing):
            return listing
        try:
            return join_batches(listing.items)
        except ProblemError as error:
            return unreadable_record(job_id, error)

    async def append(
        self,
        job_id: str,
        position: int,
        results: Sequence[ItemResult],
        is_last: bool,
        extra_puts: Sequence[Put] = (),
        owner_revision: int | None = None,
    ) -> AppendOutcome:
        """List results at a position; the last ones close the job.

        Args:
            job_id: Identifier of the job.
            position: Position of the first of these results.
            results: Results to be listed, in order.
            is_last: Whether these are the job's last results.
            extra_puts: Further writes of the same transaction.
            owner_revision: Revision that the owner entry must have; ``None`` for any.
        """
        key = f"{log_prefix(job_id)}{position:08d}"
        value = codec.encode(ResultBatch(tuple(results)))
        removes = [_open_key(job_id)] if is_last else []
        conditions = [Condition(key)]
        if owner_revision is not None:
            conditions.append(Condition(_open_key(job_id), owner_revision))
        outcome = await self._store.transact(conditions, [Put(key, value), *extra_puts], removes)
        if isinstance(outcome, Committed):
            return AppendOutcome.APPENDED
        if isinstance(outcome, Conflict):
            return AppendOutcome.CONFLICT
        return AppendOutcome.FAILED

    async def end(self, job_id: str) -> bool:
        """Mark a job as ended; ``False`` if the write failed or its outcome is unknown."""
        put = Put(f"{ENDS_PREFIX}{quote(job_id, safe='')}", _ENDED)
        outcome = await self._store.transact([], [put], [_open_key(job_id)])
        return isinstance(outcome, Committed)

    async def is_ended(self, job_id: str) -> bool | Unavailable:
        """Read whether a job is marked as ended."""
        item = await self._store.get(f"{ENDS_PREFIX}{quote(job_id, safe='')}")
        if isinstance(item, NotDone | Unknown):
            return item
        return item is not None

    async def remove(self, job_id: str, has_regions: bool = False) -> bool:
        """Remove an ended job and its progress; ``False`` if a call to the store fails.

        Args:
            job_id: Identifier of the job.
            has_regions: Whether it has a record of allowed regions.
        """
        keys: list[str] = []
        for prefix in (progress_prefix(job_id), f"{JOBS_PREFIX}{quote(job_id, safe='')}/"):
            listing = await self._store.list_prefix(prefix)
            if not isinstance(listing, Listing):
                return False
            keys.extend(item.key for item in listing.items)
        if has_regions:
            keys.append(regions_key(job_id))
        # The end mark is removed last: while it exists, a failed removal is retried.
        keys.append(f"{ENDS_PREFIX}{quote(job_id, safe='')}")
        for start in range(0, len(keys), MAX_REMOVES):
            outcome = await self._store.transact([], [], keys[start : start + MAX_REMOVES])
            if not isinstance(outcome, Committed):
                return False
        return True

    async def open_entry(self, job_id: str) -> OpenJob | Unavailable | None:
        """Read the entry of an unfinished job; ``None`` if it is finished, ended or unknown."""
        item = await self._store.get(_open_key(job_id))
        if isinstance(item, StoredItem):
            return OpenJob(job_id, decode_owner(item.value), item.revision)
        return item

    async def owner_of(self, job_id: str) -> str | Unavailable | None:
        """Read the owner of an unfinished job; ``None`` if it is finished, ended or unknown."""
        entry = await self.open_entry(job_id)
        return entry.owner if isinstance(entry, OpenJob) else entry

    async def claim(self, job: OpenJob) -> bool:
        """Make this process the owner of a job; ``False`` if that failed or is unknown."""
        return await self.assign(job, self.owner)

    async def assign(self, job: OpenJob, owner: str) -> bool:
        """Change the owner of an unfinished job; ``False`` if that failed or is unknown."""
        return await self.try_assign(job, owner) is AssignOutcome.ASSIGNED

    async def try_assign(
        self, job: OpenJob, owner: str, owner_condition: Condition | None = None
    ) -> AssignOutcome:
        """Change the owner of an unfinished job.

        Args:
            job: Entry of the job, which must be unchanged.
            owner: Owner name of the next owner.
            owner_condition: Condition on the entry of the next owner; ``None`` for none.
        """
        key = _open_key(job.job_id)
        conditions = [Condition(key, job.revision)]
        if owner_condition is not None:
            conditions.append(owner_condition)
        outcome = await self._store.transact(conditions, [Put(key, owner.encode())])
        if isinstance(outcome, Committed):
            return AssignOutcome.ASSIGNED
        if isinstance(outcome, Conflict):
            revisions = {item.key: item.revision for item in outcome.current}
            is_unchanged = revisions.get(key) == job.revision
            return AssignOutcome.SUCCESSOR_CHANGED if is_unchanged else AssignOutcome.OWNER_CHANGED
        return AssignOutcome.UNKNOWN if isinstance(outcome, Unknown) else AssignOutcome.NOT_DONE


def join_batches(batches: Sequence[StoredItem]) -> list[ItemResult]:
    """Join stored batches in order, up to the first gap.

    Raises:
        ProblemError: If a batch cannot be decoded; ``MESSAGE_INVALID`` if it holds a message of
            another type.
    """
    batch_at = {position_of(item.key): item for item in batches}
    results: list[ItemResult] = []
    while len(results) in batch_at:
        batch = decode_batch(batch_at[len(results)].value)
        if not batch:
            break
        results.extend(batch)
    return results


def position_of(key: str) -> int | None:
    """Return the position of a batch's first result; ``None`` if its key contains none."""
    position = key.rpartition("/")[2]
    return int(position) if position.isascii() and position.isdigit() else None


def unreadable_record(job_id: str, error: ProblemError) -> Unknown:
    """Log an unreadable record of a job and return ``Unknown``."""
    logging.error("job %s: unreadable record in the store: %s", job_id, error.problem)
    return Unknown("a stored record of the job is unreadable")


def job_id_of(key: str, prefix: str) -> str:
    """Return the identifier of the job that a key below a prefix belongs to."""
    return unquote(key.removeprefix(prefix))


def _part_key(job_id: str, index: int) -> str:
    return f"{JOBS_PREFIX}{quote(job_id, safe='')}/spec/{index:04d}"


def _open_key(job_id: str) -> str:
    return f"{OPEN_PREFIX}{quote(job_id, safe='')}"


def _decode(value: bytes, expected: type[Expected]) -> Expected:
    decoded = value_or_raise(codec.decode(value))
    if not isinstance(decoded, expected):
        problem = Problem(
            ResultCode.MESSAGE_INVALID,
            f"the record is not the expected message of type {expected.__name__}",
            "store",
        )
        raise ProblemError(problem)
    return decoded
