"""Requests of trainers as they pass from the node that was asked to the ledger's leader."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.rollout.types import HandedOverSample, RunSettings


@message("runs.read_samples")
@dataclass(frozen=True)
class ReadSamples:
    """Long poll for samples of a step.

    Attributes:
        run: Name of the run.
        step: The step the trainer is collecting.
        cursor: The last cursor the trainer has.
        max_samples: Most samples wanted.
        wait_s: Longest wait for the first one, in seconds.
    """

    run: str
    step: int
    cursor: int
    max_samples: int
    wait_s: float


@message("runs.samples")
@dataclass(frozen=True)
class Samples:
    """Answer to :class:`ReadSamples`.

    Attributes:
        samples: Samples after the cursor, in hand-over order.
        cursor: Cursor of the last one, or the given cursor if there is none.
        num_remaining: Slots of the step that were not handed over yet.
    """

    samples: tuple[HandedOverSample, ...]
    cursor: int
    num_remaining: int


@message("runs.read_status")
@dataclass(frozen=True)
class ReadRunStatus:
    """Asks for a run's status."""

    run: str


@dataclass(frozen=True)
class StepStatus:
    """Progress of one step."""

    step: int
    num_slots: int
    num_committed: int
    num_handed_over: int


@message("runs.status")
@dataclass(frozen=True)
class RunStatus:
    """Status of a run as its leader knows it.

    Attributes:
        run: Name of the run.
        leader: Node that leads the ledger.
        settings: As opened.
        trainer_version: Last announced version.
        last_cursor: Cursor of the last sample handed over.
        acknowledged: Cursor up to which the trainer has everything.
        num_voided: Samples voided as stale at hand-over.
        num_duplicates: Commits that lost to an earlier one.
        steps: Steps that are not whole, and the last whole one.
    """

    run: str
    leader: str
    settings: RunSettings
    trainer_version: int
    last_cursor: int
    acknowledged: int
    num_voided: int
    num_duplicates: int
    steps: tuple[StepStatus, ...]
