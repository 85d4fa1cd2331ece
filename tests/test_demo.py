import asyncio

from hollowrack_bench.demo import run_demo


def test_the_demonstration_keeps_all_promises() -> None:
    outcome = asyncio.run(run_demo())
    assert outcome.broken == []
    assert outcome.rows["samples delivered"] == "192 of 192"
