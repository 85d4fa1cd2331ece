"""The demonstration violates a guarantee."""

import asyncio

from hollowrack_bench.demo import run_demo


def test_demo_violates_no_guarantee() -> None:
    outcome = asyncio.run(run_demo())
    assert outcome.violations == []
    assert outcome.rows["samples delivered"] == "192 of 192"
