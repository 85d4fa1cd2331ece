"""Baseline algorithms for choosing a back end, to compare the product's algorithm with."""

import itertools
import random
from collections.abc import Sequence

from returns.result import Result, Success

from hollowrack.results import Problem
from hollowrack.routing.choice import Chooser, choose, eligible, no_back_end
from hollowrack.routing.prefix_index import PrefixIndex
from hollowrack.routing.types import BackEnd, RouteChoice, RouteRequest


def choose_random(
    request: RouteRequest,
    back_ends: Sequence[BackEnd],
    prefixes: PrefixIndex,
    rng: random.Random,
) -> Result[RouteChoice, Problem]:
    """Choose a random eligible back end."""
    del prefixes
    candidates = eligible(request, back_ends)
    if not candidates:
        return no_back_end(request, back_ends)
    return Success(RouteChoice(rng.choice(candidates).address))


class RoundRobin:
    """Chooses the eligible back ends in round-robin order."""

    def __init__(self) -> None:
        self._numbers = itertools.count()

    def __call__(
        self,
        request: RouteRequest,
        back_ends: Sequence[BackEnd],
        prefixes: PrefixIndex,
        rng: random.Random,
    ) -> Result[RouteChoice, Problem]:
        """Choose the next eligible back end by address."""
        del prefixes, rng
        candidates = sorted(eligible(request, back_ends), key=lambda entry: entry.address)
        if not candidates:
            return no_back_end(request, back_ends)
        return Success(RouteChoice(candidates[next(self._numbers) % len(candidates)].address))


def choose_least_reported(
    request: RouteRequest,
    back_ends: Sequence[BackEnd],
    prefixes: PrefixIndex,
    rng: random.Random,
) -> Result[RouteChoice, Problem]:
    """Choose the back end with the lowest reported load per slot."""
    del prefixes
    candidates = eligible(request, back_ends)
    if not candidates:
        return no_back_end(request, back_ends)
    rng.shuffle(candidates)
    best = min(candidates, key=lambda entry: entry.reported_load / max(1, entry.num_slots))
    return Success(RouteChoice(best.address))


def all_choosers() -> dict[str, Chooser]:
    """Return the product's algorithm and the baselines, by name."""
    return {
        "hollowrack": choose,
        "random": choose_random,
        "round robin": RoundRobin(),
        "least reported": choose_least_reported,
    }
