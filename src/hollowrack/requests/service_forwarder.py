"""Service forwarder: sends requests to service workers, with placement and retries."""

from returns.result import Failure, Result, Success

from hollowrack.clients.service import (
    ServiceClient,
    ServiceNoResponseError,
    ServiceRefusedError,
    ServiceRequest,
    ServiceUnreachableError,
)
from hollowrack.clock import now_s
from hollowrack.requests.lifecycle import (
    Admitted,
    Dispatched,
    NotRunCode,
    NotRunProof,
    Received,
    UnresolvedCode,
)
from hollowrack.requests.retry_budget import RetryBudget
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import Problem
from hollowrack.routing.placement import Placement, PlacementOutcome, PlacementRequest, Placer
from hollowrack.routing.types import BackEndKind, RouteRequest

MAX_ATTEMPTS = 4
MIN_TIMEOUT_S = 0.001


class ServiceForwarder:
    """Forwards the requests of one node to service workers.

    Args:
        placer: Places requests on workers.
        client: Sends requests to workers.
        budget: Retry budget.
    """

    def __init__(
        self,
        placer: Placer,
        client: ServiceClient,
        budget: RetryBudget,
    ) -> None:
        self._placer = placer
        self._client = client
        self._budget = budget

    async def forward(self, request: ServiceRequest) -> Result[RecordedAnswer, Problem]:
        """Forward a request and return the worker's complete answer.

        An unsafe request is retried only if it provably did not run.
        """
        state = Received(request.request_id).admit()
        self._budget.record_request()
        deadline_s = now_s() + request.timeout_s
        tried: set[str] = set()
        unresolved: Problem | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._budget.spend_retry():
                break
            if now_s() >= deadline_s:
                expired = state.refuse(
                    NotRunCode.DEADLINE_EXPIRED, "the deadline passed before the request ran"
                )
                return Failure(unresolved or expired.problem)
            placed = await self._placer.place(_placement_request(request, tried, attempt))
            if isinstance(placed, Failure):
                return Failure(unresolved or placed.failure())
            placement = placed.unwrap()
            tried.add(placement.address)
            dispatched = state.dispatch(placement.address)
            outcome = await self._attempt(request, placement, dispatched, deadline_s)
            if isinstance(outcome, Admitted):
                state = outcome
                continue
            if isinstance(outcome, Failure) and request.is_safe:
                unresolved = outcome.failure()
                continue
            return outcome
        refused = state.refuse(NotRunCode.BACK_END_REFUSED, "no worker accepted the request")
        return Failure(unresolved or refused.problem)

    async def _attempt(
        self,
        request: ServiceRequest,
        placement: Placement,
        state: Dispatched,
        deadline_s: float,
    ) -> Admitted | Result[RecordedAnswer, Problem]:
        started_s = now_s()
        placement_outcome = PlacementOutcome.ABANDONED
        try:
            timeout_s = max(MIN_TIMEOUT_S, deadline_s - started_s)
            answer = await self._client.send(request, state.address, timeout_s)
            placement_outcome = PlacementOutcome.SUCCESS
            return Success(answer)
        except ServiceUnreachableError:
            placement_outcome = PlacementOutcome.UNREACHABLE
            return state.did_not_run(NotRunProof.NO_CONNECTION)
        except ServiceRefusedError:
            return state.did_not_run(NotRunProof.EXPLICIT_REFUSAL)
        except ServiceNoResponseError as error:
            placement_outcome = PlacementOutcome.FAILURE
            return Failure(state.unresolved(UnresolvedCode.OUTCOME_UNKNOWN, str(error)).problem)
        finally:
            self._placer.finish(placement, placement_outcome, now_s() - started_s)


def _placement_request(request: ServiceRequest, tried: set[str], attempt: int) -> PlacementRequest:
    route = RouteRequest(BackEndKind.SERVICE, request.pool, request.zone, excluded=frozenset(tried))
    return PlacementRequest(request.request_id, request.tenant, route, request.timeout_s, attempt)
