"""What the arbiter knows of the owners at one service, and how much each may be spending.

An owner may be spending what it has in flight, what it said it may, and what it was granted since:
answers may be lost, so a grant counts until a report names a later one or it has ended.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from hollowrack.results import Problem, ResultCode
from hollowrack.slots.plan import OwnerDemand, SlotPlan, WorkDemand, plan_slots
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import OpenWork, SlotReport

# Long enough to outlast several lost messages and the choice of another leader in most cases, and
# shorter than the handover to that leader, so that no grants of two arbiters overlap.
GRANT_TTL_S = 3.0
# Owners report several times a second: one that has said nothing for so long is gone, cut off or
# shares no slots, and the others need what would be kept for it.
FIRST_REPORT_TIMEOUT_S = 0.5
# Planning takes some 2 us for each job and worker; so it takes up to 4% of a core.
PLAN_AGE_PER_CELL_S = 50e-6
# However large the fleet, a plan follows a step of a few seconds, in seconds.
MAX_PLAN_AGE_S = 1.0
# Far more than nodes own jobs; bounds the memory that invented names take.
MAX_OWNERS = 512


@dataclass(frozen=True)
class _SentGrant:
    """A grant that its owner may be spending.

    Attributes:
        number: Number of the report that it answered.
        limits: By life.
        ends_s: When it has certainly ended, in seconds.
    """

    number: int
    limits: Mapping[str, int]
    ends_s: float


@dataclass
class _Owner:
    """What is known of one owner.

    Attributes:
        report: Its last report.
        heard_s: When that came.
        demand: The same, for the plan.
        claims: How much it may be spending, by life.
        sent: Grants that it may be spending.
    """

    report: SlotReport
    heard_s: float
    demand: OwnerDemand
    claims: dict[str, int] = field(default_factory=dict)
    sent: list[_SentGrant] = field(default_factory=list)

    def last_s(self) -> float:
        """Until when the owner may be spending something, in seconds."""
        return max([self.heard_s + GRANT_TTL_S, *(grant.ends_s for grant in self.sent)])


class SlotAllocator:
    """The owners at one service, under one leadership.

    Args:
        began_s: When the leadership began, in seconds.
    """

    def __init__(self, began_s: float) -> None:
        self._began_s = began_s
        self._owners: dict[str, _Owner] = {}
        self._totals: Counter[str] = Counter()
        # Owners known by name only, and until when slots are kept for them.
        self._unheard_until_s: dict[str, float] = {}
        self._plan = SlotPlan({}, False, 0)
        self._planned_s = -float("inf")

    @property
    def owners(self) -> list[str]:
        """The owners that reported."""
        return sorted(self._owners)

    @property
    def plan(self) -> SlotPlan:
        """The last plan."""
        return self._plan

    def in_flight(self, owner: str) -> int:
        """Return how many requests an owner said it has in flight."""
        return sum(self._owners[owner].report.in_flight)

    def num_reserved(self, owner: str) -> int:
        """Return how many slots an owner may be spending."""
        return sum(self._owners[owner].claims.values())

    def num_waiting(self) -> int:
        """Return how many items wait, as far as owners said."""
        owners = self._owners.values()
        return sum(work.num_waiting for owner in owners for work in owner.report.work)

    def report_age_s(self, owner: str, now_s: float) -> float:
        """Return how long ago an owner reported, in seconds."""
        return now_s - self._owners[owner].heard_s

    def record_report(self, report: SlotReport, fencing_token: int, now_s: float) -> Problem | None:
        """Take in a report.

        Args:
            report: A report in which nothing is out of bounds.
            fencing_token: Of the arbiter's leadership.
            now_s: The time, in seconds.

        Returns:
            Why it is refused; ``None`` if it is not.
        """
        before = self._owners.get(report.owner)
        if before is not None and report.number <= before.report.number:
            detail = f"number {report.number}, but {before.report.number} was there before"
            return Problem(ResultCode.MESSAGE_INVALID, detail, "number")
        if before is None and len(self._owners) >= MAX_OWNERS:
            return Problem(ResultCode.OVERLOADED, f"there are {MAX_OWNERS} owners", report.owner)
        self._unheard_until_s.pop(report.owner, None)
        if report.is_leaving:
            self._forget(report.owner)
            return None
        sent = [] if before is None else before.sent
        if report.fencing_token == fencing_token:
            # The report itself tells the limits by the grant in force.
            sent = [grant for grant in sent if grant.number > report.grant_number]
        sent = [grant for grant in sent if grant.ends_s > now_s]
        owner = _Owner(report, now_s, _demand_of(report, sent), sent=sent)
        self._put(owner)
        return None

    def remove_expired_owners(self, now_s: float) -> list[str]:
        """Forget the owners whose grants have ended; returns their names."""
        silent = [name for name, owner in self._owners.items() if owner.last_s() <= now_s]
        for name in silent:
            self._forget(name)
            self._unheard_until_s[name] = now_s
        return silent

    def update_known_owners(self, known: Collection[str], now_s: float) -> None:
        """Note which owners there should be."""
        self._unheard_until_s = {
            name: until_s for name, until_s in self._unheard_until_s.items() if name in known
        }
        for name in known:
            if name not in self._owners and name not in self._unheard_until_s:
                until_s = max(now_s + FIRST_REPORT_TIMEOUT_S, self._began_s + GRANT_TTL_S)
                self._unheard_until_s[name] = until_s

    def update_plan(self, capacity: Mapping[str, int], now_s: float) -> None:
        """Plan anew, unless that was done just now.

        Args:
            capacity: Slots of each life.
            now_s: The time, in seconds.
        """
        num_jobs = sum(len(owner.demand.work) for owner in self._owners.values())
        max_age_s = min(MAX_PLAN_AGE_S, num_jobs * len(capacity) * PLAN_AGE_PER_CELL_S)
        is_new = self._plan.slots.keys() != self._owners.keys()
        if is_new or now_s - self._planned_s >= max_age_s:
            demands = {name: owner.demand for name, owner in self._owners.items()}
            self._plan = plan_slots(capacity, demands)
            self._planned_s = now_s
            # Lives that have ended must not stay for ever.
            self._totals += Counter()

    def grant(
        self, owner_name: str, capacity: Mapping[str, int], now_s: float
    ) -> tuple[int | None, ...] | None:
        """Return an owner's limits, in the order of its report, and count them as spent.

        An owner without a grant gets none while others may spend grants of an earlier leader.

        Args:
            owner_name: The owner; it has reported.
            capacity: Slots of each life.
            now_s: The time, in seconds.

        Returns:
            The limits, ``None`` for a life that the arbiter does not know; ``None`` for no grant.
        """
        owner = self._owners[owner_name]
        unheard = [name for name, end_s in self._unheard_until_s.items() if now_s < end_s]
        lives = [life for life in owner.report.lives if life in capacity]
        if self._may_meet_earlier_grants(unheard, now_s):
            if owner.report.fencing_token is None:
                return None
            # What runs beyond its limit ends without a successor: granted, its slot would be used
            # again beside the owner that an earlier leader has promised it to.
            before = dict(zip(owner.report.lives, owner.report.limits, strict=True))
            limits = {life: min(before[life], self._left(owner, life, capacity)) for life in lives}
        elif unheard:
            limits = {life: self._limit_beside(owner, life, capacity, unheard) for life in lives}
        else:
            limits = {
                life: min(self._plan.at(owner_name, life), self._left(owner, life, capacity))
                for life in lives
            }
        owner.sent.append(_SentGrant(owner.report.number, limits, now_s + GRANT_TTL_S))
        owner.demand = replace(owner.demand, held=limits)
        self._put(owner)
        return tuple(limits.get(life) for life in owner.report.lives)

    def num_owed(self, owner_name: str) -> int:
        """Return how many slots planned for an owner its last grant does not hold."""
        owner = self._owners[owner_name]
        limits = owner.sent[-1].limits if owner.sent else {}
        planned = self._plan.slots.get(owner_name, {})
        return sum(max(0, count - limits.get(life, 0)) for life, count in planned.items())

    def _may_meet_earlier_grants(self, unheard: Collection[str], now_s: float) -> bool:
        """Whether owners that are not heard of yet may spend grants of the leader before.

        A leader that had to wait for its leadership is past that. One that did not has the owners
        keep what they have meanwhile, which is what the leader before had granted.
        """
        age_s = now_s - self._began_s
        return age_s < FIRST_REPORT_TIMEOUT_S or (bool(unheard) and age_s < GRANT_TTL_S)

    def _limit_beside(
        self, owner: _Owner, life: str, capacity: Mapping[str, int], unheard: Collection[str]
    ) -> int:
        """An owner's limit while others that are known of use equal shares without a grant."""
        owners = [*self._owners, *unheard]
        slots = capacity[life]
        left = self._left(owner, life, capacity)
        left -= sum(equal_share(life, slots, other, owners) for other in unheard)
        share = equal_share(life, slots, owner.report.owner, owners)
        return max(0, min(max(owner.demand.in_flight[life], share), left))

    def _left(self, owner: _Owner, life: str, capacity: Mapping[str, int]) -> int:
        """How many slots of a life all others leave to an owner."""
        spent_by_others = self._totals[life] - owner.claims.get(life, 0)
        return max(0, capacity[life] - spent_by_others)

    def _put(self, owner: _Owner) -> None:
        """Keep what is known of an owner, and count anew what it may be spending."""
        report = owner.report
        before = self._owners.get(report.owner)
        if before is not None:
            self._totals.subtract(before.claims)
        owner.claims = _claims(owner)
        self._totals.update(owner.claims)
        self._owners[report.owner] = owner

    def _forget(self, name: str) -> None:
        owner = self._owners.pop(name, None)
        if owner is not None:
            self._totals.subtract(owner.claims)


def _claims(owner: _Owner) -> dict[str, int]:
    """How much an owner may be spending, by life."""
    report = owner.report
    claims = {
        life: max(in_flight, limit)
        for life, in_flight, limit in zip(
            report.lives, report.in_flight, report.limits, strict=True
        )
    }
    for grant in owner.sent:
        for life, limit in grant.limits.items():
            claims[life] = max(claims.get(life, 0), limit)
    return claims


def _demand_of(report: SlotReport, sent: Sequence[_SentGrant]) -> OwnerDemand:
    held: Mapping[str, int] = {}
    if sent:
        held = sent[-1].limits
    elif report.fencing_token is not None:
        held = dict(zip(report.lives, report.limits, strict=True))
    in_flight = dict(zip(report.lives, report.in_flight, strict=True))
    return OwnerDemand(in_flight, [_work_demand(work, report.lives) for work in report.work], held)


def _work_demand(work: OpenWork, lives: tuple[str, ...]) -> WorkDemand:
    return WorkDemand(
        work.priority,
        float("inf") if work.due_in_s is None else work.due_in_s,
        work.num_running,
        work.num_waiting,
        [lives[index] for index in work.lives],
    )
