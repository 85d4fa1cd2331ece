"""Slot planner: computes how many slots each owner should have at each worker, without I/O.

Each owner with open work first gets a floor; the remaining slots go by priority and then by
deadline. Items stay where they run as far as possible.
"""

import heapq
import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Prevents starvation: each owner gets at least this fraction of an equal division. A trainer that
# gets no slots while others are served falls behind for good.
FLOOR_FRACTION = 0.25
# Where that fraction is less than a slot, the owner still completes one item after the other.
MIN_FLOOR_SLOTS = 1


@dataclass(frozen=True)
class WorkDemand:
    """Unfinished items of one job.

    Attributes:
        priority: Priority of its route, 0 first.
        due_in_s: Time until its deadline, in seconds; infinite without a deadline.
        num_running: Number of running items.
        num_waiting: Number of items that wait for a slot.
        incarnations: Incarnations at which they may run.
    """

    priority: int
    due_in_s: float
    num_running: int
    num_waiting: int
    incarnations: Sequence[str]


@dataclass(frozen=True)
class OwnerDemand:
    """Requests and demand of one owner.

    Attributes:
        in_flight: Requests in flight, by incarnation.
        work: Open work of the owner.
        held: Slots of its last grant, by incarnation. The plan prefers them, as a slot that is
            reassigned stays idle in between.
    """

    in_flight: Mapping[str, int]
    work: Sequence[WorkDemand]
    held: Mapping[str, int] = field(default_factory=dict)

    def expected_in_flight(self) -> dict[str, int]:
        """Return the requests in flight, by incarnation, once the last grant has taken effect.

        Requests above the grant will end; waiting items will use the rest of the grant.
        """
        has_waiting = any(work.num_waiting > 0 for work in self.work)
        expected = dict(self.in_flight)
        for incarnation, count in self.held.items():
            expected[incarnation] = (
                count if has_waiting else min(count, expected.get(incarnation, 0))
            )
        return expected


@dataclass(frozen=True)
class SlotPlan:
    """Planned slots of all owners.

    Attributes:
        slots: Number of slots by owner and incarnation.
        is_contended: Whether there are items without a planned slot.
        num_unplaced: Number of items without a planned slot.
    """

    slots: Mapping[str, Mapping[str, int]]
    is_contended: bool
    num_unplaced: int

    def at(self, owner: str, incarnation: str) -> int:
        """Return the number of slots planned for an owner at an incarnation."""
        return self.slots.get(owner, {}).get(incarnation, 0)


@dataclass
class _OpenDemand:
    """Items of one job that have no planned slot yet.

    Attributes:
        owner: Name of the job's owner.
        demand: Demand of the job.
        num_running: Running items without a planned slot.
        num_waiting: Waiting items without a planned slot.
    """

    owner: str
    demand: WorkDemand
    num_running: int = field(init=False)
    num_waiting: int = field(init=False)

    def __post_init__(self) -> None:
        self.num_running = self.demand.num_running
        self.num_waiting = self.demand.num_waiting

    @property
    def num_open(self) -> int:
        return self.num_running + self.num_waiting

    def record_placed(self, count: int) -> None:
        """Count items as placed, running ones first."""
        num_running = min(count, self.num_running)
        self.num_running -= num_running
        self.num_waiting -= count - num_running


def plan_slots(capacity: Mapping[str, int], owners: Mapping[str, OwnerDemand]) -> SlotPlan:
    """Plan the slots of a service.

    Args:
        capacity: Slots of each incarnation.
        owners: Requests and demand of each owner, by its name.
    """
    return _Planner(capacity, owners).plan()


