"""The durable state of jobs: their items, their results in order, their owner and their end.

Results are a chain of batches, each stored under the position of its first result. A batch is
written on the condition that its key does not exist, and a writer knows that position only from
the whole chain before it; so two writers can never list one item twice nor disagree about a
position, whoever believes to own the job.
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
from hollowrack.jobs.progress import progress_prefix
from hollowrack.jobs.types import ItemResult, Job, ResultBatch
from hollowrack.messages import codec
from hollowrack.results import Problem, ProblemError, ResultCode, value_or_raise

JOBS_PREFIX = "hollowrack/jobs/"
OPEN_PREFIX = "hollowrack/live/open/"
ENDS_PREFIX = "hollowrack/live/ends/"
MAX_JOB_ID_LENGTH = 120
MAX_PART_BYTES = 600_000
MAX_PARTS = 28
MAX_REMOVES = 30
_ENDED = b"ended"

Expected = TypeVar("Expected")


class CreateOutcome(Enum):
    """What became of an attempt to store a job."""

    CREATED = "created"
    EXISTS = "exists"
    TOO_LARGE = "too large"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class AppendOutcome(Enum):
    """What became of an attempt to list results."""

    APPENDED = "appended"
    CONFLICT = "another writer listed results at this position"
    FAILED = "failed"


@dataclass
class StoredJob:
    """A job as the store holds it.

    Attributes:
        job: The job.
        results: Its results in order.
        revision: Store revision of this reading.
    """

    job: Job
    results: list[ItemResult] = field(default_factory=list)
    revision: int = 0


@dataclass(frozen=True)
class OpenJob:
    """An entry of the list of unfinished jobs."""

    job_id: str
    owner: str
    revision: int


def log_prefix(job_id: str) -> str:
    """Return the prefix of a job's listed results."""
    return f"{JOBS_PREFIX}{quote(job_id, safe='')}/log/"


def decode_batch(value: bytes) -> tuple[ItemResult, ...]:
    """Decode one stored batch.

    Raises:
        ProblemError: ``MESSAGE_INVALID`` if the store holds something else.
    """
    return _decode(value, ResultBatch).results


