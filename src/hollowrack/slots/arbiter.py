"""The arbiter: answers owners' reports with grants while this node leads and may act."""

from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from absl import logging

from hollowrack.results import Problem, ResultCode
from hollowrack.slots.allocator import GRANT_TTL_S, SlotAllocator
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.slots.types import SlotAnswer, SlotGrant, SlotRefusal, SlotReport, validate_report

# One line tells how slots are shared; more often it would fill the log of a busy leader.
LOG_INTERVAL_S = 1.0


class LeadershipView(Protocol):
    """Whether this node leads, and whether it may act."""

    @property
    def fencing_token(self) -> int | None:
        """Token of the leadership; ``None`` if this node does not lead."""

    @property
    def may_act(self) -> bool:
        """Whether no earlier leader's orders can be in force, and none of a later one."""


class SlotArbiter:
    """Shares the slots of all services among the owners that report.

    Args:
        name: Name of this process.
        leadership: Whether it may grant.
        capacity: Returns the slots of each life of a service; nothing if its slots are not shared.
        known_owners: Returns the owners that should report.

    Attributes:
        num_refused: How many reports were refused as malformed or late.
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
        self._began_s = 0.0
        self._books: dict[str, SlotAllocator] = {}
        self._refusals_logged = LogIntervalLimiter(LOG_INTERVAL_S)
        self._shares_logged: dict[str, LogIntervalLimiter] = {}

    def update_leadership(self, now_s: float) -> None:
        """Begin anew with each leadership: what an earlier one knew may have changed since."""
        if self._leadership.fencing_token != self._token:
            self._token = self._leadership.fencing_token
            self._began_s = now_s
            self._books.clear()

    def answer(self, report: SlotReport, now_s: float) -> SlotAnswer:
        """Answer a report.

        A leader that may not act yet only listens.

        Args:
            report: The report.
            now_s: The time, in seconds.
        """
        self.update_leadership(now_s)
        if self._token is None:
            return _refusal(Problem(ResultCode.NOT_LEADER, "this node does not lead", self._name))
        problem = validate_report(report)
        if problem is not None:
            return self._refuse(report, problem, now_s)
        capacity = self._capacity(report.service)
        if not capacity:
            detail = "its slots are not shared, or no worker of it is known"
            return _refusal(Problem(ResultCode.NO_BACK_END, detail, report.service))
        book = self._books.setdefault(report.service, SlotAllocator(self._began_s))
        problem = book.record_report(report, self._token, now_s)
        if problem is not None:
            return self._refuse(report, problem, now_s)
        if not self._leadership.may_act:
            detail = "grants of the last leader may be in force"
            return _refusal(Problem(ResultCode.NOT_LEADER, detail, self._name))
        return self._grant(self._token, book, report, capacity, now_s)

    def _grant(
        self,
        token: int,
        book: SlotAllocator,
        report: SlotReport,
        capacity: Mapping[str, int],
        now_s: float,
    ) -> SlotAnswer:
        for owner in book.remove_expired_owners(now_s):
            logging.info(
                "slots of %s: nothing heard of %s, its slots are free", report.service, owner
            )
        book.update_known_owners(self._known_owners(), now_s)
        limits: tuple[int | None, ...] | None = ()
        num_owed = 0
        if not report.is_leaving:
            book.update_plan(capacity, now_s)
            limits = book.grant(report.owner, capacity, now_s)
            num_owed = book.num_owed(report.owner)
        self._log_shares(report.service, book, capacity, now_s)
        if limits is None:
            detail = "not all owners of grants of the last leader are known yet"
            return _refusal(Problem(ResultCode.NOT_LEADER, detail, self._name))
        return SlotGrant(
            self._name,
            token,
            report.service,
            report.number,
            GRANT_TTL_S,
            limits,
            book.plan.is_contended,
            book.num_waiting() > 0,
            num_owed,
        )

    def _refuse(self, report: SlotReport, problem: Problem, now_s: float) -> SlotRefusal:
        self.num_refused += 1
        if self._refusals_logged.allow(now_s):
            logging.warning(
                "slots: report of %.64s refused, %d so far: %s",
                report.owner,
                self.num_refused,
                problem,
            )
        return _refusal(problem)

    def _log_shares(
        self, service: str, book: SlotAllocator, capacity: Mapping[str, int], now_s: float
    ) -> None:
        pace = self._shares_logged.setdefault(service, LogIntervalLimiter(LOG_INTERVAL_S))
        if not pace.allow(now_s):
            return
        shares = (
            f"{owner} {book.in_flight(owner)} of {book.num_reserved(owner)}"
            f" ({book.report_age_s(owner, now_s):.2f} s ago)"
            for owner in book.owners
        )
        logging.info(
            "slots of %s: %d at %d workers; in flight and granted: %s; %d items wait, %d unplaced",
            service,
            sum(capacity.values()),
            len(capacity),
            ", ".join(shares),
            book.num_waiting(),
            book.plan.num_unplaced,
        )


def _refusal(problem: Problem) -> SlotRefusal:
    return SlotRefusal(int(problem.code), problem.detail)
