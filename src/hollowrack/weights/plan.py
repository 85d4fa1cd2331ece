"""Which worker holds which model, and which of them to move next: pure decisions."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from hollowrack.forwarding.types import Worker

# Each model is kept current on at least this many workers, so that one may fail.
MIN_WORKERS_PER_MODEL = 2
MAX_CONCURRENT_LOADS = 2


@dataclass(frozen=True)
class VersionMove:
    """An order: a worker is to hold this version of a model."""

    worker: Worker
    model: str
    version: int


def assign_models(
    models: Sequence[str], workers: Sequence[Worker]
) -> dict[str, tuple[Worker, ...]]:
    """Assign each model the workers that are kept current for it.

    With one model every worker holds it. With several, each model has a share of the workers of
    its own, as loads take time and every worker can load one model at a time.
    """
    ordered = sorted(workers, key=lambda worker: worker.id)
    names = sorted(models)
    if not ordered or not names:
        return dict.fromkeys(names, ())
    if len(names) == 1:
        return {names[0]: tuple(ordered)}
    share = max(MIN_WORKERS_PER_MODEL, len(ordered) // len(names))
    share = min(share, len(ordered))
    assigned: dict[str, tuple[Worker, ...]] = {}
    next_place = 0
    for name in names:
        places = [(next_place + offset) % len(ordered) for offset in range(share)]
        assigned[name] = tuple(ordered[place] for place in places)
        next_place = (next_place + share) % len(ordered)
    return assigned


def next_moves(
    named_versions: Mapping[str, int],
    assigned: Mapping[str, Sequence[Worker]],
    held_versions: Mapping[tuple[str, str], int],
    loading: Collection[str],
    max_concurrent: int = MAX_CONCURRENT_LOADS,
) -> list[VersionMove]:
    """Return the moves to start now, the models that are furthest behind first.

    Args:
        named_versions: Newest version named of each model.
        assigned: Workers kept current for each model.
        held_versions: Version by worker identity and model, as far as known.
        loading: Identities of workers that are carrying out an order.
        max_concurrent: Most workers loading at a time.
    """
    behind = [
        (num_current(model, version, assigned, held_versions), model, worker)
        for model, version in sorted(named_versions.items())
        for worker in assigned.get(model, ())
        if held_versions.get((worker.id, model), 0) < version
    ]
    behind.sort(key=lambda entry: (entry[0], entry[1], entry[2].id))
    moves: list[VersionMove] = []
    taken = set(loading)
    for _, model, worker in behind:
        if len(taken) >= max_concurrent:
            break
        if worker.id not in taken:
            taken.add(worker.id)
            moves.append(VersionMove(worker, model, named_versions[model]))
    return moves


def num_current(
    model: str,
    version: int,
    assigned: Mapping[str, Sequence[Worker]],
    held_versions: Mapping[tuple[str, str], int],
) -> int:
    """How many of a model's workers hold a version already."""
    return sum(
        held_versions.get((worker.id, model), 0) >= version for worker in assigned.get(model, ())
    )
