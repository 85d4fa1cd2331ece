"""The demonstration of the users' platform keeps its own checks."""

import asyncio

from hollowrack_bench.platform_demo import NUM_STEPS, PlatformDemo


def test_every_step_is_read_whole_while_a_process_is_killed() -> None:
    outcome = asyncio.run(PlatformDemo().run())
    assert outcome.broken == []
    assert outcome.rows["steps taken"] == str(NUM_STEPS)
