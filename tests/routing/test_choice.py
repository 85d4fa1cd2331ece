"""Tests of back-end selection, circuit breakers, the prefix index and load estimates.

Guards against routing to ineligible back ends and against overload by stale load reports.
"""

import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from hollowrack.clients.engine import CacheEvents, EngineLoad, EngineState
from hollowrack.clients.machine_list import Machine
from hollowrack.results import ResultCode
from hollowrack.routing.choice import choose, eligible
from hollowrack.routing.circuit_breaker import INITIAL_BACKOFF_S, CircuitBreaker, CircuitStatus
from hollowrack.routing.fleet import FleetView, PoolLoad
from hollowrack.routing.prefix_index import BLOCK_CHARACTERS, PrefixIndex, prefix_blocks
from hollowrack.routing.types import (
    BackEnd,
    BackEndKind,
    BackEndStatus,
    Priority,
    RouteRequest,
)

ENGINE = BackEnd("e1", BackEndKind.ENGINE, "m", "a", num_slots=10)
REQUEST = RouteRequest(BackEndKind.ENGINE, "m", "a")


@pytest.mark.parametrize(
    "change",
    [
        {"pool": "other"},
        {"kind": BackEndKind.SERVICE},
        {"status": BackEndStatus.LEAVING},
        {"status": BackEndStatus.OUT},
        {"is_circuit_closed": False},
    ],
)
def test_ineligible_back_ends_are_excluded(change: dict[str, Any]) -> None:
    assert eligible(REQUEST, [replace(ENGINE, **change)]) == []


def test_request_constraints_exclude_back_ends() -> None:
    assert eligible(replace(REQUEST, excluded=frozenset({"e1"})), [ENGINE]) == []
    assert eligible(replace(REQUEST, min_weight_version=1), [ENGINE]) == []
    training = replace(REQUEST, priority=Priority.TRAINING, training_room=0.5)
    assert eligible(training, [replace(ENGINE, num_training=4)])
    assert eligible(training, [replace(ENGINE, num_training=5)]) == []
    assert eligible(replace(training, training_room=0.0), [ENGINE]) == []


def test_without_candidates_fails_with_retry_after() -> None:
    problem = choose(REQUEST, [], PrefixIndex(), random.Random(0)).failure()
    assert problem.code is ResultCode.NO_BACK_END
    assert problem.retry_after_s


def _count_choices(back_ends: list[BackEnd], request: RouteRequest = REQUEST) -> Counter[str]:
    rng = random.Random(1)
    return Counter(
        choose(request, back_ends, PrefixIndex(), rng).unwrap().address for _ in range(300)
    )


def test_own_zone_is_preferred_until_it_queues() -> None:
    local = [replace(ENGINE, address=f"local{index}") for index in range(3)]
    remote = [replace(ENGINE, address=f"remote{index}", zone="b") for index in range(3)]
    assert not any(address.startswith("remote") for address in _count_choices(local + remote))
    full = [replace(back_end, estimated_live=15.0) for back_end in local]
    assert all(address.startswith("remote") for address in _count_choices(full + remote))


def test_load_is_balanced_over_equal_back_ends() -> None:
    num_chosen = _count_choices([replace(ENGINE, address=f"e{index}") for index in range(6)])
    assert min(num_chosen.values()) > 20


def test_less_loaded_back_end_is_chosen() -> None:
    back_ends = [
        replace(ENGINE, address="busy", estimated_live=8.0),
        replace(ENGINE, address="idle"),
    ]
    assert set(_count_choices(back_ends)) == {"idle"}


def test_training_load_counts_only_for_training_requests() -> None:
    trained = replace(ENGINE, address="trained", estimated_load=10.0, num_training=5)
    idle = replace(ENGINE, address="idle", estimated_live=2.0, estimated_load=2.0)
    assert set(_count_choices([trained, idle])) == {"trained"}
    training = replace(REQUEST, priority=Priority.TRAINING)
    assert set(_count_choices([trained, idle], training)) == {"idle"}


def test_cached_prefix_attracts_requests_until_engine_is_full() -> None:
    prompt = "x" * BLOCK_CHARACTERS * 20
    blocks = prefix_blocks(prompt)
    prefixes = PrefixIndex()
    prefixes.record_sent("warm", blocks)
    request = replace(REQUEST, prefix_blocks=blocks)
    cold = [replace(ENGINE, address=f"cold{index}") for index in range(5)]
    warm = replace(ENGINE, address="warm", estimated_live=5.0)
    assert choose(request, [*cold, warm], prefixes, random.Random(0)).unwrap().address == "warm"
    full = replace(warm, estimated_live=10.0)
    assert choose(request, [*cold, full], prefixes, random.Random(0)).unwrap().address != "warm"


