"""Guards against requests counted twice, lost, or added to a decided window."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowrack.messages import codec
from hollowrack.usage.counts import UsageCounts
from hollowrack.usage.types import ProcessCounts, PushedCounts

EVENTS = st.lists(
    st.tuples(st.sampled_from(["p", "q"]), st.integers(0, 2), st.sampled_from(["a", "b"])),
    max_size=30,
)


def test_counts_merged_repeatedly_are_counted_once() -> None:
    first, second = UsageCounts(), UsageCounts()
    for _ in range(3):
        first.add("p", 7, "a")
        snapshot = first.of("p")
        second.merge(codec.decode(codec.encode(PushedCounts((snapshot,)))).unwrap().counts[0])
    second.merge(ProcessCounts("p", {7: {"a": 1}}))
    second.add("q", 7, "a")
    second.add("q", 7, "b")
    assert second.totals(7) == {"a": 4, "b": 1}
    assert second.totals(8) == {}
    assert second.first_counted() == 7


def test_decided_windows_are_removed_and_ignored() -> None:
    counts = UsageCounts()
    counts.add("p", 7, "a")
    counts.add("p", 8, "a")
    counts.remove_before(8)
    counts.add("p", 7, "a")
    counts.merge(ProcessCounts("q", {7: {"a": 5}, 9: {"b": 1}}))
    assert counts.totals(7) == {}
    assert counts.totals(8) == {"a": 1}
    assert [one.process for one in counts.all()] == ["p", "q"]
    counts.remove_before(10)
    assert counts.all() == ()
    assert counts.first_counted() is None


@given(EVENTS, st.randoms(use_true_random=False))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_counts_are_correct_for_any_path_of_propagation(
    events: list[tuple[str, int, str]], rng: object
) -> None:
    counts_by_process = {process: UsageCounts() for process in ("p", "q")}
    relay, leader = UsageCounts(), UsageCounts()
    for process, window, tenant in events:
        counts_by_process[process].add(process, window, tenant)
        if rng.random() < 0.4:  # type: ignore[attr-defined]
            (relay if rng.random() < 0.5 else leader).merge(counts_by_process[process].of(process))  # type: ignore[attr-defined]
        if rng.random() < 0.2:  # type: ignore[attr-defined]
            for counts in relay.all():
                leader.merge(counts)
    for process, counts in counts_by_process.items():
        leader.merge(counts.of(process))
    for window in range(3):
        expected: dict[str, int] = {}
        for _, at, tenant in events:
            if at == window:
                expected[tenant] = expected.get(tenant, 0) + 1
        assert leader.totals(window) == dict(sorted(expected.items()))


def test_counts_after_the_decision_are_told_and_not_reported() -> None:
    """Nobody learned how many requests a decision had left out."""
    counts = UsageCounts(keeps_decided=True)
    for window in range(7):
        counts.add("p", window, "a")
    counts.remove_before(6)
    counts.add("p", 5, "a")
    for _ in range(2):
        counts.merge(ProcessCounts("q", {5: {"a": 3}, 1: {"a": 9}, 6: {"b": 1}}))
    assert counts.num_decided(5) == 5
    assert counts.num_decided(1) == 0
    assert counts.totals(5) == {}
    assert counts.totals(6) == {"a": 1, "b": 1}
    # Only the process that counted late tells the leader.
    assert counts.of("p").windows == {5: {"a": 2}, 6: {"a": 1}}
    assert counts.of("q").windows == {6: {"b": 1}}
    counts.remove_before(20)
    assert counts.num_decided(5) == 0
    assert counts.of("p").windows == {}


def test_counts_of_decided_windows_are_not_kept_without_bounds() -> None:
    counts = UsageCounts()
    counts.add("p", 5, "a")
    counts.remove_before(6)
    counts.add("p", 5, "a")
    assert counts.num_decided(5) == 0
    assert counts.of("p").windows == {}
