"""Sample ledger of one run: a deterministic state machine over the replicated log.

A sample slot is open, committed or handed over. Only the first commit to an open slot succeeds.
Hand-over assigns the cursor by which the trainer reads and makes the final staleness check: a
committed sample over the bound is voided and its slot reopened. Samples are never voided after
hand-over, so the trainer receives each slot exactly once.
"""

from dataclasses import dataclass, field
from enum import IntEnum

import xxhash
from returns.pipeline import is_successful

from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.results import ResultCode, value_or_raise
from hollowrack.rollout.commands import (
    Acknowledge,
    AnnounceVersion,
    CommitSample,
    HandOver,
    LedgerCommand,
    LedgerOutcome,
    OpenRun,
    SubmitStep,
)
from hollowrack.rollout.length_history import LengthHistory
from hollowrack.rollout.spans import check_spans
from hollowrack.rollout.types import HandedOverSample, Prompt, RunSettings, Sample, SampleSlot


class SlotStatus(IntEnum):
    """State of a sample slot."""

    OPEN = 0
    COMMITTED = 1
    HANDED_OVER = 2


@dataclass
class SlotState:
    """One sample slot of a step.

    Attributes:
        sample: The committed sample; ``None`` before the commit and after hand-over.
    """

    slot: SampleSlot
    status: SlotStatus = SlotStatus.OPEN
    sample: Sample | None = None


