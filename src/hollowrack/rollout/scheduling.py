"""Which open slots to generate next: pure decisions over the ledger's state.

The trainer is kept from waiting by starting the longest samples first and by working on later steps
while the last samples of the present one finish. A later step is started only if its samples can
still be within the staleness bound when the trainer gets there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hollowrack.rollout.ledger import LedgerState, SlotStatus
from hollowrack.rollout.length_history import LengthHistory
from hollowrack.rollout.types import Prompt, SampleSlot


@dataclass(frozen=True)
class Dispatch:
    """One slot to be generated now.

    Attributes:
        slot: The slot.
        prompt: Its prompt.
        min_weight_version: Lowest version whose sample would be within the bound on time.
    """

    slot: SampleSlot
    prompt: Prompt
    min_weight_version: int


def current_step(state: LedgerState) -> int | None:
    """Return the first step that is not whole: the one the trainer is waiting for."""
    return min(
        (number for number, step in state.steps.items() if not step.is_complete), default=None
    )


def plan_dispatches(
    state: LedgerState,
    running: Iterable[SampleSlot],
    history: LengthHistory,
    max_running: int,
) -> list[Dispatch]:
    """Return the slots to start, most urgent first, so that at most ``max_running`` run.

    Steps go in order; within a step the longest expected answers go first, since the step is whole
    only when its last sample is. A step ``n`` ahead of the present one is trained on ``n`` versions
    later, so its samples must start that much fresher.
    """
    if state.settings is None:
        return []
    in_progress = set(running)
    num_free = max_running - len(in_progress)
    first_step = current_step(state)
    dispatches: list[Dispatch] = []
    bound = state.settings.max_staleness_versions
    # While the trainer trains a whole step, the version it will announce is one ahead of the last.
    num_pending_versions = min(1, state.num_whole_unannounced)
    for number in sorted(state.steps):
        if num_free <= 0 or first_step is None:
            break
        num_versions_ahead = number - first_step + num_pending_versions
        if number > first_step and num_versions_ahead > bound:
            break
        # Never more than is announced: a trainer may announce less often than it steps.
        min_version = min(state.trainer_version, state.trainer_version + num_versions_ahead - bound)
        open_slots = _open_slots(state, number, in_progress)
        open_slots.sort(key=lambda entry: -history.expected(entry[1]))
        for slot, prompt in open_slots[:num_free]:
            dispatches.append(Dispatch(slot, prompt, max(0, min_version)))
        num_free = max_running - len(in_progress) - len(dispatches)
    return dispatches


def _open_slots(
    state: LedgerState, number: int, in_progress: set[SampleSlot]
) -> list[tuple[SampleSlot, Prompt]]:
    step = state.steps[number]
    prompts = {prompt.prompt: prompt for prompt in step.prompts}
    return [
        (entry.slot, prompts[entry.slot.prompt])
        for entry in step.slots
        if entry.status is SlotStatus.OPEN and entry.slot not in in_progress
    ]
