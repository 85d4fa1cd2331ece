"""HTTP helpers shared by the clients: JSON requests and Retry-After headers."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode

DEFAULT_RETRY_AFTER_S = 1.0


def retry_after_s(headers: Mapping[str, str]) -> float:
    """Return the delay of a Retry-After header, in seconds.

    Returns ``DEFAULT_RETRY_AFTER_S`` if the header is missing or not a number.
    """
    try:
        return max(0.0, float(headers.get("Retry-After", DEFAULT_RETRY_AFTER_S)))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


async def request_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    body: object = None,
) -> Result[Any, Problem]:
    """Send a request and return the decoded JSON answer.

    Fails with ``PLATFORM_THROTTLED`` for status 429, ``PLATFORM_UNAVAILABLE`` for a missing answer
    or a 5xx status (the request may have taken effect), ``PLATFORM_ANSWER_INVALID`` for any other
    status than 200 and for invalid JSON.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, json=body, timeout=timeout) as response:
            if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                delay_s = retry_after_s(response.headers)
                return Failure(Problem(ResultCode.PLATFORM_THROTTLED, "HTTP 429", url, delay_s))
            if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                detail = f"HTTP {response.status}"
                return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, detail, url))
            if response.status != HTTPStatus.OK:
                detail = f"HTTP {response.status}: {(await response.text())[:200]}"
                return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, url))
            return Success(await response.json(content_type=None))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Failure(Problem(ResultCode.PLATFORM_UNAVAILABLE, type(error).__name__, url))
    except ValueError as error:
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, str(error), url))
