"""The platform demo must pass its own checks while an edge process is killed."""

import asyncio

from hollowrack_bench.platform_demo import NUM_STEPS, PlatformDemo


def test_all_steps_complete_while_a_process_is_killed() -> None:
    outcome = asyncio.run(PlatformDemo().run())
    assert outcome.violations == []
    assert outcome.rows["steps taken"] == str(NUM_STEPS)
