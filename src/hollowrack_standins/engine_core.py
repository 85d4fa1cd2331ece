"""A model engine without a model: batching, prefix cache, priorities and version switches.

The core has no I/O and no clock. :meth:`EngineCore.step` advances every running sequence by one
token; the HTTP stand-in calls it in real time and the bench in virtual time.
"""

import hashlib
import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from hollowrack.routing.prefix_index import prefix_blocks

MAX_CACHE_EVENTS = 4096


class EngineStatus(Enum):
    """What an engine reports about itself."""

    SERVING = "serving"
    SWAPPING = "swapping"
    BROKEN = "broken"


@dataclass(frozen=True)
class EngineConfig:
    """Shape of an engine.

    Attributes:
        model: The model it serves.
        num_slots: Sequences it runs at once.
        step_s: Time of one step with one sequence, in seconds.
        step_per_sequence_s: Additional step time per further sequence.
        prefill_block_s: Time to compute one prefix block that is not cached.
        max_cached_blocks: Size of the prefix cache.
        median_tokens: Median answer length.
        length_sigma: Spread of the log-normal answer length.
        swap_s: Time of a weight switch.
        tokens_per_step: Tokens each sequence gains in a step; more than one makes long runs cheap.
    """

    model: str = "quote"
    num_slots: int = 8
    step_s: float = 0.004
    step_per_sequence_s: float = 0.0002
    prefill_block_s: float = 0.001
    max_cached_blocks: int = 2048
    median_tokens: float = 24.0
    length_sigma: float = 0.6
    swap_s: float = 0.05
    tokens_per_step: int = 1


@dataclass
class EngineFaults:
    """Switches for the faults of an engine.

    Attributes:
        is_paused: No step is made; streams stall.
        refuses: New generations are refused.
        num_failing_swaps: The next swaps fail partway.
        breaks_after_tokens: Streams break after this many tokens; ``None`` for never.
        misreports_version: Chunks name a version that the engine never held.
        event_gap_every: Every n-th cache event is lost; 0 for never.
        event_lag: Latest cache events that are withheld.
        load_lag_s: Age of the load report, in seconds.
    """

    is_paused: bool = False
    refuses: bool = False
    num_failing_swaps: int = 0
    breaks_after_tokens: int | None = None
    misreports_version: bool = False
    event_gap_every: int = 0
    event_lag: int = 0
    load_lag_s: float = 0.2


