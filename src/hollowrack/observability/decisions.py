"""Log of a node's decisions with their subjects, outcomes and inputs."""

import time
from collections import deque
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from absl import logging

DEFAULT_MAX_RECORDS = 8192


class DecisionKind(Enum):
    """Kind of a decision."""

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
    """A recorded decision.

    Attributes:
        kind: Kind of the decision.
        subject: Identifier of the request, sample, engine, step or bundle; parts are separated
            by ``/``.
        outcome: Result of the decision.
        inputs: Values on which the decision is based.
        at_s: Wall-clock time, in seconds since the Unix epoch; informational only.
    """

    kind: DecisionKind
    subject: str
    outcome: str
    inputs: dict[str, Any] = field(default_factory=dict)
    at_s: float = field(default_factory=time.time)

    def as_json(self) -> dict[str, Any]:
        """Return the decision as a JSON-compatible dictionary."""
        return asdict(self) | {"kind": self.kind.value}


class DecisionLog:
    """Ring buffer of recent decisions, also written to the structured log.

    Args:
        max_records: Maximum number of decisions kept.
    """

    def __init__(self, max_records: int = DEFAULT_MAX_RECORDS) -> None:
        self._records: deque[Decision] = deque(maxlen=max_records)

    def record(self, kind: DecisionKind, subject: str, outcome: str, **inputs: Any) -> None:
        """Record a decision and log it at debug level."""
        decision = Decision(kind, subject, outcome, inputs)
        self._records.append(decision)
        logging.debug("decision %s", decision.as_json())

    def find_by_subject(self, subject: str) -> list[Decision]:
        """Return the decisions about a subject or its sub-subjects, oldest first."""
        return [
            record
            for record in self._records
            if record.subject == subject or record.subject.startswith(subject + "/")
        ]

    def latest(self, max_records: int) -> list[Decision]:
        """Return the most recent decisions, oldest first."""
        return list(self._records)[-max_records:]