class JobLog:
    """Typed access to stored jobs.

    Args:
        store: The coordination store.
        owner: Name and incarnation of this node.
    """

    def __init__(self, store: CoordinationStore, owner: str) -> None:
        self._store = store
        self.owner = owner

    async def create(self, job: Job) -> CreateOutcome:
        """Store a job, owned by this node, unless it exists."""
        data = codec.encode(job)
        parts = [data[at : at + MAX_PART_BYTES] for at in range(0, len(data), MAX_PART_BYTES)]
        if len(parts) > MAX_PARTS:
            return CreateOutcome.TOO_LARGE
        puts = [Put(_part_key(job.id, index), part) for index, part in enumerate(parts)]
        puts.append(Put(_open_key(job.id), self.owner.encode()))
        outcome = await self._store.transact([Condition(_part_key(job.id, 0))], puts)
        if isinstance(outcome, Committed):
            return CreateOutcome.CREATED
        if isinstance(outcome, Conflict):
            return CreateOutcome.EXISTS
        return CreateOutcome.UNKNOWN if isinstance(outcome, Unknown) else CreateOutcome.NOT_DONE

    async def load(self, job_id: str) -> StoredJob | Unavailable | None:
        """Read a job with its results; ``None`` if there is no such job.

        A job whose records cannot be read is not absent: what it is stays unknown.
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
        """Read all results of a job in order."""
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
    ) -> AppendOutcome:
        """List results from a position on; the last ones close the job.

        Args:
            job_id: The job.
            position: Position of the first of them.
            results: The results.
            is_last: Whether they are the job's last.
            extra_puts: What is written with them, if they are.
        """
        key = f"{log_prefix(job_id)}{position:08d}"
        value = codec.encode(ResultBatch(tuple(results)))
        removes = [_open_key(job_id)] if is_last else []
        outcome = await self._store.transact(
            [Condition(key)], [Put(key, value), *extra_puts], removes
        )
        if isinstance(outcome, Committed):
            return AppendOutcome.APPENDED
        if isinstance(outcome, Conflict):
            return AppendOutcome.CONFLICT
        return AppendOutcome.FAILED

    async def end(self, job_id: str) -> bool:
        """Mark a job as ended; returns whether that is certain."""
        put = Put(f"{ENDS_PREFIX}{quote(job_id, safe='')}", _ENDED)
        outcome = await self._store.transact([], [put], [_open_key(job_id)])
        return isinstance(outcome, Committed)

    async def is_ended(self, job_id: str) -> bool | Unavailable:
        """Read whether a job was ended."""
        item = await self._store.get(f"{ENDS_PREFIX}{quote(job_id, safe='')}")
        if isinstance(item, NotDone | Unknown):
            return item
        return item is not None

    async def remove(self, job_id: str) -> bool:
        """Remove an ended job with all that belongs to it; returns whether that is certain."""
        keys: list[str] = []
        for prefix in (progress_prefix(job_id), f"{JOBS_PREFIX}{quote(job_id, safe='')}/"):
            listing = await self._store.list_prefix(prefix)
            if not isinstance(listing, Listing):
                return False
            keys.extend(item.key for item in listing.items)
        # Its end goes last: while that is there, the removal is taken up again.
        keys.append(f"{ENDS_PREFIX}{quote(job_id, safe='')}")
        for at in range(0, len(keys), MAX_REMOVES):
            outcome = await self._store.transact([], [], keys[at : at + MAX_REMOVES])
            if not isinstance(outcome, Committed):
                return False
        return True

    async def owner_of(self, job_id: str) -> str | Unavailable | None:
        """Read who owns an unfinished job; ``None`` if it is finished, ended or unknown."""
        item = await self._store.get(_open_key(job_id))
        if isinstance(item, StoredItem):
            return decode_owner(item.value)
        return item

    async def claim(self, job: OpenJob) -> bool:
        """Take over an unfinished job; returns whether this node owns it now for sure."""
        return await self.assign(job, self.owner)

    async def assign(self, job: OpenJob, owner: str) -> bool:
        """Give an unfinished job to a process; returns whether that is certain."""
        key = _open_key(job.job_id)
        outcome = await self._store.transact(
            [Condition(key, job.revision)], [Put(key, owner.encode())]
        )
        return isinstance(outcome, Committed)


def join_batches(batches: Sequence[StoredItem]) -> list[ItemResult]:
    """Join stored batches in order, up to the first gap.

    Raises:
        ProblemError: ``MESSAGE_INVALID`` if one of them is something else.
    """
    by_position = {position_of(item.key): item for item in batches}
    results: list[ItemResult] = []
    while len(results) in by_position:
        batch = decode_batch(by_position[len(results)].value)
        if not batch:
            break
        results.extend(batch)
    return results


def position_of(key: str) -> int | None:
    """Return the position of the first result of a stored batch; ``None`` if its key names none."""
    position = key.rpartition("/")[2]
    return int(position) if position.isascii() and position.isdigit() else None


def unreadable_record(job_id: str, error: ProblemError) -> Unknown:
    """Return what is known of a job when a record of it cannot be read: nothing."""
    logging.error("job %s: a record of it cannot be read: %s", job_id, error.problem)
    return Unknown("a record of the job cannot be read")


def job_id_of(key: str, prefix: str) -> str:
    """Return the job that a key below a prefix is about."""
    return unquote(key.removeprefix(prefix))


def _part_key(job_id: str, index: int) -> str:
    return f"{JOBS_PREFIX}{quote(job_id, safe='')}/spec/{index:04d}"


def _open_key(job_id: str) -> str:
    return f"{OPEN_PREFIX}{quote(job_id, safe='')}"


def _decode(value: bytes, expected: type[Expected]) -> Expected:
    decoded = value_or_raise(codec.decode(value))
    if not isinstance(decoded, expected):
        problem = Problem(ResultCode.MESSAGE_INVALID, f"expected {expected.__name__}", "store")
        raise ProblemError(problem)
    return decoded