@dataclass
class Sequence:
    """One generation in the engine.

    Attributes:
        request_id: Its identifier.
        prompt: The prompt.
        max_tokens: Longest answer.
        priority: Lower goes first.
        seed: Draws the length and the tokens.
        num_tokens: Tokens generated, resumed ones included.
        target_tokens: Length at which it ends by itself.
        blocks: Prefix blocks of the prompt.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int
    num_tokens: int = 0
    target_tokens: int = 0
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True)
class StepOutput:
    """The tokens a sequence gained in one step.

    Attributes:
        request_id: Whose it is.
        index: Place of its first token in the answer.
        text: Its text.
        weight_version: Version that produced it.
        finish_reason: Set on the last one.
    """

    request_id: str
    index: int
    text: str
    weight_version: int
    finish_reason: str | None
    num_tokens: int = 1


@dataclass(frozen=True)
class CacheEvent:
    """A block entered or left the prefix cache."""

    sequence: int
    block: int
    is_stored: bool


@dataclass
class _CacheState:
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: list[CacheEvent] = field(default_factory=list)
    next_sequence: int = 0


class EngineCore:
    """One engine's life.

    Args:
        config: Its shape.
        incarnation: Name of this life.
        weight_version: Version it starts with.
    """

    def __init__(self, config: EngineConfig, incarnation: str, weight_version: int = 0) -> None:
        self.config = config
        self.incarnation = incarnation
        self.weight_version = weight_version
        self.status = EngineStatus.SERVING
        self.fencing_token = 0
        self.faults = EngineFaults()
        self.num_prefix_blocks_hit = 0
        self.num_prefix_blocks = 0
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._cache = _CacheState()
        self._prefill_s = 0.0

    # -- generations ------------------------------------------------------------------------

    def add(self, sequence: Sequence) -> None:
        """Queue a generation."""
        sequence.blocks = prefix_blocks(sequence.prompt)
        sequence.target_tokens = self.length_of(sequence)
        self._waiting.append(sequence)

    def cancel(self, request_id: str) -> bool:
        """Drop a generation; returns whether it was there."""
        num_before = len(self._running) + len(self._waiting)
        self._running = [entry for entry in self._running if entry.request_id != request_id]
        self._waiting = [entry for entry in self._waiting if entry.request_id != request_id]
        return len(self._running) + len(self._waiting) < num_before

    def length_of(self, sequence: Sequence) -> int:
        """Length of a sequence's answer: the same on every engine and at every repetition."""
        rng = random.Random(_seed_of(sequence.prompt, sequence.seed))
        drawn = rng.lognormvariate(math.log(self.config.median_tokens), self.config.length_sigma)
        return max(1, min(sequence.max_tokens, round(drawn)))

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self._running and not self._waiting

    @property
    def num_running(self) -> int:
        """Sequences in the batch."""
        return len(self._running)

    @property
    def num_waiting(self) -> int:
        """Sequences waiting for a slot."""
        return len(self._waiting)

    @property
    def num_live(self) -> int:
        """Sequences of the highest priority, running or waiting."""
        return sum(1 for entry in (*self._running, *self._waiting) if entry.priority == 0)

    def step_duration_s(self) -> float:
        """Time that the next step takes."""
        num_more = max(0, len(self._running) - 1)
        step_s = self.config.step_s + num_more * self.config.step_per_sequence_s
        return step_s * self.config.tokens_per_step + self._prefill_s

    def step(self) -> list[StepOutput]:
        """Advance every running sequence by one token."""
        if self.faults.is_paused or self.status is not EngineStatus.SERVING:
            return []
        self._prefill_s = 0.0
        self._fill_batch()
        tokens = [self._advance(sequence) for sequence in self._running]
        finished = {token.request_id for token in tokens if token.finish_reason is not None}
        self._running = [entry for entry in self._running if entry.request_id not in finished]
        return tokens

    def _fill_batch(self) -> None:
        self._waiting.sort(key=lambda entry: entry.priority)
        while self._waiting and len(self._running) < self.config.num_slots:
            self._admit(self._waiting.pop(0))
        self._preempt()

    def _preempt(self) -> None:
        """Give the slots of the least urgent running sequences to more urgent waiting ones."""
        while self._waiting and self._running:
            victim = max(self._running, key=lambda entry: entry.priority)
            if victim.priority <= self._waiting[0].priority:
                return
            self._running.remove(victim)
            urgent = self._waiting.pop(0)
            self._admit(urgent)
            self._waiting.append(victim)
            self._waiting.sort(key=lambda entry: entry.priority)

    def _admit(self, sequence: Sequence) -> None:
        num_hit = 0
        for block in sequence.blocks:
            if block not in self._cache.blocks:
                break
            num_hit += 1
        self.num_prefix_blocks += len(sequence.blocks)
        self.num_prefix_blocks_hit += num_hit
        num_missing = len(sequence.blocks) - num_hit + sequence.num_tokens // 64
        self._prefill_s += num_missing * self.config.prefill_block_s
        for block in sequence.blocks:
            self._cache_block(block)
        self._running.append(sequence)

    def _advance(self, sequence: Sequence) -> StepOutput:
        index = sequence.num_tokens
        num_left = max(1, sequence.target_tokens - index)
        num_tokens = min(self.config.tokens_per_step, num_left)
        sequence.num_tokens += num_tokens
        finish_reason = None
        if sequence.num_tokens >= sequence.target_tokens:
            finish_reason = "stop"
            if sequence.num_tokens >= sequence.max_tokens:
                finish_reason = "length"
        version = self.weight_version + (1000 if self.faults.misreports_version else 0)
        text = f" {sequence.seed % 97}.{index}"
        return StepOutput(sequence.request_id, index, text, version, finish_reason, num_tokens)

    # -- prefix cache -----------------------------------------------------------------------

    def _cache_block(self, block: int) -> None:
        cache = self._cache
        if block in cache.blocks:
            cache.blocks.move_to_end(block)
            return
        cache.blocks[block] = None
        self._note_event(block, is_stored=True)
        if len(cache.blocks) > self.config.max_cached_blocks:
            evicted, _ = cache.blocks.popitem(last=False)
            self._note_event(evicted, is_stored=False)

    def _note_event(self, block: int, is_stored: bool) -> None:
        cache = self._cache
        sequence = cache.next_sequence
        cache.next_sequence += 1
        gap = self.faults.event_gap_every
        if gap and sequence % gap == gap - 1:
            return
        cache.events.append(CacheEvent(sequence, block, is_stored))
        del cache.events[:-MAX_CACHE_EVENTS]

    def import_prefix(self, prompt: str) -> int:
        """Take over the prefix blocks of another engine; returns how many."""
        blocks = prefix_blocks(prompt)
        for block in blocks:
            self._cache_block(block)
        return len(blocks)

    def events_from(self, first_sequence: int) -> list[CacheEvent]:
        """Return the cache events from a sequence number on, less those that lag."""
        known = self._cache.events
        visible = known[: len(known) - self.faults.event_lag] if self.faults.event_lag else known
        return [event for event in visible if event.sequence >= first_sequence]

    # -- versions ---------------------------------------------------------------------------

    def begin_swap(self, fencing_token: int) -> bool:
        """Start a switch; refuses a token below one that was seen."""
        if fencing_token < self.fencing_token:
            return False
        self.fencing_token = fencing_token
        self.status = EngineStatus.SWAPPING
        return True

    def end_swap(self, weight_version: int) -> bool:
        """End a switch; returns whether the engine is on one consistent version."""
        if self.faults.num_failing_swaps > 0:
            self.faults.num_failing_swaps -= 1
            self.status = EngineStatus.BROKEN
            return False
        self.weight_version = weight_version
        self.status = EngineStatus.SERVING
        self._cache.blocks.clear()
        return True


def _seed_of(prompt: str, seed: int) -> int:
    digest = hashlib.blake2b(f"{prompt}\n{seed}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
