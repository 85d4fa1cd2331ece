"""Slot grants held by this node: limits on its requests in flight at each worker."""

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

# Covers a round trip to the leader and the time for which a new leader refuses to grant. Work
# started earlier would overload workers whose slots are granted to other owners.
FIRST_GRANT_TIMEOUT_S = 0.6
# Limits are read thousands of times per second, while the set of owners rarely changes.
EQUAL_SHARE_TTL_S = 0.1
# While no arbiter acts, the limits of an expired grant stay valid for this long: a switch to equal
# shares would overload workers where requests run already. Covers the election of a leader; after a
# longer time the limits no longer fit the work.
EXPIRED_GRANT_GRACE_S = 10.0
# Longer than the longest report interval: each report shows whether an arbiter acts.
NO_ARBITER_TTL_S = 1.5
# Shares change several times per second; one line per second keeps the log of a day readable.
SHARE_LOG_INTERVAL_S = 1.0


@dataclass(frozen=True)
class _HeldGrant:
    """The last grant accepted for a service.

    Attributes:
        fencing_token: Token of the arbiter's leadership.
        number: Number of the report that it answers.
        limits: Slots by incarnation.
        sent_s: Time at which that report was sent, in seconds.
        expires_s: Time at which the grant expires, in seconds.
        is_contended: Whether there is more work than slots.
        has_waiting: Whether work of any owner waits for a slot.
        num_owed: Slots planned for this node that are still reserved for others.
    """

    fencing_token: int
    number: int
    limits: dict[WorkerIncarnation, int]
    sent_s: float
    expires_s: float
    is_contended: bool
    has_waiting: bool
    num_owed: int


@dataclass
class _ServiceState:
    """State of one service.

    Attributes:
        joined_s: Time at which this node started to share its slots, in seconds.
        grant: Last grant, possibly expired.
        last_report: Last report; ``None`` before the first one.
        report_incarnations: Incarnations in the order of that report.
        report_sent_s: Time at which it was sent, in seconds.
        no_arbiter_s: Last time at which no arbiter was able to grant, in seconds.
    """

    joined_s: float
    grant: _HeldGrant | None = None
    last_report: SlotReport | None = None
    report_incarnations: tuple[WorkerIncarnation, ...] = ()
    report_sent_s: float = 0.0
    no_arbiter_s: float = -float("inf")


@dataclass(frozen=True)
class SlotUsage:
    """This node's use of a service's slots, for metrics.

    Attributes:
        granted: Slots granted to this node; 0 without a grant in force.
        used: Requests of this node in flight.
        is_contended: Whether there is more work than slots.
        grant_age_s: Age of the grant in force, in seconds; ``None`` without one.
    """

    granted: int
    used: int
    is_contended: bool
    grant_age_s: float | None


