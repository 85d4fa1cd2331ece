"""Slot allocator: the arbiter's state of the owners at one service.

The slots reserved for an owner at an incarnation are the maximum of its reported in-flight count,
its reported limit and the limits of later grants. Answers may be lost, so a grant counts until a
report names a later one or until it has expired.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from hollowrack.results import Problem, ResultCode
from hollowrack.slots.plan import OwnerDemand, SlotPlan, WorkDemand, plan_slots
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import OpenWork, SlotReport

# Outlasts several lost messages and most leader elections. Shorter than the wait of a new leader,
# so that grants of two arbiters never overlap.
GRANT_TTL_S = 3.0
# Several report intervals: a known owner without a report by then gets no slots reserved. It is
# down, unreachable or shares no slots, and other owners need them.
FIRST_REPORT_TIMEOUT_S = 0.5
# Lifetime of a plan per pair of job and worker. Planning takes about 2 us per pair, so it uses up
# to 4% of a core, and more only where MAX_PLAN_TTL_S applies.
PLAN_TTL_PER_JOB_AND_WORKER_S = 50e-6
# Short enough for the plan to follow steps of a few seconds in a fleet of any size.
MAX_PLAN_TTL_S = 1.0
# Far above the number of nodes that own jobs; bounds the memory that reports under invalid owner
# names can take.
MAX_OWNERS = 512


@dataclass(frozen=True)
class _SentGrant:
    """A grant that may be in force at its owner.

    Attributes:
        number: Number of the report that it answered.
        limits: Slots by incarnation.
        expires_s: Time by which it has expired at the owner, in seconds.
    """

    number: int
    limits: Mapping[str, int]
    expires_s: float


@dataclass
class _Owner:
    """State of one owner.

    Attributes:
        report: Its last report.
        received_s: Time of that report, in seconds.
        demand: Input of the plan, derived from the report.
        reserved: Slots reserved for it, by incarnation.
        sent_grants: Grants that may be in force, oldest first.
    """

    report: SlotReport
    received_s: float
    demand: OwnerDemand
    reserved: dict[str, int] = field(default_factory=dict)
    sent_grants: list[_SentGrant] = field(default_factory=list)

    def last_expiry_s(self) -> float:
        """Time at which all grants of the owner have expired, in seconds."""
        return max(
            [self.received_s + GRANT_TTL_S, *(grant.expires_s for grant in self.sent_grants)]
        )


class SlotAllocator:
    """Allocates the slots of one service to its owners, during one leadership.

    Args:
        leader_since_s: Start of the leadership, in seconds.
    """

    def __init__(self, leader_since_s: float) -> None:
        self._leader_since_s = leader_since_s
        self._owners: dict[str, _Owner] = {}
        self._num_reserved: Counter[str] = Counter()
        # Known owners that have not reported yet, and until when slots are reserved for them.
        self._unreported_until_s: dict[str, float] = {}
        self._plan = SlotPlan({}, False, 0)
        self._plan_time_s = -float("inf")

    @property
    def owners(self) -> list[str]:
        """Names of the owners that have reported, sorted."""
        return sorted(self._owners)

    @property
    def plan(self) -> SlotPlan:
        """The last plan."""
        return self._plan

    def in_flight(self, owner: str) -> int:
        """Return the number of in-flight requests in an owner's last report."""
        return sum(self._owners[owner].report.in_flight)

    def num_reserved(self, owner: str) -> int:
        """Return the number of slots reserved for an owner."""
        return sum(self._owners[owner].reserved.values())

    def num_waiting(self) -> int:
        """Return the number of waiting items in the last reports of all owners."""
        owners = self._owners.values()
        return sum(work.num_waiting for owner in owners for work in owner.report.work)

    def report_age_s(self, owner: str, now_s: float) -> float:
        """Return the age of an owner's last report, in seconds."""
        return now_s - self._owners[owner].received_s

    def record_report(self, report: SlotReport, fencing_token: int, now_s: float) -> Problem | None:
        """Record a report.

        Args:
            report: A validated report.
            fencing_token: Fencing token of the arbiter's leadership.
            now_s: Current time, in seconds.

        Returns:
            The reason if the report is rejected; ``None`` if it was recorded.
        """
        previous = self._owners.get(report.owner)
        if previous is not None and report.number <= previous.report.number:
            detail = (
                f"report number {report.number} is not above the last one, {previous.report.number}"
            )
            return Problem(ResultCode.MESSAGE_INVALID, detail, "number")
        if previous is None and len(self._owners) >= MAX_OWNERS:
            return Problem(
                ResultCode.OVERLOADED, f"limit of {MAX_OWNERS} owners reached", report.owner
            )
        self._unreported_until_s.pop(report.owner, None)
        if report.is_leaving:
            self._remove_owner(report.owner)
            return None
        sent_grants = [] if previous is None else previous.sent_grants
        if report.fencing_token == fencing_token:
            # The report contains the limits of the grant that it names.
            sent_grants = [grant for grant in sent_grants if grant.number > report.grant_number]
        sent_grants = [grant for grant in sent_grants if grant.expires_s > now_s]
        owner = _Owner(report, now_s, _demand_of(report, sent_grants), sent_grants=sent_grants)
        self._store_owner(owner)
        return None

    def remove_expired_owners(self, now_s: float) -> list[str]:
        """Remove the owners whose grants have all expired; returns their names."""
        expired = [name for name, owner in self._owners.items() if owner.last_expiry_s() <= now_s]
        for name in expired:
            self._remove_owner(name)
            self._unreported_until_s[name] = now_s
        return expired

    def update_known_owners(self, known: Collection[str], now_s: float) -> None:
        """Update the owners that are known but have not reported.

        Args:
            known: Names of all owners that are expected to report.
            now_s: Current time, in seconds.
        """
        self._unreported_until_s = {
            name: until_s for name, until_s in self._unreported_until_s.items() if name in known
        }
        for name in known:
            if name not in self._owners and name not in self._unreported_until_s:
                until_s = max(now_s + FIRST_REPORT_TIMEOUT_S, self._leader_since_s + GRANT_TTL_S)
                self._unreported_until_s[name] = until_s

    def update_plan(self, capacity: Mapping[str, int], now_s: float) -> None:
        """Compute the plan again if its owners changed or it has expired.

        Args:
            capacity: Slots of each incarnation.
            now_s: Current time, in seconds.
        """
        num_jobs = sum(len(owner.demand.work) for owner in self._owners.values())
        max_age_s = min(MAX_PLAN_TTL_S, num_jobs * len(capacity) * PLAN_TTL_PER_JOB_AND_WORKER_S)
        are_owners_changed = self._plan.slots.keys() != self._owners.keys()
        if are_owners_changed or now_s - self._plan_time_s >= max_age_s:
            demands = {name: owner.demand for name, owner in self._owners.items()}
            self._plan = plan_slots(capacity, demands)
            self._plan_time_s = now_s
            # Removes the zero counts of ended incarnations.
            self._num_reserved += Counter()

    def grant(
        self, owner_name: str, capacity: Mapping[str, int], now_s: float
    ) -> tuple[int | None, ...] | None:
        """Return an owner's new limits, in the order of its report, and reserve them.

        An owner without a grant gets none while grants of an earlier leader may be in force.

        Args:
            owner_name: An owner that has reported.
            capacity: Slots of each incarnation.
            now_s: Current time, in seconds.

        Returns:
            The limits, ``None`` for an incarnation that the arbiter does not know; ``None`` instead
            of limits if nothing can be granted yet.
        """
        owner = self._owners[owner_name]
        unreported = [name for name, until_s in self._unreported_until_s.items() if now_s < until_s]
        incarnations = [
            incarnation for incarnation in owner.report.lives if incarnation in capacity
        ]
        if self._may_earlier_grants_apply(unreported, now_s):
            if owner.report.fencing_token is None:
                return None
            # Requests above the reported limit are not covered: an earlier leader may have granted
            # their slots to another owner.
            previous = dict(zip(owner.report.lives, owner.report.limits, strict=True))
            limits = {
                incarnation: min(
                    previous[incarnation], self._num_available(owner, incarnation, capacity)
                )
                for incarnation in incarnations
            }
        elif unreported:
            limits = {
                incarnation: self._limit_with_unreported(owner, incarnation, capacity, unreported)
                for incarnation in incarnations
            }
        else:
            limits = {
                incarnation: min(
                    self._plan.at(owner_name, incarnation),
                    self._num_available(owner, incarnation, capacity),
                )
                for incarnation in incarnations
            }
        owner.sent_grants.append(_SentGrant(owner.report.number, limits, now_s + GRANT_TTL_S))
        owner.demand = replace(owner.demand, held=limits)
        self._store_owner(owner)
        return tuple(limits.get(incarnation) for incarnation in owner.report.lives)

    def num_owed(self, owner_name: str) -> int:
        """Return how many slots planned for an owner its last grant does not include."""
        owner = self._owners[owner_name]
        limits = owner.sent_grants[-1].limits if owner.sent_grants else {}
        planned = self._plan.slots.get(owner_name, {})
        return sum(
            max(0, count - limits.get(incarnation, 0)) for incarnation, count in planned.items()
        )

    def _may_earlier_grants_apply(self, unreported: Collection[str], now_s: float) -> bool:
        """Whether owners that have not reported yet may hold grants of an earlier leader.

        Until this is ruled out, owners keep the limits that they reported, which the earlier leader
        had granted. A leader that had to wait before it may act is already past this period.
        """
        age_s = now_s - self._leader_since_s
        return age_s < FIRST_REPORT_TIMEOUT_S or (bool(unreported) and age_s < GRANT_TTL_S)

    def _limit_with_unreported(
        self,
        owner: _Owner,
        incarnation: str,
        capacity: Mapping[str, int],
        unreported: Collection[str],
    ) -> int:
        """Limit of an owner while owners without a report may use equal shares."""
        owners = [*self._owners, *unreported]
        slots = capacity[incarnation]
        num_available = self._num_available(owner, incarnation, capacity)
        num_available -= sum(equal_share(incarnation, slots, other, owners) for other in unreported)
        share = equal_share(incarnation, slots, owner.report.owner, owners)
        return max(0, min(max(owner.demand.in_flight[incarnation], share), num_available))

    def _num_available(self, owner: _Owner, incarnation: str, capacity: Mapping[str, int]) -> int:
        """Slots of an incarnation that are not reserved for other owners."""
        reserved_by_others = self._num_reserved[incarnation] - owner.reserved.get(incarnation, 0)
        return max(0, capacity[incarnation] - reserved_by_others)

    def _store_owner(self, owner: _Owner) -> None:
        """Store an owner's state and update the reserved slots."""
        report = owner.report
        previous = self._owners.get(report.owner)
        if previous is not None:
            self._num_reserved.subtract(previous.reserved)
        owner.reserved = _reserved_slots(owner)
        self._num_reserved.update(owner.reserved)
        self._owners[report.owner] = owner

    def _remove_owner(self, name: str) -> None:
        owner = self._owners.pop(name, None)
        if owner is not None:
            self._num_reserved.subtract(owner.reserved)


