"""Generation runner: runs generations on engines, with placement, streaming and resumption.

A generation is safe to repeat, so a broken stream is resumed on another engine from the tokens
received so far. Each token is recorded with the weight version of the engine that produced it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from hollowrack.clients.engine import (
    EngineRefusedError,
    EngineUnreachableError,
    GenerationRequest,
    MakeEngineClient,
    StreamBrokenError,
    TokenChunk,
)
from hollowrack.clock import now_s
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.requests.lifecycle import (
    Admitted,
    Dispatched,
    NotRunCode,
    NotRunProof,
    Received,
    UnresolvedCode,
)
from hollowrack.requests.retry_budget import RetryBudget
from hollowrack.requests.types import GeneratedText
from hollowrack.results import Problem, ResultCode
from hollowrack.rollout.spans import SpanBuilder
from hollowrack.routing.placement import Placement, PlacementOutcome, PlacementRequest, Placer
from hollowrack.routing.types import RouteRequest

STREAM_IDLE_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 6

ChunkSink = Callable[[list[TokenChunk]], Awaitable[None]]
StopCheck = Callable[[SpanBuilder], Problem | None]


@dataclass(frozen=True)
class GenerationPlan:
    """A generation to run, and its limits.

    Attributes:
        generation: Request to the engine.
        route: Requirements on the engine.
        deadline_s: Deadline for the start of an attempt, in seconds on the monotonic clock.
        tenant: Tenant of the request.
        on_chunks: Called with new chunks as they arrive; ``None`` if not streamed.
        stop_check: Called after new chunks; a returned problem ends the generation.
    """

    generation: GenerationRequest
    route: RouteRequest
    deadline_s: float
    tenant: str = ""
    on_chunks: ChunkSink | None = None
    stop_check: StopCheck | None = None


@dataclass
class _Progress:
    """Output received so far, from all engines.

    Attributes:
        spans: Tokens by weight version.
        texts: Text of each chunk.
        finish_reason: Finish reason in the last chunk; ``None`` if the generation is not finished.
        num_engines: Number of engines that accepted the generation.
    """

    spans: SpanBuilder = field(default_factory=SpanBuilder)
    texts: list[str] = field(default_factory=list)
    finish_reason: str | None = None
    num_engines: int = 0

    def append(self, chunk: TokenChunk) -> None:
        """Append a chunk.

        Raises:
            StreamBrokenError: If the chunk does not continue the tokens so far.
        """
        if chunk.token_index != self.spans.num_tokens:
            raise StreamBrokenError(
                f"received token {chunk.token_index}, expected token {self.spans.num_tokens}"
            )
        if chunk.num_tokens:
            self.spans.add(chunk.weight_version, chunk.num_tokens)
        self.texts.append(chunk.text)
        self.finish_reason = chunk.finish_reason

    def generated_text(self) -> GeneratedText:
        """Return the finished generation."""
        return GeneratedText(
            text="".join(self.texts),
            num_tokens=self.spans.num_tokens,
            spans=self.spans.build(),
            finish_reason=self.finish_reason or "",
            num_engines=self.num_engines,
        )


class _StoppedEarlyError(Exception):
    """Raised when the stop check returns a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


