"""What nodes tell each other of usage, and what is kept of it in the coordination store."""

from dataclasses import dataclass
from typing import Protocol

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.messages.codec import message

TenantCounts = dict[str, int]


@message("usage.process")
@dataclass(frozen=True)
class ProcessCounts:
    """What one process has counted; it only grows.

    Attributes:
        process: Name of the process, unique among all of all nodes.
        windows: Requests by tenant, for each window.
    """

    process: str
    windows: dict[int, TenantCounts]


@message("usage.push")
@dataclass(frozen=True)
class PushedCounts:
    """Counts that a node hands to another one.

    Attributes:
        counts: What processes have counted.
    """

    counts: tuple[ProcessCounts, ...]


@message("usage.taken")
@dataclass(frozen=True)
class CountsTaken:
    """The other node holds the counts now."""


@message("usage.report")
@dataclass(frozen=True)
class WindowReport:
    """The report of one window. Once it is stored it is never changed.

    Attributes:
        window: Number of the window.
        counts: Requests by tenant.
    """

    window: int
    counts: TenantCounts


@message("usage.decided")
@dataclass(frozen=True)
class DecidedUsage:
    """Which windows have been decided, as the coordination store keeps it.

    Attributes:
        next_window: The first window whose report is not decided.
        reports: Decided reports that may not have been delivered, oldest first.
    """

    next_window: int
    reports: tuple[WindowReport, ...] = ()


class UsagePeers(Protocol):
    """Hands counts to other nodes."""

    async def push(self, address: str, pushed: PushedCounts) -> bool:
        """Hand counts over; returns whether the other node holds them for sure."""


class UsageClient(Protocol):
    """Delivers reports to the platform."""

    async def report_usage(self, holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        """Deliver one report; an exact repeat does nothing."""
