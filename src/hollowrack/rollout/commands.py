"""Commands and outcomes of the sample ledger.

Commands are idempotent: a repeated command has no further effect and the same outcome.
"""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.rollout.types import Prompt, RunSettings, Sample


@message("ledger.open_run")
@dataclass(frozen=True)
class OpenRun:
    """Open the run; fails if it is open with other settings."""

    settings: RunSettings


@message("ledger.submit_step")
@dataclass(frozen=True)
class SubmitStep:
    """Create the sample slots of a step."""

    step: int
    prompts: tuple[Prompt, ...]


@message("ledger.commit_sample")
@dataclass(frozen=True)
class CommitSample:
    """Commit a sample to its slot; only the first commit to a slot succeeds."""

    sample: Sample


@message("ledger.hand_over")
@dataclass(frozen=True)
class HandOver:
    """Hand committed samples of a step over to the trainer; stale samples are voided."""

    step: int
    max_samples: int


@message("ledger.announce_version")
@dataclass(frozen=True)
class AnnounceVersion:
    """Record the weight version that the trainer holds."""

    version: int


@message("ledger.acknowledge")
@dataclass(frozen=True)
class Acknowledge:
    """Record that the trainer has received all samples up to and including this cursor."""

    cursor: int


LedgerCommand = OpenRun | SubmitStep | CommitSample | HandOver | AnnounceVersion | Acknowledge


@message("ledger.outcome")
@dataclass(frozen=True)
class LedgerOutcome:
    """Outcome of a command.

    Attributes:
        code: Value of a :class:`~hollowrack.results.ResultCode`.
        detail: Error detail; empty on success.
        num_voided: Samples voided as stale by this command.
    """

    code: int
    detail: str = ""
    num_voided: int = 0
