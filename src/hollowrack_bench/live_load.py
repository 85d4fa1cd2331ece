"""Load generator: sends requests to random nodes and checks every answer against its request."""

import asyncio
import hashlib
import itertools
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from hollowrack_bench.local_fleet import MODEL, SERVICE_POOL

MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 30.0


def latency_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@dataclass
class LiveReport:
    """Results of the load generator.

    Attributes:
        latency: Latencies of correct answers, in microseconds.
        num_ok: Number of correct answers.
        num_wrong: Number of answers that were truncated or belonged to another request.
        codes: Number of refusals and failures by result code or exception name.
        not_run: Identifiers of requests whose last answer was a "not run" refusal.
        num_unsafe: Number of unsafe requests sent, without repetitions.
    """

    latency: HdrHistogram = field(default_factory=latency_histogram)
    num_ok: int = 0
    num_wrong: int = 0
    codes: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    num_unsafe: int = 0

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / _US_PER_MS


class LiveCallers:
    """Concurrent callers that each send one request after another.

    Args:
        urls: Base URLs of the nodes.
        num_callers: Number of concurrent callers.
        pause_s: Pause between the requests of a caller, in seconds.
        seed: Seed of the choice of requests and nodes.
    """

    def __init__(
        self, urls: list[str], num_callers: int = 4, pause_s: float = 0.02, seed: int = 0
    ) -> None:
        self.report = LiveReport()
        self._urls = urls
        self._num_callers = num_callers
        self._pause_s = pause_s
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all callers."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        self._tasks = [
            asyncio.create_task(self._call_repeatedly()) for _ in range(self._num_callers)
        ]

    async def stop(self) -> LiveReport:
        """Wait for the requests in progress and return the results."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)
        await self._session.close()
        return self.report

    async def _call_repeatedly(self) -> None:
        calls = [self._complete, self._stream, self._look_up, self._write]
        while not self._is_stopping:
            call = self._rng.choice(calls)
            started_s = time.monotonic()
            is_ok = await call(next(self._numbers))
            if is_ok:
                self.report.num_ok += 1
                latency_us = int((time.monotonic() - started_s) * _US_PER_S)
                self.report.latency.record_value(max(1, latency_us))
            await asyncio.sleep(self._pause_s)

    async def _complete(self, number: int) -> bool:
        body = {"model": MODEL, "prompt": f"price of part {number}", "max_tokens": 16}
        headers = {"X-Request-Id": f"complete-{number}"}
        answer = await self._send("POST", "/v1/completions", headers, json.dumps(body).encode())
        if answer is None:
            return False
        num_tokens = sum(
            span["end_token"] - span["first_token"] for span in answer["hollowrack"]["spans"]
        )
        return self._check(
            answer["id"] == headers["X-Request-Id"]
            and num_tokens == answer["usage"]["completion_tokens"]
        )

    async def _look_up(self, number: int) -> bool:
        headers = {"X-Request-Id": f"look-up-{number}"}
        path = f"/v1/services/{SERVICE_POOL}/balance/{number}"
        answer = await self._send("GET", path, headers, b"")
        if answer is None:
            return False
        return self._check(answer["path"] == f"balance/{number}")

    async def _write(self, number: int) -> bool:
        identifier = f"write-{number}"
        body = f"transfer {number}".encode()
        self.report.num_unsafe += 1
        path = f"/v1/services/{SERVICE_POOL}/transfer"
        answer = await self._send("POST", path, {"Idempotency-Key": identifier}, body)
        if answer is None:
            return False
        repeated = await self._send("POST", path, {"Idempotency-Key": identifier}, body)
        expected = hashlib.blake2b(body, digest_size=8).hexdigest()
        is_same = repeated is None or repeated == answer
        return self._check(answer["body_hash"] == expected and is_same)

    async def _stream(self, number: int) -> bool:
        request_id = f"stream-{number}"
        body = {
            "model": MODEL,
            "prompt": f"draft reply {number}",
            "max_tokens": 16,
            "stream": True,
        }
        for _ in range(MAX_ATTEMPTS):
            url = self._rng.choice(self._urls) + "/v1/completions"
            try:
                async with self._session.post(
                    url, json=body, headers={"X-Request-Id": request_id}
                ) as response:
                    if response.status == HTTPStatus.OK:
                        return self._check(_is_complete_stream(await response.read(), request_id))
                    await self._record_refusal(request_id, response)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self.report.codes[type(error).__name__] += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> dict[str, Any] | None:
        """Send a request, with retries at random nodes under the same identifier."""
        identifier = headers.get("Idempotency-Key", headers.get("X-Request-Id", ""))
        for _ in range(MAX_ATTEMPTS):
            url = self._rng.choice(self._urls) + path
            try:
                async with self._session.request(
                    method, url, headers=headers, data=body
                ) as response:
                    if response.status == HTTPStatus.OK:
                        self.report.not_run.discard(identifier)
                        answer: dict[str, Any] = await response.json()
                        return answer
                    await self._record_refusal(identifier, response)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self.report.codes[type(error).__name__] += 1
                self.report.not_run.discard(identifier)
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _record_refusal(self, identifier: str, response: aiohttp.ClientResponse) -> None:
        error = (await response.json())["error"]
        self.report.codes[error["name"]] += 1
        if error["may_have_run"] == "no":
            self.report.not_run.add(identifier)
        else:
            self.report.not_run.discard(identifier)

    def _check(self, is_correct: bool) -> bool:
        if not is_correct:
            self.report.num_wrong += 1
        return is_correct


def _is_complete_stream(data: bytes, request_id: str) -> bool:
    events = [event.removeprefix(b"data: ") for event in data.split(b"\n\n") if event]
    if not events or events[-1] != b"[DONE]":
        return False
    final = json.loads(events[-2])
    num_token_events = len(events) - 2
    return bool(
        final["id"] == request_id and final["usage"]["completion_tokens"] == num_token_events
    )
