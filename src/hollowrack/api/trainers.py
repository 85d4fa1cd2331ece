"""Trainers' API: runs, steps and samples. Calls are idempotent and may go to any node."""

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, TypeVar

from pydantic import Field
from returns.result import Failure, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.api.responses import RequestBody, problem_response, read_json
from hollowrack.results import Problem, ResultCode
from hollowrack.rollout.commands import (
    Acknowledge,
    AnnounceVersion,
    LedgerCommand,
    LedgerOutcome,
    OpenRun,
    SubmitStep,
)
from hollowrack.rollout.service import RunService
from hollowrack.rollout.trainer_messages import ReadRunStatus, ReadSamples, Samples
from hollowrack.rollout.types import HandedOverSample, Prompt, RunSettings

MAX_STEP_BODY_BYTES = 32 * 1024 * 1024
MAX_GROUP_SAMPLES = 1024
MAX_STEP_SAMPLES = 65_536
MAX_SAMPLES_PER_READ = 1024
DEFAULT_SAMPLES_PER_READ = 64
MAX_WAIT_S = 20.0

Body = TypeVar("Body", bound=RequestBody)


class OpenRunBody(RequestBody):
    """Body of ``POST /v1/runs``."""

    run: str = Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")
    model: str
    max_staleness_versions: int = Field(ge=0, le=1000)
    initial_version: int = Field(default=0, ge=0)


class PromptBody(RequestBody):
    """One prompt of a step."""

    prompt: str = Field(min_length=1, max_length=200)
    text: str
    num_samples: int = Field(ge=1, le=MAX_GROUP_SAMPLES)
    max_tokens: int = Field(ge=1, le=131_072)


class SubmitStepBody(RequestBody):
    """Body of ``POST /v1/runs/{run}/steps``."""

    step: int = Field(ge=0)
    prompts: list[PromptBody] = Field(min_length=1)


class AcknowledgeBody(RequestBody):
    """Body of ``POST /v1/runs/{run}/acknowledge``."""

    cursor: int = Field(ge=0)


class VersionBody(RequestBody):
    """Body of ``POST /v1/runs/{run}/version``."""

    version: int = Field(ge=0)


class TrainerApi:
    """Handlers of the trainers' API.

    Args:
        runs: Handles the requests on runs.
        max_body_bytes: Maximum size of request bodies other than steps.
    """

    def __init__(self, runs: RunService, max_body_bytes: int) -> None:
        self._runs = runs
        self._max_body_bytes = max_body_bytes

    def routes(self) -> list[Route]:
        """Return the routes of the API."""
        return [
            Route("/v1/runs", self._open_run, methods=["POST"]),
            Route("/v1/runs/{run}", self._read_status, methods=["GET"]),
            Route("/v1/runs/{run}/steps", self._submit_step, methods=["POST"]),
            Route("/v1/runs/{run}/samples", self._read_samples, methods=["GET"]),
            Route("/v1/runs/{run}/acknowledge", self._acknowledge, methods=["POST"]),
            Route("/v1/runs/{run}/version", self._announce_version, methods=["POST"]),
        ]

    async def _open_run(self, request: Request) -> Response:
        body = await read_json(request, OpenRunBody, self._max_body_bytes)
        if isinstance(body, Failure):
            return problem_response(body.failure())
        values = body.unwrap()
        settings = RunSettings(values.model, values.max_staleness_versions, values.initial_version)
        return _outcome_response(await self._runs.open(values.run, OpenRun(settings)))

    async def _submit_step(self, request: Request) -> Response:
        body = await read_json(request, SubmitStepBody, MAX_STEP_BODY_BYTES)
        if isinstance(body, Failure):
            return problem_response(body.failure())
        values = body.unwrap()
        num_samples = sum(prompt.num_samples for prompt in values.prompts)
        if num_samples > MAX_STEP_SAMPLES:
            detail = f"{num_samples} samples in the step, limit {MAX_STEP_SAMPLES}"
            return problem_response(Problem(ResultCode.BAD_REQUEST, detail, "prompts"))
        prompts = tuple(
            Prompt(entry.prompt, entry.text, entry.num_samples, entry.max_tokens)
            for entry in values.prompts
        )
        return await self._execute(request, SubmitStep(values.step, prompts))

    async def _acknowledge(self, request: Request) -> Response:
        return await self._execute_body(
            request, AcknowledgeBody, lambda body: Acknowledge(body.cursor)
        )

    async def _announce_version(self, request: Request) -> Response:
        return await self._execute_body(
            request, VersionBody, lambda body: AnnounceVersion(body.version)
        )

    async def _read_samples(self, request: Request) -> Response:
        parsed = _parse_read_samples(request)
        if isinstance(parsed, Problem):
            return problem_response(parsed)
        result = await self._runs.read_samples(parsed)
        if isinstance(result, Failure):
            return problem_response(result.failure())
        return _samples_response(result.unwrap())

    async def _read_status(self, request: Request) -> Response:
        run = request.path_params["run"]
        result = await self._runs.read_status(ReadRunStatus(run))
        if isinstance(result, Failure):
            return problem_response(result.failure())
        return _json_response(asdict(result.unwrap()))

    async def _execute_body(
        self, request: Request, body_type: type[Body], make_command: Callable[[Body], LedgerCommand]
    ) -> Response:
        body = await read_json(request, body_type, self._max_body_bytes)
        if isinstance(body, Failure):
            return problem_response(body.failure())
        return await self._execute(request, make_command(body.unwrap()))

    async def _execute(self, request: Request, command: LedgerCommand) -> Response:
        return _outcome_response(await self._runs.execute(request.path_params["run"], command))


def _parse_read_samples(request: Request) -> ReadSamples | Problem:
    query = request.query_params
    name = ""
    try:
        name = "step"
        step = int(query["step"])
        name = "cursor"
        cursor = int(query.get("cursor", "0"))
        name = "limit"
        limit = int(query.get("limit", str(DEFAULT_SAMPLES_PER_READ)))
        name = "wait_s"
        wait_s = float(query.get("wait_s", "0"))
    except (KeyError, ValueError):
        return Problem(
            ResultCode.BAD_REQUEST, f"query parameter {name!r} is missing or not a number", name
        )
    if step < 0 or cursor < 0 or not 1 <= limit <= MAX_SAMPLES_PER_READ:
        detail = f"step and cursor must be >= 0, limit from 1 to {MAX_SAMPLES_PER_READ}"
        return Problem(ResultCode.BAD_REQUEST, detail, "query")
    if not 0 <= wait_s <= MAX_WAIT_S:
        return Problem(ResultCode.BAD_REQUEST, f"wait_s must be from 0 to {MAX_WAIT_S}", "wait_s")
    return ReadSamples(request.path_params["run"], step, cursor, limit, wait_s)


def _outcome_response(result: Result[LedgerOutcome, Problem]) -> Response:
    if isinstance(result, Failure):
        return problem_response(result.failure())
    return _json_response({"code": int(ResultCode.OK)})


def _samples_response(samples: Samples) -> Response:
    return _json_response(
        {
            "samples": [_sample_json(handed) for handed in samples.samples],
            "cursor": samples.cursor,
            "num_remaining": samples.num_remaining,
        }
    )


def _sample_json(handed: HandedOverSample) -> dict[str, Any]:
    return {
        "cursor": handed.cursor,
        "trainer_version": handed.trainer_version,
        "age_versions": handed.age_versions,
        **asdict(handed.sample),
    }


def _json_response(value: object) -> Response:
    # With sorted keys, repeated reads of a cursor are byte-identical.
    return Response(json.dumps(value, sort_keys=True), media_type="application/json")
