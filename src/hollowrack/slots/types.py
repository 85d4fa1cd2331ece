"""What nodes tell each other to share the slots of workers, and bounds on what is accepted."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from hollowrack.messages.codec import message
from hollowrack.results import Problem, ResultCode

# Above what the largest fleet needs; whatever exceeds them comes from a fault, and would cost the
# arbiter memory and time.
MAX_INCARNATIONS = 4_096
MAX_WORK = 512
MAX_COUNT = 100_000
MAX_DUE_S = 1e9
MAX_PRIORITY = 1_000_000
MAX_NAME_LENGTH = 256
# Longer than any arbiter grants: a larger one would outlive the handover to the next arbiter.
MAX_TTL_S = 10.0


@message("slots.work")
@dataclass(frozen=True)
class OpenWork:
    """Unfinished items of one job at one service.

    Attributes:
        priority: Priority of its route, 0 first.
        due_in_s: Time until its results are due, in seconds, negative once they are late; ``None``
            if no time is stated.
        num_running: How many items run.
        num_waiting: How many items wait for a slot.
        lives: Where they may run: positions in the report's list of lives.
    """

    priority: int
    due_in_s: float | None
    num_running: int
    num_waiting: int
    lives: tuple[int, ...]


@message("slots.report")
@dataclass(frozen=True)
class SlotReport:
    """What an owner of jobs has in flight at the workers of a service, and what it needs.

    Attributes:
        owner: Name of the owner's process.
        service: The service.
        number: Number of the report; it rises.
        fencing_token: Of the arbiter whose grant is in force; ``None`` if none is.
        grant_number: Number of that grant.
        lives: Every life of a worker that the owner knows.
        in_flight: What it has in flight at each of them.
        limits: How much it may have in flight at each of them from now on: the grant's limits, or
            less if it gives slots up.
        work: Its open work.
        is_leaving: Whether it needs nothing more: whatever it was granted is free.
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
    """How many requests an owner may have in flight at each worker of a service.

    Attributes:
        arbiter: Name of the process that grants.
        fencing_token: Of its leadership; grants of lower ones are void.
        service: The service.
        number: Number of the report that it answers.
        ttl_s: How long it lasts, counted from when that report was sent, in seconds.
        limits: Limit at each life in the report's list; ``None`` where the arbiter knows of no
            such life.
        is_contended: Whether there is more work than slots.
        has_waiting: Whether work of any owner waits for a slot.
        num_owed: Slots planned for the owner that others may still be spending.
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
    """A report was not answered by a grant; what the owner has been granted stays in force.

    Attributes:
        code: Why, as a result code.
        detail: Why, in one sentence.
    """

    code: int
    detail: str


SlotAnswer = SlotGrant | SlotRefusal


class SlotPeers(Protocol):
    """Reports to other nodes."""

    async def report(self, address: str, report: SlotReport) -> SlotAnswer | None:
        """Report to the arbiter; ``None`` if no answer came, and it may have taken the report."""


class OpenWorkSource(Protocol):
    """Tells what work there is on this node."""

    @property
    def num_running(self) -> int:
        """How many unfinished jobs this node owns."""

    def has_waiting(self, service: str) -> bool:
        """Whether any item waits for a slot at a service."""

    def open_work(self, service: str, incarnation_positions: Mapping[str, int]) -> list[OpenWork]:
        """Return the work at a service.

        Args:
            service: The service.
            incarnation_positions: Position of each life by its text.
        """


def validate_report(report: SlotReport) -> Problem | None:
    """Return what is wrong with a report; ``None`` if it may be used."""
    return next(_report_faults(report), None)


def validate_grant(grant: SlotGrant, report: SlotReport) -> Problem | None:
    """Return what is wrong with a grant; ``None`` if it may be used.

    Args:
        grant: The grant.
        report: The report that it should answer.
    """
    if grant.number != report.number or grant.service != report.service:
        return _invalid("the grant answers another report", "number")
    if not (math.isfinite(grant.ttl_s) and 0.0 < grant.ttl_s <= MAX_TTL_S):
        return _invalid(f"ttl_s is {grant.ttl_s}", "ttl_s")
    if len(grant.limits) != len(report.lives):
        return _invalid(f"{len(grant.limits)} limits of {len(report.lives)} lives", "limits")
    if not all(limit is None or 0 <= limit <= MAX_COUNT for limit in grant.limits):
        return _invalid("a limit is out of range", "limits")
    if not 0 <= grant.num_owed <= MAX_COUNT:
        return _invalid(f"num_owed is {grant.num_owed}", "num_owed")
    return None


def _report_faults(report: SlotReport) -> Iterator[Problem]:
    if not 0 < len(report.owner) <= MAX_NAME_LENGTH:
        yield _invalid("the name is empty or too long", "owner")
    if len(report.lives) > MAX_INCARNATIONS or len(set(report.lives)) != len(report.lives):
        yield _invalid("lives are too many, or one is named twice", "lives")
    if any(len(life) > MAX_NAME_LENGTH for life in report.lives):
        yield _invalid("a name is too long", "lives")
    for field, counts in (("in_flight", report.in_flight), ("limits", report.limits)):
        if len(counts) != len(report.lives):
            yield _invalid(f"{len(counts)} counts of {len(report.lives)} lives", field)
        if not all(0 <= count <= MAX_COUNT for count in counts):
            yield _invalid("a count is out of range", field)
    if len(report.work) > MAX_WORK:
        yield _invalid(f"{len(report.work)} entries", "work")
    for work in report.work:
        yield from _work_faults(work, len(report.lives))


def _work_faults(work: OpenWork, num_lives: int) -> Iterator[Problem]:
    due_in_s = work.due_in_s
    if due_in_s is not None and not (math.isfinite(due_in_s) and abs(due_in_s) <= MAX_DUE_S):
        yield _invalid(f"due_in_s is {due_in_s}", "work.due_in_s")
    if not 0 <= work.priority <= MAX_PRIORITY:
        yield _invalid(f"priority is {work.priority}", "work.priority")
    if not all(0 <= count <= MAX_COUNT for count in (work.num_running, work.num_waiting)):
        yield _invalid("a count is out of range", "work")
    if not _are_positions(work.lives, num_lives):
        yield _invalid("no such life", "work.lives")


def _are_positions(positions: tuple[int, ...], num_lives: int) -> bool:
    return len(positions) <= num_lives and all(0 <= index < num_lives for index in positions)


def _invalid(detail: str, place: str) -> Problem:
    return Problem(ResultCode.MESSAGE_INVALID, detail, place)
