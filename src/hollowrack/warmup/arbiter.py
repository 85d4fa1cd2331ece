"""Permit arbiter: grants permits for cold workers while this node is the leader."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from absl import logging

from hollowrack.results import Problem, ResultCode
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.warmup.types import (
    GRANT_WINDOW_S,
    PermitAnswer,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
    PermitWant,
    WarmupBounds,
    validate_request,
)

# A node that wanted permits within this time is assumed to want them still.
PENDING_WANT_TTL_S = 0.5
# Shortest interval of one node's requests.
MIN_REQUEST_INTERVAL_S = 0.1
# Requests of all nodes together for which the leader sets longer intervals.
MAX_REQUESTS_PER_S = 200.0
MAX_REQUEST_INTERVAL_S = 1.0
LOG_INTERVAL_S = 1.0


class LeadershipView(Protocol):
    """Leadership state of this node."""

    @property
    def fencing_token(self) -> int | None:
        """Fencing token of the leadership; ``None`` if this node is not the leader."""

    @property
    def leading_since_s(self) -> float:
        """Time at which this node learnt of its last election, on the loop's clock."""

    @property
    def is_leader(self) -> bool:
        """Whether this node certainly holds the leader key."""


@dataclass
class _PendingWant:
    """What one node last wanted for a worker at one priority and did not get."""

    number: int
    until_s: float


