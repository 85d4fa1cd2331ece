"""Forwards one request to a service worker: placement, retries, what is known of the outcome."""

import random

from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.platform.service import (
    ServiceBrokenError,
    ServiceClient,
    ServiceRefusedError,
    ServiceRequest,
    ServiceUnreachableError,
)
from hollowrack.requests.budget import RetryBudget
from hollowrack.requests.lifecycle import (
    Admitted,
    Dispatched,
    NoBytesSentProof,
    NotRunCode,
    Received,
    UnresolvedCode,
)
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import Problem
from hollowrack.routing.choice import Chooser
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.types import BackEndKind, RouteRequest

MAX_ATTEMPTS = 4
MIN_TIMEOUT_S = 0.001


class ServiceForwarder:
    """Forwards requests for one node.

    Args:
        fleet: The node's view of the back ends.
        client: Sends requests to workers.
        budget: Retry budget.
        decisions: Where decisions are recorded.
        rng: Random source of the routing.
        chooser: Chooses the worker.
    """

    def __init__(
        self,
        fleet: FleetView,
        client: ServiceClient,
        budget: RetryBudget,
        decisions: DecisionLog,
        rng: random.Random,
        chooser: Chooser,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._budget = budget
        self._decisions = decisions
        self._rng = rng
        self._choose = chooser

    async def forward(self, request: ServiceRequest) -> Result[RecordedAnswer, Problem]:
        """Forward a request and return the worker's whole answer.

        An unsafe request is sent again only on proof that it did not run.
        """
        state = Received(request.request_id).admit()
        self._budget.note_request()
        deadline_s = now_s() + request.timeout_s
        tried: set[str] = set()
        unresolved: Problem | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._budget.take_retry():
                break
            if now_s() >= deadline_s:
                expired = state.refuse(NotRunCode.DEADLINE_EXPIRED, "the deadline passed")
                return Failure(unresolved or expired.problem)
            placed = self._place(request, tried, attempt)
            if isinstance(placed, Failure):
                return Failure(unresolved or placed.failure())
            tried.add(placed.unwrap())
            outcome = await self._attempt(request, state.dispatch(placed.unwrap()), deadline_s)
            if isinstance(outcome, Admitted):
                state = outcome
                continue
            if isinstance(outcome, Failure) and request.is_safe:
                unresolved = outcome.failure()
                continue
            return outcome
        refused = state.refuse(NotRunCode.BACK_END_REFUSED, "no worker took the request")
        return Failure(unresolved or refused.problem)

    def _place(
        self, request: ServiceRequest, tried: set[str], attempt: int
    ) -> Result[str, Problem]:
        route = RouteRequest(
            BackEndKind.SERVICE, request.pool, request.zone, excluded=frozenset(tried)
        )
        back_ends = self._fleet.snapshot(now_s())
        choice = self._choose(route, back_ends, self._fleet.prefixes, self._rng)
        if isinstance(choice, Success):
            self._decisions.record(
                DecisionKind.ROUTE,
                request.request_id,
                choice.unwrap().address,
                attempt=attempt,
                cost_ms=choice.unwrap().costs_ms(),
            )
        return choice.map(lambda found: found.address)

    async def _attempt(
        self, request: ServiceRequest, state: Dispatched, deadline_s: float
    ) -> Admitted | Result[RecordedAnswer, Problem]:
        record = self._fleet.records[state.address]
        started_s = now_s()
        self._fleet.note_sent(state.address, False, started_s)
        try:
            timeout_s = max(MIN_TIMEOUT_S, deadline_s - now_s())
            answer = await self._client.send(request, state.address, timeout_s)
        except ServiceUnreachableError:
            record.circuit.note_failure(now_s(), is_conclusive=True)
            return state.did_not_run(NoBytesSentProof.NO_CONNECTION)
        except ServiceRefusedError:
            record.circuit.note_abandoned(now_s())
            return state.did_not_run(NoBytesSentProof.EXPLICIT_REFUSAL)
        except ServiceBrokenError as error:
            record.circuit.note_failure(now_s())
            return Failure(state.unresolved(UnresolvedCode.OUTCOME_UNKNOWN, str(error)).problem)
        finally:
            self._fleet.note_finished(state.address, False)
        record.circuit.note_success()
        self._fleet.note_service_time(request.pool, now_s() - started_s)
        return Success(answer)
