"""What nodes ask each other about jobs: to own one, to read one from its owner."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Protocol

import aiohttp
from returns.result import Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.jobs.progress import JobRemainder
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.results import DESCRIPTIONS, Problem, ResultCode

SUBMIT_PATH = "/jobs"
READ_PATH = "/jobs/read"
REMAINDER_PATH = "/jobs/remainder"
# A former owner may be dead or cut off; what it holds is not worth a longer wait.
REMAINDER_TIMEOUT_S = 0.6
READ_GRACE_S = 0.4
MAX_READ_WAIT_S = 5.0
CONNECT_TIMEOUT_S = 0.3


@message("job.submitted")
@dataclass(frozen=True)
class SubmitAnswer:
    """What another node says of a job handed to it.

    Attributes:
        code: Result code; ``OK`` if the job is stored for good.
        detail: What is wrong, if anything is.
    """

    code: int
    detail: str = ""


@message("job.read")
@dataclass(frozen=True)
class ReadJob:
    """Asks a job's owner for results from a position on.

    Attributes:
        job_id: The job.
        after: The position.
        wait_s: Longest wait for a result, in seconds.
        with_job: Whether the job itself is asked for as well.
    """

    job_id: str
    after: int
    wait_s: float
    with_job: bool = False


@message("job.page")
@dataclass(frozen=True)
class JobPage:
    """An owner's answer.

    Attributes:
        is_owner: Whether the node owns the job for sure, or holds all its results; otherwise
            nothing else is told.
        num_items: Items of the job.
        results: Results from the position on.
        job: The job, if it was asked for.
    """

    is_owner: bool
    num_items: int = 0
    results: tuple[ItemResult, ...] = ()
    job: Job | None = None


@message("job.leave")
@dataclass(frozen=True)
class LeftJob:
    """Asks the former owner of a job for what it holds of it.

    Attributes:
        job_id: The job.
    """

    job_id: str


class PeerJobs(Protocol):
    """Hands jobs to other nodes and reads them there."""

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Ask a job's former owner for what it holds; empty if it does not answer soon."""

    async def read(self, address: str, request: ReadJob) -> JobPage | None:
        """Read a job at its owner; ``None`` if that node does not own it or does not answer."""

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        """Hand a job over; ``None`` once it is stored for good.

        Fails with ``JOB_NOT_STORED`` if nothing was done, and with ``OUTCOME_UNKNOWN`` if the job
        may be stored.
        """


class HttpPeerJobs:
    """Hands jobs to other nodes over HTTP.

    Args:
        session: HTTP session for nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        """Hand a job over."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{SUBMIT_PATH}"
        try:
            async with self._session.post(url, data=codec.encode(job), timeout=timeout) as response:
                decoded = codec.decode(await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Problem(ResultCode.JOB_NOT_STORED, "no node was reached", address)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Problem(ResultCode.OUTCOME_UNKNOWN, "a node did not answer", address)
        if isinstance(decoded, Success) and isinstance(decoded.unwrap(), SubmitAnswer):
            return _problem(decoded.unwrap(), address)
        return Problem(ResultCode.OUTCOME_UNKNOWN, "a node answered nonsense", address)

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Ask a job's former owner for what it holds."""
        timeout = aiohttp.ClientTimeout(total=REMAINDER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{REMAINDER_PATH}"
        asked = codec.encode(LeftJob(job_id))
        try:
            async with self._session.post(url, data=asked, timeout=timeout) as response:
                answer = codec.decode(await response.read()).value_or(None)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return JobRemainder()
        return answer if isinstance(answer, JobRemainder) else JobRemainder()

    async def read(self, address: str, request: ReadJob) -> JobPage | None:
        """Read a job at its owner."""
        total_s = request.wait_s + READ_GRACE_S
        timeout = aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{READ_PATH}"
        try:
            async with self._session.post(
                url, data=codec.encode(request), timeout=timeout
            ) as response:
                page = codec.decode(await response.read()).value_or(None)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return page if isinstance(page, JobPage) and page.is_owner else None


def _problem(answer: SubmitAnswer, address: str) -> Problem | None:
    code = ResultCode(answer.code)
    return None if code is ResultCode.OK else Problem(code, answer.detail, address)


def peer_routes(
    submit: Callable[[Job], Awaitable[Problem | None]],
    read: Callable[[ReadJob], Awaitable[JobPage]],
    remainder: Callable[[str], JobRemainder],
) -> list[Route]:
    """Return the routes that answer other nodes about jobs.

    Args:
        submit: Stores a job on this node, without handing it on.
        read: Reads a job that this node owns.
        remainder: Returns what this node holds of a job that it owned.
    """

    async def take(request: Request) -> Response:
        decoded = codec.decode(await request.body())
        if not isinstance(decoded, Success) or not isinstance(decoded.unwrap(), Job):
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(f"[{int(ResultCode.MESSAGE_INVALID)}] no job", status_code=status)
        problem = await submit(decoded.unwrap())
        answer = SubmitAnswer(int(ResultCode.OK))
        if problem is not None:
            answer = SubmitAnswer(int(problem.code), problem.detail)
        return Response(codec.encode(answer), media_type="application/cbor")

    async def read_page(request: Request) -> Response:
        asked = codec.decode(await request.body()).value_or(None)
        if not isinstance(asked, ReadJob):
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(f"[{int(ResultCode.MESSAGE_INVALID)}] no read", status_code=status)
        wait_s = min(MAX_READ_WAIT_S, max(0.0, asked.wait_s))
        page = await read(replace(asked, wait_s=wait_s))
        return Response(codec.encode(page), media_type="application/cbor")

    async def give_remainder(request: Request) -> Response:
        asked = codec.decode(await request.body()).value_or(None)
        if not isinstance(asked, LeftJob):
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(f"[{int(ResultCode.MESSAGE_INVALID)}] no job", status_code=status)
        return Response(codec.encode(remainder(asked.job_id)), media_type="application/cbor")

    return [
        Route(REMAINDER_PATH, give_remainder, methods=["POST"]),
        Route(SUBMIT_PATH, take, methods=["POST"]),
        Route(READ_PATH, read_page, methods=["POST"]),
    ]