class GenerationRunner:
    """Runs the generations of one node.

    Args:
        placer: Places generations on engines.
        make_client: Returns the client of an engine by its address.
        budget: Retry budget.
        decisions: Log of resumptions.
    """

    def __init__(
        self,
        placer: Placer,
        make_client: MakeEngineClient,
        budget: RetryBudget,
        decisions: DecisionLog,
    ) -> None:
        self._placer = placer
        self._make_client = make_client
        self._budget = budget
        self._decisions = decisions

    async def run(self, plan: GenerationPlan) -> Result[GeneratedText, Problem]:
        """Run a generation to its end.

        Fails with a "not run" code if no engine ran the request, with ``OUTCOME_UNKNOWN`` or
        ``ANSWER_INCOMPLETE`` if one may have, or with the stop check's problem.
        """
        request_id = plan.generation.request_id
        state = Received(request_id).admit()
        self._budget.record_request()
        progress = _Progress()
        tried: set[str] = set()
        unresolved: Problem | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._budget.spend_retry():
                break
            if now_s() >= plan.deadline_s:
                expired = state.refuse(
                    NotRunCode.DEADLINE_EXPIRED, "the deadline passed before the request ran"
                )
                return Failure(unresolved or expired.problem)
            placed = await self._placer.place(_placement_request(plan, tried, attempt))
            if isinstance(placed, Failure):
                return Failure(unresolved or placed.failure())
            placement = placed.unwrap()
            tried.add(placement.address)
            if progress.spans.num_tokens:
                self._decisions.record(DecisionKind.RESUME, request_id, placement.address)
            outcome = await self._attempt(
                plan, progress, placement, state.dispatch(placement.address)
            )
            if isinstance(outcome, Admitted):
                state = outcome
                continue
            if isinstance(outcome, Failure):
                unresolved = outcome.failure()
                if unresolved.code not in _RESUMABLE:
                    return outcome
                continue
            return outcome
        refused = state.refuse(NotRunCode.BACK_END_REFUSED, "no engine accepted the request")
        return Failure(unresolved or refused.problem)

    async def _attempt(
        self, plan: GenerationPlan, progress: _Progress, placement: Placement, state: Dispatched
    ) -> Admitted | Result[GeneratedText, Problem]:
        started_s = now_s()
        placement_outcome = PlacementOutcome.ABANDONED
        try:
            await self._stream(plan, progress, state.address)
            placement_outcome = PlacementOutcome.SUCCESS
            return Success(progress.generated_text())
        except EngineUnreachableError:
            placement_outcome = PlacementOutcome.UNREACHABLE
            return state.did_not_run(NotRunProof.NO_CONNECTION)
        except EngineRefusedError:
            return state.did_not_run(NotRunProof.EXPLICIT_REFUSAL)
        except StreamBrokenError as error:
            placement_outcome = PlacementOutcome.FAILURE
            has_tokens = progress.spans.num_tokens > 0
            code = UnresolvedCode.OUTCOME_UNKNOWN
            if has_tokens:
                code = UnresolvedCode.ANSWER_INCOMPLETE
            return Failure(state.unresolved(code, str(error)).problem)
        except _StoppedEarlyError as stopped:
            return Failure(stopped.problem)
        finally:
            self._placer.finish(placement, placement_outcome, now_s() - started_s)

    async def _stream(self, plan: GenerationPlan, progress: _Progress, address: str) -> None:
        generation = replace(
            plan.generation,
            resume_text="".join(progress.texts),
            resume_num_tokens=progress.spans.num_tokens,
        )
        client = self._make_client(address)
        incarnation: str | None = None
        async with client.generate(generation, STREAM_IDLE_TIMEOUT_S) as batches:
            progress.num_engines += 1
            async for chunks in batches:
                for chunk in chunks:
                    if incarnation not in (None, chunk.incarnation):
                        raise StreamBrokenError("the engine's incarnation changed within a stream")
                    incarnation = chunk.incarnation
                    progress.append(chunk)
                if plan.on_chunks is not None:
                    await plan.on_chunks(chunks)
                if plan.stop_check is not None:
                    problem = plan.stop_check(progress.spans)
                    if problem is not None:
                        raise _StoppedEarlyError(problem)
        if progress.finish_reason is None:
            raise StreamBrokenError("the stream ended without a finish reason")


def _placement_request(plan: GenerationPlan, tried: set[str], attempt: int) -> PlacementRequest:
    return PlacementRequest(
        request_id=plan.generation.request_id,
        tenant=plan.tenant,
        route=replace(plan.route, excluded=frozenset(tried)),
        timeout_s=max(0.0, plan.deadline_s - now_s()),
        attempt=attempt,
    )


_RESUMABLE = frozenset({ResultCode.OUTCOME_UNKNOWN, ResultCode.ANSWER_INCOMPLETE})