def _reserved_slots(owner: _Owner) -> dict[str, int]:
    """Slots reserved for an owner, by incarnation."""
    report = owner.report
    reserved = {
        incarnation: max(in_flight, limit)
        for incarnation, in_flight, limit in zip(
            report.lives, report.in_flight, report.limits, strict=True
        )
    }
    for grant in owner.sent_grants:
        for incarnation, limit in grant.limits.items():
            reserved[incarnation] = max(reserved.get(incarnation, 0), limit)
    return reserved


def _demand_of(report: SlotReport, sent_grants: Sequence[_SentGrant]) -> OwnerDemand:
    held: Mapping[str, int] = {}
    if sent_grants:
        held = sent_grants[-1].limits
    elif report.fencing_token is not None:
        held = dict(zip(report.lives, report.limits, strict=True))
    in_flight = dict(zip(report.lives, report.in_flight, strict=True))
    return OwnerDemand(in_flight, [_work_demand(work, report.lives) for work in report.work], held)


def _work_demand(work: OpenWork, incarnations: tuple[str, ...]) -> WorkDemand:
    return WorkDemand(
        work.priority,
        float("inf") if work.due_in_s is None else work.due_in_s,
        work.num_running,
        work.num_waiting,
        [incarnations[index] for index in work.lives],
    )
