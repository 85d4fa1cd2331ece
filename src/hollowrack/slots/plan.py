"""Which owner should have how many slots at each worker: a pure plan.

Shares first keep every owner going, then follow priority and the time until results are due; items
stay where they run as far as the shares allow.
"""

import heapq
import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# A trainer that gets nothing while others are served falls behind for good: each one keeps this
# share of what an equal division would give it.
FLOOR_SHARE = 0.25
# Where that is less than a slot: one item after the other still ends.
MIN_FLOOR_SLOTS = 1


@dataclass(frozen=True)
class WorkDemand:
    """Unfinished items of one job.

    Attributes:
        priority: Priority of its route, 0 first.
        due_in_s: Time until its results are due, in seconds; infinite if no time is stated.
        num_running: How many items run.
        num_waiting: How many items wait for a slot.
        incarnations: Where they may run.
    """

    priority: int
    due_in_s: float
    num_running: int
    num_waiting: int
    incarnations: Sequence[str]


@dataclass(frozen=True)
class OwnerDemand:
    """What one owner has and needs.

    Attributes:
        in_flight: What it has in flight, by life.
        work: Its open work.
        held: Its slots by the last grant, by life. Work stays with them: slots that move from one
            owner to another and back stand idle on the way.
    """

    in_flight: Mapping[str, int]
    work: Sequence[WorkDemand]
    held: Mapping[str, int] = field(default_factory=dict)

    def expected_in_flight(self) -> dict[str, int]:
        """Return what the owner will have in flight by the last grant, by life.

        What runs beyond that grant is about to end, and what waits is about to take the rest of it.
        """
        has_waiting = any(work.num_waiting > 0 for work in self.work)
        kept = dict(self.in_flight)
        for life, count in self.held.items():
            kept[life] = count if has_waiting else min(count, kept.get(life, 0))
        return kept


@dataclass(frozen=True)
class SlotPlan:
    """Planned slots.

    Attributes:
        slots: By owner and life.
        is_contended: Whether some work has no slot.
        num_unplaced: How many items have no slot.
    """

    slots: Mapping[str, Mapping[str, int]]
    is_contended: bool
    num_unplaced: int

    def at(self, owner: str, life: str) -> int:
        """Return how many slots an owner should have at a life."""
        return self.slots.get(owner, {}).get(life, 0)


