"""Commands and outcomes of the sample ledger.

Every command is safe to repeat: applied twice it has the effect and the outcome of once.
"""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.rollout.types import Prompt, RunSettings, Sample


@message("ledger.open_run")
@dataclass(frozen=True)
class OpenRun:
    """Open the run, or check that it was opened with the same settings."""

    settings: RunSettings


@message("ledger.submit_step")
@dataclass(frozen=True)
class SubmitStep:
    """Create the slots of a step."""

    step: int
    prompts: tuple[Prompt, ...]


@message("ledger.commit_sample")
@dataclass(frozen=True)
class CommitSample:
    """Commit a sample to its slot; the first one wins."""

    sample: Sample


@message("ledger.hand_over")
@dataclass(frozen=True)
class HandOver:
    """Move committed samples of a step into the hand-over order; stale ones are voided."""

    step: int
    max_samples: int


@message("ledger.announce_version")
@dataclass(frozen=True)
class AnnounceVersion:
    """The trainer now holds this weight version."""

    version: int


@message("ledger.acknowledge")
@dataclass(frozen=True)
class Acknowledge:
    """The trainer has everything up to and including this cursor."""

    cursor: int


LedgerCommand = OpenRun | SubmitStep | CommitSample | HandOver | AnnounceVersion | Acknowledge


@message("ledger.outcome")
@dataclass(frozen=True)
class LedgerOutcome:
    """What a command came to.

    Attributes:
        code: Result code.
        detail: What is wrong, for a failure.
        num_voided: Samples voided as stale by this command.
    """

    code: int
    detail: str = ""
    num_voided: int = 0
