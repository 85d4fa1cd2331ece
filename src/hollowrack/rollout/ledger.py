"""The sample ledger of one run: a deterministic state machine driven by the replicated log.

A slot is open, committed or handed over. The first commit to an open slot wins. Hand-over fixes the
order in which the trainer reads and is where staleness is decided for good: a committed sample that
is over the bound is voided there and its slot reopened, and a sample that was handed over is never
voided, so the trainer sees each slot exactly once (brief, second and third promise).
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
    """Life of a slot."""

    OPEN = 0
    COMMITTED = 1
    HANDED_OVER = 2


@dataclass
class SlotState:
    """One slot of a step.

    Attributes:
        slot: Its name.
        status: Where it stands.
        sample: The committed sample until it is handed over.
    """

    slot: SampleSlot
    status: SlotStatus = SlotStatus.OPEN
    sample: Sample | None = None


@dataclass
class StepState:
    """One submitted step.

    Attributes:
        digest: Hash of the prompts, to recognise a repeated submission.
        prompts: The prompts, emptied when the step is whole.
        slots: All slots, in submission order, emptied when the step is whole.
        commit_order: Indexes into ``slots`` of the committed samples, in commit order.
        num_slots: Number of slots.
        num_handed_over: Slots that were handed over.
    """

    digest: int
    prompts: tuple[Prompt, ...]
    slots: list[SlotState]
    commit_order: list[int] = field(default_factory=list)
    num_slots: int = 0
    num_handed_over: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether every slot was handed over."""
        return self.num_handed_over == self.num_slots


@message("ledger.state")
@dataclass
class LedgerState:
    """Everything the ledger knows; also the format of its snapshot.

    Attributes:
        settings: Set when the run is opened.
        trainer_version: Last version the trainer announced.
        steps: Submitted steps by number.
        handed_over: Samples handed over and not yet acknowledged, in cursor order.
        last_cursor: Cursor of the last sample handed over.
        acknowledged: Cursor up to which the trainer has everything.
        num_voided: Samples voided as stale at hand-over.
        num_duplicates: Commits that lost to an earlier one.
        num_whole_unannounced: Steps that became whole since the trainer last announced a version.
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


def _refused(code: ResultCode, detail: str) -> LedgerOutcome:
    return LedgerOutcome(int(code), detail)


class SampleLedger:
    """The ledger's state machine; implements ``replication.types.StateMachine``."""

    def __init__(self) -> None:
        self.state = LedgerState()
        # Lengths seen by this replica: advice for scheduling, and no part of the agreed state.
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
        """Replace the state."""
        self.state = value_or_raise(codec.decode(snapshot)) if snapshot else LedgerState()
        self._positions = {}

    # -- commands ---------------------------------------------------------------------------

    def execute(self, command: LedgerCommand) -> LedgerOutcome:
        """Apply one command."""
        if isinstance(command, OpenRun):
            return self._open(command)
        if self.state.settings is None:
            return _refused(ResultCode.UNKNOWN_RUN, "the run was not opened")
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
            return _refused(ResultCode.RUN_CONFLICT, f"opened with {self.state.settings}")
        return _OK

    def _submit(self, command: SubmitStep) -> LedgerOutcome:
        digest = _digest(command)
        known = self.state.steps.get(command.step)
        if known is not None:
            if known.digest == digest:
                return _OK
            return _refused(ResultCode.STEP_CONFLICT, f"step {command.step} has other prompts")
        names = [prompt.prompt for prompt in command.prompts]
        if len(set(names)) != len(names):
            return _refused(ResultCode.STEP_CONFLICT, "prompt identifiers are not unique")
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
            return _refused(ResultCode.STEP_UNKNOWN, str(sample.slot))
        if step.is_complete:
            return self._duplicate(sample)
        position = self._position(step, sample.slot)
        if position is None:
            return _refused(ResultCode.UNKNOWN_SLOT, str(sample.slot))
        slot = step.slots[position]
        if slot.status is not SlotStatus.OPEN:
            return _OK if slot.sample == sample else self._duplicate(sample)
        checked = check_spans(sample.spans, sample.num_tokens)
        if not is_successful(checked):
            return _refused(ResultCode.SAMPLE_SPANS_INVALID, str(sample.slot))
        if self._is_stale(sample, settings):
            return _refused(ResultCode.SAMPLE_STALE, str(sample.slot))
        slot.status = SlotStatus.COMMITTED
        slot.sample = sample
        step.commit_order.append(position)
        self._note_length(step, sample)
        return _OK

    def _note_length(self, step: StepState, sample: Sample) -> None:
        for prompt in step.prompts:
            if prompt.prompt == sample.slot.prompt:
                self.history.record(prompt.text, sample.num_tokens)
                return

    def _duplicate(self, sample: Sample) -> LedgerOutcome:
        self.state.num_duplicates += 1
        return _refused(ResultCode.SLOT_TAKEN, str(sample.slot))

    def _hand_over(self, command: HandOver, settings: RunSettings) -> LedgerOutcome:
        step = self.state.steps.get(command.step)
        if step is None:
            return _refused(ResultCode.STEP_UNKNOWN, str(command.step))
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
            detail = f"{version} is below {self.state.trainer_version}"
            return _refused(ResultCode.VERSION_REGRESSED, detail)
        if version > self.state.trainer_version:
            self.state.num_whole_unannounced = 0
        self.state.trainer_version = version
        return _OK

    def _acknowledge(self, cursor: int) -> LedgerOutcome:
        if cursor > self.state.last_cursor:
            detail = f"{cursor} is beyond {self.state.last_cursor}"
            return _refused(ResultCode.CURSOR_INVALID, detail)
        num_acknowledged = cursor - self.state.acknowledged
        if num_acknowledged > 0:
            del self.state.handed_over[:num_acknowledged]
            self.state.acknowledged = cursor
        return _OK

    # -- reads ------------------------------------------------------------------------------

    def handed_over_after(self, cursor: int, max_samples: int) -> list[HandedOverSample]:
        """Return samples after ``cursor``, oldest first; never changes for a given cursor."""
        start = max(0, cursor - self.state.acknowledged)
        return self.state.handed_over[start : start + max_samples]

    def open_slots(self, step: int) -> list[SlotState]:
        """Return the slots of a step that need a sample."""
        state = self.state.steps.get(step)
        if state is None:
            return []
        return [slot for slot in state.slots if slot.status is SlotStatus.OPEN]

    def is_open(self, slot: SampleSlot) -> bool:
        """Whether a slot needs a sample."""
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
    # One bit less keeps the value a signed 64-bit integer.
    return xxhash.xxh64_intdigest(codec.encode(command)) >> 1
