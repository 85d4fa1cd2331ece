"""HTTP error responses, and reading and validation of request bodies."""

import json
import math
from typing import Any, TypeVar

from absl import logging
from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from hollowrack.results import DESCRIPTIONS, Problem, ResultCode

Body = TypeVar("Body", bound="RequestBody")


class RequestBody(BaseModel):
    """Base class of all request bodies; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def problem_body(problem: Problem) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    description = DESCRIPTIONS[problem.code]
    return {
        "error": {
            "code": int(problem.code),
            "name": problem.code.name,
            "detail": problem.detail,
            "place": problem.place,
            "remedy": problem.remedy,
            "may_have_run": description.execution.value,
            "repeat": description.repeat.value,
        }
    }


def problem_response(problem: Problem) -> Response:
    """Return the error response to a problem."""
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after_s)))
        headers["Retry-After-Ms"] = str(math.ceil(problem.retry_after_s * 1000))
    return JSONResponse(
        problem_body(problem),
        status_code=DESCRIPTIONS[problem.code].http_status,
        headers=headers,
    )


async def internal_error_response(request: Request, error: Exception) -> Response:
    """Log an unhandled exception and return ``INTERNAL_ERROR``."""
    logging.error("unhandled exception in request to %s", request.url.path, exc_info=error)
    return problem_response(
        Problem(ResultCode.INTERNAL_ERROR, "unhandled exception while the request was handled")
    )


async def read_body(request: Request, max_bytes: int) -> Result[bytes, Problem]:
    """Read a request's body; fails with ``BODY_TOO_LARGE`` once it exceeds ``max_bytes``."""
    parts: list[bytes] = []
    num_bytes = 0
    async for part in request.stream():
        num_bytes += len(part)
        if num_bytes > max_bytes:
            detail = f"the body is larger than {max_bytes} bytes"
            return Failure(Problem(ResultCode.BODY_TOO_LARGE, detail, "body"))
        parts.append(part)
    return Success(b"".join(parts))


def parse_body(data: bytes, body_type: type[Body]) -> Result[Body, Problem]:
    """Parse and validate a JSON body; fails with ``BAD_REQUEST`` and the invalid field."""
    try:
        return Success(body_type.model_validate(json.loads(data)))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        return Failure(Problem(ResultCode.BAD_REQUEST, f"{first['msg']}.", place))
    except (ValueError, RecursionError) as error:
        return Failure(Problem(ResultCode.BAD_REQUEST, f"not JSON: {error}.", "body"))


async def read_json(
    request: Request, body_type: type[Body], max_bytes: int
) -> Result[Body, Problem]:
    """Read and parse a JSON body; fails as :func:`read_body` and :func:`parse_body` do."""
    data = await read_body(request, max_bytes)
    return data.bind(lambda raw: parse_body(raw, body_type))
