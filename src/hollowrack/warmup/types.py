"""Bounds, messages and validation of permits for cold workers."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.messages.codec import message
from hollowrack.results import Problem, ResultCode

# Lifetime of a permit, counted from when the node sent its request for it. An answer that was
# delayed, or that a suspended leader sends later, has expired when it arrives.
PERMIT_TTL_S = 0.4
# Upper limit of the time to connect to a worker, ``CONNECT_TIMEOUT_S`` of the worker client.
MAX_CONNECT_S = 0.5
# All requests that arrive at a worker within one second were granted within this time.
GRANT_WINDOW_S = 1.0 + PERMIT_TTL_S + MAX_CONNECT_S
# A leader that has lost its leadership may not know yet: each one grants half of the bound.
MAX_CONCURRENT_LEADERS = 2

# Bounds on received messages, which limit what a faulty message costs the leader.
MAX_WANTS = 1_024
MAX_PERMITS = 1_000
MAX_PRIORITY = 1_000_000
MAX_NAME_LENGTH = 256
MAX_RETRY_S = 5.0


@dataclass(frozen=True)
class WarmupBounds:
    """Limit on the requests that a cold worker receives in any second.

    Attributes:
        overage: Factor of the rate that the worker sustains.
        slack: Number of requests above that.
    """

    overage: float
    slack: float

    def max_requests(self, requests_per_s: float) -> float:
        """Return how many requests a cold worker may receive in one second."""
        return requests_per_s * self.overage + self.slack

    def max_grants(self, requests_per_s: float) -> int:
        """Return how many permits one leader may grant within ``GRANT_WINDOW_S``.

        Zero if the bound leaves less than one request for each of two concurrent leaders.
        """
        share = math.floor(self.max_requests(requests_per_s) / MAX_CONCURRENT_LEADERS)
        return min(share, max(1, math.floor(requests_per_s * GRANT_WINDOW_S)))


@message("warmup.want")
@dataclass(frozen=True)
class PermitWant:
    """Permits that a node wants for one cold worker.

    Attributes:
        service: Name of the worker's service.
        worker_id: Identity of the worker.
        started_ms: Start of its incarnation as Unix time in milliseconds; 0 if unknown.
        number: Number of requests that wait for the worker.
        priority: Priority of these requests, 0 first.
        num_unpermitted: Requests that the node sent to the worker without a permit within the last
            ``GRANT_WINDOW_S``, while it did not know that the worker was cold; each is stated once.
    """

    service: str
    worker_id: str
    started_ms: int
    number: int
    priority: int
    num_unpermitted: int = 0

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The incarnation that the permits are for."""
        return WorkerIncarnation(self.worker_id, self.started_ms)


@message("warmup.request")
@dataclass(frozen=True)
class PermitRequest:
    """A node's request for permits for all cold workers that its requests wait for.

    Attributes:
        node: Name of the node's process.
        number: Sequence number of the request.
        wants: Permits wanted, in the order of the waiting requests.
    """

    node: str
    number: int
    wants: tuple[PermitWant, ...]


@message("warmup.grant")
@dataclass(frozen=True)
class PermitGrant:
    """Permits granted in answer to a request.

    Attributes:
        arbiter: Name of the leader's process.
        fencing_token: Token of its leadership; a grant with a lower one is void.
        number: Number of the request that it answers.
        counts: Number of permits granted for each want, in the order of the request.
        retry_in_s: Time until the node may ask again, in seconds.
    """

    arbiter: str
    fencing_token: int
    number: int
    counts: tuple[int, ...]
    retry_in_s: float


@message("warmup.refusal")
@dataclass(frozen=True)
class PermitRefusal:
    """Answer to a request that grants nothing.

    Attributes:
        code: Number of the result code.
        detail: Reason, for people.
    """

    code: int
    detail: str


PermitAnswer = PermitGrant | PermitRefusal


class PermitPeers(Protocol):
    """Transport of permit requests to other nodes."""

    async def request(self, address: str, request: PermitRequest) -> PermitAnswer | None:
        """Send a request to the leader.

        Returns:
            The answer; ``None`` if none came, although the leader may have granted permits.
        """


def validate_request(request: PermitRequest) -> Problem | None:
    """Return the first problem of a request; ``None`` if it is valid."""
    return next(_request_problems(request), None)


def validate_grant(grant: PermitGrant, request: PermitRequest) -> Problem | None:
    """Return the first problem of a grant; ``None`` if it is valid.

    Args:
        grant: Grant as received.
        request: Request of this node that it must answer.
    """
    if grant.number != request.number:
        return _invalid("the grant answers another request", "number")
    if len(grant.counts) != len(request.wants):
        return _invalid(f"{len(grant.counts)} counts for {len(request.wants)} wants", "counts")
    for count, want in zip(grant.counts, request.wants, strict=True):
        if not 0 <= count <= want.number:
            return _invalid(f"{count} permits for {want.number} wanted", "counts")
    if not (math.isfinite(grant.retry_in_s) and 0.0 <= grant.retry_in_s <= MAX_RETRY_S):
        return _invalid(f"retry_in_s is out of range: {grant.retry_in_s}", "retry_in_s")
    return None


def _request_problems(request: PermitRequest) -> Iterator[Problem]:
    if not 0 < len(request.node) <= MAX_NAME_LENGTH:
        yield _invalid("the name of the node is empty or too long", "node")
    if len(request.wants) > MAX_WANTS:
        yield _invalid(f"too many entries: {len(request.wants)}", "wants")
    for want in request.wants:
        if not 0 < len(want.service) <= MAX_NAME_LENGTH:
            yield _invalid("the name of the service is empty or too long", "wants.service")
        if not 0 < len(want.worker_id) <= MAX_NAME_LENGTH or want.started_ms < 0:
            yield _invalid("the incarnation of the worker is invalid", "wants.worker_id")
        if not 0 <= want.number <= MAX_PERMITS:
            yield _invalid(f"number is out of range: {want.number}", "wants.number")
        if not 0 <= want.priority <= MAX_PRIORITY:
            yield _invalid(f"priority is out of range: {want.priority}", "wants.priority")
        if not 0 <= want.num_unpermitted <= MAX_PERMITS:
            yield _invalid(
                f"num_unpermitted is out of range: {want.num_unpermitted}", "wants.num_unpermitted"
            )


def _invalid(detail: str, place: str) -> Problem:
    return Problem(ResultCode.MESSAGE_INVALID, detail, place)
