"""Equal division of a worker's slots among owners, used while no grant is in force."""

from collections.abc import Collection

from hollowrack.hashing import text_hash

# Owners whose work fits few workers must make progress while there is no arbiter.
MIN_SHARE = 1


def equal_share(incarnation: str, capacity: int, owner: str, owners: Collection[str]) -> int:
    """Return an owner's share of the slots of one worker incarnation.

    The shares of all owners add up to the capacity, or to one each if there are more owners than
    slots. The remainder of the division goes to different owners at different incarnations.

    Args:
        incarnation: Text of the incarnation.
        capacity: Number of its slots.
        owner: Name of the owner.
        owners: Names of all owners; the owner is added if missing.
    """
    names = sorted({*owners, owner})
    share, remainder = divmod(capacity, len(names))
    rank = (names.index(owner) + text_hash(incarnation)) % len(names)
    return max(MIN_SHARE, share + (rank < remainder))
