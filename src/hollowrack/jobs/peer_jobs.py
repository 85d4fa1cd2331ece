"""Requests between nodes about jobs: submission, reads at the owner, and handover state."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Protocol

import aiohttp
from absl import logging
from starlette.routing import Route

from hollowrack.jobs.job_regions import RegionalJob
from hollowrack.jobs.progress import JobRemainder
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.messages.codec import message
from hollowrack.messages.node_http import (
    NodeNoResponseError,
    NodeUnreachableError,
    call_node,
    message_route,
)
from hollowrack.results import Problem, ResultCode

SUBMIT_PATH = "/jobs"
READ_PATH = "/jobs/read"
REMAINDER_PATH = "/jobs/remainder"
# A former owner may be down or partitioned; its state only saves repeated work.
REMAINDER_TIMEOUT_S = 0.6
READ_TIMEOUT_MARGIN_S = 0.4
MAX_READ_WAIT_S = 5.0


@message("job.submitted")
@dataclass(frozen=True)
class SubmitAnswer:
    """Answer of a node to a submitted job.

    Attributes:
        code: Result code; ``OK`` if the job is stored durably.
        detail: Description of the problem; empty for ``OK``.
    """

    code: int
    detail: str = ""


@message("job.read")
@dataclass(frozen=True)
class ReadJobRequest:
    """Asks a job's owner for results from a position on.

    Attributes:
        job_id: Identifier of the job.
        after: Position of the first requested result, which is the number already read.
        wait_s: Longest wait for a result, in seconds.
        with_job: Whether the answer should include the job.
    """

    job_id: str
    after: int
    wait_s: float
    with_job: bool = False


@message("job.page")
@dataclass(frozen=True)
class JobPage:
    """Answer of a job's owner to a read.

    Attributes:
        is_owner: Whether the node certainly owns the job or has all its results; if not, the other
            fields are unset.
        num_items: Number of items of the job.
        results: Results from the requested position on.
        job: The job, if it was requested.
    """

    is_owner: bool
    num_items: int = 0
    results: tuple[ItemResult, ...] = ()
    job: Job | None = None


@message("job.leave")
@dataclass(frozen=True)
class RemainderRequest:
    """Asks the former owner of a job for its state that may be missing from the store.

    Attributes:
        job_id: Identifier of the job.
    """

    job_id: str


class PeerJobs(Protocol):
    """Client for requests to other nodes about jobs."""

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Request a job's remainder from its former owner; empty without a timely answer."""

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
        """Read a job at its owner; ``None`` if the node does not own it or does not answer."""

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        """Submit a job to another node; ``None`` once it is stored durably.

        Returns ``JOB_NOT_STORED`` if the node did not receive it, ``OUTCOME_UNKNOWN`` if the job
        may be stored, or the problem that the node reported.
        """

    async def submit_in_regions(
        self, address: str, job: RegionalJob, timeout_s: float
    ) -> Problem | None:
        """Submit a job with allowed regions to another node in them; see :meth:`submit`."""


class HttpPeerJobs:
    """HTTP client for requests to other nodes about jobs.

    Args:
        session: HTTP session for requests between nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def submit(self, address: str, job: Job, timeout_s: float) -> Problem | None:
        """Submit a job to another node."""
        return await self._submit(address, job, timeout_s)

    async def submit_in_regions(
        self, address: str, job: RegionalJob, timeout_s: float
    ) -> Problem | None:
        """Submit a job with allowed regions to another node in them."""
        return await self._submit(address, job, timeout_s)

    async def _submit(
        self, address: str, job: Job | RegionalJob, timeout_s: float
    ) -> Problem | None:
        try:
            answer = await call_node(self._session, address, SUBMIT_PATH, job, timeout_s)
        except NodeUnreachableError:
            return Problem(ResultCode.JOB_NOT_STORED, "the node cannot be reached", address)
        except NodeNoResponseError:
            return Problem(
                ResultCode.OUTCOME_UNKNOWN, "the node sent no complete answer in time", address
            )
        if isinstance(answer, SubmitAnswer):
            return _problem_of_answer(answer, address)
        return Problem(
            ResultCode.OUTCOME_UNKNOWN, "the node sent an answer of an unexpected type", address
        )

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Request a job's remainder from its former owner."""
        request = RemainderRequest(job_id)
        try:
            answer = await call_node(
                self._session, address, REMAINDER_PATH, request, REMAINDER_TIMEOUT_S
            )
        except (NodeUnreachableError, NodeNoResponseError) as error:
            logging.info(
                "job %s: no remainder from its former owner at %s: %s", job_id, address, error
            )
            return JobRemainder()
        return answer if isinstance(answer, JobRemainder) else JobRemainder()

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
        """Read a job at its owner."""
        timeout_s = request.wait_s + READ_TIMEOUT_MARGIN_S
        try:
            page = await call_node(self._session, address, READ_PATH, request, timeout_s)
        except (NodeUnreachableError, NodeNoResponseError) as error:
            logging.info(
                "job %s: could not be read from its owner at %s: %s", request.job_id, address, error
            )
            return None
        return page if isinstance(page, JobPage) and page.is_owner else None


def _problem_of_answer(answer: SubmitAnswer, address: str) -> Problem | None:
    try:
        code = ResultCode(answer.code)
    except ValueError:
        # A node of a newer release: whether it stored the job is unknown.
        detail = f"the node answered with the unknown result code {answer.code}"
        return Problem(ResultCode.OUTCOME_UNKNOWN, detail, address)
    return None if code is ResultCode.OK else Problem(code, answer.detail, address)


def peer_routes(
    submit: Callable[[Job, frozenset[str] | None], Awaitable[Problem | None]],
    read: Callable[[ReadJobRequest], Awaitable[JobPage]],
    remainder: Callable[[str], JobRemainder],
) -> list[Route]:
    """Return the HTTP routes that answer other nodes' requests about jobs.

    Args:
        submit: Stores a job, with its allowed regions, on this node without forwarding it.
        read: Reads a job that this node owns.
        remainder: Returns the remainder of a job that this node owned.
    """

    async def submit_job(submitted: Job | RegionalJob) -> SubmitAnswer:
        if isinstance(submitted, RegionalJob):
            problem = await submit(submitted.job, frozenset(submitted.allowed_regions))
        else:
            problem = await submit(submitted, None)
        if problem is None:
            return SubmitAnswer(int(ResultCode.OK))
        return SubmitAnswer(int(problem.code), problem.detail)

    async def read_page(request: ReadJobRequest) -> JobPage:
        wait_s = min(MAX_READ_WAIT_S, max(0.0, request.wait_s))
        return await read(replace(request, wait_s=wait_s))

    async def read_remainder(request: RemainderRequest) -> JobRemainder:
        return remainder(request.job_id)

    return [
        message_route(REMAINDER_PATH, (RemainderRequest,), read_remainder),
        message_route(SUBMIT_PATH, (Job, RegionalJob), submit_job),
        message_route(READ_PATH, (ReadJobRequest,), read_page),
    ]
