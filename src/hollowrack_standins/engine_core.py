"""Simulated inference engine: batching, prefix cache, priorities and weight updates.

It has no I/O and no clock. :meth:`EngineCore.step` simulates one engine step; the HTTP stand-in
calls it in real time and the bench in virtual time.
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
    """Status that an engine reports."""

    SERVING = "serving"
    SWAPPING = "swapping"
    BROKEN = "broken"


@dataclass(frozen=True)
class EngineConfig:
    """Configuration of an engine.

    Attributes:
        num_slots: Maximum batch size, in sequences.
        step_s: Time of one step with one sequence, in seconds.
        step_per_sequence_s: Step time added by each further sequence, in seconds.
        prefill_block_s: Time to compute one prefix block that is not cached, in seconds.
        max_cached_blocks: Size of the prefix cache, in blocks.
        median_tokens: Median of the log-normal answer length, in tokens.
        length_sigma: Standard deviation of the logarithm of the answer length.
        swap_s: Time of a weight update, in seconds.
        tokens_per_step: Tokens per sequence and step; more than one makes long simulations cheaper.
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
    """Faults of an engine.

    Attributes:
        is_paused: Whether the engine makes no steps, so that streams stall.
        refuses: Whether new requests are refused.
        num_failing_swaps: Number of next weight updates that fail and leave the engine broken.
        breaks_after_tokens: Number of outputs after which a stream is disconnected; ``None`` for
            never.
        misreports_version: Whether outputs name a weight version that the engine never held.
        event_gap_every: Interval at which a cache event is lost, in events; 0 for none.
        event_lag: Number of the latest cache events that are withheld.
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
    """One request in the engine.

    Attributes:
        max_tokens: Maximum number of tokens to generate.
        priority: Priority; lower values are scheduled first.
        seed: Seed of the answer length and the tokens.
        num_tokens: Number of tokens generated, including those before a resumption.
        target_tokens: Answer length, set by :meth:`EngineCore.add`.
        blocks: Hashes of the prompt's prefix blocks, set by :meth:`EngineCore.add`.
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
    """Tokens that one sequence gained in one step.

    Attributes:
        index: Index of the first of these tokens in the answer.
        weight_version: Weight version that generated the tokens.
        finish_reason: ``stop`` or ``length`` for the last tokens of an answer, else ``None``.
        num_tokens: Number of tokens generated in the step.
    """

    request_id: str
    index: int
    text: str
    weight_version: int
    finish_reason: str | None
    num_tokens: int = 1


@dataclass(frozen=True)
class CacheEvent:
    """A block was stored in the prefix cache or removed from it.

    Attributes:
        sequence: Sequence number of the event, counted from 0 per incarnation.
        block: Hash of the block.
        is_stored: Whether the block was stored; ``False`` if it was removed.
    """

    sequence: int
    block: int
    is_stored: bool


@dataclass
class _CacheState:
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: list[CacheEvent] = field(default_factory=list)
    next_sequence_number: int = 0