@dataclass
class StepState:
    """One submitted step.

    Attributes:
        digest: Hash of the command, to detect repeated submissions.
        prompts: The prompts; empty once the step is complete.
        slots: The slots in submission order; empty once the step is complete.
        commit_order: Indices into ``slots`` of the committed samples, in commit order.
        num_slots: Number of submitted slots.
        num_handed_over: Number of slots handed over.
    """

    digest: int
    prompts: tuple[Prompt, ...]
    slots: list[SlotState]
    commit_order: list[int] = field(default_factory=list)
    num_slots: int = 0
    num_handed_over: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether all slots have been handed over."""
        return self.num_handed_over == self.num_slots


@message("ledger.state")
@dataclass
class LedgerState:
    """State of the ledger, also the format of its snapshot.

    Attributes:
        settings: Settings of the run; ``None`` until it is opened.
        trainer_version: Weight version that the trainer announced last.
        steps: Submitted steps by number.
        handed_over: Samples handed over but not acknowledged, in cursor order.
        last_cursor: Cursor of the last sample handed over.
        acknowledged: Last cursor that the trainer has acknowledged.
        num_voided: Samples voided as stale at hand-over.
        num_duplicates: Commits rejected because their slot was filled.
        num_whole_unannounced: Steps completed since the trainer last announced a version.
    """

    settings: RunSettings | None = None
    trainer_version: int = 0
    steps: dict[int, StepState] = field(default_factory=dict)
    handed_over: list[HandedOverSample] = field(default_factory=list)
    last_cursor: int = 0
    acknowledged: int = 0
    num_voided: int = 0
    num_duplicates: int = 0
    num_whole_unannounced: int = 0


_OK = LedgerOutcome(int(ResultCode.OK))


def _rejected(code: ResultCode, detail: str) -> LedgerOutcome:
    return LedgerOutcome(int(code), detail)


class SampleLedger:
    """State machine of the ledger; implements ``replication.types.StateMachine``."""

    def __init__(self) -> None:
        self.state = LedgerState()
        # Local to this replica and not part of the replicated state: only a scheduling hint.
        self.history = LengthHistory()
        self._positions: dict[int, dict[SampleSlot, int]] = {}

    # -- StateMachine -----------------------------------------------------------------------

    def apply(self, command: bytes) -> bytes:
        """Apply one encoded command and return its encoded :class:`LedgerOutcome`."""
        decoded: LedgerCommand = value_or_raise(codec.decode(command))
        return codec.encode(self.execute(decoded))

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; an empty snapshot resets it."""
        self.state = value_or_raise(codec.decode(snapshot)) if snapshot else LedgerState()
        self._positions = {}

    # -- commands ---------------------------------------------------------------------------

    def execute(self, command: LedgerCommand) -> LedgerOutcome:
        """Apply one command and return its outcome."""
        if isinstance(command, OpenRun):
            return self._open(command)
        if self.state.settings is None:
            return _rejected(ResultCode.UNKNOWN_RUN, "the run has not been opened")
        match command:
            case SubmitStep():
                return self._submit(command)
            case CommitSample():
                return self._commit(command.sample, self.state.settings)
            case HandOver():
                return self._hand_over(command, self.state.settings)
            case AnnounceVersion():
                return self._announce(command.version)
            case Acknowledge():
                return self._acknowledge(command.cursor)

    def _open(self, command: OpenRun) -> LedgerOutcome:
        if self.state.settings is None:
            self.state.settings = command.settings
            self.state.trainer_version = command.settings.initial_version
        elif self.state.settings != command.settings:
            return _rejected(ResultCode.RUN_CONFLICT, f"already open with {self.state.settings}")
        return _OK

    def _submit(self, command: SubmitStep) -> LedgerOutcome:
        digest = _digest(command)
        submitted = self.state.steps.get(command.step)
        if submitted is not None:
            if submitted.digest == digest:
                return _OK
            return _rejected(
                ResultCode.STEP_CONFLICT, f"step {command.step} was submitted with other prompts"
            )
        prompt_ids = [prompt.prompt for prompt in command.prompts]
        if len(set(prompt_ids)) != len(prompt_ids):
            return _rejected(ResultCode.STEP_CONFLICT, "prompt identifiers are not unique")
        slots = [
            SlotState(SampleSlot(command.step, prompt.prompt, index))
            for prompt in command.prompts
            for index in range(prompt.num_samples)
        ]
        self.state.steps[command.step] = StepState(
            digest, command.prompts, slots, num_slots=len(slots)
        )
        return _OK

    def _commit(self, sample: Sample, settings: RunSettings) -> LedgerOutcome:
        step = self.state.steps.get(sample.slot.step)
        if step is None:
            return _rejected(ResultCode.STEP_UNKNOWN, str(sample.slot))
        if step.is_complete:
            return self._reject_duplicate(sample)
        position = self._position(step, sample.slot)
        if position is None:
            return _rejected(ResultCode.UNKNOWN_SLOT, str(sample.slot))
        slot = step.slots[position]
        if slot.status is not SlotStatus.OPEN:
            return _OK if slot.sample == sample else self._reject_duplicate(sample)
        checked = check_spans(sample.spans, sample.num_tokens)
        if not is_successful(checked):
            return _rejected(ResultCode.SAMPLE_SPANS_INVALID, str(sample.slot))
        if self._is_stale(sample, settings):
            return _rejected(ResultCode.SAMPLE_STALE, str(sample.slot))
        slot.status = SlotStatus.COMMITTED
        slot.sample = sample
        step.commit_order.append(position)
        self._record_length(step, sample)
        return _OK

    def _record_length(self, step: StepState, sample: Sample) -> None:
        for prompt in step.prompts:
            if prompt.prompt == sample.slot.prompt:
                self.history.record(prompt.text, sample.num_tokens)
                return

    def _reject_duplicate(self, sample: Sample) -> LedgerOutcome:
        self.state.num_duplicates += 1
        return _rejected(ResultCode.SLOT_TAKEN, str(sample.slot))

    def _hand_over(self, command: HandOver, settings: RunSettings) -> LedgerOutcome:
        step = self.state.steps.get(command.step)
        if step is None:
            return _rejected(ResultCode.STEP_UNKNOWN, str(command.step))
        batch = step.commit_order[: command.max_samples]
        del step.commit_order[: command.max_samples]
        num_voided = 0
        for position in batch:
            slot = step.slots[position]
            sample, slot.sample = slot.sample, None
            if sample is None:
                continue
            if self._is_stale(sample, settings):
                slot.status = SlotStatus.OPEN
                num_voided += 1
                continue
            slot.status = SlotStatus.HANDED_OVER
            step.num_handed_over += 1
            self.state.last_cursor += 1
            self.state.handed_over.append(
                HandedOverSample(self.state.last_cursor, self.state.trainer_version, sample)
            )
        self.state.num_voided += num_voided
        if step.is_complete and step.slots:
            self.state.num_whole_unannounced += 1
            step.prompts = ()
            step.slots = []
            self._positions.pop(command.step, None)
        return LedgerOutcome(int(ResultCode.OK), num_voided=num_voided)

    def _announce(self, version: int) -> LedgerOutcome:
        if version < self.state.trainer_version:
            detail = f"version {version} is below version {self.state.trainer_version}"
            return _rejected(ResultCode.VERSION_REGRESSED, detail)
        if version > self.state.trainer_version:
            self.state.num_whole_unannounced = 0
        self.state.trainer_version = version
        return _OK

    def _acknowledge(self, cursor: int) -> LedgerOutcome:
        if cursor > self.state.last_cursor:
            detail = f"cursor {cursor} is beyond the last cursor {self.state.last_cursor}"
            return _rejected(ResultCode.CURSOR_INVALID, detail)
        num_acknowledged = cursor - self.state.acknowledged
        if num_acknowledged > 0:
            del self.state.handed_over[:num_acknowledged]
            self.state.acknowledged = cursor
        return _OK

    # -- reads ------------------------------------------------------------------------------

    def handed_over_after(self, cursor: int, max_samples: int) -> list[HandedOverSample]:
        """Return up to ``max_samples`` samples after ``cursor``, in cursor order.

        Repeated reads of a cursor return the same samples until they are acknowledged.
        """
        start = max(0, cursor - self.state.acknowledged)
        return self.state.handed_over[start : start + max_samples]

    def open_slots(self, step: int) -> list[SlotState]:
        """Return the open slots of a step; empty if the step is unknown."""
        state = self.state.steps.get(step)
        if state is None:
            return []
        return [slot for slot in state.slots if slot.status is SlotStatus.OPEN]

    def is_open(self, slot: SampleSlot) -> bool:
        """Whether a slot is open."""
        step = self.state.steps.get(slot.step)
        if step is None or step.is_complete:
            return False
        position = self._position(step, slot)
        return position is not None and step.slots[position].status is SlotStatus.OPEN

    def _is_stale(self, sample: Sample, settings: RunSettings) -> bool:
        age = self.state.trainer_version - sample.oldest_version
        return age > settings.max_staleness_versions

    def _position(self, step: StepState, slot: SampleSlot) -> int | None:
        positions = self._positions.get(slot.step)
        if positions is None:
            positions = {state.slot: index for index, state in enumerate(step.slots)}
            self._positions[slot.step] = positions
        return positions.get(slot)


def _digest(command: SubmitStep) -> int:
    # Shifted to fit a signed 64-bit integer.
    return xxhash.xxh64_intdigest(codec.encode(command)) >> 1