@dataclass
class _WorkerGrants:
    """Permits of the recent past for one worker.

    Attributes:
        granted: Time and number of each grant within the window, oldest first.
        num_in_window: Sum of these numbers.
        num_paced: Permits that may be granted now so that the rate is even.
        paced_s: Time at which ``num_paced`` was computed; ``None`` before the first grant.
        pending_wants: Latest unmet wants by node and priority.
    """

    granted: deque[tuple[float, int]] = field(default_factory=deque)
    num_in_window: int = 0
    num_paced: float = 0.0
    paced_s: float | None = None
    pending_wants: dict[tuple[str, int], _PendingWant] = field(default_factory=dict)

    def add(self, number: int, now_s: float) -> None:
        """Count requests or permits of now."""
        if number > 0:
            self.granted.append((now_s, number))
            self.num_in_window += number

    def drop_expired(self, now_s: float) -> None:
        """Drop grants older than the window, and unmet wants that have ended."""
        while self.granted and now_s - self.granted[0][0] > GRANT_WINDOW_S:
            self.num_in_window -= self.granted.popleft()[1]
        ended = [key for key, pending in self.pending_wants.items() if pending.until_s <= now_s]
        for key in ended:
            del self.pending_wants[key]

    def refill(self, now_s: float, max_grants: int) -> None:
        """Add the permits of the time since the last call to the even rate."""
        # A burst of half the window's permits; the rest is spread over the window.
        max_burst = max(1, max_grants // 2)
        if self.paced_s is None:
            self.num_paced = max_burst
        else:
            refill = (now_s - self.paced_s) * max_grants / GRANT_WINDOW_S
            self.num_paced = min(max_burst, self.num_paced + refill)
        self.paced_s = now_s

    @property
    def is_idle(self) -> bool:
        """Whether nothing of it has to be kept."""
        return not self.granted and not self.pending_wants


class PermitArbiter:
    """Grants permits, at most half of the bound of each worker within ``GRANT_WINDOW_S``.

    Permits are counted per worker identity: an incarnation and the one before it, which some nodes
    may still know, share one count.

    Args:
        name: Name of this process.
        leadership: Leadership state of this node.
        bounds: Limit on the requests that a cold worker receives.
        requests_per_s: Returns the rate that a cold worker of a service sustains; 0 for no limit.

    Attributes:
        num_granted: Permits granted.
        num_refused: Requests rejected as malformed.
    """

    def __init__(
        self,
        name: str,
        leadership: LeadershipView,
        bounds: WarmupBounds,
        requests_per_s: Callable[[str], float],
    ) -> None:
        self.num_granted = 0
        self.num_refused = 0
        self._name = name
        self._leadership = leadership
        self._bounds = bounds
        self._requests_per_s = requests_per_s
        self._token: int | None = None
        self._workers: dict[str, _WorkerGrants] = {}
        self._asked_s: dict[str, float] = {}
        self._last_cleanup_s = 0.0
        self._log_limiter = LogIntervalLimiter(LOG_INTERVAL_S)
        self._grant_log_limiter = LogIntervalLimiter(LOG_INTERVAL_S)

    def update_leadership(self) -> None:
        """Start anew when the fencing token has changed."""
        token = self._leadership.fencing_token
        if token != self._token:
            self._token = token
            self._workers.clear()
            self._asked_s.clear()

    def answer(self, request: PermitRequest, now_s: float) -> PermitAnswer:
        """Return the permits for a request, or a refusal.

        Args:
            request: Request of a node.
            now_s: Current time, in seconds.
        """
        self.update_leadership()
        if self._token is None or not self._leadership.is_leader:
            return _refusal(Problem(ResultCode.NOT_LEADER, "this node is not the leader"))
        problem = validate_request(request)
        if problem is not None:
            self.num_refused += 1
            if self._log_limiter.allow(now_s):
                logging.warning(
                    "cold workers: request of node %.64s rejected, %d rejected so far: %s",
                    request.node,
                    self.num_refused,
                    problem,
                )
            return _refusal(problem)
        self._clean_up(now_s)
        self._asked_s[request.node] = now_s
        counts = tuple(self._grant(request.node, want, now_s) for want in request.wants)
        self.num_granted += sum(counts)
        if any(counts) and self._grant_log_limiter.allow(now_s):
            logging.info(
                "cold workers: %d permits granted so far, %d workers, %d nodes ask, token %d",
                self.num_granted,
                len(self._workers),
                len(self._asked_s),
                self._token,
            )
        return PermitGrant(
            self._name, self._token, request.number, counts, self._request_interval_s()
        )

    def _grant(self, node: str, want: PermitWant, now_s: float) -> int:
        max_grants = self._bounds.max_grants(self._requests_per_s(want.service))
        worker = self._workers.setdefault(want.worker_id, _WorkerGrants())
        worker.drop_expired(now_s)
        worker.refill(now_s, max_grants)
        worker.add(want.num_unpermitted, now_s)
        num_free = max_grants - worker.num_in_window
        number = 0
        if self._may_grant(now_s) and num_free > 0 and worker.num_paced >= 1.0:
            num_free = min(num_free, math.floor(worker.num_paced))
            number = min(want.number, self._share(worker, node, want.priority, num_free))
        worker.add(number, now_s)
        worker.num_paced -= number
        worker.pending_wants.pop((node, want.priority), None)
        if number < want.number:
            pending = _PendingWant(want.number - number, now_s + PENDING_WANT_TTL_S)
            worker.pending_wants[(node, want.priority)] = pending
        return number

    def _may_grant(self, now_s: float) -> bool:
        """Whether this leader has led for ``GRANT_WINDOW_S``.

        Permits of the previous leader may be in use for as long. Without the wait, two changes of
        the leader in quick succession would have three leaders grant within the window.
        """
        return now_s >= self._leadership.leading_since_s + GRANT_WINDOW_S

    @staticmethod
    def _share(worker: _WorkerGrants, node: str, priority: int, num_free: int) -> int:
        """Return how many of the free permits one node may have at one priority."""
        num_before = 0
        num_equal = 0
        for (other, other_priority), pending in worker.pending_wants.items():
            if other != node and other_priority < priority:
                num_before += pending.number
            elif other != node and other_priority == priority:
                num_equal += 1
        return math.ceil(max(0, num_free - num_before) / (1 + num_equal))

    def _request_interval_s(self) -> float:
        """Interval of the requests of one node, so that all nodes together ask seldom enough."""
        interval_s = len(self._asked_s) / MAX_REQUESTS_PER_S
        return min(MAX_REQUEST_INTERVAL_S, max(MIN_REQUEST_INTERVAL_S, interval_s))

    def _clean_up(self, now_s: float) -> None:
        if now_s - self._last_cleanup_s < GRANT_WINDOW_S:
            return
        self._last_cleanup_s = now_s
        oldest_s = now_s - MAX_REQUEST_INTERVAL_S
        self._asked_s = {node: at_s for node, at_s in self._asked_s.items() if at_s >= oldest_s}
        for worker_id, worker in list(self._workers.items()):
            worker.drop_expired(now_s)
            if worker.is_idle:
                del self._workers[worker_id]


def _refusal(problem: Problem) -> PermitRefusal:
    return PermitRefusal(int(problem.code), problem.detail)