class SlotHolder:
    """Holds this node's grants, builds its reports, and derives the limit at each worker.

    Implements :class:`hollowrack.forwarding.slot_limits.SlotLimits`.

    Args:
        owner: Name of this process.
        workers: Directory of known workers.
        is_shared: Returns whether the slots of a service are shared among owners.
        known_owners: Returns the names of the processes that own unfinished jobs.
        source: Open work of this node.

    Attributes:
        num_refused: Grants rejected as invalid, outdated or not requested.
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
        self._shares_expire_s = -float("inf")
        self._granted_listeners: list[Callable[[], None]] = []
        self._urgent_listeners: list[Callable[[], None]] = []
        self._share_log_limiter = LogIntervalLimiter(SHARE_LOG_INTERVAL_S)
        self._refusal_log_limiter = LogIntervalLimiter(SHARE_LOG_INTERVAL_S)
        self._last_logged_shares: dict[str, tuple[int, bool]] = {}
        workers.on_request_end(self._handle_request_end)

    def on_granted(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each accepted grant."""
        self._granted_listeners.append(listener)

    def on_urgent(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a report is due immediately."""
        self._urgent_listeners.append(listener)

    def notify_waiting(self) -> None:
        """Request an immediate report, as new work has no slot."""
        self._notify_urgent()

    def _handle_request_end(self, worker: Worker) -> None:
        """Request an immediate report if a request that ended freed a slot for another owner."""
        state = self._states.get(worker.service)
        if state is None or state.grant is None or not state.grant.has_waiting:
            return
        limit = state.grant.limits.get(worker.incarnation, 0)
        is_surplus = self._workers.num_in_flight(worker) >= limit
        if is_surplus or not self._source.has_waiting(worker.service):
            self._notify_urgent()

    def _notify_urgent(self) -> None:
        for listener in self._urgent_listeners:
            listener()

    # -- limits -----------------------------------------------------------------------------

    def limit(self, worker: Worker) -> int:
        """Return the maximum number of requests of this node in flight at a worker.

        Without a grant in force, this is 0 until the first grant is overdue, then the limit of the
        expired grant while no arbiter acts, and otherwise an equal share.
        """
        if not self.shares_slots_of(worker.service):
            return worker.capacity
        granted = self.granted_limit(worker)
        if granted is not None:
            return granted
        state = self._state(worker.service)
        if state.grant is None and now_s() < state.joined_s + FIRST_GRANT_TIMEOUT_S:
            return 0
        expired_limit = self._expired_limit(state, worker)
        return self._equal_share(worker) if expired_limit is None else expired_limit

    def _expired_limit(self, state: _ServiceState, worker: Worker) -> int | None:
        """Limit of the expired grant; ``None`` if an arbiter may have granted its slots since."""
        now = now_s()
        if state.grant is None or now >= state.grant.expires_s + EXPIRED_GRANT_GRACE_S:
            return None
        if now >= state.no_arbiter_s + NO_ARBITER_TTL_S:
            return None
        return state.grant.limits.get(worker.incarnation)

    def record_no_arbiter(self, service: str) -> None:
        """Record that no node grants slots now: there is no leader, or it may not act yet."""
        state = self._states.get(service)
        if state is not None:
            state.no_arbiter_s = now_s()

    def granted_limit(self, worker: Worker) -> int | None:
        """Return the limit of the grant in force at a worker.

        Returns:
            The limit; 0 if the grant does not contain the worker's incarnation, whose slots may be
            granted to others; ``None`` without a grant in force.
        """
        state = self._states.get(worker.service)
        if state is None or state.grant is None or now_s() >= state.grant.expires_s:
            return None
        return state.grant.limits.get(worker.incarnation, 0)

    def shares_slots_of(self, service: str) -> bool:
        """Return whether this node owns jobs and the slots of the service are shared."""
        return self._source.num_running > 0 and self._is_shared(service)

    def _equal_share(self, worker: Worker) -> int:
        now = now_s()
        if now >= self._shares_expire_s:
            self._shares.clear()
            self._shares_expire_s = now + EQUAL_SHARE_TTL_S
        incarnation = worker.incarnation
        if incarnation not in self._shares:
            owners = self._known_owners()
            self._shares[incarnation] = equal_share(
                str(incarnation), worker.capacity, self._owner, owners
            )
        return self._shares[incarnation]

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = self._states[service] = _ServiceState(now_s())
        return state

    def held_services(self) -> list[str]:
        """Return the names of the services at which this node may hold slots."""
        return list(self._states)

    # -- reports ----------------------------------------------------------------------------

    def may_reassign_slots(self, service: str) -> bool:
        """Return whether slots may be reassigned soon: work waits, or there are other owners."""
        return _has_waiting(self._state(service)) or len(self._known_owners()) > 1

    def is_owed_slots(self, service: str) -> bool:
        """Return whether work waits for slots that are planned for this node, but not granted."""
        state = self._state(service)
        return state.grant is not None and state.grant.num_owed > 0 and _has_waiting(state)

    def report(self, service: str) -> SlotReport:
        """Build a report of the current state; only its answer is accepted from now on."""
        state = self._state(service)
        workers = self._workers.serving(service)[:MAX_INCARNATIONS]
        incarnations = tuple(worker.incarnation for worker in workers)
        texts = tuple(str(incarnation) for incarnation in incarnations)
        indices = {text: index for index, text in enumerate(texts)}
        work = _most_urgent(self._source.open_work(service, indices))
        if not any(entry.num_waiting for entry in work):
            self._release_unused(state, workers)
        grant = state.grant
        is_in_force = grant is not None and now_s() < grant.expires_s
        state.last_report = SlotReport(
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
        state.report_incarnations = incarnations
        state.report_sent_s = now_s()
        return state.last_report

    def _release_unused(self, state: _ServiceState, workers: list[Worker]) -> None:
        """Release unused slots if other owners have waiting work.

        Done with the report, one message earlier than through a lower grant.
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
        """Drop the state of a service; returns the report that releases its slots, if any."""
        if self._states.pop(service, None) is None:
            return None
        return SlotReport(
            self._owner, service, next(self._numbers), None, 0, (), (), (), (), is_leaving=True
        )

    def accept(self, grant: SlotGrant) -> bool:
        """Put a grant in force if it is valid; returns whether it was accepted."""
        state = self._states.get(grant.service)
        if state is None or state.last_report is None:
            return self._refuse(grant, "no report of this node awaits an answer")
        problem = validate_grant(grant, state.last_report)
        if problem is not None:
            return self._refuse(grant, str(problem))
        if grant.fencing_token < self._newest_token:
            problem = Problem(
                ResultCode.ORDER_FENCED, f"its fencing token is older than {self._newest_token}"
            )
            return self._refuse(grant, str(problem))
        self._newest_token = grant.fencing_token
        previous = state.grant
        state.grant = _HeldGrant(
            grant.fencing_token,
            grant.number,
            {
                incarnation: limit
                for incarnation, limit in zip(state.report_incarnations, grant.limits, strict=True)
                if limit is not None
            },
            state.report_sent_s,
            state.report_sent_s + grant.ttl_s,
            grant.is_contended,
            grant.has_waiting,
            grant.num_owed,
        )
        self._log_share(grant.service, state.grant, grant.arbiter)
        for listener in self._granted_listeners:
            listener()
        if previous is not None and _releases_slots(previous, state.grant):
            # The arbiter grants the released slots once it knows that this grant is in force.
            self._notify_urgent()
        return True

    def _refuse(self, grant: SlotGrant, reason: str) -> bool:
        self.num_refused += 1
        if self._refusal_log_limiter.allow(now_s()):
            logging.warning(
                "slots: grant in answer to report %d by arbiter %.64s with fencing token %d"
                " rejected, %d rejected so far: %s",
                grant.number,
                grant.arbiter,
                grant.fencing_token,
                self.num_refused,
                reason,
            )
        return False

    def _log_share(self, service: str, grant: _HeldGrant, arbiter: str) -> None:
        share = (sum(grant.limits.values()), grant.is_contended)
        if self._last_logged_shares.get(service) == share or not self._share_log_limiter.allow(
            now_s()
        ):
            return
        self._last_logged_shares[service] = share
        logging.info(
            "slots of %s: %d granted at %d workers by arbiter %s, %s, in answer to report %d sent"
            " %.3f s ago",
            service,
            share[0],
            len(grant.limits),
            arbiter,
            "more work than slots" if grant.is_contended else "enough slots for all work",
            grant.number,
            now_s() - grant.sent_s,
        )

    # -- metrics ----------------------------------------------------------------------------

    def usage(self, service: str) -> SlotUsage:
        """Return this node's use of a service's slots."""
        used = sum(self._workers.num_in_flight(worker) for worker in self._workers.serving(service))
        state = self._states.get(service)
        grant = None if state is None else state.grant
        if grant is None or now_s() >= grant.expires_s:
            return SlotUsage(0, used, False, None)
        age_s = now_s() - grant.sent_s
        return SlotUsage(sum(grant.limits.values()), used, grant.is_contended, age_s)


def _most_urgent(works: Iterable[OpenWork]) -> tuple[OpenWork, ...]:
    """Most urgent work, as much as one report may contain."""

    def urgency(work: OpenWork) -> tuple[int, float]:
        return (work.priority, float("inf") if work.due_in_s is None else work.due_in_s)

    return tuple(sorted(works, key=urgency)[:MAX_WORK])


def _has_waiting(state: _ServiceState) -> bool:
    """Whether the last report contained waiting work."""
    return state.last_report is not None and any(
        work.num_waiting > 0 for work in state.last_report.work
    )


def _releases_slots(previous: _HeldGrant, grant: _HeldGrant) -> bool:
    """Whether a grant has a lower limit than the previous one at some incarnation."""
    return any(
        grant.limits.get(incarnation, 0) < limit for incarnation, limit in previous.limits.items()
    )
