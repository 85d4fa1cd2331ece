"""Shared HTTP plumbing of the platform clients."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode

DEFAULT_RETRY_AFTER_S = 1.0


def retry_after_s(headers: Mapping[str, str]) -> float:
    """Return the seconds of a Retry-After header, or a default if there is none."""
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

    Failures: ``PLATFORM_THROTTLED`` for 429, ``PLATFORM_UNAVAILABLE`` for no answer or a server
    error (the request may have taken effect), ``PLATFORM_ANSWER_INVALID`` for anything else.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, json=body, timeout=timeout) as response:
            if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                wait_s = retry_after_s(response.headers)
                return Failure(Problem(ResultCode.PLATFORM_THROTTLED, "429", url, wait_s))
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
