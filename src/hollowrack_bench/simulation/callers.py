"""Callers of a simulated fleet: replay a trace and check every answer."""

import asyncio
import itertools
import json
import random
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from returns.result import Result, Success

from hollowrack.clock import now_s
from hollowrack.requests.gateway import CompletionCall, ServiceCall
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import DESCRIPTIONS, Execution, Problem
from hollowrack_bench.live_load import latency_histogram
from hollowrack_bench.simulation.fleet import MODEL, POOL, SimulatedFleet
from hollowrack_bench.trace import RequestKind, TraceEntry, prompt_of
from hollowrack_standins.engine_core import Sequence

_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
CALL_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.2


@dataclass
class CallerReport:
    """Results of the callers.

    Attributes:
        latency: Latencies of completions, in microseconds.
        service_latency: Latencies of service requests, in microseconds.
        num_sent: Number of requests sent.
        num_ok: Number of answered requests.
        num_ok_completions: Number of answered completions.
        finished_s: Finish time of each answered completion, in seconds since the replay started.
        num_tokens: Number of tokens delivered.
        num_wrong: Answers with a wrong number of tokens, or of another request.
        codes: Number of failed attempts, by result code.
        num_false_refusals: Requests that ran though all their attempts were refused as "not run".
    """

    latency: HdrHistogram = field(default_factory=latency_histogram)
    service_latency: HdrHistogram = field(default_factory=latency_histogram)
    num_sent: int = 0
    num_ok: int = 0
    num_ok_completions: int = 0
    finished_s: list[float] = field(default_factory=list)
    num_tokens: int = 0
    num_wrong: int = 0
    codes: Counter[str] = field(default_factory=Counter)
    num_false_refusals: int = 0

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the completions' latency, in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / _US_PER_MS


class TraceReplay:
    """Replays a trace against the gateways of a simulated fleet.

    Args:
        fleet: The simulated fleet.
        trace: Requests with their arrival times.
        num_attempts: Maximum number of attempts per request, each at a random node.
        seed: Seed of the choice of nodes.
    """

    def __init__(
        self,
        fleet: SimulatedFleet,
        trace: list[TraceEntry],
        num_attempts: int = 1,
        seed: int = 0,
    ) -> None:
        self.report = CallerReport()
        self._fleet = fleet
        self._trace = trace
        self._num_attempts = num_attempts
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)

    async def run(self) -> CallerReport:
        """Replay the whole trace and wait for all answers."""
        self._start_s = start_s = now_s()
        tasks: set[asyncio.Task[None]] = set()
        for entry in self._trace:
            await asyncio.sleep(max(0.0, start_s + entry.at_s - now_s()))
            task = asyncio.create_task(self._call(entry, next(self._numbers)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.gather(*tasks)
        return self.report

    async def _call(self, entry: TraceEntry, number: int) -> None:
        self.report.num_sent += 1
        started_s = now_s()
        request_id = f"{entry.kind.value}-{number}"
        says_not_run = True
        for attempt in range(self._num_attempts):
            if attempt:
                await asyncio.sleep(RETRY_INTERVAL_S)
            result = await self._attempt(entry, request_id, number)
            if isinstance(result, Success):
                self._record_answer(entry, request_id, number, result.unwrap(), now_s() - started_s)
                return
            problem = result.failure()
            self.report.codes[problem.code.name] += 1
            if DESCRIPTIONS[problem.code].execution is not Execution.NOT_RUN:
                says_not_run = False
                if entry.kind is RequestKind.WRITE:
                    break
        if says_not_run and self._fleet.executions[request_id]:
            self.report.num_false_refusals += 1

    async def _attempt(
        self, entry: TraceEntry, request_id: str, number: int
    ) -> Result[RecordedAnswer, Problem]:
        node = self._fleet.nodes[self._rng.choice(list(self._fleet.nodes))]
        if entry.kind is RequestKind.COMPLETE:
            return await node.gateway.complete(
                CompletionCall(
                    request_id=request_id,
                    tenant=entry.tenant,
                    model=MODEL,
                    prompt=prompt_of(entry, number),
                    max_tokens=entry.max_tokens,
                    seed=0,
                    timeout_s=CALL_TIMEOUT_S,
                    is_unsafe=False,
                    is_chat=False,
                )
            )
        is_write = entry.kind is RequestKind.WRITE
        return await node.gateway.call_service(
            ServiceCall(
                request_id=request_id,
                tenant=entry.tenant,
                pool=POOL,
                method="POST" if is_write else "GET",
                path=f"item/{number}",
                headers={},
                body=b"",
                is_unsafe=is_write,
            )
        )

    def _record_answer(
        self,
        entry: TraceEntry,
        request_id: str,
        number: int,
        answer: RecordedAnswer,
        latency_s: float,
    ) -> None:
        body = json.loads(answer.body)
        self.report.num_ok += 1
        latency_us = max(1, int(latency_s * _US_PER_S))
        if entry.kind is not RequestKind.COMPLETE:
            self.report.service_latency.record_value(latency_us)
            is_correct = body == {"identifier": request_id, "path": f"item/{number}"}
        else:
            self.report.latency.record_value(latency_us)
            self.report.num_ok_completions += 1
            self.report.finished_s.append(now_s() - self._start_s)
            num_tokens = body["usage"]["completion_tokens"]
            self.report.num_tokens += num_tokens
            is_correct = body["id"] == request_id and num_tokens == self._expected_num_tokens(
                entry, number
            )
        if not is_correct:
            self.report.num_wrong += 1

    def _expected_num_tokens(self, entry: TraceEntry, number: int) -> int:
        core = next(iter(self._fleet.engines.values())).core
        return core.length_of(Sequence("", prompt_of(entry, number), entry.max_tokens, 0, 0))
