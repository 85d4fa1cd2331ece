"""An owner's side: how many requests it may have in flight at each worker."""

import itertools
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.results import Problem, ResultCode
from hollowrack.slots.log_interval_limiter import LogIntervalLimiter
from hollowrack.slots.shares import equal_share
from hollowrack.slots.types import (
    MAX_INCARNATIONS,
    MAX_WORK,
    OpenWork,
    OpenWorkSource,
    SlotGrant,
    SlotReport,
    validate_grant,
)

# The first grant takes one message to the leader and its answer, and a leader that hears of a new
# owner may refuse for half a second. Work that began before it would overfill workers whose slots
# others have; without a leader it must not wait for long.
FIRST_GRANT_TIMEOUT_S = 0.6
# A busy queue asks thousands of times a second; owners become known a few times a second at most.
EQUAL_SHARE_TTL_S = 0.1
# Until the next leader acts nobody grants what owners had last, so that they go on with it: equal
# shares beside what runs already would overfill workers. A leader is there again within this time;
# longer than that, shares must not stay as they were, as work changes.
EXPIRED_GRANT_GRACE_S = 10.0
# Reports tell at least this often whether there is an arbiter.
NO_ARBITER_TTL_S = 1.5
# Shares change several times a second; one line a second, in seconds, keeps a day readable.
SHARE_LOG_INTERVAL_S = 1.0


@dataclass(frozen=True)
class _HeldGrant:
    """The grant in force.

    Attributes:
        fencing_token: Of the arbiter.
        number: Number of the report that it answers.
        limits: By life.
        from_s: When that report was sent, in seconds.
        ends_s: When it ends, in seconds.
        is_contended: Whether there is more work than slots.
        has_waiting: Whether work of any owner waits for a slot.
        num_owed: Slots planned for this node that others may still be spending.
    """

    fencing_token: int
    number: int
    limits: dict[WorkerIncarnation, int]
    from_s: float
    ends_s: float
    is_contended: bool
    has_waiting: bool
    num_owed: int


@dataclass
class _ServiceState:
    """What is held for one service.

    Attributes:
        joined_s: Since when this node has had jobs, in seconds.
        grant: The last grant.
        asked: The last report, if it may still be answered.
        asked_lives: The lives that it names.
        asked_s: When it was sent, in seconds.
        no_arbiter_s: When there certainly was none that grants, in seconds.
    """

    joined_s: float
    grant: _HeldGrant | None = None
    asked: SlotReport | None = None
    asked_lives: tuple[WorkerIncarnation, ...] = ()
    asked_s: float = 0.0
    no_arbiter_s: float = -float("inf")


@dataclass(frozen=True)
class SlotUsage:
    """How this node uses a service's slots, for figures.

    Attributes:
        granted: Slots that it may use; 0 without a grant.
        used: Requests in flight.
        is_contended: Whether there is more work than slots.
        grant_age_s: Age of the grant in force, in seconds; ``None`` without one.
    """

    granted: int
    used: int
    is_contended: bool
    grant_age_s: float | None


