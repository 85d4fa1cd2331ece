"""HTTP client of the command line for a node's operators' listener."""

import asyncio
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode

CALL_TIMEOUT_S = 15.0
_MIN_ERROR_STATUS = 400


def call_operator(method: str, url: str, body: object = None) -> Result[Any, Problem]:
    """Send a request to a node and return its JSON answer.

    Fails with the problem that the node answered, with ``PLATFORM_ANSWER_INVALID`` if an error
    response contains no problem, or with ``PEER_UNREACHABLE`` if no JSON answer arrives.
    """
    return asyncio.run(_call(method, url, body))


async def _call(method: str, url: str, body: object) -> Result[Any, Problem]:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body) as response,
        ):
            answer = await response.json(content_type=None)
            if response.status >= _MIN_ERROR_STATUS:
                return Failure(_decode_problem(answer, url))
            return Success(answer)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return Failure(Problem(ResultCode.PEER_UNREACHABLE, f"{error}.", url))


def _decode_problem(answer: Any, url: str) -> Problem:
    try:
        error = answer["error"]
        return Problem(ResultCode(error["code"]), error["detail"], error["place"])
    except (KeyError, TypeError, ValueError):
        return Problem(
            ResultCode.PLATFORM_ANSWER_INVALID,
            "the answer is not an error of a hollowrack node",
            url,
        )
