"""Trainer requests that a node forwards to the leader of the run's ledger."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.rollout.types import HandedOverSample, RunSettings


@message("runs.read_samples")
@dataclass(frozen=True)
class ReadSamples:
    """Long poll for samples of a step.

    Attributes:
        run: Name of the run.
        step: The step to read.
        cursor: Cursor of the last sample that the trainer has received.
        max_samples: Maximum number of samples to return.
        wait_s: Timeout of the wait for the first sample, in seconds.
    """

    run: str
    step: int
    cursor: int
    max_samples: int
    wait_s: float


@message("runs.samples")
@dataclass(frozen=True)
class Samples:
    """Reply to :class:`ReadSamples`.

    Attributes:
        samples: Samples after the requested cursor, in hand-over order.
        cursor: Cursor of the last sample, or the requested cursor if there is none.
        num_remaining: Sample slots of the step that have not been handed over.
    """

    samples: tuple[HandedOverSample, ...]
    cursor: int
    num_remaining: int


@message("runs.read_status")
@dataclass(frozen=True)
class ReadRunStatus:
    """Request for the status of a run; the reply is :class:`RunStatus`."""

    run: str


@dataclass(frozen=True)
class StepStatus:
    """Progress of one step, in samples."""

    step: int
    num_slots: int
    num_committed: int
    num_handed_over: int


@message("runs.status")
@dataclass(frozen=True)
class RunStatus:
    """Status of a run, reported by the leader of its ledger.

    Attributes:
        run: Name of the run.
        leader: Node that leads the ledger.
        settings: Settings with which the run was opened.
        trainer_version: Last announced weight version.
        last_cursor: Cursor of the last sample handed over.
        acknowledged: Last cursor that the trainer has acknowledged.
        num_voided: Samples voided as stale at hand-over.
        num_duplicates: Commits rejected because their slot was filled.
        steps: Incomplete steps and the last complete one.
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
