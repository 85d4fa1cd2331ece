"""Duties: calls to the platform that only the leader makes, under its fencing token."""

from dataclasses import dataclass
from enum import Enum


class DutyOutcome(Enum):
    """Outcome of a duty call."""

    ACCEPTED = "accepted"
    UNAVAILABLE = "currently unavailable"
    THROTTLED = "throttled"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(frozen=True)
class DutyHolder:
    """The caller of a duty call.

    Attributes:
        node: Name of the leader.
        fencing_token: The leader's fencing token; it increases with every change of leader.
    """

    node: str
    fencing_token: int
