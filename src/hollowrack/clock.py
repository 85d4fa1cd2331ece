"""The clock of the running event loop.

All timing goes through the loop, so that the same code runs on real time in the daemon and on
virtual time in tests and in the bench.
"""

import asyncio


def now_s() -> float:
    """Return the running loop's monotonic time, in seconds."""
    return asyncio.get_running_loop().time()
