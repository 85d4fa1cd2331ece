"""Which slots start next."""

from hollowrack.rollout.commands import AnnounceVersion, CommitSample, HandOver, OpenRun, SubmitStep
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.length_history import LengthHistory
from hollowrack.rollout.scheduling import current_step, plan_dispatches
from hollowrack.rollout.types import Prompt, RunSettings, Sample, SampleSlot, VersionSpan


def _ledger(bound: int = 1, num_steps: int = 4) -> SampleLedger:
    ledger = SampleLedger()
    ledger.execute(OpenRun(RunSettings("m", bound, 0)))
    for step in range(num_steps):
        prompts = (Prompt("short", "s", 2, 100), Prompt("long", "l", 2, 100))
        ledger.execute(SubmitStep(step, prompts))
    return ledger


def _history() -> LengthHistory:
    history = LengthHistory()
    history.record("s", 5)
    history.record("l", 90)
    return history


def test_the_longest_expected_answers_of_the_first_step_start_first() -> None:
    planned = plan_dispatches(_ledger().state, [], _history(), max_running=3)
    assert [dispatch.slot.prompt for dispatch in planned] == ["long", "long", "short"]
    assert {dispatch.slot.step for dispatch in planned} == {0}


def test_look_ahead_stops_at_the_staleness_bound() -> None:
    planned = plan_dispatches(_ledger(bound=1).state, [], _history(), max_running=100)
    assert {dispatch.slot.step for dispatch in planned} == {0, 1}
    assert len(planned) == 8


def test_a_later_step_needs_fresher_weights() -> None:
    ledger = _ledger(bound=2)
    ledger.execute(AnnounceVersion(5))
    planned = plan_dispatches(ledger.state, [], _history(), max_running=100)
    needed = {dispatch.slot.step: dispatch.min_weight_version for dispatch in planned}
    assert needed == {0: 3, 1: 4, 2: 5}


def test_while_the_trainer_trains_the_next_steps_count_the_version_to_come() -> None:
    ledger = _ledger(bound=2)
    for slot in [state.slot for state in ledger.open_slots(0)]:
        ledger.execute(CommitSample(Sample(slot, "t", 1, (VersionSpan(0, 0, 1),), "stop")))
    ledger.execute(HandOver(0, 10))
    training = plan_dispatches(ledger.state, [], _history(), max_running=100)
    assert {dispatch.slot.step: dispatch.min_weight_version for dispatch in training} == {
        1: 0,
        2: 0,
    }
    ledger.execute(AnnounceVersion(1))
    trained = plan_dispatches(ledger.state, [], _history(), max_running=100)
    needed = {dispatch.slot.step: dispatch.min_weight_version for dispatch in trained}
    assert needed == {1: 0, 2: 0, 3: 1}


def test_a_trainer_that_announces_seldom_is_served_on() -> None:
    ledger = _ledger(bound=0, num_steps=2)
    for slot in [state.slot for state in ledger.open_slots(0)]:
        ledger.execute(CommitSample(Sample(slot, "t", 1, (VersionSpan(0, 0, 1),), "stop")))
    ledger.execute(HandOver(0, 10))
    planned = plan_dispatches(ledger.state, [], _history(), max_running=100)
    assert {dispatch.slot.step for dispatch in planned} == {1}


def test_running_and_committed_slots_are_left_alone() -> None:
    ledger = _ledger(num_steps=1)
    running = [SampleSlot(0, "long", 0)]
    ledger.execute(
        CommitSample(Sample(SampleSlot(0, "long", 1), "t", 1, (VersionSpan(0, 0, 1),), "stop"))
    )
    planned = plan_dispatches(ledger.state, running, _history(), max_running=10)
    assert [dispatch.slot.prompt for dispatch in planned] == ["short", "short"]
    assert plan_dispatches(ledger.state, running, _history(), max_running=1) == []


def test_the_current_step_is_the_first_that_is_not_whole() -> None:
    ledger = _ledger(num_steps=2)
    assert current_step(ledger.state) == 0
    for slot in [state.slot for state in ledger.open_slots(0)]:
        ledger.execute(CommitSample(Sample(slot, "t", 1, (VersionSpan(0, 0, 1),), "stop")))
    ledger.execute(HandOver(0, 10))
    assert current_step(ledger.state) == 1


def test_unknown_prompts_are_expected_like_the_average() -> None:
    history = _history()
    unknown = Prompt("p", "unknown", 1, 1000)
    assert 5 < history.expected(unknown) < 90
    assert LengthHistory().expected(unknown) == 1000