class EngineCore:
    """State of one incarnation of an engine.

    Args:
        config: Limits and simulated times.
        incarnation: Identifier of the incarnation.
        weight_version: Initial weight version.

    Attributes:
        fencing_token: Highest fencing token of the weight updates started.
        num_prefix_blocks: Number of prefix blocks of all scheduled sequences.
        num_prefix_blocks_hit: Number of these blocks that were in the prefix cache.
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

    # -- requests ---------------------------------------------------------------------------

    def add(self, sequence: Sequence) -> None:
        """Queue a request."""
        sequence.blocks = prefix_blocks(sequence.prompt)
        sequence.target_tokens = self.length_of(sequence)
        self._waiting.append(sequence)

    def cancel(self, request_id: str) -> bool:
        """Remove a request; returns whether it was running or waiting."""
        num_before = len(self._running) + len(self._waiting)
        self._running = [entry for entry in self._running if entry.request_id != request_id]
        self._waiting = [entry for entry in self._waiting if entry.request_id != request_id]
        return len(self._running) + len(self._waiting) < num_before

    def length_of(self, sequence: Sequence) -> int:
        """Return the answer length of a sequence, the same on equally configured engines."""
        rng = random.Random(_answer_seed(sequence.prompt, sequence.seed))
        drawn_length = rng.lognormvariate(
            math.log(self.config.median_tokens), self.config.length_sigma
        )
        return max(1, min(sequence.max_tokens, round(drawn_length)))

    @property
    def is_idle(self) -> bool:
        """Whether no request is running or waiting."""
        return not self._running and not self._waiting

    @property
    def num_running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def num_waiting(self) -> int:
        """Number of sequences that wait for a slot."""
        return len(self._waiting)

    @property
    def num_live(self) -> int:
        """Number of running and waiting sequences with priority 0, the highest."""
        return sum(1 for entry in (*self._running, *self._waiting) if entry.priority == 0)

    def step_duration_s(self) -> float:
        """Return the time that a step of the current batch takes, in seconds."""
        num_further = max(0, len(self._running) - 1)
        step_s = self.config.step_s + num_further * self.config.step_per_sequence_s
        return step_s * self.config.tokens_per_step + self._prefill_s

    def step(self) -> list[StepOutput]:
        """Schedule waiting sequences and advance every running one by one step."""
        if self.faults.is_paused or self.status is not EngineStatus.SERVING:
            return []
        self._prefill_s = 0.0
        self._schedule()
        outputs = [self._generate(sequence) for sequence in self._running]
        finished = {output.request_id for output in outputs if output.finish_reason is not None}
        self._running = [entry for entry in self._running if entry.request_id not in finished]
        return outputs

    def _schedule(self) -> None:
        self._waiting.sort(key=lambda entry: entry.priority)
        while self._waiting and len(self._running) < self.config.num_slots:
            self._admit(self._waiting.pop(0))
        self._preempt()

    def _preempt(self) -> None:
        """Replace running sequences by waiting ones of higher priority."""
        while self._waiting and self._running:
            victim = max(self._running, key=lambda entry: entry.priority)
            if victim.priority <= self._waiting[0].priority:
                return
            self._running.remove(victim)
            successor = self._waiting.pop(0)
            self._admit(successor)
            self._waiting.append(victim)
            self._waiting.sort(key=lambda entry: entry.priority)

    def _admit(self, sequence: Sequence) -> None:
        num_cached = 0
        for block in sequence.blocks:
            if block not in self._cache.blocks:
                break
            num_cached += 1
        self.num_prefix_blocks += len(sequence.blocks)
        self.num_prefix_blocks_hit += num_cached
        # The tokens generated before a preemption or resumption are prefilled in blocks of 64.
        num_missing = len(sequence.blocks) - num_cached + sequence.num_tokens // 64
        self._prefill_s += num_missing * self.config.prefill_block_s
        for block in sequence.blocks:
            self._cache_block(block)
        self._running.append(sequence)

    def _generate(self, sequence: Sequence) -> StepOutput:
        index = sequence.num_tokens
        num_remaining = max(1, sequence.target_tokens - index)
        num_tokens = min(self.config.tokens_per_step, num_remaining)
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
        self._record_event(block, is_stored=True)
        if len(cache.blocks) > self.config.max_cached_blocks:
            evicted, _ = cache.blocks.popitem(last=False)
            self._record_event(evicted, is_stored=False)

    def _record_event(self, block: int, is_stored: bool) -> None:
        cache = self._cache
        sequence_number = cache.next_sequence_number
        cache.next_sequence_number += 1
        gap_interval = self.faults.event_gap_every
        if gap_interval and sequence_number % gap_interval == gap_interval - 1:
            return
        cache.events.append(CacheEvent(sequence_number, block, is_stored))
        del cache.events[:-MAX_CACHE_EVENTS]

    def import_prefix(self, prompt: str) -> int:
        """Cache the prefix blocks of a prompt; returns their number."""
        blocks = prefix_blocks(prompt)
        for block in blocks:
            self._cache_block(block)
        return len(blocks)

    def events_from(self, first_sequence: int) -> list[CacheEvent]:
        """Return the cache events from a sequence number on, except those withheld."""
        recorded = self._cache.events
        visible = (
            recorded[: len(recorded) - self.faults.event_lag] if self.faults.event_lag else recorded
        )
        return [event for event in visible if event.sequence >= first_sequence]

    # -- weight updates ---------------------------------------------------------------------

    def begin_swap(self, fencing_token: int) -> bool:
        """Start a weight update; returns ``False`` if a higher fencing token was used before."""
        if fencing_token < self.fencing_token:
            return False
        self.fencing_token = fencing_token
        self.status = EngineStatus.SWAPPING
        return True

    def end_swap(self, weight_version: int) -> bool:
        """Complete a weight update; returns ``False`` if it failed and the engine is broken."""
        if self.faults.num_failing_swaps > 0:
            self.faults.num_failing_swaps -= 1
            self.status = EngineStatus.BROKEN
            return False
        self.weight_version = weight_version
        self.status = EngineStatus.SERVING
        self._cache.blocks.clear()
        return True


def _answer_seed(prompt: str, seed: int) -> int:
    digest = hashlib.blake2b(f"{prompt}\n{seed}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
