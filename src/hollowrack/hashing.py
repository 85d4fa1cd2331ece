"""Stable hashes of text, equal on every node and in every process."""

import xxhash


def text_hash(text: str) -> int:
    """Return the 64-bit xxHash of a text."""
    return xxhash.xxh64_intdigest(text.encode())
