"""Tests of the request states, the retry budget and the answer store.

Guards against a "not run" refusal after the first byte was sent, and against unbounded retries.
"""

import pytest

from hollowrack.requests.answer_store import AnswerStore
from hollowrack.requests.lifecycle import (
    Admitted,
    Answered,
    Dispatched,
    NotRunCode,
    NotRunProof,
    Received,
    Refused,
    Unresolved,
    UnresolvedCode,
)
from hollowrack.requests.retry_budget import RetryBudget
from hollowrack.requests.types import RecordedAnswer


def _methods(state: type) -> set[str]:
    return {
        name for name in vars(state) if not name.startswith("_") and callable(getattr(state, name))
    }


def test_only_states_before_dispatch_can_refuse() -> None:
    assert _methods(Received) == {"refuse", "admit"}
    assert _methods(Admitted) == {"refuse", "dispatch"}
    assert _methods(Dispatched) == {"did_not_run", "answered", "unresolved"}
    for final in (Refused, Unresolved, Answered):
        assert _methods(final) == set()


def test_not_run_and_unresolved_codes_do_not_overlap() -> None:
    assert {code.value for code in NotRunCode}.isdisjoint(code.value for code in UnresolvedCode)


@pytest.mark.parametrize("proof", list(NotRunProof))
def test_dispatch_is_reverted_only_on_proof(proof: NotRunProof) -> None:
    dispatched = Received("r").admit().dispatch("127.0.0.1:1")
    assert (
        dispatched.did_not_run(proof).refuse(NotRunCode.BACK_END_REFUSED, "x").problem.place == "r"
    )


def test_retries_are_limited_to_fraction_of_traffic() -> None:
    budget = RetryBudget(ratio=0.1, max_saved=3.0)
    num_retries = 0
    for _ in range(1000):
        budget.record_request()
        num_retries += sum(1 for _ in range(5) if budget.spend_retry())
    assert 95 <= num_retries <= 105


def test_answer_store_is_bounded_in_number_and_bytes() -> None:
    store = AnswerStore(max_answers=3, max_bytes=100)
    for number in range(10):
        store.add(f"r{number}", RecordedAnswer(200, "t", b"x" * 40))
    assert [store.find(f"r{number}") is not None for number in range(7, 10)] == [False, True, True]
    store.add("huge", RecordedAnswer(200, "t", b"x" * 101))
    assert store.find("huge") is None
