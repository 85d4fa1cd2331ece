"""Jobs handed to another node, by a node that stops or that the store does not serve."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from returns.result import Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.jobs.types import Job
from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.results import DESCRIPTIONS, Problem, ResultCode

SUBMIT_PATH = "/jobs"
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


class PeerJobs(Protocol):
    """Hands jobs to other nodes."""

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


def _problem(answer: SubmitAnswer, address: str) -> Problem | None:
    code = ResultCode(answer.code)
    return None if code is ResultCode.OK else Problem(code, answer.detail, address)


def submit_routes(submit: Callable[[Job], Awaitable[Problem | None]]) -> list[Route]:
    """Return the routes that take jobs from other nodes.

    Args:
        submit: Stores a job on this node, without handing it on.
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

    return [Route(SUBMIT_PATH, take, methods=["POST"])]
