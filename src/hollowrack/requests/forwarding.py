"""Forwards one request to a service worker and reads its whole answer."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.observability.decisions import DecisionKind, DecisionLog
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
from hollowrack.routing.choice import choose
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.types import BackEndKind, RouteRequest

CONNECT_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 4
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# A worker that answers 503 with this header, or 429, promises that it did not run the request.
NOT_RUN_HEADER = "X-Not-Run"
_FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key", "X-Request-Id")


@dataclass(frozen=True)
class ServiceRequest:
    """One request to a service pool.

    Attributes:
        request_id: Identifier of the request.
        pool: Service pool.
        method: HTTP method.
        path: Path and query below the worker's root.
        headers: The caller's headers.
        body: The body.
        is_safe: Whether it may be sent again after it may have run.
        zone: Zone of this node.
        timeout_s: Longest wait for the answer.
    """

    request_id: str
    pool: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    is_safe: bool
    zone: str
    timeout_s: float


class ServiceForwarder:
    """Forwards requests for one node.

    Args:
        fleet: The node's view of the back ends.
        session: HTTP session towards service workers.
        fresh_session: HTTP session that never reuses a connection, for unsafe requests: a kept
            connection may be closed under a request, which would leave its outcome open.
        budget: Retry budget.
        decisions: Where decisions are recorded.
        rng: Random source of the routing.
    """

    def __init__(
        self,
        fleet: FleetView,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        budget: RetryBudget,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._session = session
        self._fresh_session = fresh_session
        self._budget = budget
        self._decisions = decisions
        self._rng = rng

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
            route = RouteRequest(
                BackEndKind.SERVICE, request.pool, request.zone, excluded=frozenset(tried)
            )
            choice = choose(route, self._fleet.snapshot(now_s()), self._fleet.prefixes, self._rng)
            if isinstance(choice, Failure):
                return Failure(unresolved or choice.failure())
            address = choice.unwrap().address
            tried.add(address)
            scores = {entry.address: entry.cost_ms for entry in choice.unwrap().candidates}
            self._decisions.record(
                DecisionKind.ROUTE, request.request_id, address, attempt=attempt, cost_ms=scores
            )
            outcome = await self._attempt(request, state.dispatch(address), deadline_s)
            if isinstance(outcome, Admitted):
                state = outcome
                continue
            if isinstance(outcome, Failure) and request.is_safe:
                unresolved = outcome.failure()
                continue
            return outcome
        refused = state.refuse(NotRunCode.BACK_END_REFUSED, "no worker took the request")
        return Failure(unresolved or refused.problem)

    async def _attempt(
        self, request: ServiceRequest, state: Dispatched, deadline_s: float
    ) -> Admitted | Result[RecordedAnswer, Problem]:
        record = self._fleet.records[state.address]
        self._fleet.note_sent(state.address, False, now_s())
        try:
            answer = await self._send(request, state.address, deadline_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            record.circuit.note_failure(now_s(), is_conclusive=True)
            return state.did_not_run(NoBytesSentProof.NO_CONNECTION)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.circuit.note_failure(now_s())
            detail = f"{type(error).__name__}: {error}"
            return Failure(state.unresolved(UnresolvedCode.OUTCOME_UNKNOWN, detail).problem)
        finally:
            self._fleet.note_finished(state.address, False)
        if answer is None:
            record.circuit.note_abandoned(now_s())
            return state.did_not_run(NoBytesSentProof.EXPLICIT_REFUSAL)
        record.circuit.note_success()
        return Success(answer)

    async def _send(
        self, request: ServiceRequest, address: str, deadline_s: float
    ) -> RecordedAnswer | None:
        """Return the whole answer, or ``None`` if the worker refused without running."""
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, deadline_s - now_s()), sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {
            name: request.headers[name] for name in _FORWARDED_HEADERS if name in request.headers
        }
        session = self._session if request.is_safe else self._fresh_session
        url = f"http://{address}/{request.path.lstrip('/')}"
        async with session.request(
            request.method, url, data=request.body, headers=headers, timeout=timeout
        ) as response:
            if _is_refusal(response):
                return None
            body = await _read_bounded(response)
            content_type = response.headers.get("Content-Type", "application/octet-stream")
            return RecordedAnswer(response.status, content_type, body)


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return True
    return response.status == HTTPStatus.SERVICE_UNAVAILABLE and NOT_RUN_HEADER in response.headers


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    parts: list[bytes] = []
    num_bytes = 0
    async for part in response.content.iter_any():
        num_bytes += len(part)
        if num_bytes > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(f"the answer is over {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
    return b"".join(parts)
