"""Records of decisions: what was decided, about what, and from which inputs."""

import time
from collections import deque
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from absl import logging

DEFAULT_MAX_RECORDS = 8192


class DecisionKind(Enum):
    """Kinds of decisions a node takes."""

    ROUTE = "route"
    REFUSE = "refuse"
    RETRY = "retry"
    RESUME = "resume"
    HEDGE = "hedge"
    STOP_EARLY = "stop_early"
    VOID_STALE = "void_stale"
    COMMIT = "commit"
    DISCARD = "discard"
    EJECT = "eject"
    APPLY_BUNDLE = "apply_bundle"
    ORDER_ENGINE = "order_engine"
    CHANGE_GROUP = "change_group"


@dataclass(frozen=True)
class Decision:
    """One decision.

    Attributes:
        kind: What kind of decision it was.
        subject: Request, sample, engine, step or bundle it is about.
        outcome: What was decided.
        inputs: What it was decided from.
        at_s: Wall-clock time, in seconds since 1970, for people.
    """

    kind: DecisionKind
    subject: str
    outcome: str
    inputs: dict[str, Any] = field(default_factory=dict)
    at_s: float = field(default_factory=time.time)

    def as_json(self) -> dict[str, Any]:
        """Return the record in JSON form."""
        return asdict(self) | {"kind": self.kind.value}


class DecisionLog:
    """A bounded ring of the latest decisions, mirrored to the structured log.

    Args:
        max_records: Most decisions kept.
    """

    def __init__(self, max_records: int = DEFAULT_MAX_RECORDS) -> None:
        self._records: deque[Decision] = deque(maxlen=max_records)

    def record(self, kind: DecisionKind, subject: str, outcome: str, **inputs: Any) -> None:
        """Keep a decision."""
        decision = Decision(kind, subject, outcome, inputs)
        self._records.append(decision)
        logging.debug("decision %s", decision.as_json())

    def find_by_subject(self, subject: str) -> list[Decision]:
        """Return the decisions about a subject or anything below it, oldest first."""
        return [
            record
            for record in self._records
            if record.subject == subject or record.subject.startswith(subject + "/")
        ]

    def latest(self, max_records: int) -> list[Decision]:
        """Return the latest decisions, oldest first."""
        return list(self._records)[-max_records:]
