"""Which worker holds which model, and which of them to move next: pure decisions."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from math import ceil

from hollowrack.forwarding.types import Worker, WorkerIncarnation

# Each model is kept current on at least this many workers, so that one may fail.
MIN_WORKERS_PER_MODEL = 2
MIN_CONCURRENT_LOADS = 2
# Loads slow each other down beyond a number that grows with the workers: about two in five.
CONCURRENT_LOADS_SHARE = 0.4
# Loads that one place for a load does between two versions: a second each, versions 4 s apart.
LOADS_PER_SLOT = 4
# Where models share workers, this share of the loads that fit: some fail and are done again.
SHARED_LOADS_SHARE = 0.75
# For each so many holders of a model one more may stay that is not planned.
INCUMBENTS_PER_SPARE = 6
# A version serves two steps, so half of the workers may skip each version.
NUM_STEPS_SERVED = 2

# Version by life of a worker and model.
HeldVersions = Mapping[tuple[WorkerIncarnation, str], int]


@dataclass(frozen=True)
class VersionMove:
    """An order: a worker is to hold this version of a model."""

    worker: Worker
    model: str
    version: int


@dataclass(frozen=True)
class LoadPlan:
    """Where models are kept, and on how many of these workers the newest version is wanted.

    Attributes:
        holders: Workers that are kept useful for each model.
        skips_versions: Whether only half of them follow each version.
    """

    holders: Mapping[str, tuple[Worker, ...]]
    skips_versions: bool

    def num_wanted(self, model: str) -> int:
        """How many holders of a model should hold its newest version."""
        num_holders = len(self.holders.get(model, ()))
        return ceil(num_holders / NUM_STEPS_SERVED) if self.skips_versions else num_holders


def max_concurrent_loads(num_workers: int) -> int:
    """Return how many workers of a service may load at a time."""
    return max(MIN_CONCURRENT_LOADS, round(CONCURRENT_LOADS_SHARE * num_workers))


def max_loads_per_version(num_workers: int) -> int:
    """Return how many loads fit between two versions, over all models."""
    num_places = max(MIN_CONCURRENT_LOADS, CONCURRENT_LOADS_SHARE * num_workers)
    return int(LOADS_PER_SLOT * num_places)


def plan_loads(
    models: Sequence[str], workers: Sequence[Worker], held_versions: HeldVersions
) -> LoadPlan:
    """Plan which workers hold which models.

    Every worker holds every model if the loads fit between two versions, for each version or for
    every second one. Otherwise each model has as many workers of its own as fit. A model stays
    where its newest versions are, so that the loss of a worker moves little.
    """
    names = sorted(models)
    num_pairs = len(names) * len(workers)
    max_loads = max_loads_per_version(len(workers))
    if num_pairs <= max_loads:
        return LoadPlan({name: tuple(workers) for name in names}, skips_versions=False)
    share = int(SHARED_LOADS_SHARE * max_loads) * NUM_STEPS_SERVED // len(names)
    share = min(len(workers), max(MIN_WORKERS_PER_MODEL, share))
    if len(names) == 1:
        share = len(workers)
    return LoadPlan(_assign(names, workers, held_versions, share), skips_versions=True)


def _assign(
    names: Sequence[str], workers: Sequence[Worker], held_versions: HeldVersions, share: int
) -> dict[str, tuple[Worker, ...]]:
    max_models = ceil(share * len(names) / len(workers))
    num_models: Counter[WorkerIncarnation] = Counter()
    assigned: dict[str, list[Worker]] = {}
    # Those that hold a model already are counted for all models before any gap is filled.
    for name in names:
        incumbents = _incumbents(name, workers, held_versions)
        # A few more than planned, so that the loss of a worker does not move models elsewhere.
        assigned[name] = incumbents[: share + share // INCUMBENTS_PER_SPARE]
        num_models.update(worker.incarnation for worker in assigned[name])
    for name in names:
        others = [worker for worker in workers if worker not in assigned[name]]
        while len(assigned[name]) < share:
            best = min(
                others,
                key=lambda worker: (
                    num_models[worker.incarnation] >= max_models,
                    num_models[worker.incarnation],
                    worker.incarnation,
                ),
            )
            others.remove(best)
            assigned[name].append(best)
            num_models[best.incarnation] += 1
    return {name: tuple(holders) for name, holders in assigned.items()}


def _incumbents(model: str, workers: Sequence[Worker], held_versions: HeldVersions) -> list[Worker]:
    """Workers that were kept current for a model, newest version first; none at the beginning."""
    versions = {
        worker.incarnation: held_versions.get((worker.incarnation, model), 0) for worker in workers
    }
    newest = max(versions.values())
    if newest == min(versions.values()):
        return []
    current = [
        worker for worker in workers if versions[worker.incarnation] > newest - NUM_STEPS_SERVED
    ]
    return sorted(current, key=lambda worker: (-versions[worker.incarnation], worker.incarnation))


def next_moves(
    named_versions: Mapping[str, int],
    ready_models: Collection[str],
    plan: LoadPlan,
    held_versions: HeldVersions,
    loading: Mapping[WorkerIncarnation, str],
    max_concurrent: int = MIN_CONCURRENT_LOADS,
) -> list[VersionMove]:
    """Return the moves to start now.

    A worker that holds the version before the named one may still serve the step in progress, and
    it refuses new runs while it loads. Such workers are moved only once the model is ripe, half of
    them at a time. Workers that are further behind serve nothing: they are moved first, at once.

    Args:
        named_versions: Newest version named of each model.
        ready_models: Models whose current workers may be moved on.
        plan: Where models are kept.
        held_versions: Versions as far as known.
        loading: The model that each worker is loading, by its life.
        max_concurrent: Most workers loading at a time.
    """
    moves: list[VersionMove] = []
    taken = set(loading)
    loaded_by_model = Counter(loading.values())
    for is_useful, model, worker in _behind(named_versions, plan.holders, held_versions):
        if len(taken) >= max_concurrent:
            break
        num_holders = len(plan.holders[model])
        num_ahead = loaded_by_model[model] + sum(
            held_versions.get((holder.incarnation, model), 0) >= named_versions[model]
            for holder in plan.holders[model]
        )
        may_move = not is_useful or (
            model in ready_models
            and loaded_by_model[model] < max(1, num_holders // 2)
            and num_ahead < plan.num_wanted(model)
        )
        if worker.incarnation in taken or not may_move:
            continue
        taken.add(worker.incarnation)
        loaded_by_model[model] += 1
        moves.append(VersionMove(worker, model, named_versions[model]))
    return moves


def _behind(
    named_versions: Mapping[str, int],
    holders: Mapping[str, tuple[Worker, ...]],
    held_versions: HeldVersions,
) -> list[tuple[bool, str, Worker]]:
    """Workers behind, as (still useful, model, worker): useless ones and bare models first."""
    entries: list[tuple[tuple[bool, int, str, WorkerIncarnation], tuple[bool, str, Worker]]] = []
    for model, version in named_versions.items():
        versions = [
            held_versions.get((worker.incarnation, model), 0) for worker in holders.get(model, ())
        ]
        num_useful = sum(held >= version - 1 for held in versions)
        for worker, held in zip(holders.get(model, ()), versions, strict=True):
            if held < version:
                is_useful = held >= version - 1
                order = (is_useful, num_useful, model, worker.incarnation)
                entries.append((order, (is_useful, model, worker)))
    entries.sort(key=lambda entry: entry[0])
    return [entry for _, entry in entries]
