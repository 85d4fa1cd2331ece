"""What nodes ask each other about jobs: to own one, to read one from its owner."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Protocol

import aiohttp
from absl import logging
from starlette.routing import Route

from hollowrack.jobs.progress import JobRemainder
from hollowrack.jobs.types import ItemResult, Job
from hollowrack.messages.codec import message
from hollowrack.messages.node_http import (
    NodeSilentError,
    NodeUnreachableError,
    ask_node,
    question_route,
)
from hollowrack.results import Problem, ResultCode

SUBMIT_PATH = "/jobs"
READ_PATH = "/jobs/read"
REMAINDER_PATH = "/jobs/remainder"
# A former owner may be dead or cut off; what it holds is not worth a longer wait.
REMAINDER_TIMEOUT_S = 0.6
READ_TIMEOUT_MARGIN_S = 0.4
MAX_READ_WAIT_S = 5.0


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
class ReadJobRequest:
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
class RemainderRequest:
    """Asks the former owner of a job for what it holds of it.

    Attributes:
        job_id: The job.
    """

    job_id: str


class PeerJobs(Protocol):
    """Hands jobs to other nodes and reads them there."""

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Ask a job's former owner for what it holds; empty if it does not answer soon."""

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
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
        try:
            answer = await ask_node(self._session, address, SUBMIT_PATH, job, timeout_s)
        except NodeUnreachableError:
            return Problem(ResultCode.JOB_NOT_STORED, "no node was reached", address)
        except NodeSilentError:
            return Problem(ResultCode.OUTCOME_UNKNOWN, "a node did not answer", address)
        if isinstance(answer, SubmitAnswer):
            return _problem(answer, address)
        return Problem(ResultCode.OUTCOME_UNKNOWN, "a node answered nonsense", address)

    async def remainder(self, address: str, job_id: str) -> JobRemainder:
        """Ask a job's former owner for what it holds."""
        question = RemainderRequest(job_id)
        try:
            answer = await ask_node(
                self._session, address, REMAINDER_PATH, question, REMAINDER_TIMEOUT_S
            )
        except (NodeUnreachableError, NodeSilentError) as error:
            logging.info("job %s: its former owner at %s tells nothing: %s", job_id, address, error)
            return JobRemainder()
        return answer if isinstance(answer, JobRemainder) else JobRemainder()

    async def read(self, address: str, request: ReadJobRequest) -> JobPage | None:
        """Read a job at its owner."""
        total_s = request.wait_s + READ_TIMEOUT_MARGIN_S
        try:
            page = await ask_node(self._session, address, READ_PATH, request, total_s)
        except (NodeUnreachableError, NodeSilentError) as error:
            logging.info("job %s: not read at %s: %s", request.job_id, address, error)
            return None
        return page if isinstance(page, JobPage) and page.is_owner else None


def _problem(answer: SubmitAnswer, address: str) -> Problem | None:
    try:
        code = ResultCode(answer.code)
    except ValueError:
        # A node of a later version: what it did with the job is not known here.
        detail = f"a node answered with the unknown code {answer.code}"
        return Problem(ResultCode.OUTCOME_UNKNOWN, detail, address)
    return None if code is ResultCode.OK else Problem(code, answer.detail, address)


def peer_routes(
    submit: Callable[[Job], Awaitable[Problem | None]],
    read: Callable[[ReadJobRequest], Awaitable[JobPage]],
    remainder: Callable[[str], JobRemainder],
) -> list[Route]:
    """Return the routes that answer other nodes about jobs.

    Args:
        submit: Stores a job on this node, without handing it on.
        read: Reads a job that this node owns.
        remainder: Returns what this node holds of a job that it owned.
    """

    async def take(job: Job) -> SubmitAnswer:
        problem = await submit(job)
        if problem is None:
            return SubmitAnswer(int(ResultCode.OK))
        return SubmitAnswer(int(problem.code), problem.detail)

    async def read_page(asked: ReadJobRequest) -> JobPage:
        wait_s = min(MAX_READ_WAIT_S, max(0.0, asked.wait_s))
        return await read(replace(asked, wait_s=wait_s))

    async def give_remainder(asked: RemainderRequest) -> JobRemainder:
        return remainder(asked.job_id)

    return [
        question_route(REMAINDER_PATH, (RemainderRequest,), give_remainder),
        question_route(SUBMIT_PATH, (Job,), take),
        question_route(READ_PATH, (ReadJobRequest,), read_page),
    ]