class SlotHolder:
    """The grants that this node holds; see :class:`hollowrack.forwarding.slot_limits.SlotLimits`.

    Args:
        owner: Name of this process.
        workers: The workers known.
        is_shared: Whether a service's slots are shared among owners.
        known_owners: Returns the processes that own unfinished jobs.
        source: Tells this node's work.

    Attributes:
        num_refused: How many grants were refused as void.
    """

    def __init__(
        self,
        owner: str,
        workers: WorkerDirectory,
        is_shared: Callable[[str], bool],
        known_owners: Callable[[], Collection[str]],
        source: OpenWorkSource,
    ) -> None:
        self.num_refused = 0
        self._owner = owner
        self._workers = workers
        self._is_shared = is_shared
        self._known_owners = known_owners
        self._source = source
        self._numbers = itertools.count(1)
        self._newest_token = 0
        self._states: dict[str, _ServiceState] = {}
        self._shares: dict[WorkerIncarnation, int] = {}
        self._shares_until_s = -float("inf")
        self._granted_listeners: list[Callable[[], None]] = []
        self._urgent_listeners: list[Callable[[], None]] = []
        self._shares_logged = LogIntervalLimiter(SHARE_LOG_INTERVAL_S)
        self._refusals_logged = LogIntervalLimiter(SHARE_LOG_INTERVAL_S)
        self._logged_shares: dict[str, tuple[int, bool]] = {}
        workers.on_end(self._note_end)

    def on_granted(self, listener: Callable[[], None]) -> None:
        """Call a listener with each new grant."""
        self._granted_listeners.append(listener)

    def on_urgent(self, listener: Callable[[], None]) -> None:
        """Call a listener when a report is due at once."""
        self._urgent_listeners.append(listener)

    def notify_waiting(self) -> None:
        """Work has come that has no slot."""
        self._note_urgent()

    def _note_end(self, worker: Worker) -> None:
        """A request is over: its slot may be free for another owner, who waits for it."""
        state = self._states.get(worker.service)
        if state is None or state.grant is None or not state.grant.has_waiting:
            return
        limit = state.grant.limits.get(worker.incarnation, 0)
        is_surplus = self._workers.num_in_flight(worker) >= limit
        if is_surplus or not self._source.has_waiting(worker.service):
            self._note_urgent()

    def _note_urgent(self) -> None:
        for listener in self._urgent_listeners:
            listener()

    # -- limits -----------------------------------------------------------------------------

    def limit(self, worker: Worker) -> int:
        """Return how many requests this node may have in flight at a worker."""
        if not self.shares_slots_of(worker.service):
            return worker.capacity
        granted = self.granted_limit(worker)
        if granted is not None:
            return granted
        state = self._state(worker.service)
        if state.grant is None and now_s() < state.joined_s + FIRST_GRANT_TIMEOUT_S:
            return 0
        last = self._last_limit(state, worker)
        return self._equal_share(worker) if last is None else last

    def _last_limit(self, state: _ServiceState, worker: Worker) -> int | None:
        """The limit by the grant that has ended, if no arbiter can have granted since."""
        now = now_s()
        if state.grant is None or now >= state.grant.ends_s + EXPIRED_GRANT_GRACE_S:
            return None
        if now >= state.no_arbiter_s + NO_ARBITER_TTL_S:
            return None
        return state.grant.limits.get(worker.incarnation)

    def record_no_arbiter(self, service: str) -> None:
        """No node grants slots now: none leads, or the one that does must wait until it may act."""
        state = self._states.get(service)
        if state is not None:
            state.no_arbiter_s = now_s()

    def granted_limit(self, worker: Worker) -> int | None:
        """Return the limit by the grant in force.

        Returns:
            The limit, 0 where the grant does not name the worker's life: the arbiter hears of it
            with the next report, and may have granted it to others; ``None`` without a grant.
        """
        state = self._states.get(worker.service)
        if state is None or state.grant is None or now_s() >= state.grant.ends_s:
            return None
        return state.grant.limits.get(worker.incarnation, 0)

    def shares_slots_of(self, service: str) -> bool:
        """Whether this node spends slots of a service that are shared."""
        return self._source.num_running > 0 and self._is_shared(service)

    def _equal_share(self, worker: Worker) -> int:
        now = now_s()
        if now >= self._shares_until_s:
            self._shares.clear()
            self._shares_until_s = now + EQUAL_SHARE_TTL_S
        life = worker.incarnation
        if life not in self._shares:
            owners = self._known_owners()
            self._shares[life] = equal_share(str(life), worker.capacity, self._owner, owners)
        return self._shares[life]

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = self._states[service] = _ServiceState(now_s())
        return state

    def held_services(self) -> list[str]:
        """Return the services at which this node may hold something."""
        return list(self._states)

    # -- reports ----------------------------------------------------------------------------

    def may_move_slots(self, service: str) -> bool:
        """Whether slots may move soon: work waits for them, or another owner may need them."""
        return _has_waiting(self._state(service)) or len(self._known_owners()) > 1

    def is_owed_slots(self, service: str) -> bool:
        """Whether work waits here for slots that others are about to free."""
        state = self._state(service)
        return state.grant is not None and state.grant.num_owed > 0 and _has_waiting(state)

    def report(self, service: str) -> SlotReport:
        """Return a report as of now; only its answer is accepted from now on."""
        state = self._state(service)
        workers = self._workers.serving(service)[:MAX_INCARNATIONS]
        lives = tuple(worker.incarnation for worker in workers)
        texts = tuple(str(life) for life in lives)
        positions = {text: index for index, text in enumerate(texts)}
        work = _most_urgent(self._source.open_work(service, positions))
        if not any(one.num_waiting for one in work):
            self._give_up_unused(state, workers)
        grant = state.grant
        is_in_force = grant is not None and now_s() < grant.ends_s
        state.asked = SlotReport(
            self._owner,
            service,
            next(self._numbers),
            grant.fencing_token if grant is not None and is_in_force else None,
            grant.number if grant is not None and is_in_force else 0,
            texts,
            tuple(max(0, self._workers.num_in_flight(worker)) for worker in workers),
            tuple(self.limit(worker) for worker in workers),
            work,
        )
        state.asked_lives = lives
        state.asked_s = now_s()
        return state.asked

    def _give_up_unused(self, state: _ServiceState, workers: list[Worker]) -> None:
        """Give up slots that this node does not use while work of others waits for them.

        They are free with this report, a message earlier than by a lower grant.
        """
        grant = state.grant
        if grant is None or not grant.has_waiting:
            return
        limits = {
            worker.incarnation: min(
                grant.limits[worker.incarnation], self._workers.num_in_flight(worker)
            )
            for worker in workers
            if worker.incarnation in grant.limits
        }
        state.grant = replace(grant, limits={**grant.limits, **limits})

    def leave(self, service: str) -> SlotReport | None:
        """Give up the slots of a service; returns the report that says so, if any are held."""
        if self._states.pop(service, None) is None:
            return None
        return SlotReport(
            self._owner, service, next(self._numbers), None, 0, (), (), (), (), is_leaving=True
        )

    def accept(self, grant: SlotGrant) -> bool:
        """Put a grant in force; returns whether it is."""
        state = self._states.get(grant.service)
        if state is None or state.asked is None:
            return self._refuse(grant, "no report of this node waits for it")
        problem = validate_grant(grant, state.asked)
        if problem is not None:
            return self._refuse(grant, str(problem))
        if grant.fencing_token < self._newest_token:
            problem = Problem(
                ResultCode.ORDER_FENCED, f"token {self._newest_token} was there before"
            )
            return self._refuse(grant, str(problem))
        self._newest_token = grant.fencing_token
        before = state.grant
        state.grant = _HeldGrant(
            grant.fencing_token,
            grant.number,
            {
                life: limit
                for life, limit in zip(state.asked_lives, grant.limits, strict=True)
                if limit is not None
            },
            state.asked_s,
            state.asked_s + grant.ttl_s,
            grant.is_contended,
            grant.has_waiting,
            grant.num_owed,
        )
        self._log_share(grant.service, state.grant, grant.arbiter)
        for listener in self._granted_listeners:
            listener()
        if before is not None and _gives_up_slots(before, state.grant):
            # Others get them once the arbiter knows that this grant is in force.
            self._note_urgent()
        return True

    def _refuse(self, grant: SlotGrant, reason: str) -> bool:
        self.num_refused += 1
        if self._refusals_logged.allow(now_s()):
            logging.warning(
                "slots: grant %d of %.64s under token %d refused, %d so far: %s",
                grant.number,
                grant.arbiter,
                grant.fencing_token,
                self.num_refused,
                reason,
            )
        return False

    def _log_share(self, service: str, grant: _HeldGrant, arbiter: str) -> None:
        share = (sum(grant.limits.values()), grant.is_contended)
        if self._logged_shares.get(service) == share or not self._shares_logged.allow(now_s()):
            return
        self._logged_shares[service] = share
        logging.info(
            "slots of %s: %d granted at %d workers by %s, %s, report %d of %.3f s ago",
            service,
            share[0],
            len(grant.limits),
            arbiter,
            "more work than slots" if grant.is_contended else "enough for all work",
            grant.number,
            now_s() - grant.from_s,
        )

    # -- figures ----------------------------------------------------------------------------

    def usage(self, service: str) -> SlotUsage:
        """Return how this node uses a service's slots."""
        used = sum(self._workers.num_in_flight(worker) for worker in self._workers.serving(service))
        state = self._states.get(service)
        grant = None if state is None else state.grant
        if grant is None or now_s() >= grant.ends_s:
            return SlotUsage(0, used, False, None)
        age_s = now_s() - grant.from_s
        return SlotUsage(sum(grant.limits.values()), used, grant.is_contended, age_s)


def _most_urgent(works: Iterable[OpenWork]) -> tuple[OpenWork, ...]:
    """As much work as one report may tell of."""

    def urgency(work: OpenWork) -> tuple[int, float]:
        return (work.priority, float("inf") if work.due_in_s is None else work.due_in_s)

    return tuple(sorted(works, key=urgency)[:MAX_WORK])


def _has_waiting(state: _ServiceState) -> bool:
    """Whether the last report told of waiting work."""
    return state.asked is not None and any(work.num_waiting > 0 for work in state.asked.work)


def _gives_up_slots(before: _HeldGrant, grant: _HeldGrant) -> bool:
    """Whether a grant holds fewer slots than the one before at some life."""
    return any(grant.limits.get(life, 0) < limit for life, limit in before.limits.items())
