"""Guards against a cache of jobs that grows with their size until it fills a node's memory."""

from hollowrack.jobs.job_log import CreateOutcome, JobLog
from hollowrack.jobs.job_reader import BYTES_PER_ITEM, JobReader
from hollowrack.jobs.types import ItemResult, Job, JobItem
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore

BODY_BYTES = 10_000
TEXT_BYTES = 5_000
JOB_BYTES = BYTES_PER_ITEM + BODY_BYTES + TEXT_BYTES


def _job(name: str) -> Job:
    return Job(name, "h.example", "/m/", (JobItem("i", "/m/x", (), b"x" * BODY_BYTES),))


def _reader(max_cached_jobs: int, core: CoordinationStoreCore | None = None) -> JobReader:
    """Return a reader whose cache has room for a number of jobs of this file."""
    store = (core or CoordinationStoreCore()).make_client()
    return JobReader(store, JobLog(store, "n1"), max_cached_jobs * JOB_BYTES)


def _cache(reader: JobReader, *names: str) -> None:
    for name in names:
        reader.cache_job(_job(name), [ItemResult("i", True, "t" * TEXT_BYTES)])


def _cached(reader: JobReader, *names: str) -> list[str]:
    return [name for name in names if reader.is_cached(name)]


def test_jobs_beyond_the_bound_are_evicted_oldest_first() -> None:
    reader = _reader(max_cached_jobs=2)
    _cache(reader, "a", "b", "c")
    assert _cached(reader, "a", "b", "c") == ["b", "c"]


def test_ended_jobs_are_evicted_before_jobs_that_are_still_read() -> None:
    reader = _reader(max_cached_jobs=2)
    _cache(reader, "a", "b")
    reader.record_job_end("b")
    _cache(reader, "c")
    assert _cached(reader, "a", "b", "c") == ["a", "c"]


def test_a_job_larger_than_the_bound_is_kept_until_the_next_one() -> None:
    reader = _reader(max_cached_jobs=0)
    _cache(reader, "a")
    assert _cached(reader, "a") == ["a"]
    _cache(reader, "b")
    assert _cached(reader, "a", "b") == ["b"]


def test_an_evicted_job_is_read_from_the_store() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        writer = JobLog(core.make_client(), "n1")
        assert await writer.create(_job("a")) is CreateOutcome.CREATED
        result = ItemResult("i", True, "t" * TEXT_BYTES)
        await writer.append("a", 0, [result], True)
        reader = _reader(1, core)
        _cache(reader, "a", "b")
        assert not reader.is_cached("a")
        assert await reader.results("a", 0, 0.0) == (_job("a"), [result])

    run_virtual(main())