def test_cache_events_with_gaps_and_new_incarnations() -> None:
    index = PrefixIndex()
    index.apply("e", CacheEvents("incarnation1", 0, (1, 2, 3), (), 3))
    assert index.num_matching("e", (1, 2, 3, 4)) == 3
    assert index.num_matching("e", (9, 1)) == 0
    index.apply("e", CacheEvents("incarnation1", 3, (), (2,), 1))
    assert index.num_matching("e", (1, 2, 3)) == 1
    index.apply("e", CacheEvents("incarnation1", 10, (2,), (), 1))
    assert index.num_matching("e", (1, 2, 3)) == 1.5, "matches must count half after a gap"
    index.apply("e", CacheEvents("incarnation2", 0, (7,), (), 1))
    assert index.num_matching("e", (1,)) == 0
    assert index.num_matching("e", (7,)) == 1


def test_prefix_hashes_match_up_to_first_difference() -> None:
    first = prefix_blocks("a" * 200 + "b" * 200)
    second = prefix_blocks("a" * 200 + "c" * 200)
    assert first[:3] == second[:3] and first[3:] != second[3:]


def test_circuit_opens_allows_one_trial_and_backs_off() -> None:
    circuit = CircuitBreaker()
    for _ in range(3):
        assert circuit.allows(0.0)
        circuit.record_failure(0.0)
    assert not circuit.allows(INITIAL_BACKOFF_S - 0.01)
    assert circuit.allows(INITIAL_BACKOFF_S)
    circuit.record_sent(INITIAL_BACKOFF_S)
    assert circuit.status is CircuitStatus.HALF_OPEN
    assert not circuit.allows(INITIAL_BACKOFF_S), "only one trial may be in progress"
    circuit.record_failure(1.0)
    assert not circuit.allows(1.0 + INITIAL_BACKOFF_S)
    assert circuit.allows(1.0 + 2 * INITIAL_BACKOFF_S)
    circuit.record_sent(2.0)
    circuit.record_success()
    assert circuit.allows(2.0)


def test_conclusive_failure_opens_circuit_at_once() -> None:
    circuit = CircuitBreaker()
    circuit.record_failure(0.0, is_conclusive=True)
    assert not circuit.allows(0.0)


def _view() -> FleetView:
    view = FleetView()
    view.apply_machine_list([Machine("e1", "engine", "m", "a", False)])
    view.apply_engine_state("e1", EngineState("i", "serving", "m", 3, 8, 0))
    return view


def test_load_estimate_adds_other_nodes_to_own_requests() -> None:
    view = _view()
    for _ in range(3):
        view.record_sent("e1", is_training=False, now_s=0.0)
    view.record_sent("e1", is_training=True, now_s=0.0)
    assert view.snapshot(0.0)[0].estimated_load == 4, "own requests must count before any report"
    view.apply_load("e1", EngineLoad(7, 1, 5))
    assert (view.snapshot(0.0)[0].estimated_load, view.pool_load("m")) == (8, PoolLoad(8, 5))
    view.apply_load("e1", EngineLoad(4, 0, 3))
    assert view.pool_load("m") == PoolLoad(8, 3), (
        "the load of other nodes must be the minimum difference"
    )
    view.record_finished("e1", is_training=False)
    assert view.pool_load("m", "a") == PoolLoad(8, 2)
    assert view.pool_load("m", "b") == PoolLoad(0, 0)


def test_stale_machine_list_keeps_leaving_mark() -> None:
    view = _view()
    view.mark_leaving("e1")
    view.apply_machine_list([Machine("e1", "engine", "m", "a", False)])
    assert view.snapshot(0.0)[0].status is BackEndStatus.LEAVING


def test_unlisted_machine_is_removed_when_its_requests_end() -> None:
    view = _view()
    view.record_sent("e1", is_training=True, now_s=0.0)
    view.apply_machine_list([])
    assert view.snapshot(0.0)[0].status is BackEndStatus.LEAVING
    view.record_finished("e1", is_training=True)
    view.apply_machine_list([])
    assert view.snapshot(0.0) == []


@pytest.mark.parametrize("status", ["swapping", "broken"])
def test_engine_that_is_not_serving_is_out(status: str) -> None:
    view = _view()
    view.apply_engine_state("e1", EngineState("i", status, "m", 3, 8, 0))
    assert view.snapshot(0.0)[0].status is BackEndStatus.OUT
    view.apply_engine_state("e1", None)
    assert view.snapshot(0.0)[0].status is BackEndStatus.OUT