class _Planner:
    """State of one planning run.

    Slots occupied by running items that have not been planned yet are used last.
    """

    def __init__(self, capacity: Mapping[str, int], owners: Mapping[str, OwnerDemand]) -> None:
        self._capacity = capacity
        self._owners = owners
        self._names = sorted(owners)
        self._planned: dict[str, dict[str, int]] = {name: {} for name in self._names}
        # Slots not planned for any owner yet, and slots that are neither planned nor expected to be
        # occupied by requests in flight; the latter may be negative.
        self._unplanned = dict(capacity)
        self._free = dict(capacity)
        # Placement steps in order of preference: each takes a demand and a maximum number of items,
        # and returns the number placed.
        self._steps = (
            self._place_running_at_held,
            self._place_at_held,
            self._place_running,
            self._place_remaining,
        )
        self._expected_in_flight = {
            name: owner.expected_in_flight() for name, owner in owners.items()
        }
        for expected in self._expected_in_flight.values():
            for incarnation, count in expected.items():
                if incarnation in self._free:
                    self._free[incarnation] -= count

    def plan(self) -> SlotPlan:
        demands = self._open_demands()
        self._place_floors(demands)
        for _, group in itertools.groupby(demands, key=_urgency):
            self._place_equally_urgent(list(group))
        num_unplaced = sum(demand.num_open for demand in demands)
        self._distribute_rest()
        return SlotPlan(self._planned, num_unplaced > 0, num_unplaced)

    def _open_demands(self) -> list[_OpenDemand]:
        """Return all open work, the most urgent first."""
        demands = [
            _OpenDemand(name, work)
            for name in self._names
            for work in self._owners[name].work
            if work.num_running + work.num_waiting > 0
        ]
        demands.sort(key=_urgency)
        return demands

    def _place_floors(self, demands: Sequence[_OpenDemand]) -> None:
        """Plan the floor of every owner with open work.

        Demands with few eligible workers are placed first.
        """
        names = {demand.owner for demand in demands}
        if not names:
            return
        equal_division = sum(self._capacity.values()) / len(names)
        left = dict.fromkeys(names, max(MIN_FLOOR_SLOTS, int(FLOOR_FRACTION * equal_division)))
        ordered = sorted(demands, key=lambda demand: len(demand.demand.incarnations))
        for step in self._steps:
            for demand in ordered:
                left[demand.owner] -= step(demand, left[demand.owner])

    def _place_equally_urgent(self, demands: Sequence[_OpenDemand]) -> None:
        """Place equally urgent demands: first evenly, then as far as slots are left."""
        cap = _even_cap([demand.num_open for demand in demands], sum(self._unplanned.values()))
        left = [cap] * len(demands)
        for step in self._steps:
            for index, demand in enumerate(demands):
                left[index] -= step(demand, left[index])
        for demand in demands:
            for step in self._steps:
                step(demand, demand.num_open)

    def _place_running_at_held(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan the slots held by the owner for the items that run there."""
        owner = self._owners[demand.owner]
        incarnations = [
            incarnation
            for incarnation in demand.demand.incarnations
            if owner.held.get(incarnation, 0) > 0
        ]
        counts = {
            incarnation: min(owner.held[incarnation], owner.in_flight.get(incarnation, 0))
            for incarnation in incarnations
        }
        return self._place_at_counts(demand, counts, min(max_items, demand.num_running))

    def _place_at_held(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots held by the owner, at the workers with most free slots first."""
        held = self._owners[demand.owner].held
        incarnations = [
            incarnation
            for incarnation in demand.demand.incarnations
            if held.get(incarnation, 0) > 0
        ]
        incarnations.sort(key=lambda incarnation: -self._free.get(incarnation, 0))
        return self._place_at_counts(
            demand, {incarnation: held[incarnation] for incarnation in incarnations}, max_items
        )

    def _place_running(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots for running items, at eligible incarnations first."""
        in_flight = self._owners[demand.owner].in_flight
        elsewhere = sorted(in_flight.keys() - set(demand.demand.incarnations))
        counts = {
            incarnation: in_flight.get(incarnation, 0)
            for incarnation in [*demand.demand.incarnations, *elsewhere]
        }
        return self._place_at_counts(demand, counts, min(max_items, demand.num_running))

    def _place_at_counts(
        self, demand: _OpenDemand, counts: Mapping[str, int], max_items: int
    ) -> int:
        """Plan slots up to the given count per incarnation, including those already planned.

        Returns:
            Number of slots planned, at most ``max_items``.
        """
        planned = self._planned[demand.owner]
        num_left = min(max_items, demand.num_open)
        num_placed = 0
        for incarnation, count in counts.items():
            if num_placed >= num_left:
                break
            num_unplanned = min(
                count - planned.get(incarnation, 0), self._unplanned.get(incarnation, 0)
            )
            num_added = min(num_unplanned, num_left - num_placed)
            if num_added > 0:
                self._plan_slots_at(demand.owner, incarnation, num_added)
                num_placed += num_added
        demand.record_placed(num_placed)
        return num_placed

    def _place_remaining(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots one by one at the incarnation with most free slots."""
        num_wanted = min(max_items, demand.num_open)
        if num_wanted <= 0:
            return 0
        heap = [
            (-self._free[incarnation], -self._unplanned[incarnation], index, incarnation)
            for index, incarnation in enumerate(demand.demand.incarnations)
            if self._unplanned.get(incarnation, 0) > 0
        ]
        heapq.heapify(heap)
        num_placed = 0
        while heap and num_placed < num_wanted:
            _, _, index, incarnation = heapq.heappop(heap)
            self._plan_slots_at(demand.owner, incarnation, 1)
            num_placed += 1
            if self._unplanned[incarnation] > 0:
                heapq.heappush(
                    heap,
                    (-self._free[incarnation], -self._unplanned[incarnation], index, incarnation),
                )
        demand.record_placed(num_placed)
        return num_placed

    def _plan_slots_at(self, owner: str, incarnation: str, count: int) -> None:
        planned = self._planned[owner].get(incarnation, 0)
        num_beyond_expected = (
            planned + count - max(self._expected_in_flight[owner].get(incarnation, 0), planned)
        )
        self._planned[owner][incarnation] = planned + count
        self._unplanned[incarnation] -= count
        self._free[incarnation] -= max(0, num_beyond_expected)

    def _distribute_rest(self) -> None:
        """Distribute the slots that no work needs evenly over the owners."""
        if not self._names:
            return
        next_owner = 0
        for incarnation in sorted(self._unplanned):
            for _ in range(self._unplanned[incarnation]):
                planned = self._planned[self._names[next_owner % len(self._names)]]
                planned[incarnation] = planned.get(incarnation, 0) + 1
                next_owner += 1
            self._unplanned[incarnation] = 0


def _urgency(demand: _OpenDemand) -> tuple[int, float]:
    """Sort key of a demand; the lowest is the most urgent."""
    return (demand.demand.priority, demand.demand.due_in_s)


def _even_cap(counts: Sequence[int], num_slots: int) -> int:
    """Return the highest cap on each count with which their sum does not exceed ``num_slots``."""
    cap = 0
    for index, count in enumerate(sorted(counts)):
        num_above = len(counts) - index
        if (count - cap) * num_above > num_slots:
            return cap + num_slots // num_above
        num_slots -= (count - cap) * num_above
        cap = count
    return cap
