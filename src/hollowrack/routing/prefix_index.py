"""Prefix index: the prompt prefixes that engines have cached, from cache events.

Events arrive late and may be lost.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from hollowrack.clients.engine import CacheEvents

BLOCK_CHARACTERS = 64
MAX_BLOCKS_PER_PROMPT = 64
MAX_BLOCKS_PER_ENGINE = 65_536
UNCERTAIN_WEIGHT = 0.5


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's complete leading blocks, shortest prefix first."""
    num_blocks = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS_PER_PROMPT)
    digest = xxhash.xxh64()
    hashes: list[int] = []
    for index in range(num_blocks):
        digest.update(text[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


@dataclass
class _EngineIndex:
    """Cached blocks of one engine.

    Attributes:
        incarnation: Incarnation of the engine that the events are from.
        next_sequence: Sequence number of the next expected event.
        is_uncertain: Whether events were lost.
        blocks: Hashes of cached blocks, least recently stored first.
    """

    incarnation: str = ""
    next_sequence: int = 0
    is_uncertain: bool = False
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)


class PrefixIndex:
    """Best-effort index of the prefix blocks cached by each engine."""

    def __init__(self) -> None:
        self._engines: dict[str, _EngineIndex] = {}

    def next_sequence(self, address: str) -> int:
        """Return the sequence number of the next event to request from an engine."""
        index = self._engines.get(address)
        return index.next_sequence if index is not None else 0

    def apply(self, address: str, events: CacheEvents) -> None:
        """Apply a batch of events.

        A new incarnation of the engine resets its index; a gap in the sequence numbers marks it as
        uncertain.
        """
        index = self._engines.setdefault(address, _EngineIndex())
        if index.incarnation != events.incarnation:
            index = _EngineIndex(incarnation=events.incarnation)
            self._engines[address] = index
        elif events.num_events and events.first_sequence > index.next_sequence:
            index.is_uncertain = True
        if not events.num_events:
            return
        index.next_sequence = max(index.next_sequence, events.first_sequence + events.num_events)
        for block in events.stored:
            self._store(index, block)
        for block in events.removed:
            index.blocks.pop(block, None)

    def record_sent(self, address: str, blocks: tuple[int, ...]) -> None:
        """Add the blocks of a prompt that was sent to an engine, ahead of its cache events."""
        index = self._engines.setdefault(address, _EngineIndex())
        for block in blocks:
            self._store(index, block)

    def num_matching(self, address: str, blocks: tuple[int, ...]) -> float:
        """Return the number of leading blocks that an engine has cached.

        The number is multiplied by ``UNCERTAIN_WEIGHT`` if events of the engine were lost.
        """
        index = self._engines.get(address)
        if index is None:
            return 0.0
        num_matching = 0
        for block in blocks:
            if block not in index.blocks:
                break
            num_matching += 1
        return num_matching * (UNCERTAIN_WEIGHT if index.is_uncertain else 1.0)

    def remove(self, address: str) -> None:
        """Remove an engine."""
        self._engines.pop(address, None)

    @staticmethod
    def _store(index: _EngineIndex, block: int) -> None:
        index.blocks[block] = None
        index.blocks.move_to_end(block)
        while len(index.blocks) > MAX_BLOCKS_PER_ENGINE:
            index.blocks.popitem(last=False)
