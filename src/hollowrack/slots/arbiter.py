"""Slot arbiter: answers owners' slot reports with grants while this node is the leader."""

from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from absl import logging

from hollowrack.results import Problem, ResultCode
from hollowrack.slots.allocator import GRANT_TTL_S, SlotAllocator
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.slots.types import SlotAnswer, SlotGrant, SlotRefusal, SlotReport, validate_report

# More frequent lines would fill the log of a busy leader.
LOG_INTERVAL_S = 1.0


class LeadershipView(Protocol):
    """Leadership state of this node."""

    @property
    def fencing_token(self) -> int | None:
        """Fencing token of the leadership; ``None`` if this node is not the leader."""

    @property
    def may_act(self) -> bool:
        """Whether this node leads and no orders of another leader can be in force."""


class SlotArbiter:
    """Allocates the slots of all shared services to the owners that report.

    Args:
        name: Name of this process.
        leadership: Leadership state of this node.
        capacity: Returns the slots of a service by worker incarnation; empty if the slots of the
            service are not shared.
        known_owners: Returns the owners that are expected to report.

    Attributes:
        num_refused: Reports rejected as malformed or out of order, or above the limit of owners.
    """

    def __init__(
        self,
        name: str,
        leadership: LeadershipView,
        capacity: Callable[[str], Mapping[str, int]],
        known_owners: Callable[[], Collection[str]],
    ) -> None:
        self.num_refused = 0
        self._name = name
        self._leadership = leadership
        self._capacity = capacity
        self._known_owners = known_owners
        self._token: int | None = None
        self._leader_since_s = 0.0
        self._allocators: dict[str, SlotAllocator] = {}
        self._refusal_log_limiter = LogIntervalLimiter(LOG_INTERVAL_S)
        self._share_log_limiters: dict[str, LogIntervalLimiter] = {}

    def update_leadership(self, now_s: float) -> None:
        """Discard all allocation state when the fencing token has changed."""
        if self._leadership.fencing_token != self._token:
            self._token = self._leadership.fencing_token
            self._leader_since_s = now_s
            self._allocators.clear()

    def answer(self, report: SlotReport, now_s: float) -> SlotAnswer:
        """Record a report and return a grant or a refusal.

        A leader that may not act yet records reports and refuses to grant.

        Args:
            report: Report of an owner.
            now_s: Current time, in seconds.
        """
        self.update_leadership(now_s)
        if self._token is None:
            return _refusal(
                Problem(ResultCode.NOT_LEADER, "this node is not the leader", self._name)
            )
        problem = validate_report(report)
        if problem is not None:
            return self._refuse(report, problem, now_s)
        capacity = self._capacity(report.service)
        if not capacity:
            detail = "slots of the service are not shared, or no worker of it is known"
            return _refusal(Problem(ResultCode.NO_BACK_END, detail, report.service))
        allocator = self._allocators.setdefault(report.service, SlotAllocator(self._leader_since_s))
        problem = allocator.record_report(report, self._token, now_s)
        if problem is not None:
            return self._refuse(report, problem, now_s)
        if not self._leadership.may_act:
            detail = "grants of the previous leader may still be in force"
            return _refusal(Problem(ResultCode.NOT_LEADER, detail, self._name))
        return self._grant(self._token, allocator, report, capacity, now_s)

    def _grant(
        self,
        token: int,
        allocator: SlotAllocator,
        report: SlotReport,
        capacity: Mapping[str, int],
        now_s: float,
    ) -> SlotAnswer:
        for owner in allocator.remove_expired_owners(now_s):
            logging.info(
                "slots of %s: no report from owner %s until its grants expired, slots released",
                report.service,
                owner,
            )
        allocator.update_known_owners(self._known_owners(), now_s)
        limits: tuple[int | None, ...] | None = ()
        num_owed = 0
        if not report.is_leaving:
            allocator.update_plan(capacity, now_s)
            limits = allocator.grant(report.owner, capacity, now_s)
            num_owed = allocator.num_owed(report.owner)
        self._log_shares(report.service, allocator, capacity, now_s)
        if limits is None:
            detail = "owners with grants of the previous leader may not have reported yet"
            return _refusal(Problem(ResultCode.NOT_LEADER, detail, self._name))
        return SlotGrant(
            self._name,
            token,
            report.service,
            report.number,
            GRANT_TTL_S,
            limits,
            allocator.plan.is_contended,
            allocator.num_waiting() > 0,
            num_owed,
        )

    def _refuse(self, report: SlotReport, problem: Problem, now_s: float) -> SlotRefusal:
        self.num_refused += 1
        if self._refusal_log_limiter.allow(now_s):
            logging.warning(
                "slots: report of owner %.64s rejected, %d rejected so far: %s",
                report.owner,
                self.num_refused,
                problem,
            )
        return _refusal(problem)

    def _log_shares(
        self, service: str, allocator: SlotAllocator, capacity: Mapping[str, int], now_s: float
    ) -> None:
        limiter = self._share_log_limiters.setdefault(service, LogIntervalLimiter(LOG_INTERVAL_S))
        if not limiter.allow(now_s):
            return
        shares = (
            f"{owner} {allocator.in_flight(owner)} of {allocator.num_reserved(owner)}"
            f" (reported {allocator.report_age_s(owner, now_s):.2f} s ago)"
            for owner in allocator.owners
        )
        logging.info(
            "slots of %s: %d at %d workers; in flight of reserved slots by owner: %s;"
            " %d items waiting, %d without a planned slot",
            service,
            sum(capacity.values()),
            len(capacity),
            ", ".join(shares),
            allocator.num_waiting(),
            allocator.plan.num_unplaced,
        )


def _refusal(problem: Problem) -> SlotRefusal:
    return SlotRefusal(int(problem.code), problem.detail)
