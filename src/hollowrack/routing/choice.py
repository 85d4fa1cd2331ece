"""Back-end selection by cost: synchronous, without I/O, deterministic for a given random source."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from hollowrack.hashing import text_hash
from hollowrack.results import Problem, ResultCode
from hollowrack.routing.prefix_index import PrefixIndex
from hollowrack.routing.types import (
    BackEnd,
    BackEndStatus,
    Priority,
    RouteChoice,
    RouteRequest,
    ScoredCandidate,
)

NO_BACK_END_RETRY_AFTER_S = 1.0
_NUM_RANDOM_CHOICES = 2


@dataclass(frozen=True)
class RoutingCosts:
    """Parameters of the routing cost function.

    Attributes:
        cross_zone_ms: Added latency of a request to another zone, in milliseconds.
        full_load_ms: Added latency of an engine with all slots busy, in milliseconds.
        prefill_block_ms: Time to compute one prefix block that is not cached, in milliseconds.
        max_affinity_load: Fraction of busy slots above which cached prefixes are ignored.
    """

    cross_zone_ms: float = 2.0
    full_load_ms: float = 20.0
    prefill_block_ms: float = 2.0
    max_affinity_load: float = 0.9


class Chooser(Protocol):
    """Selects a back end; :func:`choose` in nodes, baseline policies in the benchmarks."""

    def __call__(
        self,
        request: RouteRequest,
        back_ends: Sequence[BackEnd],
        prefixes: PrefixIndex,
        rng: random.Random,
    ) -> Result[RouteChoice, Problem]:
        """Return the choice, or ``NO_BACK_END``."""


def eligible(request: RouteRequest, back_ends: Sequence[BackEnd]) -> list[BackEnd]:
    """Return the back ends that are allowed to serve a request."""
    return [back_end for back_end in back_ends if _is_eligible(request, back_end)]


def _is_eligible(request: RouteRequest, back_end: BackEnd) -> bool:
    if request.only_zone and back_end.zone != request.only_zone:
        return False
    if back_end.kind is not request.kind or back_end.pool != request.pool:
        return False
    if back_end.status is not BackEndStatus.SERVING or not back_end.is_circuit_closed:
        return False
    if back_end.address in request.excluded:
        return False
    if back_end.weight_version < request.min_weight_version:
        return False
    return request.priority is Priority.LIVE or _has_free_training_slot(request, back_end)


def _has_free_training_slot(request: RouteRequest, back_end: BackEnd) -> bool:
    return back_end.num_training < request.training_room * back_end.num_slots


def choose(
    request: RouteRequest,
    back_ends: Sequence[BackEnd],
    prefixes: PrefixIndex,
    rng: random.Random,
    costs: RoutingCosts = RoutingCosts(),
) -> Result[RouteChoice, Problem]:
    """Choose the cheapest of a few sampled back ends.

    The samples are two random candidates of the request's zone, one of another zone, the one with
    the longest cached prefix and the one for the affinity key. Sampling keeps nodes that have the
    same stale reports from all choosing the same back end (Mitzenmacher, "The Power of Two
    Choices", 2001).

    Fails with ``NO_BACK_END``.
    """
    candidates = eligible(request, back_ends)
    if not candidates:
        return no_back_end(request, back_ends)
    sampled = _sample(request, candidates, prefixes, rng)
    scored = tuple(_score(request, back_end, prefixes, costs) for back_end in sampled)
    best = min(scored, key=lambda candidate: candidate.cost_ms)
    return Success(RouteChoice(best.address, scored))


def _sample(
    request: RouteRequest,
    candidates: list[BackEnd],
    prefixes: PrefixIndex,
    rng: random.Random,
) -> list[BackEnd]:
    zone = request.only_zone or request.zone
    local = [back_end for back_end in candidates if back_end.zone == zone]
    remote = [back_end for back_end in candidates if back_end.zone != zone]
    sampled = rng.sample(local, min(_NUM_RANDOM_CHOICES, len(local)))
    num_remote = _NUM_RANDOM_CHOICES if not local else 1
    sampled += rng.sample(remote, min(num_remote, len(remote)))
    if request.prefix_blocks:
        sampled.append(
            max(
                candidates,
                key=lambda back_end: prefixes.num_matching(back_end.address, request.prefix_blocks),
            )
        )
    if request.affinity_key:
        sampled.append(max(candidates, key=lambda back_end: _rendezvous_hash(request, back_end)))
    return list({back_end.address: back_end for back_end in sampled}.values())


def _rendezvous_hash(request: RouteRequest, back_end: BackEnd) -> int:
    return text_hash(f"{request.affinity_key}\n{back_end.address}")


def _score(
    request: RouteRequest, back_end: BackEnd, prefixes: PrefixIndex, costs: RoutingCosts
) -> ScoredCandidate:
    num_slots = max(1, back_end.num_slots)
    is_live = request.priority is Priority.LIVE
    load = back_end.estimated_live if is_live else back_end.estimated_load
    load_fraction = load / num_slots
    num_queued = max(0.0, load + 1 - num_slots)
    queue_ms = back_end.mean_service_ms * num_queued / num_slots
    queue_ms += costs.full_load_ms * min(1.0, load_fraction)
    distance_ms = 0.0 if back_end.zone == request.zone else costs.cross_zone_ms
    saved_ms = 0.0
    if load_fraction <= costs.max_affinity_load:
        matching = prefixes.num_matching(back_end.address, request.prefix_blocks)
        saved_ms = costs.prefill_block_ms * matching
    return ScoredCandidate(back_end.address, queue_ms, distance_ms, saved_ms)


def no_back_end(request: RouteRequest, back_ends: Sequence[BackEnd]) -> Failure[Problem]:
    """Return the failure for a request that no back end can serve."""
    num_in_pool = sum(1 for back_end in back_ends if back_end.pool == request.pool)
    detail = f"none of {num_in_pool} back ends of {request.pool!r} can serve the request"
    return Failure(
        Problem(
            ResultCode.NO_BACK_END, detail, request.pool, retry_after_s=NO_BACK_END_RETRY_AFTER_S
        )
    )
