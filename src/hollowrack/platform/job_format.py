"""Conversion between the platform's JSON format of jobs and results and internal types."""

import base64
import binascii
import json
from typing import Any

from returns.result import Failure, Result, Success

from hollowrack.jobs.job_service import ResultPage
from hollowrack.jobs.types import ItemResult, Job, JobItem, ScorerCall, scoped_job_id
from hollowrack.platform import names
from hollowrack.platform.worker_client import forwarded_headers
from hollowrack.results import Problem, ResultCode

MAX_PAGE_CHARACTERS = 900_000


def decode_job(
    job_id: str, host: str, target: str, body: bytes, tenant: str | None = None
) -> Result[Job, Problem]:
    """Decode a submitted job or fail with ``BAD_REQUEST`` at the invalid field.

    Args:
        job_id: Identifier given by the caller, unique per tenant.
        host: Host of the request.
        target: Path of the request.
        body: JSON body.
        tenant: Tenant that owns the job; ``None`` on a public route.
    """
    place = "body"
    try:
        content = json.loads(body)
        items = []
        for index, entry in enumerate(content["requests"]):
            place = f"requests.{index}"
            items.append(_item(entry))
        place = "body"
        job = Job(
            scoped_job_id(tenant, job_id),
            host,
            target,
            tuple(items),
            str(content.get("model") or ""),
            int(content.get("min-version") or 0),
            int(content.get("desired") or 0),
            tenant,
        )
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        detail = f"{type(error).__name__}: {error}"
        return Failure(Problem(ResultCode.BAD_REQUEST, detail, place))
    if len({item.id for item in job.items}) != len(job.items):
        return Failure(
            Problem(ResultCode.BAD_REQUEST, "item identifiers must be unique", "requests")
        )
    if not job.items:
        return Failure(Problem(ResultCode.BAD_REQUEST, "the job has no items", "requests"))
    return Success(job)


def encode_page(page: ResultPage, after: int) -> bytes:
    """Encode a page of results with at most ``MAX_PAGE_CHARACTERS`` characters of text.

    The first result is always included, also if it is longer.

    Args:
        page: Results from the position ``after`` on.
        after: Position of the first result of the page.
    """
    results: list[dict[str, object]] = []
    num_characters = 0
    for result in page.results:
        num_characters += len(result.text)
        if results and num_characters > MAX_PAGE_CHARACTERS:
            break
        results.append(_result(result))
    content = {
        "total": page.num_items,
        "next-page-token": after + len(results),
        "results": results,
    }
    return json.dumps(content).encode()


def _item(entry: dict[str, Any]) -> JobItem:
    raw_headers = [(str(name), str(value)) for name, value in entry.get("headers", {}).items()]
    headers = forwarded_headers(raw_headers, has_credentials=True)
    scorer = entry.get("scorer")
    return JobItem(
        str(entry["id"]),
        str(entry["path"]),
        headers,
        base64.b64decode(entry.get("body") or "", validate=True),
        str(entry.get("group") or ""),
        _scorer(scorer) if scorer else None,
        _expected_tokens(headers),
    )


def _expected_tokens(headers: tuple[tuple[str, str], ...]) -> int:
    for name, value in headers:
        if name.lower() == names.LENGTH_HINT.lower() and value.isdigit():
            return int(value)
    return 0


def _scorer(entry: dict[str, Any]) -> ScorerCall:
    return ScorerCall(
        str(entry["id"]),
        str(entry["hostname"]),
        str(entry["path"]),
        base64.b64decode(entry.get("body") or "", validate=True),
    )


def _result(result: ItemResult) -> dict[str, object]:
    entry: dict[str, object] = {
        "id": result.item_id,
        "state": names.RESULT_COMPLETE if result.is_complete else names.RESULT_ERRORED,
        "text": result.text,
    }
    if result.is_complete:
        entry["versions"] = list(result.versions)
    if result.score is not None:
        entry["score"] = result.score
    return entry