@dataclass
class _OpenDemand:
    """What is left to be placed of one owner's work.

    Attributes:
        owner: The owner.
        demand: The work.
        num_running: Running items that have no planned slot yet.
        num_waiting: Waiting items that have none.
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

    def note_placed(self, count: int) -> None:
        """Some items have planned slots now: the running ones first."""
        num_running = min(count, self.num_running)
        self.num_running -= num_running
        self.num_waiting -= count - num_running


def plan_slots(capacity: Mapping[str, int], owners: Mapping[str, OwnerDemand]) -> SlotPlan:
    """Plan the slots of a service.

    Args:
        capacity: Slots of each life.
        owners: What each owner has and needs, by its name.
    """
    return _Planner(capacity, owners).plan()


class _Planner:
    """The slots planned so far.

    Work that has a slot counts as planned; a slot where something runs that is not planned yet is
    taken only when no other will do.
    """

    def __init__(self, capacity: Mapping[str, int], owners: Mapping[str, OwnerDemand]) -> None:
        self._capacity = capacity
        self._owners = owners
        self._names = sorted(owners)
        self._planned: dict[str, dict[str, int]] = {name: {} for name in self._names}
        self._room = dict(capacity)
        self._free = dict(capacity)
        # Each places up to some items of a demand, and returns how many it placed.
        self._steps = (
            self._keep_running_in_held,
            self._keep_held,
            self._keep_running,
            self._place_anew,
        )
        self._kept = {name: owner.expected_in_flight() for name, owner in owners.items()}
        for kept in self._kept.values():
            for life, count in kept.items():
                if life in self._free:
                    self._free[life] -= count

    def plan(self) -> SlotPlan:
        demands = self._open_demands()
        self._place_floors(demands)
        for _, equals in itertools.groupby(demands, key=_urgency):
            self._place_equals(list(equals))
        num_unplaced = sum(demand.num_open for demand in demands)
        self._deal_out_rest()
        return SlotPlan(self._planned, num_unplaced > 0, num_unplaced)

    def _open_demands(self) -> list[_OpenDemand]:
        """All open work, the most urgent first."""
        demands = [
            _OpenDemand(name, work)
            for name in self._names
            for work in self._owners[name].work
            if work.num_running + work.num_waiting > 0
        ]
        demands.sort(key=_urgency)
        return demands

    def _place_floors(self, demands: Sequence[_OpenDemand]) -> None:
        """Give every owner with open work a floor, for its most urgent work.

        Work that fits few workers goes first, as other work fits elsewhere.
        """
        names = {demand.owner for demand in demands}
        if not names:
            return
        equal_division = sum(self._capacity.values()) / len(names)
        left = dict.fromkeys(names, max(MIN_FLOOR_SLOTS, int(FLOOR_SHARE * equal_division)))
        ordered = sorted(demands, key=lambda demand: len(demand.demand.incarnations))
        for place in self._steps:
            for demand in ordered:
                left[demand.owner] -= place(demand, left[demand.owner])

    def _place_equals(self, demands: Sequence[_OpenDemand]) -> None:
        """Place work that is equally urgent: as evenly as it can be, then what is left."""
        level = _even_level([demand.num_open for demand in demands], sum(self._room.values()))
        left = [level] * len(demands)
        for place in self._steps:
            for position, demand in enumerate(demands):
                left[position] -= place(demand, left[position])
        for demand in demands:
            for place in self._steps:
                place(demand, demand.num_open)

    def _keep_running_in_held(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots that the owner holds for what runs there."""
        owner = self._owners[demand.owner]
        lives = [life for life in demand.demand.incarnations if owner.held.get(life, 0) > 0]
        counts = {life: min(owner.held[life], owner.in_flight.get(life, 0)) for life in lives}
        return self._keep(demand, counts, min(max_items, demand.num_running))

    def _keep_held(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots that the owner holds, those at the emptiest workers first."""
        held = self._owners[demand.owner].held
        lives = [life for life in demand.demand.incarnations if held.get(life, 0) > 0]
        lives.sort(key=lambda life: -self._free.get(life, 0))
        return self._keep(demand, {life: held[life] for life in lives}, max_items)

    def _keep_running(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots for what runs: first where new items could run as well."""
        in_flight = self._owners[demand.owner].in_flight
        elsewhere = sorted(in_flight.keys() - set(demand.demand.incarnations))
        counts = {
            life: in_flight.get(life, 0) for life in [*demand.demand.incarnations, *elsewhere]
        }
        return self._keep(demand, counts, min(max_items, demand.num_running))

    def _keep(self, demand: _OpenDemand, counts: Mapping[str, int], max_items: int) -> int:
        """Plan up to as many slots of the owner as are counted at each life."""
        planned = self._planned[demand.owner]
        num_left = min(max_items, demand.num_open)
        num_kept = 0
        for life, count in counts.items():
            if num_kept >= num_left:
                break
            num_unplanned = min(count - planned.get(life, 0), self._room.get(life, 0))
            num_here = min(num_unplanned, num_left - num_kept)
            if num_here > 0:
                self._take(demand.owner, life, num_here)
                num_kept += num_here
        demand.note_placed(num_kept)
        return num_kept

    def _place_anew(self, demand: _OpenDemand, max_items: int) -> int:
        """Plan slots where there is most room, one after the other."""
        num_wanted = min(max_items, demand.num_open)
        if num_wanted <= 0:
            return 0
        heap = [
            (-self._free[life], -self._room[life], position, life)
            for position, life in enumerate(demand.demand.incarnations)
            if self._room.get(life, 0) > 0
        ]
        heapq.heapify(heap)
        num_placed = 0
        while heap and num_placed < num_wanted:
            _, _, position, life = heapq.heappop(heap)
            self._take(demand.owner, life, 1)
            num_placed += 1
            if self._room[life] > 0:
                heapq.heappush(heap, (-self._free[life], -self._room[life], position, life))
        demand.note_placed(num_placed)
        return num_placed

    def _take(self, owner: str, life: str, count: int) -> None:
        planned = self._planned[owner].get(life, 0)
        num_beyond_kept = planned + count - max(self._kept[owner].get(life, 0), planned)
        self._planned[owner][life] = planned + count
        self._room[life] -= count
        self._free[life] -= max(0, num_beyond_kept)

    def _deal_out_rest(self) -> None:
        """Deal out the slots that no work needs, evenly over the owners."""
        if not self._names:
            return
        turn = 0
        for life in sorted(self._room):
            for _ in range(self._room[life]):
                planned = self._planned[self._names[turn % len(self._names)]]
                planned[life] = planned.get(life, 0) + 1
                turn += 1
            self._room[life] = 0


def _urgency(demand: _OpenDemand) -> tuple[int, float]:
    """Rank of a demand, the lowest first."""
    return (demand.demand.priority, demand.demand.due_in_s)


def _even_level(counts: Sequence[int], room: int) -> int:
    """The highest level to which every count may be served within the room."""
    level = 0
    for position, count in enumerate(sorted(counts)):
        num_sharing = len(counts) - position
        if (count - level) * num_sharing > room:
            return level + room // num_sharing
        room -= (count - level) * num_sharing
        level = count
    return level
