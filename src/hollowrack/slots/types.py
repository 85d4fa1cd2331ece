"""Messages for sharing worker slots between nodes, and their validation."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from hollowrack.messages.codec import message
from hollowrack.results import Problem, ResultCode

# Bounds on received messages, above the needs of the largest fleet: they limit the memory and time
# that a faulty message costs the arbiter.
MAX_INCARNATIONS = 4_096
MAX_WORK = 512
MAX_COUNT = 100_000
MAX_DUE_S = 1e9
MAX_PRIORITY = 1_000_000
MAX_NAME_LENGTH = 256
# A grant that lasts longer could overlap with grants of the next arbiter.
MAX_TTL_S = 10.0


@message("slots.work")
@dataclass(frozen=True)
class OpenWork:
    """Unfinished items of one job at one service.

    Attributes:
        priority: Priority of its route, 0 first.
        due_in_s: Time until its deadline, in seconds, negative after it; ``None`` without a
            deadline.
        num_running: Number of running items.
        num_waiting: Number of items that wait for a slot.
        lives: Incarnations at which they may run, as indices into :attr:`SlotReport.lives`.
    """

    priority: int
    due_in_s: float | None
    num_running: int
    num_waiting: int
    lives: tuple[int, ...]


@message("slots.report")
@dataclass(frozen=True)
class SlotReport:
    """An owner's in-flight requests at the workers of one service, and its demand for slots.

    Attributes:
        owner: Name of the owner's process.
        service: Name of the service.
        number: Sequence number of the report, strictly increasing per owner.
        fencing_token: Token of the arbiter whose grant is in force; ``None`` if none is.
        grant_number: Number of that grant, 0 if none is in force.
        lives: Worker incarnations known to the owner, without duplicates.
        in_flight: Requests in flight at each incarnation, in the order of ``lives``.
        limits: Maximum requests in flight at each incarnation from now on, in the order of
            ``lives``: the limits of the grant, or less where the owner releases slots.
        work: Open work of the owner.
        is_leaving: Whether the owner releases everything that it was granted.
    """

    owner: str
    service: str
    number: int
    fencing_token: int | None
    grant_number: int
    lives: tuple[str, ...]
    in_flight: tuple[int, ...]
    limits: tuple[int, ...]
    work: tuple[OpenWork, ...]
    is_leaving: bool = False


@message("slots.grant")
@dataclass(frozen=True)
class SlotGrant:
    """Limits on the requests that an owner may have in flight at each worker of a service.

    Attributes:
        arbiter: Name of the arbiter's process.
        fencing_token: Token of its leadership; a grant with a lower one is void.
        service: Name of the service.
        number: Number of the report that it answers.
        ttl_s: Lifetime of the grant, counted from the sending of that report, in seconds.
        limits: Limit at each incarnation in the order of :attr:`SlotReport.lives`; ``None`` where
            the arbiter does not know the incarnation.
        is_contended: Whether there is more work than slots.
        has_waiting: Whether work of any owner waits for a slot.
        num_owed: Slots planned for the owner that are still reserved for others.
    """

    arbiter: str
    fencing_token: int
    service: str
    number: int
    ttl_s: float
    limits: tuple[int | None, ...]
    is_contended: bool
    has_waiting: bool
    num_owed: int


@message("slots.refusal")
@dataclass(frozen=True)
class SlotRefusal:
    """Answer to a report without a grant; earlier grants stay in force.

    Attributes:
        code: Number of the result code.
        detail: Reason, for people.
    """

    code: int
    detail: str


SlotAnswer = SlotGrant | SlotRefusal


class SlotPeers(Protocol):
    """Transport of slot reports to other nodes."""

    async def report(self, address: str, report: SlotReport) -> SlotAnswer | None:
        """Send a report to the arbiter.

        Returns:
            The answer; ``None`` if none came, although the arbiter may have recorded the report.
        """


class OpenWorkSource(Protocol):
    """Open work of this node."""

    @property
    def num_running(self) -> int:
        """Number of unfinished jobs that this node owns."""

    def has_waiting(self, service: str) -> bool:
        """Return whether any item waits for a slot at a service."""

    def open_work(self, service: str, incarnation_positions: Mapping[str, int]) -> list[OpenWork]:
        """Return the open work at a service.

        Args:
            service: Name of the service.
            incarnation_positions: Index of each incarnation in the report, by its text.
        """


def validate_report(report: SlotReport) -> Problem | None:
    """Return the first problem of a report; ``None`` if it is valid."""
    return next(_report_problems(report), None)


def validate_grant(grant: SlotGrant, report: SlotReport) -> Problem | None:
    """Return the first problem of a grant; ``None`` if it is valid.

    Args:
        grant: Grant as received.
        report: Last report of this node, which the grant must answer.
    """
    if grant.number != report.number or grant.service != report.service:
        return _invalid("the grant answers another report", "number")
    if not (math.isfinite(grant.ttl_s) and 0.0 < grant.ttl_s <= MAX_TTL_S):
        return _invalid(f"ttl_s is out of range: {grant.ttl_s}", "ttl_s")
    if len(grant.limits) != len(report.lives):
        return _invalid(
            f"{len(grant.limits)} limits for {len(report.lives)} incarnations", "limits"
        )
    if not all(limit is None or 0 <= limit <= MAX_COUNT for limit in grant.limits):
        return _invalid("a limit is negative or too large", "limits")
    if not 0 <= grant.num_owed <= MAX_COUNT:
        return _invalid(f"num_owed is out of range: {grant.num_owed}", "num_owed")
    return None


def _report_problems(report: SlotReport) -> Iterator[Problem]:
    if not 0 < len(report.owner) <= MAX_NAME_LENGTH:
        yield _invalid("the name of the owner is empty or too long", "owner")
    if len(report.lives) > MAX_INCARNATIONS or len(set(report.lives)) != len(report.lives):
        yield _invalid("too many incarnations, or one is listed twice", "lives")
    if any(len(incarnation) > MAX_NAME_LENGTH for incarnation in report.lives):
        yield _invalid("the name of an incarnation is too long", "lives")
    for field, counts in (("in_flight", report.in_flight), ("limits", report.limits)):
        if len(counts) != len(report.lives):
            yield _invalid(f"{len(counts)} counts for {len(report.lives)} incarnations", field)
        if not all(0 <= count <= MAX_COUNT for count in counts):
            yield _invalid("a count is negative or too large", field)
    if len(report.work) > MAX_WORK:
        yield _invalid(f"too many entries: {len(report.work)}", "work")
    for work in report.work:
        yield from _work_problems(work, len(report.lives))


def _work_problems(work: OpenWork, num_incarnations: int) -> Iterator[Problem]:
    due_in_s = work.due_in_s
    if due_in_s is not None and not (math.isfinite(due_in_s) and abs(due_in_s) <= MAX_DUE_S):
        yield _invalid(f"due_in_s is out of range: {due_in_s}", "work.due_in_s")
    if not 0 <= work.priority <= MAX_PRIORITY:
        yield _invalid(f"priority is out of range: {work.priority}", "work.priority")
    if not all(0 <= count <= MAX_COUNT for count in (work.num_running, work.num_waiting)):
        yield _invalid("a count is negative or too large", "work")
    if not _are_valid_indices(work.lives, num_incarnations):
        yield _invalid("an incarnation index is out of range, or there are too many", "work.lives")


def _are_valid_indices(indices: tuple[int, ...], num_incarnations: int) -> bool:
    return len(indices) <= num_incarnations and all(
        0 <= index < num_incarnations for index in indices
    )


def _invalid(detail: str, place: str) -> Problem:
    return Problem(ResultCode.MESSAGE_INVALID, detail, place)
