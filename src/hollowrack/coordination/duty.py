"""Duties: calls that one node at a time makes for all, under the leader's fencing token."""

from dataclasses import dataclass
from enum import Enum


class DutyOutcome(Enum):
    """What became of a call."""

    ACCEPTED = "accepted"
    UNAVAILABLE_HERE = "what is asked for cannot be had now"
    THROTTLED = "too many calls"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(frozen=True)
class DutyHolder:
    """Who makes a call.

    Attributes:
        node: The node that holds the duty.
        fencing_token: Rises whenever the holder changes.
    """

    node: str
    fencing_token: int
