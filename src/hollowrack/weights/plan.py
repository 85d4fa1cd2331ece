"""Placement of models on workers and the order of weight loads, as pure functions."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from math import ceil

from hollowrack.forwarding.types import Worker, WorkerIncarnation

# Allows one worker of a model to fail.
MIN_WORKERS_PER_MODEL = 2
MIN_CONCURRENT_LOADS = 2
# More concurrent loads than this share of the workers slow each other down.
CONCURRENT_LOADS_FRACTION = 0.4
# Successive loads that fit between two versions: a load takes 1 s, versions are 4 s apart.
SUCCESSIVE_LOADS_PER_VERSION = 4
# Where models share workers, leaves capacity for repeating failed loads.
SHARED_LOADS_FRACTION = 0.75
# Per this many planned holders, a model stays on one additional current holder.
HOLDERS_PER_SPARE = 6
# A version serves two steps, so half of the workers may skip each version.
NUM_STEPS_SERVED = 2

# Version by incarnation of a worker and model.
HeldVersions = Mapping[tuple[WorkerIncarnation, str], int]


@dataclass(frozen=True)
class VersionLoad:
    """A load to start: the worker is to load this version of the model."""

    worker: Worker
    model: str
    version: int


@dataclass(frozen=True)
class LoadPlan:
    """The workers of each model, and how many of them load each version.

    Attributes:
        holders: Workers of each model.
        skips_versions: Whether only half of the holders load each version.
    """

    holders: Mapping[str, tuple[Worker, ...]]
    skips_versions: bool

    def num_holders_to_load(self, model: str) -> int:
        """Return how many holders of a model should load its newest version."""
        num_holders = len(self.holders.get(model, ()))
        return ceil(num_holders / NUM_STEPS_SERVED) if self.skips_versions else num_holders


def max_concurrent_loads(num_workers: int) -> int:
    """Return how many workers of a service may load at the same time."""
    return max(MIN_CONCURRENT_LOADS, round(CONCURRENT_LOADS_FRACTION * num_workers))


def max_loads_per_version(num_workers: int) -> int:
    """Return how many loads fit between two versions, over all models."""
    num_concurrent = max(MIN_CONCURRENT_LOADS, CONCURRENT_LOADS_FRACTION * num_workers)
    return int(SUCCESSIVE_LOADS_PER_VERSION * num_concurrent)


def plan_loads(
    models: Sequence[str], workers: Sequence[Worker], held_versions: HeldVersions
) -> LoadPlan:
    """Assign models to workers.

    Every worker holds every model if all loads fit between two versions, or if they fit when each
    worker loads every second version. Otherwise each model gets as many workers as loads fit. A
    model stays on the workers with its newest versions, so that the loss of a worker causes few
    loads.
    """
    names = sorted(models)
    num_pairs = len(names) * len(workers)
    max_loads = max_loads_per_version(len(workers))
    if num_pairs <= max_loads:
        return LoadPlan({name: tuple(workers) for name in names}, skips_versions=False)
    num_holders = int(SHARED_LOADS_FRACTION * max_loads) * NUM_STEPS_SERVED // len(names)
    num_holders = min(len(workers), max(MIN_WORKERS_PER_MODEL, num_holders))
    if len(names) == 1:
        num_holders = len(workers)
    return LoadPlan(_assign(names, workers, held_versions, num_holders), skips_versions=True)


def _assign(
    names: Sequence[str], workers: Sequence[Worker], held_versions: HeldVersions, num_holders: int
) -> dict[str, tuple[Worker, ...]]:
    max_models = ceil(num_holders * len(names) / len(workers))
    num_models: Counter[WorkerIncarnation] = Counter()
    assigned: dict[str, list[Worker]] = {}
    # Current holders of all models are counted before missing holders are added.
    for name in names:
        current_holders = _current_holders(name, workers, held_versions)
        # A few more than planned, so that the loss of a worker does not move a model.
        assigned[name] = current_holders[: num_holders + num_holders // HOLDERS_PER_SPARE]
        num_models.update(worker.incarnation for worker in assigned[name])
    for name in names:
        others = [worker for worker in workers if worker not in assigned[name]]
        while len(assigned[name]) < num_holders:
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


def _current_holders(
    model: str, workers: Sequence[Worker], held_versions: HeldVersions
) -> list[Worker]:
    """Current holders of a model, newest version first; none if all versions are equal."""
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


def next_loads(
    target_versions: Mapping[str, int],
    ready_models: Collection[str],
    plan: LoadPlan,
    held_versions: HeldVersions,
    loading: Mapping[WorkerIncarnation, str],
    max_concurrent: int = MIN_CONCURRENT_LOADS,
) -> list[VersionLoad]:
    """Return the loads to start now.

    A worker with the version before the announced one may still serve the step in progress, and it
    refuses new runs while it loads. Such workers load only once the model is ready, at most
    half of them at the same time. Workers that are further behind cannot serve: they load
    first and without delay.

    Args:
        target_versions: Newest announced version by model.
        ready_models: Models whose workers with the previous version may load the newest one.
        plan: Assignment of models to workers.
        held_versions: Known loaded versions.
        loading: The model being loaded, by incarnation of the worker.
        max_concurrent: Maximum number of workers that load at the same time.
    """
    moves: list[VersionLoad] = []
    busy = set(loading)
    num_loading_by_model = Counter(loading.values())
    for can_serve, model, worker in _outdated_workers(target_versions, plan.holders, held_versions):
        if len(busy) >= max_concurrent:
            break
        num_holders = len(plan.holders[model])
        num_ahead = num_loading_by_model[model] + sum(
            held_versions.get((holder.incarnation, model), 0) >= target_versions[model]
            for holder in plan.holders[model]
        )
        may_load = not can_serve or (
            model in ready_models
            and num_loading_by_model[model] < max(1, num_holders // 2)
            and num_ahead < plan.num_holders_to_load(model)
        )
        if worker.incarnation in busy or not may_load:
            continue
        busy.add(worker.incarnation)
        num_loading_by_model[model] += 1
        moves.append(VersionLoad(worker, model, target_versions[model]))
    return moves


def _outdated_workers(
    target_versions: Mapping[str, int],
    holders: Mapping[str, tuple[Worker, ...]],
    held_versions: HeldVersions,
) -> list[tuple[bool, str, Worker]]:
    """Workers without the newest version, as (can serve, model, worker).

    Workers that cannot serve come first, then models with the fewest workers that can.
    """
    entries: list[tuple[tuple[bool, int, str, WorkerIncarnation], tuple[bool, str, Worker]]] = []
    for model, version in target_versions.items():
        versions = [
            held_versions.get((worker.incarnation, model), 0) for worker in holders.get(model, ())
        ]
        num_serving = sum(held >= version - 1 for held in versions)
        for worker, held in zip(holders.get(model, ()), versions, strict=True):
            if held < version:
                can_serve = held >= version - 1
                rank = (can_serve, num_serving, model, worker.incarnation)
                entries.append((rank, (can_serve, model, worker)))
    entries.sort(key=lambda entry: entry[0])
    return [entry for _, entry in entries]
