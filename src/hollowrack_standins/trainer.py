"""Simulated trainer: submits steps, collects samples, trains and announces weight versions."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiohttp

RETRY_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 30.0
POLL_WAIT_S = 5.0
_RETRYABLE_STATUSES = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    }
)


@dataclass(frozen=True)
class TrainerConfig:
    """Configuration of a training run.

    Attributes:
        num_groups: Number of prompt groups per step.
        group_size: Number of samples per group.
        max_tokens: Maximum length of a sample, in tokens.
        train_s: Time of one training step, in seconds.
        max_staleness_versions: Maximum age of a sample, in weight versions.
        num_steps_ahead: Number of steps submitted beyond the one being collected.
        prompt_characters: Length of each prompt, in characters.
    """

    run: str = "run"
    model: str = "quote"
    num_steps: int = 3
    num_groups: int = 8
    group_size: int = 8
    max_tokens: int = 64
    train_s: float = 0.3
    max_staleness_versions: int = 2
    num_steps_ahead: int = 1
    prompt_characters: int = 192


@dataclass
class TrainerReport:
    """Results of a training run.

    Attributes:
        delivered: Number of deliveries by sample slot, ``STEP/PROMPT/SAMPLE_INDEX``.
        ages_versions: Age of each delivered sample, in weight versions.
        idle_s: Time spent collecting samples instead of training, in seconds.
        total_s: Duration of the run, in seconds.
        num_incomplete_spans: Number of samples whose version spans do not cover all their tokens.
        num_stale: Number of samples older than the maximum age.
        num_retries: Number of retried calls.
    """

    delivered: Counter[str] = field(default_factory=Counter)
    ages_versions: list[int] = field(default_factory=list)
    idle_s: float = 0.0
    total_s: float = 0.0
    num_incomplete_spans: int = 0
    num_stale: int = 0
    num_retries: int = 0

    @property
    def num_duplicated(self) -> int:
        """Number of sample slots delivered more than once."""
        return sum(1 for count in self.delivered.values() if count > 1)


class TrainerStandin:
    """Runs the training steps against the nodes, one of which it calls at a time.

    Args:
        config: Size and timing of the run.
        urls: Base URLs of the nodes' listeners for callers; the next one is used after a failure.
        publish: Called with each new weight version before it is announced; ``None`` for nothing.

    Attributes:
        before_acknowledge: Called before each acknowledgement of samples; ``None`` for nothing.
    """

    def __init__(
        self,
        config: TrainerConfig,
        urls: list[str],
        publish: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        self.config = config
        self.report = TrainerReport()
        self._urls = urls
        self.before_acknowledge: Callable[[], Awaitable[None]] | None = None
        self._publish = publish
        self._next_url = 0
        self._cursor = 0

    async def run(self, on_step: Callable[[int], Awaitable[None]] | None = None) -> TrainerReport:
        """Run all training steps; ``on_step`` is called with each step's number before the step."""
        started_s = time.monotonic()
        async with aiohttp.ClientSession() as session:
            self._session = session
            await self._open_run()
            for step in range(self.config.num_steps):
                if on_step is not None:
                    await on_step(step)
                await self._submit_ahead(step)
                await self._collect_samples(step)
                await self._train(step)
        self.report.total_s = time.monotonic() - started_s
        return self.report

    async def _open_run(self) -> None:
        body = {
            "run": self.config.run,
            "model": self.config.model,
            "max_staleness_versions": self.config.max_staleness_versions,
            "initial_version": 0,
        }
        await self._call("POST", "/v1/runs", body)

    async def _submit_ahead(self, step: int) -> None:
        last = min(self.config.num_steps - 1, step + self.config.num_steps_ahead)
        for number in range(step, last + 1):
            body = {"step": number, "prompts": self.prompts(number)}
            await self._call("POST", f"/v1/runs/{self.config.run}/steps", body)

    def prompts(self, step: int) -> list[dict[str, Any]]:
        """Return the prompts of a step, which are the same at every call."""
        text = f"step {step} group {{}} ".ljust(self.config.prompt_characters, "x")
        return [
            {
                "prompt": f"g{group}",
                "text": text.format(group),
                "num_samples": self.config.group_size,
                "max_tokens": self.config.max_tokens,
            }
            for group in range(self.config.num_groups)
        ]

    async def _collect_samples(self, step: int) -> None:
        started_s = time.monotonic()
        num_remaining = 1
        while num_remaining:
            path = (
                f"/v1/runs/{self.config.run}/samples?step={step}&cursor={self._cursor}"
                f"&wait_s={POLL_WAIT_S}"
            )
            answer = await self._call("GET", path)
            for sample in answer["samples"]:
                self._record_sample(sample)
            self._cursor = answer["cursor"]
            num_remaining = answer["num_remaining"]
            if self.before_acknowledge is not None:
                await self.before_acknowledge()
            await self._call(
                "POST", f"/v1/runs/{self.config.run}/acknowledge", {"cursor": self._cursor}
            )
        self.report.idle_s += time.monotonic() - started_s

    def _record_sample(self, sample: dict[str, Any]) -> None:
        sample_slot = sample["slot"]
        self.report.delivered[
            f"{sample_slot['step']}/{sample_slot['prompt']}/{sample_slot['sample_index']}"
        ] += 1
        self.report.ages_versions.append(sample["age_versions"])
        if sample["age_versions"] > self.config.max_staleness_versions:
            self.report.num_stale += 1
        num_covered = 0
        for span in sample["spans"]:
            if span["first_token"] != num_covered:
                break
            num_covered = span["end_token"]
        if num_covered != sample["num_tokens"] or not num_covered:
            self.report.num_incomplete_spans += 1

    async def _train(self, step: int) -> None:
        await asyncio.sleep(self.config.train_s)
        version = step + 1
        if self._publish is not None:
            await self._publish(version)
        await self._call("POST", f"/v1/runs/{self.config.run}/version", {"version": version})

    async def _call(self, method: str, path: str, body: object = None) -> Any:
        """Call the nodes in turn until one answers; all calls are idempotent.

        Raises:
            RuntimeError: If a node rejects the call.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        while True:
            url = self._urls[self._next_url % len(self._urls)]
            try:
                async with self._session.request(
                    method, url + path, json=body, timeout=timeout
                ) as response:
                    if response.status == HTTPStatus.OK:
                        return await response.json()
                    if response.status not in _RETRYABLE_STATUSES:
                        raise RuntimeError(
                            f"call of {path} got a non-retryable status: {await response.text()}"
                        )
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            self.report.num_retries += 1
            self._next_url += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
