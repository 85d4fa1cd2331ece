"""Which engine holds which prompt prefix, from cache events that are late and have gaps."""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from hollowrack.clients.engine import CacheEvents

BLOCK_CHARACTERS = 64
MAX_BLOCKS_PER_PROMPT = 64
MAX_BLOCKS_PER_ENGINE = 65_536
UNCERTAIN_WEIGHT = 0.5


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's whole leading blocks, shortest prefix first."""
    num_blocks = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS_PER_PROMPT)
    digest = xxhash.xxh64()
    hashes: list[int] = []
    for index in range(num_blocks):
        digest.update(text[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


@dataclass
class _EngineIndex:
    incarnation: str = ""
    next_sequence: int = 0
    is_uncertain: bool = False
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)


class PrefixIndex:
    """Known prefix blocks per engine; a hint and never a promise."""

    def __init__(self) -> None:
        self._engines: dict[str, _EngineIndex] = {}

    def next_sequence(self, address: str) -> int:
        """The sequence number to ask an engine's events from."""
        index = self._engines.get(address)
        return index.next_sequence if index is not None else 0

    def apply(self, address: str, events: CacheEvents) -> None:
        """Take in a batch of events; a gap marks the engine's index as uncertain."""
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
        """A prompt was sent to an engine, which will hold its blocks before any event says so."""
        index = self._engines.setdefault(address, _EngineIndex())
        for block in blocks:
            self._store(index, block)

    def num_matching(self, address: str, blocks: tuple[int, ...]) -> float:
        """Return how many leading blocks the engine probably holds, weighed by certainty."""
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
        """Drop what is known of an engine."""
        self._engines.pop(address, None)

    @staticmethod
    def _store(index: _EngineIndex, block: int) -> None:
        index.blocks[block] = None
        index.blocks.move_to_end(block)
        while len(index.blocks) > MAX_BLOCKS_PER_ENGINE:
            index.blocks.popitem(last=False)
