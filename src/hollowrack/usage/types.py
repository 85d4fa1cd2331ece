"""Usage messages between nodes, stored usage records, and interfaces for delivering them."""

from dataclasses import dataclass
from typing import Protocol

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.messages.codec import message

TenantCounts = dict[str, int]


@message("usage.process")
@dataclass(frozen=True)
class ProcessCounts:
    """The counts of one process; they never decrease.

    Attributes:
        process: Name of the process, unique across nodes and restarts.
        windows: Number of requests by window and tenant.
        complete_before: The process has counted all its requests of windows before this one; 0 from
            a process that does not send it.
    """

    process: str
    windows: dict[int, TenantCounts]
    complete_before: int = 0


@message("usage.push")
@dataclass(frozen=True)
class PushedCounts:
    """Counts that a node pushes to another one.

    Attributes:
        counts: The counts, one entry per process.
        leader: Name of the leader's process as known to the sender; empty if unknown, and from a
            process that does not send it.
    """

    counts: tuple[ProcessCounts, ...]
    leader: str = ""


@message("usage.taken")
@dataclass(frozen=True)
class CountsTaken:
    """Acknowledges pushed counts."""


@message("usage.report")
@dataclass(frozen=True)
class WindowReport:
    """The report of one window; immutable once stored.

    Attributes:
        window: Number of the window.
        counts: Number of requests by tenant.
    """

    window: int
    counts: TenantCounts


@message("usage.decided")
@dataclass(frozen=True)
class DecidedUsage:
    """Record of the decided windows in the coordination store.

    Attributes:
        next_window: The first undecided window.
        reports: Decided reports that may not have been delivered, oldest first.
    """

    next_window: int
    reports: tuple[WindowReport, ...] = ()


class UsagePeers(Protocol):
    """Pushes counts to other nodes."""

    async def push(self, address: str, pushed: PushedCounts) -> bool:
        """Push counts to a node; returns whether it acknowledged them."""


class UsageClient(Protocol):
    """Delivers reports to the platform."""

    async def report_usage(self, holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        """Deliver one report; an identical repeat has no effect."""
