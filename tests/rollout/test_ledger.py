"""The sample ledger: exactly once, within the bound, in a fixed order; each command repeatable."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hollowrack.messages import codec
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
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.spans import SpanBuilder, check_spans
from hollowrack.rollout.types import (
    HandedOverSample,
    Prompt,
    RunSettings,
    Sample,
    SampleSlot,
    VersionSpan,
)

BOUND = 2
SETTINGS = RunSettings("m", BOUND, 0)
PROMPTS = (Prompt("p0", "text", 2, 10), Prompt("p1", "text", 2, 10))


def _sample(slot: SampleSlot, version: int, text: str = "t") -> Sample:
    return Sample(slot, text, 4, (VersionSpan(version, 0, 4),), "stop")


def _ledger() -> SampleLedger:
    ledger = SampleLedger()
    assert _do(ledger, OpenRun(SETTINGS)) is ResultCode.OK
    assert _do(ledger, SubmitStep(0, PROMPTS)) is ResultCode.OK
    return ledger


def _apply(ledger: SampleLedger, command: LedgerCommand) -> LedgerOutcome:
    outcome: LedgerOutcome = value_or_raise(codec.decode(ledger.apply(codec.encode(command))))
    return outcome


def _do(ledger: SampleLedger, command: LedgerCommand) -> ResultCode:
    return ResultCode(_apply(ledger, command).code)


SLOT = SampleSlot(0, "p0", 0)


@pytest.mark.parametrize(
    ("commands", "code"),
    [
        ([OpenRun(SETTINGS)], ResultCode.OK),
        ([OpenRun(RunSettings("other", BOUND, 0))], ResultCode.RUN_CONFLICT),
        ([SubmitStep(0, PROMPTS)], ResultCode.OK),
        ([SubmitStep(0, PROMPTS[:1])], ResultCode.STEP_CONFLICT),
        ([SubmitStep(1, (PROMPTS[0], PROMPTS[0]))], ResultCode.STEP_CONFLICT),
        ([CommitSample(_sample(SampleSlot(7, "p0", 0), 0))], ResultCode.STEP_UNKNOWN),
        ([CommitSample(_sample(SampleSlot(0, "p9", 0), 0))], ResultCode.UNKNOWN_SLOT),
        ([CommitSample(_sample(SampleSlot(0, "p0", 9), 0))], ResultCode.UNKNOWN_SLOT),
        ([CommitSample(_sample(SLOT, 0)), CommitSample(_sample(SLOT, 0))], ResultCode.OK),
        (
            [CommitSample(_sample(SLOT, 0)), CommitSample(_sample(SLOT, 0, "other"))],
            ResultCode.SLOT_TAKEN,
        ),
        ([AnnounceVersion(3), CommitSample(_sample(SLOT, 0))], ResultCode.SAMPLE_STALE),
        ([AnnounceVersion(2), CommitSample(_sample(SLOT, 0))], ResultCode.OK),
        ([AnnounceVersion(2), AnnounceVersion(1)], ResultCode.VERSION_REGRESSED),
        ([AnnounceVersion(2), AnnounceVersion(2)], ResultCode.OK),
        ([HandOver(9, 10)], ResultCode.STEP_UNKNOWN),
        ([Acknowledge(1)], ResultCode.CURSOR_INVALID),
        (
            [CommitSample(Sample(SLOT, "t", 5, (VersionSpan(0, 0, 4),), "stop"))],
            ResultCode.SAMPLE_SPANS_INVALID,
        ),
    ],
)
def test_outcomes(commands: list[LedgerCommand], code: ResultCode) -> None:
    ledger = _ledger()
    codes = [_do(ledger, command) for command in commands]
    assert codes[-1] is code


def test_nothing_works_before_the_run_is_opened() -> None:
    assert _do(SampleLedger(), SubmitStep(0, PROMPTS)) is ResultCode.UNKNOWN_RUN


def test_a_sample_that_went_stale_before_hand_over_is_voided_and_its_slot_reopened() -> None:
    ledger = _ledger()
    _do(ledger, CommitSample(_sample(SLOT, 0)))
    _do(ledger, AnnounceVersion(3))
    assert _apply(ledger, HandOver(0, 10)).num_voided == 1
    assert ledger.handed_over_after(0, 10) == []
    assert SLOT in [slot.slot for slot in ledger.open_slots(0)]
    assert _do(ledger, CommitSample(_sample(SLOT, 3))) is ResultCode.OK
    _do(ledger, HandOver(0, 10))
    assert [handed.sample.oldest_version for handed in ledger.handed_over_after(0, 10)] == [3]


def test_a_sample_that_was_handed_over_is_never_voided() -> None:
    ledger = _ledger()
    _do(ledger, CommitSample(_sample(SLOT, 0)))
    _do(ledger, HandOver(0, 10))
    before = ledger.handed_over_after(0, 10)
    _do(ledger, AnnounceVersion(50))
    _do(ledger, HandOver(0, 10))
    assert ledger.handed_over_after(0, 10) == before


def test_a_whole_step_drops_its_slots_and_still_refuses_late_commits() -> None:
    ledger = _ledger()
    for slot in [state.slot for state in ledger.open_slots(0)]:
        _do(ledger, CommitSample(_sample(slot, 0)))
    _do(ledger, HandOver(0, 10))
    assert ledger.state.steps[0].is_complete and ledger.state.steps[0].slots == []
    assert _do(ledger, CommitSample(_sample(SLOT, 0, "late"))) is ResultCode.SLOT_TAKEN
    assert _do(ledger, SubmitStep(0, PROMPTS)) is ResultCode.OK
    assert ledger.open_slots(0) == []


@pytest.mark.parametrize(
    ("spans", "num_tokens", "is_valid"),
    [
        ([(0, 0, 4)], 4, True),
        ([(0, 0, 2), (1, 2, 4)], 4, True),
        ([], 0, False),
        ([(0, 0, 2), (1, 3, 4)], 4, False),
        ([(0, 0, 3), (1, 2, 4)], 4, False),
        ([(0, 0, 0), (0, 0, 4)], 4, False),
        ([(0, 1, 4)], 4, False),
        ([(0, 0, 4)], 5, False),
    ],
)
def test_spans(spans: list[tuple[int, int, int]], num_tokens: int, is_valid: bool) -> None:
    checked = check_spans(tuple(VersionSpan(*span) for span in spans), num_tokens)
    assert (checked.value_or("bad") is None) == is_valid


def test_a_span_builder_joins_runs_of_one_version() -> None:
    builder = SpanBuilder()
    for version in (3, 3, 4, 4, 3):
        builder.add(version)
    assert builder.build() == (VersionSpan(3, 0, 2), VersionSpan(4, 2, 4), VersionSpan(3, 4, 5))
    assert (builder.oldest_version, builder.num_tokens) == (3, 5)
    assert check_spans(builder.build(), 5).unwrap() is None


class LedgerMachine(RuleBasedStateMachine):
    """A trainer and two rival leaders against one ledger, with restores from snapshots."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = SampleLedger()
        self.delivered: Counter[SampleSlot] = Counter()
        self.history: dict[int, HandedOverSample] = {}
        self.cursor = 0
        self.version = 0

    @initialize()
    def open(self) -> None:
        _do(self.ledger, OpenRun(SETTINGS))
        for step in range(2):
            _do(self.ledger, SubmitStep(step, PROMPTS))

    @rule(
        step=st.integers(0, 1),
        prompt=st.sampled_from(["p0", "p1"]),
        index=st.integers(0, 1),
        age=st.integers(0, 4),
        text=st.sampled_from(["x", "y"]),
    )
    def commit(self, step: int, prompt: str, index: int, age: int, text: str) -> None:
        sample = _sample(SampleSlot(step, prompt, index), max(0, self.version - age), text)
        _do(self.ledger, CommitSample(sample))

    @rule(step=st.integers(0, 1), max_samples=st.integers(0, 3))
    def hand_over(self, step: int, max_samples: int) -> None:
        _do(self.ledger, HandOver(step, max_samples))

    @rule(limit=st.integers(1, 3))
    def read(self, limit: int) -> None:
        for handed in self.ledger.handed_over_after(self.cursor, limit):
            assert handed.cursor == self.cursor + 1
            assert handed.age_versions <= BOUND
            self.cursor = handed.cursor
            self.delivered[handed.sample.slot] += 1

    @rule()
    def read_again(self) -> None:
        for handed in self.ledger.handed_over_after(self.ledger.state.acknowledged, 100):
            assert self.history.setdefault(handed.cursor, handed) == handed

    @rule()
    def acknowledge(self) -> None:
        assert _do(self.ledger, Acknowledge(self.cursor)) is ResultCode.OK

    @rule()
    def announce(self) -> None:
        self.version += 1
        _do(self.ledger, AnnounceVersion(self.version))

    @rule()
    def restore(self) -> None:
        restored = SampleLedger()
        restored.restore(self.ledger.snapshot())
        self.ledger = restored

    @invariant()
    def each_slot_at_most_once(self) -> None:
        assert all(count == 1 for count in self.delivered.values())

    @invariant()
    def slots_are_conserved(self) -> None:
        for step in self.ledger.state.steps.values():
            if step.slots:
                held = [slot for slot in step.slots if slot.sample is not None]
                assert len(held) == len(step.commit_order)


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)
