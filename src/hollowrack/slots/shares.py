"""Equal shares of a worker's slots: what owners go by while no grant tells them otherwise."""

from collections.abc import Collection

from hollowrack.hashing import text_hash

# An owner whose work fits few workers must not stand still until there is an arbiter again.
MIN_SHARE = 1


def equal_share(incarnation: str, capacity: int, owner: str, owners: Collection[str]) -> int:
    """Return an owner's share of the slots at one life of a worker.

    The shares of all owners add up to the capacity, or to one each if there are more owners than
    slots. Slots left over by the division go to other owners at other workers.

    Args:
        incarnation: The life.
        capacity: Its slots.
        owner: The owner.
        owners: All owners; the owner counts as one of them.
    """
    names = sorted({*owners, owner})
    share, num_left = divmod(capacity, len(names))
    place = (names.index(owner) + text_hash(incarnation)) % len(names)
    return max(MIN_SHARE, share + (place < num_left))
