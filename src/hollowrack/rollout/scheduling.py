"""Rollout scheduler: selects the open sample slots to generate next, as a pure function.

To reduce the trainer's idle time, the longest samples start first, and samples of later steps start
while the last samples of the current step finish. A later step starts only if its samples can still
be within the staleness bound when the trainer reaches it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hollowrack.rollout.ledger import LedgerState, SlotStatus
from hollowrack.rollout.length_history import LengthHistory
from hollowrack.rollout.types import Prompt, SampleSlot


@dataclass(frozen=True)
class Dispatch:
    """A sample slot to generate now.

    Attributes:
        slot: The sample slot.
        prompt: Prompt of the slot.
        min_weight_version: Lowest weight version whose sample is within the staleness bound when
            the trainer reaches the step.
    """

    slot: SampleSlot
    prompt: Prompt
    min_weight_version: int


def current_step(state: LedgerState) -> int | None:
    """Return the first incomplete step, for which the trainer waits; ``None`` if there is none."""
    return min(
        (number for number, step in state.steps.items() if not step.is_complete), default=None
    )


def plan_dispatches(
    state: LedgerState,
    running: Iterable[SampleSlot],
    history: LengthHistory,
    max_running: int,
) -> list[Dispatch]:
    """Return the slots to start, in order of urgency, so that at most ``max_running`` run.

    Slots are ordered by step and then by expected answer length, longest first. A step ``n`` ahead
    of the current one is trained on ``n`` versions later, so its minimum weight version is higher
    by ``n``.
    """
    if state.settings is None:
        return []
    running_slots = set(running)
    num_available = max_running - len(running_slots)
    first_step = current_step(state)
    dispatches: list[Dispatch] = []
    max_staleness = state.settings.max_staleness_versions
    # While the trainer trains on a complete step, its next version has not been announced yet.
    num_pending_versions = min(1, state.num_whole_unannounced)
    for number in sorted(state.steps):
        if num_available <= 0 or first_step is None:
            break
        num_versions_ahead = number - first_step + num_pending_versions
        if number > first_step and num_versions_ahead > max_staleness:
            break
        # Capped at the announced version: a trainer may announce less often than once per step.
        min_version = min(
            state.trainer_version, state.trainer_version + num_versions_ahead - max_staleness
        )
        open_slots = _open_slots(state, number, running_slots)
        open_slots.sort(key=lambda entry: -history.expected(entry[1]))
        for slot, prompt in open_slots[:num_available]:
            dispatches.append(Dispatch(slot, prompt, max(0, min_version)))
        num_available = max_running - len(running_slots) - len(dispatches)
    return dispatches


def _open_slots(
    state: LedgerState, number: int, running_slots: set[SampleSlot]
) -> list[tuple[SampleSlot, Prompt]]:
    step = state.steps[number]
    prompts = {prompt.prompt: prompt for prompt in step.prompts}
    return [
        (entry.slot, prompts[entry.slot.prompt])
        for entry in step.slots
        if entry.status is SlotStatus.OPEN and entry.slot not in running_slots
    ]
