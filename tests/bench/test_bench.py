"""The bench itself: traces, the same outcome from the same seed, and promises under faults."""

import json
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from hollowrack.results import ResultCode
from hollowrack.routing.choice import choose
from hollowrack_bench.capacity_page import render_page
from hollowrack_bench.leaving import measure_leaving_delay_s
from hollowrack_bench.requests_bench import FAULTS, run_scenario
from hollowrack_bench.rollout_bench import RolloutScenario, run_rollout
from hollowrack_bench.trace import TraceShape, draw_trace, read_trace, write_trace

DOCS = Path(__file__).parent.parent.parent / "docs"


def test_a_trace_is_drawn_from_its_seed_and_survives_its_file(tmp_path: Path) -> None:
    trace = draw_trace(TraceShape(completions_per_s=5.0), 20.0, seed=3)
    assert trace == draw_trace(TraceShape(completions_per_s=5.0), 20.0, seed=3)
    path = tmp_path / "trace.jsonl"
    write_trace(path, trace)
    assert read_trace(path).unwrap() == trace


def test_a_surge_multiplies_arrivals() -> None:
    shape = TraceShape(20.0, services_per_s=0.0, surge_start_s=50.0, surge_end_s=100.0)
    by_half = Counter(entry.at_s >= 50.0 for entry in draw_trace(shape, 100.0, seed=1))
    assert 2.5 < by_half[True] / by_half[False] < 3.5


@pytest.mark.parametrize(
    ("lines", "place"),
    [
        ([], "trace.jsonl line 1"),
        (["{}"], "trace.jsonl line 1"),
        (['{"format": "hollowrack-trace", "version": 1}', '{"at_s": 1}'], "trace.jsonl line 2"),
        (['{"format": "hollowrack-trace", "version": 1}', "{"], "trace.jsonl line 2"),
    ],
)
def test_a_bad_trace_names_its_line(tmp_path: Path, lines: list[str], place: str) -> None:
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(lines))
    problem = read_trace(path).failure()
    assert (problem.code, problem.place) == (ResultCode.BAD_REQUEST, place)


def test_requests_keep_their_promises_with_every_fault_on() -> None:
    scenario = replace(FAULTS, duration_s=25.0, load_share=0.3)
    outcome = run_scenario(scenario, choose, seed=7).as_json()
    assert outcome["answered"] > 300
    assert outcome["doubled_unsafe"] == outcome["false_not_run"] == outcome["short_answers"] == 0
    assert outcome["retries_per_request"] < 0.1


def test_a_training_run_keeps_its_promises_under_faults_and_repeats_exactly() -> None:
    scenario = RolloutScenario(num_steps=3, num_groups=4, group_size=4, train_s=5.0)
    first, second = (run_rollout(scenario, seed=5) for _ in range(2))
    assert first.violations == dict.fromkeys(first.violations, 0)
    assert sum(first.faults.values()) > 0
    assert first.as_json() == second.as_json()


def test_a_leaving_back_end_gets_no_new_request_after_three_seconds() -> None:
    assert max(measure_leaving_delay_s(seed) for seed in range(3)) < 3.0


def test_the_capacity_page_is_the_one_that_its_figures_give() -> None:
    slopes = json.loads((DOCS / "capacity.json").read_text())
    assert (DOCS / "CAPACITY.md").read_text() == render_page(slopes)
